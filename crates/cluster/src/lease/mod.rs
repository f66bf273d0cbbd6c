//! When a node may act on a committed version: activation delay and leases.
//!
//! Guarantee: no node acts on a version after another node has begun to act on a later, conflicting one, whatever is
//! partitioned, paused or restarted, as long as no two monotonic clocks drift apart by more than the configured bound.
//! It does not cover what a process does between reading its clock and acting: that is one iteration of its event loop.
//!
//! The rules:
//!
//! - **Lease.** A node acts on a version only while it holds a lease, granted by a quorum of that version's voters. The
//!   lease lasts [`LeaseConfig::duration`] from when it was *requested*, by the requester's clock.
//! - **Grant.** A node grants a lease of a version unless its log holds a later version, committed or not.
//! - **Activation.** A node activates a committed version [`LeaseConfig::activation_delay`] after it learned of the
//!   commit: by then, by any clock within the drift bound, all leases of earlier versions have expired. A version that is
//!   compatible with its predecessor is activated at once, and leases of that predecessor count for it.
//!
//! Why they suffice: a version is committed once a majority stores it, so of each quorum that granted a lease of an earlier
//! version one node did so before the commit. Every such lease was therefore requested before the commit, and has expired
//! at the end of the activation delay. Voters change by one node a version at most: a version is committed by the voters of
//! its predecessor and leased by its own, and majorities of two sets in a row have a node in common.

mod activation;
mod config;
mod defect;

pub use activation::{Activation, ActiveVersion, Command, Event, Lease};
pub use config::{LeaseConfig, LeaseConfigError};
pub use defect::Defect;
