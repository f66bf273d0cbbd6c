//! The booking node on real sockets: a module for each stage of a request, and the loop that turns them.
//!
//! It carries out what `gaugestand_admission`'s engine and the ledger decide, bounds its buffers and reports. Nothing here
//! decides anything about requests.
#![deny(unsafe_code)]

pub mod admin;
pub mod config;
pub mod connections;
pub mod counters;
pub mod event_loop;
pub mod fastcgi;
pub mod handover_link;
pub mod health_checks;
pub mod idempotency_store;
pub mod io;
pub mod kernel;
pub mod log;
pub mod membership_reports;
#[cfg(test)]
mod parser_tests;
pub mod peers;
pub mod request;
pub mod request_metrics;
pub mod response;
pub mod store;
pub mod write_queue;
