//! Two events that cross: the program is paused, both are made to be there, and it goes on. The rows are those of
//! `docs/design/crossings.md`.

mod support;

use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener};
use std::time::{Duration, Instant};
use support::*;

/// A scene whose program is stopped so many milliseconds after the notice.
fn brief(stop_ms: u64) -> (Scene, Kernel) {
    let scene = Scene::new(|c| c["stop_ms"] = json!(stop_ms));
    scene.store.listen(16).expect("listening");
    let kernel = scene.connect_kernel();
    scene.await_healthy();
    (scene, kernel)
}

/// The kernel is told to run this request next.
fn ran(kernel: &mut Kernel, id: &str) {
    kernel.expect("SCHED", id);
}

// SIGTERM x accept pending, bytes unread, a request half read, a run handed over, a reload, a second SIGTERM.
#[test]
fn a_notice_to_leave_that_crosses_all_kinds_of_requests_loses_none_of_them() {
    let (mut scene, mut kernel) = brief(4_000);
    let (mut running, mut unread, mut half) = (scene.gateway(), scene.gateway(), scene.gateway());
    running.request(1, "quote", TXN_A, b"a");
    ran(&mut kernel, TXN_A);
    let whole = attempt_records(1, "booking", TXN_C, &[], b"c");
    let (first, last) = whole.split_at(whole.len() - 8);
    half.send(first);
    let text = scene.configuration().to_string();
    scene.pause();
    unread.request(1, "quote", TXN_B, b"b");
    let mut pending = scene.gateway();
    pending.request(1, "quote", TXN_D, b"d");
    scene.signal("-TERM");
    scene.signal("-TERM");
    scene.reload(&text);
    half.send(last);
    scene.resume();
    // All of them reached the machine before the grace was over: each is run, and served.
    let mut started: Vec<String> = Vec::new();
    while started.len() < 3 {
        let command = kernel.command();
        assert_eq!(command["event"], "SCHED", "{command}");
        started.push(command["handle"].as_str().expect("an id").to_string());
    }
    started.sort();
    assert_eq!(started, [TXN_B, TXN_C, TXN_D]);
    for id in [TXN_A, TXN_B, TXN_C, TXN_D] {
        kernel.reap(id, "good", id.as_bytes());
    }
    for (gateway, id) in
        [(&mut running, TXN_A), (&mut unread, TXN_B), (&mut half, TXN_C), (&mut pending, TXN_D)]
    {
        assert_eq!(status_and_body(&gateway.response()), (1, "200", id.as_bytes()));
    }
    while scene.membership_report() != "HB n3 OUT" {}
    assert_eq!(scene.counter("reloads"), 1);
    drop((running, unread, half, pending));
    assert!(scene.exits_successfully());
}

// SIGTERM x a request half read, to the end: it never ran, and its connection may not end without a word.
#[test]
fn a_request_that_is_not_whole_at_the_end_of_a_drain_is_refused_and_its_connection_ends_without_a_reset() {
    let (mut scene, mut kernel) = brief(1_000);
    let mut resting = scene.gateway();
    assert_eq!(&resting.health_check("").status[..3], "200");
    scene.signal("-TERM");
    kernel.expect_nothing(1);
    let mut half = scene.gateway();
    let whole = attempt_records(7, "booking", TXN_A, &[], b"b");
    let (first, last) = whole.split_at(whole.len() - 8);
    half.send(first);
    let response = half.response();
    assert_eq!(status_and_body(&response), (7, "503", &[][..]));
    assert_eq!(half.stream.read(&mut [0]).map_err(|e| e.kind()), Ok(0), "an end, and no reset");
    assert!(resting.is_closed());
    // What still comes finds nobody: it is not run.
    let _ = half.stream.write_all(last);
    kernel.expect_only_gauges_until_end();
    drop((half, resting));
    assert!(scene.exits_successfully());
}

// SIGTERM x bytes unread, at the very end: what was written before the end is read and answered.
#[test]
fn a_request_that_lies_unread_as_the_time_of_a_drain_is_up_is_answered() {
    let (mut scene, mut kernel) = brief(1_000);
    let (mut resting, mut later) = (scene.gateway(), scene.gateway());
    for gateway in [&mut resting, &mut later] {
        assert_eq!(&gateway.health_check("").status[..3], "200");
    }
    scene.signal("-TERM");
    let told = Instant::now();
    while scene.membership_report() != "HB n3 OUT" {}
    kernel.expect_nothing(1);
    scene.pause();
    resting.request(1, "booking", TXN_A, b"b");
    later.request(1, "quote", TXN_B, b"q");
    std::thread::sleep(Duration::from_millis(1_100).saturating_sub(told.elapsed()));
    scene.resume();
    for gateway in [&mut resting, &mut later] {
        assert_eq!(status_and_body(&gateway.response()).1, "503");
    }
    drop((resting, later));
    assert!(scene.exits_successfully());
}

