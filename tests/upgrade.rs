//! One process of the node takes over from another, on the real program.

mod support;

use gaugestand_fakes::kernel::AutoKernel;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::frame_corruptor::FrameCorruptor;
use support::*;

fn txn(n: u64) -> String {
    format!("{n:016x}")
}

fn key(n: u64) -> String {
    format!("{n:032x}")
}

/// Accepts a connection to the kernel, which must continue after this notice, and reports that the kernel is up.
fn connect_kernel(listener: &std::net::TcpListener, cursor: u64) -> Kernel {
    let mut kernel = Kernel::new(listener.accept().expect("a link").0);
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": cursor}));
    kernel.boot();
    kernel
}

/// A scene in service, with its kernel and a gateway; the first key has the result `first`.
fn scene_with_stored_result() -> (Scene, Kernel, Gateway) {
    let scene = Scene::replaceable();
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    gateway.send(&attempt_records(1, "booking", &txn(1), &[("HTTP_X_TXN_KEY", &key(1))], b"one"));
    kernel.expect("SCHED", &txn(1));
    kernel.reap(&txn(1), "good", b"first");
    assert_eq!(gateway.response().body, b"first");
    (scene, kernel, gateway)
}

/// A successor takes over while there is an open run, a call, an incomplete request and a stored result. Nothing may be
/// lost, run again or answered differently.
#[test]
fn everything_under_way_continues_in_the_successor() {
    let mut scene = Scene::replaceable();
    scene.store.listen(16).expect("listening");
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    // One key has a result, one runs, one run waits for a call, one request is incomplete.
    let mut done = scene.gateway();
    done.send(&attempt_records(1, "booking", &txn(1), &[("HTTP_X_TXN_KEY", &key(1))], b"one"));
    kernel.expect("SCHED", &txn(1));
    kernel.reap(&txn(1), "good", b"first");
    assert_eq!(done.response().body, b"first");
    let mut runs = scene.gateway();
    runs.send(&attempt_records(1, "booking", &txn(2), &[("HTTP_X_TXN_KEY", &key(2))], b"two"));
    kernel.expect("SCHED", &txn(2));
    let mut calls = scene.gateway();
    calls.request(7, "quote", &txn(3), b"three");
    kernel.expect("SCHED", &txn(3));
    kernel.request_call(&txn(3), b"call");
    let mut store = scene.accept_store();
    assert_eq!(store.expect_call(&txn(3)), b"call");
    let mut incomplete = scene.gateway();
    let records = attempt_records(1, "quote", &txn(4), &[], b"four");
    let (start, rest) = records.split_at(records.len() - 21);
    incomplete.send(start);
    let mut idle = scene.gateway();
    assert_eq!(&idle.health_check("").status[..3], "200");

    let next = scene.start_successor();
    assert_eq!(admin_call(&next.admin, "PING\n").split(' ').next(), Some("error"));
    let mut second = connect_kernel(&next.kernel, 0);
    next.await_ready();
    assert_eq!(scene.admin_call("PING\n"), "done\n");
    scene.signal("-TERM");
    // Notices of the predecessor's runs come to the successor on a connection to the predecessor's kernel, after the last
    // notice that the predecessor read.
    let mut kernel = connect_kernel(&scene.kernel, 2);
    kernel.cursor = 2;
    store.reply(format!("{} OK 5\r\nreply\r\n", txn(3)).as_bytes());
    // The command that began the other run may be resent first: whether the kernel read it is not known.
    let mut command = kernel.command();
    if command["event"] == "SCHED" && command["handle"] == txn(2) {
        command = kernel.command();
    }
    assert_eq!((&command["event"], &command["handle"]), (&json!("IODONE"), &json!(txn(3))));
    kernel.reap(&txn(3), "good", b"third");
    let response = calls.response();
    assert_eq!((response.id, &response.body[..]), (7, &b"third"[..]));
    // What arrives now, on earlier connections as well, is the successor's.
    incomplete.send(rest);
    assert_eq!(second.expect("SCHED", &txn(4)), b"four");
    second.reap(&txn(4), "good", b"fourth");
    assert_eq!(incomplete.response().body, b"fourth");
    idle.send(&attempt_records(1, "booking", &txn(5), &[("HTTP_X_TXN_KEY", &key(1))], b"one"));
    assert_eq!(idle.response().body, b"first");
    idle.send(&attempt_records(1, "booking", &txn(6), &[("HTTP_X_TXN_KEY", &key(1))], b"other"));
    assert_eq!(&idle.response().status[..3], "409");
    // An attempt whose key has an open run of the predecessor waits for that outcome.
    idle.send(&attempt_records(1, "booking", &txn(7), &[("HTTP_X_TXN_KEY", &key(2))], b"two"));
    second.expect_nothing(10);
    kernel.reap(&txn(2), "good", b"second");
    assert_eq!(runs.response().body, b"second");
    assert_eq!(idle.response().body, b"second");
    // With the last of its runs the predecessor ends by itself, long before it would be stopped.
    assert!(scene.exits_successfully());
    assert_eq!(info_value(&admin_call(&next.admin, "INFO\n"), "replies.booking.success"), 3);
    assert_eq!(admin_call(&next.admin, "PING\n"), "done\n");
}

