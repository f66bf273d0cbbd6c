//! Plans of faults by seed.

use gaugestand_fakes::relay::Delivery;
use std::fmt;
use std::time::Duration;

/// When the first version is proposed, in milliseconds: once there is a leader.
const FIRST_PROPOSAL_MS: u64 = 300;
/// When the first fault comes, in milliseconds: after a first version.
const FIRST_FAULT_MS: u64 = 1_000;
/// The end of a run without new faults, in milliseconds.
const LAST_FAULT_MARGIN_MS: u64 = 500;
/// Delay of a slow link: some heartbeats.
const SLOW_LINK: Duration = Duration::from_millis(150);

/// What is done to the processes and between them. Its `Debug` form is what operators see of a plan, and what a plan's
/// digest is made of.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// Sets the link between two processes, for each direction.
    Link {
        /// One process.
        from: usize,
        /// The other one.
        to: usize,
        /// From the one to the other.
        forth: Delivery,
        /// From the other to the one.
        back: Delivery,
    },
    /// Sets all links of one process.
    AllLinks {
        /// The process.
        process: usize,
        /// From it to the others.
        outbound: Delivery,
        /// From the others to it.
        inbound: Delivery,
    },
    /// Closes the connection between two processes.
    Close(usize, usize),
    /// Closes it in the middle of the next message.
    CloseMidMessage {
        /// One process.
        from: usize,
        /// The other one.
        to: usize,
        /// Bytes that still pass.
        after_bytes: usize,
    },
    /// Restores all links.
    Heal,
    /// Kills a process (SIGKILL) and starts it again.
    Kill {
        /// The process.
        process: usize,
        /// Milliseconds until it is started again.
        restart_after_ms: u64,
    },
    /// Pauses a process (SIGSTOP, SIGCONT).
    Pause {
        /// The process.
        process: usize,
        /// Milliseconds until it goes on.
        duration_ms: u64,
    },
    /// Proposes a new version at this process.
    Propose(usize),
}

impl Fault {
    /// Whether it is one of a process, or a proposal: these take their time, while the plan goes on.
    pub(super) fn takes_time(&self) -> bool {
        matches!(self, Fault::Kill { .. } | Fault::Pause { .. } | Fault::Propose(_))
    }
}

impl fmt::Debug for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Link { from, to, forth, back } => {
                f.debug_tuple("Ways").field(from).field(to).field(forth).field(back).finish()
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

/// Faults by time, in milliseconds.
pub type Plan = Vec<(u64, Fault)>;

/// The plan of a seed for so many milliseconds: proposals all through, and faults between them.
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
    let ways = [Delivery::Immediate, Delivery::Withheld, Delivery::Dropped, Delivery::Delayed(SLOW_LINK)];
    let from = rng.usize(..processes);
    let to = rng.usize(..processes);
    let forth = ways[rng.usize(..ways.len())];
    let back = ways[rng.usize(..ways.len())];
    match rng.u8(..8) {
        0 | 1 => Fault::AllLinks { process: from, outbound: forth, inbound: back },
        2 if from != to => Fault::Link { from, to, forth, back },
        3 if from != to => Fault::Close(from, to),
        4 if from != to => Fault::CloseMidMessage { from, to, after_bytes: rng.usize(..200) },
        5 => Fault::Kill { process: from, restart_after_ms: rng.u64(0..1_200) },
        6 => Fault::Pause { process: from, duration_ms: rng.u64(100..2_000) },
        _ => Fault::Heal,
    }
}
