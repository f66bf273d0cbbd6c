//! Runs a plan of faults on real processes. Meanwhile one thread for each process probes it with reads about
//! the subjects of the last proposals.

use super::check::{Outcome, Violation, check};
use super::{
    ANSWER_TIMEOUT, CONVERGENCE_TIMEOUT, Fault, Plan, ProcessCluster, ProcessClusterError, blocking_content,
    lock, subject,
};
use crate::fakes::gateway::{Gateway, Reply};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Delay between two rounds of probes of a process: short compared with a lease.
const PROBE_INTERVAL: Duration = Duration::from_millis(15);
/// Number of proposals whose subjects each round of probes reads about: the last proposal, and earlier ones
/// whose versions may still be in effect at a process.
const PROBED_PROPOSALS: usize = 4;
/// Number of low bits of a request's number that count the requests of one prober; the bits above hold the
/// process's number.
const REQUEST_BITS: u32 = 48;
/// Time from the end of the plan until all processes that were paused or killed run again: as long as the
/// longest pause and the start of a process.
const SETTLING_TIME: Duration = Duration::from_millis(2_200);
/// Interval between two reads of the processes' status while they converge.
const CONVERGENCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A probe that showed that a process acted on a proposal's version, at some moment between `sent_at` and
/// `answered_at`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub process: usize,
    pub proposal: u64,
    pub sent_at: Instant,
    pub answered_at: Instant,
}

/// The version that an accepted proposal became, and the time of the answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Accepted {
    pub version: u64,
    pub answered_at: Instant,
}

/// What the threads of a run record for the checks.
#[derive(Default)]
pub(super) struct Record {
    pub observations: Vec<Observation>,
    pub probes: usize,
    pub unleased: usize,
    /// Accepted proposals, by their numbers.
    pub accepted: BTreeMap<u64, Accepted>,
    pub rejected: usize,
    /// Number of the last proposal; the first one has number 1.
    pub proposals: u64,
    pub violations: Vec<Violation>,
}

impl Record {
    fn violation(&mut self, rule: &'static str, error: &ProcessClusterError) {
        self.violations.push(Violation { rule, observed: error.to_string() });
    }
}

/// A cluster and the state that the threads of a run share.
struct Run {
    cluster: ProcessCluster,
    record: Mutex<Record>,
    is_over: Mutex<bool>,
}

/// Starts a cluster of this many processes of a program, carries out the plan on it and checks the rules. Two
/// processes may act on conflicting versions for up to `max_overlap`. The seed only names the cluster's folder.
///
/// # Errors
/// The processes cannot be started. Violations that are found during the run are part of the [`Outcome`], not
/// errors.
pub fn run(
    program: &Path,
    processes: usize,
    seed: u64,
    plan: &Plan,
    max_overlap: Duration,
) -> Result<Outcome, ProcessClusterError> {
    let run = Run {
        cluster: ProcessCluster::start(program, processes, seed)?,
        record: Mutex::new(Record::default()),
        is_over: Mutex::new(false),
    };
    let shared = &run;
    thread::scope(|scope| {
        for process in 0..processes {
            scope.spawn(move || shared.probe(process));
        }
        let started = Instant::now();
        for (at_ms, fault) in plan {
            thread::sleep(Duration::from_millis(*at_ms).saturating_sub(started.elapsed()));
            shared.cluster.inject(*fault);
            if fault.takes_time() {
                let fault = *fault;
                scope.spawn(move || shared.inject_in_process(fault));
            }
        }
        shared.cluster.inject(Fault::Heal);
        thread::sleep(SETTLING_TIME);
        if let Err(error) = shared.converge() {
            lock(&shared.record).violation("the cluster converges", &error);
        }
        *lock(&shared.is_over) = true;
    });
    let record = run.record.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    Ok(check(&run.cluster, record, max_overlap))
}

