//! Bad input and bad peers: each costs its own request, or its own connection where the framing is lost; counted, bounded,
//! and without effect on others.

mod support;

use serde_json::json;
use std::io::Read;
use std::time::{Duration, Instant};
use support::*;

// Records of requests that were never begun, of kinds that no gateway sends, and bytes behind a request's end.
#[test]
fn records_that_belong_to_nothing_are_passed_over() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    let params = name_value_pair("SCRIPT_NAME", "/svc/quote");
    for (kind, content) in [(2, &[][..]), (3, &[0; 8]), (4, &params), (5, b"body"), (6, b"out"), (8, b"data")]
    {
        gateway.send(&fcgi_record(kind, 9, content));
    }
    gateway.request(1, "quote", TXN_A, b"q");
    // Its end has come: neither more of its body nor a second end is part of it.
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

// A second beginning of an open request: what follows could belong to either, so the connection ends once it is answered.
#[test]
fn a_request_that_is_begun_twice_ends_its_connection_after_the_first_is_answered() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let (mut bad, mut gateway) = (scene.gateway(), scene.gateway());
    bad.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    bad.request(1, "quote", TXN_B, b"q");
    gateway.request(1, "quote", TXN_C, b"q");
    kernel.expect("SCHED", TXN_C);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&bad.response()), (1, "200", &b"r"[..]));
    assert_eq!(bad.stream.read(&mut [0]).map_err(|e| e.kind()), Ok(0), "an end, and no reset");
    kernel.reap(TXN_C, "good", b"s");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"s"[..]));
    assert_eq!(scene.counter("framing_lost"), 1);
}

// A flood of half requests over many connections, with the true ones among them: each gets its end, and memory stays bounded.
#[test]
fn a_flood_of_half_requests_costs_the_others_nothing() {
    let (scene, mut kernel) = Scene::with_kernel();
    let whole = attempt_records(1, "quote", TXN_A, &[], &[7; 2000]);
    let mut halves: Vec<Gateway> = (0..30).map(|_| scene.gateway()).collect();
    for (n, half) in halves.iter_mut().enumerate() {
        half.send(&whole[..whole.len() - 8 - n * 30]);
    }
    for n in 0..5 {
        let (mut gateway, id) = (scene.gateway(), format!("9b1f03aa5c7e2e0{n}"));
        gateway.request(1, "quote", &id, b"q");
        kernel.expect("SCHED", &id);
        kernel.reap(&id, "good", b"r");
        assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    }
    // Within the time that such clients are owed an end: a refusal, an error or a close.
    let began = Instant::now();
    for half in &mut halves {
        let end = half.next_record().map(|(kind, ..)| kind);
        assert!(matches!(end, Ok(6) | Err(_)), "{end:?}");
    }
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

// What the kernel says of runs that it does not have, twice, out of order, unasked or too long.
#[test]
fn notices_that_fit_nothing_change_nothing_and_an_endless_one_costs_the_link() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let (mut gateway, mut checker) = (scene.gateway(), scene.gateway());
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    for id in [TXN_B, "not an id"] {
        kernel.reap(id, "good", b"x");
        kernel.request_call(id, b"x");
    }
    kernel.notify(json!({"event": "INFO", "ticket": "99999999", "figures": [0.1, 0.0, 0.1, 3.0]}), false);
    // An answer to no question does not pass for one to the next.
    kernel.notify(json!({"event": "POSTED", "ticket": "99999999", "fate": "bad"}), false);
    checker.send(&request_records(7, &[("SCRIPT_NAME", "/status/live"), ("QUERY_STRING", "engine=1")], &[]));
    let post = kernel.command();
    assert_eq!(post["event"], "POST");
    for fate in ["good", "bad"] {
        kernel.notify(json!({"event": "POSTED", "ticket": post["ticket"], "fate": fate}), false);
    }
    assert_eq!(&checker.response().status[..3], "200");
    // A long remark is one; a line without an end is none.
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

// Store replies that are slow: in pieces each of which comes in time they are whole; ones that stop cost their own call.
#[test]
fn a_reply_that_comes_in_slow_pieces_is_whole_and_one_that_stops_fails_alone() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    for piece in [&TXN_A[..5], &TXN_A[5..], " O", "K 3\r", "\nab"] {
        store.reply(piece.as_bytes());
        // Together they take far longer than a reply may stand still for.
        kernel.expect_nothing(11);
    }
    store.reply(b"c\r\n");
    assert_eq!(kernel.expect("IODONE", TXN_A), b"abc");
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    // One that stops half way: a run that may not be repeated fails, long before its time. By then the connection that the
    // first call had is closed, as it rested.
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

// Store replies that are too long, of another id alone, or never come.
#[test]
fn replies_too_long_of_another_id_or_never_cost_their_own_call_alone() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    for (n, reply) in [format!("{TXN_C} OK 1\r\nx\r\n"), format!("{TXN_A} OK 65537\r\n"), "x".repeat(200)]
        .iter()
        .enumerate()
    {
        let (id, other) = (format!("9b1f03aa5c7e2f0{n}"), format!("9b1f03aa5c7e2f1{n}"));
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
        let mut answers = [gateway.response(), gateway.response()];
        answers.sort_by_key(|a| a.id);
        assert_eq!(status_and_body(&answers[0]).1, "500", "{reply:?}");
        assert_eq!(status_and_body(&answers[1]), (2, "200", &b"s"[..]));
        // The run that failed ends too: its place on the cores is free for the next. What rests meanwhile is closed.
        kernel.reap(&id, "cut", &[]);
        kernel.expect_nothing(40);
    }
}
