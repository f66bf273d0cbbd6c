//! What operators meet, on the real program: the second address, its figures, and new settings in service.

mod support;

use gaugestand_node::config::{parse, validate_change};
use serde_json::{Value, json};
use std::io::Write;
use std::net::TcpStream;
use support::*;

fn txn(n: u64) -> String {
    format!("{n:016x}")
}

/// A scene with a second address.
fn scene() -> Scene {
    Scene::new(|text| text["admin_addr"] = json!("127.0.0.1:0"))
}

#[test]
fn a_process_says_yes_once_it_takes_clients_and_no_in_a_drain() {
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

// Guards against callers who wait behind the clients' table, or behind callers who say nothing.
#[test]
fn callers_are_answered_beside_a_full_table_and_beside_idle_callers() {
    let scene = scene();
    let _kernel = scene.connect_kernel();
    let _idle: Vec<TcpStream> =
        (0..20).map(|_| TcpStream::connect(&scene.admin).expect("the second address")).collect();
    let mut cut = TcpStream::connect(&scene.admin).expect("the second address");
    cut.write_all(b"PIN").expect("sent");
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

// Guards against a path on which a request ends uncounted, twice, or as something else than its client was told.
#[test]
fn figures_are_what_the_clients_and_the_kernel_saw() {
    let scene = scene();
    let early = scene.gateway().read(&txn(1)).expect("an answer");
    assert_eq!(early, "503");
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    let mut asked = |id: &str, class: &str, body: &[u8], fate: &str| {
        gateway.request(1, class, id, body);
        if !fate.is_empty() {
            kernel.expect("SCHED", id);
            assert_eq!(scene.info_value("concurrent"), 1);
            kernel.reap(id, fate, b"r");
        }
        gateway.response().status[..3].to_string()
    };
    assert_eq!(asked(&txn(2), "quote", b"q", "good"), "200");
    assert_eq!(asked(&txn(3), "quote", b"q", "bad"), "500");
    assert_eq!(asked(&txn(4), "booking", b"b", "good"), "200");
    // A repeat gets the stored result, another body is a conflict: neither runs.
    assert_eq!(asked(&txn(5), "booking", b"b", ""), "200");
    assert_eq!(asked(&txn(6), "booking", b"c", ""), "409");
    // No class that is known, and a parameter that cannot be read.
    assert_eq!(asked(&txn(7), "nothing", b"", ""), "404");
    assert_eq!(asked("short", "quote", b"", ""), "400");
    // One whose client goes away while it runs.
    let mut going = scene.gateway();
    going.request(1, "quote", &txn(8), b"q");
    kernel.expect("SCHED", &txn(8));
    drop(going);
    kernel.expect("PREEMPT", &txn(8));
    kernel.reap(&txn(8), "cut", b"");
    let answer = scene.admin_call("INFO\n");
    let told = |name: &str| info_value(&answer, name);
    let of =
        |class: &str| ["success", "overload", "error"].map(|end| told(&format!("replies.{class}.{end}")));
    assert_eq!(of("quote"), [1, 1, 2]);
    assert_eq!(of("booking"), [2, 0, 1]);
    assert_eq!([told("dispatches"), told("concurrent")], [4, 0]);
    assert_eq!([told("reload_success"), told("reload_failure")], [0, 0]);
}

/// A file is turned down, and why.
fn turned_down(old: &Value, text: &str) -> Option<String> {
    let old = parse(&old.to_string(), None, None, None).expect("sound");
    let new = parse(text, None, None, None);
    new.and_then(|new| validate_change(&old, &new)).err().map(|e| e.to_string())
}

// Guards against half a file, or an absurd one, that takes effect.
#[test]
fn a_file_is_turned_down_for_each_thing_that_is_wrong_with_it() {
    let sound = configuration(1, 2, 3);
    let text = sound.to_string();
    assert_eq!(turned_down(&sound, &text), None);
    for cut in 0..text.len() {
        assert!(turned_down(&sound, &text[..cut]).is_some(), "cut at {cut}");
    }
    // Every key, one after the other.
    let mut paths = vec![String::new()];
    while let Some(path) = paths.pop() {
        let children: Vec<String> = match sound.pointer(&path) {
            Some(Value::Object(object)) => object.keys().cloned().collect(),
            Some(Value::Array(array)) => (0..array.len()).map(|i| i.to_string()).collect(),
            _ => Vec::new(),
        };
        for child in children {
            let mut lacks = sound.clone();
            if let Some(Value::Object(parent)) = lacks.pointer_mut(&path) {
                parent.remove(&child);
                assert!(turned_down(&sound, &lacks.to_string()).is_some(), "without {path}/{child}");
            }
            paths.push(format!("{path}/{child}"));
        }
    }
    for key in ["hard-limit", "goal-time"] {
        let at = format!("/settings/classes/1/{key}");
        for value in
            ["0", "-1", "-0.0", "1e300", "1e999", "NaN", "Infinity", "\"9700\"", "null", "[]", "true"]
        {
            let mut absurd = sound.clone();
            *absurd.pointer_mut(&at).expect("there") = json!("HERE");
            let absurd = absurd.to_string().replace("\"HERE\"", value);
            assert!(turned_down(&sound, &absurd).is_some(), "{key} {value}");
        }
        let mut fine = sound.clone();
        *fine.pointer_mut(&at).expect("there") = json!(2.5e9);
        assert_eq!(turned_down(&sound, &fine.to_string()), None);
    }
    let mut twice = sound.clone();
    twice["settings"]["classes"][1]["name"] = json!("quote");
    assert!(turned_down(&sound, &twice.to_string()).is_some());
}

// Guards against open requests that lose their class, and against keys that go with a class.
#[test]
fn classes_come_and_go_while_their_requests_are_open() {
    let mut scene = scene();
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", &txn(1), b"b");
    kernel.expect("SCHED", &txn(1));
    gateway.request(2, "quote", &txn(2), b"q");
    kernel.expect("SCHED", &txn(2));
    let mut text = scene.configuration();
    let classes = text["settings"]["classes"].as_array_mut().expect("a list");
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
    // A new class is served, one that is gone is refused; repeats of its keys still get what there is.
    gateway.request(3, "upgrade", &txn(3), b"u");
    let command = kernel.command();
    assert_eq!((&command["handle"], &command["entry"]), (&json!(txn(3)), &json!("upgrade")));
    kernel.reap(&txn(3), "good", b"up");
    assert_eq!(gateway.response().body, b"up");
    gateway.send(&attempt_records(4, "booking", &txn(4), &[("HTTP_X_TXN_KEY", "other")], b"b"));
    let refused = gateway.response();
    assert_eq!((refused.id, &refused.status[..3]), (4, "503"));
    gateway.request(5, "booking", &txn(5), b"b");
    kernel.reap(&txn(1), "good", b"booked");
    let mut both = [gateway.response(), gateway.response()].map(|a| (a.id, a.body));
    both.sort();
    assert_eq!(both, [(1, b"booked".to_vec()), (5, b"booked".to_vec())]);
    gateway.request(6, "booking", &txn(6), b"b");
    assert_eq!(gateway.response().body, b"booked");
    // The other one keeps the deadline that it came with, beyond that of its class today.
    std::thread::sleep(std::time::Duration::from_millis(1_800));
    kernel.reap(&txn(2), "good", b"quoted");
    assert_eq!(gateway.response().body, b"quoted");
    assert_eq!(scene.info_value("reload_success"), 1);
    assert_eq!(scene.info_value("replies.booking.overload"), 1);
    assert_eq!(scene.info_value("replies.booking.success"), 3);
    // Turned down: nothing changes.
    scene.reload("");
    scene.await_log_line("stays");
    assert_eq!(scene.info_value("reload_failure"), 1);
    gateway.request(7, "upgrade", &txn(7), b"u");
    kernel.expect("SCHED", &txn(7));
}
