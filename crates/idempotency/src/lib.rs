//! Idempotency keys of a booking node: the table that decides which attempt may run, and the stores that keep
//! results over restarts.
//!
//! [`table`] decides what must be durable before a run begins or an answer is sent, what a repeat gets, and
//! what happens to pending attempts when a store stalls, breaks or recovers. It does no I/O and reads no
//! clock. [`row`] has the types that the table exchanges with a backend. [`sqlite`] is one backend, which
//! blocks and therefore runs on the thread of a [`worker`]; [`postgres`] is the other, a state machine that
//! takes and returns bytes, and [`blocking_client`] drives it for the command line. [`consensus_log`] keeps a
//! cluster's consensus log in a file of its own, also on a worker thread. [`error`] has the errors of all of
//! them.
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
