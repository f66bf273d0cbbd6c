//! Starts the program and speaks to it over loopback.

#[path = "../support/mod.rs"]
mod support;

use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};
use support::*;

#[test]
fn a_request_is_run_and_served_with_its_result_unchanged() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    // A period of the law passes before there is a free value.
    kernel.expect_nothing(80);
    let (body, result) = ([0u8, 255, b'\n', b'"', 128], [7u8, 0, b'\r', b'\n', 254]);
    gateway.request(1, "quote", TXN_A, &body);
    let command = kernel.command();
    assert_eq!((&command["event"], &command["entry"]), (&json!("SCHED"), &json!("quote")));
    assert_eq!(command["arg"], "AP8KIoA=");
    kernel.reap(TXN_A, "good", &result);
    let response = gateway.response();
    assert_eq!((status_and_body(&response), response.protocol_status), ((1, "200", &result[..]), 0));
    let capacity: f64 = response.field("X-Capacity").expect("a free value").parse().expect("a number");
    assert!(capacity >= 0.0);
    // The same connection and number serve again, and a run that fails is a failure.
    gateway.request(1, "quote", TXN_B, &[]);
    assert!(kernel.expect("SCHED", TXN_B).is_empty());
    kernel.reap(TXN_B, "bad", &[]);
    assert_eq!(status_and_body(&gateway.response()), (1, "500", &[][..]));
}

#[test]
fn a_request_cut_anywhere_and_padded_is_read_alike() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    for byte in attempt_records(3, "quote", TXN_A, &[], b"body") {
        gateway.send(&[byte]);
    }
    assert_eq!(kernel.expect("SCHED", TXN_A), b"body");
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"r"[..]));
}

#[test]
fn calls_and_their_replies_pass_unchanged() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    let (call, reply) = (b"\r\n\0call", b"\xff\r\n9b1f03aa5c7e2d41 BUSY\r\n");
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

#[test]
fn a_keyed_request_runs_once_and_its_repeats_get_its_result() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    gateway.request(2, "booking", TXN_B, b"b");
    kernel.expect_nothing(5);
    kernel.reap(TXN_A, "good", b"booked");
    let mut both = [gateway.response(), gateway.response()];
    both.sort_by_key(|a| a.id);
    assert_eq!(
        both.each_ref().map(status_and_body),
        [(1, "200", &b"booked"[..]), (2, "200", &b"booked"[..])]
    );
    gateway.request(3, "booking", TXN_C, b"b");
    assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"booked"[..]));
    kernel.expect_nothing(5);
}

#[test]
fn after_a_keyed_run_that_failed_its_repeats_fail_and_are_not_refused() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    for (fate, key, first, second) in [("bad", "k1", TXN_A, TXN_B), ("cut", "k2", TXN_C, TXN_D)] {
        gateway.send(&attempt_records(1, "booking", first, &[("HTTP_X_TXN_KEY", key)], b"b"));
        kernel.expect("SCHED", first);
        kernel.reap(first, fate, &[]);
        assert_eq!(status_and_body(&gateway.response()).1, "500");
        gateway.send(&attempt_records(2, "booking", second, &[("HTTP_X_TXN_KEY", key)], b"b"));
        assert_eq!(status_and_body(&gateway.response()).1, "500");
    }
    kernel.expect_nothing(5);
}

#[test]
fn a_keyed_try_of_which_nothing_was_started_leaves_the_next_one_a_first() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "gone", &[]);
    gateway.response();
    gateway.request(2, "booking", TXN_B, b"b");
    kernel.expect("SCHED", TXN_B);
}

#[test]
fn a_broken_store_link_proves_nothing_about_a_call() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    drop(store);
    // It ran: a failure, no refusal, and the call is not made again for it.
    assert_eq!(status_and_body(&gateway.response()).1, "500");
    // One that may be repeated makes its call again on a new link, and so does one that was turned away.
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