/// One successor is killed before it takes over; then the predecessor is, before the next successor does.
#[test]
fn either_process_may_be_killed_before_the_takeover() {
    let (mut scene, mut kernel, mut gateway) = scene_with_stored_result();
    let mut fails = scene.start_successor();
    let _linked = connect_kernel(&fails.kernel, 0);
    fails.await_ready();
    fails.kill();
    gateway.send(&attempt_records(1, "booking", &txn(2), &[("HTTP_X_TXN_KEY", &key(2))], b"two"));
    kernel.expect("SCHED", &txn(2));
    let next = scene.start_successor();
    let _second = connect_kernel(&next.kernel, 0);
    next.await_ready();
    // A run that starts while there is a successor: the successor is notified before the kernel is.
    let mut another = scene.gateway();
    another.send(&attempt_records(1, "booking", &txn(3), &[("HTTP_X_TXN_KEY", &key(3))], b"three"));
    kernel.expect("SCHED", &txn(3));
    scene.kill();
    let book = |n: u64, of: u64, body: &str| {
        let mut gateway = Gateway::connect(&scene.address);
        gateway.book(&txn(n), &key(of), body).expect("an answer")
    };
    assert_eq!(book(4, 1, "one"), ("200".into(), b"first".to_vec()));
    assert_eq!(book(5, 1, "other").0, "409");
    // Whether these ran is not known: they fail, and never run again.
    assert_eq!(book(6, 2, "two").0, "500");
    assert_eq!(book(7, 3, "three").0, "500");
}

/// The state that the predecessor hands over cannot be read, as if another version of the program had written it.
#[test]
fn a_successor_that_cannot_read_the_state_waits_until_its_predecessor_has_ended() {
    let (mut scene, mut kernel, mut gateway) = scene_with_stored_result();
    gateway.request(2, "quote", &txn(2), b"q");
    kernel.expect("SCHED", &txn(2));
    let corruptor = FrameCorruptor::between(scene.handover_dir());
    let next = scene.start_successor_in(Some(corruptor.folder()));
    let _second = connect_kernel(&next.kernel, 0);
    next.await_ready();
    scene.signal("-TERM");
    // The predecessor goes on with its kernel and its open requests.
    let mut kernel = connect_kernel(&scene.kernel, 1);
    kernel.cursor = 1;
    kernel.reap(&txn(2), "good", b"r");
    let response = gateway.response();
    assert_eq!((response.id, &response.body[..]), (2, &b"r"[..]));
    assert!(scene.exits_successfully());
    next.await_ready();
    let mut gateway = Gateway::connect(&scene.address);
    let repeated = gateway.book(&txn(3), &key(1), "one").expect("an answer");
    assert_eq!(repeated, ("200".into(), b"first".to_vec()));
}

