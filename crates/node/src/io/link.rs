//! A connection between this node and a remote end that may be absent, slow or lose the connection: the
//! kernel, the store, a database or another node. The comments of this module call each of these a peer.
//!
//! A link connects again after a failure, with exponential backoff. It distinguishes a peer that could not be
//! reached, to which nothing was sent, from a connection that broke, after which it is unknown what the peer
//! has received. A link knows no protocol and keeps nothing across a reconnect: its owner has to know what
//! must be sent again. The input buffer and the output buffer are bounded.

use super::{Stream, System};
use crate::write_queue::WriteQueue;
use gaugestand_admission::time::{Micros, Timestamp};
use std::io::{self, Read};
use std::net::SocketAddr;

/// Delay from a first failure to the next attempt to connect; it doubles with each further failure. A peer
/// that restarts is connected again within tens of milliseconds.
const MIN_RETRY_DELAY: Micros = Micros::millis(20);
/// Longest delay from a failure to the next attempt to connect: a peer that was away for long is found within
/// this time.
const MAX_RETRY_DELAY: Micros = Micros::millis(500);
/// Longest time that an attempt to connect may take. An attempt that takes longer has failed.
pub const CONNECT_TIMEOUT: Micros = Micros::millis(2000);
/// Maximum number of bytes read by one system call.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Length of the input buffer, in bytes, at which an iteration stops reading, so that a peer that sends
/// without end does not hold up the event loop.
const MAX_INPUT_BYTES: usize = 128 * 1024;
/// Capacity of the empty input buffer, in bytes, above which its memory is released.
const MAX_IDLE_CAPACITY: usize = 64 * 1024;
/// Maximum number of bytes that may wait to be written after a flush. A link with more is closed, as its peer
/// does not read.
const MAX_UNWRITTEN_BYTES: usize = 4 << 20;

#[derive(Debug)]
enum State<T> {
    Down,
    /// An attempt to connect is under way; it began at this time.
    Connecting(T, Timestamp),
    Up(T),
}

/// A change of the state of a link, returned to its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The connection is established.
    Up,
    /// The attempt to connect failed, and nothing was sent to the peer.
    Unreachable,
    /// The connection broke, or the peer closed it; it is unknown what the peer has received.
    Broken,
}

/// A connection to one peer, with its input buffer and output buffer.
#[derive(Debug)]
pub struct Link<S: System> {
    address: SocketAddr,
    key: usize,
    system: S,
    state: State<S::Stream>,
    /// Earliest time of the next attempt to connect.
    retry_at: Timestamp,
    /// Delay that follows the next failed attempt to connect.
    retry_delay: Micros,
    input: Vec<u8>,
    output: WriteQueue,
    /// Number of bytes queued since the connection was established.
    queued_bytes: u64,
    /// How many bytes of the last connection had been written when it ended.
    written_before_down: u64,
    /// Whether the peer has closed the connection, a read has failed, or the owner has severed the link: the
    /// next flush then takes the link down. Until then the owner can consume the input that remains.
    has_ended: bool,
    /// Whether each read goes on until nothing is left, so that the end of the connection is seen together
    /// with the last bytes before it.
    reads_to_end: bool,
}

impl<S: System> Link<S> {
    /// Creates a link that is down. The poller reports its connection under `key`.
    pub fn new(address: SocketAddr, key: usize, system: &S) -> Self {
        Link {
            address,
            key,
            system: system.clone(),
            state: State::Down,
            retry_at: Timestamp(0),
            retry_delay: MIN_RETRY_DELAY,
            input: Vec::new(),
            output: WriteQueue::default(),
            queued_bytes: 0,
            written_before_down: 0,
            has_ended: false,
            reads_to_end: false,
        }
    }

    /// Has each read go on until nothing is left. This takes a system call more for each readiness event;
    /// without it, bytes may be written to a connection whose end has arrived.
    pub fn reading_to_end(self) -> Self {
        Link { reads_to_end: true, ..self }
    }

    /// Creates a link that is up, from a connection that the peer has made. Once it is down, its owner does
    /// not connect it again.
    pub fn accepted(stream: S::Stream, from: SocketAddr, key: usize, system: &S) -> Self {
        Link { state: State::Up(stream), ..Link::new(from, key, system) }
    }

