//! The link to the kernel: sends commands, keeps those that the kernel may not have read, and delivers each
//! notice once.
//!
//! The kernel numbers its notices. After a reconnect it repeats the notices after the last one that the node
//! read; a notice that was read before is skipped. The node keeps a command until the kernel has shown that
//! it read the command: by ending the run, by requesting the run's outbound call, or by answering a question
//! that was sent after the command. After a reconnect, the node first reads all repeated notices, and then
//! decides on each command that it still keeps by the table in `unconfirmed`.
//!
//! The link does not guarantee that a command is carried out: a command that must not be repeated may be lost
//! with the link, and its run then counts as lost. The link makes no other decision about runs.

mod protocol;
mod unconfirmed;

use super::counters::Counters;
use super::io::System;
use super::io::link::{Change, Link};
use gaugestand_admission::time::Timestamp;
use gaugestand_admission::{Gauges, RequestId};
use protocol::Command;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use unconfirmed::UnconfirmedCommands;

pub use protocol::{BadLine, CommandKind, Line, MAX_LINE_BYTES, Notice, parse_line};

/// The state of the link to a kernel, with which the successor continues the runs of that kernel. Serialised
/// in a hand-over, whose format includes the names and the order of the fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KernelSnapshot {
    /// Address at which the kernel listens.
    #[serde(rename = "to")]
    address: SocketAddr,
    #[serde(rename = "cursor")]
    last_cursor: u64,
    #[serde(rename = "unread")]
    unconfirmed: Vec<(RequestId, String)>,
    /// Indices of the unconfirmed commands that the kernel cannot have read. A process that does not know
    /// this field treats them as the others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    unsent: Vec<usize>,
    /// Requests whose runs this kernel executes and reports on.
    pub runs: Vec<RequestId>,
}

/// What is known of the present link, which decides when commands are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkPhase {
    /// The kernel has not reported that it is up.
    AwaitingBoot,
    /// The kernel is up. The answer to the question with this ticket shows that all notices that it repeats
    /// after a reconnect have been read.
    AwaitingAnswer(u64),
    /// That answer was read. Commands are sent at the end of this iteration: notices that were read together
    /// with the answer are handled before.
    ResendDue,
    /// Commands are sent at once.
    Open,
    /// Commands wait until [`Kernel::release`].
    Held,
}

/// The link to one kernel, with the commands that the kernel may not have read.
#[derive(Debug)]
pub struct Kernel<S: System> {
    link: Link<S>,
    key: usize,
    system: S,
    /// Number of times the link came up. A question that was sent under a lower number may be lost and has to
    /// be repeated.
    link_number: u64,
    /// Number of the last notice read.
    last_cursor: u64,
    unconfirmed: UnconfirmedCommands,
    /// Ticket of the last question; tickets count up from 1.
    last_ticket: u64,
    /// Names of the gauges, in the order in which the kernel sends their values.
    gauge_names: Vec<String>,
    phase: LinkPhase,
}

impl<S: System> Kernel<S> {
    /// Creates a link that is not connected yet, to the kernel at `address`, watched under the poller key
    /// `key`.
    pub fn new(address: SocketAddr, key: usize, system: &S, gauge_names: &[String]) -> Self {
        Kernel {
            link: Link::new(address, key, system).reading_to_end(),
            key,
            system: system.clone(),
            link_number: 0,
            last_cursor: 0,
            unconfirmed: UnconfirmedCommands::default(),
            last_ticket: 0,
            gauge_names: gauge_names.to_vec(),
            phase: LinkPhase::AwaitingBoot,
        }
    }

    // ---- Hand-over and reload ------------------------------------------------------------------------

    /// Returns the state of the link for a hand-over; `runs` are the requests that run on this kernel.
    pub fn snapshot(&self, runs: Vec<RequestId>) -> KernelSnapshot {
        KernelSnapshot {
            address: self.link.address(),
            last_cursor: self.last_cursor,
            unconfirmed: self.unconfirmed.texts(),
            unsent: self.unconfirmed.unsent_indices(self.link.written()),
            runs,
        }
    }

