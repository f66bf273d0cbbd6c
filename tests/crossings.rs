//! Tests of races between two events: a test stops the program (SIGSTOP), causes both events, and lets the
//! program continue, so that it finds both events at once. Each test is a row of the table in
//! `docs/design/crossings.md`.

mod support;

use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, UdpSocket};
use std::time::{Duration, Instant};
use support::*;

/// Starts a node in service, with its kernel. `stop_ms` is the node's setting of that name: the time in
/// milliseconds, from SIGTERM on, within which the program must have ended.
fn scene_with_stop_ms(stop_ms: u64) -> (Scene, Kernel) {
    let scene = Scene::new(|c| c["stop_ms"] = json!(stop_ms));
    scene.store.listen(16).expect("the store listens");
    let kernel = scene.connect_kernel();
    scene.await_healthy();
    (scene, kernel)
}

/// Checks that the next command to the kernel starts the run of the attempt with this id.
fn expect_run(kernel: &mut Kernel, id: &str) {
    kernel.expect("SCHED", id);
}

/// Two SIGTERMs and a reload arrive while one connection waits to be accepted, one request is unread, one
/// request is incomplete and one request runs. All four requests must be served.
#[test]
fn a_sigterm_loses_no_request_whatever_state_it_is_in() {
    let (mut scene, mut kernel) = scene_with_stop_ms(4_000);
    let mut running = scene.gateway();
    let mut unread = scene.gateway();
    let mut incomplete = scene.gateway();
    running.request(1, "quote", TXN_A, b"a");
    expect_run(&mut kernel, TXN_A);
    let records = attempt_records(1, "booking", TXN_C, &[], b"c");
    let (first, last) = records.split_at(records.len() - 8);
    incomplete.send(first);
    let unchanged = scene.configuration().to_string();
    scene.pause();
    unread.request(1, "quote", TXN_B, b"b");
    let mut pending = scene.gateway();
    pending.request(1, "quote", TXN_D, b"d");
    scene.signal("-TERM");
    scene.signal("-TERM");
    scene.reload(&unchanged);
    incomplete.send(last);
    scene.resume();
    // All four requests reached the machine before the end of the grace period, so the node runs and serves
    // each of them.
    let mut started: Vec<String> = Vec::new();
    while started.len() < 3 {
        let command = kernel.command();
        assert_eq!(command["event"], "SCHED", "{command}");
        started.push(command["handle"].as_str().expect("the handle is a string").to_string());
    }
    started.sort();
    assert_eq!(started, [TXN_B, TXN_C, TXN_D]);
    for id in [TXN_A, TXN_B, TXN_C, TXN_D] {
        kernel.reap(id, "good", id.as_bytes());
    }
    for (gateway, id) in
        [(&mut running, TXN_A), (&mut unread, TXN_B), (&mut incomplete, TXN_C), (&mut pending, TXN_D)]
    {
        assert_eq!(status_and_body(&gateway.response()), (1, "200", id.as_bytes()));
    }
    while scene.membership_report() != "HB n3 OUT" {}
    assert_eq!(scene.counter("reloads"), 1);
    drop((running, unread, incomplete, pending));
    assert!(scene.exits_successfully());
}

/// A request is still incomplete when the drain ends. The request has not run, so the node rejects it, and
/// must not end its connection without this response.
#[test]
fn an_incomplete_request_at_the_end_of_a_drain_is_rejected_and_its_connection_ends_without_a_reset() {
    let (mut scene, mut kernel) = scene_with_stop_ms(1_000);
    let mut idle = scene.gateway();
    assert_eq!(&idle.health_check("").status[..3], "200");
    scene.signal("-TERM");
    kernel.expect_nothing(1);
    let mut incomplete = scene.gateway();
    let records = attempt_records(7, "booking", TXN_A, &[], b"b");
    let (first, last) = records.split_at(records.len() - 8);
    incomplete.send(first);
    let response = incomplete.response();
    assert_eq!(status_and_body(&response), (7, "503", &[][..]));
    assert_eq!(
        incomplete.stream.read(&mut [0]).map_err(|error| error.kind()),
        Ok(0),
        "the connection ends without a reset"
    );
    assert!(idle.is_closed());
    // From now on the node neither reads nor runs anything that arrives.
    let _ = incomplete.stream.write_all(last);
    kernel.expect_only_gauges_until_end();
    drop((incomplete, idle));
    assert!(scene.exits_successfully());
}

