//! Runs whole clusters in a seeded simulation. Disks lose what was not synced, messages are late or lost,
//! nodes are killed, paused and partitioned, clocks drift, and operators propose at any node. The checks use
//! only what operators and clients could observe, by one clock.

mod common;

use common::{Partitions, Schedule};
use gaugestand_admission::log_record::{LogRecord, RecoveredLog};
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::consensus::{
    Command, Consensus, ConsensusConfig, Event, ProposalError, Unacceptable,
};
use gaugestand_cluster::lease::{ActiveVersion, Defect, LeaseConfig};
use gaugestand_cluster::membership::{Membership, MembershipChange};
use gaugestand_cluster::{NodeId, Version};
use std::collections::BTreeMap;

const LEASE: Micros = Micros::millis(600);
/// Bound on the drift between two clocks, in parts per million; far above that of real clocks, so that the
/// checks detect a missing drift margin.
const DRIFT_PPM: u64 = 20_000;
/// End of the period of faults and proposals, in microseconds of simulated time. An equally long period
/// without faults follows.
const FAULTS_UNTIL_US: u64 = 15_000_000;
/// The lowest ticket of a membership change; proposals of contents have lower tickets.
const FIRST_MEMBERSHIP_TICKET: u64 = 1_000_000;

enum Action {
    Timer(NodeId),
    Deliver {
        to: NodeId,
        incarnation: u64,
        event: Event,
    },
    /// The disk of a node has synced all records up to this sequence number.
    Sync {
        node: NodeId,
        incarnation: u64,
        sequence: u64,
    },
    Propose,
    ChangeMembership,
    Kill,
    Pause,
    Partition,
}

/// The disk of a node: its durable content, and records that are not synced yet.
#[derive(Default)]
struct Disk {
    hard_state: Option<Vec<u8>>,
    snapshot: Option<Vec<u8>>,
    entries: BTreeMap<u64, Vec<u8>>,
    unsynced: Vec<(u64, LogRecord)>,
}

impl Disk {
    fn apply(&mut self, record: LogRecord) {
        if let Some(from) = record.truncate_from {
            self.entries.retain(|index, _| *index < from);
        }
        self.entries.extend(record.entries);
        if let Some(to) = record.compact_through {
            self.entries.retain(|index, _| *index > to);
        }
        self.hard_state = record.hard_state.or(self.hard_state.take());
        self.snapshot = record.snapshot.or(self.snapshot.take());
    }

    fn recovered_log(&self) -> RecoveredLog {
        let entries = self.entries.iter().map(|(index, entry)| (*index, entry.clone())).collect();
        RecoveredLog {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries,
            ..RecoveredLog::default()
        }
    }
}

struct Node {
    consensus: Option<Consensus>,
    disk: Disk,
    incarnation: u64,
    paused_until: u64,
    /// Rate of the node's clock: its microseconds per second of simulated time.
    clock_rate: u64,
}

/// The result of a simulation run.
#[derive(Debug, PartialEq)]
struct Outcome {
    violations: Vec<String>,
    committed_versions: usize,
    membership_changes: usize,
}

struct Cluster {
    rng: fastrand::Rng,
    lease: LeaseConfig,
    initial_membership: Membership,
    now: u64,
    schedule: Schedule<Action>,
    nodes: Vec<Node>,
    partitions: Partitions,
    /// Defect of the disks: records are reported as durable before they are synced.
    reports_unsynced: bool,
    committed: BTreeMap<Version, Vec<u8>>,
    proposals: BTreeMap<u64, Vec<u8>>,
    answers: BTreeMap<u64, Result<Version, ProposalError>>,
    /// Simulated time at which each version was first acted on, and at which the last lease of it ends, in
    /// microseconds.
    first_acted_on: BTreeMap<Version, u64>,
    last_lease_end: BTreeMap<Version, u64>,
    violations: Vec<String>,
}

