//! Measures how long the hand-over from a process of a node to its successor takes, by the size of the state.
//!
//! `cargo bench --bench upgrade`. The results are kept in docs/design/operation.md.

#[path = "../tests/support/mod.rs"]
mod support;

use gaugestand_fakes::kernel::AutoKernel;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// Number of hand-overs that are measured for each size of the state.
const ROUNDS: usize = 7;
/// Most open requests that the node allows on a gateway's connection.
const MAX_REQUESTS_PER_CONNECTION: u64 = 32;

/// Measured times of one hand-over, in milliseconds.
struct Handover {
    /// Time from the start of the successor until the successor answered that it is ready.
    ready: f64,
    /// Longest response time of a client that sent one health check after the other from 20 ms before the
    /// predecessor got SIGTERM until 300 ms after it.
    longest_wait: f64,
}

/// Measures one hand-over of a process that holds `keys` idempotency keys with a result each, and `open` open
/// attempts whose runs never complete.
fn measure_handover(keys: u64, open: u64) -> Handover {
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
        let (status, _) = gateway
            .book(&format!("{n:016x}"), &format!("{n:032x}"), &body)
            .expect("an answer to the booking");
        assert_eq!(status, "200");
    }
    let mut waiting: Vec<Gateway> = Vec::new();
    for n in 0..open {
        let slot = n % MAX_REQUESTS_PER_CONNECTION;
        if slot == 0 {
            waiting.push(scene.gateway());
        }
        let gateway = waiting.last_mut().expect("the connection that was pushed for slot 0");
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
        client.join().expect("the client thread does not panic")
    });
    Handover { ready: ready.as_secs_f64() * 1e3, longest_wait: longest_wait.as_secs_f64() * 1e3 }
}

/// The median of the samples, then the least and the greatest in parentheses.
fn summary(mut samples: Vec<f64>) -> String {
    samples.sort_by(f64::total_cmp);
    format!("{:8.1} ({:.1}, {:.1})", samples[samples.len() / 2], samples[0], samples[samples.len() - 1])
}

fn main() {
    println!("{}", json!({"rounds": ROUNDS, "body and result, bytes": 200}));
    println!(
        "  keys  open   ready, ms: median (least, most)    longest wait at hand-over, ms: median (least, most)"
    );
    for (keys, open) in [(0, 0), (1_000, 0), (10_000, 0), (30_000, 0), (0, 32), (0, 320)] {
        let handovers: Vec<Handover> = (0..ROUNDS).map(|_| measure_handover(keys, open)).collect();
        let ready = summary(handovers.iter().map(|handover| handover.ready).collect());
        let longest_wait = summary(handovers.iter().map(|handover| handover.longest_wait).collect());
        println!("{keys:6} {open:5}   {ready:32}   {longest_wait}");
    }
}
