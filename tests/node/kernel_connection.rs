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

/// Breaks the connection to the kernel, and answers the node's question on the next one. The kernel says
/// nothing else in between.
fn reconnect(scene: &Scene, kernel: Kernel) -> Kernel {
    let cursor = kernel.cursor;
    drop(kernel);
    let mut kernel = scene.accept_kernel();
    kernel.cursor = cursor;
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": cursor}));
    kernel.boot();
    kernel.expect_nothing(1);
    kernel
}

/// Brings the run of an attempt to its first outbound call, whose reply the kernel reads without showing it.
fn complete_first_call(kernel: &mut Kernel, scene: &Scene, id: &str) -> StoreConnection {
    kernel.expect("SCHED", id);
    kernel.request_call(id, b"c1");
    let mut store = scene.accept_store();
    assert_eq!(store.expect_call(id), b"c1");
    store.reply(format!("{id} OK 2\r\nr1\r\n").as_bytes());
    assert_eq!(kernel.next_command_without_answers(), ("IODONE".into(), id.into()));
    store
}

/// Guards against a run that gets the reply to its first call as the reply to its second one: the kernel has
/// read the first reply when the connection breaks, and the run requests its second call behind the answer to
/// the node's question.
#[test]
fn a_reply_that_the_kernel_may_have_read_is_not_repeated() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    let _first_store = complete_first_call(&mut kernel, &scene, TXN_A);
    let mut kernel = reconnect(&scene, kernel);
    kernel.expect_nothing(5);
    kernel.request_call(TXN_A, b"c2");
    let mut store = scene.accept_store();
    assert_eq!(store.expect_call(TXN_A), b"c2");
    store.reply(format!("{TXN_A} OK 2\r\nr2\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_A), b"r2");
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
}

/// Guards against a request without an answer: the kernel has not read the reply, so its run waits for ever.
#[test]
fn a_run_that_shows_no_sign_of_a_reply_fails_and_is_stopped() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    let _store = complete_first_call(&mut kernel, &scene, TXN_A);
    let mut kernel = reconnect(&scene, kernel);
    kernel.expect("PREEMPT", TXN_A);
    assert_eq!(status_and_body(&gateway.response()), (1, "500", &b""[..]));
    kernel.reap(TXN_A, "cut", &[]);
    assert_eq!((scene.counter("commands_in_doubt"), scene.counter("runs_lost")), (1, 1));
}

/// Guards against a second run of a keyed request: its run ends right behind the answer to the node's
/// question, so a repeated command would start it again. The command for a class without effects is repeated.
#[test]
fn a_keyed_run_that_the_kernel_may_have_started_is_not_started_again() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    kernel.expect_nothing(1);
    gateway.request(1, "booking", TXN_A, b"b");
    assert_eq!(kernel.next_command_without_answers(), ("SCHED".into(), TXN_A.into()));
    gateway.request(2, "quote", TXN_B, b"q");
    assert_eq!(kernel.next_command_without_answers(), ("SCHED".into(), TXN_B.into()));
    let mut kernel = reconnect(&scene, kernel);
    kernel.expect("SCHED", TXN_B);
    kernel.expect_nothing(5);
    kernel.reap(TXN_A, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
}

/// Guards against a keyed request without an answer: the kernel has not read the command to run it. The key
/// is not run by a repeat either, as the node cannot know this.
#[test]
fn a_keyed_run_that_shows_no_sign_of_a_start_fails_and_its_key_does_not_run() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    kernel.expect_nothing(1);
    gateway.request(1, "booking", TXN_A, b"b");
    assert_eq!(kernel.next_command_without_answers(), ("SCHED".into(), TXN_A.into()));
    let mut kernel = reconnect(&scene, kernel);
    let waiting = std::thread::spawn(move || (gateway.response(), gateway));
    while !waiting.is_finished() {
        kernel.expect_nothing(1);
    }
    let (response, mut gateway) = waiting.join().expect("a response");
    assert_eq!(status_and_body(&response), (1, "500", &b""[..]));
    gateway.request(2, "booking", TXN_B, b"b");
    assert_eq!(status_and_body(&gateway.response()), (2, "500", &b""[..]));
    kernel.expect_nothing(5);
    assert_eq!(scene.counter("runs_lost"), 1);
}

/// Commands that are given while the node has no connection cannot have been read, whatever they are.
#[test]
fn commands_that_were_never_sent_are_sent_on_the_next_connection() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    drop(kernel);
    let mut kernel = scene.accept_kernel();
    assert_eq!(kernel.command()["event"], "OPEN");
    gateway.request(2, "booking", TXN_B, b"b");
    store.reply(format!("{TXN_A} OK 1\r\nr\r\n").as_bytes());
    // The node closes the connection to the store after it has read the reply.
    assert_eq!(store.next_line(), (String::new(), Vec::new()));
    kernel.cursor = 1;
    kernel.boot();
    let mut sent = [kernel.command(), kernel.command()].map(|command| command["event"].to_string());
    sent.sort();
    assert_eq!(sent, ["\"IODONE\"", "\"SCHED\""]);
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
