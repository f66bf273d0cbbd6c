//! Tests of invalid input from gateways, the kernel and the store. Invalid input may fail its own request, or
//! end its own connection if the framing is lost. The node counts it, bounds the memory that it takes, and
//! other requests are not affected.

mod support;

use serde_json::json;
use std::io::Read;
use std::time::{Duration, Instant};
use support::*;

/// A gateway sends records for a request that it never began, records of types that only a FastCGI
/// application may send, and records for a request that has already ended. The node ignores all of them.
#[test]
fn records_of_no_open_request_are_ignored() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    let params = name_value_pair("SCRIPT_NAME", "/svc/quote");
    for (record_type, content) in
        [(2, &[][..]), (3, &[0; 8]), (4, &params), (5, b"body"), (6, b"out"), (8, b"data")]
    {
        gateway.send(&fcgi_record(record_type, 9, content));
    }
    gateway.request(1, "quote", TXN_A, b"q");
    // The empty STDIN record has ended request 1: the node ignores further STDIN and PARAMS records for it.
    gateway.send(&fcgi_record(STDIN, 1, b"more"));
    gateway.send(&fcgi_record(STDIN, 1, &[]));
    gateway.send(&fcgi_record(PARAMS, 1, &params));
    assert_eq!(kernel.expect("SCHED", TXN_A), b"q");
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    gateway.request(1, "quote", TXN_B, b"q");
    kernel.expect("SCHED", TXN_B);
    kernel.reap(TXN_B, "good", b"s");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"s"[..]));
    assert_eq!((scene.counter("requests_bad"), scene.counter("framing_lost")), (0, 0));
}

/// A gateway begins a request with the id of a request that is still open. Later records with this id could
/// belong to either request, so the node ends the connection after the response to the first request.
#[test]
fn a_request_begun_twice_ends_its_connection_after_the_first_response() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut faulty_gateway = scene.gateway();
    let mut gateway = scene.gateway();
    faulty_gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    faulty_gateway.request(1, "quote", TXN_B, b"q");
    gateway.request(1, "quote", TXN_C, b"q");
    kernel.expect("SCHED", TXN_C);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&faulty_gateway.response()), (1, "200", &b"r"[..]));
    assert_eq!(
        faulty_gateway.stream.read(&mut [0]).map_err(|error| error.kind()),
        Ok(0),
        "the connection ends without a reset"
    );
    kernel.reap(TXN_C, "good", b"s");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"s"[..]));
    assert_eq!(scene.counter("framing_lost"), 1);
}

/// 30 connections send incomplete requests while other connections send complete ones. The node must end each
/// incomplete request in time and within bounded memory, and serve the complete requests.
#[test]
fn incomplete_requests_on_many_connections_do_not_affect_other_requests() {
    let (scene, mut kernel) = Scene::with_kernel();
    let records = attempt_records(1, "quote", TXN_A, &[], &[7; 2000]);
    let mut senders: Vec<Gateway> = (0..30).map(|_| scene.gateway()).collect();
    for (n, sender) in senders.iter_mut().enumerate() {
        sender.send(&records[..records.len() - 8 - n * 30]);
    }
    for n in 0..5 {
        let mut gateway = scene.gateway();
        let id = format!("9b1f03aa5c7e2e0{n}");
        gateway.request(1, "quote", &id, b"q");
        kernel.expect("SCHED", &id);
        kernel.reap(&id, "good", b"r");
        assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    }
    // Each incomplete request must end within the time limit, by a rejection, an error or a closed
    // connection.
    let began = Instant::now();
    for sender in &mut senders {
        let end = sender.next_record().map(|(record_type, ..)| record_type);
        assert!(matches!(end, Ok(6) | Err(_)), "{end:?}");
    }
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

/// The kernel sends notices about runs that the node did not start, repeated notices, notices out of order,
/// answers to commands that the node did not send, and a line that is too long.
#[test]
fn notices_without_a_run_or_a_question_are_ignored_and_an_endless_line_ends_the_connection() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    let mut checker = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    for id in [TXN_B, "not an id"] {
        kernel.reap(id, "good", b"x");
        kernel.request_call(id, b"x");
    }
    kernel.notify(json!({"event": "INFO", "ticket": "99999999", "figures": [0.1, 0.0, 0.1, 3.0]}), false);
    // The node must not take this unrequested probe result for the result of the next probe.
    kernel.notify(json!({"event": "POSTED", "ticket": "99999999", "fate": "bad"}), false);
    checker.send(&request_records(7, &[("SCRIPT_NAME", "/status/live"), ("QUERY_STRING", "engine=1")], &[]));
    let post = kernel.command();
    assert_eq!(post["event"], "POST");
    for fate in ["good", "bad"] {
        kernel.notify(json!({"event": "POSTED", "ticket": post["ticket"], "fate": fate}), false);
    }
    assert_eq!(&checker.response().status[..3], "200");
    // A long line that ends is accepted as a notice. A line that exceeds the limit without an end ends the
    // connection (below).
    kernel.notify(json!({"event": "DMESG", "fate": "x".repeat(60_000)}), true);
    kernel.reap(TXN_A, "good", b"r");
    kernel.reap(TXN_A, "good", b"other");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    gateway.request(2, "booking", TXN_C, b"b");
    assert_eq!(status_and_body(&gateway.response()), (2, "200", &b"r"[..]));
    let cursor = kernel.cursor;
    kernel.notify_partially(&"x".repeat(70_000));
    let mut kernel = scene.accept_kernel();
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": cursor}));
    kernel.boot();
    gateway.request(3, "quote", TXN_B, b"q");
    kernel.expect("SCHED", TXN_B);
    assert!(scene.counter("lines_bad") >= 3);
}

