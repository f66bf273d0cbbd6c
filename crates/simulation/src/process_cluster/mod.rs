//! Clusters of real node processes on this machine, with a relay between each pair, faults injected by a seeded
//! plan, and a checker that is independent of the node's code. The checker uses the times, by this program's
//! clock, at which probes show that a process acts on a version.
//!
//! Each version blocks one subject, and no two versions block the same one. A node rejects a read about that
//! subject if, and only if, it acts on that version. An answered probe therefore shows on which version a
//! process acted at some moment between the sending of the probe and its answer. The rule to check: after one
//! process acted on a newer version, no other process acts on an older one for longer than the allowed time.
//!
//! - `plan`: draws the faults of a run from a seed.
//! - `processes`, `node_config`: start and end processes, and write their files.
//! - `faults`: injects faults into the links between processes.
//! - `operator`: makes calls to second addresses.
//! - `run`: carries out a plan on processes while probing them.
//! - `check`: checks the recorded observations against the rules.
//! - `idle_cost`: measures the CPU time of a cluster without requests.

mod check;
mod error;
mod faults;
mod idle_cost;
mod node_config;
mod operator;
mod plan;
mod processes;
mod run;

pub use check::{Outcome, Violation};
pub use error::ProcessClusterError;
pub use idle_cost::{IdleCost, measure_idle_cost};
pub use plan::{Fault, Plan, fault_plan};
pub use processes::ProcessCluster;
pub use run::run;

use serde_json::{Value, json};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Duration of leases, in milliseconds (the setting `contradict_ms`): short, so that many leases expire in a
/// run.
pub const CONTRADICT_MS: u64 = 400;
/// Longest wait, after the last fault or an operator's call, until processes act on the last version: several
/// elections and leases.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for a started process to report where it listens; long enough for a loaded machine.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for a connection to a process and for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two calls that read a process's status or metrics while waiting for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The subject of proposal 0; the subject of any proposal is this number plus the proposal's number.
const FIRST_SUBJECT: u64 = 0x1000_0000_0000_0000;

/// The subject that the version of this proposal blocks; proposals are numbered from 1 in each run.
pub fn subject(proposal: u64) -> u64 {
    FIRST_SUBJECT + proposal
}

/// The content to propose: no settings, and a list that blocks the subject of this proposal.
pub fn blocking_content(proposal: u64) -> Value {
    json!({"settings": null, "lists": {"one": {"barred": [format!("{:016x}", subject(proposal))]}}})
}

/// Locks a mutex and ignores poisoning: the values in these mutexes are consistent even if a thread panicked
/// while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
