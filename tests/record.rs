//! Tests of the real program with each backend of the idempotency store: which results are durable, which
//! requests are rejected while the store fails, and that no request runs twice.

mod support;

use gaugestand_fakes::kernel::AutoKernel;
use gaugestand_fakes::postgres::{Fault, Postgres};
use rusqlite::Connection;
use serde_json::Value;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The idempotency key of attempts of class `booking` that state no other one.
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
/// Longest time for which a test waits for a condition before it fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Sets a latency objective of 1.5 s and a deadline of 2 s for both classes, short enough for a test to wait
/// for.
fn shorten_deadlines(configuration: &mut Value) {
    for class in 0..2 {
        configuration["settings"]["classes"][class]["goal-time"] = 1_500_000_000u64.into();
        configuration["settings"]["classes"][class]["hard-limit"] = 2_000_000_000u64.into();
    }
}

/// An idempotency store of one backend, which a test can stall. The files of the store are removed when the
/// value is dropped.
enum Store {
    /// `lock` holds a write transaction while the store is stalled.
    Sqlite { path: PathBuf, lock: Option<Connection> },
    /// `password` is the file that holds the password of the fake server.
    Postgres { server: Postgres, password: PathBuf },
}

impl Store {
    /// One store of each backend: SQLite first, then PostgreSQL.
    fn of_each_backend() -> [Store; 2] {
        let path = temporary_path("db");
        let password = temporary_path("pass");
        std::fs::write(&password, "correct horse\n").expect("the password file is written");
        let server = Postgres::start("correct horse").expect("the fake server listens");
        [Store::Sqlite { path, lock: None }, Store::Postgres { server, password }]
    }

    /// The operators' settings script that configures this store.
    fn script(&self) -> String {
        match self {
            Store::Sqlite { path, .. } => {
                format!("record(backend = \"sqlite\", path = \"{}\", sync = \"full\")", path.display())
            }
            Store::Postgres { server, password } => format!(
                "record(backend = \"postgres\", address = \"{}\", database = \"gs\", user = \"gs\", \
                 password_file = \"{}\")",
                server.address(),
                password.display()
            ),
        }
    }

    /// Starts a node with this store and short deadlines.
    fn scene(&self) -> Scene {
        Scene::with_script(Some(&self.script()), shorten_deadlines)
    }

    /// Blocks the store's writes, from the next one on, until [`Store::release`].
    fn stall(&mut self) {
        match self {
            Store::Sqlite { path, lock } => {
                let blocker = Connection::open(path).expect("a second connection to the database file");
                blocker.busy_timeout(TIMEOUT).expect("the busy timeout is set");
                blocker.execute_batch("BEGIN IMMEDIATE").expect("the write lock is taken");
                *lock = Some(blocker);
            }
            Store::Postgres { server, .. } => server.inject_faults(&[Fault::StallBefore]),
        }
    }

    /// Ends the stall that [`Store::stall`] began.
    fn release(&mut self) {
        match self {
            Store::Sqlite { lock, .. } => *lock = None,
            Store::Postgres { server, .. } => server.release(),
        }
    }

