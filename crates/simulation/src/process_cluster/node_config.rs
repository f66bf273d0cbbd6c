//! Contents of the configuration file and the operators' script of each process.

use super::CONTRADICT_MS;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;

/// The configuration of a node, with two classes: `quote`, whose requests are safe to repeat, and `booking`,
/// whose requests have an idempotency key.
pub(super) fn configuration(name: &str, kernel: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "goal-time": 3_000_000_000u64, "hard-limit": 6_000_000_000u64,
            "dedup-window": 9_000_000_000u64, "worth": 1.0, "late-worth": 0.0})
    };
    json!({"name": name, "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0", "kernel": kernel.to_string(),
        "seed": "8c1f30d27a5be964", "stop_ms": 4000, "limits": {"memory_mb": 192, "sockets": 128},
        "settings": {"classes": [class("quote", "pure"), class("booking", "token")], "fleet-size": 2, "worth-by": "work",
            "over-share-worth": 0.1, "realms": [], "tick": 2_000_000,
            "caps": {"retry-after": true, "max-retry-after": 1_000_000_000u64},
            "extra": {"below": "none", "callers": 2, "calls-out": 0.0, "class-calls": [false, false],
                "class-skip-worth": [0.0, 0.0], "cold": false, "cores": 4, "gauges": ["cpu_busy", "runnable"],
                "halt": "discard", "heeded": 1_000_000_000, "heap-kb": 70000.0, "key-kb": 1.0, "list-follows": true,
                "run-factor": 8.0, "signal": "allowance", "caller-idle": 30_000_000_000u64},
            "rules": {"grace-to-answer": 80_000_000, "cold-share": 0.22, "cold": 18_000_000_000u64,
                "drain-grace": 300_000_000, "fall": 2_000_000_000, "fall-multiple": 5.0}}})
}

/// The operators' script of a node of the cluster, with the addresses of the members and the path of its
/// consensus log. `number` is the node's number if it joins later; none for a member.
pub(super) fn cluster_script(members: &[SocketAddr], number: Option<usize>, log: &Path) -> String {
    let member = |(id, address): (usize, &SocketAddr)| format!("\"n{id}={address}\"");
    let members: Vec<String> = members.iter().enumerate().map(member).collect();
    let number = number.map_or(String::new(), |number| format!("number = {number}, "));
    format!(
        "fleet(name = \"rig\", members = [{}], listen = \"127.0.0.1:0\", {number}path = \"{}\", contradict_ms = {CONTRADICT_MS}, \
         lists = \"barred\")\n",
        members.join(", "),
        log.display()
    )
}
