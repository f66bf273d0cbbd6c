//! What the idempotency store costs: throughput, latency, stalls, recovery, memory, and CPU where it is off.
//!
//! `cargo bench --bench record -- [throughput|stall|recovery|cpu|memory|calls]`. For `cpu` and `memory`,
//! GAUGESTAND_BEFORE names an earlier build to compare with. Figures go into docs/design/record.md.

#[path = "../tests/support/mod.rs"]
mod support;

use gaugestand_admission::time::UnixTime;
use gaugestand_fakes::kernel::AutoKernel;
use gaugestand_fakes::postgres::Postgres;
use gaugestand_idempotency::blocking_client::BlockingClient;
use gaugestand_idempotency::postgres::Login;
use gaugestand_idempotency::row::{Batch, Outcome, Row, RowState, Work, Write};
use gaugestand_idempotency::sqlite::{Options, Sqlite};
use hdrhistogram::Histogram;
use rusqlite::Connection;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The backends that are measured, and none.
enum Store {
    Off,
    Sqlite(PathBuf),
    Postgres(Postgres, PathBuf),
}

impl Store {
    fn name(&self) -> &'static str {
        match self {
            Store::Off => "off",
            Store::Sqlite(_) => "sqlite",
            Store::Postgres(..) => "postgres",
        }
    }

    fn all() -> [Store; 3] {
        Store::all_with_commit_time(Duration::ZERO)
    }

    /// All of them; a commit of the database takes this long.
    fn all_with_commit_time(time: Duration) -> [Store; 3] {
        let password = temporary_path("pass");
        std::fs::write(&password, "pw").expect("written");
        // On the disk of the build: in a file system in memory a commit would cost nothing.
        let file =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(temporary_path("db").file_name().expect("a name"));
        let server = Postgres::start("pw").expect("listens");
        server.set_commit_time(time);
        [Store::Off, Store::Sqlite(file), Store::Postgres(server, password)]
    }

    fn script(&self, more: &str) -> Option<String> {
        match self {
            Store::Off => None,
            Store::Sqlite(path) => Some(format!(
                "record(backend = \"sqlite\", path = \"{}\", sync = \"full\"{more})",
                path.display()
            )),
            Store::Postgres(server, password) => Some(format!(
                "record(backend = \"postgres\", address = \"{}\", database = \"d\", user = \"u\", \
                 password_file = \"{}\"{more})",
                server.address(),
                password.display()
            )),
        }
    }

    fn scene(&self, more: &str) -> Scene {
        Scene::with_script(self.script(more).as_deref(), lift_limits)
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        match self {
            Store::Off => {}
            Store::Sqlite(path) => ["", "-wal", "-shm", ".lock"]
                .iter()
                .for_each(|end| drop(std::fs::remove_file(format!("{}{end}", path.display())))),
            Store::Postgres(_, password) => drop(std::fs::remove_file(password)),
        }
    }
}

/// Latencies in microseconds, up to a minute.
fn latencies() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("sound bounds")
}

/// A transaction id that no earlier request of this bench had.
fn next_txn() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Keyed requests from so many clients, one at a time each, for this long: their rate a second and their latencies.
fn measure_bookings(scene: &Scene, clients: usize, time: Duration) -> (f64, Histogram<u64>) {
    let began = Instant::now();
    let mut all = latencies();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..clients)
            .map(|_| {
                let address = scene.address.clone();
                scope.spawn(move || {
                    let mut gateway = Gateway::connect(&address);
                    let mut own = latencies();
                    while began.elapsed() < time {
                        let sent = Instant::now();
                        let txn = next_txn();
                        let (status, _) = gateway.book(&txn, &format!("k{txn}"), "b").expect("an answer");
                        if status == "200" {
                            own.saturating_record(sent.elapsed().as_micros() as u64);
                        }
                    }
                    own
                })
            })
            .collect();
        for client in clients {
            all.add(client.join().expect("a client")).expect("alike");
        }
    });
    (all.len() as f64 / began.elapsed().as_secs_f64(), all)
}

fn throughput() {
    println!("store     out  bookings/s   p50 us   p99 us");
    let [.., slow_database] = Store::all_with_commit_time(Duration::from_millis(1));
    for (index, store) in Store::all().into_iter().chain([slow_database]).enumerate() {
        if index == 3 {
            println!("the same with a commit that takes the server 1 ms:");
        }
        for clients in [1, 16, 256] {
            let scene = store.scene(", entries = 2000000, memory_mb = 2048");
            let _kernel = AutoKernel::serve(&scene.kernel);
            scene.await_healthy();
            let mut runs: Vec<(f64, u64, u64)> = (0..3)
                .map(|_| {
                    let (rate, histogram) = measure_bookings(&scene, clients, Duration::from_secs(2));
                    (rate, histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99))
                })
                .collect();
            runs.sort_by(|left, right| left.0.total_cmp(&right.0));
            let (rate, p50, p99) = runs[1];
            println!(
                "{:8} {clients:4} {rate:11.0} {p50:8} {p99:8}   (rates {:.0} to {:.0})",
                store.name(),
                runs[0].0,
                runs[2].0
            );
        }
    }
}

