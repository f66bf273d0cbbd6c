//! Configurations: their check before the start, and reloads by SIGHUP.

use crate::support::*;
use serde_json::{Value, json};
use std::net::{TcpListener, UdpSocket};
use std::time::Duration;

/// An operator checks configurations, each of which has one mistake.
#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
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
        let mut invalid = configuration(1, 2, 3);
        *invalid.pointer_mut(path).expect("there") = value;
        let output = check_config(&invalid);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.lines().count() == 1 && stderr.contains(named),
            "{path}: {stderr}"
        );
    }
}

/// New peers, and the scene's configuration with their addresses in place of the present ones.
struct MovedPeers {
    kernel: TcpListener,
    store: TcpListener,
    members: UdpSocket,
    configuration: Value,
}

impl MovedPeers {
    fn of(scene: &Scene) -> Self {
        let listen = || TcpListener::bind("127.0.0.1:0").expect("a port");
        let kernel = listen();
        let store = listen();
        let members = UdpSocket::bind("127.0.0.1:0").expect("a port");
        members.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        let mut configuration = scene.configuration();
        for (key, address) in [
            ("kernel", kernel.local_addr()),
            ("store", store.local_addr()),
            ("members", members.local_addr()),
        ] {
            configuration[key] = json!(address.expect("bound").to_string());
        }
        MovedPeers { kernel, store, members, configuration }
    }
}

/// Kernel, store and membership service move while a run waits for its call. The reload must lose neither.
#[test]
fn a_reload_moves_all_connections_while_runs_and_calls_go_on() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.request_call(TXN_A, b"c");
    let mut store = scene.accept_store();
    store.expect_call(TXN_A);
    let MovedPeers { kernel: new_kernel, store: new_store, members: new_members, configuration } =
        MovedPeers::of(&scene);
    let configuration = configuration.to_string();
    scene.reload(&configuration);
    assert!(scene.next_log_line().contains("in effect"));
    // Once more, with nothing changed.
    scene.reload(&configuration);
    assert!(scene.next_log_line().contains("in effect"));
    let mut kernel = Kernel::new(new_kernel.accept().expect("a link").0);
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 1}));
    kernel.boot();
    kernel.cursor = 1;
    // The call that is out ends on its old connection; its reply goes to the new kernel.
    store.reply(format!("{TXN_A} OK 1\r\nr\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_A), b"r");
    kernel.reap(TXN_A, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
    gateway.request(2, "quote", TXN_B, b"q");
    kernel.expect("SCHED", TXN_B);
    kernel.request_call(TXN_B, b"d");
    let mut store = StoreConnection::new(new_store.accept().expect("a link").0);
    assert_eq!(store.expect_call(TXN_B), b"d");
    let mut datagram = [0; 64];
    let len = new_members.recv(&mut datagram).expect("a report");
    assert_eq!(&datagram[..len], b"HB n3 UP");
    assert_eq!((scene.counter("reloads"), scene.counter("reloads_failed")), (2, 0));
}

/// An operator reloads configurations, each of which has one mistake beside a change that is valid.
#[test]
fn an_invalid_reload_is_reported_in_one_line_and_changes_nothing() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let MovedPeers { kernel: new_kernel, .. } = MovedPeers::of(&scene);
    let mut valid = scene.configuration();
    valid["kernel"] = json!(new_kernel.local_addr().expect("bound").to_string());
    for (path, value, named) in [
        ("/store", json!("nowhere"), "store"),
        ("/settings/extra/cores", json!(0), "cores"),
        ("/settings/classes/0/hard-limit", json!(0), "deadline"),
        ("/settings/caps", json!({}), "missing"),
        ("/listen", json!("127.0.0.1:1"), "listen"),
        ("/name", json!("n4"), "name"),
    ] {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(path).expect("there") = value;
        scene.reload(&invalid.to_string());
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

/// The kernel moves while its connection is down, and once more while the node drains.
#[test]
fn a_reload_finds_the_moved_kernel_while_disconnected_and_during_a_drain() {
    let (mut scene, kernel) = Scene::with_kernel();
    let MovedPeers { kernel: new_kernel, configuration, .. } = MovedPeers::of(&scene);
    drop(kernel);
    drop(std::mem::replace(&mut scene.kernel, TcpListener::bind("127.0.0.1:0").expect("a port")));
    scene.reload(&configuration.to_string());
    let mut kernel = Kernel::new(new_kernel.accept().expect("a link").0);
    kernel.command();
    kernel.boot();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    scene.signal("-TERM");
    let MovedPeers { kernel: next_kernel, configuration, .. } = MovedPeers::of(&scene);
    scene.reload(&configuration.to_string());
    let mut kernel = Kernel::new(next_kernel.accept().expect("a link").0);
    assert_eq!(kernel.command()["event"], "OPEN");
    kernel.boot();
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    drop(gateway);
    assert!(scene.exits_successfully());
}
