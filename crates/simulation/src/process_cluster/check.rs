//! Checks what a run has recorded against the rules.

use super::operator::exchange;
use super::run::{Observation, Record};
use super::{CONTRADICT_MS, ProcessCluster, subject};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Bound on the version numbers that are fetched from a process; no run commits as many versions.
const MAX_VERSIONS: u64 = 1_000;

/// An observation that breaks a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// What was observed, with the processes and versions concerned.
    pub observed: String,
}

/// The result of a run: violations of the rules, and counts.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Violations: first those found during the run, then those found by the checks after it.
    pub violations: Vec<Violation>,
    /// Number of proposals that were accepted.
    pub accepted: usize,
    /// Number of proposals that were rejected or got no answer.
    pub rejected: usize,
    /// Number of probes that showed on which version the process acted.
    pub observations: usize,
    /// Number of probes that were rejected because the process had no lease.
    pub unleased: usize,
    /// Number of all answered probes.
    pub probes: usize,
    /// Longest time for which a process acted on a version after another process had acted on a newer one.
    pub longest_overlap: Duration,
    /// Times from a proposal's answer to the answer of the first probe that showed its version, one for each
    /// process and accepted proposal, in ascending order.
    pub activation_delays: Vec<Duration>,
}

impl Outcome {
    /// The quantile (0 to 1) of the activation delays, in milliseconds; 0 without delays.
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
            "{} versions committed, {} proposals rejected, {} probes ({} showed a version, {} found no lease), longest \
             overlap {} us, leases of {CONTRADICT_MS} ms, active {} ms after the answer (median), {} ms (99%)",
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

/// The versions that the processes retain after a run.
#[derive(Default)]
struct RetainedVersions {
    /// Content of each version, by its number.
    contents: BTreeMap<u64, String>,
    /// For each proposal, by its number: the number of the version that has its content.
    by_proposal: BTreeMap<u64, u64>,
}

/// Checks all rules on the processes, which still run, and on the record of the run; overlaps up to
/// `max_overlap` are allowed.
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
    // Violations that the run itself recorded come first.
    let mut violations = record.violations;
    violations.append(&mut outcome.violations);
    outcome.violations = violations;
    outcome
}

/// Fetches the versions that the processes retain. A number with different contents at two processes is a
/// violation.
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
                // This process has compacted the version, or there is no such version.
                if retained.contents.contains_key(&version) || version == 1 {
                    continue;
                }
                break;
            };
            let known = retained.contents.entry(version).or_insert_with(|| content.to_string());
            if known != content {
                let observed = format!(
                    "version {version} is {known}, but process {} has {content}",
                    cluster.name(process)
                );
                violations.push(Violation { rule: "one content per version", observed });
            }
            let blocks = |proposal: &u64| content.contains(&format!("{:016x}", subject(*proposal)));
            if let Some(proposal) = (1..=proposals).find(blocks) {
                retained.by_proposal.insert(proposal, version);
            }
        }
    }
    retained
}

/// Checks that the content of each accepted proposal is that of the version which the proposal's answer named.
fn check_accepted(record: &Record, retained: &RetainedVersions, violations: &mut Vec<Violation>) {
    for (proposal, accepted) in &record.accepted {
        let version = accepted.version;
        // The oldest versions may have been compacted at all processes.
        if retained.contents.contains_key(&version) && retained.by_proposal.get(proposal) != Some(&version) {
            let observed =
                format!("proposal {proposal} was accepted as version {version}, which has another content");
            violations.push(Violation { rule: "accepted proposals stay committed", observed });
        }
    }
}

/// Checks that no process acts on a version for longer than `max_overlap` after another process has acted on a
/// newer one; records the longest overlap.
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
                let observed =
                    format!("{late} acted on version {older} {overlap:?} after {early} had acted on {newer}");
                outcome.violations.push(Violation { rule: "no conflicting versions in effect", observed });
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
