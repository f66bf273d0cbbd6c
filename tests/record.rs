//! The store of record behind the real program: what is durable, what is refused, and what never runs twice.

mod peers;

use gaugestand_standins::postgres::{Fault, Postgres};
use peers::*;
use rusqlite::Connection;
use serde_json::Value;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const A: &str = "9b1f03aa5c7e2d41";
const B: &str = "9b1f03aa5c7e2d42";
const C: &str = "9b1f03aa5c7e2d43";
const D: &str = "9b1f03aa5c7e2d44";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
/// Longest that any test waits for something to become so.
const PATIENCE: Duration = Duration::from_secs(20);

/// Deadlines short enough to be waited for.
fn short(text: &mut Value) {
    for class in 0..2 {
        text["settings"]["classes"][class]["goal-time"] = 1_500_000_000u64.into();
        text["settings"]["classes"][class]["hard-limit"] = 2_000_000_000u64.into();
    }
}

/// A store of either kind, and how it is made to stall.
enum Store {
    Sqlite { path: PathBuf, lock: Option<Connection> },
    Postgres { server: Postgres, password: PathBuf },
}

impl Store {
    fn both() -> [Store; 2] {
        let (path, password) = (place("db"), place("pass"));
        std::fs::write(&password, "correct horse\n").expect("written");
        let server = Postgres::start("correct horse").expect("it listens");
        [Store::Sqlite { path, lock: None }, Store::Postgres { server, password }]
    }

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

    fn scene(&self) -> Scene {
        Scene::with(Some(&self.script()), short)
    }

    /// From the next write on it stands still.
    fn stall(&mut self) {
        match self {
            Store::Sqlite { path, lock } => {
                let other = Connection::open(path).expect("a second connection");
                other.busy_timeout(PATIENCE).expect("set");
                other.execute_batch("BEGIN IMMEDIATE").expect("the lock");
                *lock = Some(other);
            }
            Store::Postgres { server, .. } => server.faults(&[Fault::StallBefore]),
        }
    }

    fn release(&mut self) {
        match self {
            Store::Sqlite { lock, .. } => *lock = None,
            Store::Postgres { server, .. } => server.release(),
        }
    }

