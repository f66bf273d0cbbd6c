//! The frames of the hand-over protocol, and their encoding.

use crate::connections::{self, ConnectionId};
use crate::kernel;
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::{CallOutcome, EngineSnapshot};
use gaugestand_admission::time::{Micros, Moment};
use gaugestand_idempotency::ReplicatedEntry;
use serde::{Deserialize, Serialize};

/// Maximum length of a frame, in bytes, without its length field. An engine with ten thousand open attempts
/// takes a few megabytes; a longer frame is damaged, and reading it would take the memory that the limit
/// protects.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Size of the length field before each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// One message between two processes of a node.
#[derive(Debug, Serialize, Deserialize)]
pub enum Frame {
    /// From the predecessor: its first frame, which passes its listening socket.
    Hello {
        /// Time on the predecessor's monotonic and wall clocks when it sent this frame.
        moment: Moment,
        /// Secret that fingerprints of request bodies are computed with.
        #[serde(rename = "secret")]
        fingerprint_secret: [u8; 32],
        /// Whether the predecessor drains already: it then sends keys and nothing else.
        #[serde(rename = "leaving")]
        draining: bool,
    },
    /// From the predecessor: idempotency keys in their current state.
    Keys(Vec<ReplicatedEntry>),
    /// From the predecessor: all keys were sent. From now on a change of a key is sent before the kernel is
    /// sent the command that the change concerns.
    #[serde(rename = "Synced")]
    KeysComplete,
    /// From the predecessor: a gateway's connection; the frame passes its socket.
    #[serde(rename = "Conn")]
    Connection(Box<connections::ConnectionState>),
    /// From the predecessor: an attempt that is open, or whose run continues.
    #[serde(rename = "Try")]
    Attempt(Box<AttemptState>),
    /// From the predecessor: the rest of its state.
    #[serde(rename = "Rest")]
    FinalState(Box<FinalState>),
    /// From the predecessor: its whole state was sent and the service lock is free. The lock then has this
    /// number of generation marks.
    #[serde(rename = "Over")]
    StateComplete(u64),
    /// From the successor: it has taken over and is the active process.
    #[serde(rename = "Taken")]
    TakenOver,
    /// From the predecessor: an outbound call that it, or a process before it, made for this attempt has
    /// ended. The fields are the attempt, the outcome, the store's reply if there is one, and the latency.
    #[serde(rename = "Called")]
    CallEnded(RequestId, CallOutcome, Option<Vec<u8>>, Micros),
    /// From the successor: abandon the outbound call of this attempt.
    DropCall(RequestId),
}

/// What the event loop knows of an attempt: where to answer it, and what its run needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptState {
    /// Id of the attempt, as the gateway sent it.
    pub id: RequestId,
    /// The gateway's connection that the attempt arrived on.
    #[serde(rename = "conn")]
    pub connection: ConnectionId,
    /// FastCGI request id of the attempt on that connection.
    #[serde(rename = "fcgi")]
    pub fcgi_id: u16,
    /// Slot of the attempt's class.
    pub class: usize,
    /// Request body; empty once the run has started.
    pub body: Vec<u8>,
    /// Body of the outbound call that the run waits for; empty if the run has requested none.
    #[serde(rename = "call")]
    pub call_body: Vec<u8>,
    /// Number of the kernel's notice that requested that call; 0 if the run has requested none.
    pub call_notice: u64,
    /// Whether the attempt was admitted and has not been answered.
    pub open: bool,
}

/// The part of the predecessor's state that is sent in a single frame.
#[derive(Debug, Serialize, Deserialize)]
pub struct FinalState {
    /// Snapshot of the engine, with the admission controller in it.
    #[serde(rename = "facade")]
    pub engine: EngineSnapshot,
    /// Snapshots of the kernel links whose runs continue; the predecessor's own link comes first.
    pub kernels: Vec<kernel::KernelSnapshot>,
    /// Attempts whose outbound calls were made by the predecessor, or by a process before it, and have not
    /// ended.
    #[serde(rename = "calls")]
    pub outbound_calls: Vec<RequestId>,
    /// Names of the classes, by slot.
    #[serde(rename = "classes")]
    pub class_names: Vec<String>,
    /// How long gateways' connections may be idle; none if the engine has set no limit.
    #[serde(rename = "idle")]
    pub idle_timeout: Option<Micros>,
}

/// Why received bytes cannot be decoded as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length of the frame is above the limit of 16 MiB.
    #[error("frame is longer than 16 MiB")]
    TooLong,
    /// The bytes are not CBOR, or not a frame of this version of the protocol.
    #[error("frame is not CBOR, or not one of this version of the hand-over protocol")]
    Unreadable,
    /// Bytes follow the encoded frame within the stated length.
    #[error("frame is shorter than its stated length")]
    TrailingBytes,
}

/// A decoded frame, and how many bytes its encoding took.
#[derive(Debug)]
pub struct DecodedFrame {
    /// The decoded frame.
    pub frame: Frame,
    /// Size of the encoded frame in bytes, with its length field: the next frame begins there.
    pub consumed: usize,
}

/// Decodes the frame at the start of `buffer`; none if the frame is not complete.
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

/// Encodes a frame, with its length field first. None if the frame cannot be encoded, which does not happen
/// with frames that the node makes.
pub(super) fn encode(frame: &Frame) -> Option<Vec<u8>> {
    let mut bytes = vec![0; LENGTH_BYTES];
    ciborium::into_writer(frame, &mut bytes).ok()?;
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Some(bytes)
}