    /// State and result of the row of this key. Waits for up to [`TIMEOUT`] until there is a row whose state
    /// `holds` accepts. State 0 is an intent, state 1 a result.
    fn row(&self, key: &str, holds: impl Fn(i64) -> bool) -> (i64, Option<Vec<u8>>) {
        let began = Instant::now();
        loop {
            let row = match self {
                Store::Sqlite { path, .. } => Connection::open(path).ok().and_then(|connection| {
                    let select = "SELECT state, result FROM record WHERE key = ?1";
                    connection.query_row(select, [key], |row| Ok((row.get(0)?, row.get(1)?))).ok()
                }),
                Store::Postgres { server, .. } => {
                    server.row("n3", key).map(|row| (i64::from(row.state), row.result))
                }
            };
            if let Some(row) = row.filter(|(state, _): &(i64, _)| holds(*state)) {
                return row;
            }
            assert!(
                began.elapsed() < TIMEOUT,
                "the store has no row of key {key} in the expected state within {TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        match self {
            Store::Sqlite { path, .. } => {
                for end in ["", "-wal", "-shm", ".lock"] {
                    let _ = std::fs::remove_file(format!("{}{end}", path.display()));
                }
            }
            Store::Postgres { password, .. } => drop(std::fs::remove_file(password)),
        }
    }
}

/// Starts a node with this store, its kernel and a gateway, and waits until the node is in service.
fn start_in_service(store: &Store) -> (Scene, Kernel, Gateway) {
    let scene = store.scene();
    let kernel = scene.connect_kernel();
    scene.await_healthy();
    let gateway = scene.gateway();
    (scene, kernel, gateway)
}

/// Sends an attempt of the keyed request that most of these tests use: class `booking`, key [`KEY`], body
/// `b`.
fn send_booking(gateway: &mut Gateway, id: u16, txn: &str) {
    gateway.request(id, "booking", txn, b"b");
}

/// A node is killed right after it answered a keyed request. A retry after the restart must get the same
/// result without a second run.
#[test]
fn a_result_is_durable_before_its_response_and_a_retry_after_a_kill_gets_the_same() {
    for store in Store::of_each_backend() {
        let (mut scene, mut kernel, mut gateway) = start_in_service(&store);
        send_booking(&mut gateway, 1, TXN_A);
        kernel.expect("SCHED", TXN_A);
        // The intent is durable before the run begins.
        assert_eq!(store.row(KEY, |_| true), (0, None));
        kernel.reap(TXN_A, "good", b"booked");
        assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
        assert_eq!(store.row(KEY, |_| true), (1, Some(b"booked".to_vec())));
        scene.restart();
        let mut kernel = scene.connect_kernel();
        scene.await_healthy();
        let mut gateway = scene.gateway();
        send_booking(&mut gateway, 1, TXN_B);
        assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
        // The same key with another body is a conflict, as it is another request.
        gateway.request(2, "booking", TXN_C, b"other");
        assert_eq!(status_and_body(&gateway.response()), (2, "409", &b""[..]));
        kernel.expect_nothing(5);
    }
}

/// A node is killed while a keyed request runs. After the restart it is in doubt whether the run had its
/// effect, so each retry must fail without a run.
#[test]
fn a_request_that_a_kill_left_in_doubt_fails_its_retries_and_never_runs_again() {
    for store in Store::of_each_backend() {
        let mut scene = store.scene();
        let mut kernel = scene.connect_kernel();
        scene.await_healthy();
        send_booking(&mut scene.gateway(), 1, TXN_A);
        kernel.expect("SCHED", TXN_A);
        scene.restart();
        let mut kernel = scene.connect_kernel();
        scene.await_healthy();
        let mut gateway = scene.gateway();
        for (id, txn) in [(1, TXN_B), (2, TXN_C)] {
            send_booking(&mut gateway, id, txn);
            assert_eq!(status_and_body(&gateway.response()), (id, "500", &b""[..]));
        }
        kernel.expect_nothing(5);
        assert_eq!(scene.counter("record_in_doubt"), 1);
    }
}

/// The store stalls while a result is being written. The request must fail at its deadline, and a retry must
/// get the result once it is durable.
#[test]
fn a_request_whose_write_stalls_fails_at_its_deadline_and_its_retry_gets_the_result_once_durable() {
    for mut store in Store::of_each_backend() {
        let (_scene, mut kernel, mut gateway) = start_in_service(&store);
        send_booking(&mut gateway, 1, TXN_A);
        kernel.expect("SCHED", TXN_A);
        store.stall();
        let began = Instant::now();
        kernel.reap(TXN_A, "good", b"booked");
        assert_eq!(status_and_body(&gateway.response()), (1, "500", &b""[..]));
        assert!(began.elapsed() < Duration::from_millis(2_050), "{:?}", began.elapsed());
        // This retry waits for the write, and gets the result as soon as the result is durable.
        send_booking(&mut gateway, 2, TXN_B);
        kernel.expect_nothing(5);
        store.release();
        assert_eq!(status_and_body(&gateway.response()), (2, "200", &b"booked"[..]));
        send_booking(&mut gateway, 3, TXN_C);
        assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"booked"[..]));
        kernel.expect_nothing(5);
    }
}

