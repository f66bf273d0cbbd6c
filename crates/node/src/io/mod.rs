//! The seam between the node and the operating system: every call of the outside goes through the trait [`System`].
//!
//! [`real::OsSystem`] is the machine that the program runs on; the simulation puts its own system in its place. The type is
//! chosen where the node is started, and nothing in the node depends on which it is.

pub mod clock;
pub mod handover_socket;
pub mod link;
pub mod poll;
pub mod real;
pub mod tcp;

use gaugestand_admission::log_record::RecoveredLog;
use gaugestand_admission::time::{Micros, Moment};
use gaugestand_idempotency::OpenError;
use gaugestand_idempotency::row::{Batch, Outcome, Recovery};
use gaugestand_idempotency::sqlite::Options;
use std::fmt::Debug;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::Path;

/// A readiness event: a source that this iteration has to handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// The key under which the source was registered.
    pub key: usize,
    /// Bytes, an end of stream or an error can be read.
    pub readable: bool,
    /// Bytes can be written, or there is an error.
    pub writable: bool,
}

/// The system that a node runs on. Every source is non-blocking and registered with the poller, level-triggered, under the
/// key that it was created with, for as long as it lives.
pub trait System: Clone + Debug {
    /// A connection.
    type Stream: Stream;
    /// A listening socket.
    type Listener: Listener<Stream = Self::Stream>;
    /// A datagram socket for membership reports.
    type Datagram: Datagram;
    /// Becomes readable when a signal has arrived; the bytes carry no information.
    type Signals: Read + Debug;
    /// A worker thread that does the blocking work of a store.
    type Worker: Worker;

    /// A link to another process of this node.
    type HandoverLink: HandoverLink<Stream = Self::Stream, Listener = Self::Listener>;
    /// Where other processes of this node connect.
    type HandoverListener: Listener<Stream = Self::HandoverLink>;
    /// The lock that makes this process the active one; released when dropped.
    type ServiceLock: ServiceLock;

    /// The time on both clocks; the monotonic one starts well above zero.
    fn moment(&self) -> Moment;
    /// Listens.
    ///
    /// # Errors
    /// The system refuses the address, for example as another process listens there or it is not of this
    /// machine.
    fn listen(&self, at: SocketAddr, key: usize) -> io::Result<Self::Listener>;
    /// Begins to connect; the stream is ready for writing once it is connected or has failed.
    ///
    /// # Errors
    /// The system cannot begin to connect. A connection that fails later shows in [`Stream::is_connected`].
    fn connect(&self, to: SocketAddr, key: usize) -> io::Result<Self::Stream>;
    /// A datagram socket that sends to this address.
    ///
    /// # Errors
    /// The system has no socket for it.
    fn datagram(&self, to: SocketAddr) -> io::Result<Self::Datagram>;
    /// Registers these signals under this key.
    ///
    /// # Errors
    /// A signal handler cannot be registered; the signal would then have its default effect.
    fn signals(&self, key: usize, signals: &[i32]) -> io::Result<Self::Signals>;
    /// Opens an idempotency store in a file and reads what an earlier process left in it, `max_rows` at most.
    ///
    /// # Errors
    /// The file cannot be opened, is in use by another process, or is damaged (see [`OpenError`]), or the
    /// worker's thread cannot be started.
    fn open_idempotency_store(
        &self,
        path: &Path,
        options: &Options,
        max_rows: usize,
        key: usize,
    ) -> Result<(Self::Worker, Recovery), OpenError>;
    /// Opens the consensus log in a file that belongs to this owner, and reads what an earlier process left in it.
    ///
    /// # Errors
    /// The file cannot be opened, is in use, belongs to another owner or is damaged (see [`OpenError`]), or
    /// the worker's thread cannot be started.
    fn open_consensus_log(
        &self,
        path: &Path,
        owner: &str,
        key: usize,
    ) -> Result<(Self::Worker, RecoveredLog), OpenError>;
    /// Listens for other processes of this node, in place of a socket that nobody answers at.
    ///
    /// # Errors
    /// The path cannot be used; [`io::ErrorKind::PermissionDenied`] if it belongs to another user.
    fn listen_for_handover(&self, path: &Path, key: usize) -> io::Result<Self::HandoverListener>;
    /// Connects to another process of this node.
    ///
    /// # Errors
    /// No process listens at the path; [`io::ErrorKind::PermissionDenied`] if it, or the process there, is
    /// another user's.
    fn connect_for_handover(&self, path: &Path, key: usize) -> io::Result<Self::HandoverLink>;
    /// Acquires the service lock at this path, unless another process holds it. The operating system releases it when
    /// this process dies.
    ///
    /// # Errors
    /// The lock file cannot be opened or locked; [`io::ErrorKind::PermissionDenied`] if it is another user's.
    /// That another process holds the lock is `None`, not an error.
    fn try_service_lock(&self, path: &Path) -> io::Result<Option<Self::ServiceLock>>;
    /// From now on the monotonic clock is that of another process, which read both clocks as `other` a moment ago. It never
    /// goes back.
    fn align_clock(&self, other: Moment);
    /// Waits until a source is ready, or for `timeout`; replaces the content of `ready`.
    ///
    /// # Errors
    /// The poller fails. An interruption by a signal is no error; it ends the wait early.
    fn wait(&self, timeout: Micros, ready: &mut Vec<Ready>) -> io::Result<()>;
}

