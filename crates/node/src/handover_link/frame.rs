//! The frames of the hand-over protocol, and their encoding.

use crate::connections::{self, ConnectionId};
use crate::kernel;
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::{CallOutcome, EngineSnapshot};
use gaugestand_admission::time::{Micros, Moment};
use gaugestand_idempotency::ReplicatedEntry;
use serde::{Deserialize, Serialize};

/// The longest frame, in bytes. An engine with ten thousand open attempts takes a few megabytes; a longer frame is damaged,
/// and reading it would take the memory that the limit protects.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// The length before each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// One message between two processes of a node.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// From the predecessor, first, with its listening socket.
    Hello {
        /// Its clocks when it sent this.
        moment: Moment,
        /// The secret that fingerprints of bodies are made with.
        #[serde(rename = "secret")]
        fingerprint_secret: [u8; 32],
        /// It drains already: it will send keys and nothing else.
        #[serde(rename = "leaving")]
        draining: bool,
    },
    /// Keys as they are now.
    Keys(Vec<ReplicatedEntry>),
    /// All keys were sent. From now on a change of a key is sent before the command that it is about.
    #[serde(rename = "Synced")]
    KeysComplete,
    /// A connection, with its socket.
    #[serde(rename = "Conn")]
    Connection(Box<connections::ConnectionState>),
    /// An attempt that is open, or whose run continues.
    #[serde(rename = "Try")]
    Attempt(Box<FrontAttempt>),
    /// Everything else.
    #[serde(rename = "Rest")]
    FinalState(Box<FinalState>),
    /// The whole state was sent and the lock is free; it has this number of generation marks.
    #[serde(rename = "Over")]
    StateComplete(u64),
    /// From the successor: it is the active process.
    #[serde(rename = "Taken")]
    TakenOver,
    /// An outbound call that was made by the predecessor has ended: how, with which reply, after which time.
    #[serde(rename = "Called")]
    CallEnded(RequestId, CallOutcome, Option<Vec<u8>>, Micros),
    /// From the successor: abandon that outbound call.
    DropCall(RequestId),
}

/// What the front knows of an attempt: where to answer it, and what its run needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FrontAttempt {
    /// Its id.
    pub id: RequestId,
    /// The connection that it came on.
    pub conn: ConnectionId,
    /// Its FastCGI request id on that connection.
    pub fcgi: u16,
    /// Index of its class.
    pub class: usize,
    /// Its body, until its run starts.
    pub body: Vec<u8>,
    /// The body of the outbound call that its run waits for.
    pub call: Vec<u8>,
    /// The number of the kernel's notice that asked for that call.
    pub call_notice: u64,
    /// It was admitted and has not been answered.
    pub open: bool,
}

/// The state that is not sent piece by piece.
#[derive(Debug, Serialize, Deserialize)]
pub struct FinalState {
    /// The engine, with the controller in it.
    #[serde(rename = "facade")]
    pub engine: EngineSnapshot,
    /// Kernel links whose runs continue, the predecessor's own first.
    pub kernels: Vec<kernel::KernelSnapshot>,
    /// Attempts whose outbound calls were made by the predecessor, or by one before it, and have not ended.
    #[serde(rename = "calls")]
    pub outbound_calls: Vec<RequestId>,
    /// Names of the classes, by slot.
    #[serde(rename = "classes")]
    pub class_names: Vec<String>,
    /// How long connections may be idle.
    #[serde(rename = "idle")]
    pub idle_timeout: Option<Micros>,
}

/// Why bytes are not a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Its length is above the limit.
    #[error("a frame that is too long")]
    TooLong,
    /// It is not CBOR, or not a frame of this version.
    #[error("a frame that cannot be read")]
    Unreadable,
    /// Bytes follow the frame within its length.
    #[error("a frame with more behind it")]
    TrailingBytes,
}

/// A frame, and how many bytes it took with its length.
#[derive(Debug)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// Bytes to skip to the next one.
    pub consumed: usize,
}

/// Decodes the frame at the start of `buffer`; none if it is not complete.
///
/// # Errors
/// The length is above the limit ([`FrameError::TooLong`]), or the bytes are not exactly one frame of this
/// version. No later frame of the link can be relied on.
pub fn decode(buffer: &[u8]) -> Result<Option<DecodedFrame>, FrameError> {
    let Some((length, rest)) = buffer.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    let Some(mut bytes) = rest.get(..length) else { return Ok(None) };
    let frame = ciborium::from_reader(&mut bytes).map_err(|_| FrameError::Unreadable)?;
    if !bytes.is_empty() {
        return Err(FrameError::TrailingBytes);
    }
    Ok(Some(DecodedFrame { frame, consumed: LENGTH_BYTES + length }))
}

/// Encodes a frame with its length. None if it cannot be encoded, which no frame of the node's own is.
pub(super) fn encode(frame: &Frame) -> Option<Vec<u8>> {
    let mut bytes = vec![0; LENGTH_BYTES];
    ciborium::into_writer(frame, &mut bytes).ok()?;
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Some(bytes)
}
