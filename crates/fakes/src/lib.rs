//! Stand-ins for what is outside a booking node, written from public specifications, with the faults built in.
//!
//! They listen on loopback only, at ports that the system picks, and do what their test says. The product never
//! links them.
#![forbid(unsafe_code)]

pub mod kernel;
pub mod postgres;
pub mod relay;
