//! How long one process of the node takes to hand over to another, by what it has to hand over.
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

/// Rounds of each size.
const ROUNDS: usize = 7;

/// A node with this many keys, each with a result, and this many open tries that no kernel ends; replaced once.
/// Milliseconds from the start of the new process to its yes, and the longest wait of a client that asks for health
/// again and again while the old one is told to end.
fn replace(keys: u64, open: u64) -> (f64, f64) {
    let scene = Scene::replaceable_with(|text| {
        lift_limits(text);
        text["limits"]["memory_mb"] = 512.into();
        text["settings"]["extra"]["cores"] = 64.into();
        for class in 0..2 {
            text["settings"]["classes"][class]["dedup-window"] = 120_000_000_000u64.into();
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
    let mut held: Vec<Gateway> = Vec::new();
    for n in 0..open {
        // 32 requests at most are open on a connection.
        if n % 32 == 0 {
            held.push(scene.gateway());
        }
        let (of, txn) = (held.last_mut().expect("one"), format!("{:016x}", (1 << 40) + n));
        of.send(&attempt_records((n % 32) as u16 + 1, "quote", &txn, &[], body.as_bytes()));
    }
    let began = Instant::now();
    let next = scene.start_successor();
    kernel.serve_also(&next.kernel);
    next.await_ready();
    let yes = began.elapsed();
    let over = AtomicBool::new(false);
    let longest = thread::scope(|scope| {
        let (address, over) = (&scene.address, &over);
        let client = scope.spawn(move || {
            let (mut gateway, mut longest) = (Gateway::connect(address), Duration::ZERO);
            while !over.load(Ordering::Relaxed) {
                let sent = Instant::now();
                assert_eq!(&gateway.health_check("").status[..3], "200");
                longest = longest.max(sent.elapsed());
            }
            longest
        });
        thread::sleep(Duration::from_millis(20));
        scene.signal("-TERM");
        thread::sleep(Duration::from_millis(300));
        over.store(true, Ordering::Relaxed);
        client.join().expect("no panic")
    });
    (yes.as_secs_f64() * 1e3, longest.as_secs_f64() * 1e3)
}

fn main() {
    println!("{}", json!({"rounds": ROUNDS, "body and result, bytes": 200}));
    println!(
        "  keys  open   to yes, ms: median (least, most)   longest wait over the change, ms: median (least, most)"
    );
    for (keys, open) in [(0, 0), (1_000, 0), (10_000, 0), (30_000, 0), (0, 32), (0, 320)] {
        let (mut yes, mut gap): (Vec<f64>, Vec<f64>) = (0..ROUNDS).map(|_| replace(keys, open)).unzip();
        yes.sort_by(f64::total_cmp);
        gap.sort_by(f64::total_cmp);
        let of = |v: &[f64]| format!("{:8.1} ({:.1}, {:.1})", v[v.len() / 2], v[0], v[v.len() - 1]);
        println!("{keys:6} {open:5}   {:32}   {}", of(&yes), of(&gap));
    }
}
