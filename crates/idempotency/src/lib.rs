//! The store of record of a booking node.
//!
//! [`table`] decides: what must be durable before a run begins or an answer goes out, what a repeat gets, and
//! what becomes of all that when a store stalls, breaks or comes back. It does no I/O and reads no clock.
//! [`row`] is what it says to a backend and hears from it. [`sqlite`] is one backend, with [`worker`] as the
//! thread that it blocks; [`postgres`] is the other, as bytes in and bytes out;
//! [`blocking_client`] drives it for a command line. [`consensus_log`] keeps a fleet's agreed log, in a file of its own, behind a worker as well.
#![forbid(unsafe_code)]

pub mod blocking_client;
pub mod consensus_log;
pub mod postgres;
pub mod row;
pub mod sqlite;
pub mod table;
pub mod worker;

pub use table::{BreakerState, KeyTable, Limits, ReplicatedEntry, TableMetrics};