/// Two upgrades follow each other while the first process still has a run.
#[test]
fn a_third_process_takes_over_while_the_first_still_has_runs() {
    let mut scene = Scene::replaceable();
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", &txn(1), b"q");
    kernel.expect("SCHED", &txn(1));
    let mut second = scene.start_successor();
    let _linked = connect_kernel(&second.kernel, 0);
    second.await_ready();
    scene.signal("-TERM");
    let _inherited = connect_kernel(&scene.kernel, 0);
    let third = scene.start_successor();
    let mut last = connect_kernel(&third.kernel, 0);
    third.await_ready();
    second.signal("-TERM");
    let mut kernel = connect_kernel(&scene.kernel, 0);
    kernel.reap(&txn(1), "good", b"r");
    assert_eq!(gateway.response().body, b"r");
    assert!(scene.exits_successfully());
    assert!(second.exits_successfully());
    gateway.request(1, "quote", &txn(2), b"q");
    last.expect("SCHED", &txn(2));
}

/// The folder in which processes of a node find each other has files of an earlier process, or is gone.
#[test]
fn a_node_serves_whatever_its_handover_folder_holds() {
    let mut scene = Scene::replaceable();
    let names: Vec<_> = std::fs::read_dir(scene.handover_dir()).expect("a folder").flatten().collect();
    assert_eq!(names.len(), 2);
    let _first = scene.connect_kernel();
    scene.restart_with(|| {
        for name in names {
            std::fs::remove_file(name.path()).expect("removed");
            std::fs::write(name.path(), b"left over").expect("written");
        }
    });
    let _kernel = scene.connect_kernel();
    scene.await_healthy();
    let next = scene.start_successor();
    let _second = connect_kernel(&next.kernel, 0);
    next.await_ready();
    drop(next);
    let handover_dir = scene.handover_dir().to_path_buf();
    scene.restart_with(|| std::fs::remove_dir_all(handover_dir).expect("removed"));
    let _kernel = scene.connect_kernel();
    scene.await_healthy();
}

/// Clients that send keyed requests all the time, on connections that they keep and on new ones.
struct Clients {
    stop: Arc<AtomicBool>,
    /// The next transaction id of all clients.
    next: Arc<AtomicU64>,
    /// The first result of each key.
    results: Arc<Mutex<BTreeMap<u64, Vec<u8>>>>,
    /// What must not have happened.
    faults: Arc<Mutex<Vec<String>>>,
    served: Arc<AtomicU64>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts four; with `kills`, connections may end at any time and attempts may fail.
    fn start(address: &str, kills: bool) -> Self {
        let mut clients = Clients {
            stop: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
            results: Arc::default(),
            faults: Arc::default(),
            served: Arc::default(),
            threads: Vec::new(),
        };
        for seed in 0..4 {
            let stop = clients.stop.clone();
            let next = clients.next.clone();
            let results = clients.results.clone();
            let faults = clients.faults.clone();
            let served = clients.served.clone();
            let address = address.to_string();
            clients.threads.push(std::thread::spawn(move || {
                let mut rng = fastrand::Rng::with_seed(seed);
                let mut kept = None;
                while !stop.load(Ordering::Relaxed) {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    // Keys are repeated, also by other clients, across all processes.
                    let key_number = rng.u64(n.saturating_sub(40)..=n);
                    let fault = |what: String| faults.lock().expect("no panic").push(what);
                    let connection = kept.take().filter(|_| rng.bool());
                    let mut gateway = match connection {
                        Some(gateway) => gateway,
                        None => match TcpStream::connect(&address) {
                            Ok(stream) => {
                                stream.set_nodelay(true).expect("no delay");
                                Gateway { stream }
                            }
                            Err(error) => {
                                fault(format!("try {n}: {error}"));
                                continue;
                            }
                        },
                    };
                    match gateway.book(&txn(n), &key(key_number), &format!("b{key_number}")) {
                        Ok((status, body)) if status == "200" => {
                            served.fetch_add(1, Ordering::Relaxed);
                            let mut results = results.lock().expect("no panic");
                            let first = results.entry(key_number).or_insert_with(|| body.clone());
                            if *first != body {
                                fault(format!("key {key_number}: two results"));
                            }
                            kept = Some(gateway);
                        }
                        Ok((status, _)) if kills || status == "503" => kept = Some(gateway),
                        Ok((status, _)) => fault(format!("try {n}: {status}")),
                        Err(error) if !kills => fault(format!("try {n}: {error}")),
                        Err(_) => {}
                    }
                }
            }));
        }
        clients
    }

