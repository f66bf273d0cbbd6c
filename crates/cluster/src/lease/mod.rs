//! Decides when a node may act on a committed version, by leases and an activation delay.
//!
//! Guarantee: no node acts on a version after another node has begun to act on a later, conflicting version,
//! whichever nodes are partitioned, paused or restarted, as long as no two monotonic clocks drift apart by
//! more than the configured bound. The guarantee does not cover the time between a process reading its clock
//! and acting, which is one iteration of its event loop.
//!
//! The rules:
//!
//! - **Lease.** A node acts on a version only while it holds a lease that a quorum of that version's voters
//!   granted. The lease lasts [`LeaseConfig::duration`] from when it was *requested*, by the requester's
//!   clock.
//! - **Grant.** A node grants a lease of a version unless the granting node's log holds a later version,
//!   committed or not.
//! - **Activation.** A node activates a committed version [`LeaseConfig::activation_delay`] after the node
//!   learned of the commit. By that time all leases of earlier versions have expired, by any clock within the
//!   drift bound. A version that is compatible with its predecessor is activated at once, and leases of the
//!   predecessor are valid for it.
//!
//! Why these rules suffice: a version is committed once a majority stores it. Every quorum that granted a
//! lease of an earlier version therefore contains a node of that majority, and this node granted the lease
//! before it stored the new version. So every such lease was requested before the commit, and has expired at
//! the end of the activation delay. Consecutive versions differ by one voter at most: a version is committed
//! by the voters of its predecessor and leased by its own voters, and majorities of two consecutive voter
//! sets have a node in common.

mod activation;
mod config;
mod defect;

pub use activation::{Activation, ActiveVersion, Command, Event, Lease};
pub use config::{LeaseConfig, LeaseConfigError};
pub use defect::Defect;
