//! An upgrade in which the new process stalls for some seconds while the old one serves, is told to stop, drains
//! and ends. A gateway that has stopped waiting for some requests with a key tries them again afterwards.

use crate::common::*;
use std::path::Path;
use std::time::{Duration, Instant};

/// Requests with a key that the old process gets while the new one stalls, and the time between two of them: 59 a
/// second.
const REQUESTS: usize = 75;
const INTERVAL_MS: u64 = 17;
/// The run of every fifth request takes longer than its gateway waits.
const LONG_EVERY: usize = 5;
const LONG_WORK_MS: u64 = 1_000;
const PATIENCE_MS: u64 = 600;
/// The stall ends this long after SIGTERM, before the old process ends at `stop_ms`; it takes 3.9 s in all.
const STALL_AFTER_TERM_MS: u64 = 2_550;
const WINDOW_MS: u64 = 29_220;

struct Sent {
    number: u16,
    key: String,
    request: Try,
    at: Instant,
    is_long: bool,
    is_withdrawn: bool,
}

pub fn run(root: &Path, folder: &Path) -> ! {
    let record = Record::new(folder);
    let temporary = temporary_folder();
    let kernel = Kernel::new(&record);
    kernel.set_result_bytes(4096);
    let members = membership();
    let listen = free_port();
    let config = |kernel| Configuration::small(kernel, None, members).json();
    let mut old = Node::start(root, &temporary, 1, &config(kernel.listen()), listen, None);
    old.wait_ready();
    let mut new = Node::start(root, &temporary, 2, &config(kernel.listen()), listen, None);
    new.wait_ready();
    let began = Instant::now();
    if has_trouble() {
        new.signal("-STOP");
        record.line("the new process stalls");
    }
    let connections: Vec<Connection> = (0..4)
        .map(|_| Connection::open(&old.address).unwrap_or_else(|| cannot_run("connecting")))
        .collect();
    let mut sent: Vec<Sent> = Vec::new();
    for index in 0..REQUESTS {
        let (number, key) = (index as u16 + 1, format!("{index:032x}"));
        let is_long = index % LONG_EVERY == 0;
        let work = if is_long { LONG_WORK_MS } else { 10 };
        let mut request = Try::new("booking", Some(&key), &format!("work={work} number={index}"));
        kernel.register(&request.id, "booking", Some(&key), &request.body);
        connections[index % 4].write(&request.records(number));
        sent.push(Sent { number, key, request, at: Instant::now(), is_long, is_withdrawn: false });
        withdraw(&mut sent, &connections, &kernel, &record);
        sleep_ms(INTERVAL_MS);
    }
    old.signal("-TERM");
    let terminated = Instant::now();
    record.line("SIGTERM to the old process");
    for _ in 0..PATIENCE_MS / INTERVAL_MS + 2 {
        sleep_ms(INTERVAL_MS);
        withdraw(&mut sent, &connections, &kernel, &record);
    }
    for (index, sent) in sent.iter().enumerate().filter(|(_, sent)| !sent.is_withdrawn) {
        let answer = connections[index % 4].wait(sent.number, Instant::now() + Duration::from_secs(2));
        kernel.over(&sent.request.id);
        let text = answer.map_or("none".to_string(), |answer| answer.status.to_string());
        record.line(&format!("{} key {}: {text}", sent.request.id, sent.key));
    }
    if has_trouble() {
        sleep_ms(STALL_AFTER_TERM_MS.saturating_sub(terminated.elapsed().as_millis() as u64));
        new.signal("-CONT");
        record.line(&format!("the new process goes on after {} ms", began.elapsed().as_millis()));
    }
    let exited = old.wait_exit(8_000);
    record.line(&format!("the old process has {}", if exited { "ended" } else { "not ended" }));
    new.wait_ready();
    let mut broken = Vec::new();
    let connection = Connection::open(&new.address).unwrap_or_else(|| cannot_run("connecting"));
    for sent in sent.iter().filter(|sent| sent.is_withdrawn) {
        let mut again = Try::new("booking", Some(&sent.key), &String::from_utf8_lossy(&sent.request.body));
        kernel.register(&again.id, "booking", Some(&sent.key), &again.body);
        connection.write(&again.records(sent.number));
        let answer = connection.wait(sent.number, Instant::now() + Duration::from_secs(3));
        kernel.over(&again.id);
        let text = answer.map_or("none".to_string(), |answer| answer.status.to_string());
        record.line(&format!("{} key {}, tried again: {text}", again.id, sent.key));
        let runs = kernel.runs().into_iter().filter(|run| run.key.as_deref() == Some(&sent.key)).count();
        if runs > 1 && again.ingress < sent.request.ingress + WINDOW_MS {
            broken.push(format!("key {} ran {runs} times within its window", sent.key));
        }
    }
    finish(&record, &temporary, &broken)
}

/// Sends ABORT_REQUEST for the long requests for which the gateway has waited long enough.
fn withdraw(sent: &mut [Sent], connections: &[Connection], kernel: &Kernel, record: &Record) {
    for (index, sent) in sent.iter_mut().enumerate() {
        let is_due = sent.is_long && !sent.is_withdrawn && sent.at.elapsed() >= Duration::from_millis(PATIENCE_MS);
        if is_due {
            sent.is_withdrawn = true;
            connections[index % 4].write(&fcgi(ABORT, sent.number, &[]));
            kernel.over(&sent.request.id);
            record.line(&format!("{} key {}: the gateway stops waiting", sent.request.id, sent.key));
        }
    }
}
