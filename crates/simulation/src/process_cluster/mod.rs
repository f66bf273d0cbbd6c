//! Clusters of real processes: nodes with relays between each pair, faults injected by a seeded plan, and a checker that
//! knows nothing of how a node decides. It sees which version each process acted on, and when, by one clock.
//!
//! Each version blocks one subject of its own and no other. A read about that subject is rejected for all nodes where, and
//! only where, the node acts on that version. Each answered probe thus shows on which version a process acted at some moment
//! between its sending and its answer. Of two versions, the newer one must not be seen at one process before the older one
//! was last seen at another, but for the stated time.
//!
//! - `plan`: faults by seed.
//! - `processes`, `node_config`: starting and ending processes, and their files.
//! - `faults`: what is done to links.
//! - `operator`: calls to second addresses.
//! - `run`: a plan on processes, with probes.
//! - `check`: what was seen, against the rules.
//! - `idle_cost`: what a cluster costs that nothing is asked of.

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

/// Duration of leases, in milliseconds: short, so that a run sees many.
pub const CONTRADICT_MS: u64 = 400;
/// All processes have to act on the last version this long after the last fault: some elections and leases.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for a process to report where it listens, also on a loaded machine.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for an answer of a process that is not paused.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// From one look at a process's state to the next.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Subjects of proposals are numbered from here on.
const FIRST_SUBJECT: u64 = 0x1000_0000_0000_0000;

/// The subject that the version of this proposal blocks.
pub fn subject(proposal: u64) -> u64 {
    FIRST_SUBJECT + proposal
}

/// The content of the version of this proposal.
pub fn blocking_content(proposal: u64) -> Value {
    json!({"settings": null, "lists": {"one": {"barred": [format!("{:016x}", subject(proposal))]}}})
}

/// Locks a mutex that is also used after a thread has panicked with it: what it holds is whole at any time.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
