//! Outbound calls, which runs make to the store through the node.

use crate::support::*;
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn outbound_calls_and_their_replies_are_forwarded_unchanged() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    let call = b"\r\n\0call";
    // The body of the reply contains a line that is itself a valid reply.
    let reply = b"\xff\r\n9b1f03aa5c7e2d41 BUSY\r\n";
    kernel.request_call(TXN_A, call);
    let mut store = scene.accept_store();
    assert_eq!(store.expect_call(TXN_A), call);
    let mut line = format!("{TXN_A} OK {}\r\n", reply.len()).into_bytes();
    line.extend(reply);
    line.extend(b"\r\n");
    store.reply(&line);
    assert_eq!(kernel.expect("IODONE", TXN_A), reply);
    kernel.reap(TXN_A, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
}

/// A connection to the store breaks while a call is pending, so that the node cannot know whether the call
/// had its effect.
#[test]
fn a_broken_store_connection_fails_a_keyed_run_and_a_repeatable_run_retries_its_call() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    drop(store);
    // The keyed run may have had its effect: the node fails it instead of rejecting it, and does not retry
    // its call.
    assert_eq!(status_and_body(&gateway.response()).1, "500");
    // A run that may be repeated retries its call on a new connection, after a broken connection as after a
    // BUSY reply.
    gateway.request(2, "quote", TXN_B, b"q");
    kernel.expect("SCHED", TXN_B);
    kernel.request_call(TXN_B, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_B);
    drop(store);
    let mut store = scene.accept_store();
    store.expect_call(TXN_B);
    store.reply(format!("{TXN_B} BUSY\r\n").as_bytes());
    scene.accept_store().expect_call(TXN_B);
}

/// The store does not listen yet when a run requests its call. A refused connection shows that the call had
/// no effect, so that the node may retry it even for a keyed run.
#[test]
fn a_keyed_run_retries_its_call_after_a_refused_store_connection() {
    let scene = Scene::new(|_| ());
    let mut kernel = scene.connect_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    kernel.expect_nothing(10);
    scene.store.listen(16).expect("the store listens");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    store.reply(format!("{TXN_A} OK 1\r\nr\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_A), b"r");
}

/// The store is overloaded and replies BUSY six times in a row. Retries without a pause would add to its
/// load.
#[test]
fn a_call_that_the_store_rejects_is_retried_with_backoff() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let began = Instant::now();
    for _ in 0..6 {
        let mut store = scene.accept_store();
        store.expect_call(TXN_A);
        store.reply(format!("{TXN_A} BUSY\r\n").as_bytes());
    }
    // For a latency objective of 3 s, the pauses are 4.5 ms, doubled after each retry; on a busy machine they
    // only become longer.
    assert!(began.elapsed().as_millis() >= 100, "{:?}", began.elapsed());
}

/// The store replies to calls of keyed runs with ERR or LATE, after which the calls may have had their
/// effect, or with VOID, which states that the call never ran because no run waits for its reply.
#[test]
fn err_and_late_replies_fail_a_keyed_run_at_once_and_a_void_reply_when_the_run_ends() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    let mut store = None;
    for (n, word) in ["ERR", "LATE", "VOID"].into_iter().enumerate() {
        let id = format!("9b1f03aa5c7e2d5{n}");
        gateway.send(&attempt_records(1, "booking", &id, &[("HTTP_X_TXN_KEY", word)], b"b"));
        kernel.expect("SCHED", &id);
        kernel.request_call(&id, b"c");
        let store = store.get_or_insert_with(|| scene.accept_store());
        store.expect_call(&id);
        store.reply(format!("{id} {word}\r\n").as_bytes());
        if word == "VOID" {
            kernel.expect_nothing(3);
            kernel.reap(&id, "cut", &[]);
        }
        assert_eq!(status_and_body(&gateway.response()).1, "500", "{word}");
    }
}

