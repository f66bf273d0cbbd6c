//! The connection to the kernel: repeated notices, resent commands and the polling of gauges.

use crate::support::*;
use serde_json::json;
use std::time::Instant;

/// The connection to the kernel breaks, and on the new connection the kernel repeats a notice that the node
/// has already applied.
#[test]
fn notices_repeated_on_a_new_connection_apply_once() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.expect_nothing(5);
    kernel.notify(json!({"event": "DMESG", "fate": "hello"}), true);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    drop(kernel);
    let mut kernel = scene.accept_kernel();
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 2}));
    // An attempt that arrives before the kernel has reported that it is up again runs afterwards.
    gateway.request(2, "quote", TXN_B, b"q");
    kernel.boot();
    for _ in 0..2 {
        kernel.reap(TXN_A, "good", b"other");
    }
    kernel.expect("SCHED", TXN_B);
    kernel.cursor = 2;
    kernel.reap(TXN_B, "good", b"s");
    assert_eq!(status_and_body(&gateway.response()), (2, "200", &b"s"[..]));
}

/// The connection to the kernel breaks after the node has written commands to it. The kernel has read some of
/// them and has ended one of the runs before the node reconnects.
#[test]
fn commands_that_a_broken_connection_may_have_lost_are_resent_unless_known_to_be_done() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    // The node knows that the kernel has read the first command, but not whether it has read the second and
    // the third.
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.expect_nothing(5);
    gateway.request(2, "quote", TXN_B, b"q");
    gateway.request(3, "booking", TXN_C, b"b");
    let mut read = vec![kernel.next_message(), kernel.next_message()];
    while read.iter().filter(|c| c["event"] == "SCHED").count() < 2 {
        read.push(kernel.next_message());
    }
    drop(kernel);
    let mut kernel = scene.accept_kernel();
    assert_eq!(kernel.command()["event"], "OPEN");
    kernel.boot();
    // The third run has ended in the meantime: if the node resent its command, the attempt would run twice.
    kernel.reap(TXN_C, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"booked"[..]));
    assert_eq!(kernel.expect("SCHED", TXN_B), b"q");
    kernel.expect_nothing(5);
}

#[test]
fn gauges_are_polled_every_four_ticks() {
    let (_scene, mut kernel) = Scene::with_kernel();
    kernel.expect_nothing(2);
    let began = Instant::now();
    kernel.expect_nothing(50);
    // The node polls every four ticks of 2 ms; on a busy machine the polls only take longer.
    assert!(began.elapsed().as_millis() >= 380, "{:?}", began.elapsed());
}
