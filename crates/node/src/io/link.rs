//! A connection that this node makes to a peer which may be absent, late or drop: the kernel, the store, a database, other
//! nodes.
//!
//! It connects again after a failure, with exponential backoff, and parts a peer that could not be reached, to which nothing was
//! sent, from a connection that broke, which proves nothing of what was sent. It knows no protocol and keeps nothing over a
//! reconnect: what has to be sent again is its owner's to know. Both buffers are bounded.

use super::{Stream, System};
use crate::write_queue::WriteQueue;
use gaugestand_admission::time::{Micros, Timestamp};
use std::io::{self, Read};
use std::net::SocketAddr;

/// Time from a failure to the next attempt to connect, which doubles with each: a peer that restarts is back within tens of
/// milliseconds.
const MIN_RETRY_DELAY: Micros = Micros::millis(20);
/// Longest such time: a peer that was away for long is found within this.
const MAX_RETRY_DELAY: Micros = Micros::millis(500);
/// A connection that is not made by then has failed.
pub const CONNECT_TIMEOUT: Micros = Micros::millis(2000);
/// Most bytes read by one system call.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of input that end the reading of one iteration, so that a peer that sends without end does not hold up the loop.
const MAX_INPUT_BYTES: usize = 1 << 20;
/// Most bytes that may wait to be written. Beyond it the link breaks, as its peer does not read.
const MAX_UNWRITTEN_BYTES: usize = 4 << 20;

#[derive(Debug)]
enum State<T> {
    Down,
    /// Being made, since then.
    Connecting(T, Timestamp),
    Up(T),
}

/// How a link has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is up.
    Up,
    /// The peer could not be reached: nothing was sent.
    Unreachable,
    /// It broke, or the peer closed it.
    Broken,
}

/// One link, with its buffers.
#[derive(Debug)]
pub struct Link<S: System> {
    address: SocketAddr,
    key: usize,
    system: S,
    state: State<S::Stream>,
    /// No attempt to connect before.
    retry_at: Timestamp,
    /// The delay after the next failure.
    retry_delay: Micros,
    input: Vec<u8>,
    output: WriteQueue,
    /// Bytes queued since the link is up.
    queued_bytes: u64,
    /// How many of those were written when it last went down.
    written_before_down: u64,
    /// The peer has closed; what it sent before is still to be taken.
    peer_closed: bool,
}

impl<S: System> Link<S> {
    /// A link that is down.
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
            peer_closed: false,
        }
    }

    /// A link that the peer made: it is up, and once it is down it stays so.
    pub fn accepted(stream: S::Stream, from: SocketAddr, key: usize, system: &S) -> Self {
        Link { state: State::Up(stream), ..Link::new(from, key, system) }
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        self.output.len()
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it is up.
    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up(_))
    }

    /// Whether it is neither up nor being made.
    pub fn is_down(&self) -> bool {
        matches!(self.state, State::Down)
    }

    /// Starts to connect, unless that failed a moment ago.
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
        self.peer_closed = false;
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

    /// Breaks it off at the end of the iteration, as if the peer had closed.
    pub fn sever(&mut self) {
        self.input.clear();
        self.peer_closed = true;
    }

    /// When it needs attention although nothing comes; `wanted` if it should be up.
    pub fn next_wakeup(&self, wanted: bool) -> Option<Timestamp> {
        match &self.state {
            State::Connecting(_, since) => Some(since.plus(CONNECT_TIMEOUT)),
            State::Down if wanted => Some(self.retry_at),
            _ => None,
        }
    }

    /// Gives up a connection that is not made in time.
    pub fn on_timer(&mut self, now: Timestamp) -> Option<Change> {
        match &self.state {
            State::Connecting(_, since) if now.since(*since) >= CONNECT_TIMEOUT => Some(self.fail(now)),
            _ => None,
        }
    }

    /// Queues bytes, if it is up; returns the place in the stream at which they start, for [`Link::written`].
    pub fn send(&mut self, bytes: Vec<u8>) -> u64 {
        let position = self.queued_bytes;
        if self.is_up() {
            self.queued_bytes += bytes.len() as u64;
            self.output.push(bytes);
        }
        position
    }

    /// How much of the stream, of the last one if it is down, was handed to the system.
    pub fn written(&self) -> u64 {
        if self.is_up() { self.queued_bytes - self.output.len() as u64 } else { self.written_before_down }
    }

    /// The poller has something for this link.
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
        // Guards against losing what a peer sent just before it closed: the owner takes the input first, and
        // the link counts as broken with the flush at the end of the iteration.
        self.peer_closed |= readable && self.read().is_err();
        None
    }

    /// Reads what is there, up to a bound; an end of the stream is an error like others.
    fn read(&mut self) -> io::Result<()> {
        let State::Up(stream) = &mut self.state else { return Ok(()) };
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(length) => {
                    self.input.extend(&chunk[..length]);
                    if length < READ_CHUNK_BYTES || self.input.len() >= MAX_INPUT_BYTES {
                        return Ok(());
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// What was read and not yet taken.
    pub fn input(&self) -> &[u8] {
        &self.input
    }

    /// Takes bytes off the front of the input.
    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes.min(self.input.len()));
    }

    /// Ends an iteration: writes what can be written, and gives up a link that the peer has closed.
    pub fn flush(&mut self, now: Timestamp) -> Option<Change> {
        if self.peer_closed {
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
