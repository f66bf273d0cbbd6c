//! A hand-over link to another process of the node: frames are queued and written as the system accepts them,
//! and received frames are returned once they are complete.

use super::frame::{self, DecodedFrame, Frame, FrameError};
use crate::connections::ConnectionId;
use crate::io::{HandoverLink as _, PassedSocket, System};
use std::collections::VecDeque;
use std::io;

/// Bytes that each side sends first. The number is the protocol's version: a side that reads another version
/// closes the link.
pub const PROTOCOL: &[u8; 8] = b"gskin-3\n";
/// Maximum number of keys in one frame: few enough that encoding a frame does not delay requests.
pub const KEYS_PER_FRAME: usize = 64;
/// Number of bytes after which one iteration of the event loop stops reading from a link, so that a long
/// series of frames does not delay requests.
const MAX_BYTES_PER_ITERATION: usize = 256 * 1024;
/// Size of the buffer of one read, in bytes.
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// Number of queued bytes from which on replication pauses. It bounds the memory that the queue takes if the
/// other side reads slowly.
const MAX_QUEUED_BYTES: usize = 256 * 1024;

/// The socket that is passed with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttachedSocket {
    /// The frame passes no socket.
    None,
    /// The listening socket for gateways.
    Listener,
    /// The socket of the gateway's connection with this id.
    Connection(ConnectionId),
}

/// Why a link cannot be used any longer.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The system reports an error, or the other process has closed the link.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The other process does not use this version of the protocol.
    #[error("the other process does not use this version of the hand-over protocol (gskin-3)")]
    VersionMismatch,
    /// The other process sent something that is not a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The other process sent a frame that is not allowed at this point of the hand-over.
    #[error("received a frame that is not allowed at this point of the hand-over")]
    UnexpectedFrame,
    /// The socket that was to be passed with a frame has been closed.
    #[error("the socket that was to be passed with a frame is closed")]
    SocketClosed,
}

impl LinkError {
    /// Whether the other process violated the protocol, or a socket to be passed was closed before: true for
    /// all errors except I/O errors, which only mean that the link was lost.
    pub fn is_protocol_error(&self) -> bool {
        !matches!(self, LinkError::Io(_))
    }
}

/// An encoded frame that waits to be written, with the socket that is passed with it.
#[derive(Debug)]
struct QueuedFrame {
    bytes: Vec<u8>,
    socket: AttachedSocket,
}

/// The complete frames that have been read from a link.
#[derive(Debug)]
pub struct ReceivedFrames {
    /// The frames, in the order in which they were sent.
    pub frames: Vec<Frame>,
    /// `Ok` if the bytes after these frames are the start of a frame or there are none; otherwise the reason
    /// why they cannot be a frame.
    pub end: Result<(), LinkError>,
}

/// A hand-over link to another process of the node.
#[derive(Debug)]
pub struct FramedLink<S: System> {
    link: S::HandoverLink,
    input: Vec<u8>,
    /// Whether the other side's protocol version has been read and equals [`PROTOCOL`].
    version_checked: bool,
    queue: VecDeque<QueuedFrame>,
    /// Number of bytes of the first queued frame that have been written.
    written: usize,
    /// Number of bytes in the queue that have not been written.
    queued_bytes: usize,
}

impl<S: System> FramedLink<S> {
    /// Wraps a link that was just made, and queues the protocol version as its first bytes.
    pub fn new(link: S::HandoverLink) -> Self {
        let version = QueuedFrame { bytes: PROTOCOL.to_vec(), socket: AttachedSocket::None };
        FramedLink {
            link,
            input: Vec::new(),
            version_checked: false,
            queue: VecDeque::from([version]),
            written: 0,
            queued_bytes: PROTOCOL.len(),
        }
    }

    /// Queues a frame, and the socket that is passed with the frame's first bytes.
    pub fn queue(&mut self, frame: &Frame, socket: AttachedSocket) {
        if let Some(bytes) = frame::encode(frame) {
            self.queued_bytes += bytes.len();
            self.queue.push_back(QueuedFrame { bytes, socket });
        }
    }

    /// Whether the queue is short enough that more keys may be queued.
    pub fn has_room(&self) -> bool {
        self.queued_bytes < MAX_QUEUED_BYTES
    }

