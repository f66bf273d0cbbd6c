//! The second address, at which operators call the node: each connection carries one line with a call, and
//! one answer.
//!
//! File descriptors are reserved for these connections, so that operators get answers even while the table of
//! gateways' connections is full. The number of the connections, the length of a line and the duration of a
//! connection are bounded; if no slot is free for a new connection, the oldest one without an answer is
//! evicted. This module knows nothing about requests: the event loop makes the answers. In this module a
//! caller is the operator's side of a connection.

use super::io::{Listener, Ready, Stream, System};
use super::write_queue::WriteQueue;
use gaugestand_admission::time::{Micros, Timestamp};
use std::io;
use std::net::SocketAddr;

/// Maximum number of callers that are connected at a time: enough for a few operators and their monitoring.
pub const MAX_CALLERS: usize = 8;
/// Descriptors that are reserved for the second address: those of the callers and of the listener.
pub const RESERVED_DESCRIPTORS: usize = MAX_CALLERS + 1;
/// Maximum length, in bytes and with its end, of the line of a call that is not about the cluster; such a
/// call is a single word.
const MAX_LINE_BYTES: usize = 64;
/// Text with which the line of a call about the cluster starts.
const CLUSTER_PREFIX: &str = "FLEET ";
/// Maximum length, in bytes, of the line of a call about the cluster; the line may contain the content of a
/// version.
const MAX_CLUSTER_LINE_BYTES: usize = gaugestand_cluster::wire::MAX_CONTENT_BYTES + MAX_LINE_BYTES;
/// Maximum number of bytes that are read at a time from a caller, on a node that belongs to a cluster.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes of input after the line that are read and dropped at a time.
const DROPPED_CHUNK_BYTES: usize = 512;
/// Maximum number of chunks that are dropped in a row, so that a caller that goes on sending does not block
/// the event loop.
const MAX_DROPPED_CHUNKS: usize = 16;
/// Time after which a caller that has not sent its line or not read its answer is disconnected.
const CALLER_TIMEOUT: Micros = Micros::millis(5_000);

/// A call that an operator has made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// PING: asks whether this process admits requests.
    Ping,
    /// INFO: asks for the request metrics.
    Info,
    /// FLEET: a call about the cluster; contains the rest of the line after the word FLEET.
    Cluster(String),
}

/// Why a caller gets an error instead of an answer. The texts are part of the protocol and do not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The line is longer than any call may be.
    #[error("the line is too long")]
    TooLong,
    /// The caller has shut its write side before the end of its line.
    #[error("the line has no end")]
    NoEnd,
    /// The caller has sent more input after the line.
    #[error("one line a connection")]
    MoreThanOneLine,
    /// The line is not a known call.
    #[error("no such call; there are PING and INFO")]
    Unknown,
    /// The line is not UTF-8.
    #[error("the line is not text")]
    NotText,
}

/// Result of parsing the input that a caller has sent so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerInput {
    /// The line is not complete yet.
    Incomplete,
    /// The line is a call.
    Call(Call),
    /// The input can never become a call.
    Invalid(CallError),
}

/// Parses the input of a caller; `ended` if no more input can come, `in_cluster` if this node belongs to a
/// cluster and takes calls about it.
pub fn parse_call(input: &[u8], ended: bool, in_cluster: bool) -> CallerInput {
    let max_bytes = max_line_bytes(input, in_cluster);
    let Some(line_end) = input.iter().position(|byte| *byte == b'\n') else {
        return match (input.len() >= max_bytes, ended) {
            (true, _) => CallerInput::Invalid(CallError::TooLong),
            (false, true) => CallerInput::Invalid(CallError::NoEnd),
            (false, false) => CallerInput::Incomplete,
        };
    };
    if line_end >= max_bytes {
        return CallerInput::Invalid(CallError::TooLong);
    }
    if input.len() > line_end + 1 {
        return CallerInput::Invalid(CallError::MoreThanOneLine);
    }
    let Ok(line) = std::str::from_utf8(&input[..line_end]) else {
        return CallerInput::Invalid(CallError::NotText);
    };
    let line = line.strip_suffix('\r').unwrap_or(line);
    match (line, line.strip_prefix(CLUSTER_PREFIX)) {
        ("PING", _) => CallerInput::Call(Call::Ping),
        ("INFO", _) => CallerInput::Call(Call::Info),
        (_, Some(words)) if in_cluster => CallerInput::Call(Call::Cluster(words.into())),
        _ => CallerInput::Invalid(CallError::Unknown),
    }
}

