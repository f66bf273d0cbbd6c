//! What operators meet, on the real program: the second address and its figures.

mod peers;

use peers::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;

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
    assert_eq!(scene.call("PING\n"), "error its kernel is not up\n");
    let _kernel = scene.link();
    scene.await_good();
    assert_eq!(scene.call("PING\n"), "done\n");
    assert_eq!(scene.call("PING\r\n"), "done\n");
    for wrong in ["ping\n", "\n", "PING\nPING\n", &"P".repeat(200)] {
        assert!(scene.call(wrong).starts_with("error "), "{wrong}");
    }
    scene.signal("-TERM");
    while scene.call("PING\n") == "done\n" {}
    assert_eq!(scene.call("PING\n"), "error it leaves service\n");
    assert!(scene.ended_well());
}

// Guards against callers who wait behind the clients' table, or behind callers who say nothing.
#[test]
fn callers_are_answered_beside_a_full_table_and_beside_idle_callers() {
    let scene = scene();
    let _kernel = scene.link();
    let _idle: Vec<TcpStream> =
        (0..20).map(|_| TcpStream::connect(&scene.admin).expect("the second address")).collect();
    let mut cut = TcpStream::connect(&scene.admin).expect("the second address");
    cut.write_all(b"PIN").expect("sent");
    let _busy: Vec<Gateway> = (0..60)
        .map(|_| {
            let mut gateway = scene.gateway();
            gateway.send(&record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]));
            gateway
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(scene.call("PING\n"), "done\n");
    }
}

// Guards against a path on which a request ends uncounted, twice, or as something else than its client was told.
#[test]
fn figures_are_what_the_clients_and_the_kernel_saw() {
    let scene = scene();
    let early = scene.gateway().read(&txn(1)).expect("an answer");
    assert_eq!(early, "503");
    let mut kernel = scene.link();
    scene.await_good();
    let mut gateway = scene.gateway();
    let mut asked = |id: &str, class: &str, body: &[u8], fate: &str| {
        gateway.request(1, class, id, body);
        if !fate.is_empty() {
            kernel.expect("SCHED", id);
            assert_eq!(scene.figure("concurrent"), 1);
            kernel.reap(id, fate, b"r");
        }
        gateway.answer().status[..3].to_string()
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
    let answer = scene.call("INFO\n");
    let told = |name: &str| figure(&answer, name);
    let of =
        |class: &str| ["success", "overload", "error"].map(|end| told(&format!("replies.{class}.{end}")));
    assert_eq!(of("quote"), [1, 1, 2]);
    assert_eq!(of("booking"), [2, 0, 1]);
    assert_eq!([told("dispatches"), told("concurrent")], [4, 0]);
    assert_eq!([told("reload_success"), told("reload_failure")], [0, 0]);
}