    /// Whether the system has taken everything that was queued.
    pub fn is_flushed(&self) -> bool {
        self.queue.is_empty()
    }

    /// Writes as much of the queue as the system accepts. `find_socket` returns the socket to pass with a
    /// frame; none if that socket has been closed.
    ///
    /// # Errors
    /// [`LinkError::SocketClosed`] if a connection that was to be passed has been closed, and
    /// [`LinkError::Io`] if the other process is gone. The link cannot go on; queued frames may not have been
    /// delivered.
    pub fn flush<'a>(
        &mut self,
        find_socket: impl Fn(AttachedSocket) -> Option<PassedSocket<'a, S::Stream, S::Listener>>,
    ) -> Result<(), LinkError>
    where
        S: 'a,
    {
        while let Some(QueuedFrame { bytes, socket }) = self.queue.front() {
            let passed = match self.written {
                0 => find_socket(*socket).ok_or(LinkError::SocketClosed)?,
                _ => PassedSocket::None,
            };
            match self.link.send(bytes.get(self.written..).unwrap_or_default(), passed) {
                Ok(sent) => {
                    self.written += sent;
                    self.queued_bytes -= sent;
                    if self.written >= bytes.len() {
                        self.queue.pop_front();
                        self.written = 0;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(self.link.watch(true, !self.queue.is_empty())?)
    }

    /// Reads what has arrived, up to a limit for one iteration; returns the number of bytes. An error does
    /// not lose complete frames that were read before it: [`FramedLink::next_frame`] still returns them.
    ///
    /// # Errors
    /// [`LinkError::Io`] if the other process has closed the link ([`io::ErrorKind::UnexpectedEof`]), the
    /// system reports an error, or a passed socket was lost on the way.
    pub fn read(&mut self) -> Result<usize, LinkError> {
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        let mut total = 0;
        while total < MAX_BYTES_PER_ITERATION {
            match self.link.receive(&mut chunk) {
                Ok(0) => return Err(LinkError::Io(io::ErrorKind::UnexpectedEof.into())),
                Ok(received) => {
                    total += received;
                    self.input.extend(&chunk[..received]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(total)
    }

    /// Takes all complete frames that have been read.
    pub fn next_frames(&mut self) -> ReceivedFrames {
        let mut frames = Vec::new();
        loop {
            match self.next_frame() {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => return ReceivedFrames { frames, end: Ok(()) },
                Err(error) => return ReceivedFrames { frames, end: Err(error) },
            }
        }
    }

    /// Takes the next complete frame; none if no frame is complete.
    ///
    /// # Errors
    /// [`LinkError::VersionMismatch`] if the other process does not speak this protocol, and
    /// [`LinkError::Frame`] if it sent something that is not a frame. The link cannot go on.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, LinkError> {
        if !self.version_checked && !self.check_version()? {
            return Ok(None);
        }
        let Some(DecodedFrame { frame, consumed }) = frame::decode(&self.input)? else { return Ok(None) };
        self.input.drain(..consumed);
        Ok(Some(frame))
    }

    /// Reads the other side's protocol version; false if it has not arrived completely.
    fn check_version(&mut self) -> Result<bool, LinkError> {
        let length = self.input.len().min(PROTOCOL.len());
        if self.input[..length] != PROTOCOL[..length] {
            return Err(LinkError::VersionMismatch);
        }
        if length < PROTOCOL.len() {
            return Ok(false);
        }
        self.input.drain(..length);
        self.version_checked = true;
        Ok(true)
    }

    /// Takes the next socket that was received, as a connection watched under this poller key.
    ///
    /// # Errors
    /// [`LinkError::Io`] if no socket came with the frame, or the system cannot watch it. The connection
    /// cannot be served here.
    pub fn take_stream(&mut self, key: usize) -> Result<S::Stream, LinkError> {
        Ok(self.link.take_stream(key)?)
    }

    /// Takes the next socket that was received, as a listener that is not watched yet. `key` is the poller
    /// key that it will be watched under.
    ///
    /// # Errors
    /// [`LinkError::Io`] if no socket came with the frame, or the system cannot watch it. This process cannot
    /// accept connections through it.
    pub fn take_listener(&mut self, key: usize) -> Result<S::Listener, LinkError> {
        Ok(self.link.take_listener(key)?)
    }
}