#[test]
fn a_refused_store_link_proves_that_a_call_never_ran() {
    let scene = Scene::new(|_| ());
    let mut kernel = scene.connect_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    kernel.expect_nothing(10);
    scene.store.listen(16).expect("listening");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    store.reply(format!("{TXN_A} OK 1\r\nr\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_A), b"r");
}

#[test]
fn notices_that_come_again_on_a_new_link_apply_once() {
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
    // A try that comes while the kernel is not back is run when it is.
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

#[test]
fn commands_that_a_lost_link_may_have_swallowed_are_said_again_unless_shown_to_be_done() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    // The first is known to be read, the second and the third are not.
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
    // The third has ended meanwhile: saying it again would run it twice.
    kernel.reap(TXN_C, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"booked"[..]));
    assert_eq!(kernel.expect("SCHED", TXN_B), b"q");
    kernel.expect_nothing(5);
}

#[test]
fn an_aborted_request_is_stopped_and_gets_one_answer_at_most() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    gateway.send(&fcgi_record(ABORT_REQUEST, 1, &[]));
    kernel.expect("PREEMPT", TXN_A);
    kernel.reap(TXN_A, "cut", &[]);
    assert_eq!(gateway.response().id, 1);
    // Begun, read whole and aborted in one piece, and an abort that crosses the answer.
    let mut bytes = attempt_records(2, "quote", TXN_B, &[], b"q");
    bytes.extend(fcgi_record(ABORT_REQUEST, 2, &[]));
    gateway.send(&bytes);
    kernel.expect("SCHED", TXN_B);
    kernel.expect("PREEMPT", TXN_B);
    kernel.reap(TXN_B, "good", b"too late");
    assert_eq!(status_and_body(&gateway.response()), (2, "500", &[][..]));
    gateway.send(&fcgi_record(ABORT_REQUEST, 2, &[]));
    gateway.request(3, "quote", TXN_C, b"q");
    kernel.expect("SCHED", TXN_C);
    kernel.reap(TXN_C, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"r"[..]));
    assert_eq!(scene.counter("aborts_read"), 2);
}

#[test]
fn a_request_is_answered_by_its_due_time_whatever_the_kernel_does() {
    let scene = Scene::new(|c| c["settings"]["classes"][1]["hard-limit"] = json!(4_000_000_000u64));
    let mut kernel = scene.connect_kernel();
    let mut gateway = scene.gateway();
    // Half of its 4 s have gone before it is read: due times count from the ingress.
    let ingress = (unix_ms() - 2_000).to_string();
    let began = std::time::Instant::now();
    gateway.send(&attempt_records(1, "booking", TXN_A, &[("HTTP_X_INGRESS_TIME", &ingress)], b"b"));
    kernel.expect("SCHED", TXN_A);
    drop(kernel);
    let response = gateway.response();
    assert_eq!(status_and_body(&response).1, "500", "it may have run");
    assert!(began.elapsed().as_millis() < 2_500, "{:?}", began.elapsed());
}

#[test]
fn before_the_kernel_is_up_nothing_is_run_and_checks_are_bad() {
    let scene = Scene::new(|_| ());
    let mut gateway = scene.gateway();
    assert_eq!(&gateway.health_check("").status[..3], "503");
    gateway.request(2, "quote", TXN_A, b"q");
    let response = gateway.response();
    assert_eq!(status_and_body(&response), (2, "503", &[][..]));
    assert!(response.field("X-Throttle-Ms").is_some());
    let mut kernel = scene.connect_kernel();
    // What the kernel says and what a gateway asks come on two connections: the node may read either first.
    scene.await_healthy();
    gateway.request(3, "quote", TXN_B, b"q");
    kernel.expect("SCHED", TXN_B);
    assert!(scene.membership_report().starts_with("HB n3 UP"));
}

