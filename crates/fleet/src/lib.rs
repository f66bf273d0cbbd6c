//! What the nodes of one fleet agree on, and when each of them may act on it.
//!
//! Pure: times are arguments, messages and writes go out as values, and nothing here owns a socket, a file or a thread.
//! How versions come to be agreed is the log's, which is not here yet; [`effect`] says when a node may act on one, [`differ`]
//! whether two of them contradict each other. The design is `docs/design/fleet.md`.
#![forbid(unsafe_code)]

pub mod differ;
pub mod effect;