    /// State and result of a key's row, once there is one for which `holds`.
    fn row(&self, key: &str, holds: impl Fn(i64) -> bool) -> (i64, Option<Vec<u8>>) {
        let began = Instant::now();
        loop {
            let row = match self {
                Store::Sqlite { path, .. } => Connection::open(path).ok().and_then(|c| {
                    let get = "SELECT state, result FROM record WHERE key = ?1";
                    c.query_row(get, [key], |r| Ok((r.get(0)?, r.get(1)?))).ok()
                }),
                Store::Postgres { server, .. } => {
                    server.row("n3", key).map(|r| (i64::from(r.state), r.result))
                }
            };
            if let Some(row) = row.filter(|r: &(i64, _)| holds(r.0)) {
                return row;
            }
            assert!(began.elapsed() < PATIENCE, "no such row of {key}");
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

/// Waits until the node takes keyed requests: checks are good from then on.
fn await_good(scene: &Scene) {
    let began = Instant::now();
    while scene.gateway().check("").status != "200 OK" {
        assert!(began.elapsed() < PATIENCE, "it never came into service");
        thread::sleep(Duration::from_millis(5));
    }
}

fn book(gateway: &mut Gateway, id: u16, txn: &str) {
    gateway.request(id, "booking", txn, b"b");
}

fn status(answer: &Answer) -> (u16, &str, &[u8]) {
    (answer.id, &answer.status[..3], &answer.body)
}

#[test]
fn a_booking_is_durable_before_it_is_answered_and_a_repeat_after_a_kill_gets_the_same() {
    for store in Store::both() {
        let mut scene = store.scene();
        let mut kernel = scene.link();
        await_good(&scene);
        let mut gateway = scene.gateway();
        book(&mut gateway, 1, A);
        kernel.expect("SCHED", A);
        // The intent is there before the run begins.
        assert_eq!(store.row(KEY, |_| true), (0, None));
        kernel.reap(A, "good", b"booked");
        assert_eq!(status(&gateway.answer()), (1, "200", &b"booked"[..]));
        assert_eq!(store.row(KEY, |_| true), (1, Some(b"booked".to_vec())));
        scene.restart();
        let mut kernel = scene.link();
        await_good(&scene);
        let mut gateway = scene.gateway();
        book(&mut gateway, 1, B);
        assert_eq!(status(&gateway.answer()), (1, "200", &b"booked"[..]));
        // Hard case 6: the same key with another body is another request.
        gateway.request(2, "booking", C, b"other");
        assert_eq!(status(&gateway.answer()), (2, "409", &b""[..]));
        kernel.expect_nothing(5);
    }
}

#[test]
fn a_run_that_a_kill_left_in_doubt_fails_its_repeats_and_never_runs_again() {
    for store in Store::both() {
        let mut scene = store.scene();
        let mut kernel = scene.link();
        await_good(&scene);
        book(&mut scene.gateway(), 1, A);
        kernel.expect("SCHED", A);
        scene.restart();
        let mut kernel = scene.link();
        await_good(&scene);
        let mut gateway = scene.gateway();
        for (id, txn) in [(1, B), (2, C)] {
            book(&mut gateway, id, txn);
            assert_eq!(status(&gateway.answer()), (id, "500", &b""[..]));
        }
        kernel.expect_nothing(5);
        assert_eq!(scene.counter("record_in_doubt"), 1);
    }
}

#[test]
fn a_result_whose_write_stalls_fails_at_its_due_time_and_is_served_to_a_repeat_once_it_is_durable() {
    for mut store in Store::both() {
        let scene = store.scene();
        let mut kernel = scene.link();
        await_good(&scene);
        let mut gateway = scene.gateway();
        book(&mut gateway, 1, A);
        kernel.expect("SCHED", A);
        store.stall();
        let began = Instant::now();
        kernel.reap(A, "good", b"booked");
        assert_eq!(status(&gateway.answer()), (1, "500", &b""[..]));
        assert!(began.elapsed() < Duration::from_millis(2_050), "{:?}", began.elapsed());
        // A repeat waits for the write, and gets the result as soon as that came through.
        book(&mut gateway, 2, B);
        kernel.expect_nothing(5);
        store.release();
        assert_eq!(status(&gateway.answer()), (2, "200", &b"booked"[..]));
        book(&mut gateway, 3, C);
        assert_eq!(status(&gateway.answer()), (3, "200", &b"booked"[..]));
        kernel.expect_nothing(5);
    }
}

#[test]
fn a_result_whose_write_never_came_through_is_in_doubt_after_a_kill() {
    for mut store in Store::both() {
        let mut scene = store.scene();
        let mut kernel = scene.link();
        await_good(&scene);
        let mut gateway = scene.gateway();
        book(&mut gateway, 1, A);
        kernel.expect("SCHED", A);
        store.stall();
        kernel.reap(A, "good", b"booked");
        if let Store::Postgres { server, .. } = &mut store {
            // The transaction is lost with the server, and the node is killed before it can say it again.
            server.await_stall();
            server.stop();
        }
        assert_eq!(status(&gateway.answer()), (1, "500", &b""[..]));
        scene.restart_with(|| match &mut store {
            Store::Sqlite { lock, .. } => *lock = None,
            Store::Postgres { server, .. } => server.resume().expect("the same port"),
        });
        let mut kernel = scene.link();
        await_good(&scene);
        let mut gateway = scene.gateway();
        book(&mut gateway, 1, B);
        assert_eq!(status(&gateway.answer()), (1, "500", &b""[..]));
        kernel.expect_nothing(5);
    }
}

#[test]
fn what_cannot_be_recorded_is_refused_at_once_with_when_to_come_back_and_reads_go_on() {
    for mut store in Store::both() {
        let mut scene = store.scene();
        let mut kernel = scene.link();
        await_good(&scene);
        let mut gateway = scene.gateway();
        store.stall();
        // The first one finds out; it is refused when the store is given up, long before its due time.
        let began = Instant::now();
        book(&mut gateway, 1, A);
        let answer = gateway.answer();
        assert_eq!(status(&answer), (1, "503", &b""[..]));
        assert!(answer.field("X-Throttle-Ms").is_some(), "{answer:?}");
        assert!(began.elapsed() < Duration::from_millis(1_000), "{:?}", began.elapsed());
        // Now that it is known, further ones are told at once, and reads are served.
        let began = Instant::now();
        gateway.send(&try_records(2, "booking", B, &[("HTTP_X_TXN_KEY", "k2")], b"b"));
        assert_eq!(status(&gateway.answer()), (2, "503", &b""[..]));
        gateway.request(3, "quote", C, b"q");
        kernel.expect("SCHED", C);
        kernel.reap(C, "good", b"read");
        assert_eq!(status(&gateway.answer()), (3, "200", &b"read"[..]));
        assert!(began.elapsed() < Duration::from_millis(200), "{:?}", began.elapsed());
        assert_eq!(scene.counter("record_open"), 1);
        store.release();
        // Once it is back, the same request is a first one and runs.
        let began = Instant::now();
        while scene.counter("record_open") == 1 {
            assert!(began.elapsed() < PATIENCE, "the store never came back");
            thread::sleep(Duration::from_millis(5));
        }
        book(&mut gateway, 4, D);
        kernel.expect("SCHED", D);
        kernel.reap(D, "good", b"booked");
        assert_eq!(status(&gateway.answer()), (4, "200", &b"booked"[..]));
    }
}

/// Bookings that clients repeat until each has its result, as a burst.
struct Burst {
    kernel: AutoKernel,
    /// Key and body of each booking, and every answer that was a 200.
    served: Vec<(String, Vec<Vec<u8>>)>,
    reads: u32,
}

/// Runs a burst of bookings from several clients, with `trouble` going on meanwhile; the address at which the node
/// serves may change with it. Ends when every booking has a result or a failure that stays.
fn burst(
    scene: &mut Scene,
    clients: usize,
    each: usize,
    trouble: impl FnOnce(&mut Scene, &Mutex<String>),
) -> Burst {
    let kernel = AutoKernel::serve(&scene.kernel);
    await_good(scene);
    let address = Mutex::new(scene.address.clone());
    let over = AtomicBool::new(false);
    let mut result = Burst { kernel, served: Vec::new(), reads: 0 };
    thread::scope(|scope| {
        let clients: Vec<_> = (0..clients)
            .map(|client| {
                let address = &address;
                scope.spawn(move || client_of_burst(client, each, address))
            })
            .collect();
        let reader = scope.spawn(|| reads(&address, &over));
        trouble(scene, &address);
        for client in clients {
            result.served.extend(client.join().expect("a client"));
        }
        over.store(true, Ordering::Relaxed);
        result.reads = reader.join().expect("the reader");
    });
    result
}

fn connect(address: &Mutex<String>) -> Option<Gateway> {
    let address = address.lock().expect("no thread has panicked").clone();
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(Gateway { stream })
}

fn client_of_burst(client: usize, each: usize, address: &Mutex<String>) -> Vec<(String, Vec<Vec<u8>>)> {
    let (mut gateway, mut txn) = (None, (client as u64 + 1) << 32);
    let mut all = Vec::new();
    for n in 0..each {
        let key = format!("key-{client}-{n}");
        let (mut served, began, mut failures) = (Vec::new(), Instant::now(), 0);
        // Two results: one and its repeat. Some failures in a row are one that stays: its run is in doubt.
        while served.len() < 2 && failures < 3 {
            assert!(began.elapsed() < PATIENCE, "{key} got no answer that stays");
            gateway = gateway.or_else(|| connect(address));
            let Some(to) = gateway.as_mut() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            txn += 1;
            match to.book(&format!("{txn:016x}"), &key, &key) {
                Ok((status, body)) if status == "200" => served.push(body),
                Ok((status, _)) if status == "500" => failures += 1,
                Ok((status, _)) => {
                    assert_eq!(status, "503", "{key}");
                    thread::sleep(Duration::from_millis(5));
                }
                // The node was killed: nobody knows what became of it.
                Err(_) => gateway = None,
            }
        }
        all.push((key, served));
    }
    all
}

/// Reads all the while; each that the node has taken in must be served.
fn reads(address: &Mutex<String>, over: &AtomicBool) -> u32 {
    let (mut gateway, mut n) = (None, 0);
    while !over.load(Ordering::Relaxed) {
        gateway = gateway.or_else(|| connect(address));
        let Some(to) = gateway.as_mut() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let txn = format!("{:016x}", (0xffu64 << 32) + u64::from(n));
        match to.read(&txn) {
            Ok(status) if status == "200" => n += 1,
            // A node that has just started has no kernel yet, and says that nothing ran.
            Ok(status) => assert_eq!(status, "503"),
            Err(_) => gateway = None,
        }
        thread::sleep(Duration::from_millis(2));
    }
    n
}

impl Burst {
    /// Nothing ran twice, whatever was served is what its one run made, and it is what the store has.
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

#[test]
fn a_store_that_restarts_during_a_burst_costs_nothing_but_time() {
    for mut store in Store::both() {
        let mut scene = store.scene();
        let burst = burst(&mut scene, 4, 30, |_, _| {
            for _ in 0..3 {
                thread::sleep(Duration::from_millis(30));
                match &mut store {
                    Store::Sqlite { .. } => store.stall(),
                    Store::Postgres { server, .. } => server.stop(),
                }
                thread::sleep(Duration::from_millis(350));
                match &mut store {
                    Store::Sqlite { .. } => store.release(),
                    Store::Postgres { server, .. } => server.resume().expect("the same port"),
                }
            }
        });
        burst.check(&store);
        // Without a kill nothing is in doubt: every booking got its result, and its repeat the same.
        let twice = burst.served.iter().filter(|(_, served)| served.len() == 2).count();
        assert_eq!(twice, burst.served.len());
        assert!(burst.reads > 100, "{} reads", burst.reads);
    }
}

/// Kills the program outright `loops` times at points drawn from a seed, under load.
fn kills(loops: u32, each: usize, seed: u64) {
    for store in Store::both() {
        let mut scene = store.scene();
        let mut rng = fastrand::Rng::with_seed(seed);
        let burst = burst(&mut scene, 4, each, |scene, address| {
            for _ in 0..loops {
                thread::sleep(Duration::from_micros(rng.u64(2_000..60_000)));
                scene.restart();
                *address.lock().expect("no thread has panicked") = scene.address.clone();
            }
        });
        burst.check(&store);
        let all = burst.served.len();
        let in_doubt = burst.served.iter().filter(|(_, served)| served.is_empty()).count();
        println!("{all} bookings, {loops} kills: {in_doubt} in doubt");
        assert!(in_doubt < all / 2, "{in_doubt} of {all} in doubt");
    }
}

#[test]
fn a_program_killed_at_random_points_under_load_runs_nothing_twice_and_keeps_what_it_served() {
    kills(20, 60, 7);
}

/// The long one: `cargo test --release --test record -- --ignored`.
#[test]
#[ignore = "minutes"]
fn two_hundred_kills() {
    kills(200, 600, 11);
}
