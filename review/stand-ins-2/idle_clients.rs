//! Clients that open connections by the hundred, send nothing, and connect again the moment they are turned away.

use crate::common::*;
use std::io::Read;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const DESCRIPTORS: u64 = 512;
const IDLE_CLIENTS: usize = 800;
/// Gateways, each with one connection; times between their requests, and how many they have open at most.
const CONNECTIONS: usize = 4;
const INTERVAL_MS: u64 = 25;
const MOST_OPEN: usize = 30;
/// Lengths of the time before the clients come and of the time with them.
const BEFORE_S: u64 = 2;
const WITH_S: u64 = 25;
/// Deadline of the class, the slack of the rule, and the 50 ms that each limit is longer on sockets.
const DUE_MS: u64 = 9_700 + 80 + 50;
/// A request that crosses the close of a resting connection within this time is sent again.
const CROSSING_MS: u128 = 50;

#[derive(Default)]
struct Tally {
    answered: u64,
    lost: Vec<String>,
    longest_ms: u128,
}

pub fn run(root: &Path, folder: &Path) -> ! {
    let record = Record::new(folder);
    let temporary = temporary_folder();
    let kernel = Kernel::new(&record);
    let mut configuration = Configuration::small(kernel.listen(), None, membership());
    configuration.sockets = DESCRIPTORS;
    let stop_ms = configuration.stop_ms;
    let mut node = Node::start(root, &temporary, 1, &configuration.json(), free_port(), None);
    node.wait_ready();
    let tally = Arc::new(Mutex::new(Tally::default()));
    let gateways_stop = Arc::new(AtomicBool::new(false));
    let gateways: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let (kernel, record, address) = (kernel.clone(), record.clone(), node.address.clone());
            let (stop, tally) = (gateways_stop.clone(), tally.clone());
            std::thread::spawn(move || gateway(&address, &kernel, &record, &stop, &tally))
        })
        .collect();
    sleep_ms(BEFORE_S * 1_000);
    let clients_stop = Arc::new(AtomicBool::new(false));
    let connected = Arc::new(AtomicU64::new(0));
    if has_trouble() {
        for _ in 0..IDLE_CLIENTS {
            let (address, stop, connected) = (node.address.clone(), clients_stop.clone(), connected.clone());
            let client = move || idle_client(&address, &stop, &connected);
            let _ = std::thread::Builder::new().stack_size(64 * 1024).spawn(client);
        }
        record.line(&format!("{IDLE_CLIENTS} clients connect and send nothing"));
    }
    let began = Instant::now();
    let (mut calls, mut failed) = (0, 0);
    while began.elapsed() < Duration::from_secs(WITH_S) {
        calls += 1;
        failed += u32::from(!node.call("PING").is_some_and(|answer| answer.starts_with("done")));
        sleep_ms(200);
    }
    record.line(&format!("second address: {failed} of {calls} calls not answered 'done' within 1 s"));
    record.line(&format!("the clients connected {} times", connected.load(Ordering::Relaxed)));
    node.signal("-TERM");
    record.line("SIGTERM");
    let terminated = Instant::now();
    // Gateways learn of the drain two seconds late.
    let learned = node.wait_exit(2_000);
    gateways_stop.store(true, Ordering::Relaxed);
    let left = stop_ms.saturating_sub(terminated.elapsed().as_millis() as u64);
    let exited = learned || node.wait_exit(left);
    record.line(&format!("the process has {} `stop_ms` later", if exited { "ended" } else { "not ended" }));
    if !exited {
        node.signal("-KILL");
    }
    for gateway in gateways {
        let _ = gateway.join();
    }
    clients_stop.store(true, Ordering::Relaxed);
    let tally = lock(&tally);
    let total = tally.answered + tally.lost.len() as u64;
    let summary = format!(
        "{} of {total} requests were lost; the longest answer took {} ms; {failed} of {calls} calls at the second address failed; ended in time: {exited}",
        tally.lost.len(),
        tally.longest_ms
    );
    record.line(&summary);
    println!("{summary}");
    // Up to 3 in 1,000 requests may go without a final answer.
    let mut broken = if tally.lost.len() as u64 * 1000 > 3 * total { tally.lost.clone() } else { Vec::new() };
    broken.truncate(40);
    finish(&record, &temporary, &broken)
}

struct Open {
    number: u16,
    request: Try,
    sent: Instant,
    /// Whether an earlier request of the connection was answered when this one was sent.
    is_kept: bool,
}

/// Sends a request every 25 ms on a connection that it keeps, with at most 30 open.
fn gateway(address: &str, kernel: &Kernel, record: &Record, stop: &AtomicBool, tally: &Mutex<Tally>) {
    let mut kept: Option<Connection> = None;
    let (mut number, mut answers) = (0u16, 0u32);
    let mut open: Vec<Open> = Vec::new();
    while !stop.load(Ordering::Relaxed) || !open.is_empty() {
        sleep_ms(INTERVAL_MS);
        if let Some(connection) = &kept {
            open.retain(|request| !is_over(request, connection, kernel, record, tally, &mut answers));
            if connection.has_ended() {
                kept = None;
                continue;
            }
        }
        if stop.load(Ordering::Relaxed) || open.len() >= MOST_OPEN {
            continue;
        }
        if kept.is_none() {
            kept = Connection::open(address);
            (number, answers) = (0, 0);
        }
        let Some(connection) = &kept else { continue };
        number += 1;
        let mut request = Try::new("fare-quote", None, "work=20");
        kernel.register(&request.id, "fare-quote", None, &request.body);
        if connection.write(&request.records(number)) {
            open.push(Open { number, request, sent: Instant::now(), is_kept: answers > 0 });
        }
    }
}

/// Whether a request was answered, or is lost, or needs no answer; counts it if so.
fn is_over(
    open: &Open,
    connection: &Connection,
    kernel: &Kernel,
    record: &Record,
    tally: &Mutex<Tally>,
    answers: &mut u32,
) -> bool {
    let answer = connection.answers(open.number).into_iter().next();
    let age = open.sent.elapsed().as_millis();
    let is_late = age > u128::from(DUE_MS);
    let has_ended = connection.has_ended();
    if answer.is_none() && !has_ended && !is_late {
        return false;
    }
    kernel.over(&open.request.id);
    let mut tally = lock(tally);
    if let Some(answer) = answer {
        *answers += 1;
        let took = answer.at.saturating_duration_since(open.sent).as_millis();
        tally.answered += 1;
        tally.longest_ms = tally.longest_ms.max(took);
        return true;
    }
    // A request that crosses the close of a resting connection is sent again; one on a new connection that is closed
    // with nothing run has failed. Neither is lost.
    let is_excused = has_ended && (age <= CROSSING_MS || !open.is_kept);
    if !is_excused {
        let what = if has_ended { "the connection ended" } else { "no answer" };
        let text = format!("{}: {what} after {age} ms", open.request.id);
        record.line(&text);
        tally.lost.push(text);
    }
    true
}

/// Connects, sends nothing, and connects again as soon as the other side ends the connection.
fn idle_client(address: &str, stop: &AtomicBool, connected: &AtomicU64) {
    let mut buffer = [0; 64];
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep_ms(20);
            continue;
        };
        connected.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => break,
                _ if stop.load(Ordering::Relaxed) => return,
                _ => {}
            }
        }
    }
}
