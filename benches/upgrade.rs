//! How long the hand-over from one process of a node to its successor takes, by the state that is handed over.
//!
//! `cargo bench --bench upgrade`. Figures go into docs/design/operation.md.

#[path = "../tests/support/mod.rs"]
mod support;

use gaugestand_fakes::kernel::AutoKernel;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// Hand-overs of each size.
const ROUNDS: usize = 7;
/// Most open requests of a connection, as the node allows.
const MAX_REQUESTS_PER_CONNECTION: u64 = 32;

/// What one hand-over took, in milliseconds.
struct Handover {
    /// From the start of the successor until it was ready.
    ready: f64,
    /// Longest wait of a client that sent health checks all the time while the predecessor was told to end.
    longest_wait: f64,
}

/// Replaces a node which has this many keys, each with a result, and this many open attempts that the kernel never ends.
fn replace(keys: u64, open: u64) -> Handover {
    let scene = Scene::replaceable_with(|configuration| {
        lift_limits(configuration);
        configuration["limits"]["memory_mb"] = 512.into();
        configuration["settings"]["extra"]["cores"] = 64.into();
        for class in 0..2 {
            configuration["settings"]["classes"][class]["dedup-window"] = 120_000_000_000u64.into();
        }
    });
    let kernel = if open > 0 { AutoKernel::never_completing() } else { AutoKernel::default() };
    kernel.serve_also(&scene.kernel);
    scene.await_healthy();
    let body = "b".repeat(200);
    let mut gateway = scene.gateway();
    for n in 0..keys {
        let (status, _) = gateway.book(&format!("{n:016x}"), &format!("{n:032x}"), &body).expect("an answer");
        assert_eq!(status, "200");
    }
    let mut waiting: Vec<Gateway> = Vec::new();
    for n in 0..open {
        let slot = n % MAX_REQUESTS_PER_CONNECTION;
        if slot == 0 {
            waiting.push(scene.gateway());
        }
        let gateway = waiting.last_mut().expect("one");
        let txn = format!("{:016x}", (1 << 40) + n);
        gateway.send(&attempt_records(slot as u16 + 1, "quote", &txn, &[], body.as_bytes()));
    }
    let began = Instant::now();
    let successor = scene.start_successor();
    kernel.serve_also(&successor.kernel);
    successor.await_ready();
    let ready = began.elapsed();
    let is_over = AtomicBool::new(false);
    let longest_wait = thread::scope(|scope| {
        let address = &scene.address;
        let is_over = &is_over;
        let client = scope.spawn(move || {
            let mut gateway = Gateway::connect(address);
            let mut longest = Duration::ZERO;
            while !is_over.load(Ordering::Relaxed) {
                let sent = Instant::now();
                assert_eq!(&gateway.health_check("").status[..3], "200");
                longest = longest.max(sent.elapsed());
            }
            longest
        });
        thread::sleep(Duration::from_millis(20));
        scene.signal("-TERM");
        thread::sleep(Duration::from_millis(300));
        is_over.store(true, Ordering::Relaxed);
        client.join().expect("no panic")
    });
    Handover { ready: ready.as_secs_f64() * 1e3, longest_wait: longest_wait.as_secs_f64() * 1e3 }
}

/// Median, least and most.
fn summary(mut samples: Vec<f64>) -> String {
    samples.sort_by(f64::total_cmp);
    format!("{:8.1} ({:.1}, {:.1})", samples[samples.len() / 2], samples[0], samples[samples.len() - 1])
}

fn main() {
    println!("{}", json!({"rounds": ROUNDS, "body and result, bytes": 200}));
    println!(
        "  keys  open   to yes, ms: median (least, most)   longest wait over the change, ms: median (least, most)"
    );
    for (keys, open) in [(0, 0), (1_000, 0), (10_000, 0), (30_000, 0), (0, 32), (0, 320)] {
        let handovers: Vec<Handover> = (0..ROUNDS).map(|_| replace(keys, open)).collect();
        let ready = summary(handovers.iter().map(|handover| handover.ready).collect());
        let longest_wait = summary(handovers.iter().map(|handover| handover.longest_wait).collect());
        println!("{keys:6} {open:5}   {ready:32}   {longest_wait}");
    }
}