    /// Stops the clients and checks that nothing went wrong and no key ran twice.
    fn end(self, kernel: &AutoKernel) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no panic");
        }
        let faults = self.faults.lock().expect("no panic");
        assert!(faults.is_empty(), "{faults:?}");
        for key_number in 1..self.next.load(Ordering::Relaxed) {
            let runs = kernel.results(&format!("b{key_number}"));
            assert!(runs.len() <= 1, "key {key_number} ran {} times", runs.len());
        }
        assert!(self.served.load(Ordering::Relaxed) > 100);
    }
}

/// Replaces the program so many times under load.
fn upgrade_repeatedly(rounds: u64) {
    let scene = Scene::replaceable();
    let kernel = AutoKernel::serve(&scene.kernel);
    scene.await_healthy();
    let clients = Clients::start(&scene.address, false);
    let mut serving: Option<Successor> = None;
    for _ in 0..rounds {
        let next = scene.start_successor();
        kernel.serve_also(&next.kernel);
        next.await_ready();
        match &mut serving {
            None => scene.signal("-TERM"),
            Some(predecessor) => {
                predecessor.signal("-TERM");
                assert!(predecessor.exits_successfully());
            }
        }
        serving = Some(next);
        std::thread::sleep(Duration::from_millis(100));
    }
    clients.end(&kernel);
}

/// Five upgrades follow each other under load. No request or connection may be lost, and no key may have a second run or
/// result.
#[test]
fn successive_upgrades_lose_nothing() {
    upgrade_repeatedly(5);
}

/// The same over twenty upgrades.
#[test]
#[ignore = "the same for longer"]
fn twenty_successive_upgrades_lose_nothing() {
    upgrade_repeatedly(20);
}

/// Whether the process with this admin address has exited, once it no longer says that another one has taken over.
fn has_exited(admin: &str) -> bool {
    loop {
        let Ok(mut stream) = TcpStream::connect(admin) else { return true };
        let mut answer = String::new();
        let asked = stream.write_all(b"PING\n").and_then(|()| stream.read_to_string(&mut answer));
        if asked.is_ok() && !answer.contains("another process has taken over") {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Predecessor or successor is killed at any moment of an upgrade under load. No key may run twice.
#[test]
fn a_process_killed_during_an_upgrade_runs_no_key_twice() {
    for seed in 0..4 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut scene = Scene::replaceable();
        let kernel = AutoKernel::serve(&scene.kernel);
        scene.await_healthy();
        let clients = Clients::start(&scene.address, true);
        std::thread::sleep(Duration::from_millis(100));
        let mut next = scene.start_successor();
        kernel.serve_also(&next.kernel);
        next.await_ready();
        // Sometimes in the middle of the hand-over.
        if rng.bool() {
            scene.signal("-TERM");
            std::thread::sleep(Duration::from_micros(rng.u64(0..4_000)));
        }
        let kills_predecessor = seed % 2 == 0;
        if kills_predecessor {
            scene.kill();
        } else {
            next.kill();
        }
        std::thread::sleep(Duration::from_millis(300));
        let mut clients = clients;
        clients.stop.store(true, Ordering::Relaxed);
        clients.threads.drain(..).for_each(|thread| thread.join().expect("no panic"));
        // A successor that was killed after it had taken over leaves no process: its listener ended with it, which refuses
        // later connections and resets one that is just being made. A predecessor that still serves lost none. The clients
        // have stopped by now, so that none of them adds another fault after this.
        let mut faults = clients.faults.lock().expect("no panic");
        if !kills_predecessor && !faults.is_empty() && has_exited(&scene.admin) {
            faults
                .retain(|fault| !fault.contains("Connection refused") && !fault.contains("Connection reset"));
        }
        drop(faults);
        clients.end(&kernel);
    }
}