impl Cluster {
    /// A cluster that begins with `initial_nodes` nodes. With `changes`, three more nodes can join, and
    /// operators request joins and removals.
    fn new(
        seed: u64,
        initial_nodes: usize,
        changes: bool,
        defect: Option<Defect>,
        reports_unsynced: bool,
    ) -> Self {
        let size = if changes { initial_nodes + 3 } else { initial_nodes };
        let mut rng = fastrand::Rng::with_seed(seed);
        let lease = LeaseConfig::new(initial_nodes, LEASE, DRIFT_PPM).expect("valid lease times");
        let lease = defect.map_or(lease, |defect| lease.with_defect(defect));
        let clock_rates = [1_000_000 - DRIFT_PPM, 1_000_000, 1_000_000 + DRIFT_PPM];
        let node = |rng: &mut fastrand::Rng| Node {
            consensus: None,
            disk: Disk::default(),
            incarnation: 0,
            paused_until: 0,
            clock_rate: clock_rates[rng.usize(..3)],
        };
        let nodes = (0..size).map(|_| node(&mut rng)).collect();
        let configured: Vec<_> =
            (0..initial_nodes as u16).map(|id| (format!("n{id}"), address(id))).collect();
        let mut cluster = Cluster {
            rng,
            lease,
            initial_membership: Membership::initial(&configured).expect("a valid initial membership"),
            now: 1_000_000,
            schedule: Schedule::new(),
            nodes,
            partitions: Partitions::new(size),
            reports_unsynced,
            committed: BTreeMap::new(),
            proposals: BTreeMap::new(),
            answers: BTreeMap::new(),
            first_acted_on: BTreeMap::new(),
            last_lease_end: BTreeMap::new(),
            violations: Vec::new(),
        };
        for node in 0..size as NodeId {
            cluster.start(node);
        }
        for _ in 0..24 {
            let time = cluster.random_fault_time();
            cluster.at(time, Action::Propose);
        }
        for _ in 0..if changes { 16 } else { 0 } {
            let time = cluster.random_fault_time();
            cluster.at(time, Action::ChangeMembership);
        }
        for _ in 0..6 {
            let kill = cluster.random_fault_time();
            let pause = cluster.random_fault_time();
            let partition = cluster.random_fault_time();
            cluster.at(kill, Action::Kill);
            cluster.at(pause, Action::Pause);
            cluster.at(partition, Action::Partition);
        }
        cluster
    }

    fn random_fault_time(&mut self) -> u64 {
        1_000_000 + self.rng.u64(..FAULTS_UNTIL_US)
    }

    fn at(&mut self, time: u64, action: Action) {
        self.schedule.at(time, action);
    }

    fn clock(&self, node: NodeId) -> Timestamp {
        Timestamp(self.now * self.nodes[usize::from(node)].clock_rate / 1_000_000)
    }

    fn start(&mut self, node_id: NodeId) {
        let now = self.clock(node_id);
        let node = &mut self.nodes[usize::from(node_id)];
        node.incarnation += 1;
        let config = ConsensusConfig {
            node_id,
            initial_membership: self.initial_membership.clone(),
            lease: self.lease,
            incarnation: node.incarnation,
        };
        let mut commands = Vec::new();
        match Consensus::new(now, config, &node.disk.recovered_log(), &mut commands) {
            Ok(consensus) => node.consensus = Some(consensus),
            Err(error) => self.violations.push(format!("node {node_id} cannot open its log: {error}")),
        }
        self.execute(node_id, commands);
        for other in (0..self.nodes.len() as NodeId).filter(|other| *other != node_id) {
            self.step(node_id, Event::LinkUp(other));
        }
        self.at(self.now, Action::Timer(node_id));
    }

    fn step(&mut self, node: NodeId, event: Event) {
        let now = self.clock(node);
        let mut commands = Vec::new();
        if let Some(consensus) = &mut self.nodes[usize::from(node)].consensus {
            consensus.on_event(now, event, &mut commands);
        }
        self.execute(node, commands);
        self.observe(node);
    }

