//! Measures the idempotency store: throughput, latency, stalls, recovery and memory, and the CPU time of a
//! node without it.
//!
//! `cargo bench --bench record -- [throughput|stall|recovery|cpu|memory|calls]`; without an argument, all of
//! them run. For `cpu`, `memory` and `calls`, the environment variable GAUGESTAND_BEFORE is the path of an
//! earlier build to compare with. The results are kept in docs/design/record.md.

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

/// A backend of the idempotency store that is measured, or none (`Off`). The files of the backend are removed
/// when the value is dropped.
enum Store {
    Off,
    /// The path of the database file.
    Sqlite(PathBuf),
    /// The fake server and the path of the password file.
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

    /// All variants: no store, and a store of each backend. A commit of the PostgreSQL server takes
    /// `commit_time`.
    fn all_with_commit_time(commit_time: Duration) -> [Store; 3] {
        let password = temporary_path("pass");
        std::fs::write(&password, "pw").expect("writing the password file");
        // The database file is on the disk of the build directory: in an in-memory file system a commit would
        // take no time.
        let file = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(temporary_path("db").file_name().expect("a path with a file name"));
        let server = Postgres::start("pw").expect("starting the fake PostgreSQL server");
        server.set_commit_time(commit_time);
        [Store::Off, Store::Sqlite(file), Store::Postgres(server, password)]
    }

    /// The operators' settings for the store, or `None` if it is off. `options` follows the arguments of
    /// `record`.
    fn script(&self, options: &str) -> Option<String> {
        match self {
            Store::Off => None,
            Store::Sqlite(path) => Some(format!(
                "record(backend = \"sqlite\", path = \"{}\", sync = \"full\"{options})",
                path.display()
            )),
            Store::Postgres(server, password) => Some(format!(
                "record(backend = \"postgres\", address = \"{}\", database = \"d\", user = \"u\", \
                 password_file = \"{}\"{options})",
                server.address(),
                password.display()
            )),
        }
    }

    /// Starts a node with the store. `options` follows the arguments of `record` in the settings.
    fn scene(&self, options: &str) -> Scene {
        Scene::with_script(self.script(options).as_deref(), lift_limits)
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

/// An empty histogram of latencies in microseconds, up to a minute.
fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds")
}

/// Returns a transaction id that no earlier attempt in this bench had.
fn next_txn() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Sends keyed requests from `clients` clients, each one request at a time, for `duration`. Returns the
/// requests answered with 200 per second and their latencies.
fn measure_bookings(scene: &Scene, clients: usize, duration: Duration) -> (f64, Histogram<u64>) {
    let began = Instant::now();
    let mut all = latency_histogram();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..clients)
            .map(|_| {
                let address = scene.address.clone();
                scope.spawn(move || {
                    let mut gateway = Gateway::connect(&address);
                    let mut client_latencies = latency_histogram();
                    while began.elapsed() < duration {
                        let sent = Instant::now();
                        let txn = next_txn();
                        let (status, _) =
                            gateway.book(&txn, &format!("k{txn}"), "b").expect("an answer to the booking");
                        if status == "200" {
                            client_latencies.saturating_record(sent.elapsed().as_micros() as u64);
                        }
                    }
                    client_latencies
                })
            })
            .collect();
        for client in clients {
            all.add(client.join().expect("the client thread does not panic"))
                .expect("histograms with the same bounds");
        }
    });
    (all.len() as f64 / began.elapsed().as_secs_f64(), all)
}

/// Measures the rate and the latencies of bookings for each backend, with 1, 16 and 256 clients.
fn throughput() {
    println!("store clients  bookings/s   p50 us   p99 us");
    let [.., slow_database] = Store::all_with_commit_time(Duration::from_millis(1));
    for (index, store) in Store::all().into_iter().chain([slow_database]).enumerate() {
        if index == 3 {
            println!("postgres with a commit time of 1 ms:");
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

/// Sends requests without a key for `duration`, each 2 ms after the previous response, and returns their
/// round-trip times.
fn measure_quotes(scene: &Scene, duration: Duration) -> Histogram<u64> {
    let mut gateway = scene.gateway();
    let began = Instant::now();
    let mut all = latency_histogram();
    while began.elapsed() < duration {
        let sent = Instant::now();
        assert_eq!(gateway.quote(&next_txn()).expect("an answer to the quote"), "200");
        all.saturating_record(sent.elapsed().as_micros() as u64);
        thread::sleep(Duration::from_millis(2));
    }
    all
}

/// Measures whether requests without a key are slower while the SQLite file is locked by another connection.
fn stall() {
    let [_, store, _] = Store::all();
    let Store::Sqlite(path) = &store else { return };
    let scene = store.scene("");
    let _kernel = AutoKernel::serve(&scene.kernel);
    scene.await_healthy();
    measure_quotes(&scene, Duration::from_secs(1));
    let mut ratios = Vec::new();
    for _ in 0..5 {
        let free = measure_quotes(&scene, Duration::from_secs(2));
        let lock = Connection::open(path).expect("opening the SQLite file");
        lock.busy_timeout(Duration::from_secs(5)).expect("setting the busy timeout");
        lock.execute_batch("BEGIN IMMEDIATE").expect("locking the SQLite file");
        // The keyed request opens the circuit breaker, so that the node probes the store repeatedly from then
        // on.
        let status = scene.gateway().book(&next_txn(), "stall", "b").expect("an answer to the booking").0;
        let stalled = measure_quotes(&scene, Duration::from_secs(2));
        drop(lock);
        let p99 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99);
        println!(
            "quotes p99: store free {} us, store locked {} us; status of the booking {status}",
            p99(&free),
            p99(&stalled)
        );
        ratios.push(p99(&stalled) as f64 / p99(&free) as f64);
        await_breaker_closed();
    }
    ratios.sort_by(f64::total_cmp);
    println!("ratio of p99, median of 5: {:.3} ({:.3} to {:.3})", ratios[2], ratios[0], ratios[4]);
}

/// Sleeps for longer than the interval between two probes of the store, after which the circuit breaker has
/// closed.
fn await_breaker_closed() {
    thread::sleep(Duration::from_millis(3_100));
}

/// Measures the time from the start of a node until it is healthy, and its memory, by the number of rows in
/// the store.
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
                    let mut file = Sqlite::open(path, &Options::default()).expect("opening the store file");
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
                    let (mut client, _) = BlockingClient::take_name(server.address(), login, 0)
                        .expect("logging in to the fake server");
                    (0..rows).step_by(5_000).for_each(|from| {
                        let batch = Batch { number: from + 1, work: work(from) };
                        assert_eq!(client.execute(&batch).expect("a reply to the batch"), Outcome::Done);
                    });
                }
            }
            let began = Instant::now();
            let scene = store.scene(", entries = 2000000, memory_mb = 4096");
            let _kernel = AutoKernel::serve(&scene.kernel);
            scene.await_healthy();
            let (resident, peak) = (scene.memory_kb("VmRSS:"), scene.memory_kb("VmHWM:"));
            println!("{:8} {rows:9} {:13} {resident:13} {peak:9}", store.name(), began.elapsed().as_millis());
        }
    }
}

