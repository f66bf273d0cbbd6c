//! The link to the kernel: commands that survive a reconnect, and notices that are applied once.
//!
//! Notices are numbered. After a reconnect the kernel repeats those after the last one read, and repeated ones are passed over.
//! A command is kept until the kernel has shown that it read it: by ending the run, by asking for its call, or by answering a
//! question asked after it. After a reconnect, commands that are still kept are sent again, once all repeated notices are in:
//! what these show to be done is not sent again.
//!
//! It does not guarantee that a command is carried out: the kernel may have died. It decides nothing.

mod protocol;

use super::counters::Counters;
use super::io::System;
use super::io::link::{Change, Link};
use gaugestand_admission::time::Timestamp;
use gaugestand_admission::{Gauges, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

pub use protocol::{BadLine, CommandKind, Line, MAX_LINE_BYTES, Notice, parse_line};

/// Most commands kept for a link that is down. Past this many the oldest are surely of no more use: their requests were due
/// long ago.
const MAX_UNCONFIRMED: usize = 8192;

/// A command that the kernel has perhaps not read.
#[derive(Debug)]
struct Unconfirmed {
    /// The answer to the question with this ticket, or a later one, shows that it was read.
    confirming_ticket: u64,
    id: RequestId,
    text: String,
}

/// The state of the link to a kernel, for another process to go on with the runs there. Passed on in a hand-over: names and
/// order of the fields are its bytes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KernelSnapshot {
    /// The kernel's address.
    #[serde(rename = "to")]
    address: SocketAddr,
    #[serde(rename = "cursor")]
    last_cursor: u64,
    #[serde(rename = "unread")]
    unconfirmed: Vec<(RequestId, String)>,
    /// The runs that it reports on there.
    pub runs: Vec<RequestId>,
}

/// The link to the kernel.
#[derive(Debug)]
pub struct Kernel<S: System> {
    link: Link<S>,
    key: usize,
    system: S,
    /// Links so far, so that what was asked on an earlier one can be asked again.
    link_number: u64,
    /// Number of the last notice read.
    last_cursor: u64,
    unconfirmed: VecDeque<Unconfirmed>,
    /// Of the last question.
    last_ticket: u64,
    /// Names of the gauges, in the order of the kernel.
    gauge_names: Vec<String>,
    /// After a reconnect: the question whose answer shows that all repeated notices are in.
    barrier_ticket: Option<u64>,
    /// It has reported on the present link that it is up.
    booted: bool,
}

impl<S: System> Kernel<S> {
    /// A kernel that is not linked yet.
    pub fn new(address: SocketAddr, key: usize, system: &S, gauge_names: &[String]) -> Self {
        Kernel {
            link: Link::new(address, key, system),
            key,
            system: system.clone(),
            link_number: 0,
            last_cursor: 0,
            unconfirmed: VecDeque::new(),
            last_ticket: 0,
            gauge_names: gauge_names.to_vec(),
            barrier_ticket: None,
            booted: false,
        }
    }

    // ---- Hand-over and reload ------------------------------------------------------------------------

    /// The state of the link, with these runs.
    pub fn snapshot(&self, runs: Vec<RequestId>) -> KernelSnapshot {
        let commands = self.unconfirmed.iter();
        KernelSnapshot {
            address: self.link.address(),
            last_cursor: self.last_cursor,
            unconfirmed: commands.map(|command| (command.id, command.text.clone())).collect(),
            runs,
        }
    }

    /// The kernel of another process, not linked yet: its notices go on after the last one that was read there, and
    /// commands that were perhaps not read are sent again.
    pub fn restore(snapshot: &KernelSnapshot, key: usize, system: &S) -> Self {
        let mut kernel = Kernel::new(snapshot.address, key, system, &[]);
        kernel.last_cursor = snapshot.last_cursor;
        let commands = snapshot.unconfirmed.iter().cloned();
        let unconfirmed = commands.map(|(id, text)| Unconfirmed { confirming_ticket: 1, id, text });
        kernel.unconfirmed = unconfirmed.collect();
        kernel
    }

    /// Breaks the link off; the next [`Kernel::on_timer`] makes a new one.
    pub fn unlink(&mut self) {
        self.relink(self.link.address());
    }

    /// From now on the kernel is at this address; true if that is another one. The numbers of its notices go on, and commands
    /// that the old link may have swallowed are sent again on the new one.
    pub fn move_to(&mut self, address: SocketAddr) -> bool {
        if self.link.address() == address {
            return false;
        }
        self.relink(address);
        true
    }

    fn relink(&mut self, address: SocketAddr) {
        self.link = Link::new(address, self.key, &self.system);
        self.on_link_lost();
    }

    fn on_link_lost(&mut self) {
        self.barrier_ticket = None;
        self.booted = false;
    }

    // ---- State ---------------------------------------------------------------------------------------

    /// The number of the present link, or of the last one.
    pub fn link_number(&self) -> u64 {
        self.link_number
    }

    /// Whether it has reported on the present link that it is up.
    pub fn is_booted(&self) -> bool {
        self.link.is_up() && self.booted
    }

    /// Whether commands are sent at once.
    pub fn is_linked(&self) -> bool {
        self.is_booted() && self.barrier_ticket.is_none()
    }

    /// From now on it names its gauges so.
    pub fn set_gauges(&mut self, names: &[String]) {
        self.gauge_names = names.to_vec();
    }