/// Gateways write requests just before the drain ends, and the node reads them only after its end. The node
/// must reject them rather than close their connections without a response.
#[test]
fn a_request_that_is_unread_when_the_drain_ends_gets_a_response() {
    let (mut scene, mut kernel) = scene_with_stop_ms(1_000);
    let mut idle = scene.gateway();
    let mut later = scene.gateway();
    for gateway in [&mut idle, &mut later] {
        assert_eq!(&gateway.health_check("").status[..3], "200");
    }
    scene.signal("-TERM");
    let sigterm_at = Instant::now();
    while scene.membership_report() != "HB n3 OUT" {}
    kernel.expect_nothing(1);
    scene.pause();
    idle.request(1, "booking", TXN_A, b"b");
    later.request(1, "quote", TXN_B, b"q");
    std::thread::sleep(Duration::from_millis(1_100).saturating_sub(sigterm_at.elapsed()));
    scene.resume();
    for gateway in [&mut idle, &mut later] {
        assert_eq!(status_and_body(&gateway.response()).1, "503");
    }
    drop((idle, later));
    assert!(scene.exits_successfully());
}

/// A gateway sends bytes that are not a record while one of its requests runs, and sends more of them
/// afterwards. The node must still send the response to the open request.
#[test]
fn a_pending_response_is_sent_although_bytes_arrive_after_the_framing_is_lost() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    expect_run(&mut kernel, TXN_A);
    gateway.send(&[9; 40]);
    while scene.counter("framing_lost") < 1 {}
    gateway.send(&[9; 4_000]);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    assert_eq!(
        gateway.stream.read(&mut [0]).map_err(|error| error.kind()),
        Ok(0),
        "the connection ends without a reset"
    );
}

/// A gateway sends a request and the beginning of a further record, and half-closes its connection. The open
/// request must still get its response.
#[test]
fn a_half_closed_connection_with_an_incomplete_record_gets_the_response_to_its_request() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    gateway.send(&[1, 1, 0, 2]);
    gateway.stream.shutdown(Shutdown::Write).expect("the connection is open");
    expect_run(&mut kernel, TXN_A);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    assert!(gateway.is_closed());
}

/// The notice that a run has ended and the gateway's abort of its request arrive in the same iteration of the
/// event loop, in either order. The request must get exactly one response.
#[test]
fn an_abort_that_arrives_as_the_run_ends_leads_to_one_response() {
    for reap_first in [true, false] {
        let (scene, mut kernel) = Scene::with_kernel();
        let mut gateway = scene.gateway();
        gateway.request(1, "quote", TXN_A, b"q");
        expect_run(&mut kernel, TXN_A);
        scene.pause();
        let mut reap = || kernel.reap(TXN_A, "good", b"r");
        if reap_first {
            reap();
            gateway.send(&fcgi_record(ABORT_REQUEST, 1, &[]));
        } else {
            gateway.send(&fcgi_record(ABORT_REQUEST, 1, &[]));
            reap();
        }
        scene.resume();
        let response = gateway.response();
        assert!(["200", "500"].contains(&&response.status[..3]), "{response:?}");
        // The next response on the connection belongs to request 2, so request 1 has had only one response.
        gateway.send(&request_records(2, &[("SCRIPT_NAME", "/status/live")], &[]));
        assert_eq!(gateway.response().id, 2);
    }
}

/// The notice that a run has ended and a retry with the same idempotency key arrive in the same iteration of
/// the event loop, in either order. The retry must get the result of the run, and must not run.
#[test]
fn a_retry_that_arrives_as_the_run_ends_gets_the_result_and_does_not_run() {
    for reap_first in [true, false] {
        let (scene, mut kernel) = Scene::with_kernel();
        let mut first = scene.gateway();
        let mut retrying = scene.gateway();
        first.request(1, "booking", TXN_A, b"b");
        expect_run(&mut kernel, TXN_A);
        scene.pause();
        if reap_first {
            kernel.reap(TXN_A, "good", b"r");
        }
        retrying.request(1, "booking", TXN_B, b"b");
        if !reap_first {
            kernel.reap(TXN_A, "good", b"r");
        }
        scene.resume();
        assert_eq!(status_and_body(&first.response()), (1, "200", &b"r"[..]));
        assert_eq!(status_and_body(&retrying.response()), (1, "200", &b"r"[..]));
        kernel.expect_nothing(5);
    }
}

/// The gateway's connection closes during the run of a keyed request, and a retry arrives on another
/// connection. The retry must get the result of the run, and must not run.
#[test]
fn a_keyed_run_whose_connection_has_closed_serves_its_retry() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    expect_run(&mut kernel, TXN_A);
    scene.pause();
    drop(gateway);
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_B, b"b");
    kernel.reap(TXN_A, "good", b"r");
    scene.resume();
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    kernel.expect_nothing(5);
}

