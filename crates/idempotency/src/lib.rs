//! Idempotency keys of a booking node: which attempt may run, and the store that keeps results over restarts.
//!
//! [`table`] decides: what must be durable before a run begins or an answer goes out, what a repeat gets, and
//! what becomes of all that when a store stalls, breaks or comes back. It does no I/O and reads no clock.
//! [`row`] is what it exchanges with a backend. [`sqlite`] is one backend, with [`worker`] as the thread that it blocks;
//! [`postgres`] is the other, as bytes in and bytes out; [`blocking_client`] drives it for a command line.
//! [`consensus_log`] keeps a cluster's replicated log, in a file of its own, behind a worker as well. [`error`] has the
//! errors of all of them.
#![forbid(unsafe_code)]

pub mod blocking_client;
pub mod consensus_log;
pub mod error;
pub mod postgres;
pub mod row;
pub mod sqlite;
pub mod table;
pub mod worker;

pub use error::{OpenError, SessionError};
pub use table::{BreakerState, KeyTable, Limits, ReplicatedEntry, TableMetrics};
