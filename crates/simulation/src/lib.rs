//! Deterministic simulation of booking nodes: the node's own source, unchanged, on a simulated clock and network
//! ([`system`], [`network`]), against fakes of what is outside ([`fakes`]), with faults drawn from a seed ([`faults`])
//! and every rule of the platform checked after each event ([`rules`]). The same seed gives the same [`world`], byte for
//! byte. [`process_cluster`] runs several real processes instead, with faults between them.
#![forbid(unsafe_code)]

pub mod fakes;
pub mod faults;
pub mod guard;
pub mod network;
pub mod process_cluster;
pub mod random;
pub mod rules;
pub mod site;
pub mod system;
pub mod world;
