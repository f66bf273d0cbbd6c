//! The second address: operators' connections, with one line and one answer each.
//!
//! Its descriptors are reserved, so that it answers while the table of gateways' connections is full. Callers, their lines and
//! their time are bounded; at the bound the one that has been quiet for longest makes room. It knows nothing of requests: the
//! event loop makes the answers.

use super::io::{Listener, Ready, Stream, System};
use super::write_queue::WriteQueue;
use gaugestand_admission::time::{Micros, Timestamp};
use std::io;
use std::net::SocketAddr;

/// Most callers at once: a few operators and their monitoring.
pub const MAX_CALLERS: usize = 8;
/// Descriptors that it needs: those of the callers and the listener.
pub const RESERVED_DESCRIPTORS: usize = MAX_CALLERS + 1;
/// Most bytes of a line, with its end; calls are a word.
const MAX_LINE_BYTES: usize = 64;
/// What a call about the cluster starts with.
const CLUSTER_PREFIX: &str = "FLEET ";
/// Most bytes of such a line: a version's content goes in one.
const MAX_CLUSTER_LINE_BYTES: usize = gaugestand_cluster::wire::MAX_CONTENT_BYTES + MAX_LINE_BYTES;
/// Most bytes read at a time of such a line.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes that are read and dropped at a time of what comes after the line.
const DROPPED_CHUNK_BYTES: usize = 512;
/// Most such chunks, so that a caller that goes on sending does not hold up the loop.
const MAX_DROPPED_CHUNKS: usize = 16;
/// A caller that has not sent its line, or not read its answer, by then is closed.
const CALLER_TIMEOUT: Micros = Micros::millis(5_000);

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// PING: whether this process admits requests.
    Ping,
    /// INFO: the request metrics.
    Info,
    /// FLEET: something about the cluster, in the words that follow.
    Cluster(String),
}

/// Why a caller gets an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The line is longer than any call.
    #[error("the line is too long")]
    TooLong,
    /// The caller has ended without the end of its line.
    #[error("the line has no end")]
    NoEnd,
    /// More came behind the line.
    #[error("one line a connection")]
    MoreThanOneLine,
    /// There is no such call.
    #[error("no such call; there are PING and INFO")]
    Unknown,
    /// The line is not UTF-8.
    #[error("the line is not text")]
    NotText,
}

/// What a caller has sent so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerInput {
    /// No complete line yet.
    Incomplete,
    /// A call.
    Call(Call),
    /// Something that can never become a call.
    Invalid(CallError),
}

/// Reads what a caller has sent; `ended` if nothing more comes, `in_cluster` if there is a cluster to ask about.
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

/// How long a line that starts like this may be.
fn max_line_bytes(input: &[u8], in_cluster: bool) -> usize {
    let is_cluster_call = in_cluster && input.starts_with(CLUSTER_PREFIX.as_bytes());
    if is_cluster_call { MAX_CLUSTER_LINE_BYTES } else { MAX_LINE_BYTES }
}

#[derive(Debug)]
struct Caller<T> {
    /// Tells it apart from earlier callers under the same key.
    serial: u64,
    stream: T,
    since: Timestamp,
    input: Vec<u8>,
    output: WriteQueue,
    answered: bool,
}

/// The listener and its callers.
#[derive(Debug)]
pub struct Admin<S: System> {
    system: S,
    key: usize,
    first_key: usize,
    listener: Option<S::Listener>,
    /// The configured address.
    configured: Option<SocketAddr>,
    callers: Vec<Option<Caller<S::Stream>>>,
    /// Callers so far.
    last_serial: u64,
    /// There is a cluster to ask about.
    in_cluster: bool,
}

/// Another address, which already is listened at.
#[derive(Debug)]
pub struct PreparedMove<S: System> {
    configured: Option<SocketAddr>,
    listener: Option<S::Listener>,
}

impl<S: System> Admin<S> {
    /// Listens at the address, if there is one; callers are watched under [`MAX_CALLERS`] keys from `first_key` on.
    ///
    /// # Errors
    /// The system refuses to listen at the address, for example as it is in use.
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

