//! What the nodes of one fleet agree on, and when each of them may act on it.
//!
//! Pure: times are arguments, messages and writes go out as values, and nothing here owns a socket, a file or a thread.
//! [`consensus`] drives the log ([`log_storage`] in memory) and proposals, [`lease`] says when a node may act on a version, [`diff`]
//! whether two of them contradict each other, [`version_gate`] what a request gets, [`membership`] who is in the fleet, [`validation`] whether a version would do; [`wire`] is what nodes say. The design is
//! `docs/design/fleet.md`.
#![forbid(unsafe_code)]

pub mod consensus;
pub mod diff;
pub mod lease;
pub mod log_storage;
pub mod membership;
pub mod validation;
pub mod version_gate;
pub mod wire;
