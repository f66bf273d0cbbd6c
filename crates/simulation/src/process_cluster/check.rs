//! What a run has shown, against the rules.

use super::operator::exchange;
use super::run::{Observation, Record};
use super::{CONTRADICT_MS, ProcessCluster, subject};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Versions that are asked for at most: no run commits as many.
const MAX_VERSIONS: u64 = 1_000;

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What was seen.
    pub seen: String,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Proposals that were accepted.
    pub accepted: usize,
    /// Proposals that were rejected.
    pub rejected: usize,
    /// Probes that showed a version.
    pub observations: usize,
    /// Probes that were rejected without a lease.
    pub unleased: usize,
    /// All probes.
    pub probes: usize,
    /// Longest time for which two processes acted on conflicting versions.
    pub longest_overlap: Duration,
    /// From a proposal's answer to the first probe that showed its version, at each process, sorted.
    pub activation_delays: Vec<Duration>,
}

impl Outcome {
    /// A quantile of the activation delays, in milliseconds.
    fn activation_delay_ms(&self, quantile: f64) -> u128 {
        let delays = &self.activation_delays;
        let index = (delays.len() as f64 * quantile) as usize;
        delays.get(index.min(delays.len().saturating_sub(1))).map_or(0, Duration::as_millis)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} versions agreed, {} proposals turned down, {} probes ({} showed a version, {} had no lease), longest \
             contradiction {} us of {CONTRADICT_MS} ms, in effect {} ms after the answer (median), {} ms (99%)",
            self.accepted,
            self.rejected,
            self.probes,
            self.observations,
            self.unleased,
            self.longest_overlap.as_micros(),
            self.activation_delay_ms(0.5),
            self.activation_delay_ms(0.99)
        )
    }
}

/// What the processes keep after a run.
#[derive(Default)]
struct RetainedVersions {
    /// By version.
    contents: BTreeMap<u64, String>,
    /// Versions by the proposal that their content is of.
    by_proposal: BTreeMap<u64, u64>,
}

/// Checks all rules.
pub(super) fn check(cluster: &ProcessCluster, record: Record, max_overlap: Duration) -> Outcome {
    let mut outcome = Outcome {
        accepted: record.accepted.len(),
        rejected: record.rejected,
        observations: record.observations.len(),
        unleased: record.unleased,
        probes: record.probes,
        activation_delays: activation_delays(&record, cluster.len()),
        ..Outcome::default()
    };
    let retained = retained_versions(cluster, record.proposals, &mut outcome.violations);
    check_accepted(&record, &retained, &mut outcome.violations);
    check_overlaps(cluster, &record, &retained, max_overlap, &mut outcome);
    // What the run itself has noted comes first.
    let mut violations = record.violations;
    violations.append(&mut outcome.violations);
    outcome.violations = violations;
    outcome
}

/// Collects the versions of all processes: each number has to have the same content everywhere.
fn retained_versions(
    cluster: &ProcessCluster,
    proposals: u64,
    violations: &mut Vec<Violation>,
) -> RetainedVersions {
    let mut retained = RetainedVersions::default();
    for process in 0..cluster.len() {
        for version in 1..=MAX_VERSIONS + 1 {
            let Ok(addresses) = cluster.addresses(process) else { break };
            let Ok(answer) = exchange(addresses.admin, &format!("FLEET SHOW {version}\n")) else { break };
            let Some(content) = answer.strip_prefix("done ") else {
                // Compacted here, or one that there is not.
                if retained.contents.contains_key(&version) || version == 1 {
                    continue;
                }
                break;
            };
            let known = retained.contents.entry(version).or_insert_with(|| content.to_string());
            if known != content {
                let seen = format!("version {version} is {known} and at {} {content}", cluster.name(process));
                violations.push(Violation { rule: "one content a number", seen });
            }
            let blocks = |proposal: &u64| content.contains(&format!("{:016x}", subject(*proposal)));
            if let Some(proposal) = (1..=proposals).find(blocks) {
                retained.by_proposal.insert(proposal, version);
            }
        }
    }
    retained
}

/// An accepted proposal is the version that its answer named.
fn check_accepted(record: &Record, retained: &RetainedVersions, violations: &mut Vec<Violation>) {
    for (proposal, accepted) in &record.accepted {
        let version = accepted.version;
        // The oldest may have been compacted.
        if retained.contents.contains_key(&version) && retained.by_proposal.get(proposal) != Some(&version) {
            let seen = format!("proposal {proposal} was told that it is version {version}");
            violations.push(Violation { rule: "what was agreed stays", seen });
        }
    }
}

/// No process acts on a version after another one has acted on a newer one.
fn check_overlaps(
    cluster: &ProcessCluster,
    record: &Record,
    retained: &RetainedVersions,
    max_overlap: Duration,
    outcome: &mut Outcome,
) {
    let version = |observation: &Observation| retained.by_proposal.get(&observation.proposal).copied();
    let observations = record.observations.iter();
    let mut observations: Vec<(u64, Observation)> =
        observations.filter_map(|observation| Some((version(observation)?, *observation))).collect();
    observations.sort_by_key(|(version, _)| *version);
    for (older, old) in &observations {
        let others = observations.iter().filter(|(_, new)| new.process != old.process);
        for (newer, new) in others.filter(|(version, _)| version > older) {
            let overlap = old.sent_at.saturating_duration_since(new.answered_at);
            if overlap > max_overlap && overlap > outcome.longest_overlap {
                let (late, early) = (cluster.name(old.process), cluster.name(new.process));
                let seen = format!("{late} acted on {older} {overlap:?} after {early} had acted on {newer}");
                outcome.violations.push(Violation { rule: "no contradiction", seen });
            }
            outcome.longest_overlap = outcome.longest_overlap.max(overlap);
        }
    }
}

fn activation_delays(record: &Record, processes: usize) -> Vec<Duration> {
    let mut delays = Vec::new();
    for (proposal, accepted) in &record.accepted {
        for process in 0..processes {
            let shows = |observation: &&Observation| {
                observation.proposal == *proposal && observation.process == process
            };
            let observations = record.observations.iter().filter(shows);
            if let Some(first) = observations.map(|observation| observation.answered_at).min() {
                delays.push(first.saturating_duration_since(accepted.answered_at));
            }
        }
    }
    delays.sort();
    delays
}
