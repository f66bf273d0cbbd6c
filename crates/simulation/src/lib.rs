//! A virtual world for booking nodes: the node's own source, unchanged, on a clock and a network that exist only
//! here, against models of what is outside, with faults drawn from a seed and every rule checked after each event.
//! The same seed gives the same world, byte for byte.
#![forbid(unsafe_code)]

pub mod checkers;
pub mod fakes;
pub mod guard;
pub mod network;
pub mod process_cluster;
pub mod site;
pub mod world;