/// The store sends a malformed reply to one of two pending calls. Each call has its own connection, so that
/// the other call must not be affected.
#[test]
fn a_malformed_reply_affects_only_the_call_on_its_connection() {
    for malformed in [
        &b"\x00\xffnoise\r\n"[..],
        b"9b1f03aa5c7e2d41 OK 3000000000\r\nxxxx",
        b"9b1f03aa5c7e2d41 OK 9\r\nx\r\n",
    ] {
        let (scene, mut kernel) = Scene::with_kernel();
        let mut gateway = scene.gateway();
        let mut stores = Vec::new();
        for (n, id) in [TXN_A, TXN_B].into_iter().enumerate() {
            gateway.request(n as u16, "quote", id, b"q");
            kernel.expect("SCHED", id);
            kernel.request_call(id, b"c");
            let mut store = scene.accept_store();
            store.expect_call(id);
            stores.push(store);
        }
        stores[0].reply(malformed);
        // The run may be repeated, and so the node retries its call on another connection.
        let mut retry = scene.accept_store();
        retry.expect_call(TXN_A);
        stores[1].reply(format!("{TXN_B} OK 1\r\nr\r\n").as_bytes());
        assert_eq!(kernel.expect("IODONE", TXN_B), b"r");
        retry.reply(format!("{TXN_A} OK 1\r\ns\r\n").as_bytes());
        assert_eq!(kernel.expect("IODONE", TXN_A), b"s");
    }
}

/// The store sends a reply with an unknown id, and a reply twice. The node must not take either of them for
/// the reply to another call.
#[test]
fn a_duplicate_reply_is_not_taken_for_the_reply_to_the_next_call() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c1");
    let mut first = scene.accept_store();
    first.expect_call(TXN_A);
    first.reply(format!("{TXN_B} OK 1\r\nx\r\n{TXN_A} OK 1\r\n1\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_A), b"1");
    kernel.request_call(TXN_A, b"c2");
    let mut second = scene.accept_store();
    assert_eq!(second.expect_call(TXN_A), b"c2");
    first.reply(format!("{TXN_A} OK 1\r\n1\r\n").as_bytes());
    kernel.expect_nothing(5);
    second.reply(format!("{TXN_A} OK 1\r\n2\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_A), b"2");
    assert!(scene.counter("replies_unasked") >= 1);
}

/// A scene whose `quote` runs may skip their outbound call, and whose store does not listen. One run has
/// started and has requested its call.
fn scene_with_skippable_call() -> (Scene, Kernel, Gateway) {
    let scene = Scene::new(|c| c["settings"]["extra"]["class-skip-worth"] = json!([0.3, 0.0]));
    let mut kernel = scene.connect_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    // The store does not listen, so that the node cannot make the call.
    kernel.request_call(TXN_A, b"c");
    (scene, kernel, gateway)
}

/// The store is unreachable, and the run may skip its call. The connection to the kernel breaks before the
/// node knows whether the kernel has read the command to skip the call.
#[test]
fn the_command_to_skip_a_call_names_its_notice_and_is_resent_on_a_new_connection() {
    let (scene, mut kernel, mut gateway) = scene_with_skippable_call();
    let skip_command = json!({"event": "NOIO", "handle": TXN_A, "cursor": 1});
    assert_eq!(kernel.command(), skip_command);
    // After the connection has broken, the node cannot know whether the kernel has read the command.
    drop(kernel);
    let mut kernel = scene.accept_kernel();
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 1}));
    kernel.cursor = 1;
    kernel.boot();
    assert_eq!(kernel.command(), skip_command);
    kernel.reap(TXN_A, "good", b"poorer");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"poorer"[..]));
}

/// The kernel rejects the command to continue a run without its call.
#[test]
fn a_run_fails_at_once_when_the_kernel_rejects_the_command_to_skip_its_call() {
    let (_scene, mut kernel, mut gateway) = scene_with_skippable_call();
    kernel.expect("NOIO", TXN_A);
    let began = Instant::now();
    kernel.notify(json!({"event": "EINVAL", "fate": "NOIO", "handle": TXN_A}), false);
    assert_eq!(status_and_body(&gateway.response()).1, "500");
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

/// The store of the outbound calls refuses connections while the node drains.
#[test]
fn a_run_that_skips_its_call_during_a_drain_is_answered_with_its_result() {
    let scene = Scene::new(|c| c["settings"]["extra"]["class-skip-worth"] = json!([0.3, 0.0]));
    let mut kernel = scene.connect_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    scene.signal("-TERM");
    while scene.membership_report() != "HB n3 OUT" {}
    kernel.request_call(TXN_A, b"c");
    kernel.expect("NOIO", TXN_A);
    kernel.reap(TXN_A, "good", b"poorer");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"poorer"[..]));
}
