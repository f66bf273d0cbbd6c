//! The operators' interface of the real program: the second address, its counters, and reloads in service.

mod support;

use gaugestand_node::config::{parse, validate_change};
use serde_json::{Value, json};
use std::io::Write;
use std::net::TcpStream;
use support::*;

/// The id of attempt `n`, as gateways send it.
fn txn(n: u64) -> String {
    format!("{n:016x}")
}

/// Starts a node with a second address, whose kernel is not connected yet.
fn scene() -> Scene {
    Scene::new(|text| text["admin_addr"] = json!("127.0.0.1:0"))
}

#[test]
fn ping_succeeds_once_the_node_takes_requests_and_fails_during_a_drain() {
    let mut scene = scene();
    assert_eq!(scene.admin_call("PING\n"), "error its kernel is not up\n");
    let _kernel = scene.connect_kernel();
    scene.await_healthy();
    assert_eq!(scene.admin_call("PING\n"), "done\n");
    assert_eq!(scene.admin_call("PING\r\n"), "done\n");
    for wrong in ["ping\n", "\n", "PING\nPING\n", &"P".repeat(200)] {
        assert!(scene.admin_call(wrong).starts_with("error "), "{wrong}");
    }
    scene.signal("-TERM");
    while scene.admin_call("PING\n") == "done\n" {}
    assert_eq!(scene.admin_call("PING\n"), "error it leaves service\n");
    assert!(scene.exits_successfully());
}

