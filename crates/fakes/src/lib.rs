//! Fakes of the systems around a node, written from public specifications, with injectable faults.
//!
//! They listen on loopback only, at ports that the system picks, and do what their test says. The product does not
//! depend on them.
#![forbid(unsafe_code)]

pub mod kernel;
pub mod postgres;
pub mod relay;
