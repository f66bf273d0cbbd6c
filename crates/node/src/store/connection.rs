//! One connection to the store, with the calls that are out on it.

use super::protocol::{self, Reply};
use super::{EndedCall, IDLE_TIMEOUT, PARTIAL_REPLY_TIMEOUT, REPLY_GRACE};
use crate::counters::Counters;
use crate::io::System;
use crate::io::link::{Change, Link};
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::CallOutcome;
use gaugestand_admission::time::{Micros, Timestamp};
use std::collections::BTreeMap;
use std::mem;

#[derive(Debug)]
pub(super) struct Call {
    started_at: Timestamp,
    timeout: Micros,
    body: Vec<u8>,
    /// Where it starts in the link's stream, once it is queued there.
    stream_position: Option<u64>,
}

impl Call {
    pub(super) fn new(now: Timestamp, timeout: Micros, body: Vec<u8>) -> Self {
        Call { started_at: now, timeout, body, stream_position: None }
    }

    /// When it has run out of time without a reply.
    pub(super) fn expires_at(&self) -> Timestamp {
        self.started_at.plus(self.timeout).plus(REPLY_GRACE)
    }

    /// Whether it was handed to the link.
    pub(super) fn was_sent(&self) -> bool {
        self.stream_position.is_some()
    }

    fn ended(
        &self,
        now: Timestamp,
        id: RequestId,
        outcome: CallOutcome,
        reply: Option<Vec<u8>>,
    ) -> EndedCall {
        EndedCall { id, outcome, reply, latency: now.since(self.started_at) }
    }
}

/// One connection with the calls that are out on it.
#[derive(Debug)]
pub(super) struct StoreConnection<S: System> {
    pub(super) link: Link<S>,
    pub(super) calls: BTreeMap<RequestId, Call>,
    /// Tells it apart from earlier connections under the same key.
    pub(super) serial: u64,
    /// Last time that a call or a reply passed.
    pub(super) last_active: Timestamp,
    /// When a part of a reply has last come, of which the rest is still to come.
    pub(super) partial_since: Option<Timestamp>,
    /// Takes no more calls: its address is out of date, or a reply never came on it.
    pub(super) retired: bool,
}

impl<S: System> StoreConnection<S> {
    pub(super) fn new(now: Timestamp, link: Link<S>, serial: u64) -> Self {
        let calls = BTreeMap::new();
        StoreConnection { link, calls, serial, last_active: now, partial_since: None, retired: false }
    }

    /// When it needs attention although nothing comes.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        let call = self.calls.values().map(Call::expires_at).min();
        let partial_reply = self.partial_since.map(|since| since.plus(PARTIAL_REPLY_TIMEOUT));
        let idle = self.calls.is_empty().then(|| self.last_active.plus(IDLE_TIMEOUT));
        [call, partial_reply, idle, self.link.next_wakeup(true)].into_iter().flatten().min()
    }

    /// Queues the calls that are not on the link yet, if it is up.
    pub(super) fn send(&mut self, now: Timestamp, counters: &mut Counters) {
        if !self.link.is_up() {
            return;
        }
        self.last_active = now;
        for (id, call) in self.calls.iter_mut().filter(|(_, call)| !call.was_sent()) {
            // What the wait for the link took is off the time of the call.
            let left_ms = call.started_at.plus(call.timeout).since(now).0 / 1000;
            call.stream_position = Some(self.link.send(protocol::call(*id, left_ms.max(1), &call.body)));
            counters.calls_sent += 1;
        }
    }

    /// Takes the replies that were read, and appends the calls that they end; `has_read` if anything was read just now.
    pub(super) fn take_replies(
        &mut self,
        now: Timestamp,
        has_read: bool,
        counters: &mut Counters,
        ended: &mut Vec<EndedCall>,
    ) {
        loop {
            let (length, id, status) = match protocol::parse_reply(self.link.input()) {
                Reply::Incomplete => break,
                Reply::Invalid => {
                    counters.lines_bad += 1;
                    // What was read makes no sense, and nothing after it can be trusted.
                    self.link.sever();
                    break;
                }
                Reply::Complete(length, id, status) => (length, id, status),
            };
            self.link.consume(length);
            self.partial_since = None;
            counters.replies_read += 1;
            let Some((outcome, reply)) = status.into_outcome() else { continue };
            match self.calls.remove(&id) {
                Some(call) => ended.push(call.ended(now, id, outcome, reply)),
                None => counters.replies_unexpected += 1,
            }
            self.last_active = now;
        }
        // Counts from the last of it that came: a reply may come in pieces, and lasts no longer than its call.
        let since = self.partial_since.filter(|_| !has_read).unwrap_or(now);
        self.partial_since = Some(since).filter(|_| !self.link.input().is_empty());
    }

    /// Ends all calls as the link went down.
    pub(super) fn fail_all(&mut self, now: Timestamp, change: Change, ended: &mut Vec<EndedCall>) {
        let written = self.link.written();
        for (id, call) in mem::take(&mut self.calls) {
            let outcome = match call.stream_position {
                // A broken link proves nothing of what was sent; what was not sent never ran.
                Some(position) if change == Change::Broken && position < written => CallOutcome::Broken,
                _ => CallOutcome::Unreachable,
            };
            ended.push(call.ended(now, id, outcome, None));
        }
    }

    /// Appends the calls that have run out of time; they are still out.
    pub(super) fn collect_expired(&mut self, now: Timestamp, expired: &mut Vec<EndedCall>) {
        for (id, call) in self.calls.iter().filter(|(_, call)| now >= call.expires_at()) {
            // One whose time ran out before the connection was made was never sent: it never ran.
            let outcome = if call.was_sent() { CallOutcome::TimedOut } else { CallOutcome::Unreachable };
            expired.push(call.ended(now, *id, outcome, None));
            // Guards against a connection that has gone quiet: not even the end of the time was reported on it.
            self.retired = true;
        }
    }

    /// Whether it was made, or tried to be, for nothing that is still wanted.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        self.calls.is_empty() && (self.retired || now.since(self.last_active) >= IDLE_TIMEOUT)
    }
}