/// The table of gateways' connections is full, and connections to the second address are open that send
/// nothing or an incomplete call. The node must answer further operators' calls without waiting for any of
/// them.
#[test]
fn admin_calls_are_answered_while_the_connection_table_is_full_and_callers_are_idle() {
    let scene = scene();
    let _kernel = scene.connect_kernel();
    let _idle: Vec<TcpStream> =
        (0..20).map(|_| TcpStream::connect(&scene.admin).expect("the second address accepts")).collect();
    let mut incomplete = TcpStream::connect(&scene.admin).expect("the second address accepts");
    incomplete.write_all(b"PIN").expect("the incomplete call is sent");
    let _busy: Vec<Gateway> = (0..60)
        .map(|_| {
            let mut gateway = scene.gateway();
            gateway.send(&begin_record(1));
            gateway
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(scene.admin_call("PING\n"), "done\n");
    }
}

/// Requests end in each possible way. Each request must be counted once, under the outcome that its client
/// received.
#[test]
fn counters_match_what_clients_and_kernel_saw() {
    let scene = scene();
    let early = scene.gateway().quote(&txn(1)).expect("the node answers");
    assert_eq!(early, "503");
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    let mut send_and_run = |id: &str, class: &str, body: &[u8], fate: &str| {
        gateway.request(1, class, id, body);
        if !fate.is_empty() {
            kernel.expect("SCHED", id);
            assert_eq!(scene.info_value("concurrent"), 1);
            kernel.reap(id, fate, b"r");
        }
        gateway.response().status[..3].to_string()
    };
    assert_eq!(send_and_run(&txn(2), "quote", b"q", "good"), "200");
    assert_eq!(send_and_run(&txn(3), "quote", b"q", "bad"), "500");
    assert_eq!(send_and_run(&txn(4), "booking", b"b", "good"), "200");
    // A retry gets the stored result, and the same key with another body is a conflict. Neither of them runs.
    assert_eq!(send_and_run(&txn(5), "booking", b"b", ""), "200");
    assert_eq!(send_and_run(&txn(6), "booking", b"c", ""), "409");
    // Requests of an unknown class and with an invalid id are errors, counted under no class.
    assert_eq!(send_and_run(&txn(7), "nothing", b"", ""), "404");
    assert_eq!(send_and_run("short", "quote", b"", ""), "400");
    // The client of this request closes its connection during the run: the run is preempted, and counts as an
    // error.
    let mut leaving = scene.gateway();
    leaving.request(1, "quote", &txn(8), b"q");
    kernel.expect("SCHED", &txn(8));
    drop(leaving);
    kernel.expect("PREEMPT", &txn(8));
    kernel.reap(&txn(8), "cut", b"");
    let answer = scene.admin_call("INFO\n");
    let value = |name: &str| info_value(&answer, name);
    let replies =
        |class: &str| ["success", "overload", "error"].map(|end| value(&format!("replies.{class}.{end}")));
    assert_eq!(replies("quote"), [1, 1, 2]);
    assert_eq!(replies("booking"), [2, 0, 1]);
    assert_eq!([value("dispatches"), value("concurrent")], [4, 0]);
    assert_eq!([value("reload_success"), value("reload_failure")], [0, 0]);
}

/// The error with which a reload from `old` to the configuration `text` is rejected, or `None` if the reload
/// is accepted.
fn rejection(old: &Value, text: &str) -> Option<String> {
    let old = parse(&old.to_string(), None, None, None).expect("the old configuration is valid");
    let new = parse(text, None, None, None);
    new.and_then(|new| validate_change(&old, &new)).err().map(|e| e.to_string())
}

/// A configuration is truncated, lacks a key, or has a value out of range or of another type. The node must
/// reject it as a whole.
#[test]
fn a_configuration_is_rejected_for_each_of_its_mistakes() {
    let valid = configuration(1, 2, 3);
    let text = valid.to_string();
    assert_eq!(rejection(&valid, &text), None);
    for length in 0..text.len() {
        assert!(rejection(&valid, &text[..length]).is_some(), "truncated to {length} bytes");
    }
    // Removes each key of each object in turn: every key is mandatory.
    let mut paths = vec![String::new()];
    while let Some(path) = paths.pop() {
        let children: Vec<String> = match valid.pointer(&path) {
            Some(Value::Object(object)) => object.keys().cloned().collect(),
            Some(Value::Array(array)) => (0..array.len()).map(|i| i.to_string()).collect(),
            _ => Vec::new(),
        };
        for child in children {
            let mut incomplete = valid.clone();
            if let Some(Value::Object(parent)) = incomplete.pointer_mut(&path) {
                parent.remove(&child);
                assert!(rejection(&valid, &incomplete.to_string()).is_some(), "without {path}/{child}");
            }
            paths.push(format!("{path}/{child}"));
        }
    }
    for key in ["hard-limit", "goal-time"] {
        let at = format!("/settings/classes/1/{key}");
        for value in
            ["0", "-1", "-0.0", "1e300", "1e999", "NaN", "Infinity", "\"9700\"", "null", "[]", "true"]
        {
            let mut absurd = valid.clone();
            *absurd.pointer_mut(&at).expect("the key exists") = json!("HERE");
            let absurd = absurd.to_string().replace("\"HERE\"", value);
            assert!(rejection(&valid, &absurd).is_some(), "{key} {value}");
        }
        let mut changed = valid.clone();
        *changed.pointer_mut(&at).expect("the key exists") = json!(2.5e9);
        assert_eq!(rejection(&valid, &changed.to_string()), None);
    }
    let mut duplicate = valid.clone();
    duplicate["settings"]["classes"][1]["name"] = json!("quote");
    assert!(rejection(&valid, &duplicate.to_string()).is_some());
}

/// A reload adds a class, removes a class that has an open request, and shortens the deadline of another
/// class that has one. The open requests must end as they would have without the reload, and retries of the
/// removed class must get the stored result.
#[test]
fn a_reload_adds_and_removes_classes_while_their_requests_are_open() {
    let mut scene = scene();
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", &txn(1), b"b");
    kernel.expect("SCHED", &txn(1));
    gateway.request(2, "quote", &txn(2), b"q");
    kernel.expect("SCHED", &txn(2));
    let mut text = scene.configuration();
    let classes = text["settings"]["classes"].as_array_mut().expect("the classes are an array");
    classes.remove(1);
    classes[0]["hard-limit"] = json!(1_500_000_000u64);
    let mut new = classes[0].clone();
    new["name"] = json!("upgrade");
    classes.insert(0, new);
    for key in ["class-calls", "class-skip-worth"] {
        text["settings"]["extra"][key] =
            json!([0, 0].map(|n| if key == "class-calls" { json!(true) } else { json!(n) }));
    }
    scene.reload(&text.to_string());
    scene.await_log_line("in effect");
    // The node serves requests of the new class and rejects new keys of the removed class. Retries of a key
    // that the removed class has used still get the stored result.
    gateway.request(3, "upgrade", &txn(3), b"u");
    let command = kernel.command();
    assert_eq!((&command["handle"], &command["entry"]), (&json!(txn(3)), &json!("upgrade")));
    kernel.reap(&txn(3), "good", b"up");
    assert_eq!(gateway.response().body, b"up");
    gateway.send(&attempt_records(4, "booking", &txn(4), &[("HTTP_X_TXN_KEY", "other")], b"b"));
    let rejected = gateway.response();
    assert_eq!((rejected.id, &rejected.status[..3]), (4, "503"));
    gateway.request(5, "booking", &txn(5), b"b");
    kernel.reap(&txn(1), "good", b"booked");
    let mut both = [gateway.response(), gateway.response()].map(|response| (response.id, response.body));
    both.sort();
    assert_eq!(both, [(1, b"booked".to_vec()), (5, b"booked".to_vec())]);
    gateway.request(6, "booking", &txn(6), b"b");
    assert_eq!(gateway.response().body, b"booked");
    // Request 2 keeps the deadline of its class at its arrival, which is later than the class's deadline
    // after the reload.
    std::thread::sleep(std::time::Duration::from_millis(1_800));
    kernel.reap(&txn(2), "good", b"quoted");
    assert_eq!(gateway.response().body, b"quoted");
    assert_eq!(scene.info_value("reload_success"), 1);
    assert_eq!(scene.info_value("replies.booking.overload"), 1);
    assert_eq!(scene.info_value("replies.booking.success"), 3);
    // A reload of an empty file is rejected, and the node keeps its configuration.
    scene.reload("");
    scene.await_log_line("stays");
    assert_eq!(scene.info_value("reload_failure"), 1);
    gateway.request(7, "upgrade", &txn(7), b"u");
    kernel.expect("SCHED", &txn(7));
}
