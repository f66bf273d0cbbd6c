//! Malformed input: it must fail only its own request or, where the framing is lost, end only its own
//! connection.

use crate::support::*;
use serde_json::json;
use std::io::Write;

/// A gateway sends requests with invalid fields, then records of unknown types, and finally bytes that are
/// not a FastCGI record.
#[test]
fn a_malformed_request_is_counted_and_affects_no_other_request() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let long = "x".repeat(2049);
    type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str, &'a str);
    let cases: [Case; 9] = [
        ("unknown", &[], "", "404"),
        ("quote", &[("HTTP_X_TXN", "xyz")], "", "400"),
        ("quote", &[("HTTP_X_TXN", "")], "", "400"),
        ("quote", &[("HTTP_X_INGRESS_TIME", "-5")], "", "400"),
        ("quote", &[("HTTP_X_CPU_HINT", "NaN")], "", "400"),
        ("quote", &[("HTTP_X_WORKING_SET_KB", "1e9")], "", "400"),
        ("booking", &[("HTTP_X_TXN_KEY", "")], "", "400"),
        ("quote", &[("REQUEST_METHOD", "GET")], "", "405"),
        ("quote", &[], &long, "413"),
    ];
    for (class, changes, body, status) in cases {
        let mut gateway = scene.gateway();
        gateway.send(&attempt_records(4, class, TXN_A, changes, body.as_bytes()));
        assert_eq!(&gateway.response().status[..3], status, "{class} {changes:?}");
    }
    let mut gateway = scene.gateway();
    // A begin record with a role that the node does not implement, and a management record of an unknown
    // type.
    gateway.send(&fcgi_record(BEGIN_REQUEST, 4, &[0, 9, 1, 0, 0, 0, 0, 0]));
    assert_eq!(gateway.response().protocol_status, 3);
    gateway.send(&fcgi_record(77, 0, &[]));
    assert_eq!(
        gateway.next_record().expect("an unknown-type record from the node"),
        (11, 0, vec![77, 0, 0, 0, 0, 0, 0, 0])
    );
    // After the framing is lost, the node answers the requests that it read before and closes the connection.
    gateway.request(5, "quote", TXN_A, b"q");
    gateway.send(&[9; 40]);
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (5, "200", &b"r"[..]));
    assert!(gateway.is_closed());
    assert_eq!((scene.counter("requests_bad"), scene.counter("framing_lost")), (9, 1));
}

/// The kernel and the store send malformed messages.
#[test]
fn malformed_notices_are_skipped_and_a_malformed_reply_ends_its_store_connection() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    kernel.notify(json!({"event": "NOVEL", "fate": "x"}), false);
    kernel.notify(json!({"event": "REAP", "handle": "short", "fate": "good"}), true);
    kernel.notify(json!(["no", "notice"]).clone(), false);
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    store.reply(b"what is this\r\n");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    assert_eq!(scene.counter("lines_bad"), 4);
}

/// A client sends bodies or parameters that exceed the size limit and never end. The node must answer without
/// waiting for their end.
#[test]
fn an_oversized_request_is_rejected_before_its_end_and_ends_its_connection() {
    let (scene, mut kernel) = Scene::with_kernel();
    let begin = begin_record(1);
    let body_too_long = attempt_records(1, "quote", TXN_A, &[], &[0; 3000]);
    let endless: Vec<u8> = (0..2000).flat_map(|_| name_value_pair("HTTP_X_NOVEL", "novel")).collect();
    let params = [begin, fcgi_record(PARAMS, 1, &endless)].concat();
    for bytes in [&body_too_long[..body_too_long.len() - 8], &params] {
        let mut client = scene.gateway();
        client.send(bytes);
        assert_eq!(status_and_body(&client.response()), (1, "413", &[][..]));
        assert!(client.is_closed());
    }
    // Records for a request that is not open must not be read without end either: the node closes the
    // connection.
    let mut client = scene.gateway();
    let stray = fcgi_record(STDIN, 1, &[0; 1000]);
    assert!((0..100_000).any(|_| client.stream.write_all(&stray).is_err()));
    kernel.expect_nothing(1);
}

/// A client resends a bad request as soon as it gets its response. The node must end the connection after a
/// few of them.
#[test]
fn repeated_bad_requests_end_a_connection_on_which_nothing_was_served() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut client = scene.gateway();
    for _ in 0..4 {
        client.request(1, "unknown", TXN_A, &[]);
        assert_eq!(&client.response().status[..3], "404");
    }
    client.request(1, "unknown", TXN_A, &[]);
    assert!(client.next_record().is_err(), "the node answered a fifth bad request on one connection");
    // An attempt whose transaction id the kernel rejects counts as a bad request too.
    let mut client = scene.gateway();
    for n in 0..4 {
        let id = format!("9b1f03aa5c7e2d6{n}");
        client.request(1, "quote", &id, b"q");
        kernel.expect("SCHED", &id);
        kernel.notify(json!({"event": "EINVAL", "fate": "SCHED", "handle": id}), false);
        assert_eq!(status_and_body(&client.response()), (1, "500", &[][..]));
    }
    assert!(client.is_closed());
    // A connection on which a request was served stays open: the gateway may have other requests on it.
    let mut gateway = scene.gateway();
    for id in [TXN_A, TXN_B] {
        gateway.request(1, "quote", id, b"q");
        kernel.expect("SCHED", id);
        kernel.reap(id, "good", b"r");
        assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
        for _ in 0..6 {
            gateway.request(1, "unknown", TXN_C, b"q");
            assert_eq!(&gateway.response().status[..3], "404");
        }
    }
}