/// User and system CPU time of a process since its start, in ms.
fn cpu_time_ms(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("reading the process state");
    let fields: Vec<&str> =
        text.rsplit(')').next().expect("the fields after the process name").split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<u64>().expect("the CPU time is a number");
    // The fields are the user and the system time, in hundredths of a second.
    (ticks(11) + ticks(12)) * 10
}

/// CPU time per booking in microseconds, of a node without a store and with `clients` clients.
fn cpu_us_per_booking(clients: usize) -> f64 {
    let scene = Store::Off.scene("");
    let _kernel = AutoKernel::serve(&scene.kernel);
    scene.await_healthy();
    measure_bookings(&scene, clients, Duration::from_millis(500));
    let before = cpu_time_ms(scene.pid());
    let (_, histogram) = measure_bookings(&scene, clients, Duration::from_secs(3));
    (cpu_time_ms(scene.pid()) - before) as f64 * 1000.0 / histogram.len() as f64
}

/// Calls `measure` while nodes are started from the build at the path `build`. The override applies to the
/// whole process, so that no other measurement may run at the same time.
fn with_earlier_build<T>(build: &std::ffi::OsStr, measure: impl FnOnce() -> T) -> T {
    override_program(Some(build));
    let measured = measure();
    override_program(None);
    measured
}

/// Compares the CPU time per booking of an earlier build with that of this build.
fn cpu() {
    let Some(before) = std::env::var_os("GAUGESTAND_BEFORE") else {
        return println!(
            "cpu: skipped, as GAUGESTAND_BEFORE is not set; set it to the path of an earlier build"
        );
    };
    for clients in [1, 8] {
        let mut ratios: Vec<f64> = (0..5)
            .map(|_| {
                let earlier = with_earlier_build(&before, || cpu_us_per_booking(clients));
                let now = cpu_us_per_booking(clients);
                println!("CPU per booking, {clients} clients: before {earlier:.1} us, now {now:.1} us");
                now / earlier
            })
            .collect();
        ratios.sort_by(f64::total_cmp);
        println!("ratio, median of 5: {:.3} ({:.3} to {:.3})", ratios[2], ratios[0], ratios[4]);
    }
}

/// Counts the system calls per booking of the earlier build, if there is one, and of this build. The program
/// strace must be installed.
fn system_calls() {
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
        std::fs::write(&wrapper, script).expect("writing the wrapper script");
        std::process::Command::new("chmod").arg("+x").arg(&wrapper).status().expect("chmod runs");
        let bookings = with_earlier_build(wrapper.as_os_str(), || {
            let mut scene = Store::Off.scene("");
            let _kernel = AutoKernel::serve(&scene.kernel);
            scene.await_healthy();
            let (_, histogram) = measure_bookings(&scene, 1, Duration::from_secs(3));
            // SIGTERM goes to the node, the child of strace: strace writes its counts when the node has
            // exited.
            let pid = scene.pid();
            let traced = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children"))
                .expect("the children of strace");
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

/// Measures the memory of an idle node: an earlier build, each backend, and a script without a store.
fn memory() {
    let measure_idle = |store: &Store, name: &str| {
        let scene = store.scene("");
        let _kernel = AutoKernel::serve(&scene.kernel);
        scene.await_healthy();
        let (resident, peak) = (scene.memory_kb("VmRSS:"), scene.memory_kb("VmHWM:"));
        println!("{name:10} resident {resident} kB, peak {peak} kB");
    };
    if let Some(before) = std::env::var_os("GAUGESTAND_BEFORE") {
        with_earlier_build(&before, || measure_idle(&Store::Off, "before"));
    }
    for store in Store::all() {
        measure_idle(&store, store.name());
    }
    let scene = Scene::with_script(Some("log(level = \"info\")"), lift_limits);
    let (resident, peak) = (scene.memory_kb("VmRSS:"), scene.memory_kb("VmHWM:"));
    println!("script     resident {resident} kB, peak {peak} kB (operators' settings without a store)");
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
        ("calls", system_calls),
    ];
    println!("{} cores", thread::available_parallelism().map_or(0, usize::from));
    for (name, run) in all {
        if selected.is_empty() || selected.iter().any(|argument| argument == name) {
            println!("\n-- {name}");
            run();
        }
    }
}