impl Run {
    /// Injects a fault of a process, or makes a proposal; blocks until that is done.
    fn inject_in_process(&self, fault: Fault) {
        match fault {
            Fault::Kill { process, restart_after_ms } => {
                let _restarting = lock(&self.cluster.restarts[process]);
                self.cluster.kill(process);
                thread::sleep(Duration::from_millis(restart_after_ms));
                if let Err(error) = self.cluster.start_process(process) {
                    lock(&self.record).violation("a killed process starts again", &error);
                }
            }
            Fault::Pause { process, duration_ms } => {
                self.cluster.signal(process, "-STOP");
                thread::sleep(Duration::from_millis(duration_ms));
                self.cluster.signal(process, "-CONT");
            }
            Fault::Propose(process) => self.propose(process),
            _ => {}
        }
    }

    /// Probes a process with reads about the subjects of the last proposals until the run is over. A failed
    /// connection is opened anew in the next round.
    fn probe(&self, process: usize) {
        let mut connection = None::<(String, Gateway)>;
        let mut request = (process as u64 + 1) << REQUEST_BITS;
        while !*lock(&self.is_over) {
            thread::sleep(PROBE_INTERVAL);
            let Ok(addresses) = self.cluster.addresses(process) else { continue };
            let address = addresses.gateway;
            if connection.as_ref().is_none_or(|(connected, _)| *connected != address) {
                let gateway = Gateway::connect(&address, ANSWER_TIMEOUT).ok();
                connection = gateway.map(|gateway| (address, gateway));
            }
            let Some((_, gateway)) = &mut connection else { continue };
            let last = lock(&self.record).proposals;
            for proposal in (1..=last).rev().take(PROBED_PROPOSALS) {
                request += 1;
                let sent_at = Instant::now();
                let Ok(reply) = gateway.read_about(request, subject(proposal)) else {
                    connection = None;
                    break;
                };
                let answered_at = Instant::now();
                let observation = Observation { process, proposal, sent_at, answered_at };
                self.record_probe(observation, &reply);
            }
        }
    }

    fn record_probe(&self, observation: Observation, reply: &Reply) {
        let mut record = lock(&self.record);
        record.probes += 1;
        match reply {
            Reply::Blocked => record.observations.push(observation),
            Reply::Rejected => record.unleased += 1,
            Reply::Served(_) | Reply::Failed(_) => {}
        }
    }

    /// Proposes the next version through a process and records the answer; no answer counts as a rejection.
    fn propose(&self, process: usize) {
        let Ok(addresses) = self.cluster.addresses(process) else { return };
        let proposal = {
            let mut record = lock(&self.record);
            record.proposals += 1;
            record.proposals
        };
        let line = format!("FLEET PROPOSE - - {}\n", blocking_content(proposal));
        let answer = super::operator::exchange(addresses.admin, &line).unwrap_or_default();
        let answer = answer.strip_prefix("done ").and_then(|done| serde_json::from_str::<Value>(done).ok());
        let version = answer.and_then(|answer| answer["version"].as_u64());
        let mut record = lock(&self.record);
        match version {
            Some(version) => {
                record.accepted.insert(proposal, Accepted { version, answered_at: Instant::now() });
            }
            None => record.rejected += 1,
        }
    }

    /// Makes proposals until one more is accepted, and waits until all processes act on the same, last version.
    fn converge(&self) -> Result<(), ProcessClusterError> {
        let started = Instant::now();
        let accepted_before = lock(&self.record).accepted.len();
        let mut statuses = Vec::new();
        while started.elapsed() < CONVERGENCE_TIMEOUT {
            if lock(&self.record).accepted.len() == accepted_before {
                self.propose(0);
            }
            statuses = (0..self.cluster.len()).map(|process| self.cluster.status(process)).collect();
            if is_converged(&statuses) && lock(&self.record).accepted.len() > accepted_before {
                return Ok(());
            }
            thread::sleep(CONVERGENCE_POLL_INTERVAL);
        }
        Err(ProcessClusterError::NotConverged { timeout: CONVERGENCE_TIMEOUT, statuses })
    }
}

/// Whether all processes act on the same version, above 0, and each reports it as the last committed one.
fn is_converged(statuses: &[Option<Value>]) -> bool {
    let active = |status: &Option<Value>| {
        let status = status.as_ref()?;
        let is_last = status["in_effect"] == status["last"];
        status["in_effect"].as_u64().filter(|_| status["acts"] == true && is_last)
    };
    let first = statuses.first().and_then(active).filter(|version| *version > 0);
    first.is_some() && statuses.iter().all(|status| active(status) == first)
}