    fn execute(&mut self, node: NodeId, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { to, payload } => self.send(to, Event::Received { from: node, payload }, node),
                Command::Persist { sequence, record } => self.persist(node, sequence, record),
                Command::Validate { validation, content, .. } => {
                    let accepts = !content.ends_with(b"7}}");
                    let result =
                        if accepts { Ok(()) } else { Err(Unacceptable("content ends with 7".into())) };
                    let time = self.now + 10;
                    self.deliver(time, node, Event::Validated { validation, result });
                }
                Command::Committed { version, content } => self.check_committed(node, version, &content),
                Command::Answer { ticket, result } => {
                    if self.answers.insert(ticket, result).is_some() {
                        self.violations.push(format!("proposal {ticket} was answered twice"));
                    }
                }
            }
        }
    }

    /// Schedules an event for the current incarnation of a node.
    fn deliver(&mut self, time: u64, to: NodeId, event: Event) {
        let incarnation = self.nodes[usize::from(to)].incarnation;
        self.at(time, Action::Deliver { to, incarnation, event });
    }

    fn send(&mut self, to: NodeId, event: Event, from: NodeId) {
        if self.partitions.drops_message(self.now, from, to) || self.rng.u8(..25) == 0 {
            return;
        }
        let max_delay = if self.rng.u8(..40) == 0 { 1_500_000 } else { 6_000 };
        let time = self.now + 50 + self.rng.u64(..max_delay);
        self.deliver(time, to, event);
    }

    fn persist(&mut self, node: NodeId, sequence: u64, record: LogRecord) {
        self.nodes[usize::from(node)].disk.unsynced.push((sequence, record));
        let incarnation = self.nodes[usize::from(node)].incarnation;
        let time = self.now + self.rng.u64(100..20_000);
        let sync = Action::Sync { node, incarnation, sequence };
        if self.reports_unsynced {
            self.deliver(self.now, node, Event::Persisted(sequence));
            self.at(time + 200_000, sync);
        } else {
            self.at(time, sync);
        }
    }

    fn check_committed(&mut self, node: NodeId, version: Version, content: &[u8]) {
        let known = self.committed.entry(version).or_insert_with(|| content.to_vec());
        if **known != *content {
            let was = String::from_utf8_lossy(known);
            let is = String::from_utf8_lossy(content);
            self.violations
                .push(format!("version {version} has two contents: {was}, and {is} at node {node}"));
        }
    }

    /// Records that a node may act on its active version from now until the end of its lease.
    fn observe(&mut self, id: NodeId) {
        let node = &self.nodes[usize::from(id)];
        let Some(consensus) = &node.consensus else { return };
        let active = consensus.active_version(self.clock(id));
        if let (ActiveVersion::Leased(version), Some(lease)) = (active, consensus.lease()) {
            self.first_acted_on.entry(version).or_insert(self.now);
            let end = lease.expires_at.0 * 1_000_000 / node.clock_rate;
            let last_end = self.last_lease_end.entry(version).or_insert(end);
            *last_end = (*last_end).max(end);
        }
    }

    fn perform(&mut self, action: Action) {
        let size = self.nodes.len();
        match action {
            Action::Timer(node) => self.timer(node),
            Action::Deliver { to, incarnation, event } => {
                let node = &self.nodes[usize::from(to)];
                if node.incarnation != incarnation || node.consensus.is_none() {
                    return;
                }
                if self.now < node.paused_until {
                    let time = node.paused_until;
                    return self.at(time, Action::Deliver { to, incarnation, event });
                }
                self.step(to, event);
            }
            Action::Sync { node, incarnation, sequence } => self.sync(node, incarnation, sequence),
            Action::Propose => self.propose(),
            Action::ChangeMembership => self.change_membership(),
            Action::Kill => {
                let killed = self.rng.usize(..size);
                // Unsynced records are lost as a whole; no record is lost in part.
                self.nodes[killed].disk.unsynced.clear();
                self.nodes[killed].consensus = None;
                self.schedule
                    .retain(|action| !matches!(action, Action::Timer(node) if usize::from(*node) == killed));
                self.start(killed as NodeId);
            }
            Action::Pause => {
                let paused = self.rng.usize(..size);
                let duration = self.rng.u64(..3_000_000);
                self.nodes[paused].paused_until = self.now + duration;
            }
            Action::Partition => self.partitions.partition(self.now, &mut self.rng),
        }
    }

    fn timer(&mut self, id: NodeId) {
        let paused_until = self.nodes[usize::from(id)].paused_until;
        let next = paused_until.max(self.now + self.rng.u64(5_000..15_000));
        if self.now >= paused_until {
            self.step(id, Event::Timer);
        }
        let node = &self.nodes[usize::from(id)];
        // Each incarnation has one chain of timers.
        if node.consensus.is_some() && node.incarnation > 0 {
            self.at(next, Action::Timer(id));
        }
    }

    fn sync(&mut self, id: NodeId, incarnation: u64, sequence: u64) {
        let node = &mut self.nodes[usize::from(id)];
        if node.incarnation != incarnation {
            return;
        }
        // Records are synced in order: a record is durable only together with all earlier ones.
        while node.disk.unsynced.first().is_some_and(|unsynced| unsynced.0 <= sequence) {
            let (_, record) = node.disk.unsynced.remove(0);
            node.disk.apply(record);
        }
        if !self.reports_unsynced {
            self.deliver(self.now, id, Event::Persisted(sequence));
        }
    }

    fn propose(&mut self) {
        let ticket = self.proposals.len() as u64 + 1;
        let node = self.rng.usize(..self.nodes.len()) as NodeId;
        // Three consecutive contents block the same subject, so nodes may act on them at the same time.
        let blocked = ticket / 3;
        let content =
            format!(r#"{{"lists":{{"l":{{"barred":["s{blocked}"]}}}},"settings":{{"tick":{ticket}}}}}"#);
        let content = content.into_bytes();
        let expected_version = [None, Some(self.last_committed())][self.rng.usize(..2)];
        self.proposals.insert(ticket, content.clone());
        let propose = Event::Propose { ticket, content, expected_version, force: false };
        self.deliver(self.now, node, propose);
    }

    fn change_membership(&mut self) {
        let size = self.nodes.len();
        let ticket = FIRST_MEMBERSHIP_TICKET + self.schedule.scheduled;
        let node = self.rng.usize(..size) as NodeId;
        let change = match self.rng.u8(..5) {
            0 | 1 => {
                let port = 10_000 + (self.schedule.scheduled % 10_000) as u16;
                MembershipChange::Join { name: format!("p{ticket}"), address: address(port) }
            }
            _ => {
                let force = self.rng.u8(..4) == 0;
                MembershipChange::Remove { id: self.rng.usize(..size) as NodeId, force }
            }
        };
        self.deliver(self.now, node, Event::ChangeMembership { ticket, change });
    }

    fn last_committed(&self) -> Version {
        self.committed.last_key_value().map_or(0, |(version, _)| *version)
    }

    fn run_until(&mut self, end: u64) {
        while let Some((time, action)) = self.schedule.next(end) {
            self.now = time;
            self.perform(action);
        }
    }

    fn run(mut self) -> Outcome {
        self.run_until(2 * FAULTS_UNTIL_US);
        self.check_leases();
        self.check_answers();
        self.check_convergence();
        let is_change = |(ticket, result): &(&u64, &Result<Version, ProposalError>)| {
            **ticket >= FIRST_MEMBERSHIP_TICKET && result.is_ok()
        };
        Outcome {
            membership_changes: self.answers.iter().filter(is_change).count(),
            committed_versions: self.committed.len(),
            violations: self.violations,
        }
    }

    /// Checks that no version was acted on before all leases of earlier, conflicting versions had ended.
    fn check_leases(&mut self) {
        let blocked = |version: &Version| {
            let content = self.committed.get(version);
            let content = content.map(|content| String::from_utf8_lossy(content).into_owned());
            content.and_then(|content| content.split("\"settings\"").next().map(str::to_string))
        };
        for (newer, first) in &self.first_acted_on {
            let older = self.last_lease_end.range(..newer);
            let conflicting = older.filter(|(older, _)| blocked(older) != blocked(newer));
            let end = conflicting.map(|(_, end)| *end).max().unwrap_or(0);
            if end > *first {
                let overlap = end - first;
                let violation =
                    format!("version {newer} acted on {overlap} us before a conflicting lease ended");
                self.violations.push(violation);
            }
        }
    }

    /// Checks that the content of each accepted proposal was committed as the version that the answer named.
    fn check_answers(&mut self) {
        for (ticket, result) in &self.answers {
            if let Ok(version) = result
                && *ticket < FIRST_MEMBERSHIP_TICKET
                && self.committed.get(version) != self.proposals.get(ticket)
            {
                self.violations.push(format!(
                    "proposal {ticket} was answered with version {version}, which has another content"
                ));
            }
        }
    }

    /// Checks that, long after the last fault, all members have the same membership and act on the last
    /// version, and that other nodes act on none.
    fn check_convergence(&mut self) {
        let last = self.last_committed();
        let nodes = self.nodes.iter().filter_map(|node| node.consensus.as_ref());
        let up_to_date = nodes.into_iter().find(|consensus| consensus.last_committed() == last);
        let membership = up_to_date.map(|consensus| consensus.membership().clone());
        let membership = membership.unwrap_or_else(|| self.initial_membership.clone());
        for (id, node) in self.nodes.iter().enumerate() {
            let id = id as NodeId;
            let consensus = node.consensus.as_ref();
            let active = consensus.map(|consensus| consensus.active_version(self.clock(id)));
            let same_membership = consensus.is_some_and(|consensus| *consensus.membership() == membership);
            let is_member = membership.get(id).is_some();
            if !is_member && matches!(active, Some(ActiveVersion::Leased(_))) {
                self.violations.push(format!("node {id} is not a member, but acts on {active:?}"));
            }
            if is_member && (active != Some(ActiveVersion::Leased(last)) || !same_membership) {
                let violation = format!(
                    "node {id}: {active:?}, expected version {last}; same membership: {same_membership}"
                );
                self.violations.push(violation);
            }
        }
    }
}

