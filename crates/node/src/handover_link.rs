//! What two processes of one node say to each other: frames of CBOR with a length before them, and sockets that go
//! along with some. Who is the node, and when that changes, is `gaugestand_admission::succession`'s.

use super::connections::{self, ConnectionId};
use super::io::{Kin, Passed, System};
use super::kernel;
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::{self, CallOutcome};
use gaugestand_admission::time::Micros;
use gaugestand_admission::time::Moment;
use gaugestand_idempotency::ReplicatedEntry;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;

/// What each side says first: another version is another word, and breaks the link.
pub const WORD: &[u8; 8] = b"gskin-3\n";
/// Longest frame; a engine with ten thousand tries takes a few megabytes.
const MOST_FRAME: usize = 16 << 20;
/// Most bytes read in one turn, so that a long row of frames leaves the loop responsive.
const MOST_READ: usize = 256 * 1024;
const CHUNK: usize = 64 * 1024;
/// Keys that go into one frame.
pub const KEYS: usize = 64;
/// Bytes that may wait before more keys are copied.
const ROOM: usize = 256 * 1024;

/// One thing said.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// From the elder, first, with the listening socket.
    Hello {
        /// Its clocks as it says so.
        moment: Moment,
        /// What bodies' fingerprints are made with.
        secret: [u8; 32],
        /// It drains already: it will hand nothing over but keys.
        leaving: bool,
    },
    /// Keys as they are now.
    Keys(Vec<ReplicatedEntry>),
    /// All keys were sent; from now on a change of one is sent before the command that it is about.
    Synced,
    /// A connection, with its socket.
    Conn(Box<connections::ConnectionState>),
    /// An open try, or one whose run goes on.
    #[serde(rename = "Try")]
    Attempt(Box<Place>),
    /// What is left.
    Rest(Box<Rest>),
    /// That was all: the claim is free, with so many marks on it.
    Over(u64),
    /// From the heir: it is the node.
    Taken,
    /// A call that was out at the elder has ended.
    Called(RequestId, CallOutcome, Option<Vec<u8>>, Micros),
    /// From the heir: give up that call.
    DropCall(RequestId),
}

/// Where a try came from and what its work needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Place {
    /// Its id.
    pub id: RequestId,
    /// The connection it came on.
    pub conn: ConnectionId,
    /// Its number there.
    pub fcgi: u16,
    /// Index of its class.
    pub class: usize,
    /// Its body, until it runs.
    pub body: Vec<u8>,
    /// The body of the call that its run waits for.
    pub call: Vec<u8>,
    /// The number of the notice that asked for it.
    pub call_notice: u64,
    /// It was taken and has not ended.
    pub open: bool,
}

/// All that is not sent piece by piece.
#[derive(Debug, Serialize, Deserialize)]
pub struct Rest {
    /// The engine, with the controller in it.
    #[serde(rename = "facade")]
    pub engine: engine::Snapshot,
    /// Kernels that tell of runs which go on, the elder's own first.
    pub kernels: Vec<kernel::KernelSnapshot>,
    /// Tries whose calls are out at the elder, or at one before it.
    pub calls: Vec<RequestId>,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// How long connections may be idle.
    pub idle: Option<Micros>,
}

/// A socket that goes with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum With {
    /// None.
    Nothing,
    /// The listening socket.
    Listener,
    /// That of a connection.
    Conn(ConnectionId),
}

/// Why a link to another process cannot go on.
#[derive(Debug)]
pub enum Broken {
    /// The system says so, or the other side is gone.
    Io(io::Error),
    /// It speaks another version, or what it says makes no sense.
    Framing(&'static str),
}

/// One link to another process.
#[derive(Debug)]
pub struct Wire<S: System> {
    kin: S::Kin,
    input: Vec<u8>,
    greeted: bool,
    output: VecDeque<(Vec<u8>, With)>,
    written: usize,
    waiting: usize,
}

impl<S: System> Wire<S> {
    /// A link that has just been made.
    pub fn new(kin: S::Kin) -> Self {
        let output = VecDeque::from([(WORD.to_vec(), With::Nothing)]);
        Wire { kin, input: Vec::new(), greeted: false, output, written: 0, waiting: WORD.len() }
    }