    /// Number of bytes that wait to be written.
    pub fn unwritten_bytes(&self) -> usize {
        self.output.len()
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection is established.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up(_))
    }

    /// Whether the link is neither connected nor connecting.
    pub fn is_down(&self) -> bool {
        matches!(self.state, State::Down)
    }

    /// Starts to connect if the link is down and the delay after the last failure is over. Returns a change
    /// if the attempt fails at once.
    pub fn connect(&mut self, now: Timestamp) -> Option<Change> {
        if !self.is_down() || now < self.retry_at {
            return None;
        }
        match self.system.connect(self.address, self.key) {
            Ok(stream) => {
                self.state = State::Connecting(stream, now);
                None
            }
            Err(_) => Some(self.fail(now)),
        }
    }

    fn fail(&mut self, now: Timestamp) -> Change {
        let was_up = self.is_up();
        self.written_before_down = self.written();
        self.state = State::Down;
        self.has_ended = false;
        self.input.clear();
        self.output = WriteQueue::default();
        if was_up {
            self.retry_delay = MIN_RETRY_DELAY;
            self.retry_at = now;
            return Change::Broken;
        }
        self.retry_at = now.plus(self.retry_delay);
        self.retry_delay = Micros(self.retry_delay.0 * 2).min(MAX_RETRY_DELAY);
        Change::Unreachable
    }

    /// Discards the input and has the next [`Link::flush`] end the connection, as if the peer had closed it.
    pub fn sever(&mut self) {
        self.input.clear();
        self.has_ended = true;
    }

    /// Time at which the owner has to act if no event comes before: to end a slow attempt to connect, or, if
    /// the link is `wanted`, to connect again.
    pub fn next_wakeup(&self, wanted: bool) -> Option<Timestamp> {
        match &self.state {
            State::Connecting(_, since) => Some(since.plus(CONNECT_TIMEOUT)),
            State::Down if wanted => Some(self.retry_at),
            _ => None,
        }
    }

    /// Ends an attempt to connect that has taken [`CONNECT_TIMEOUT`] or longer.
    pub fn on_timer(&mut self, now: Timestamp) -> Option<Change> {
        match &self.state {
            State::Connecting(_, since) if now.since(*since) >= CONNECT_TIMEOUT => Some(self.fail(now)),
            _ => None,
        }
    }

    /// Queues bytes if the link is up, and drops them otherwise. Returns the position of the first byte in
    /// the stream, to be compared with [`Link::written`].
    pub fn send(&mut self, bytes: Vec<u8>) -> u64 {
        let position = self.queued_bytes;
        if self.is_up() {
            self.queued_bytes += bytes.len() as u64;
            self.output.push(bytes);
        }
        position
    }

    /// Number of bytes of the current connection, or of the last one if the link is down, that were handed to
    /// the operating system.
    pub fn written(&self) -> u64 {
        if self.is_up() { self.queued_bytes - self.output.len() as u64 } else { self.written_before_down }
    }

    /// Handles a readiness event of this link: completes an attempt to connect, or reads what has arrived.
    pub fn ready(&mut self, now: Timestamp, readable: bool, writable: bool) -> Option<Change> {
        if let State::Connecting(stream, _) = &self.state {
            if !writable && !readable {
                return None;
            }
            if !stream.is_connected() {
                return Some(self.fail(now));
            }
            let State::Connecting(stream, _) = std::mem::replace(&mut self.state, State::Down) else {
                return None;
            };
            self.state = State::Up(stream);
            self.queued_bytes = 0;
            self.retry_delay = MIN_RETRY_DELAY;
            return Some(Change::Up);
        }
        // What the peer sent just before it closed must not be lost: the owner takes the input first, and
        // only the flush at the end of the iteration reports the connection as broken.
        self.has_ended |= readable && self.read().is_err();
        None
    }

    /// Reads what has arrived, until the input buffer holds [`MAX_INPUT_BYTES`]. An end of the stream is
    /// returned as an error.
    fn read(&mut self) -> io::Result<()> {
        let State::Up(stream) = &mut self.state else { return Ok(()) };
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(length) => {
                    self.input.extend(&chunk[..length]);
                    let may_be_all = length < READ_CHUNK_BYTES && !self.reads_to_end;
                    if may_be_all || self.input.len() >= MAX_INPUT_BYTES {
                        return Ok(());
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// The bytes that were read and not yet consumed.
    pub fn input(&self) -> &[u8] {
        &self.input
    }

    /// Removes this many bytes from the front of the input buffer.
    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes.min(self.input.len()));
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_CAPACITY {
            self.input = Vec::new();
        }
    }

    /// Called at the end of each iteration: writes what the connection takes, and ends a connection that the
    /// peer has closed or that has more than `MAX_UNWRITTEN_BYTES` left to write.
    pub fn flush(&mut self, now: Timestamp) -> Option<Change> {
        if self.has_ended {
            return Some(self.fail(now));
        }
        let State::Up(stream) = &mut self.state else { return None };
        let written = self.output.write(stream);
        let left = self.output.len();
        match written.and_then(|_| stream.watch(true, left > 0)) {
            Ok(()) if left <= MAX_UNWRITTEN_BYTES => None,
            _ => Some(self.fail(now)),
        }
    }
}