/// The store sends one reply in pieces, with each pause shorter than the stall limit, and stops in the middle
/// of another reply.
#[test]
fn a_reply_in_slow_pieces_is_accepted_and_one_that_stalls_fails_only_its_own_request() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    for piece in [&TXN_A[..5], &TXN_A[5..], " O", "K 3\r", "\nab"] {
        store.reply(piece.as_bytes());
        // The pauses together are far longer than the time for which a reply may stall.
        kernel.expect_nothing(11);
    }
    store.reply(b"c\r\n");
    assert_eq!(kernel.expect("IODONE", TXN_A), b"abc");
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    // While the kernel answers 40 polls for gauges, the node closes the idle connection of the first call.
    // The second call therefore opens its own connection, on which the reply stalls. The run of the second
    // call must not be repeated, so its request must fail long before the deadline.
    kernel.expect_nothing(40);
    let began = Instant::now();
    gateway.send(&attempt_records(1, "booking", TXN_B, &[("HTTP_X_TXN_KEY", "k2")], b"b"));
    kernel.expect("SCHED", TXN_B);
    kernel.request_call(TXN_B, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_B);
    store.reply(format!("{TXN_B} OK 3\r\nab").as_bytes());
    assert_eq!(status_and_body(&gateway.response()).1, "500");
    assert!(began.elapsed() < Duration::from_millis(2_500), "{:?}", began.elapsed());
}

/// The store answers a call with a reply to another id, with a reply that is too long, or with bytes that are
/// not a reply.
#[test]
fn a_reply_that_is_too_long_or_malformed_or_has_another_id_fails_only_its_own_request() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    for (n, reply) in [format!("{TXN_C} OK 1\r\nx\r\n"), format!("{TXN_A} OK 65537\r\n"), "x".repeat(200)]
        .iter()
        .enumerate()
    {
        let id = format!("9b1f03aa5c7e2f0{n}");
        let other = format!("9b1f03aa5c7e2f1{n}");
        gateway.send(&attempt_records(
            1,
            "booking",
            &id,
            &[("HTTP_X_TTL_MS", "900"), ("HTTP_X_TXN_KEY", &id)],
            b"b",
        ));
        kernel.expect("SCHED", &id);
        kernel.request_call(&id, b"c");
        let mut store = scene.accept_store();
        store.expect_call(&id);
        gateway.request(2, "quote", &other, b"q");
        kernel.expect("SCHED", &other);
        kernel.request_call(&other, b"d");
        let mut second = scene.accept_store();
        second.expect_call(&other);
        store.reply(reply.as_bytes());
        second.reply(format!("{other} OK 1\r\nr\r\n").as_bytes());
        assert_eq!(kernel.expect("IODONE", &other), b"r");
        kernel.reap(&other, "good", b"s");
        let mut responses = [gateway.response(), gateway.response()];
        responses.sort_by_key(|response| response.id);
        assert_eq!(status_and_body(&responses[0]).1, "500", "{reply:?}");
        assert_eq!(status_and_body(&responses[1]), (2, "200", &b"s"[..]));
        // The kernel ends the failed run, which frees its core for the next run. While the kernel answers 40
        // polls for gauges, the node closes its idle connections to the store.
        kernel.reap(&id, "cut", &[]);
        kernel.expect_nothing(40);
    }
}
