//! The interface between the node and the operating system: every input and output goes through the trait
//! [`System`].
//!
//! [`real::OsSystem`] is the real operating system; the simulation puts a simulated one in its place. The
//! type is chosen where the node is started, and nothing else in the node depends on it.

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
    /// Whether a read would return bytes, an end of stream or an error.
    pub readable: bool,
    /// Whether a write would take bytes or return an error.
    pub writable: bool,
    /// Whether the connection has failed: the other side has reset it, so nothing can be sent any more. Bytes
    /// that arrived before may still be readable.
    pub failed: bool,
}

/// The operating system that a node runs on. Every source (a stream, a listener, the signals, a worker) is
/// non-blocking. A source is registered with the poller, level-triggered, under the key that it was created
/// with, for as long as it lives.
pub trait System: Clone + Debug {
    /// A TCP connection.
    type Stream: Stream;
    /// A listening TCP socket.
    type Listener: Listener<Stream = Self::Stream>;
    /// A datagram socket for membership reports.
    type Datagram: Datagram;
    /// A source that becomes readable when a signal has arrived; its bytes carry no information.
    type Signals: Read + Debug;
    /// A worker thread that does the blocking work of the idempotency store or of the consensus log.
    type Worker: Worker;

    /// A connection to another process of this node, used for a hand-over.
    type HandoverLink: HandoverLink<Stream = Self::Stream, Listener = Self::Listener>;
    /// A listening socket that other processes of this node connect to for a hand-over.
    type HandoverListener: Listener<Stream = Self::HandoverLink>;
    /// The lock that makes this process the active one of its node; released when dropped.
    type ServiceLock: ServiceLock;

    /// Reads the monotonic clock and Unix time. The monotonic clock starts well above zero (see
    /// [`clock::ORIGIN`]).
    fn moment(&self) -> Moment;
    /// Listens for connections at the address `at`.
    ///
    /// # Errors
    /// The system refuses the address, for example because another process listens there or because this
    /// machine does not have the address.
    fn listen(&self, at: SocketAddr, key: usize) -> io::Result<Self::Listener>;
    /// Begins to connect to the address `to`. The stream is reported as ready for writing once it is
    /// connected or has failed.
    ///
    /// # Errors
    /// The system cannot begin to connect. For a connection that fails later, [`Stream::is_connected`]
    /// returns false.
    fn connect(&self, to: SocketAddr, key: usize) -> io::Result<Self::Stream>;
    /// Creates a datagram socket that sends to the address `to`.
    ///
    /// # Errors
    /// The system cannot create the socket.
    fn datagram(&self, to: SocketAddr) -> io::Result<Self::Datagram>;
    /// Registers handlers for these signals. The source that is returned becomes readable when one of them
    /// arrives.
    ///
    /// # Errors
    /// A signal handler cannot be registered; the signal would then have its default effect.
    fn signals(&self, key: usize, signals: &[i32]) -> io::Result<Self::Signals>;
    /// Opens the idempotency store in the file at `path` and reads the rows that an earlier process left in
    /// it, `max_rows` at most.
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
    /// Opens the consensus log in the file at `path`, which belongs to the node and cluster that `owner`
    /// names, and reads the records that an earlier process left in it.
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
    /// Listens at `path` for other processes of this node, in place of a socket file that an earlier process
    /// left there.
    ///
    /// # Errors
    /// The path cannot be used; [`io::ErrorKind::PermissionDenied`] if it belongs to another user.
    fn listen_for_handover(&self, path: &Path, key: usize) -> io::Result<Self::HandoverListener>;
    /// Connects to the process of this node that listens at `path`.
    ///
    /// # Errors
    /// No process listens at the path; [`io::ErrorKind::PermissionDenied`] if the path, or the process that
    /// listens there, belongs to another user.
    fn connect_for_handover(&self, path: &Path, key: usize) -> io::Result<Self::HandoverLink>;
    /// Acquires the service lock at this path, unless another process holds it. The operating system releases
    /// it when this process dies.
    ///
    /// # Errors
    /// The lock file cannot be opened or locked; [`io::ErrorKind::PermissionDenied`] if it belongs to
    /// another user. If another process holds the lock, the result is `None` and not an error.
    fn try_service_lock(&self, path: &Path) -> io::Result<Option<Self::ServiceLock>>;
    /// Moves the monotonic clock forward to that of another process, which read both of its clocks as `other`
    /// shortly before. Changes nothing if that clock is behind: the monotonic clock never goes back.
    fn align_clock(&self, other: Moment);
    /// Waits until a source is ready, for `timeout` at most, and replaces the content of `ready` with the
    /// events.
    ///
    /// # Errors
    /// The poller fails. An interruption by a signal is not an error; it ends the wait early.
    fn wait(&self, timeout: Micros, ready: &mut Vec<Ready>) -> io::Result<()>;
}