// Lost framing x more bytes: the answer that is owed is read, whatever comes behind.
#[test]
fn an_answer_on_a_connection_whose_framing_is_lost_outlives_what_comes_behind() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    ran(&mut kernel, TXN_A);
    gateway.send(&[9; 40]);
    while scene.counter("framing_lost") < 1 {}
    gateway.send(&[9; 4_000]);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    assert_eq!(gateway.stream.read(&mut [0]).map_err(|e| e.kind()), Ok(0), "an end, and no reset");
}

// Idle close x half a record, and x a peer that half-closes with a request open.
#[test]
fn a_peer_that_ends_its_side_gets_its_answer_and_half_a_record_fails_alone() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    gateway.send(&[1, 1, 0, 2]);
    gateway.stream.shutdown(Shutdown::Write).expect("still there");
    ran(&mut kernel, TXN_A);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    assert!(gateway.is_closed());
}

// Answer complete x client gone, in the same turn and in both orders: one answer at most, and the node goes on.
#[test]
fn an_end_and_an_abort_that_come_together_make_one_answer() {
    for reap_first in [true, false] {
        let (scene, mut kernel) = Scene::with_kernel();
        let mut gateway = scene.gateway();
        gateway.request(1, "quote", TXN_A, b"q");
        ran(&mut kernel, TXN_A);
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
        // The next answer on the connection is the next request's: there was only one to the first.
        gateway.send(&request_records(2, &[("SCRIPT_NAME", "/status/live")], &[]));
        assert_eq!(gateway.response().id, 2);
    }
}

// Answer complete x repeat of the same key: whichever is seen first, it is run once and both are served.
#[test]
fn a_repeat_that_crosses_the_end_of_the_run_is_served_and_not_run() {
    for reap_first in [true, false] {
        let (scene, mut kernel) = Scene::with_kernel();
        let (mut one, mut other) = (scene.gateway(), scene.gateway());
        one.request(1, "booking", TXN_A, b"b");
        ran(&mut kernel, TXN_A);
        scene.pause();
        if reap_first {
            kernel.reap(TXN_A, "good", b"r");
        }
        other.request(1, "booking", TXN_B, b"b");
        if !reap_first {
            kernel.reap(TXN_A, "good", b"r");
        }
        scene.resume();
        assert_eq!(status_and_body(&one.response()), (1, "200", &b"r"[..]));
        assert_eq!(status_and_body(&other.response()), (1, "200", &b"r"[..]));
        kernel.expect_nothing(5);
    }
}

// Connection gone x run, for a keyed request: the run goes on and its repeat gets the result.
#[test]
fn a_keyed_run_whose_connection_is_gone_serves_its_repeat() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    ran(&mut kernel, TXN_A);
    scene.pause();
    drop(gateway);
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_B, b"b");
    kernel.reap(TXN_A, "good", b"r");
    scene.resume();
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    kernel.expect_nothing(5);
}

// Kernel lost x its last notice: what it said just before the end of the link counts.
#[test]
fn a_notice_that_comes_together_with_the_end_of_its_link_counts_once() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    ran(&mut kernel, TXN_A);
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

// Kernel lost x a command: what goes out onto a link that has ended is said again on the next one, once.
#[test]
fn a_command_that_crosses_the_end_of_the_link_is_said_on_the_next() {
    for half_a_notice in [false, true] {
        let (scene, mut kernel) = Scene::with_kernel();
        let mut gateway = scene.gateway();
        kernel.expect_nothing(3);
        scene.pause();
        gateway.request(1, "booking", TXN_A, b"b");
        if half_a_notice {
            kernel.notify_partially("{\"event\":\"REAP\",\"cursor\":1,\"han");
        }
        drop(kernel);
        scene.resume();
        let mut kernel = scene.accept_kernel();
        assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 0}));
        kernel.boot();
        ran(&mut kernel, TXN_A);
        kernel.expect_nothing(5);
        kernel.reap(TXN_A, "good", b"r");
        assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    }
}

// Store lost x its reply: whole before the end it counts; cut by the end it proves nothing.
#[test]
fn a_reply_that_comes_together_with_the_end_of_its_connection_counts_if_it_is_whole() {
    for (reply, counts) in [("OK 1\r\nr\r\n", true), ("OK 1\r\nr", false), ("BUSY\r\n", true)] {
        let (scene, mut kernel) = Scene::with_kernel();
        let mut gateway = scene.gateway();
        gateway.request(1, "booking", TXN_A, b"b");
        ran(&mut kernel, TXN_A);
        kernel.request_call(TXN_A, b"c");
        let mut store = scene.accept_store();
        store.expect_call(TXN_A);
        scene.pause();
        store.reply(format!("{TXN_A} {reply}").as_bytes());
        drop(store);
        scene.resume();
        match (reply, counts) {
            ("BUSY\r\n", _) => drop(scene.accept_store().expect_call(TXN_A)),
            (_, true) => assert_eq!(kernel.expect("IODONE", TXN_A), b"r"),
            // It may have had its effect: a failure, and never a second call.
            (_, false) => assert_eq!(status_and_body(&gateway.response()).1, "500"),
        }
    }
}

