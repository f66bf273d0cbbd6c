//! The booking node on real sockets: a module for each stage of a request, and the loop that turns them.
//!
//! It carries out what `gaugestand_admission`'s engine and the ledger decide, bounds its buffers and reports. Nothing here
//! decides anything about requests.
#![deny(unsafe_code)]

pub mod connections;
pub mod admin;
pub mod response;
pub mod health_checks;
pub mod config;
pub mod counters;
#[cfg(test)]
mod cuts;
pub mod fastcgi;
pub mod peers;
pub mod request_metrics;
pub mod io;
pub mod kernel;
pub mod handover_link;
pub mod log;
pub mod membership_reports;
pub mod idempotency_store;
pub mod request;
pub mod store;
pub mod event_loop;