    /// Creates a link, not connected yet, to the kernel of the predecessor. The kernel's notices continue
    /// after the last one that the predecessor read. `has_effect` tells whether a run of the class with a
    /// name has an effect.
    pub fn restore(
        snapshot: &KernelSnapshot,
        key: usize,
        system: &S,
        has_effect: impl Fn(&str) -> bool,
    ) -> Self {
        let mut kernel = Kernel::new(snapshot.address, key, system, &[]);
        kernel.last_cursor = snapshot.last_cursor;
        for (index, (id, text)) in snapshot.unconfirmed.iter().enumerate() {
            let command = protocol::parse_command(text, &has_effect);
            if snapshot.unsent.contains(&index) {
                kernel.unconfirmed.push_unsent(*id, command, text.clone());
            } else {
                kernel.unconfirmed.push_in_doubt(*id, command, text.clone());
            }
        }
        kernel
    }

    /// Holds further commands until [`Kernel::release`], and asks the kernel for an answer that shows that it
    /// has read the earlier ones.
    pub fn hold(&mut self) {
        if self.is_linked() {
            self.phase = LinkPhase::Held;
            self.request_gauges();
        }
    }

    /// Ends [`Kernel::hold`]: the commands that waited are sent at the end of this iteration.
    pub fn release(&mut self) {
        if self.phase == LinkPhase::Held {
            self.phase = LinkPhase::ResendDue;
        }
    }

    /// Whether no command is on its way to the kernel, so that closing the link loses none.
    pub fn is_settled(&self) -> bool {
        !self.unconfirmed.has_sent()
    }

    /// Closes the link; the next [`Kernel::on_timer`] connects again.
    pub fn unlink(&mut self) {
        self.relink(self.link.address());
    }

    /// Replaces the address of the kernel, and returns whether it has changed. The numbers of the notices
    /// continue, and commands that may have been lost with the old link are treated as after a break.
    pub fn move_to(&mut self, address: SocketAddr) -> bool {
        if self.link.address() == address {
            return false;
        }
        self.relink(address);
        true
    }

    fn relink(&mut self, address: SocketAddr) {
        self.on_link_down();
        self.link = Link::new(address, self.key, &self.system).reading_to_end();
    }

    fn on_link_down(&mut self) {
        self.unconfirmed.on_link_down(self.link.written());
        self.phase = LinkPhase::AwaitingBoot;
    }

    // ---- State ---------------------------------------------------------------------------------------

    /// Number of the present link, or of the last one if the link is down; links count up from 1.
    pub fn link_number(&self) -> u64 {
        self.link_number
    }

    /// Whether the link is up, and the kernel has reported on it that it is up.
    pub fn is_booted(&self) -> bool {
        self.link.is_up() && self.phase != LinkPhase::AwaitingBoot
    }

    /// Whether commands are sent at once: the kernel is up, all notices that it repeats after a reconnect
    /// have been read, and commands are not held.
    pub fn is_linked(&self) -> bool {
        self.link.is_up() && self.phase == LinkPhase::Open
    }

    /// Sets the names of the gauges, in the order in which the kernel sends their values.
    pub fn set_gauges(&mut self, names: &[String]) {
        self.gauge_names = names.to_vec();
    }

    /// Selects the gauges that the engine uses from `values`, which are in the order of the kernel. A gauge
    /// that is not finite counts as unknown.
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

    /// Commands the kernel to run a request of this class. `has_effect` tells whether a second run would have
    /// an effect.
    pub fn run(&mut self, id: RequestId, class: &str, body: &[u8], has_effect: bool) {
        self.command(id, Command::Run { has_effect }, protocol::run(id, class, body));
    }

    /// Commands the kernel to stop the run of a request.
    pub fn preempt(&mut self, id: RequestId) {
        self.command(id, Command::Preempt, protocol::preempt(id));
    }

    /// Passes the reply to an outbound call to the run that made the call, so that the run continues. The
    /// command does not name the call: the run must be waiting for this one.
    pub fn complete_call(&mut self, id: RequestId, reply: &[u8]) {
        self.command(id, Command::CompleteCall, protocol::complete_call(id, reply));
    }

    /// Commands the kernel to continue a run without the outbound call that the notice with the number
    /// `cursor` requested. The command is idempotent: the kernel distinguishes the calls of one run by that
    /// number.
    pub fn skip_call(&mut self, id: RequestId, cursor: u64) {
        self.command(id, Command::SkipCall, protocol::skip_call(id, cursor));
    }

    /// Asks the kernel for the values of its gauges.
    pub fn request_gauges(&mut self) {
        self.last_ticket += 1;
        self.send(&protocol::read_gauges(self.last_ticket));
    }

