//! Plans of faults and proposals, drawn from a seed.

use gaugestand_fakes::relay::Delivery;
use std::fmt;
use std::time::Duration;

/// Time of the first proposal, in milliseconds from the start of the run: late enough that there is a leader.
const FIRST_PROPOSAL_MS: u64 = 300;
/// Time of the first fault, in milliseconds from the start of the run: late enough that a first version is
/// committed.
const FIRST_FAULT_MS: u64 = 1_000;
/// Length of the last part of a run, in milliseconds; no new fault is injected in that part.
const LAST_FAULT_MARGIN_MS: u64 = 500;
/// Delay of a slow link: as long as several heartbeats.
const SLOW_LINK: Duration = Duration::from_millis(150);

/// A fault of links or processes, or a proposal. Processes are numbered from 0. Plans are printed in their
/// `Debug` form, and a plan's digest is computed from that form, so a renamed variant or field changes the
/// digest of each plan.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// Sets the delivery of the link between two processes, in each direction.
    Link {
        /// One of the processes.
        from: usize,
        /// The other process.
        to: usize,
        /// Delivery in the direction from `from` to `to`.
        forward: Delivery,
        /// Delivery in the direction from `to` to `from`.
        backward: Delivery,
    },
    /// Sets the delivery of the links between one process and all others.
    AllLinks {
        /// Number of the process.
        process: usize,
        /// Delivery from the process to the others.
        outbound: Delivery,
        /// Delivery from the others to the process.
        inbound: Delivery,
    },
    /// Closes the connection between two processes.
    Close(usize, usize),
    /// Closes the connection between two processes in the middle of the next message.
    CloseMidMessage {
        /// One of the processes.
        from: usize,
        /// The other process.
        to: usize,
        /// Number of bytes that still pass before the connection is closed.
        after_bytes: usize,
    },
    /// Restores immediate delivery on all links.
    Heal,
    /// Kills a process (SIGKILL) and starts it again later.
    Kill {
        /// Number of the process.
        process: usize,
        /// Time from the kill to the new start, in milliseconds.
        restart_after_ms: u64,
    },
    /// Pauses a process (SIGSTOP) and resumes it later (SIGCONT).
    Pause {
        /// Number of the process.
        process: usize,
        /// Length of the pause, in milliseconds.
        duration_ms: u64,
    },
    /// Proposes a new version through this process.
    Propose(usize),
}

impl Fault {
    /// Whether the fault concerns a process or is a proposal. To inject such a fault takes time, and the plan
    /// goes on meanwhile.
    pub(super) fn takes_time(&self) -> bool {
        matches!(self, Fault::Kill { .. } | Fault::Pause { .. } | Fault::Propose(_))
    }
}

impl fmt::Debug for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Link { from, to, forward, backward } => {
                f.debug_tuple("Ways").field(from).field(to).field(forward).field(backward).finish()
            }
            Fault::AllLinks { process, outbound, inbound } => {
                f.debug_tuple("Alone").field(process).field(outbound).field(inbound).finish()
            }
            Fault::Close(from, to) => f.debug_tuple("Close").field(from).field(to).finish(),
            Fault::CloseMidMessage { from, to, after_bytes } => {
                f.debug_tuple("Middle").field(from).field(to).field(after_bytes).finish()
            }
            Fault::Heal => f.write_str("Heal"),
            Fault::Kill { process, restart_after_ms } => {
                f.debug_tuple("Kill").field(process).field(restart_after_ms).finish()
            }
            Fault::Pause { process, duration_ms } => {
                f.debug_tuple("Stop").field(process).field(duration_ms).finish()
            }
            Fault::Propose(process) => f.debug_tuple("Propose").field(process).finish(),
        }
    }
}

/// Faults in the order of their times, each with its time in milliseconds from the start of the run.
pub type Plan = Vec<(u64, Fault)>;

/// Draws the plan of a seed: proposals during the whole run of `duration_ms` milliseconds, and faults between
/// them. Equal arguments give equal plans.
pub fn fault_plan(seed: u64, processes: usize, duration_ms: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut plan: Plan = Vec::new();
    let mut time = FIRST_PROPOSAL_MS;
    while time < duration_ms {
        plan.push((time, Fault::Propose(rng.usize(..processes))));
        time += rng.u64(250..900);
    }
    let mut time = FIRST_FAULT_MS;
    while time + LAST_FAULT_MARGIN_MS < duration_ms {
        plan.push((time, random_fault(&mut rng, processes)));
        time += rng.u64(200..1_200);
    }
    plan.sort_by_key(|(time, _)| *time);
    plan
}

fn random_fault(rng: &mut fastrand::Rng, processes: usize) -> Fault {
    let deliveries =
        [Delivery::Immediate, Delivery::Withheld, Delivery::Dropped, Delivery::Delayed(SLOW_LINK)];
    let from = rng.usize(..processes);
    let to = rng.usize(..processes);
    let forward = deliveries[rng.usize(..deliveries.len())];
    let backward = deliveries[rng.usize(..deliveries.len())];
    match rng.u8(..8) {
        0 | 1 => Fault::AllLinks { process: from, outbound: forward, inbound: backward },
        2 if from != to => Fault::Link { from, to, forward, backward },
        3 if from != to => Fault::Close(from, to),
        4 if from != to => Fault::CloseMidMessage { from, to, after_bytes: rng.usize(..200) },
        5 => Fault::Kill { process: from, restart_after_ms: rng.u64(0..1_200) },
        6 => Fault::Pause { process: from, duration_ms: rng.u64(100..2_000) },
        _ => Fault::Heal,
    }
}