/// The store loses a result, and the node is killed before it can write the result again. After the restart
/// the store holds only the intent, so a retry must fail without a run.
#[test]
fn a_result_whose_write_was_lost_is_in_doubt_after_a_kill() {
    for mut store in Store::of_each_backend() {
        let (mut scene, mut kernel, mut gateway) = start_in_service(&store);
        send_booking(&mut gateway, 1, TXN_A);
        kernel.expect("SCHED", TXN_A);
        store.stall();
        kernel.reap(TXN_A, "good", b"booked");
        if let Store::Postgres { server, .. } = &mut store {
            // The server stops while the transaction is open, so the transaction is lost. The node is killed
            // before it can repeat the write.
            server.await_stall();
            server.stop();
        }
        assert_eq!(status_and_body(&gateway.response()), (1, "500", &b""[..]));
        scene.restart_with(|| match &mut store {
            Store::Sqlite { lock, .. } => *lock = None,
            Store::Postgres { server, .. } => {
                server.resume().expect("the fake server listens at its port again")
            }
        });
        let mut kernel = scene.connect_kernel();
        scene.await_healthy();
        let mut gateway = scene.gateway();
        send_booking(&mut gateway, 1, TXN_B);
        assert_eq!(status_and_body(&gateway.response()), (1, "500", &b""[..]));
        kernel.expect_nothing(5);
    }
}

/// The store stalls before any run begins. The node must reject keyed requests with a retry-after, and serve
/// requests without a key as usual.
#[test]
fn keyed_requests_are_rejected_with_retry_after_while_the_store_stalls_and_reads_go_on() {
    for mut store in Store::of_each_backend() {
        let (mut scene, mut kernel, mut gateway) = start_in_service(&store);
        store.stall();
        // The first request is rejected when the circuit breaker opens, long before its deadline.
        let began = Instant::now();
        send_booking(&mut gateway, 1, TXN_A);
        let response = gateway.response();
        assert_eq!(status_and_body(&response), (1, "503", &b""[..]));
        assert!(response.field("X-Throttle-Ms").is_some(), "{response:?}");
        assert!(began.elapsed() < Duration::from_millis(1_000), "{:?}", began.elapsed());
        // While the circuit breaker is open, the node rejects further keyed requests at once, and serves
        // reads.
        let began = Instant::now();
        gateway.send(&attempt_records(2, "booking", TXN_B, &[("HTTP_X_TXN_KEY", "k2")], b"b"));
        assert_eq!(status_and_body(&gateway.response()), (2, "503", &b""[..]));
        gateway.request(3, "quote", TXN_C, b"q");
        kernel.expect("SCHED", TXN_C);
        kernel.reap(TXN_C, "good", b"read");
        assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"read"[..]));
        assert!(began.elapsed() < Duration::from_millis(200), "{:?}", began.elapsed());
        assert_eq!(scene.counter("record_open"), 1);
        store.release();
        // Once the circuit breaker has closed, a retry of the rejected request runs, as no attempt of it has
        // run.
        let began = Instant::now();
        while scene.counter("record_open") == 1 {
            assert!(
                began.elapsed() < TIMEOUT,
                "the circuit breaker is still open {TIMEOUT:?} after the store was released"
            );
            thread::sleep(Duration::from_millis(5));
        }
        send_booking(&mut gateway, 4, TXN_D);
        kernel.expect("SCHED", TXN_D);
        kernel.reap(TXN_D, "good", b"booked");
        assert_eq!(status_and_body(&gateway.response()), (4, "200", &b"booked"[..]));
    }
}

