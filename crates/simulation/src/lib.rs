//! Deterministic simulation of booking nodes. A simulation (a [`world`]) runs the node's own source, unchanged,
//! on a simulated clock and network ([`system`], [`network`]) against fakes of the gateways, the kernel and the
//! downstream tier ([`fakes`]). It injects faults that are drawn from a seed ([`faults`]) and checks every rule
//! of the platform after each event ([`rules`]). Two worlds of the same seed are equal byte for byte.
//!
//! [`process_cluster`] runs clusters of several real processes instead and injects faults between them.
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