    /// The gauges that the engine knows, from values in the order of the kernel. One that is not finite counts as unknown.
    pub fn gauges(&self, values: &[f64]) -> Gauges {
        let value_of = |name: &str| {
            let index = self.gauge_names.iter().position(|gauge| gauge == name)?;
            values.get(index).copied().filter(|value| value.is_finite())
        };
        Gauges {
            cpu_busy: value_of("cpu_busy"),
            runnable: value_of("runnable"),
            mem_used: value_of("mem_used"),
            sockets: value_of("sockets"),
        }
    }

    // ---- Commands ------------------------------------------------------------------------------------

    /// Runs a request.
    pub fn run(&mut self, id: RequestId, class: &str, body: &[u8]) {
        self.command(id, protocol::run(id, class, body));
    }

    /// Stops a run.
    pub fn preempt(&mut self, id: RequestId) {
        self.command(id, protocol::preempt(id));
    }

    /// Hands a run the reply to its call.
    pub fn complete_call(&mut self, id: RequestId, reply: &[u8]) {
        self.command(id, protocol::complete_call(id, reply));
    }

    /// Has a run go on without the call that the notice of this number asked for. Sent twice it does no more than once: the
    /// kernel distinguishes the calls of one run by that number.
    pub fn skip_call(&mut self, id: RequestId, cursor: u64) {
        self.command(id, protocol::skip_call(id, cursor));
    }

    /// Asks for the gauges.
    pub fn request_gauges(&mut self) {
        self.last_ticket += 1;
        self.send(&protocol::read_gauges(self.last_ticket));
    }

    /// Asks for the work of a deep check; returns its ticket.
    pub fn request_deep_check(&mut self) -> u64 {
        self.last_ticket += 1;
        self.send(&protocol::deep_check(self.last_ticket));
        self.last_ticket
    }

    /// Sends a command now if that can be, and keeps it until it is known to be read.
    fn command(&mut self, id: RequestId, text: String) {
        if self.is_linked() {
            self.send(&text);
        }
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back(Unconfirmed { confirming_ticket: self.last_ticket + 1, id, text });
    }

    fn send(&mut self, text: &str) {
        let mut line = Vec::with_capacity(text.len() + 1);
        line.extend(text.as_bytes());
        line.push(b'\n');
        self.link.send(line);
    }

    // ---- Notices -------------------------------------------------------------------------------------

    /// The poller has something for this link.
    pub fn ready(
        &mut self,
        now: Timestamp,
        readable: bool,
        writable: bool,
        counters: &mut Counters,
    ) -> Option<Change> {
        let change = self.link.ready(now, readable, writable);
        if change == Some(Change::Up) {
            counters.kernel_links += 1;
            self.link_number += 1;
            self.on_link_lost();
            self.send(&protocol::open(self.last_cursor));
        }
        change
    }

    /// The next notice that was read and is new; repeated ones are passed over.
    pub fn next(&mut self, counters: &mut Counters) -> Option<Notice> {
        loop {
            let (length, cursor, notice) = match parse_line(self.link.input()) {
                Line::Incomplete => return None,
                Line::TooLong => {
                    counters.lines_bad += 1;
                    self.link.sever();
                    return None;
                }
                Line::Complete(length, cursor, notice) => (length, cursor, notice),
            };
            self.link.consume(length);
            counters.notices_read += 1;
            if let Some(cursor) = cursor {
                // Guards against applying a notice twice that comes again after a reconnect.
                if cursor <= self.last_cursor {
                    counters.notices_repeated += 1;
                    continue;
                }
                self.last_cursor = cursor;
            }
            let Ok(notice) = notice else {
                counters.lines_bad += 1;
                continue;
            };
            self.confirm_commands(&notice, counters);
            return Some(notice);
        }
    }

    /// Learns from a notice which commands were read.
    fn confirm_commands(&mut self, notice: &Notice, counters: &mut Counters) {
        match notice {
            Notice::Booted { .. } => {
                self.booted = true;
                // What was sent on the link before may be unread. All notices come again before the answer to this, and what
                // they show to be done is not sent again.
                self.request_gauges();
                self.barrier_ticket = Some(self.last_ticket);
            }
            Notice::RunEnded(id, _) | Notice::CallRequested { id, .. } => {
                self.unconfirmed.retain(|command| command.id != *id);
            }
            Notice::Gauges(ticket, _) if self.barrier_ticket == Some(*ticket) => {
                self.barrier_ticket = None;
                self.resend_unconfirmed();
            }
            Notice::Gauges(ticket, _) if self.barrier_ticket.is_none() => {
                while self.unconfirmed.front().is_some_and(|command| command.confirming_ticket <= *ticket) {
                    self.unconfirmed.pop_front();
                }
            }
            Notice::CommandRejected(..) => counters.commands_rejected += 1,
            _ => {}
        }
    }

    fn resend_unconfirmed(&mut self) {
        let texts: Vec<String> = self.unconfirmed.iter().map(|command| command.text.clone()).collect();
        for text in texts {
            self.send(&text);
        }
        for command in &mut self.unconfirmed {
            command.confirming_ticket = self.last_ticket + 1;
        }
    }

    // ---- The link ------------------------------------------------------------------------------------

    /// Keeps the link up.
    pub fn on_timer(&mut self, now: Timestamp) -> Option<Change> {
        self.link.on_timer(now).or_else(|| self.link.connect(now))
    }

    /// When to call [`Kernel::on_timer`] again.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.link.next_wakeup(true)
    }

    /// Writes what can be written.
    pub fn flush(&mut self, now: Timestamp) -> Option<Change> {
        let change = self.link.flush(now);
        if change.is_some() {
            self.on_link_lost();
        }
        change
    }
}
