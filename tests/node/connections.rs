//! Gateways' connections: the table's bound, idle and slow clients.

use crate::support::*;
use std::io::Write;
use std::time::Instant;

/// A gateway opens one request more than a connection may have.
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

/// More gateways connect than the table has places for; the earlier connections are idle.
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

/// The connection table is full and every connection has an open request when a further gateway connects.
#[test]
fn a_full_connection_table_of_busy_connections_makes_new_ones_wait_and_loses_none() {
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

/// A gateway sends health checks and never reads a response.
#[test]
fn a_gateway_that_does_not_read_is_disconnected() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    let checks = request_records(1, &[("SCRIPT_NAME", "/status/live")], &[]).repeat(100);
    assert!((0..20_000).any(|_| gateway.stream.write_all(&checks).is_err()));
    assert_eq!(scene.counter("connections_cut"), 1);
    kernel.expect_nothing(1);
}

/// Clients hold connections open: one is silent, one stops in the middle of a request, one sends a byte now and then.
/// Each has to be ended within 3 s.
#[test]
fn incomplete_requests_and_silent_connections_end_in_time_at_no_cost_to_others() {
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
    // Single bytes of a record are not progress.
    for byte in 0..4 {
        kernel.expect_nothing(25);
        trickling.send(&[byte]);
    }
    assert_eq!(status_and_body(&incomplete.response()), (1, "408", &[][..]));
    assert!(silent.is_closed());
    assert!(trickling.is_closed());
    assert!(began.elapsed().as_millis() < 3_000, "{:?}", began.elapsed());
    // A connection that waits for a run which takes longer than that stays.
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&waiting.response()), (1, "200", &b"r"[..]));
    assert_eq!((scene.counter("connections_ended"), scene.counter("framing_lost")), (2, 1));
}