/// The transaction that writes an intent, and then the one that writes an outcome, fails in each possible
/// way. The request must run exactly once, and retries must get its result.
#[test]
fn a_request_runs_once_and_gets_its_result_whatever_fault_a_transaction_has() {
    let faults = [
        Fault::BreakBefore,
        Fault::BreakAfter,
        Fault::Garbage,
        Fault::Error("40P01"),
        Fault::Error("40003"),
        Fault::Error("53100"),
        Fault::Error("XX000"),
    ];
    let [_, store] = Store::of_each_backend();
    let Store::Postgres { server, .. } = &store else { panic!("the second store must be PostgreSQL") };
    // The fake server sends its replies in single bytes, which the node must read as well as whole replies.
    server.send_single_bytes(true);
    let mut scene = store.scene();
    let kernel = AutoKernel::serve(&scene.kernel);
    scene.await_healthy();
    let mut txn = 0x2000u64;
    let mut book = |scene: &Scene, key: &str| {
        let mut gateway = scene.gateway();
        let began = Instant::now();
        loop {
            txn += 1;
            let (status, body) = gateway.book(&format!("{txn:016x}"), key, key).expect("the node answers");
            match status.as_str() {
                "200" => return String::from_utf8(body).expect("the result is UTF-8"),
                // The open circuit breaker rejects the request, which has not run, and is accepted later.
                "503" => thread::sleep(Duration::from_millis(5)),
                other => panic!("key {key}: status {other}, expected 200 or 503"),
            }
            assert!(began.elapsed() < TIMEOUT, "key {key} got no result within {TIMEOUT:?}");
        }
    };
    for (number, fault) in faults.into_iter().enumerate() {
        for (write, script) in [("intent", vec![fault]), ("outcome", vec![Fault::None, fault])] {
            let key = format!("{write}-{number}");
            server.inject_faults(&script);
            let first = book(&scene, &key);
            assert_eq!(kernel.results(&key), [first.as_str()], "{fault:?} in the write of the {write}");
            assert_eq!(book(&scene, &key), first, "{fault:?} in the write of the {write}");
            assert_eq!(
                store.row(&key, |_| true),
                (1, Some(first.into_bytes())),
                "{fault:?} in the write of the {write}"
            );
        }
    }
    assert!(scene.counter("record_failures") >= 2 * faults.len() as u64);
    assert_eq!(scene.counter("record_waiting"), 0);
}

/// What [`run_burst`] observed: the runs at the kernel, and the responses to its clients.
struct Burst {
    kernel: AutoKernel,
    /// The key of each keyed request, with the bodies of all its responses of status 200.
    served: Vec<(String, Vec<Vec<u8>>)>,
    /// Number of requests without a key that got status 200.
    reads: u32,
}

/// Sends keyed requests from `clients` clients, and reads from a further one, while `disturb` runs. Each
/// client sends at least `bookings_each` requests, and goes on as long as `disturb` runs. `disturb` may
/// restart the node, and then has to store the node's new address in its second argument. Returns when each
/// keyed request has its result or has failed for good.
fn run_burst(
    scene: &mut Scene,
    clients: usize,
    bookings_each: usize,
    disturb: impl FnOnce(&mut Scene, &Mutex<String>),
) -> Burst {
    let kernel = AutoKernel::serve(&scene.kernel);
    scene.await_healthy();
    let address = Mutex::new(scene.address.clone());
    let is_over = AtomicBool::new(false);
    let mut result = Burst { kernel, served: Vec::new(), reads: 0 };
    thread::scope(|scope| {
        let clients: Vec<_> = (0..clients)
            .map(|client| {
                let address = &address;
                let is_over = &is_over;
                scope.spawn(move || send_keyed_requests(client, bookings_each, address, is_over))
            })
            .collect();
        let reader = scope.spawn(|| send_reads(&address, &is_over));
        disturb(scene, &address);
        is_over.store(true, Ordering::Relaxed);
        for client in clients {
            result.served.extend(client.join().expect("the client does not panic"));
        }
        result.reads = reader.join().expect("the reader does not panic");
    });
    result
}

/// Connects to the node at its present address; `None` if the node is not listening.
fn connect(address: &Mutex<String>) -> Option<Gateway> {
    let address = address.lock().expect("no thread has panicked").clone();
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    Some(Gateway { stream })
}

/// Runs one client of [`run_burst`]: sends at least `bookings_each` keyed requests, and more until `is_over`,
/// and retries each until it has two results or three failures. Returns the keys with the bodies of all their
/// responses of status 200.
fn send_keyed_requests(
    client: usize,
    bookings_each: usize,
    address: &Mutex<String>,
    is_over: &AtomicBool,
) -> Vec<(String, Vec<Vec<u8>>)> {
    let mut gateway = None;
    let mut txn = (client as u64 + 1) << 32;
    let mut all = Vec::new();
    for n in (0..).take_while(|n| *n < bookings_each || !is_over.load(Ordering::Relaxed)) {
        let key = format!("key-{client}-{n}");
        let mut served = Vec::new();
        let mut failures = 0;
        let began = Instant::now();
        // Two results are needed, that of the run and that of a retry. Three failures mean that the run is in
        // doubt.
        while served.len() < 2 && failures < 3 {
            assert!(
                began.elapsed() < TIMEOUT,
                "key {key} got neither two results nor three failures within {TIMEOUT:?}"
            );
            gateway = gateway.or_else(|| connect(address));
            let Some(connected) = gateway.as_mut() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            txn += 1;
            match connected.book(&format!("{txn:016x}"), &key, &key) {
                Ok((status, body)) if status == "200" => served.push(body),
                Ok((status, _)) if status == "500" => failures += 1,
                Ok((status, _)) => {
                    assert_eq!(status, "503", "{key}");
                    thread::sleep(Duration::from_millis(5));
                }
                // The node was killed, so the client does not know whether the request ran, and retries it.
                Err(_) => gateway = None,
            }
        }
        all.push((key, served));
    }
    all
}