    /// The address it listens at.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.address())
    }

    /// Listens at another address beside the present one, for [`Admin::move_to`]; nothing if the address is the same. This can fail.
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

    /// Listens there from now on; callers that are connected stay. This cannot fail.
    pub fn move_to(&mut self, prepared: Option<PreparedMove<S>>) {
        if let Some(prepared) = prepared {
            self.configured = prepared.configured;
            self.listener = prepared.listener;
        }
    }

    /// Whether a key is that of a caller.
    pub fn has_key(&self, key: usize) -> bool {
        (self.first_key..self.first_key + MAX_CALLERS).contains(&key)
    }

    /// Accepts the callers that wait; where there is no slot left, the caller that has been quiet for longest makes room.
    pub fn accept(&mut self, now: Timestamp) {
        let Some(listener) = &self.listener else { return };
        // As many as there are slots: what else waits comes with the next iteration.
        for _ in 0..MAX_CALLERS {
            let free = self.callers.iter().position(Option::is_none);
            let Some(slot) = free.or_else(|| self.quietest()) else { return };
            // The slot is emptied before the newcomer is accepted: two are never watched under one key.
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

    /// The slot of the caller that makes room first: one that has no answer yet, and of those the oldest.
    fn quietest(&self) -> Option<usize> {
        let order = |caller: &Option<Caller<S::Stream>>| {
            caller.as_ref().map(|caller| (caller.answered, caller.since))
        };
        (0..MAX_CALLERS).min_by_key(|slot| self.callers.get(*slot).and_then(order))
    }

    /// Reads what a caller sends; returns its slot and its input once that can be answered.
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
            // It has ended without a word.
            CallerInput::Invalid(_) if ended && caller.input.is_empty() => {
                self.callers[slot] = None;
                None
            }
            input => Some((slot, input)),
        }
    }

    /// The caller that has this slot now, for an answer that comes later.
    pub fn caller_serial(&self, slot: usize) -> Option<u64> {
        self.callers.get(slot)?.as_ref().map(|caller| caller.serial)
    }

    /// Answers the caller with this number, if it is still connected.
    pub fn answer_by_serial(&mut self, serial: u64, text: String) {
        let is_caller = |caller: &Option<Caller<S::Stream>>| {
            caller.as_ref().is_some_and(|caller| caller.serial == serial)
        };
        if let Some(slot) = self.callers.iter().position(is_caller) {
            self.answer(slot, text);
        }
    }

    /// Answers a caller; its connection ends once the answer is written.
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

    /// Closes callers that have been connected for too long.
    pub fn on_timer(&mut self, now: Timestamp) {
        for slot in &mut self.callers {
            *slot = slot.take().filter(|caller| now.since(caller.since) < CALLER_TIMEOUT);
        }
    }

    /// Counts the time of all callers from now: the clock has been set.
    pub fn restart_timeouts(&mut self, now: Timestamp) {
        self.callers.iter_mut().flatten().for_each(|caller| caller.since = now);
    }

    /// When to call [`Admin::on_timer`] again.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.callers.iter().flatten().map(|caller| caller.since.plus(CALLER_TIMEOUT)).min()
    }
}

impl<T: Stream> Caller<T> {
    /// Reads what is there; returns whether the caller has ended. What comes after its answer is dropped.
    fn read(&mut self, in_cluster: bool) -> io::Result<bool> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        // Without a cluster no more is read than the longest line, and one byte that shows that it is over.
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

    /// Keeps input up to one byte more than a line may have.
    fn keep(&mut self, bytes: &[u8], in_cluster: bool) {
        let line_start = if self.input.is_empty() { bytes } else { &self.input };
        let max_bytes = max_line_bytes(line_start, in_cluster);
        let room = max_bytes + 1 - self.input.len().min(max_bytes);
        self.input.extend(&bytes[..bytes.len().min(room)]);
    }

    /// Reads and drops what is there. Guards against an answer that is lost: the close of a connection with unread bytes is a
    /// reset, which discards what is still on its way.
    fn drop_input(&mut self) {
        let mut chunk = [0; DROPPED_CHUNK_BYTES];
        (0..MAX_DROPPED_CHUNKS).any(|_| !matches!(self.stream.read(&mut chunk), Ok(length) if length > 0));
    }
}

#[cfg(test)]
mod tests;
