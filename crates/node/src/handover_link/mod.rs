//! The protocol between two processes of one node: frames on a link that also passes sockets.
//!
//! Each side first sends [`PROTOCOL`], then frames: a length of four bytes, big-endian, and one [`Frame`] in
//! CBOR. Frames carry serde's field and variant names, which are therefore part of the protocol: a field or
//! variant that is renamed in the code keeps its name in the frames.
//!
//! Only complete frames are decoded: a truncated frame waits for its remaining bytes, and a damaged one is a
//! [`FrameError`]. Which process is active, and when that changes, is decided by
//! [`gaugestand_admission::handover`].

mod frame;
mod link;

pub use frame::{AttemptState, DecodedFrame, FinalState, Frame, FrameError, decode};
pub use link::{AttachedSocket, FramedLink, KEYS_PER_FRAME, LinkError, PROTOCOL, ReceivedFrames};