/// Round trips of requests without a key at a steady rate for this long.
fn measure_reads(scene: &Scene, time: Duration) -> Histogram<u64> {
    let mut gateway = scene.gateway();
    let began = Instant::now();
    let mut all = latencies();
    while began.elapsed() < time {
        let sent = Instant::now();
        assert_eq!(gateway.quote(&next_txn()).expect("an answer"), "200");
        all.saturating_record(sent.elapsed().as_micros() as u64);
        thread::sleep(Duration::from_millis(2));
    }
    all
}

fn stall() {
    let [_, store, _] = Store::all();
    let Store::Sqlite(path) = &store else { return };
    let scene = store.scene("");
    let _kernel = AutoKernel::serve(&scene.kernel);
    scene.await_healthy();
    measure_reads(&scene, Duration::from_secs(1));
    let mut ratios = Vec::new();
    for _ in 0..5 {
        let free = measure_reads(&scene, Duration::from_secs(2));
        let lock = Connection::open(path).expect("a connection");
        lock.busy_timeout(Duration::from_secs(5)).expect("set");
        lock.execute_batch("BEGIN IMMEDIATE").expect("the lock");
        // A keyed request opens the circuit breaker, so that the store is probed all the time.
        let status = scene.gateway().book(&next_txn(), "stall", "b").expect("an answer").0;
        let stalled = measure_reads(&scene, Duration::from_secs(2));
        drop(lock);
        let p99 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99);
        println!("reads p99: free {} us, store held {} us; booking {status}", p99(&free), p99(&stalled));
        ratios.push(p99(&stalled) as f64 / p99(&free) as f64);
        await_breaker_closed();
    }
    ratios.sort_by(f64::total_cmp);
    println!("ratio of p99, median of 5: {:.3} ({:.3} to {:.3})", ratios[2], ratios[0], ratios[4]);
}

/// Waits for longer than the time between two probes of the store.
fn await_breaker_closed() {
    thread::sleep(Duration::from_millis(3_100));
}

/// Resident memory of the program, and its peak, in kB.
fn memory_of(pid: u32) -> (u64, u64) {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let get = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name)).expect("a line");
        line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).expect("a number")
    };
    (get("VmRSS:"), get("VmHWM:"))
}

fn recovery() {
    println!("store        rows   recovery ms   resident kB   peak kB");
    for rows in [0u64, 10_000, 100_000, 1_000_000] {
        for store in Store::all() {
            let row = |index: u64| {
                let now = unix_ms() * 1000;
                let result = RowState::Completed(vec![7; 100]);
                let key = format!("{index:032x}");
                Write::Put(Row {
                    key,
                    holder: index.into(),
                    fingerprint: 1,
                    ingress: UnixTime(now),
                    expires: UnixTime(now + 29_220_000),
                    sequence: index + 1,
                    state: result,
                })
            };
            let work = |from: u64| Work::Commit((from..rows.min(from + 5_000)).map(row).collect());
            match &store {
                Store::Off => continue,
                Store::Sqlite(path) => {
                    let mut file = Sqlite::open(path, &Options::default()).expect("a store");
                    (0..rows)
                        .step_by(5_000)
                        .for_each(|from| assert_eq!(file.execute(&work(from)), Outcome::Done));
                }
                Store::Postgres(server, _) => {
                    let login = Login {
                        user: "u".into(),
                        password: b"pw".into(),
                        database: "d".into(),
                        node: "n3".into(),
                    };
                    let (mut client, _) =
                        BlockingClient::take_name(server.address(), login, 0).expect("a login");
                    (0..rows).step_by(5_000).for_each(|from| {
                        let batch = Batch { number: from + 1, work: work(from) };
                        assert_eq!(client.execute(&batch).expect("sound"), Outcome::Done);
                    });
                }
            }
            let began = Instant::now();
            let scene = store.scene(", entries = 2000000, memory_mb = 4096");
            let _kernel = AutoKernel::serve(&scene.kernel);
            scene.await_healthy();
            let (resident, peak) = memory_of(scene.pid());
            println!("{:8} {rows:9} {:13} {resident:13} {peak:9}", store.name(), began.elapsed().as_millis());
        }
    }
}

/// CPU time of a process, in ms.
fn cpu_of(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let fields: Vec<&str> = text.rsplit(')').next().expect("fields").split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<u64>().expect("a number");
    // User and system time, in hundredths of a second.
    (ticks(11) + ticks(12)) * 10
}

