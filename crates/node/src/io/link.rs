//! A connection of ours to a peer that may be absent, late or drop: used for the kernel and the store.

use super::{Stream, System};
use crate::response::Outbox;
use gaugestand_admission::time::Micros;
use std::io::{self, Read};
use std::net::SocketAddr;

/// Time from a failure to the next try to connect: first, and at most.
const RETRY: (Micros, Micros) = (Micros::millis(20), Micros::millis(500));
/// A connection that is not made by then has failed.
pub const CONNECT: Micros = Micros::millis(2000);
/// Most bytes read in one go.
const CHUNK: usize = 16 * 1024;
/// Most bytes that may wait to be taken before more are read.
const MOST_IN: usize = 1 << 20;
/// Most bytes that may wait to be written.
const MOST_OUT: usize = 4 << 20;

#[derive(Debug)]
enum State<T> {
    Down,
    /// Since when.
    Connecting(T, Micros),
    Up(T),
}

/// What became of a link.
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
    to: SocketAddr,
    key: usize,
    system: S,
    state: State<S::Stream>,
    retry_at: Micros,
    retry_in: Micros,
    input: Vec<u8>,
    output: Outbox,
    /// Bytes queued since the link is up.
    queued: u64,
    /// How much of that was written when it last went down.
    sent: u64,
    /// The peer has closed; what it sent before is still to be taken.
    ended: bool,
}

impl<S: System> Link<S> {
    /// A link that is down.
    pub fn new(to: SocketAddr, key: usize, system: &S) -> Self {
        let (retry_at, retry_in) = (Micros(0), RETRY.0);
        let (input, output) = (Vec::new(), Outbox::default());
        let (system, state) = (system.clone(), State::Down);
        let (queued, sent, ended) = (0, 0, false);
        Link { to, key, system, state, retry_at, retry_in, input, output, queued, sent, ended }
    }

    /// A link that the peer made: it is up, and once it is down it stays so.
    pub fn accepted(stream: S::Stream, from: SocketAddr, key: usize, system: &S) -> Self {
        Link { state: State::Up(stream), ..Link::new(from, key, system) }
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        self.output.len()
    }

    /// The address that it is to.
    pub fn address(&self) -> SocketAddr {
        self.to
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
    pub fn connect(&mut self, now: Micros) -> Option<Change> {
        if !self.is_down() || now < self.retry_at {
            return None;
        }
        match self.system.connect(self.to, self.key) {
            Ok(stream) => {
                self.state = State::Connecting(stream, now);
                None
            }
            Err(_) => Some(self.fail(now)),
        }
    }

    fn fail(&mut self, now: Micros) -> Change {
        let was_up = self.is_up();
        self.sent = self.written();
        self.state = State::Down;
        self.ended = false;
        self.input.clear();
        self.output = Outbox::default();
        if was_up {
            self.retry_in = RETRY.0;
            self.retry_at = now;
            return Change::Broken;
        }
        self.retry_at = now.plus(self.retry_in);
        self.retry_in = Micros((self.retry_in.0 * 2).min(RETRY.1.0));
        Change::Unreachable
    }

    /// Breaks it off at the end of the turn, as if the peer had closed.
    pub fn sever(&mut self) {
        self.input.clear();
        self.ended = true;
    }

    /// When it wants to be looked at again although nothing came; `wanted` if it should be up.
    pub fn next_wakeup(&self, wanted: bool) -> Option<Micros> {
        match &self.state {
            State::Connecting(_, since) => Some(since.plus(CONNECT)),
            State::Down if wanted => Some(self.retry_at),
            _ => None,
        }
    }

    /// Gives up a connection that is not made in time.
    pub fn on_timer(&mut self, now: Micros) -> Option<Change> {
        match &self.state {
            State::Connecting(_, since) if now.since(*since) >= CONNECT => Some(self.fail(now)),
            _ => None,
        }
    }

    /// Queues bytes, if it is up; returns the place in the stream at which they start, for [`Link::written`].
    pub fn send(&mut self, bytes: Vec<u8>) -> u64 {
        let at = self.queued;
        if self.is_up() {
            self.queued += bytes.len() as u64;
            self.output.push(bytes);
        }
        at
    }

    /// How much of the stream, of the last one if it is down, was handed to the system.
    pub fn written(&self) -> u64 {
        if self.is_up() { self.queued - self.output.len() as u64 } else { self.sent }
    }

    /// The poller has something for this link.
    pub fn ready(&mut self, now: Micros, readable: bool, writable: bool) -> Option<Change> {
        if let State::Connecting(stream, _) = &self.state {
            if !writable && !readable {
                return None;
            }
            if !stream.is_made() {
                return Some(self.fail(now));
            }
            let State::Connecting(stream, _) = std::mem::replace(&mut self.state, State::Down) else {
                return None;
            };
            self.state = State::Up(stream);
            self.queued = 0;
            self.retry_in = RETRY.0;
            return Some(Change::Up);
        }
        // Guards against losing what a peer sent just before it closed: the owner takes the input first, and
        // the link counts as broken with the flush at the end of the turn.
        self.ended |= readable && self.read().is_err();
        None
    }

    /// Reads what is there, up to a bound; an end of the stream is an error like others.
    fn read(&mut self) -> io::Result<()> {
        let State::Up(stream) = &mut self.state else { return Ok(()) };
        let mut chunk = [0; CHUNK];
        loop {
            match stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.input.extend(&chunk[..n]);
                    if n < CHUNK || self.input.len() >= MOST_IN {
                        return Ok(());
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// What was read and not yet taken.
    pub fn input(&self) -> &[u8] {
        &self.input
    }

    /// Takes bytes off the front of the input.
    pub fn consume(&mut self, n: usize) {
        self.input.drain(..n.min(self.input.len()));
    }

    /// Ends a turn: writes what can be written, and lets go of a link that the peer has closed.
    pub fn flush(&mut self, now: Micros) -> Option<Change> {
        if self.ended {
            return Some(self.fail(now));
        }
        let State::Up(stream) = &mut self.state else { return None };
        let written = self.output.write(stream);
        let left = self.output.len();
        match written.and_then(|_| stream.watch(true, left > 0)) {
            Ok(()) if left <= MOST_OUT => None,
            _ => Some(self.fail(now)),
        }
    }
}
