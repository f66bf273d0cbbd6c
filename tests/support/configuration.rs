//! The configuration with which the tests start the program, and runs of `check-config` on a configuration.

use super::program::program;
use serde_json::{Value, json};
use std::process::Output;

/// A configuration with two classes whose runs make outbound calls: `quote`, which may be repeated, and
/// `booking`, which is keyed. The arguments are the loopback ports of the kernel, the store and the
/// membership service.
pub fn configuration(kernel: u16, store: u16, members: u16) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "goal-time": 3_000_000_000u64, "hard-limit": 6_000_000_000u64,
            "dedup-window": 9_000_000_000u64, "worth": 1.0, "late-worth": 0.0})
    };
    json!({"name": "n3", "listen": "127.0.0.1:0", "kernel": format!("127.0.0.1:{kernel}"),
        "store": format!("127.0.0.1:{store}"), "members": format!("127.0.0.1:{members}"),
        "seed": "8c1f30d27a5be964", "stop_ms": 4000, "novel": {"key": 1},
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
        "settings": {"classes": [class("quote", "pure"), class("booking", "token")], "fleet-size": 2,
            "worth-by": "work", "over-share-worth": 0.1, "realms": [], "tick": 2_000_000, "novel": "x",
            "caps": {"retry-after": true, "max-retry-after": 1_000_000_000u64},
            "extra": {"below": "tier", "callers": 2, "calls-out": 0.0, "class-calls": [true, true],
                "class-skip-worth": [0.0, 0.0], "cold": false, "cores": 4, "dep-window": 5_000_000_000u64,
                "fresh-for": 0, "full-checks": true, "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
                "halt": "discard", "heeded": 1_000_000_000, "heap-kb": 70000.0, "key-kb": 100.0,
                "list-follows": true, "run-factor": 8.0, "signal": "allowance", "stays-for": 200_000_000,
                "caller-idle": 30_000_000_000u64},
            "rules": {"grace-to-answer": 80_000_000, "cold-share": 0.22, "cold": 18_000_000_000u64,
                "drain-grace": 300_000_000, "fall": 2_000_000_000, "fall-multiple": 5.0}}})
}

/// Raises the limits and deadlines of a configuration so that admission rejects no request. Used by benches
/// that do not measure admission.
pub fn lift_limits(configuration: &mut Value) {
    configuration["limits"]["sockets"] = 1024.into();
    configuration["settings"]["extra"]["cores"] = 512.into();
    configuration["settings"]["extra"]["heap-kb"] = 900_000.0.into();
    configuration["settings"]["extra"]["key-kb"] = 0.01.into();
    for class in 0..2 {
        configuration["settings"]["classes"][class]["hard-limit"] = 20_000_000_000u64.into();
        configuration["settings"]["classes"][class]["goal-time"] = 15_000_000_000u64.into();
    }
}

/// Runs `check-config` on a configuration and returns its status and output.
pub fn check_config(configuration: &Value) -> Output {
    let (mut command, path) = program(configuration, "check-config");
    let output = command.output().expect("the program runs");
    let _ = std::fs::remove_file(path);
    output
}