/// The connection to the kernel ends right after the notice with cursor 1. The node must apply this notice,
/// ask on the next connection only for later ones, and ignore a repetition with another result.
#[test]
fn a_notice_just_before_the_end_of_its_connection_is_applied_once() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    expect_run(&mut kernel, TXN_A);
    kernel.expect_nothing(3);
    scene.pause();
    kernel.reap(TXN_A, "good", b"r");
    drop(kernel);
    scene.resume();
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    let mut kernel = scene.accept_kernel();
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 1}));
    kernel.boot();
    kernel.reap(TXN_A, "good", b"other");
    gateway.request(1, "booking", TXN_B, b"b");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
}

/// The connection to the kernel ends while the node has a command to send; in one case an incomplete notice
/// was sent before. The node must send the command once on the next connection.
#[test]
fn a_command_that_is_due_as_the_kernel_connection_ends_is_sent_on_the_next() {
    for sends_partial_notice in [false, true] {
        let (scene, mut kernel) = Scene::with_kernel();
        let mut gateway = scene.gateway();
        kernel.expect_nothing(3);
        scene.pause();
        gateway.request(1, "booking", TXN_A, b"b");
        if sends_partial_notice {
            kernel.notify_partially("{\"event\":\"REAP\",\"cursor\":1,\"han");
        }
        drop(kernel);
        scene.resume();
        let mut kernel = scene.accept_kernel();
        assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 0}));
        kernel.boot();
        expect_run(&mut kernel, TXN_A);
        kernel.expect_nothing(5);
        kernel.reap(TXN_A, "good", b"r");
        assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    }
}

/// The connection to the store ends right after a reply. The node must accept a complete reply. If the reply
/// is incomplete, the node cannot know whether the call had its effect.
#[test]
fn a_reply_just_before_the_end_of_its_connection_is_accepted_if_complete() {
    for (reply, is_complete) in [("OK 1\r\nr\r\n", true), ("OK 1\r\nr", false), ("BUSY\r\n", true)] {
        let (scene, mut kernel) = Scene::with_kernel();
        let mut gateway = scene.gateway();
        gateway.request(1, "booking", TXN_A, b"b");
        expect_run(&mut kernel, TXN_A);
        kernel.request_call(TXN_A, b"c");
        let mut store = scene.accept_store();
        store.expect_call(TXN_A);
        scene.pause();
        store.reply(format!("{TXN_A} {reply}").as_bytes());
        drop(store);
        scene.resume();
        match (reply, is_complete) {
            ("BUSY\r\n", _) => drop(scene.accept_store().expect_call(TXN_A)),
            (_, true) => assert_eq!(kernel.expect("IODONE", TXN_A), b"r"),
            // The call may have had its effect, so the request fails and the call is not repeated.
            (_, false) => assert_eq!(status_and_body(&gateway.response()).1, "500"),
        }
    }
}

/// The listen backlog of the store is full, so the node's connection attempt for a call gets no answer before
/// the request times out. Calls of other requests must not be affected.
#[test]
fn an_abandoned_connection_attempt_to_the_store_does_not_affect_other_calls() {
    let scene = Scene::new(|_| ());
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    // Two connections fill the backlog: a further connection attempt gets no answer until the backlog is
    // emptied.
    scene.store.listen(0).expect("the store listens");
    let backlog: Vec<_> = (0..2).map(|_| scene.fill_store_backlog()).collect();
    let mut gateway = scene.gateway();
    gateway.send(&attempt_records(1, "booking", TXN_A, &[("HTTP_X_TTL_MS", "600")], b"b"));
    expect_run(&mut kernel, TXN_A);
    kernel.request_call(TXN_A, b"c");
    assert_eq!(status_and_body(&gateway.response()).1, "500");
    scene.store.listen(16).expect("the store listens");
    drop(backlog);
    gateway.request(1, "quote", TXN_B, b"q");
    expect_run(&mut kernel, TXN_B);
    kernel.request_call(TXN_B, b"d");
    let mut store = loop {
        // The connections that filled the backlog and the abandoned one are accepted first. They send
        // nothing.
        let mut store = scene.accept_store();
        if store.receives_call(TXN_B) {
            break store;
        }
    };
    store.reply(format!("{TXN_B} OK 1\r\nr\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_B), b"r");
}

/// A reload changes the address of the kernel at the same time as the kernel at the old address reports that
/// it is up. The node must connect to the kernel at the new address.
#[test]
fn a_reload_that_moves_the_kernel_before_it_is_up_connects_to_its_new_address() {
    let scene = Scene::new(|_| ());
    let mut old = scene.accept_kernel();
    assert_eq!(old.command()["event"], "OPEN");
    let new_kernel = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut changed = scene.configuration();
    changed["kernel"] = json!(new_kernel.local_addr().expect("a bound address").to_string());
    scene.pause();
    old.boot();
    scene.reload(&changed.to_string());
    scene.resume();
    let mut kernel = Kernel::new(new_kernel.accept().expect("the node connects").0);
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 0}));
    kernel.boot();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    expect_run(&mut kernel, TXN_A);
}