/// CPU for a request without a store, in microseconds, with so many clients.
fn cpu_per_booking(clients: usize) -> f64 {
    let scene = Store::Off.scene("");
    let _kernel = AutoKernel::serve(&scene.kernel);
    scene.await_healthy();
    measure_bookings(&scene, clients, Duration::from_millis(500));
    let before = cpu_of(scene.pid());
    let (_, histogram) = measure_bookings(&scene, clients, Duration::from_secs(3));
    (cpu_of(scene.pid()) - before) as f64 * 1000.0 / histogram.len() as f64
}

/// Measures with an earlier build instead of this one. Nothing else in this bench may run meanwhile.
fn with_earlier_build<T>(build: &std::ffi::OsStr, measure: impl FnOnce() -> T) -> T {
    override_program(Some(build));
    let measured = measure();
    override_program(None);
    measured
}

fn cpu() {
    let Some(before) = std::env::var_os("GAUGESTAND_BEFORE") else {
        return println!("cpu: GAUGESTAND_BEFORE names no earlier build");
    };
    for clients in [1, 8] {
        let mut ratios: Vec<f64> = (0..5)
            .map(|_| {
                let earlier = with_earlier_build(&before, || cpu_per_booking(clients));
                let now = cpu_per_booking(clients);
                println!("CPU for a booking, {clients} out: before {earlier:.1} us, now {now:.1} us");
                now / earlier
            })
            .collect();
        ratios.sort_by(f64::total_cmp);
        println!("ratio, median of 5: {:.3} ({:.3} to {:.3})", ratios[2], ratios[0], ratios[4]);
    }
}

/// System calls of a build for a booking, counted by strace where it is installed.
fn calls() {
    let builds =
        std::env::var_os("GAUGESTAND_BEFORE").into_iter().chain([env!("CARGO_BIN_EXE_gaugestand").into()]);
    for build in builds {
        let wrapper = temporary_path("sh");
        let counts = temporary_path("calls");
        let script = format!(
            "#!/bin/sh\nexec strace -f -c -o {} {} \"$@\"\n",
            counts.display(),
            std::path::Path::new(&build).display()
        );
        std::fs::write(&wrapper, script).expect("written");
        std::process::Command::new("chmod").arg("+x").arg(&wrapper).status().expect("chmod runs");
        let bookings = with_earlier_build(wrapper.as_os_str(), || {
            let mut scene = Store::Off.scene("");
            let _kernel = AutoKernel::serve(&scene.kernel);
            scene.await_healthy();
            let (_, histogram) = measure_bookings(&scene, 1, Duration::from_secs(3));
            // The node ends by itself, so that strace writes what it has counted.
            let pid = scene.pid();
            let traced =
                std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).expect("a process");
            std::process::Command::new("kill").args(["-TERM", traced.trim()]).status().expect("kill runs");
            scene.exits_successfully();
            histogram.len()
        });
        println!("{} bookings, one at a time, by {}:", bookings, std::path::Path::new(&build).display());
        for line in std::fs::read_to_string(&counts).unwrap_or_default().lines() {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let count = fields.get(3).and_then(|count| count.parse::<f64>().ok());
            let count = count.filter(|count| *count >= bookings as f64 / 10.0);
            if let (Some(count), Some(name)) = (count, fields.last()) {
                println!("  {:6.2} {name}", count / bookings as f64);
            }
        }
        let _ = (std::fs::remove_file(wrapper), std::fs::remove_file(counts));
    }
}

fn memory() {
    let idle = |store: &Store, name: &str| {
        let scene = store.scene("");
        let _kernel = AutoKernel::serve(&scene.kernel);
        scene.await_healthy();
        let (resident, peak) = memory_of(scene.pid());
        println!("{name:10} resident {resident} kB, peak {peak} kB");
    };
    if let Some(before) = std::env::var_os("GAUGESTAND_BEFORE") {
        with_earlier_build(&before, || idle(&Store::Off, "before"));
    }
    for store in Store::all() {
        idle(&store, store.name());
    }
    let scene = Scene::with_script(Some("log(level = \"info\")"), lift_limits);
    let (resident, peak) = memory_of(scene.pid());
    println!("script     resident {resident} kB, peak {peak} kB (settings alone, no store)");
}

fn main() {
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with("--")).collect();
    let all: [(&str, fn()); 6] = [
        ("throughput", throughput),
        ("stall", stall),
        ("recovery", recovery),
        ("cpu", cpu),
        ("memory", memory),
        ("calls", calls),
    ];
    println!("{} cores", thread::available_parallelism().map_or(0, usize::from));
    for (name, run) in all {
        if selected.is_empty() || selected.iter().any(|argument| argument == name) {
            println!("\n-- {name}");
            run();
        }
    }
}
