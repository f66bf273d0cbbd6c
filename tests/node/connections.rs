//! Connections of gateways: the limits on connections and on open requests, and idle or slow clients.

use crate::support::*;
use std::io::Write;
use std::time::Instant;

/// A gateway opens 33 requests on one connection, which may have 32. The node must refuse the last one as
/// overloaded.
#[test]
fn open_requests_of_a_connection_are_bounded() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    for id in 1..=33 {
        gateway.send(&begin_record(id));
    }
    let response = gateway.response();
    assert_eq!((response.id, response.protocol_status), (33, 2));
    kernel.expect_nothing(2);
}

/// More gateways connect than the connection table has slots; the earlier connections are idle. The node must
/// close idle connections instead of making the new ones wait.
#[test]
fn a_full_connection_table_closes_idle_connections() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut first = scene.gateway();
    assert_eq!(&first.health_check("").status[..3], "200");
    let mut others: Vec<Gateway> = (0..45).map(|_| scene.gateway()).collect();
    for gateway in &mut others[40..] {
        gateway.send(&request_records(1, &[("SCRIPT_NAME", "/status/live")], &[]));
        assert_eq!(&gateway.response().status[..3], "200");
        kernel.expect_nothing(1);
    }
    assert!(first.is_closed());
    assert!(scene.counter("connections_idle_closed") >= 6);
}

/// A further gateway connects when the connection table is full and every connection has an open request. The
/// node must serve the further gateway once a connection ends.
#[test]
fn a_new_connection_waits_while_the_table_is_full_of_busy_connections() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut busy: Vec<Gateway> = (0..40).map(|_| scene.gateway()).collect();
    for gateway in &mut busy {
        gateway.send(&begin_record(1));
    }
    kernel.expect_nothing(5);
    let mut late = scene.gateway();
    late.send(&request_records(1, &[("SCRIPT_NAME", "/status/live")], &[]));
    kernel.expect_nothing(5);
    assert!(scene.counter("accept_pauses") >= 1);
    drop(busy.pop());
    kernel.expect_nothing(2);
    assert_eq!(&late.response().status[..3], "200");
}

/// A gateway sends health checks and never reads a response. The node must not buffer responses without a
/// bound.
#[test]
fn a_gateway_that_does_not_read_is_disconnected() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    let checks = request_records(1, &[("SCRIPT_NAME", "/status/live")], &[]).repeat(100);
    assert!((0..20_000).any(|_| gateway.stream.write_all(&checks).is_err()));
    assert_eq!(scene.counter("connections_cut"), 1);
    kernel.expect_nothing(1);
}

/// Three clients hold connections open: one sends nothing, one stops in the middle of a request, one sends
/// single bytes at intervals. The node must end each of these connections within 3 s.
#[test]
fn incomplete_requests_and_silent_connections_time_out_and_waiting_requests_do_not() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let began = Instant::now();
    let mut silent = scene.gateway();
    let mut waiting = scene.gateway();
    waiting.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    let mut incomplete = scene.gateway();
    let records = attempt_records(1, "quote", TXN_B, &[], b"q");
    incomplete.send(&records[..records.len() - 8]);
    let mut trickling = scene.gateway();
    trickling.send(&[1, 5, 0, 1, 0xff, 0xff, 0, 0, 7]);
    // Single bytes of an incomplete record must not extend the connection's timeout.
    for byte in 0..4 {
        kernel.expect_nothing(25);
        trickling.send(&[byte]);
    }
    assert_eq!(status_and_body(&incomplete.response()), (1, "408", &[][..]));
    assert!(silent.is_closed());
    assert!(trickling.is_closed());
    assert!(began.elapsed().as_millis() < 3_000, "{:?}", began.elapsed());
    // A connection that waits for a run stays open, even when the run takes longer than these timeouts.
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&waiting.response()), (1, "200", &b"r"[..]));
    assert_eq!((scene.counter("connections_ended"), scene.counter("framing_lost")), (2, 1));
}
