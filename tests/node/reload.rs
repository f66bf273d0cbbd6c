//! The configuration: `check-config` before the start, and reloads by SIGHUP.

use crate::support::*;
use serde_json::{Value, json};
use std::net::{TcpListener, UdpSocket};
use std::time::Duration;

/// An operator runs `check-config` on configurations that each have one mistake. The report must name the
/// mistake.
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
        *invalid.pointer_mut(path).expect("the configuration has this path") = value;
        let output = check_config(&invalid);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.lines().count() == 1 && stderr.contains(named),
            "{path}: {stderr}"
        );
    }
}

/// A second kernel, store and membership service, and the scene's configuration with their addresses in place
/// of the first ones.
struct MovedPeers {
    kernel: TcpListener,
    store: TcpListener,
    members: UdpSocket,
    configuration: Value,
}

impl MovedPeers {
    fn of(scene: &Scene) -> Self {
        let listen = || TcpListener::bind("127.0.0.1:0").expect("binding a loopback port");
        let kernel = listen();
        let store = listen();
        let members = UdpSocket::bind("127.0.0.1:0").expect("binding a loopback port");
        members.set_read_timeout(Some(Duration::from_secs(20))).expect("setting the read timeout");
        let mut configuration = scene.configuration();
        for (key, address) in [
            ("kernel", kernel.local_addr()),
            ("store", store.local_addr()),
            ("members", members.local_addr()),
        ] {
            configuration[key] = json!(address.expect("the address of a bound socket").to_string());
        }
        MovedPeers { kernel, store, members, configuration }
    }
}

/// Kernel, store and membership service move to other addresses while a run waits for its outbound call. The
/// reload must lose neither the run nor the call.
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
    // Reloads the configuration a second time, with nothing changed.
    scene.reload(&configuration);
    assert!(scene.next_log_line().contains("in effect"));
    let mut kernel = Kernel::new(new_kernel.accept().expect("a connection from the node").0);
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 1}));
    kernel.boot();
    kernel.cursor = 1;
    // The store's reply to the pending call arrives on the old connection, and the node sends it to the new
    // kernel.
    store.reply(format!("{TXN_A} OK 1\r\nr\r\n").as_bytes());
    assert_eq!(kernel.expect("IODONE", TXN_A), b"r");
    kernel.reap(TXN_A, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
    gateway.request(2, "quote", TXN_B, b"q");
    kernel.expect("SCHED", TXN_B);
    kernel.request_call(TXN_B, b"d");
    let mut store = StoreConnection::new(new_store.accept().expect("a connection from the node").0);
    assert_eq!(store.expect_call(TXN_B), b"d");
    let mut datagram = [0; 64];
    let len = new_members.recv(&mut datagram).expect("a membership report");
    assert_eq!(&datagram[..len], b"HB n3 UP");
    assert_eq!((scene.counter("reloads"), scene.counter("reloads_failed")), (2, 0));
}

/// An operator reloads configurations that each have one valid change and one mistake. The node must not
/// apply the valid change either.
#[test]
fn an_invalid_reload_is_reported_in_one_line_and_changes_nothing() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let MovedPeers { kernel: new_kernel, .. } = MovedPeers::of(&scene);
    let mut valid = scene.configuration();
    valid["kernel"] = json!(new_kernel.local_addr().expect("the address of a bound socket").to_string());
    for (path, value, named) in [
        ("/store", json!("nowhere"), "store"),
        ("/settings/extra/cores", json!(0), "cores"),
        ("/settings/classes/0/hard-limit", json!(0), "deadline"),
        ("/settings/caps", json!({}), "missing"),
        ("/listen", json!("127.0.0.1:1"), "listen"),
        ("/name", json!("n4"), "name"),
    ] {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(path).expect("the configuration has this path") = value;
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

/// The kernel moves to another address while the node is disconnected from it, and again while the node
/// drains.
#[test]
fn a_reload_connects_to_a_moved_kernel_while_disconnected_and_during_a_drain() {
    let (mut scene, kernel) = Scene::with_kernel();
    let MovedPeers { kernel: new_kernel, configuration, .. } = MovedPeers::of(&scene);
    drop(kernel);
    drop(std::mem::replace(&mut scene.kernel, TcpListener::bind("127.0.0.1:0").expect("binding a port")));
    scene.reload(&configuration.to_string());
    let mut kernel = Kernel::new(new_kernel.accept().expect("a connection from the node").0);
    kernel.command();
    kernel.boot();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    scene.signal("-TERM");
    let MovedPeers { kernel: next_kernel, configuration, .. } = MovedPeers::of(&scene);
    scene.reload(&configuration.to_string());
    let mut kernel = Kernel::new(next_kernel.accept().expect("a connection from the node").0);
    assert_eq!(kernel.command()["event"], "OPEN");
    kernel.boot();
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "good", b"r");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"r"[..]));
    drop(gateway);
    assert!(scene.exits_successfully());
}