/// Sends requests without a key until `is_over`. Each one that the node admits must be served. Returns the
/// number of those that were served.
fn send_reads(address: &Mutex<String>, is_over: &AtomicBool) -> u32 {
    let mut gateway = None;
    let mut reads = 0;
    while !is_over.load(Ordering::Relaxed) {
        gateway = gateway.or_else(|| connect(address));
        let Some(connected) = gateway.as_mut() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let txn = format!("{:016x}", (0xffu64 << 32) + u64::from(reads));
        match connected.quote(&txn) {
            Ok(status) if status == "200" => reads += 1,
            // A node that has just started rejects requests until its kernel is connected.
            Ok(status) => assert_eq!(status, "503"),
            Err(_) => gateway = None,
        }
        thread::sleep(Duration::from_millis(2));
    }
    reads
}

impl Burst {
    /// Checks that no key ran twice, and that each result that a client got is the result of the key's only
    /// run and is in the store.
    fn check(&self, store: &Store) {
        for (key, served) in &self.served {
            let runs = self.kernel.results(key);
            assert!(runs.len() <= 1, "{key} ran {} times", runs.len());
            for body in served {
                assert_eq!(Some(body.as_slice()), runs.first().map(String::as_bytes), "{key}");
                assert_eq!(store.row(key, |state| state == 1).1.as_deref(), Some(body.as_slice()), "{key}");
            }
        }
    }
}

/// During a burst an operator restarts the database three times, or a backup locks the database file three
/// times. Requests may take longer, but each one must get its result.
#[test]
fn a_store_that_restarts_during_a_burst_only_delays_requests() {
    for mut store in Store::of_each_backend() {
        let mut scene = store.scene();
        let burst = run_burst(&mut scene, 4, 30, |_, _| {
            for _ in 0..3 {
                thread::sleep(Duration::from_millis(30));
                match &mut store {
                    Store::Sqlite { .. } => store.stall(),
                    Store::Postgres { server, .. } => server.stop(),
                }
                thread::sleep(Duration::from_millis(350));
                match &mut store {
                    Store::Sqlite { .. } => store.release(),
                    Store::Postgres { server, .. } => {
                        server.resume().expect("the fake server listens at its port again")
                    }
                }
            }
        });
        burst.check(&store);
        // No process was killed, so no run is in doubt: each request got its result, and its retry the same
        // result.
        let twice = burst.served.iter().filter(|(_, served)| served.len() == 2).count();
        assert_eq!(twice, burst.served.len());
        assert!(burst.reads > 100, "{} reads were served, expected more than 100", burst.reads);
    }
}

/// Kills the program with SIGKILL and restarts it, `kills` times, under load. `seed` determines the pauses of
/// 2 to 60 ms between the kills. Checks that no key runs twice, that each served result is in the store, and
/// that less than half of the keys end in doubt.
fn kill_under_load(kills: u32, bookings_each: usize, seed: u64) {
    // The window outlasts the test, so that the check at its end finds all results in the store.
    let long_window = |configuration: &mut Value| {
        shorten_deadlines(configuration);
        configuration["settings"]["classes"][1]["dedup-window"] = 600_000_000_000u64.into();
    };
    for store in Store::of_each_backend() {
        let mut scene = Scene::with_script(Some(&store.script()), long_window);
        let mut rng = fastrand::Rng::with_seed(seed);
        let burst = run_burst(&mut scene, 4, bookings_each, |scene, address| {
            for _ in 0..kills {
                thread::sleep(Duration::from_micros(rng.u64(2_000..60_000)));
                scene.restart();
                *address.lock().expect("no thread has panicked") = scene.address.clone();
            }
        });
        burst.check(&store);
        let all = burst.served.len();
        let in_doubt = burst.served.iter().filter(|(_, served)| served.is_empty()).count();
        println!("{all} bookings, {kills} kills: {in_doubt} in doubt");
        assert!(in_doubt < all / 2, "{in_doubt} of {all} in doubt");
    }
}

