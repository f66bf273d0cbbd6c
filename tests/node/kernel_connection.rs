//! The connection to the kernel: repeated notices, resent commands, polled gauges.

use crate::support::*;
use serde_json::json;
use std::time::Instant;

/// The kernel's connection breaks, and on the new one the kernel repeats a notice that was applied before.
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
    // An attempt that arrives while the kernel is away runs when it is back.
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

/// The kernel's connection breaks after commands were written to it. The kernel has read some, and has ended one of the
/// runs before the new connection.
#[test]
fn commands_that_a_broken_connection_may_have_lost_are_resent_unless_known_to_be_done() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    // The first command is known to have been read, the second and the third are not.
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
    // The third run has ended meanwhile: resending its command would run it twice.
    kernel.reap(TXN_C, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"booked"[..]));
    assert_eq!(kernel.expect("SCHED", TXN_B), b"q");
    kernel.expect_nothing(5);
}

#[test]
fn gauges_are_polled_at_the_interval_of_the_timer() {
    let (_scene, mut kernel) = Scene::with_kernel();
    kernel.expect_nothing(2);
    let began = Instant::now();
    kernel.expect_nothing(50);
    // A poll every four ticks of 2 ms; a busy machine only makes it longer.
    assert!(began.elapsed().as_millis() >= 380, "{:?}", began.elapsed());
}