/// A connection.
pub trait Stream: Read + Write + Debug {
    /// Changes the readiness that is reported for it.
    ///
    /// # Errors
    /// The poller does not accept the change; the stream is watched as before.
    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()>;
    /// Whether a connection attempt has succeeded; meaningful once the stream is ready.
    fn is_connected(&self) -> bool;
    /// Whether bytes can be read; an end of stream does not count.
    fn has_unread(&self) -> bool;
    /// Shuts the write side, after all that was written; the other side's bytes can still be read.
    ///
    /// # Errors
    /// The connection is gone already; it can only be closed.
    fn shut_writing(&mut self) -> io::Result<()>;
}

/// A listening socket.
pub trait Listener: Debug {
    /// An accepted connection.
    type Stream;
    /// Accepts the next connection and registers it for reading under this key.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if no connection waits, and [`io::ErrorKind::ConnectionAborted`] if this
    /// one is lost but the next may succeed. Other errors are a lack of resources, such as descriptors, and
    /// should be retried later.
    fn accept(&self, key: usize) -> io::Result<Self::Stream>;
    /// Changes whether waiting connections are reported.
    ///
    /// # Errors
    /// The poller does not accept the change; the listener is watched as before.
    fn watch(&mut self, reading: bool) -> io::Result<()>;
    /// The address it listens at.
    fn address(&self) -> Option<SocketAddr>;
}

/// A datagram socket.
pub trait Datagram: Debug {
    /// Sends a datagram; there is no acknowledgement.
    ///
    /// # Errors
    /// The system did not take the datagram; it is lost.
    fn send(&self, bytes: &[u8]) -> io::Result<()>;
}

/// A worker thread that does the blocking work of a store, off the event loop.
pub trait Worker: Debug {
    /// Queues a batch; gives it back if the queue is full.
    ///
    /// # Errors
    /// The batch itself if the queue is full; none of it was done, and it can be submitted again later.
    fn submit(&mut self, batch: Batch) -> Result<(), Batch>;
    /// The next outcome, if there is one.
    fn outcome(&mut self) -> Option<(u64, Outcome)>;
    /// Whether its thread has ended: it can do no more work.
    fn is_dead(&self) -> bool;
    /// Drains the wake-up that announced an outcome.
    fn drain_wakeups(&mut self);
}

/// A link to another process of this node: a stream of bytes, with sockets that are passed along.
pub trait HandoverLink: Debug {
    /// Connections that can be passed.
    type Stream;
    /// Listening sockets that can be passed.
    type Listener;
    /// Sends bytes, and a socket with the first of them; returns how many bytes were sent.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if the system takes nothing at present, neither bytes nor socket; other
    /// errors mean that the link is lost.
    fn send(
        &mut self,
        bytes: &[u8],
        socket: PassedSocket<'_, Self::Stream, Self::Listener>,
    ) -> io::Result<usize>;
    /// Reads bytes; sockets that come along are kept in order until they are taken.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if nothing has arrived, and [`io::ErrorKind::InvalidData`] if the system
    /// dropped sockets on the way: they can no longer be matched to frames. Other errors mean that the link
    /// is lost.
    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Takes the next socket that was received, as a connection watched for reading under this key.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] if no received socket is left; else the system cannot watch it, and it
    /// is closed in this process.
    fn take_stream(&mut self, key: usize) -> io::Result<Self::Stream>;
    /// Takes the next socket that was received, as a listener that is not watched yet.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] if no received socket is left; else the system cannot use it, and it is
    /// closed in this process.
    fn take_listener(&mut self, key: usize) -> io::Result<Self::Listener>;
    /// Changes what the link is watched for.
    ///
    /// # Errors
    /// The poller does not accept the change; the link is watched as before.
    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()>;
}

/// A socket that is passed along with bytes. It stays open in this process too.
#[derive(Debug)]
pub enum PassedSocket<'a, S, L> {
    /// None.
    None,
    /// A connection.
    Stream(&'a S),
    /// A listening socket.
    Listener(&'a L),
}

/// The lock that makes a process the active one of its node.
///
/// Generation marks outlast its holder. A predecessor sends their number with its state, and adds one if it reclaims the
/// lock afterwards: a successor that finds more marks than it was sent knows that the state is out of date.
pub trait ServiceLock: Debug {
    /// The number of generation marks.
    ///
    /// # Errors
    /// The number cannot be read. State that depends on it has to be treated as out of date.
    fn generation_marks(&self) -> io::Result<u64>;
    /// Adds one.
    ///
    /// # Errors
    /// The mark cannot be stored, for example on a full disk: a successor cannot tell that its state is out
    /// of date.
    fn add_generation_mark(&self) -> io::Result<()>;
}