/// The node is killed twenty times at random points, while clients retry each keyed request until it has its
/// result or has failed for good.
#[test]
fn a_program_killed_at_random_points_under_load_runs_nothing_twice_and_keeps_what_it_served() {
    kill_under_load(20, 20, 7);
}

/// Kills the node two hundred times, and otherwise checks the same as the test with twenty kills. To be run
/// with `cargo test --release --test record -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn two_hundred_kills_under_load_run_nothing_twice() {
    kill_under_load(200, 20, 11);
}

/// Starts a node with a keyed request whose run has ended with the result `booked`, which the stalled store
/// does not write.
fn scene_with_stalled_result(store: &mut Store, txn: &str) -> (Scene, Kernel, Gateway) {
    let (scene, mut kernel, mut gateway) = start_in_service(store);
    send_booking(&mut gateway, 1, txn);
    kernel.expect("SCHED", txn);
    store.stall();
    kernel.reap(txn, "good", b"booked");
    if let Store::Postgres { server, .. } = store {
        server.await_stall();
    }
    (scene, kernel, gateway)
}

/// SIGTERM arrives while the store stalls with a result in flight. If the store recovers, the node must serve
/// the result; otherwise the request must fail. In both cases the program must end in time.
#[test]
fn a_drain_with_a_write_in_flight_serves_the_result_if_it_becomes_durable_and_ends_in_time() {
    for becomes_durable in [true, false] {
        for mut store in Store::of_each_backend() {
            let (mut scene, _kernel, mut gateway) = scene_with_stalled_result(&mut store, TXN_A);
            let began = Instant::now();
            scene.signal("-TERM");
            // The drain has begun once health checks fail.
            while scene.gateway().health_check("").status == "200 OK" {
                assert!(began.elapsed() < TIMEOUT, "the drain has not begun {TIMEOUT:?} after SIGTERM");
            }
            if becomes_durable {
                store.release();
                assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
                assert_eq!(store.row(KEY, |_| true).0, 1);
            } else {
                assert_eq!(status_and_body(&gateway.response()), (1, "500", &b""[..]));
            }
            assert!(scene.exits_successfully());
            // The program exits by itself within `stop_ms`, which is 4 s from SIGTERM on.
            assert!(began.elapsed() < Duration::from_millis(4_000), "{:?}", began.elapsed());
        }
    }
}

/// An operator reloads other settings of the idempotency store while the store stalls with a result in
/// flight, in one case during a drain. The node must reject another store, a limit out of range and another
/// form of the log, accept a valid limit, and serve the result.
#[test]
fn a_reload_during_a_stall_changes_limits_but_not_the_store_and_loses_nothing() {
    for drains in [false, true] {
        for mut store in Store::of_each_backend() {
            let (mut scene, _kernel, mut gateway) = scene_with_stalled_result(&mut store, TXN_A);
            let script = store.script();
            let other = "record(backend = \"sqlite\", path = \"/elsewhere.db\", sync = \"full\")";
            let cases = [
                (other.to_string(), "record cannot change while the node serves"),
                (String::new(), "record cannot change while the node serves"),
                (
                    script.replace("record(", "record(stall_ms = 9, "),
                    "`stall_ms` is out of range; expected a whole number",
                ),
                (format!("{script}\nlog(form = \"json\")"), "log: `form` cannot change"),
                (script.replace("record(", "record(stall_ms = 400, "), "the new configuration is in effect"),
            ];
            if drains {
                scene.signal("-TERM");
            }
            for (text, output) in cases {
                scene.reload_script(&text);
                scene.await_log_line(output);
            }
            store.release();
            assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
            if drains {
                assert!(scene.exits_successfully());
            }
        }
    }
}

