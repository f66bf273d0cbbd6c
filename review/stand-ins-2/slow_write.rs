//! A gateway that takes 2 s to write a request on a connection that it has used before, and on which an earlier
//! request is still open.

use crate::common::*;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time for which the gateway is silent in the middle of its write.
const SILENCE_MS: u64 = 2_000;
/// Deadline of each class, the slack of the rule, and the 50 ms that each limit is longer on sockets.
const DUE_MS: u64 = 9_700 + 80 + 50;
/// Connections of the gateway, and ordinary requests sent on others.
const CONNECTIONS: usize = 6;
const ORDINARY: usize = 120;

struct Owed {
    what: String,
    connection: Connection,
    number: u16,
    request: Try,
    /// Whether the connection had ended when the last byte was written.
    excused: bool,
}

pub fn run(root: &Path, folder: &Path) -> ! {
    let record = Record::new(folder);
    let temporary = temporary_folder();
    let kernel = Kernel::new(&record);
    let configuration = Configuration::small(kernel.listen(), None, membership());
    let listen = free_port();
    let mut node = Node::start(root, &temporary, 1, &configuration.json(), listen, None);
    node.wait_ready();
    let mut workers = Vec::new();
    for index in 0..CONNECTIONS {
        let (kernel, record, address) = (kernel.clone(), record.clone(), node.address.clone());
        workers.push(std::thread::spawn(move || gateway(index, &address, &kernel, &record)));
    }
    let mut owed = ordinary(&node.address, &kernel, &record);
    for worker in workers {
        owed.extend(worker.join().unwrap_or_else(|_| cannot_run("a gateway failed")));
    }
    let mut lost = Vec::new();
    let total = owed.len();
    for request in owed {
        let due = Instant::now() + Duration::from_millis((request.request.ingress + DUE_MS).saturating_sub(unix_ms()));
        let answer = request.connection.wait(request.number, due);
        kernel.over(&request.request.id);
        let text = answer.as_ref().map_or("no answer".to_string(), |answer| answer.status.to_string());
        record.line(&format!("{} {}: {text}", request.what, request.request.id));
        if answer.is_none() && !request.excused {
            lost.push(format!("{} {} got no whole answer", request.what, request.request.id));
        }
    }
    record.line(&format!("{} of {total} requests were lost", lost.len()));
    if node.has_exited() {
        lost.push("the process ended".into());
    } else if lost.len() * 1000 <= 3 * total {
        // Up to 3 in 1,000 requests may go without a final answer.
        lost.clear();
    }
    finish(&record, &temporary, &lost)
}

/// Requests of other gateways, each written in one piece.
fn ordinary(address: &str, kernel: &Kernel, record: &Record) -> Vec<Owed> {
    let mut owed = Vec::new();
    let connection = Connection::open(address).unwrap_or_else(|| cannot_run("connecting"));
    for index in 0..ORDINARY {
        let number = index as u16 + 1;
        owed.push(send("ordinary", &connection, number, "timetable", "work=40", kernel, record, None));
        sleep_ms(50);
    }
    owed
}

/// One connection: a request that is served, a long one, one that takes 2 s to write, and one after it.
fn gateway(index: usize, address: &str, kernel: &Kernel, record: &Record) -> Vec<Owed> {
    sleep_ms(300 * index as u64);
    let connection = Connection::open(address).unwrap_or_else(|| cannot_run("connecting"));
    let first = send("first", &connection, 1, "fare-quote", "work=40", kernel, record, None);
    if !connection.wait(1, Instant::now() + Duration::from_secs(5)).is_some_and(|answer| answer.is_served()) {
        cannot_run("the first request was not served");
    }
    kernel.over(&first.request.id);
    let long = send("long", &connection, 2, "fare-quote", "work=2600", kernel, record, None);
    sleep_ms(50);
    let silence = has_trouble().then_some(SILENCE_MS);
    let slow = send("slowly written", &connection, 3, "timetable", "work=40", kernel, record, silence);
    sleep_ms(50);
    let next = send("next", &connection, 4, "timetable", "work=40", kernel, record, None);
    vec![first, long, slow, next]
}

/// Writes a request, with a silence in the middle of its parameters if there is one.
#[allow(clippy::too_many_arguments)]
fn send(
    what: &str,
    connection: &Connection,
    number: u16,
    class: &str,
    body: &str,
    kernel: &Kernel,
    record: &Record,
    silence: Option<u64>,
) -> Owed {
    let mut request = Try::new(class, None, body);
    kernel.register(&request.id, class, None, &request.body);
    let bytes = request.records(number);
    let cut = if silence.is_some() { 60 } else { bytes.len() };
    let mut written = connection.write(&bytes[..cut]);
    if let Some(ms) = silence {
        sleep_ms(ms);
        written &= connection.write(&bytes[cut..]);
    }
    let excused = !written || connection.has_ended();
    record.line(&format!("gateway: {what} {} under {number} written{}", request.id, if excused { ", excused" } else { "" }));
    Owed { what: what.into(), connection: connection.clone(), number, request, excused }
}