/// SIGTERM, a reload that removes a class, and a further request of this class arrive at the same time while
/// a request of the class runs. The running request must be served.
#[test]
fn a_class_that_a_reload_removes_during_a_drain_keeps_its_open_requests() {
    let (mut scene, mut kernel) = scene_with_stop_ms(2_000);
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    expect_run(&mut kernel, TXN_A);
    let mut changed = scene.configuration();
    changed["settings"]["classes"].as_array_mut().expect("the classes are an array").remove(0);
    changed["settings"]["extra"]["class-calls"] = json!([true]);
    changed["settings"]["extra"]["class-skip-worth"] = json!([0.0]);
    scene.pause();
    scene.signal("-TERM");
    scene.reload(&changed.to_string());
    gateway.request(2, "quote", TXN_B, b"q");
    scene.resume();
    kernel.reap(TXN_A, "good", b"r");
    let mut responses = [gateway.response(), gateway.response()];
    responses.sort_by_key(|response| response.id);
    assert_eq!(status_and_body(&responses[0]), (1, "200", &b"r"[..]));
    // Request 2 arrived together with the reload. If the node reads the request first, the request runs and
    // fails at the end of the drain; if the node reloads first, the class is unknown.
    assert!(["404", "500", "503"].contains(&&responses[1].status[..3]), "{responses:?}");
    drop(gateway);
    assert!(scene.exits_successfully());
}

/// The process is stopped for longer than the caller timeout of a waiting request. The iteration of the event
/// loop that reads the request must take the time after the stop, not the time before it.
#[test]
fn a_request_that_times_out_while_the_process_is_stopped_gets_a_response_and_never_runs() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    kernel.expect_nothing(2);
    scene.pause();
    gateway.send(&attempt_records(1, "booking", TXN_A, &[("HTTP_X_TTL_MS", "200")], b"b"));
    gateway.send(&attempt_records(2, "quote", TXN_B, &[("HTTP_X_TTL_MS", "5000")], b"q"));
    std::thread::sleep(Duration::from_millis(400));
    scene.resume();
    let response = gateway.response();
    assert_eq!(status_and_body(&response).1, "503", "{response:?}");
    expect_run(&mut kernel, TXN_B);
}

/// A reload changes the address of the membership service at the same time as SIGTERM arrives. The node must
/// report to the new address that it leaves service, and must repeat this report, because datagrams can be
/// lost.
#[test]
fn membership_reports_go_to_the_reloaded_address_and_repeat_that_the_node_leaves() {
    let (mut scene, mut kernel) = scene_with_stop_ms(2_000);
    assert_eq!(scene.membership_report(), "HB n3 UP");
    let new_members = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    new_members.set_read_timeout(Some(Duration::from_secs(20))).expect("the timeout is set");
    let mut changed = scene.configuration();
    changed["members"] = json!(new_members.local_addr().expect("a bound address").to_string());
    scene.pause();
    scene.reload(&changed.to_string());
    scene.signal("-TERM");
    scene.resume();
    // The node repeats the report while it drains, because datagrams can be lost.
    let mut reports_out = 0;
    while reports_out < 3 {
        let mut datagram = [0; 64];
        let len = new_members.recv(&mut datagram).expect("a membership report within 20 s");
        reports_out += usize::from(&datagram[..len] == b"HB n3 OUT");
    }
    kernel.expect_nothing(1);
    assert!(scene.exits_successfully());
}

/// The process is killed while one request runs and one connection waits to be accepted, and is started again
/// with the same listen address. The new process must be able to listen there, and serve new requests.
#[test]
fn a_process_that_is_killed_with_connections_pending_restarts_at_its_address() {
    let port = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port").port();
    let mut scene = Scene::new(|c| c["listen"] = json!(format!("127.0.0.1:{port}")));
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut running = scene.gateway();
    running.request(1, "quote", TXN_A, b"q");
    expect_run(&mut kernel, TXN_A);
    scene.pause();
    let mut pending = scene.gateway();
    pending.request(1, "booking", TXN_B, b"b");
    scene.restart();
    for gateway in [&mut running, &mut pending] {
        let end = gateway.stream.read(&mut [0]).map_err(|error| error.kind());
        assert!(matches!(end, Ok(0) | Err(ErrorKind::ConnectionReset)), "{end:?}");
    }
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_C, b"b");
    expect_run(&mut kernel, TXN_C);
    kernel.reap(TXN_C, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
}
