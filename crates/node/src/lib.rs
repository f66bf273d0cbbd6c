//! The booking node: the sockets, the protocols and the event loop around the engine.
//!
//! A request passes through `connections`, `fastcgi`, `request`, the engine in `gaugestand_admission`,
//! `kernel` or `store`, and `response`; `event_loop` moves it from one to the next. This crate takes no
//! decision about requests: it carries out the decisions of the engine and of the idempotency table, bounds
//! every buffer and keeps the counters.
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
mod memory_budget;
#[cfg(test)]
mod parser_tests;
pub mod peers;
pub mod request;
pub mod request_metrics;
pub mod response;
pub mod store;
pub mod write_queue;
