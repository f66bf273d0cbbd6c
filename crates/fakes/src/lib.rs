//! Fakes of the systems around a node, written from public specifications, with injectable faults.
//!
//! The fakes listen on loopback only, at ports that the operating system assigns, and behave as their test
//! instructs them. The node does not depend on this crate.
#![forbid(unsafe_code)]

pub mod kernel;
pub mod postgres;
pub mod relay;