#[test]
fn checks_carry_the_free_value_and_deep_ones_ask_the_kernel() {
    let (scene, mut kernel) = Scene::with_kernel();
    kernel.expect_nothing(80);
    let mut gateway = scene.gateway();
    let response = gateway.health_check("");
    assert_eq!(&response.status[..3], "200");
    assert!(response.field("X-Capacity").is_some());
    for (end, status) in [("good", "200"), ("bad", "503")] {
        // What the one before has shown holds for a second: 160 questions take longer. By then what rests is closed.
        kernel.expect_nothing(160);
        let mut gateway = scene.gateway();
        gateway.send(&request_records(
            7,
            &[("SCRIPT_NAME", "/status/live"), ("QUERY_STRING", "a=b&engine=1")],
            &[],
        ));
        let post = kernel.command();
        assert_eq!(post["event"], "POST");
        kernel.notify(json!({"event": "POSTED", "ticket": post["ticket"], "fate": end}), false);
        let response = gateway.response();
        assert_eq!(&response.status[..3], status);
        assert!(response.field("X-Capacity").is_some());
    }
}

// Guards against health checks that fill the cores: each gateway asks on its own, and the work of one is that of a request.
#[test]
fn deep_checks_share_the_work_of_one_and_what_it_shows_holds_for_a_while() {
    for (end, status) in [("good", "200"), ("bad", "503")] {
        let (mut scene, mut kernel) = Scene::with_kernel();
        kernel.expect_nothing(3);
        let deep = request_records(7, &[("SCRIPT_NAME", "/status/live"), ("QUERY_STRING", "engine=1")], &[]);
        let mut gateways: Vec<Gateway> = (0..24).map(|_| scene.gateway()).collect();
        for gateway in &mut gateways {
            gateway.send(&deep);
        }
        let post = kernel.command();
        assert_eq!(post["event"], "POST");
        // All of them are read by then, and none is asked for on its own.
        while scene.counter("checks_read") < 24 {
            kernel.expect_nothing(1);
        }
        kernel.expect_nothing(3);
        kernel.notify(json!({"event": "POSTED", "ticket": post["ticket"], "fate": end}), false);
        for gateway in &mut gateways {
            assert_eq!(&gateway.response().status[..3], status);
        }
        gateways[0].send(&deep);
        assert_eq!(&gateways[0].response().status[..3], status);
        assert_eq!(scene.counter("posts_sent"), 1);
        kernel.expect_nothing(160);
        scene.gateway().send(&deep);
        assert_eq!(kernel.command()["event"], "POST");
    }
}

// Guards against a question that is lost and never asked again: each later check would wait for it.
#[test]
fn a_deep_check_that_is_never_answered_fails_and_the_next_one_asks_anew() {
    let (scene, mut kernel) = Scene::with_kernel();
    kernel.expect_nothing(3);
    let mut gateway = scene.gateway();
    let deep = request_records(7, &[("SCRIPT_NAME", "/status/live"), ("QUERY_STRING", "engine=1")], &[]);
    gateway.send(&deep);
    assert_eq!(kernel.command()["event"], "POST");
    assert_eq!(&gateway.response().status[..3], "503");
    gateway.send(&deep);
    let post = kernel.command();
    assert_eq!(post["event"], "POST");
    kernel.notify(json!({"event": "POSTED", "ticket": post["ticket"], "fate": "good"}), false);
    assert_eq!(&gateway.response().status[..3], "200");
}

#[test]
fn gauges_are_asked_for_at_the_pace_of_the_timer() {
    let (_scene, mut kernel) = Scene::with_kernel();
    kernel.expect_nothing(2);
    let began = std::time::Instant::now();
    kernel.expect_nothing(50);
    // Four ticks of 2 ms each; a busy machine only makes it longer.
    assert!(began.elapsed().as_millis() >= 380, "{:?}", began.elapsed());
}