/// A TCP connection that the poller watches.
pub trait Stream: Read + Write + Debug {
    /// Sets whether readiness to read and to write is reported for this connection.
    ///
    /// # Errors
    /// The poller does not accept the change; the stream is watched as before.
    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()>;
    /// Whether the attempt to connect has succeeded. The result has a meaning only once the stream was
    /// reported as ready.
    fn is_connected(&self) -> bool;
    /// Whether received bytes wait to be read; an end of stream does not count.
    fn has_unread(&self) -> bool;
    /// Shuts down the write side after all bytes written so far; bytes from the other side can still be read.
    ///
    /// # Errors
    /// The connection is already lost; it can only be closed.
    fn shut_writing(&mut self) -> io::Result<()>;
}

/// A listening socket that the poller watches.
pub trait Listener: Debug {
    /// The type of the connections that the socket accepts.
    type Stream;
    /// Accepts the next connection and registers it for reading under this key.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if no connection waits, and [`io::ErrorKind::ConnectionAborted`] if the
    /// next connection was lost; the one after it may succeed. Other errors mean a lack of resources, such as
    /// descriptors: the call should be repeated later.
    fn accept(&self, key: usize) -> io::Result<Self::Stream>;
    /// Changes whether waiting connections are reported.
    ///
    /// # Errors
    /// The poller does not accept the change; the listener is watched as before.
    fn watch(&mut self, reading: bool) -> io::Result<()>;
    /// The TCP address that the socket listens at; `None` for a Unix socket, or if the system cannot tell it.
    fn address(&self) -> Option<SocketAddr>;
}

/// A datagram socket that sends to one address.
pub trait Datagram: Debug {
    /// Sends a datagram; there is no acknowledgement.
    ///
    /// # Errors
    /// The system did not take the datagram; it is lost.
    fn send(&self, bytes: &[u8]) -> io::Result<()>;
}

/// A worker thread that does the blocking work of the idempotency store or of the consensus log, so that the
/// event loop never blocks on it.
pub trait Worker: Debug {
    /// Queues a batch for the worker thread.
    ///
    /// # Errors
    /// The batch itself if the queue is full; none of it was done, and it can be submitted again later.
    fn submit(&mut self, batch: Batch) -> Result<(), Batch>;
    /// Takes the number and the outcome of the next completed batch; `None` if there is none.
    fn outcome(&mut self) -> Option<(u64, Outcome)>;
    /// Whether the worker thread has ended, so that it can do no more work.
    fn is_dead(&self) -> bool;
    /// Reads and discards the bytes by which the worker thread announced outcomes. Until then the poller
    /// reports the worker as ready.
    fn drain_wakeups(&mut self);
}

/// A connection between two processes of one node: a stream of bytes with which sockets can be passed along.
pub trait HandoverLink: Debug {
    /// The type of the connections that can be passed.
    type Stream;
    /// The type of the listening sockets that can be passed.
    type Listener;
    /// Sends bytes, and `socket` together with the first of them. Returns the number of bytes that were sent.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if the system takes nothing at present, neither bytes nor socket; other
    /// errors mean that the link is lost.
    fn send(
        &mut self,
        bytes: &[u8],
        socket: PassedSocket<'_, Self::Stream, Self::Listener>,
    ) -> io::Result<usize>;
    /// Reads bytes and returns their number. Sockets that were passed along with them are kept, in order,
    /// until they are taken.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if nothing has arrived, and [`io::ErrorKind::InvalidData`] if the system
    /// dropped passed sockets: the remaining ones can no longer be matched to frames. Other errors mean that
    /// the link is lost.
    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Takes the next socket that was received, as a connection that is watched for reading under `key`.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] if no received socket is left. Other errors mean that the system cannot
    /// watch the socket; it is then closed in this process.
    fn take_stream(&mut self, key: usize) -> io::Result<Self::Stream>;
    /// Takes the next socket that was received, as a listener that is registered under `key` and not yet
    /// watched for connections.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] if no received socket is left. Other errors mean that the system cannot
    /// use the socket; it is then closed in this process.
    fn take_listener(&mut self, key: usize) -> io::Result<Self::Listener>;
    /// Sets whether readiness to read and to write is reported for this link.
    ///
    /// # Errors
    /// The poller does not accept the change; the link is watched as before.
    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()>;
}

/// The socket that [`HandoverLink::send`] passes along with bytes. The socket stays open in this process too.
#[derive(Debug)]
pub enum PassedSocket<'a, S, L> {
    /// No socket is passed.
    None,
    /// A connection.
    Stream(&'a S),
    /// A listening socket.
    Listener(&'a L),
}

/// The service lock: the process that holds it is the active one of its node.
///
/// The lock also stores generation marks, which outlast its holder. A predecessor sends their number with its
/// state, and adds a mark if it reclaims the lock afterwards: a successor that finds more marks than the
/// number that it was sent knows that the state is out of date.
pub trait ServiceLock: Debug {
    /// Reads the number of generation marks.
    ///
    /// # Errors
    /// The number cannot be read. State that depends on it has to be treated as out of date.
    fn generation_marks(&self) -> io::Result<u64>;
    /// Adds one generation mark.
    ///
    /// # Errors
    /// The mark cannot be stored, for example on a full disk. A successor then cannot tell that its state is
    /// out of date.
    fn add_generation_mark(&self) -> io::Result<()>;
}
