//! The seam between the node and the system: all that the node asks of the outside, and nothing else.
//!
//! [`System`] is written against by the loop, the fronts, the peers and the links; [`real::Real`] is the machine
//! that the program runs on. Another one (a virtual world) can take its place, and the node cannot tell which it has:
//! the type is chosen where the node is made, and nothing here says what it is.

pub mod clock;
pub mod handover_socket;
pub mod link;
pub mod poll;
pub mod real;

use gaugestand_admission::log_record::RecoveredLog;
use gaugestand_admission::time::Micros;
use gaugestand_admission::time::Moment;
use gaugestand_idempotency::OpenError;
use gaugestand_idempotency::row::{Batch, Outcome, Recovery};
use gaugestand_idempotency::sqlite::Options;
use std::fmt::Debug;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::Path;

/// Something that a turn has to look at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// What it was watched under.
    pub key: usize,
    /// There is something to read, an end, or an error.
    pub readable: bool,
    /// Something can be written, or there is an error.
    pub writable: bool,
}

/// What a node runs on. All sources are watched, level-triggered, under the key that they were made with, for as
/// long as they live; all of them are non-blocking.
pub trait System: Clone + Debug {
    /// A connection.
    type Stream: Stream;
    /// Where connections come in.
    type Listener: Listener<Stream = Self::Stream>;
    /// A socket for reports.
    type Datagram: Datagram;
    /// What tells of a signal: a byte, or some, that say nothing.
    type Signals: Read + Debug;
    /// What does the blocking work of a store of record.
    type Worker: Worker;

    /// A link to another process of this node.
    type Kin: Kin<Stream = Self::Stream, Listener = Self::Listener>;
    /// Where such links come in.
    type Door: Listener<Stream = Self::Kin>;
    /// What makes this process the node; given back when dropped.
    type Claim: Claim;

    /// The time on both clocks; the monotonic one starts well above zero.
    fn moment(&self) -> Moment;
    /// Listens.
    fn listen(&self, at: SocketAddr, key: usize) -> io::Result<Self::Listener>;
    /// Begins to connect; the stream is ready for writing once it is made or has failed.
    fn connect(&self, to: SocketAddr, key: usize) -> io::Result<Self::Stream>;
    /// A socket for reports to this address.
    fn datagram(&self, to: SocketAddr) -> io::Result<Self::Datagram>;
    /// From now on these signals are told of under this key.
    fn signals(&self, key: usize, signals: &[i32]) -> io::Result<Self::Signals>;
    /// Opens a store of record in a file, with what an earlier life left in it, up to so many rows.
    fn store(
        &self,
        path: &Path,
        options: &Options,
        most_rows: usize,
        key: usize,
    ) -> Result<(Self::Worker, Recovery), OpenError>;
    /// Opens a fleet's log in a file, which belongs to this owner, with what an earlier life left in it.
    fn consensus_log(
        &self,
        path: &Path,
        owner: &str,
        key: usize,
    ) -> Result<(Self::Worker, RecoveredLog), OpenError>;
    /// Listens for other processes of this node, in place of a socket that nobody answers at.
    fn door(&self, at: &Path, key: usize) -> io::Result<Self::Door>;
    /// Connects to another process of this node.
    fn kin(&self, at: &Path, key: usize) -> io::Result<Self::Kin>;
    /// Takes the claim at this path, unless another process holds it; the system lets go of it with the process.
    fn claim(&self, at: &Path) -> io::Result<Option<Self::Claim>>;
    /// From now on the monotonic clock is that of another process, as it read both clocks a moment ago.
    fn align(&self, other: Moment);
    /// Waits until something is ready, for this long at most, and puts it in place of what `ready` held.
    fn wait(&self, most: Micros, ready: &mut Vec<Ready>) -> io::Result<()>;
}

/// A connection.
pub trait Stream: Read + Write + Debug {
    /// Changes what it is watched for.
    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()>;
    /// Whether a connection that was begun has been made; asked once it is ready.
    fn is_made(&self) -> bool;
    /// Whether something can be read, other than an end.
    fn has_unread(&self) -> bool;
    /// Ends the stream to the other side, after all that was written; what it sends can still be read.
    fn shut_writing(&mut self) -> io::Result<()>;
}

/// Where connections come in.
pub trait Listener: Debug {
    /// What comes in.
    type Stream;
    /// Takes the next connection, to be watched for reading under this key. `ConnectionAborted` is of one that
    /// was gone before it could be taken.
    fn accept(&self, key: usize) -> io::Result<Self::Stream>;
    /// Changes whether it is watched.
    fn watch(&mut self, reading: bool) -> io::Result<()>;
    /// Where it listens.
    fn address(&self) -> Option<SocketAddr>;
}

/// A socket for reports.
pub trait Datagram: Debug {
    /// Sends one; nobody says whether it arrives.
    fn send(&self, bytes: &[u8]) -> io::Result<()>;
}

/// What does the blocking work of a store of record, off the loop.
pub trait Worker: Debug {
    /// Hands a batch over; gives it back if there is no room.
    fn submit(&mut self, batch: Batch) -> Result<(), Batch>;
    /// The next outcome, if there is one.
    fn outcome(&mut self) -> Option<(u64, Outcome)>;
    /// It can do no more work.
    fn is_dead(&self) -> bool;
    /// Takes note of its having said that there is an outcome.
    fn woken(&mut self);
}

/// A link to another process of this node: bytes, and sockets that go along with them.
pub trait Kin: Debug {
    /// Connections that can be passed.
    type Stream;
    /// Listening sockets that can be passed.
    type Listener;
    /// Sends bytes, and a socket with the first of them.
    fn send(&mut self, bytes: &[u8], with: Passed<'_, Self::Stream, Self::Listener>) -> io::Result<usize>;
    /// Reads bytes; sockets that come along are kept in their order.
    fn receive(&mut self, buf: &mut [u8]) -> io::Result<usize>;
    /// The next socket that came, as a connection watched for reading under this key.
    fn take_stream(&mut self, key: usize) -> io::Result<Self::Stream>;
    /// The next socket that came, as a listener that is not watched yet.
    fn take_listener(&mut self, key: usize) -> io::Result<Self::Listener>;
    /// Changes what the link is watched for.
    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()>;
}

/// A socket that goes along with bytes. It stays open on this side.
#[derive(Debug)]
pub enum Passed<'a, T, L> {
    /// None.
    Nothing,
    /// A connection.
    Stream(&'a T),
    /// A listening socket.
    Listener(&'a L),
}

/// What makes this process the node. Marks on it outlast its holder.
pub trait Claim: Debug {
    /// How many marks it has.
    fn marks(&self) -> io::Result<u64>;
    /// Makes one more.
    fn mark(&self) -> io::Result<()>;
}
