//! One connection to the store, with its outstanding calls.

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

/// An outstanding outbound call.
#[derive(Debug)]
pub(super) struct Call {
    started_at: Timestamp,
    timeout: Micros,
    body: Vec<u8>,
    /// Position of the call's first byte in the bytes sent on the link; `None` until the call is queued
    /// there.
    stream_position: Option<u64>,
}

impl Call {
    pub(super) fn new(now: Timestamp, timeout: Micros, body: Vec<u8>) -> Self {
        Call { started_at: now, timeout, body, stream_position: None }
    }

    /// When the call ends if there is no reply: its timeout and [`REPLY_GRACE`] have passed.
    pub(super) fn expires_at(&self) -> Timestamp {
        self.started_at.plus(self.timeout).plus(REPLY_GRACE)
    }

    /// Whether the call was queued on the link.
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

/// One connection to the store, with its outstanding calls by request.
#[derive(Debug)]
pub(super) struct StoreConnection<S: System> {
    pub(super) link: Link<S>,
    pub(super) calls: BTreeMap<RequestId, Call>,
    /// Serial number, which distinguishes the connection from earlier ones with the same poller key.
    pub(super) serial: u64,
    /// When a call was last sent or a reply was last read.
    pub(super) last_active: Timestamp,
    /// When bytes of a partly read reply last arrived; `None` if no reply is partly read.
    pub(super) partial_since: Option<Timestamp>,
    /// Whether the connection takes no more calls: its address is outdated, or a call on it got no reply.
    pub(super) retired: bool,
}

impl<S: System> StoreConnection<S> {
    pub(super) fn new(now: Timestamp, link: Link<S>, serial: u64) -> Self {
        let calls = BTreeMap::new();
        StoreConnection { link, calls, serial, last_active: now, partial_since: None, retired: false }
    }

    /// When the earliest timeout of the connection, its calls or its link expires.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        let call = self.calls.values().map(Call::expires_at).min();
        let partial_reply = self.partial_since.map(|since| since.plus(PARTIAL_REPLY_TIMEOUT));
        let idle = self.calls.is_empty().then(|| self.last_active.plus(IDLE_TIMEOUT));
        [call, partial_reply, idle, self.link.next_wakeup(true)].into_iter().flatten().min()
    }

    /// Queues on the link the calls that are not queued yet, if the link is up.
    pub(super) fn send(&mut self, now: Timestamp, counters: &mut Counters) {
        if !self.link.is_up() {
            return;
        }
        self.last_active = now;
        for (id, call) in self.calls.iter_mut().filter(|(_, call)| !call.was_sent()) {
            // The time that the call waited for the link counts towards its timeout.
            let left_ms = call.started_at.plus(call.timeout).since(now).0 / 1000;
            call.stream_position = Some(self.link.send(protocol::call(*id, left_ms.max(1), &call.body)));
            counters.calls_sent += 1;
        }
    }

    /// Parses the replies in the input, and appends the calls that they end to `ended`. `has_read` tells
    /// whether the socket was read just before.
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
                    // The framing is lost: nothing that follows on this connection can be interpreted.
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
        // The timeout of a partial reply counts from its latest piece: a reply may arrive in many pieces, and
        // its total time is bounded by the timeout of the call.
        let since = self.partial_since.filter(|_| !has_read).unwrap_or(now);
        self.partial_since = Some(since).filter(|_| !self.link.input().is_empty());
    }

    /// Ends all calls after the link went down, and appends them to `ended`.
    pub(super) fn fail_all(&mut self, now: Timestamp, change: Change, ended: &mut Vec<EndedCall>) {
        let written = self.link.written();
        for (id, call) in mem::take(&mut self.calls) {
            let outcome = match call.stream_position {
                // If the link broke, a call that was sent may have run; a call that was not sent never ran.
                Some(position) if change == Change::Broken && position < written => CallOutcome::Broken,
                _ => CallOutcome::Unreachable,
            };
            ended.push(call.ended(now, id, outcome, None));
        }
    }

    /// Appends the calls that have timed out to `expired`. They stay outstanding until the caller drops them.
    pub(super) fn collect_expired(&mut self, now: Timestamp, expired: &mut Vec<EndedCall>) {
        for (id, call) in self.calls.iter().filter(|(_, call)| now >= call.expires_at()) {
            // A call that timed out before the connection was made was never sent, so it never ran.
            let outcome = if call.was_sent() { CallOutcome::TimedOut } else { CallOutcome::Unreachable };
            expired.push(call.ended(now, *id, outcome, None));
            // The store did not even report the timeout: the connection may be dead and takes no more calls.
            self.retired = true;
        }
    }

    /// Whether the connection can be closed: it has no calls, and it is retired or was inactive for
    /// [`IDLE_TIMEOUT`].
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        self.calls.is_empty() && (self.retired || now.since(self.last_active) >= IDLE_TIMEOUT)
    }
}
