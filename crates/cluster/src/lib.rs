//! Replicated settings of a cluster of nodes: which versions are committed, and when each node may act on
//! one.
//!
//! Guarantees: a version number identifies exactly one content; a committed version stays committed as long
//! as the disks of a majority of the voters retain the records that they reported as durable; no two nodes
//! act on conflicting versions at the same time, as long as the drift of their monotonic clocks stays within
//! the configured bound. The crate performs no I/O: time is passed in as an argument, messages and disk
//! writes are returned as values, and nothing here owns a socket, a file or a thread.
//!
//! - [`consensus`] drives the replicated log (raft), which [`log_storage`] holds, and handles proposals.
//! - [`lease`] decides when a node may act on a committed version.
//! - [`diff`] compares two versions and says whether nodes may act on both at the same time.
//! - [`version_gate`] decides whether a request may go on to admission control under the active version.
//! - [`membership`] defines which nodes belong to the cluster, and [`voters`] which of them vote.
//! - [`validation`] checks whether a node could act on a proposed version.
//! - [`wire`] defines the messages between nodes and the stored log entries.
//!
//! The design is described in `docs/design/fleet.md`. The operators' setting and sub-command for a cluster
//! are called `fleet`.
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

/// Number of a node in its cluster. The membership assigns each number once, and never again after the node
/// was removed.
pub type NodeId = u8;
/// Number of a version of the agreed settings. Each number is committed at most once; 0 means that there is
/// no version yet.
pub type Version = u64;
