//! One process of the node takes over from another, on the real program.

mod support;

use gaugestand_fakes::kernel::AutoKernel;
use serde_json::json;
use std::collections::BTreeMap;
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

fn link(listener: &std::net::TcpListener, cursor: u64) -> Kernel {
    let mut kernel = Kernel::new(listener.accept().expect("a link").0);
    assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": cursor}));
    kernel.boot();
    kernel
}

/// A scene whose program can be replaced, with its kernel and a gateway; the first key has the result `first`.
fn with_a_result() -> (Scene, Kernel, Gateway) {
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

// Guards against anything that is lost, run again or answered otherwise as one process takes over from another: open
// runs, calls that are out, requests that are half read, stored results, conflicts.
#[test]
fn all_that_is_under_way_goes_on_in_the_new_process() {
    let mut scene = Scene::replaceable();
    scene.store.listen(16).expect("listening");
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    // One key has a result, one runs, one run is at a call, one request is half read.
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
    let mut half = scene.gateway();
    let whole = attempt_records(1, "quote", &txn(4), &[], b"four");
    let (start, rest) = whole.split_at(whole.len() - 21);
    half.send(start);
    let mut idle = scene.gateway();
    assert_eq!(&idle.health_check("").status[..3], "200");

    let next = scene.start_successor();
    assert_eq!(admin_call(&next.admin, "PING\n").split(' ').next(), Some("error"));
    let mut second = link(&next.kernel, 0);
    next.await_ready();
    assert_eq!(scene.admin_call("PING\n"), "done\n");
    scene.signal("-TERM");
    // The runs of the old process are told of at its own address, after the last notice that it read.
    let mut kernel = link(&scene.kernel, 2);
    kernel.cursor = 2;
    store.reply(format!("{} OK 5\r\nreply\r\n", txn(3)).as_bytes());
    // The command that began the other run may come again before it, as nobody knows whether it was read.
    let mut command = kernel.command();
    if command["event"] == "SCHED" && command["handle"] == txn(2) {
        command = kernel.command();
    }
    assert_eq!((&command["event"], &command["handle"]), (&json!("IODONE"), &json!(txn(3))));
    kernel.reap(&txn(3), "good", b"third");
    let response = calls.response();
    assert_eq!((response.id, &response.body[..]), (7, &b"third"[..]));
    // What comes now, on connections from before as well, is the new process's.
    half.send(rest);
    assert_eq!(second.expect("SCHED", &txn(4)), b"four");
    second.reap(&txn(4), "good", b"fourth");
    assert_eq!(half.response().body, b"fourth");
    idle.send(&attempt_records(1, "booking", &txn(5), &[("HTTP_X_TXN_KEY", &key(1))], b"one"));
    assert_eq!(idle.response().body, b"first");
    idle.send(&attempt_records(1, "booking", &txn(6), &[("HTTP_X_TXN_KEY", &key(1))], b"other"));
    assert_eq!(&idle.response().status[..3], "409");
    // A try that finds its run open in the old process waits for that outcome.
    idle.send(&attempt_records(1, "booking", &txn(7), &[("HTTP_X_TXN_KEY", &key(2))], b"two"));
    second.expect_nothing(10);
    kernel.reap(&txn(2), "good", b"second");
    assert_eq!(runs.response().body, b"second");
    assert_eq!(idle.response().body, b"second");
    // With the last of its runs the old process ends by itself, long before it would be stopped.
    assert!(scene.exits_successfully());
    assert_eq!(info_value(&admin_call(&next.admin, "INFO\n"), "replies.booking.success"), 3);
    assert_eq!(admin_call(&next.admin, "PING\n"), "done\n");
}

// Guards against a new process that fails and takes the old one along, and against an old one whose death loses keys.
#[test]
fn either_process_may_die_before_the_other_takes_over() {
    let (mut scene, mut kernel, mut gateway) = with_a_result();
    let mut fails = scene.start_successor();
    let _linked = link(&fails.kernel, 0);
    fails.await_ready();
    fails.kill();
    gateway.send(&attempt_records(1, "booking", &txn(2), &[("HTTP_X_TXN_KEY", &key(2))], b"two"));
    kernel.expect("SCHED", &txn(2));
    let next = scene.start_successor();
    let _second = link(&next.kernel, 0);
    next.await_ready();
    // Run while the new one is there: it has heard of it before the kernel has.
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
    // Nobody knows how these ended: a failure, and never a second run.
    assert_eq!(book(6, 2, "two").0, "500");
    assert_eq!(book(7, 3, "three").0, "500");
}

// Guards against a new program that takes the node over though it cannot read what the old one had under way.
#[test]
fn a_process_that_cannot_read_the_state_gives_way_and_follows_once_the_old_one_has_ended() {
    let (mut scene, mut kernel, mut gateway) = with_a_result();
    gateway.request(2, "quote", &txn(2), b"q");
    kernel.expect("SCHED", &txn(2));
    let between = FrameCorruptor::between(scene.handover_dir());
    let next = scene.start_successor_in(Some(between.folder()));
    let _second = link(&next.kernel, 0);
    next.await_ready();
    scene.signal("-TERM");
    // The old one goes on with its kernel, and with what is open.
    let mut kernel = link(&scene.kernel, 1);
    kernel.cursor = 1;
    kernel.reap(&txn(2), "good", b"r");
    let response = gateway.response();
    assert_eq!((response.id, &response.body[..]), (2, &b"r"[..]));
    assert!(scene.exits_successfully());
    next.await_ready();
    let mut gateway = Gateway::connect(&scene.address);
    let again = gateway.book(&txn(3), &key(1), "one").expect("an answer");
    assert_eq!(again, ("200".into(), b"first".to_vec()));
}

// Guards against one of a row of processes that takes over from the wrong one, and a chain of runs that gets lost.
#[test]
fn a_third_process_follows_while_the_first_still_has_runs() {
    let mut scene = Scene::replaceable();
    let mut kernel = scene.connect_kernel();
    scene.await_healthy();
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", &txn(1), b"q");
    kernel.expect("SCHED", &txn(1));
    let mut second = scene.start_successor();
    let _linked = link(&second.kernel, 0);
    second.await_ready();
    scene.signal("-TERM");
    let _inherited = link(&scene.kernel, 0);
    let third = scene.start_successor();
    let mut last = link(&third.kernel, 0);
    third.await_ready();
    second.signal("-TERM");
    let mut kernel = link(&scene.kernel, 0);
    kernel.reap(&txn(1), "good", b"r");
    assert_eq!(gateway.response().body, b"r");
    assert!(scene.exits_successfully());
    assert!(second.exits_successfully());
    gateway.request(1, "quote", &txn(2), b"q");
    last.expect("SCHED", &txn(2));
}

// Guards against a folder that cannot be used, and against what an earlier life left there.
#[test]
fn a_node_serves_whatever_lies_in_its_folder() {
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
    let _second = link(&next.kernel, 0);
    next.await_ready();
    drop(next);
    let folder = scene.handover_dir().to_path_buf();
    scene.restart_with(|| std::fs::remove_dir_all(folder).expect("removed"));
    let _kernel = scene.connect_kernel();
    scene.await_healthy();
}

/// Clients that book and read all through, on connections that they keep and on new ones.
struct Clients {
    stop: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
    results: Arc<Mutex<BTreeMap<u64, Vec<u8>>>>,
    wrong: Arc<Mutex<Vec<String>>>,
    served: Arc<AtomicU64>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts some; with `kills` connections may end at any time, and tries may fail.
    fn start(address: &str, kills: bool) -> Self {
        let mut clients = Clients {
            stop: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
            results: Arc::default(),
            wrong: Arc::default(),
            served: Arc::default(),
            threads: Vec::new(),
        };
        for i in 0..4 {
            let (stop, next) = (clients.stop.clone(), clients.next.clone());
            let (results, wrong) = (clients.results.clone(), clients.wrong.clone());
            let (served, address) = (clients.served.clone(), address.to_string());
            clients.threads.push(std::thread::spawn(move || {
                let mut rng = fastrand::Rng::with_seed(i);
                let mut kept = None;
                while !stop.load(Ordering::Relaxed) {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    // Keys come again, also from other clients, over all processes.
                    let of = rng.u64(n.saturating_sub(40)..=n);
                    let fault = |what: String| wrong.lock().expect("no panic").push(what);
                    let conn = kept.take().filter(|_| rng.bool());
                    let mut gateway = match conn {
                        Some(gateway) => gateway,
                        None => match TcpStream::connect(&address) {
                            Ok(stream) => {
                                stream.set_nodelay(true).expect("no delay");
                                Gateway { stream }
                            }
                            Err(e) => {
                                fault(format!("try {n}: {e}"));
                                continue;
                            }
                        },
                    };
                    match gateway.book(&txn(n), &key(of), &format!("b{of}")) {
                        Ok((status, body)) if status == "200" => {
                            served.fetch_add(1, Ordering::Relaxed);
                            let mut results = results.lock().expect("no panic");
                            let first = results.entry(of).or_insert_with(|| body.clone());
                            if *first != body {
                                fault(format!("key {of}: two results"));
                            }
                            kept = Some(gateway);
                        }
                        Ok((status, _)) if kills || status == "503" => kept = Some(gateway),
                        Ok((status, _)) => fault(format!("try {n}: {status}")),
                        Err(e) if !kills => fault(format!("try {n}: {e}")),
                        Err(_) => {}
                    }
                }
            }));
        }
        clients
    }

    fn end(self, kernel: &AutoKernel) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no panic");
        }
        let wrong = self.wrong.lock().expect("no panic");
        assert!(wrong.is_empty(), "{wrong:?}");
        for of in 1..self.next.load(Ordering::Relaxed) {
            let runs = kernel.results(&format!("b{of}"));
            assert!(runs.len() <= 1, "key {of} ran {} times", runs.len());
        }
        assert!(self.served.load(Ordering::Relaxed) > 100);
    }
}

