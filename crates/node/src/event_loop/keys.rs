//! Keys under which the loop's sources are registered with the poller.
//!
//! A key identifies the component that a readiness event belongs to. Single sources have a key each; components with several
//! sources have a range, whose size is bounded by that component. Gateways' connections come last and have no bound here.

use crate::{admin, peers, store};

/// Gateways' connections come in.
pub(super) const GATEWAY_LISTENER: usize = 0;
/// The link to the kernel.
pub(super) const KERNEL: usize = 1;
/// SIGTERM and SIGINT: drain and end.
pub(super) const TERMINATION: usize = 2;
/// SIGUSR1: print the counters.
pub(super) const PRINT_COUNTERS: usize = 3;
/// SIGHUP: read the configuration again.
pub(super) const RELOAD: usize = 4;
/// The worker or connection of the idempotency store.
pub(super) const IDEMPOTENCY_STORE: usize = 5;
/// Operators' connections come in.
pub(super) const ADMIN_LISTENER: usize = 6;
/// Links of successor processes come in.
pub(super) const HANDOVER_LISTENER: usize = 7;
/// The hand-over link to the process before this one.
pub(super) const PREDECESSOR: usize = 8;
/// The hand-over link to the process after this one.
pub(super) const SUCCESSOR: usize = 9;
/// A second successor, closed at once.
pub(super) const EXCESS_SUCCESSOR: usize = 10;
/// The worker that writes the consensus log.
pub(super) const CONSENSUS_LOG: usize = 11;
/// First of the kernels whose runs were taken over from earlier processes, up to [`FIRST_ADMIN_CALLER`].
pub(super) const FIRST_INHERITED_KERNEL: usize = 12;
/// First of the operators' connections.
pub(super) const FIRST_ADMIN_CALLER: usize = 16;
/// First of the connections to the store that serves outbound calls.
pub(super) const FIRST_STORE_CONNECTION: usize = FIRST_ADMIN_CALLER + admin::MAX_CALLERS;
/// Connections of the cluster's other nodes come in.
pub(super) const PEER_LISTENER: usize = FIRST_STORE_CONNECTION + store::MAX_CONNECTIONS;
/// First of the connections with other nodes.
pub(super) const FIRST_PEER: usize = PEER_LISTENER + 1;
/// First of the gateways' connections.
pub(super) const FIRST_CONNECTION: usize = FIRST_PEER + peers::KEYS;

/// Whether a key is that of a kernel taken over from an earlier process.
pub(super) fn is_inherited_kernel(key: usize) -> bool {
    (FIRST_INHERITED_KERNEL..FIRST_ADMIN_CALLER).contains(&key)
}
