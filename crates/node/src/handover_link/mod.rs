//! The protocol between two processes of one node: frames on a link that also passes sockets.
//!
//! Each side first sends [`PROTOCOL`], then frames: a length of four bytes, big-endian, and one [`Frame`] in CBOR. Frames
//! carry serde's field and variant names, which are therefore part of the protocol: a renamed one keeps its name there.
//!
//! A link is read whole or not at all: a truncated frame waits for its rest, and a damaged one is a [`FrameError`]. Which
//! process is active, and when that changes, is decided by [`gaugestand_admission::handover`].

mod frame;
mod link;

pub use frame::{DecodedFrame, FinalState, Frame, FrameError, FrontAttempt, decode};
pub use link::{AttachedSocket, FramedLink, KEYS_PER_FRAME, LinkError, PROTOCOL, ReceivedFrames};