/// Maximum length, in bytes, of the line that starts with `input`; the start tells whether the call is about
/// the cluster.
fn max_line_bytes(input: &[u8], in_cluster: bool) -> usize {
    let is_cluster_call = in_cluster && input.starts_with(CLUSTER_PREFIX.as_bytes());
    if is_cluster_call { MAX_CLUSTER_LINE_BYTES } else { MAX_LINE_BYTES }
}

#[derive(Debug)]
struct Caller<T> {
    /// Serial number of the caller, which distinguishes it from earlier callers in the same slot.
    serial: u64,
    stream: T,
    since: Timestamp,
    input: Vec<u8>,
    output: WriteQueue,
    answered: bool,
}

/// The listener of the second address and its callers.
#[derive(Debug)]
pub struct Admin<S: System> {
    system: S,
    key: usize,
    first_key: usize,
    listener: Option<S::Listener>,
    /// The configured address; none if the second address is not configured.
    configured: Option<SocketAddr>,
    callers: Vec<Option<Caller<S::Stream>>>,
    /// Serial number of the caller that was accepted last; 0 before the first.
    last_serial: u64,
    /// Whether this node belongs to a cluster and takes calls about it.
    in_cluster: bool,
}

/// The newly configured second address, if there is one, with its listener; prepared for [`Admin::move_to`].
#[derive(Debug)]
pub struct PreparedMove<S: System> {
    configured: Option<SocketAddr>,
    listener: Option<S::Listener>,
}

impl<S: System> Admin<S> {
    /// Listens at the configured address, if there is one. The listener is watched under the poller key
    /// `key`, callers under [`MAX_CALLERS`] keys from `first_key` on.
    ///
    /// # Errors
    /// The system refuses to listen at the address, for example because it is in use.
    pub fn listen(
        system: &S,
        configured: Option<SocketAddr>,
        key: usize,
        first_key: usize,
        in_cluster: bool,
    ) -> io::Result<Self> {
        let listener = configured.map(|address| system.listen(address, key)).transpose()?;
        let callers = (0..MAX_CALLERS).map(|_| None).collect();
        let system = system.clone();
        Ok(Admin { system, key, first_key, listener, configured, callers, last_serial: 0, in_cluster })
    }