// Store x a dial that the other side never takes up: the call never ran, and the next tries again on a new one.
#[test]
fn a_dial_that_is_given_up_costs_no_other_call() {
    let scene = Scene::new(|_| ());
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    // Its queue is full: whoever dials now gets no word.
    scene.store.listen(0).expect("listening");
    let full: Vec<_> = (0..2).map(|_| scene.fill_store_backlog()).collect();
    let mut gateway = scene.gateway();
    gateway.send(&attempt_records(1, "booking", TXN_A, &[("HTTP_X_TTL_MS", "600")], b"b"));
    ran(&mut kernel, TXN_A);
    kernel.request_call(TXN_A, b"c");
    assert_eq!(status_and_body(&gateway.response()).1, "500");
    scene.store.listen(16).expect("listening");
    drop(full);
    gateway.request(1, "quote", TXN_B, b"q");
    ran(&mut kernel, TXN_B);
    kernel.request_call(TXN_B, b"d");
    let mut store = loop {
        // Those that filled the queue, and the one that was given up, come first and say nothing.
        let mut store = scene.accept_store();
        if store.receives_call(TXN_B) {
            break store;
        }
    };
    store.reply(format!("{TXN_B} OK 1\r\nr\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_B), b"r");
}

// Reload x a moved kernel while the link to the old one is being made: the old one is let go of, the new one found.
#[test]
fn a_kernel_that_moves_before_it_has_said_that_it_is_up_is_found_at_its_new_address() {
    let scene = Scene::new(|_| ());
    let mut old = scene.accept_kernel();
    assert_eq!(old.command()["event"], "OPEN");
    let new = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut text = scene.configuration();
    text["kernel"] = json!(new.local_addr().expect("bound").to_string());
    scene.pause();
    old.boot();
    scene.reload(&text.to_string());
    scene.resume();
    let mut kernel = Kernel::new(new.accept().expect("a link").0);
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 0}));
    kernel.boot();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    ran(&mut kernel, TXN_A);
}

// Reload x drain: a class that goes while a request of it is open, and one of it that comes after.
#[test]
fn a_class_that_goes_in_a_drain_keeps_the_requests_that_it_has() {
    let (mut scene, mut kernel) = brief(2_000);
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    ran(&mut kernel, TXN_A);
    let mut text = scene.configuration();
    text["settings"]["classes"].as_array_mut().expect("classes").remove(0);
    text["settings"]["extra"]["class-calls"] = json!([true]);
    text["settings"]["extra"]["class-skip-worth"] = json!([0.0]);
    scene.pause();
    scene.signal("-TERM");
    scene.reload(&text.to_string());
    gateway.request(2, "quote", TXN_B, b"q");
    scene.resume();
    kernel.reap(TXN_A, "good", b"r");
    let mut answers = [gateway.response(), gateway.response()];
    answers.sort_by_key(|a| a.id);
    assert_eq!(status_and_body(&answers[0]), (1, "200", &b"r"[..]));
    // It came with the reload: read before it, it is run (and failed at the end); after it, the class is unknown.
    assert!(["404", "500", "503"].contains(&&answers[1].status[..3]), "{answers:?}");
    drop(gateway);
    assert!(scene.exits_successfully());
}

// A clock read before a stall and used after it: what ran out meanwhile is not run.
#[test]
fn a_request_whose_time_ran_out_while_the_process_stood_still_is_answered_and_never_run() {
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
    ran(&mut kernel, TXN_B);
}

// Membership x moved service, and x a service that is away: reports go on to whoever is named now, OUT again and again.
#[test]
fn reports_follow_the_service_and_say_again_that_the_node_leaves() {
    let (mut scene, mut kernel) = brief(2_000);
    assert_eq!(scene.membership_report(), "HB n3 UP");
    let new = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    new.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
    let mut text = scene.configuration();
    text["members"] = json!(new.local_addr().expect("bound").to_string());
    scene.pause();
    scene.reload(&text.to_string());
    scene.signal("-TERM");
    scene.resume();
    // The first one may be lost on its way: it is said again while the node drains.
    let mut outs = 0;
    while outs < 3 {
        let mut buf = [0; 64];
        let n = new.recv(&mut buf).expect("a report");
        outs += usize::from(&buf[..n] == b"HB n3 OUT");
    }
    kernel.expect_nothing(1);
    assert!(scene.exits_successfully());
}

// Kill behind an accept, and a restart at the same address while the old one's connections end.
#[test]
fn a_process_that_is_killed_behind_an_accept_comes_back_at_its_address() {
    let port = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port").port();
    let mut scene = Scene::new(|c| c["listen"] = json!(format!("127.0.0.1:{port}")));
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut served_once = scene.gateway();
    served_once.request(1, "quote", TXN_A, b"q");
    ran(&mut kernel, TXN_A);
    scene.pause();
    let mut pending = scene.gateway();
    pending.request(1, "booking", TXN_B, b"b");
    scene.restart();
    for gateway in [&mut served_once, &mut pending] {
        let end = gateway.stream.read(&mut [0]).map_err(|e| e.kind());
        assert!(matches!(end, Ok(0) | Err(ErrorKind::ConnectionReset)), "{end:?}");
    }
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_C, b"b");
    ran(&mut kernel, TXN_C);
    kernel.reap(TXN_C, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
}