    /// Queues a frame.
    pub fn say(&mut self, frame: &Frame, with: With) {
        let mut bytes = vec![0; 4];
        // Writing to a Vec cannot fail, and all that is in a frame can be written.
        if ciborium::into_writer(frame, &mut bytes).is_ok() {
            let len = (bytes.len() - 4) as u32;
            bytes[..4].copy_from_slice(&len.to_be_bytes());
            self.waiting += bytes.len();
            self.output.push_back((bytes, with));
        }
    }

    /// Whether more keys may be copied.
    pub fn has_room(&self) -> bool {
        self.waiting < ROOM
    }

    /// Whether all that was said is with the system.
    pub fn is_written(&self) -> bool {
        self.output.is_empty()
    }

    /// Writes what can be written; `socket` finds what goes along.
    pub fn write<'a>(
        &mut self,
        socket: impl Fn(With) -> Option<Passed<'a, S::Stream, S::Listener>>,
    ) -> Result<(), Broken>
    where
        S: 'a,
    {
        while let Some((bytes, with)) = self.output.front() {
            let passed = match self.written {
                0 => socket(*with).ok_or(Broken::Framing("a socket that is gone"))?,
                _ => Passed::Nothing,
            };
            match self.kin.send(bytes.get(self.written..).unwrap_or_default(), passed) {
                Ok(n) => {
                    self.written += n;
                    self.waiting -= n;
                    if self.written >= bytes.len() {
                        self.output.pop_front();
                        self.written = 0;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(Broken::Io(e)),
            }
        }
        self.kin.watch(true, !self.output.is_empty()).map_err(Broken::Io)
    }

    /// Reads what is there, up to a bound; returns how much that was. Frames that were whole before the end come with [`Wire::next_frame`] all the
    /// same.
    pub fn read(&mut self) -> Result<usize, Broken> {
        let mut chunk = vec![0; CHUNK];
        let mut total = 0;
        while total < MOST_READ {
            match self.kin.receive(&mut chunk) {
                Ok(0) => return Err(Broken::Io(io::ErrorKind::UnexpectedEof.into())),
                Ok(n) => {
                    total += n;
                    self.input.extend(&chunk[..n]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(Broken::Io(e)),
            }
        }
        Ok(total)
    }

    /// The next whole frame.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Broken> {
        if !self.greeted {
            let n = self.input.len().min(WORD.len());
            if self.input[..n] != WORD[..n] {
                return Err(Broken::Framing("the other process speaks another version"));
            }
            if n < WORD.len() {
                return Ok(None);
            }
            self.input.drain(..n);
            self.greeted = true;
        }
        let (len, frame) = match frame(&self.input) {
            Ok(Some(found)) => found,
            Ok(None) => return Ok(None),
            Err(why) => return Err(Broken::Framing(why)),
        };
        self.input.drain(..len);
        Ok(Some(frame))
    }

    /// The next socket that came, as a connection watched under this key.
    pub fn take_stream(&mut self, key: usize) -> Result<S::Stream, Broken> {
        self.kin.take_stream(key).map_err(Broken::Io)
    }

    /// The next socket that came, as a listener that is not watched yet.
    pub fn take_listener(&mut self, key: usize) -> Result<S::Listener, Broken> {
        self.kin.take_listener(key).map_err(Broken::Io)
    }
}

/// Reads the frame at the start of `buf`, with its length.
pub fn frame(buf: &[u8]) -> Result<Option<(usize, Frame)>, &'static str> {
    let Some((len, rest)) = buf.split_first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*len) as usize;
    if len > MOST_FRAME {
        return Err("a frame that is too long");
    }
    let Some(bytes) = rest.get(..len) else { return Ok(None) };
    let mut left = bytes;
    let frame = ciborium::from_reader(&mut left).map_err(|_| "a frame that cannot be read")?;
    if left.is_empty() { Ok(Some((len + 4, frame))) } else { Err("a frame with more behind it") }
}

#[cfg(test)]
mod tests;
