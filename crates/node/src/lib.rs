//! The booking node: sockets, protocols and the event loop around the engine.
//!
//! A request passes through `connections`, `fastcgi`, `request`, the engine in `gaugestand_admission`, `kernel` or `store`, and
//! `response`; `event_loop` moves it from one to the next. Nothing here decides anything about requests: this crate carries out
//! what the engine and the idempotency table decide, bounds every buffer and counts.
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