#[test]
fn a_drain_is_reported_runs_nothing_late_and_ends_with_all_answered() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    assert_eq!(scene.membership_report(), "HB n3 UP");
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    scene.signal("-TERM");
    while scene.membership_report() != "HB n3 OUT" {}
    assert_eq!(&scene.gateway().health_check("").status[..3], "503");
    // Past the grace of 300 ms.
    kernel.expect_nothing(60);
    gateway.request(2, "quote", TXN_B, b"q");
    let response = gateway.response();
    assert_eq!(status_and_body(&response), (2, "503", &[][..]));
    assert!(response.field("X-Throttle-Ms").is_some());
    // The run under way is never heard of again; it is answered all the same.
    assert_eq!(status_and_body(&gateway.response()), (1, "500", &[][..]));
    assert_eq!(scene.next_printed_counter("requests_read"), 2);
    assert!(scene.exits_successfully());
}

#[test]
fn what_cannot_be_read_fails_alone_and_is_counted() {
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
    // A role that is not spoken here, and a record of the connection that is not known.
    gateway.send(&fcgi_record(BEGIN_REQUEST, 4, &[0, 9, 1, 0, 0, 0, 0, 0]));
    assert_eq!(gateway.response().protocol_status, 3);
    gateway.send(&fcgi_record(77, 0, &[]));
    assert_eq!(gateway.next_record().expect("a record"), (11, 0, vec![77, 0, 0, 0, 0, 0, 0, 0]));
    // Framing is lost: what came before is answered, then the connection is closed.
    gateway.request(5, "quote", TXN_A, b"q");
    gateway.send(&[9; 40]);
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (5, "200", &b"r"[..]));
    assert!(gateway.is_closed());
    assert_eq!((scene.counter("requests_bad"), scene.counter("framing_lost")), (9, 1));
}

#[test]
fn nonsense_from_kernel_and_store_is_passed_over_or_costs_that_link() {
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

#[test]
fn a_connection_has_a_bound_on_open_requests() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    for id in 1..=33 {
        gateway.send(&begin_record(id));
    }
    let response = gateway.response();
    assert_eq!((response.id, response.protocol_status), (33, 2));
    kernel.expect_nothing(2);
}

#[test]
fn a_try_whose_id_is_in_use_is_failed_and_never_run() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    gateway.request(2, "quote", TXN_A, b"q");
    assert_eq!(status_and_body(&gateway.response()), (2, "400", &[][..]));
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
}

#[test]
fn a_full_table_makes_room_by_closing_what_is_idle() {
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

#[test]
fn a_full_table_of_busy_connections_keeps_new_ones_waiting_and_loses_none() {
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

#[test]
fn a_gateway_that_does_not_read_is_cut_off() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    let checks = request_records(1, &[("SCRIPT_NAME", "/status/live")], &[]).repeat(100);
    assert!((0..20_000).any(|_| gateway.stream.write_all(&checks).is_err()));
    assert_eq!(scene.counter("connections_cut"), 1);
    kernel.expect_nothing(1);
}

#[test]
fn standard_error_that_nobody_reads_does_no_harm() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    scene.close_stderr();
    scene.signal("-USR1");
    kernel.expect_nothing(5);
    assert_eq!(&scene.gateway().health_check("").status[..3], "200");
}

#[test]
fn a_call_that_may_have_had_its_effect_fails_a_keyed_run_and_a_void_one_waits_for_its_end() {
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

#[test]
fn a_configuration_that_makes_no_sense_is_told_in_one_line() {
    assert!(check_config(&configuration(1, 2, 3)).status.success());
    for (path, value, named) in [
        ("/kernel", json!("here"), "kernel"),
        ("/kernel", json!(null), "kernel"),
        ("/name", json!("two words"), "name"),
        ("/stop_ms", json!(0), "stop_ms"),
        ("/limits/sockets", json!(3), "sockets"),
        ("/settings/extra/cores", json!(0), "cores"),
        ("/settings/extra/cores", json!(null), "CONFIG"),
        ("/settings/tick", json!(-1), "CONFIG"),
        ("/settings/classes", json!([]), "classes"),
        ("/settings/classes/1/name", json!("quote"), "name"),
        ("/settings/classes/0/effect", json!("odd"), "effect"),
    ] {
        let mut text = configuration(1, 2, 3);
        *text.pointer_mut(path).expect("there") = value;
        let out = check_config(&text);
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && said.lines().count() == 1 && said.contains(named), "{path}: {said}");
    }
}