    /// The address of the listener; none if the second address is not configured.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.address())
    }

    /// Listens at a new address in addition to the present one, for [`Admin::move_to`]; returns none if the
    /// address is unchanged. This step of a reload can fail.
    ///
    /// # Errors
    /// The system refuses to listen at the new address. The present listener stays as it is.
    pub fn prepare(&self, configured: Option<SocketAddr>) -> io::Result<Option<PreparedMove<S>>> {
        if configured == self.configured {
            return Ok(None);
        }
        let listener = configured.map(|address| self.system.listen(address, self.key)).transpose()?;
        Ok(Some(PreparedMove { configured, listener }))
    }

    /// Replaces the listener by the prepared one; connected callers stay. This step of a reload cannot fail.
    pub fn move_to(&mut self, prepared: Option<PreparedMove<S>>) {
        if let Some(prepared) = prepared {
            self.configured = prepared.configured;
            self.listener = prepared.listener;
        }
    }

    /// Whether a poller key is that of a caller.
    pub fn has_key(&self, key: usize) -> bool {
        (self.first_key..self.first_key + MAX_CALLERS).contains(&key)
    }

    /// Accepts the callers that wait. If no slot is free, a caller is evicted for each of them.
    pub fn accept(&mut self, now: Timestamp) {
        let Some(listener) = &self.listener else { return };
        // At most as many as there are slots; callers that wait after that are accepted in the next iteration
        // of the event loop.
        for _ in 0..MAX_CALLERS {
            let free = self.callers.iter().position(Option::is_none);
            let Some(slot) = free.or_else(|| self.eviction_candidate()) else { return };
            // The slot is emptied before the new caller is accepted, so that two callers are never watched
            // under one key.
            let evicted = self.callers.get_mut(slot).and_then(Option::take);
            match listener.accept(self.first_key + slot) {
                Ok(stream) => {
                    self.last_serial += 1;
                    self.callers[slot] = Some(Caller {
                        serial: self.last_serial,
                        stream,
                        since: now,
                        input: Vec::new(),
                        output: WriteQueue::default(),
                        answered: false,
                    });
                }
                Err(_) => {
                    self.callers[slot] = evicted;
                    return;
                }
            }
        }
    }

    /// The slot of the caller to evict: the oldest caller without an answer, or the oldest of all if every
    /// caller has an answer.
    fn eviction_candidate(&self) -> Option<usize> {
        let order = |caller: &Option<Caller<S::Stream>>| {
            caller.as_ref().map(|caller| (caller.answered, caller.since))
        };
        (0..MAX_CALLERS).min_by_key(|slot| self.callers.get(*slot).and_then(order))
    }

    /// Handles a readiness event of a caller. Returns the caller's slot and its input once the input can be
    /// answered.
    pub fn ready(&mut self, event: Ready) -> Option<(usize, CallerInput)> {
        let slot = event.key.checked_sub(self.first_key)?;
        let caller = self.callers.get_mut(slot)?.as_mut()?;
        let Ok(ended) = caller.read(self.in_cluster) else {
            self.callers[slot] = None;
            return None;
        };
        if caller.answered {
            self.write(slot);
            return None;
        }
        match parse_call(&caller.input, ended, self.in_cluster) {
            CallerInput::Incomplete => None,
            // The caller has disconnected without sending anything.
            CallerInput::Invalid(_) if ended && caller.input.is_empty() => {
                self.callers[slot] = None;
                None
            }
            input => Some((slot, input)),
        }
    }

    /// Serial number of the caller in a slot, for an answer that follows later ([`Admin::answer_by_serial`]).
    pub fn caller_serial(&self, slot: usize) -> Option<u64> {
        self.callers.get(slot)?.as_ref().map(|caller| caller.serial)
    }

    /// Answers the caller with this serial number, if it is still connected.
    pub fn answer_by_serial(&mut self, serial: u64, text: String) {
        let is_caller = |caller: &Option<Caller<S::Stream>>| {
            caller.as_ref().is_some_and(|caller| caller.serial == serial)
        };
        if let Some(slot) = self.callers.iter().position(is_caller) {
            self.answer(slot, text);
        }
    }

    /// Answers the caller in a slot, if there is one; its connection is closed once the answer is written.
    pub fn answer(&mut self, slot: usize, text: String) {
        if let Some(caller) = self.callers.get_mut(slot).and_then(Option::as_mut) {
            caller.answered = true;
            caller.output.push(text);
            self.write(slot);
        }
    }

    fn write(&mut self, slot: usize) {
        let Some(caller) = self.callers.get_mut(slot).and_then(Option::as_mut) else { return };
        let written = caller.output.write(&mut caller.stream);
        caller.drop_input();
        let watched = written.and_then(|_| caller.stream.watch(false, true));
        if caller.output.is_empty() || watched.is_err() {
            self.callers[slot] = None;
        }
    }

    /// Disconnects callers that have been connected for too long.
    pub fn on_timer(&mut self, now: Timestamp) {
        for slot in &mut self.callers {
            *slot = slot.take().filter(|caller| now.since(caller.since) < CALLER_TIMEOUT);
        }
    }

    /// Restarts the timeout of all callers at `now`; called when the process's clock has been set.
    pub fn restart_timeouts(&mut self, now: Timestamp) {
        self.callers.iter_mut().flatten().for_each(|caller| caller.since = now);
    }

    /// When to call [`Admin::on_timer`] again; none if no caller is connected.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.callers.iter().flatten().map(|caller| caller.since.plus(CALLER_TIMEOUT)).min()
    }
}

impl<T: Stream> Caller<T> {
    /// Reads the input that is there; returns whether the caller has shut its write side. Input after the
    /// answer is dropped.
    fn read(&mut self, in_cluster: bool) -> io::Result<bool> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        // A node without a cluster reads at most one byte more than the longest line; that byte shows that
        // the line is too long.
        let max_read = if in_cluster { READ_CHUNK_BYTES } else { MAX_LINE_BYTES + 1 };
        match self.stream.read(&mut chunk[..max_read]) {
            Ok(0) => Ok(true),
            Ok(length) => {
                if !self.answered {
                    self.keep(&chunk[..length], in_cluster);
                }
                Ok(false)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }

    /// Keeps input up to one byte more than the maximum length of the line; that byte shows that the line is
    /// too long.
    fn keep(&mut self, bytes: &[u8], in_cluster: bool) {
        let line_start = if self.input.is_empty() { bytes } else { &self.input };
        let max_bytes = max_line_bytes(line_start, in_cluster);
        let room = max_bytes + 1 - self.input.len().min(max_bytes);
        self.input.extend(&bytes[..bytes.len().min(room)]);
    }

    /// Reads and drops the input that is there. Guards against losing the answer: closing a connection with
    /// unread input sends a reset, which discards an answer that is still in transit.
    fn drop_input(&mut self) {
        let mut chunk = [0; DROPPED_CHUNK_BYTES];
        (0..MAX_DROPPED_CHUNKS).any(|_| !matches!(self.stream.read(&mut chunk), Ok(length) if length > 0));
    }
}

#[cfg(test)]
mod tests;
