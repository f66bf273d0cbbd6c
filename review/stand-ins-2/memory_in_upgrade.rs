//! Upgrades while bad clients send requests with ids that the kernel does not know: the memory of both processes
//! together, held against the limit.

use crate::common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 512;
/// Keyed requests: 59 a second, with results of 4 KiB, for about a window.
const INTERVAL_US: u64 = 16_900;
const ORDINARY_S: u64 = 36;
/// All keys of a window take a fifth of the memory of the settings, 70,698 kB.
const KEY_KB: f64 = 8.0;
/// Bad clients, and the requests that each sends at once.
const BAD_CLIENTS: usize = 350;
/// Upgrades, one after the other.
const UPGRADES: u32 = 4;
const AT_ONCE: u16 = 32;

pub fn run(root: &Path, folder: &Path) -> ! {
    let record = Record::new(folder);
    let temporary = temporary_folder();
    let kernel = Kernel::new(&record);
    kernel.set_quiet(true);
    kernel.set_result_bytes(4096);
    let members = membership();
    let listen = free_port();
    let config = |kernel| {
        let mut configuration = Configuration::small(kernel, None, members);
        configuration.memory_mb = MEMORY_MB;
        configuration.sockets = DESCRIPTORS;
        configuration.key_kb = KEY_KB;
        configuration.json()
    };
    let mut old = Node::start(root, &temporary, 1, &config(kernel.listen()), listen, None);
    old.wait_ready();
    let pids = Arc::new(Mutex::new(vec![old.child.id()]));
    let peak = Arc::new(AtomicU64::new(0));
    watch_memory(&pids, &peak);
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(Mutex::new(std::collections::BTreeMap::new()));
    let gateway = {
        let (kernel, address, stop, answered) = (kernel.clone(), old.address.clone(), stop.clone(), answered.clone());
        std::thread::spawn(move || ordinary(&address, &kernel, &stop, &answered))
    };
    sleep_ms(ORDINARY_S * 1_000);
    record.line(&format!("ordinary load for {ORDINARY_S} s: {:?}; peak {} KiB", lock(&answered), peak.load(Ordering::Relaxed)));
    if has_trouble() {
        for _ in 0..BAD_CLIENTS {
            let (address, stop) = (old.address.clone(), stop.clone());
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || bad_client(&address, &stop));
        }
        record.line(&format!("{BAD_CLIENTS} bad clients"));
    }
    sleep_ms(2_000);
    record.line(&format!("before the upgrade: peak {} KiB", peak.load(Ordering::Relaxed)));
    let mut current = old;
    for number in 2..2 + UPGRADES {
        let mut new = Node::start(root, &temporary, number, &config(kernel.listen()), listen, None);
        lock(&pids).push(new.child.id());
        new.wait_ready();
        sleep_ms(500);
        record.line(&format!("process {number} is ready: peak {} KiB", peak.load(Ordering::Relaxed)));
        current.signal("-TERM");
        sleep_ms(1_500);
        record.line(&format!("SIGTERM to the one before it: peak {} KiB", peak.load(Ordering::Relaxed)));
        if !current.wait_exit(6_000) {
            cannot_run("the old process did not end");
        }
        current = new;
        if peak.load(Ordering::Relaxed) > MEMORY_MB * 1024 {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    let _ = gateway.join();
    let peak = peak.load(Ordering::Relaxed);
    record.line(&format!("answers to ordinary requests: {:?}", lock(&answered)));
    record.line(&format!("peak of both processes: {peak} KiB of anonymous memory, limit {} KiB", MEMORY_MB * 1024));
    println!("peak {peak} KiB, limit {} KiB", MEMORY_MB * 1024);
    let mut broken = Vec::new();
    if peak > MEMORY_MB * 1024 {
        broken.push(format!("both processes took {peak} KiB of {} KiB", MEMORY_MB * 1024));
    }
    if current.has_exited() {
        broken.push("the new process ended".into());
    }
    finish(&record, &temporary, &broken)
}

/// Adds up the anonymous memory of the processes, again and again.
fn watch_memory(pids: &Arc<Mutex<Vec<u32>>>, peak: &Arc<AtomicU64>) {
    let (pids, peak) = (pids.clone(), peak.clone());
    std::thread::spawn(move || loop {
        let sum: u64 = lock(&pids).iter().map(|pid| anonymous_kib(*pid)).sum();
        peak.fetch_max(sum, Ordering::Relaxed);
        sleep_ms(2);
    });
}

fn anonymous_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|text| text.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

fn ordinary(
    address: &str,
    kernel: &Kernel,
    stop: &AtomicBool,
    answered: &Mutex<std::collections::BTreeMap<u16, u32>>,
) {
    let connection = Connection::open(address).unwrap_or_else(|| cannot_run("connecting"));
    let mut open: Vec<(u16, Try)> = Vec::new();
    let mut serial = 0u64;
    while !stop.load(Ordering::Relaxed) {
        serial += 1;
        let number = (serial % 60_000) as u16 + 1;
        let key = format!("{serial:032x}");
        let mut request = Try::new("booking", Some(&key), &format!("work=5 number={serial}"));
        if open.len() < usize::from(AT_ONCE) {
            kernel.register(&request.id, "booking", Some(&key), &request.body);
            connection.write(&request.records(number));
            open.push((number, request));
        }
        open.retain(|(number, request)| match connection.answers(*number).first() {
            Some(answer) => {
                *lock(answered).entry(answer.status).or_insert(0) += 1;
                kernel.over(&request.id);
                connection.reuse(*number);
                false
            }
            None => true,
        });
        std::thread::sleep(Duration::from_micros(INTERVAL_US));
    }
}

/// Sends requests with ids that the kernel does not know, as many at once as one connection can have open, reads
/// what it is sent, and sends the same again.
fn bad_client(address: &str, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep_ms(20);
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
        let mut requests = Vec::new();
        for number in 1..=AT_ONCE {
            requests.extend(Try::new("timetable", None, &"z".repeat(2_000)).records(number));
        }
        if stream.write_all(&requests).is_err() {
            continue;
        }
        let began = Instant::now();
        let mut buffer = [0; 16 * 1024];
        while began.elapsed() < Duration::from_secs(3) && !stop.load(Ordering::Relaxed) {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(_) => break,
            }
        }
    }
}