fn address(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn run(seed: u64, changes: bool, defect: Option<Defect>, reports_unsynced: bool) -> Outcome {
    // A cluster with membership changes begins with one, three or five nodes, another one with three, five or
    // seven.
    let sizes = if changes { [1, 3, 5] } else { [3, 5, 7] };
    Cluster::new(seed, sizes[seed as usize % 3], changes, defect, reports_unsynced).run()
}

/// Runs a cluster without defects and asserts that there is no violation. Returns the numbers of committed
/// versions and of membership changes.
fn run_without_violation(seed: u64, changes: bool) -> (usize, usize) {
    let outcome = run(seed, changes, None, false);
    let violations = outcome.violations;
    assert!(violations.is_empty(), "seed {seed}, membership changes {changes}: {violations:#?}");
    (outcome.committed_versions, outcome.membership_changes)
}

// Operators propose settings while nodes crash, pause and lose messages. If a committed version could be
// replaced, or a node acted on an old version while others act on a conflicting new one, one node would break
// what another node promised a client.
#[test]
fn committed_versions_stay_and_nodes_never_act_on_conflicting_versions() {
    let mut committed = 0;
    let mut changed = 0;
    for (seed, changes) in (0..40).flat_map(|seed| [(seed, false), (seed, true)]) {
        let (versions, membership_changes) = run_without_violation(seed, changes);
        committed += versions;
        changed += membership_changes;
    }
    assert!(changed > 60, "only {changed} membership changes were committed, expected more than 60");
    assert!(committed > 150, "only {committed} versions were committed, expected more than 150");
}

#[test]
#[ignore = "takes long: the test above over 2,000 seeds"]
fn committed_versions_stay_over_many_seeds() {
    for changes in [false, true] {
        let mut committed = 0;
        let mut changed = 0;
        for seed in 0..2_000 {
            let (versions, membership_changes) = run_without_violation(seed, changes);
            committed += versions;
            changed += membership_changes;
        }
        println!(
            "membership changes {changes}: {committed} versions, {changed} membership changes committed"
        );
    }
}

// Checks that the checks above detect disks that report unsynced writes as durable, and defects of the lease
// rules.
#[test]
fn checks_detect_unsynced_logs_and_lease_defects() {
    let cases = [(None, true), (Some(Defect::NoActivationDelay), false), (Some(Defect::NoQuorum), false)];
    for (defect, unsynced) in cases {
        // The raft library panics if a log has lost records that were reported as durable.
        let passes =
            |seed| std::panic::catch_unwind(|| run(seed, false, defect, unsynced).violations.is_empty());
        let found = (0..60).find(|seed| !passes(*seed).unwrap_or(false));
        println!("defect {defect:?}, unsynced disks {unsynced}: detected with seed {found:?}");
        assert!(found.is_some(), "defect {defect:?}, unsynced disks {unsynced}: not detected");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(run(5, true, None, false), run(5, true, None, false));
}

// An operator removes the leader. The raft library ignores a transfer of leadership to a learner, so a leader
// that repeatedly chose a learner as its successor could never be removed.
#[test]
fn a_leader_hands_leadership_to_a_voter_before_it_is_removed() {
    let mut cluster = Cluster::new(0, 1, true, None, false);
    cluster.schedule.retain(|action| matches!(action, Action::Timer(_)));
    // Node 1 stays a learner, as it never catches up. It has the lowest number of all nodes that node 0 can
    // reach.
    cluster.nodes[1].paused_until = u64::MAX;
    let join = |id: u16| MembershipChange::Join { name: format!("p{id}"), address: address(10_000 + id) };
    let changes = [join(1), join(2), MembershipChange::Remove { id: 0, force: false }];
    for (step, change) in changes.into_iter().enumerate() {
        let committed = (0..20).any(|attempt| {
            let ticket = 100 * step as u64 + attempt;
            cluster.step(0, Event::ChangeMembership { ticket, change: change.clone() });
            let end = cluster.now + 3_000_000;
            cluster.run_until(end);
            cluster.now = end;
            matches!(cluster.answers.get(&ticket), Some(Ok(_)))
        });
        assert!(committed, "{change:?} was not committed: {:?}", cluster.answers);
    }
    let consensus = cluster.nodes[2].consensus.as_ref();
    let voters = consensus.map(|consensus| consensus.membership().voters().collect::<Vec<_>>());
    assert_eq!(voters, Some(vec![2]));
}