/// Retries arrive within and after the window of their key, which counts from the ingress time that the
/// request states, and again after the node was restarted. A retry within the window must get the stored
/// result, and a later one must run.
#[test]
fn a_retry_past_its_window_runs_again_and_one_within_it_does_not_across_a_restart() {
    for store in Store::of_each_backend() {
        let short_window = |configuration: &mut Value| {
            shorten_deadlines(configuration);
            configuration["settings"]["classes"][1]["dedup-window"] = 1_500_000_000u64.into();
        };
        let mut scene = Scene::with_script(Some(&store.script()), short_window);
        let mut kernel = scene.connect_kernel();
        scene.await_healthy();
        let mut gateway = scene.gateway();
        let began = Instant::now();
        send_booking(&mut gateway, 1, TXN_A);
        kernel.expect("SCHED", TXN_A);
        kernel.reap(TXN_A, "good", b"first");
        assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"first"[..]));
        send_booking(&mut gateway, 2, TXN_B);
        assert_eq!(status_and_body(&gateway.response()), (2, "200", &b"first"[..]));
        thread::sleep(Duration::from_millis(1_700).saturating_sub(began.elapsed()));
        send_booking(&mut gateway, 3, TXN_C);
        kernel.expect("SCHED", TXN_C);
        kernel.reap(TXN_C, "good", b"second");
        assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"second"[..]));
        // After a restart the node keeps stored results for a whole window from the restart on, so a restart
        // can prolong a window, but not shorten it.
        scene.restart();
        let mut kernel = scene.connect_kernel();
        scene.await_healthy();
        let mut gateway = scene.gateway();
        let began = Instant::now();
        send_booking(&mut gateway, 1, TXN_D);
        assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"second"[..]));
        thread::sleep(Duration::from_millis(1_700).saturating_sub(began.elapsed()));
        send_booking(&mut gateway, 2, TXN_A);
        kernel.expect("SCHED", TXN_A);
    }
}

/// The database first has no space left, and later is read-only; both faults end after a while. The node must
/// reject only keyed requests during a fault, log its cause, and use the database again afterwards.
#[test]
fn a_database_that_rejects_writes_costs_only_keyed_requests_and_is_used_again_afterwards() {
    let [_, store] = Store::of_each_backend();
    let Store::Postgres { server, .. } = &store else { panic!("the second store must be PostgreSQL") };
    let (mut scene, mut kernel, mut gateway) = start_in_service(&store);
    for (id, code, first, second) in [(1, "53100", TXN_A, TXN_B), (2, "25006", TXN_C, TXN_D)] {
        server.fail_writes_with(Some(code));
        gateway.send(&attempt_records(id, "booking", first, &[("HTTP_X_TXN_KEY", code)], b"b"));
        let response = gateway.response();
        assert_eq!(status_and_body(&response), (id, "503", &b""[..]));
        assert!(response.field("X-Throttle-Ms").is_some());
        scene.await_log_line(if code == "53100" { "cause=\"full\"" } else { "cause=\"read-only\"" });
        let read = format!("{id:016x}");
        gateway.request(id, "quote", &read, b"q");
        kernel.expect("SCHED", &read);
        kernel.reap(&read, "good", b"read");
        assert_eq!(status_and_body(&gateway.response()), (id, "200", &b"read"[..]));
        server.fail_writes_with(None);
        while scene.counter("record_open") == 1 {
            thread::sleep(Duration::from_millis(5));
        }
        gateway.send(&attempt_records(id, "booking", second, &[("HTTP_X_TXN_KEY", code)], b"b"));
        kernel.expect("SCHED", second);
        kernel.reap(second, "good", b"booked");
        assert_eq!(status_and_body(&gateway.response()), (id, "200", &b"booked"[..]));
        // The node logs the failure at most once a second. The pause lets it log a line for the next case
        // too.
        thread::sleep(Duration::from_millis(1_100));
    }
}

