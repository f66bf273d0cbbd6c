//! Poller keys: the numbers under which the event loop registers its event sources with the poller.
//!
//! A key identifies the component that a readiness event belongs to. A component with one source has one key.
//! A component with several sources has a range of keys, whose length is the component's maximum number of
//! sources. The range of gateways' connections comes last and has no upper end.

use crate::{admin, peers, store};

/// Listener for connections of gateways.
pub(super) const GATEWAY_LISTENER: usize = 0;
/// Link to this process's own kernel.
pub(super) const KERNEL: usize = 1;
/// Signals SIGTERM and SIGINT: the process hands over to a successor or drains, then exits.
pub(super) const TERMINATION: usize = 2;
/// Signal SIGUSR1: the process prints its counters.
pub(super) const PRINT_COUNTERS: usize = 3;
/// Signal SIGHUP: the process reloads its configuration.
pub(super) const RELOAD: usize = 4;
/// Worker thread (SQLite) or connection (PostgreSQL) of the idempotency store.
pub(super) const IDEMPOTENCY_STORE: usize = 5;
/// Listener for operators' connections at the second address.
pub(super) const ADMIN_LISTENER: usize = 6;
/// Listener for hand-over links of successor processes.
pub(super) const HANDOVER_LISTENER: usize = 7;
/// Hand-over link to the predecessor process.
pub(super) const PREDECESSOR: usize = 8;
/// Hand-over link to the successor process.
pub(super) const SUCCESSOR: usize = 9;
/// Hand-over link of a further process while a successor is linked. The link is closed at once.
pub(super) const EXCESS_SUCCESSOR: usize = 10;
/// Worker thread that writes the consensus log.
pub(super) const CONSENSUS_LOG: usize = 11;
/// First key of the links to kernels whose runs were taken over from earlier processes. The range ends before
/// [`FIRST_ADMIN_CALLER`].
pub(super) const FIRST_INHERITED_KERNEL: usize = 12;
/// First key of operators' connections. The range has [`admin::MAX_CALLERS`] keys.
pub(super) const FIRST_ADMIN_CALLER: usize = 16;
/// First key of the connections to the store. The range has [`store::MAX_CONNECTIONS`] keys.
pub(super) const FIRST_STORE_CONNECTION: usize = FIRST_ADMIN_CALLER + admin::MAX_CALLERS;
/// Listener for connections of the cluster's other nodes.
pub(super) const PEER_LISTENER: usize = FIRST_STORE_CONNECTION + store::MAX_CONNECTIONS;
/// First key of the connections with other nodes. The range has [`peers::CONNECTION_KEYS`] keys.
pub(super) const FIRST_PEER: usize = PEER_LISTENER + 1;
/// First key of gateways' connections. The range has no upper end.
pub(super) const FIRST_CONNECTION: usize = FIRST_PEER + peers::CONNECTION_KEYS;

/// Whether a key belongs to the link to a kernel whose runs were taken over from an earlier process.
pub(super) fn is_inherited_kernel(key: usize) -> bool {
    (FIRST_INHERITED_KERNEL..FIRST_ADMIN_CALLER).contains(&key)
}
