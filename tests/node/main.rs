//! Tests of one node: each test starts the compiled program and scripts its kernel, store, membership service
//! and gateways on loopback.

mod connections;
mod drain;
mod health_checks;
mod kernel_connection;
mod keyed_requests;
mod logging;
mod malformed_input;
mod reload;
mod requests;
mod store_calls;
#[path = "../support/mod.rs"]
mod support;
