//! Replicated settings of a cluster of nodes: which versions are committed, and when each node may act on one.
//!
//! Guarantees: a version number stands for one content only; what is committed stays committed while the disks of a
//! majority of the voters keep what they were asked to keep; no two nodes act on conflicting versions at a time, as long
//! as their clocks stay within the drift bound. The crate is pure: time is an argument, messages and disk writes are
//! returned as values, and nothing here owns a socket, a file or a thread.
//!
//! - [`consensus`] drives the replicated log (raft) and the proposals, over [`log_storage`].
//! - [`lease`] decides when a node may act on a committed version.
//! - [`diff`] compares two versions and says whether nodes may act on both at a time.
//! - [`version_gate`] decides what a request gets under the active version.
//! - [`membership`] keeps who belongs to the cluster, [`voters`] who of them votes.
//! - [`validation`] checks whether a node could act on a proposed version.
//! - [`wire`] defines the messages between nodes and the stored log entries.
//!
//! The design is `docs/design/fleet.md`; operators call a cluster a fleet.
#![forbid(unsafe_code)]

pub mod consensus;
pub mod diff;
pub mod lease;
pub mod log_storage;
pub mod membership;
pub mod validation;
pub mod version_gate;
pub mod voters;
pub mod wire;

/// The number of a node: assigned once, never reused after the node was removed.
pub type NodeId = u8;
/// The number of a version: each is committed once, and 0 stands for 'none yet'.
pub type Version = u64;
