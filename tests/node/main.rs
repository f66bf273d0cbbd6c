//! One node, the real program, between scripted peers on loopback.

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