#[test]
fn a_store_that_turns_a_call_away_is_not_asked_again_at_once() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let began = std::time::Instant::now();
    for _ in 0..6 {
        let mut store = scene.accept_store();
        store.expect_call(TXN_A);
        store.reply(format!("{TXN_A} BUSY\r\n").as_bytes());
    }
    // Pauses of 4.5 ms and its doubles, for an aim of 3 s; a busy machine only makes them longer.
    assert!(began.elapsed().as_millis() >= 100, "{:?}", began.elapsed());
}

// Guards against a result that is served to whoever names the key of it.
#[test]
fn a_key_with_another_body_is_a_conflict_and_is_never_served() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    gateway.request(2, "booking", TXN_B, b"other");
    assert_eq!(status_and_body(&gateway.response()), (2, "409", &[][..]));
    kernel.reap(TXN_A, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
    gateway.request(3, "booking", TXN_C, b"other");
    assert_eq!(status_and_body(&gateway.response()), (3, "409", &[][..]));
    assert_eq!(scene.counter("requests_bad"), 2);
}

/// New peers, and a configuration that names them in place of the present ones.
fn moved(scene: &Scene) -> (std::net::TcpListener, std::net::TcpListener, std::net::UdpSocket, String) {
    let listen = || std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let (kernel, store) = (listen(), listen());
    let members = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    members.set_read_timeout(Some(std::time::Duration::from_secs(20))).expect("a timeout");
    let mut text = scene.configuration();
    for (key, at) in
        [("kernel", kernel.local_addr()), ("store", store.local_addr()), ("members", members.local_addr())]
    {
        text[key] = json!(at.expect("bound").to_string());
    }
    (kernel, store, members, text.to_string())
}