    /// Asks the kernel to do the work of a deep health check; returns the ticket of the question.
    pub fn request_deep_check(&mut self) -> u64 {
        self.last_ticket += 1;
        self.send(&protocol::deep_check(self.last_ticket));
        self.last_ticket
    }

    /// Sends a command at once if [`Kernel::is_linked`], and keeps it until the kernel has shown that it read
    /// the command.
    fn command(&mut self, id: RequestId, command: Command, text: String) {
        if !self.is_linked() {
            return self.unconfirmed.push_unsent(id, command, text);
        }
        let position = send_line(&mut self.link, &text);
        self.unconfirmed.push_sent(id, command, text, position, self.last_ticket + 1);
    }

    fn send(&mut self, text: &str) {
        send_line(&mut self.link, text);
    }

    /// Requests whose runs count as lost, as it stayed unknown whether the kernel read a command that must
    /// not be repeated.
    pub fn take_lost_runs(&mut self, now: Timestamp) -> Vec<RequestId> {
        self.unconfirmed.take_lost(now)
    }

    // ---- Notices -------------------------------------------------------------------------------------

    /// Handles an event of the poller for this link; returns how the state of the link changed, if it did.
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
            self.phase = LinkPhase::AwaitingBoot;
            self.send(&protocol::open(self.last_cursor));
        }
        change
    }

    /// Returns the next new notice from the input. Skips repeated notices and lines that are no notices.
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
                // The kernel repeats notices after a reconnect; each must be applied only once.
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

    /// Drops the commands that a notice shows to have been read.
    fn confirm_commands(&mut self, notice: &Notice, counters: &mut Counters) {
        match notice {
            Notice::Booted { .. } => {
                // The kernel may not have read the commands that were sent on the previous link. It repeats
                // all notices before it answers this question, and they may show which commands it has read.
                self.request_gauges();
                self.phase = LinkPhase::AwaitingAnswer(self.last_ticket);
            }
            Notice::RunEnded(id, _) | Notice::CallRequested { id, .. } => {
                self.unconfirmed.confirm_request(*id);
            }
            Notice::Gauges(ticket, _) => self.on_answer(*ticket),
            Notice::CommandRejected(..) => counters.commands_rejected += 1,
            _ => {}
        }
    }

    /// Handles the answer to a question about the gauges.
    fn on_answer(&mut self, ticket: u64) {
        match self.phase {
            LinkPhase::AwaitingAnswer(awaited) if ticket == awaited => self.phase = LinkPhase::ResendDue,
            LinkPhase::AwaitingAnswer(_) => {}
            _ => self.unconfirmed.confirm_ticket(ticket),
        }
    }

    /// Decides on the commands that the kernel may not have read, once a reconnect is complete.
    fn resend_if_due(&mut self, now: Timestamp, counters: &mut Counters) {
        if self.phase != LinkPhase::ResendDue {
            return;
        }
        self.phase = LinkPhase::Open;
        let link = &mut self.link;
        let in_doubt = self.unconfirmed.resend(now, self.last_ticket + 1, |text| send_line(link, text));
        counters.commands_in_doubt += in_doubt;
    }

    // ---- The link ------------------------------------------------------------------------------------

    /// Connects if the link is down, and gives up an attempt to connect that takes too long.
    pub fn on_timer(&mut self, now: Timestamp) -> Option<Change> {
        self.link.on_timer(now).or_else(|| self.link.connect(now))
    }

    /// When to call [`Kernel::on_timer`] and [`Kernel::take_lost_runs`] again.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.link.next_wakeup(true).into_iter().chain(self.unconfirmed.next_expiry()).min()
    }

    /// Ends an iteration: writes queued bytes, and reports a link that has broken.
    pub fn flush(&mut self, now: Timestamp, counters: &mut Counters) -> Option<Change> {
        self.resend_if_due(now, counters);
        let change = self.link.flush(now);
        if change.is_some() {
            self.on_link_down();
        }
        change
    }
}

/// Queues a line on the link; returns the position of its first byte.
fn send_line<S: System>(link: &mut Link<S>, text: &str) -> u64 {
    let mut line = Vec::with_capacity(text.len() + 1);
    line.extend(text.as_bytes());
    line.push(b'\n');
    link.send(line)
}