fn upgrades(rounds: u64) {
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
            Some(old) => {
                old.signal("-TERM");
                assert!(old.exits_successfully());
            }
        }
        serving = Some(next);
        std::thread::sleep(Duration::from_millis(100));
    }
    clients.end(&kernel);
}

// Guards against any request or connection lost, any second run, any second result, over a row of upgrades.
#[test]
fn upgrades_in_a_row_lose_nothing() {
    upgrades(5);
}

#[test]
#[ignore = "the same for longer"]
fn twenty_upgrades_in_a_row_lose_nothing() {
    upgrades(20);
}

// Guards against a second run, and a refused connection, when one of two processes is killed at any moment.
#[test]
fn a_process_killed_in_an_upgrade_runs_no_key_twice() {
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
        // Sometimes in the middle of the handing over.
        if rng.bool() {
            scene.signal("-TERM");
            std::thread::sleep(Duration::from_micros(rng.u64(0..4_000)));
        }
        let elder = seed % 2 == 0;
        if elder {
            scene.kill();
        } else {
            next.kill();
        }
        std::thread::sleep(Duration::from_millis(300));
        let mut clients = clients;
        clients.stop.store(true, Ordering::Relaxed);
        clients.threads.drain(..).for_each(|t| t.join().expect("no panic"));
        if !elder {
            // What the new process had taken over ended with it; what it had not goes on. The clients have stopped by
            // now, so that none of them adds another refused connection after this.
            clients.wrong.lock().expect("no panic").retain(|w| !w.contains("refused"));
        }
        clients.end(&kernel);
    }
}