// Guards against a reload that ends the process, or loses runs, calls or commands that are under way.
#[test]
fn a_new_configuration_moves_all_links_while_runs_and_calls_go_on() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    let (new_kernel, new_store, new_members, text) = moved(&scene);
    scene.reload(&text);
    assert!(scene.next_log_line().contains("in effect"));
    // Once more, with nothing new in it.
    scene.reload(&text);
    assert!(scene.next_log_line().contains("in effect"));
    let mut kernel = Kernel::new(new_kernel.accept().expect("a link").0);
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 1}));
    kernel.boot();
    kernel.cursor = 1;
    // The call that is out ends on its old connection, its reply goes to the new kernel.
    store.reply(format!("{TXN_A} OK 1\r\nr\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_A), b"r");
    kernel.reap(TXN_A, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
    gateway.request(2, "quote", TXN_B, b"q");
    kernel.expect("SCHED", TXN_B);
    kernel.request_call(TXN_B, b"d");
    let mut store = StoreConnection::new(new_store.accept().expect("a link").0);
    assert_eq!(store.expect_call(TXN_B), b"d");
    let mut buf = [0; 64];
    let n = new_members.recv(&mut buf).expect("a report");
    assert_eq!(&buf[..n], b"HB n3 UP");
    assert_eq!((scene.counter("reloads"), scene.counter("reloads_failed")), (2, 0));
}

// Guards against half a reload, and against a program that a bad file ends.
#[test]
fn a_new_configuration_that_is_bad_gets_one_line_and_changes_nothing() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let (new_kernel, ..) = moved(&scene);
    let mut text = scene.configuration();
    text["kernel"] = json!(new_kernel.local_addr().expect("bound").to_string());
    for (path, value, named) in [
        ("/store", json!("nowhere"), "store"),
        ("/settings/extra/cores", json!(0), "cores"),
        ("/settings/classes/0/hard-limit", json!(0), "deadline"),
        ("/settings/caps", json!({}), "missing"),
        ("/listen", json!("127.0.0.1:1"), "listen"),
        ("/name", json!("n4"), "name"),
    ] {
        let mut bad = text.clone();
        *bad.pointer_mut(path).expect("there") = value;
        scene.reload(&bad.to_string());
        let line = scene.next_log_line();
        assert!(line.contains(named) && line.contains("stays"), "{line}");
    }
    scene.reload("{ \"name\": ");
    assert!(scene.next_log_line().contains("stays"));
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    assert_eq!((scene.counter("reloads"), scene.counter("reloads_failed")), (0, 7));
}

// Guards against a reload while the kernel's link is down, and one in a drain.
#[test]
fn a_reload_finds_the_kernel_while_the_link_is_down_and_in_a_drain() {
    let (mut scene, kernel) = Scene::with_kernel();
    let (new_kernel, _, _, text) = moved(&scene);
    drop(kernel);
    drop(std::mem::replace(&mut scene.kernel, std::net::TcpListener::bind("127.0.0.1:0").expect("a port")));
    scene.reload(&text);
    let mut kernel = Kernel::new(new_kernel.accept().expect("a link").0);
    kernel.command();
    kernel.boot();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    scene.signal("-TERM");
    let (next_kernel, _, _, text) = moved(&scene);
    scene.reload(&text);
    let mut kernel = Kernel::new(next_kernel.accept().expect("a link").0);
    assert_eq!(kernel.command()["event"], "OPEN");
    kernel.boot();
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    drop(gateway);
    assert!(scene.exits_successfully());
}

// Guards against a deep check that fails as the link breaks for a moment though the work gets done.
#[test]
fn a_deep_check_outlives_a_broken_link() {
    let (scene, mut kernel) = Scene::with_kernel();
    kernel.expect_nothing(3);
    let mut gateway = scene.gateway();
    gateway.send(&request_records(7, &[("SCRIPT_NAME", "/status/live"), ("QUERY_STRING", "engine=1")], &[]));
    assert_eq!(kernel.command()["event"], "POST");
    drop(kernel);
    let mut kernel = scene.accept_kernel();
    kernel.command();
    kernel.boot();
    let post = kernel.command();
    assert_eq!(post["event"], "POST");
    kernel.notify(json!({"event": "POSTED", "ticket": post["ticket"], "fate": "good"}), false);
    assert_eq!(&gateway.response().status[..3], "200");
}

// Guards against one spoilt reply that costs the calls of other runs: each has a connection of its own.
#[test]
fn a_spoilt_reply_costs_its_own_call_alone() {
    for spoilt in [
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
        stores[0].reply(spoilt);
        // The run may be repeated, and so may its call; it is made again on another connection.
        let mut again = scene.accept_store();
        again.expect_call(TXN_A);
        stores[1].reply(format!("{TXN_B} OK 1\r\nr\r\n").as_bytes());
        assert_eq!(kernel.expect("IODONE", TXN_B), b"r");
        again.reply(format!("{TXN_A} OK 1\r\ns\r\n").as_bytes());
        assert_eq!(kernel.expect("IODONE", TXN_A), b"s");
    }
}

// Guards against a second copy of a reply, or one under an unknown id, that passes for the reply to a call.
#[test]
fn a_second_copy_of_a_reply_is_none_to_the_next_call_of_the_run() {
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

// Guards against clients that hold connections, memory or the gateways' time: each is owed an end within 3 s.
#[test]
fn what_is_only_begun_is_ended_in_time_and_costs_the_gateways_nothing() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let began = std::time::Instant::now();
    let mut silent = scene.gateway();
    let mut asked = scene.gateway();
    asked.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    let mut half = scene.gateway();
    let whole = attempt_records(1, "quote", TXN_B, &[], b"q");
    half.send(&whole[..whole.len() - 8]);
    let mut cut = scene.gateway();
    cut.send(&[1, 5, 0, 1, 0xff, 0xff, 0, 0, 7]);
    // It trickles: what it sends is no progress.
    for n in 0..4 {
        kernel.expect_nothing(25);
        cut.send(&[n]);
    }
    assert_eq!(status_and_body(&half.response()), (1, "408", &[][..]));
    assert!(silent.is_closed());
    assert!(cut.is_closed());
    assert!(began.elapsed().as_millis() < 3_000, "{:?}", began.elapsed());
    // One whose run takes longer than that stays.
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&asked.response()), (1, "200", &b"r"[..]));
    assert_eq!((scene.counter("connections_ended"), scene.counter("framing_lost")), (2, 1));
}

