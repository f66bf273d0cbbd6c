//! One link to another process: frames are queued, written as the system takes them, and read whole.

use super::frame::{self, DecodedFrame, Frame, FrameError};
use crate::connections::ConnectionId;
use crate::io::{HandoverLink as _, PassedSocket, System};
use std::collections::VecDeque;
use std::io;

/// What each side sends first. The number is the protocol's version: another one breaks the link.
pub const PROTOCOL: &[u8; 8] = b"gskin-3\n";
/// Keys in one frame: few enough that encoding one does not delay requests.
pub const KEYS_PER_FRAME: usize = 64;
/// Bytes read in one iteration of the event loop, so that a long series of frames does not delay requests.
const MAX_BYTES_PER_ITERATION: usize = 256 * 1024;
/// Bytes of one read.
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// Bytes that may be queued before replication pauses: it bounds the memory that a slow reader takes.
const MAX_QUEUED_BYTES: usize = 256 * 1024;

/// The socket that is passed with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttachedSocket {
    /// None.
    None,
    /// The listening socket.
    Listener,
    /// That of a connection.
    Connection(ConnectionId),
}

/// Why a link cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The system reports an error, or the other side is gone.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The other side does not speak this version of the protocol.
    #[error("the other process speaks another version")]
    OtherVersion,
    /// What it sent is not a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// It sent a frame that makes no sense at this point.
    #[error("a frame out of order")]
    OutOfOrder,
    /// The connection whose socket was to be passed has been closed.
    #[error("a socket that is gone")]
    SocketGone,
}

impl LinkError {
    /// Whether the processes do not understand each other; otherwise the link was merely lost.
    pub fn is_protocol_error(&self) -> bool {
        !matches!(self, LinkError::Io(_))
    }
}

/// A frame that waits to be written.
#[derive(Debug)]
struct QueuedFrame {
    bytes: Vec<u8>,
    socket: AttachedSocket,
}

/// The complete frames that a link had.
#[derive(Debug)]
pub struct ReceivedFrames {
    /// The frames, in order.
    pub frames: Vec<Frame>,
    /// Whether something that is not a frame follows them.
    pub end: Result<(), LinkError>,
}

/// One link to another process.
#[derive(Debug)]
pub struct FramedLink<S: System> {
    link: S::HandoverLink,
    input: Vec<u8>,
    /// The other side's protocol version was read.
    greeted: bool,
    queue: VecDeque<QueuedFrame>,
    /// Bytes of the first queued frame that were written.
    written: usize,
    /// Bytes in the queue that were not written.
    queued_bytes: usize,
}

impl<S: System> FramedLink<S> {
    /// A link that was just made.
    pub fn new(link: S::HandoverLink) -> Self {
        let greeting = QueuedFrame { bytes: PROTOCOL.to_vec(), socket: AttachedSocket::None };
        FramedLink {
            link,
            input: Vec::new(),
            greeted: false,
            queue: VecDeque::from([greeting]),
            written: 0,
            queued_bytes: PROTOCOL.len(),
        }
    }

    /// Queues a frame, and the socket that goes with it.
    pub fn queue(&mut self, frame: &Frame, socket: AttachedSocket) {
        if let Some(bytes) = frame::encode(frame) {
            self.queued_bytes += bytes.len();
            self.queue.push_back(QueuedFrame { bytes, socket });
        }
    }

    /// Whether more keys may be queued.
    pub fn has_room(&self) -> bool {
        self.queued_bytes < MAX_QUEUED_BYTES
    }

    /// Whether the system has taken everything that was queued.
    pub fn is_flushed(&self) -> bool {
        self.queue.is_empty()
    }

    /// Writes what the system takes; `find_socket` finds the sockets that go along.
    ///
    /// # Errors
    /// [`LinkError::SocketGone`] if a connection that was to be passed has been closed, and [`LinkError::Io`]
    /// if the other process is gone. The link cannot go on; queued frames may not have been delivered.
    pub fn flush<'a>(
        &mut self,
        find_socket: impl Fn(AttachedSocket) -> Option<PassedSocket<'a, S::Stream, S::Listener>>,
    ) -> Result<(), LinkError>
    where
        S: 'a,
    {
        while let Some(QueuedFrame { bytes, socket }) = self.queue.front() {
            let passed = match self.written {
                0 => find_socket(*socket).ok_or(LinkError::SocketGone)?,
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

    /// Reads what has arrived, up to a bound; returns the number of bytes. An error does not lose complete frames that were
    /// read before it: [`FramedLink::next_frame`] still returns them.
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

    /// All complete frames that were read.
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

    /// The next complete frame.
    ///
    /// # Errors
    /// [`LinkError::OtherVersion`] if the other process does not speak this protocol, and
    /// [`LinkError::Frame`] if it sent something that is not a frame. The link cannot go on.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, LinkError> {
        if !self.greeted && !self.read_greeting()? {
            return Ok(None);
        }
        let Some(DecodedFrame { frame, consumed }) = frame::decode(&self.input)? else { return Ok(None) };
        self.input.drain(..consumed);
        Ok(Some(frame))
    }

    /// Reads the other side's protocol version; false if it has not arrived whole.
    fn read_greeting(&mut self) -> Result<bool, LinkError> {
        let length = self.input.len().min(PROTOCOL.len());
        if self.input[..length] != PROTOCOL[..length] {
            return Err(LinkError::OtherVersion);
        }
        if length < PROTOCOL.len() {
            return Ok(false);
        }
        self.input.drain(..length);
        self.greeted = true;
        Ok(true)
    }

    /// Takes the next socket that was received, as a connection watched under this key.
    ///
    /// # Errors
    /// [`LinkError::Io`] if no socket came with the frame, or the system cannot watch it. The connection
    /// cannot be served here.
    pub fn take_stream(&mut self, key: usize) -> Result<S::Stream, LinkError> {
        Ok(self.link.take_stream(key)?)
    }

    /// Takes the next socket that was received, as a listener that is not watched yet.
    ///
    /// # Errors
    /// [`LinkError::Io`] if no socket came with the frame, or the system cannot watch it. This process cannot
    /// accept connections through it.
    pub fn take_listener(&mut self, key: usize) -> Result<S::Listener, LinkError> {
        Ok(self.link.take_listener(key)?)
    }
}