/// The settings name a damaged database file or a missing password file, or the script has an error. The
/// program must exit with the given status, after one line that names the fault.
#[test]
fn an_unusable_store_or_script_ends_the_start_with_one_line_and_its_status() {
    let path = temporary_path("db");
    std::fs::write(&path, "not a database, but long enough to look at; ".repeat(40))
        .expect("the damaged file is written");
    let store = Store::Sqlite { path, lock: None };
    let [_, postgres] = Store::of_each_backend();
    let missing = postgres.script().replace(".pass", ".none");
    let cases = [
        (store.script(), "serve", 1, "is damaged"),
        (missing, "serve", 2, "password file"),
        (
            "record(backend = \"sqlite\")".into(),
            "check-config",
            2,
            ":1:1: record: `path` is missing; add path",
        ),
        ("record(".into(), "serve", 2, "the script is Starlark"),
    ];
    for (script, subcommand, code, text) in cases {
        let (mut command, config) = program(&configuration(1, 2, 3), subcommand);
        let settings = temporary_path("star");
        std::fs::write(&settings, script).expect("the settings script is written");
        let result = command.arg("--settings").arg(&settings).output().expect("the program runs");
        let output = String::from_utf8_lossy(&result.stderr).into_owned();
        assert_eq!(result.status.code(), Some(code), "{output}");
        assert!(output.contains(text) && output.lines().count() == 1, "{output}");
        let _ = (std::fs::remove_file(settings), std::fs::remove_file(config));
    }
}

/// Runs a sub-command of `record` with these arguments on this store. Returns its exit status, and its
/// standard output followed by its standard error.
fn record_subcommand(store: &Store, arguments: &[&str]) -> (Option<i32>, String) {
    let (mut command, config) = program(&configuration(1, 2, 3), "record");
    let settings = temporary_path("star");
    std::fs::write(&settings, store.script()).expect("the settings script is written");
    let result = command.args(arguments).arg("--settings").arg(&settings).env("BALANCER_NAME", "n3").output();
    let result = result.expect("the program runs");
    let _ = (std::fs::remove_file(settings), std::fs::remove_file(config));
    let output = [result.stdout, result.stderr].concat();
    (result.status.code(), String::from_utf8_lossy(&output).into_owned())
}

#[test]
fn the_record_subcommand_reads_the_store_of_a_running_node_and_prunes_it_afterwards() {
    for store in Store::of_each_backend() {
        let (mut scene, mut kernel, mut gateway) = start_in_service(&store);
        send_booking(&mut gateway, 1, TXN_A);
        kernel.expect("SCHED", TXN_A);
        kernel.reap(TXN_A, "good", b"booked");
        assert_eq!(status_and_body(&gateway.response()).1, "200");
        gateway.send(&attempt_records(2, "booking", TXN_B, &[("HTTP_X_TXN_KEY", "k2")], b"b"));
        kernel.expect("SCHED", TXN_B);
        let output = "2 rows (1 good, 0 failed, 1 intents), 2 live, 6 bytes of results\n";
        assert_eq!(record_subcommand(&store, &["check"]), (Some(0), format!("sound: {output}")));
        assert_eq!(record_subcommand(&store, &["stats"]), (Some(0), output.to_string()));
        let (_, stats) = record_subcommand(&store, &["stats", "--json"]);
        assert_eq!(serde_json::from_str::<Value>(&stats).expect("valid JSON")["intents"], 1);
        let (_, list) = record_subcommand(&store, &["list", "--json"]);
        let mut rows: Vec<Value> =
            list.lines().map(|l| serde_json::from_str(l).expect("valid JSON")).collect();
        rows.sort_by_key(|r| r["txn"].to_string());
        assert_eq!((&rows[0]["key"], &rows[0]["state"]), (&KEY.into(), &"good".into()));
        assert_eq!((&rows[1]["key"], &rows[1]["state"], rows.len()), (&"k2".into(), &"intent".into(), 2));
        assert!(record_subcommand(&store, &["list"]).1.contains(KEY));
        // The sub-commands that read the store have not stopped the node from writing to it.
        kernel.reap(TXN_B, "good", b"too");
        assert_eq!(status_and_body(&gateway.response()), (2, "200", &b"too"[..]));
        // On the database file of a running node, `prune` fails. On the PostgreSQL server, `prune` removes
        // nothing, as neither the window of 9 s nor the hour for which rows are kept after it is over.
        let (code, output) = record_subcommand(&store, &["prune"]);
        match store {
            Store::Sqlite { .. } => {
                assert!(code == Some(1) && output.contains("another process"), "{output}")
            }
            Store::Postgres { .. } => assert_eq!((code, output.as_str()), (Some(0), "0 rows removed\n")),
        }
        scene.restart_with(|| {
            assert_eq!(
                record_subcommand(&store, &["prune", "--json"]),
                (Some(0), "{\"removed\":0}\n".to_string())
            );
        });
    }
}