// Guards against bodies and parameters without an end: the answer does not wait for it.
#[test]
fn what_is_too_long_is_answered_before_its_end_and_ends_its_connection() {
    let (scene, mut kernel) = Scene::with_kernel();
    let begin = begin_record(1);
    let whole = attempt_records(1, "quote", TXN_A, &[], &[0; 3000]);
    let unending: Vec<u8> = (0..2000).flat_map(|_| name_value_pair("HTTP_X_NOVEL", "novel")).collect();
    let params = [begin, fcgi_record(PARAMS, 1, &unending)].concat();
    for bytes in [&whole[..whole.len() - 8], &params] {
        let mut client = scene.gateway();
        client.send(bytes);
        assert_eq!(status_and_body(&client.response()), (1, "413", &[][..]));
        assert!(client.is_closed());
    }
    // Nor does the record of a request that is over go on for ever.
    let mut client = scene.gateway();
    let stray = fcgi_record(STDIN, 1, &[0; 1000]);
    assert!((0..100_000).any(|_| client.stream.write_all(&stray).is_err()));
    kernel.expect_nothing(1);
}

// Guards against a client that sends the same again the moment it is turned away.
#[test]
fn bad_requests_end_a_connection_on_which_nothing_was_served() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut client = scene.gateway();
    for _ in 0..4 {
        client.request(1, "unknown", TXN_A, &[]);
        assert_eq!(&client.response().status[..3], "404");
    }
    client.request(1, "unknown", TXN_A, &[]);
    assert!(client.next_record().is_err(), "it is not answered any more");
    // An id that the kernel does not know is such a request too.
    let mut client = scene.gateway();
    for n in 0..4 {
        let id = format!("9b1f03aa5c7e2d6{n}");
        client.request(1, "quote", &id, b"q");
        kernel.expect("SCHED", &id);
        kernel.notify(json!({"event": "EINVAL", "fate": "SCHED", "handle": id}), false);
        assert_eq!(status_and_body(&client.response()), (1, "500", &[][..]));
    }
    assert!(client.is_closed());
    // A gateway that was served keeps its connection: it may have other requests on their way.
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

#[test]
fn logs_can_be_json_with_a_level_that_changes_in_service() {
    let mut scene = Scene::with_script(Some("log(form = \"json\", level = \"info\")"), |_| ());
    scene.reload_script("log(form = \"json\", level = \"error\")");
    scene.await_log_line("\"message\":\"the new configuration is in effect\"");
    for (text, counted) in
        [("log(form = \"text\")", "reloads_failed"), ("log(form = \"json\", level = \"error\")", "reloads")]
    {
        let (before, began) = (scene.counter(counted), Instant::now());
        scene.reload_script(text);
        // Both reloads have a line that is not worth it any more; the counters come all the same.
        loop {
            scene.signal("-USR1");
            let mut counted_now = 0;
            loop {
                let line = scene.next_log_line();
                assert!(!line.starts_with('{'), "{line}");
                if let Some(value) = line.strip_prefix(counted) {
                    counted_now = value.trim().parse().unwrap_or(counted_now);
                }
                if line.starts_with("reports_sent") {
                    break;
                }
            }
            if counted_now > before {
                break;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "no reload was counted");
        }
    }
}

