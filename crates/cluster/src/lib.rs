//! What the nodes of one fleet agree on, and when each of them may act on it.
//!
//! Pure: times are arguments, messages and writes go out as values, and nothing here owns a socket, a file or a thread.
//! [`accord`] drives the log ([`shelf`] in memory) and proposals, [`effect`] says when a node may act on a version, [`differ`]
//! whether two of them contradict each other, [`gate`] what a request gets, [`members`] who is in the fleet, [`sound`] whether a version would do; [`wire`] is what nodes say. The design is
//! `docs/design/fleet.md`.
#![forbid(unsafe_code)]

pub mod accord;
pub mod differ;
pub mod effect;
pub mod gate;
pub mod members;
pub mod shelf;
pub mod sound;
pub mod wire;