#[test]
fn a_reader_of_the_log_that_stalls_costs_lines_and_no_requests() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    // Each prints some 2 KB: the pipe fills up, then the queue of lines, then lines are dropped.
    for _ in 0..400 {
        scene.signal("-USR1");
        gateway.health_check("");
    }
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "good", b"read");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"read"[..]));
    // The reader goes on, and the next list tells what it has missed.
    let mut dropped = 0;
    for _ in 0..500 {
        dropped = scene.counter("log_lines_dropped");
        if dropped > 0 {
            break;
        }
    }
    assert!(dropped > 0, "nothing was dropped");
}

// Guards against answers for gateways that have stopped waiting: what a try tells of that binds, not its class.
#[test]
fn a_try_is_answered_within_the_patience_that_it_tells_and_one_that_tells_nonsense_is_bad() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    let began = Instant::now();
    gateway.send(&attempt_records(
        1,
        "quote",
        TXN_A,
        &[("HTTP_X_TTL_MS", "700"), ("HTTP_X_SECOND_TRY", "1")],
        b"q",
    ));
    kernel.expect("SCHED", TXN_A);
    assert_eq!(status_and_body(&gateway.response()).1, "500");
    // The class would have it wait for 3 s.
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
    gateway.send(&attempt_records(1, "quote", TXN_B, &[("HTTP_X_TTL_MS", "0")], b"q"));
    assert_eq!(status_and_body(&gateway.response()).1, "503");
    for (name, value) in [
        ("HTTP_X_TTL_MS", "-1"),
        ("HTTP_X_TTL_MS", "soon"),
        ("HTTP_X_TTL_MS", "1e300"),
        ("HTTP_X_TTL_MS", "NaN"),
        ("HTTP_X_SECOND_TRY", "yes"),
        ("HTTP_X_ROW", "7f3a"),
    ] {
        let mut gateway = scene.gateway();
        gateway.send(&attempt_records(1, "quote", TXN_C, &[(name, value)], b"q"));
        assert_eq!(status_and_body(&gateway.response()).1, "400", "{name} {value}");
    }
}

/// A scene whose quotes may do without their call, and its kernel with a run that wants one.
fn skipping() -> (Scene, Kernel, Gateway) {
    let scene = Scene::new(|c| c["settings"]["extra"]["class-skip-worth"] = json!([0.3, 0.0]));
    let mut kernel = scene.connect_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    // The store listens to nobody: the call comes to nothing.
    kernel.request_call(TXN_A, b"c");
    (scene, kernel, gateway)
}

#[test]
fn a_run_goes_on_without_its_call_by_the_number_of_the_notice_and_is_told_so_again_on_a_new_link() {
    let (scene, mut kernel, mut gateway) = skipping();
    let told = json!({"event": "NOIO", "handle": TXN_A, "cursor": 1});
    assert_eq!(kernel.command(), told);
    // Whether it was read cannot be known: the link breaks.
    drop(kernel);
    let mut kernel = scene.accept_kernel();
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 1}));
    kernel.cursor = 1;
    kernel.boot();
    assert_eq!(kernel.command(), told);
    kernel.reap(TXN_A, "good", b"poorer");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"poorer"[..]));
}

#[test]
fn a_run_that_the_kernel_will_not_have_go_on_without_its_call_is_failed_at_once() {
    let (_scene, mut kernel, mut gateway) = skipping();
    kernel.expect("NOIO", TXN_A);
    let began = Instant::now();
    kernel.notify(json!({"event": "EINVAL", "fate": "NOIO", "handle": TXN_A}), false);
    assert_eq!(status_and_body(&gateway.response()).1, "500");
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

#[test]
fn a_run_may_go_on_without_its_call_in_a_drain_and_is_served_before_the_end() {
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
