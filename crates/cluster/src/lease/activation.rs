//! The state machine of one node: activation of committed versions, requests and grants of leases.

use super::config::LeaseConfig;
use super::defect::Defect;
use crate::voters::VoterSet;
use crate::{NodeId, Version};
use gaugestand_admission::time::Timestamp;
use std::collections::BTreeSet;

/// What happens to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The last version in the node's log, durable; lower than before if the log was truncated.
    LogTail(Version),
    /// A version of the node's log is committed.
    Committed {
        /// Which version.
        version: Version,
        /// Its predecessor is known and compatible: nodes may act on both at a time.
        immediate: bool,
        /// Who votes under it; only a version that is not `immediate` may change this, by one node at most.
        voters: VoterSet,
    },
    /// Another node requests a lease.
    LeaseRequested {
        /// The requester.
        from: NodeId,
        /// The version that it wants to act on.
        version: Version,
        /// The requester's number of the request.
        request_id: u64,
    },
    /// Another node grants a request of this node.
    LeaseGranted {
        /// Who grants it.
        from: NodeId,
        /// Which request.
        request_id: u64,
    },
    /// Time has passed.
    Timer,
}

/// What a node has to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Request a lease from all other nodes.
    RequestLease {
        /// Of which version.
        version: Version,
        /// Number of the request.
        request_id: u64,
    },
    /// Grant a lease to another node.
    GrantLease {
        /// The requester.
        to: NodeId,
        /// The requester's number of the request.
        request_id: u64,
    },
}

/// What a node may act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ActiveVersion {
    /// This version, under a lease; 0 if a quorum knows of none.
    Leased(Version),
    /// The last version that was activated, without a lease: another node may act on a newer one, so only what no later
    /// version could contradict is allowed. 0 if none was activated since the start.
    Unleased(Version),
}

/// A lease that a quorum granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The version that it was requested for.
    pub version: Version,
    /// When it ends, by this node's monotonic clock.
    pub expires_at: Timestamp,
}

/// A committed version that is not activated yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingVersion {
    version: Version,
    /// Not before then, nor before the pending versions ahead of it.
    activates_at: Timestamp,
    immediate: bool,
}

/// The voters from a version on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct VoterChange {
    version: Version,
    voters: VoterSet,
}

/// The last lease request, and who has granted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaseRequest {
    id: u64,
    version: Version,
    requested_at: Timestamp,
    granted_by: BTreeSet<NodeId>,
}

/// Which version a node may act on. Nothing of it survives a restart: a lease from before a restart does not count.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Activation {
    config: LeaseConfig,
    node_id: NodeId,
    /// The last version in the log, committed or not.
    log_tail: Version,
    /// The last version that was activated.
    activated: Version,
    /// The lowest version a lease of which counts for `activated`: those after it are compatible with it.
    oldest_valid_lease: Version,
    /// Committed versions that wait for their activation, in order.
    pending: Vec<PendingVersion>,
    /// Voters by the version from which on they vote, in order, as far back as a lease request may need.
    voter_changes: Vec<VoterChange>,
    request: Option<LeaseRequest>,
    last_request_id: u64,
    lease: Option<Lease>,
}

impl Activation {
    /// A node that has just started, with `log_tail` as the last version in its log. `last_request_id` has to be above the
    /// request ids of all its earlier incarnations, so that their late grants do not count.
    pub fn new(config: LeaseConfig, node_id: NodeId, log_tail: Version, last_request_id: u64) -> Self {
        Activation {
            config,
            node_id,
            log_tail,
            activated: 0,
            oldest_valid_lease: 0,
            pending: Vec::new(),
            voter_changes: vec![VoterChange { version: 0, voters: config.initial_voters() }],
            request: None,
            last_request_id,
            lease: None,
        }
    }

    /// What the node may act on at this moment. `now` has to be read just before each decision.
    pub fn active_version(&self, now: Timestamp) -> ActiveVersion {
        let is_valid = |lease: &Lease| {
            now < lease.expires_at && (self.oldest_valid_lease..=self.activated).contains(&lease.version)
        };
        match self.lease {
            Some(lease) if is_valid(&lease) => ActiveVersion::Leased(self.activated),
            _ => ActiveVersion::Unleased(self.activated),
        }
    }

    /// The last lease, expired or not.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// The last version that was activated, whether or not there is a lease of it.
    pub fn activated(&self) -> Version {
        self.activated
    }

    /// When [`Event::Timer`] is due next.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let activation = self.pending.first().map(|pending| pending.activates_at);
        // While the log holds a later version nothing is renewed: a timer for that would be due in the past, for ever.
        let request = self.request.as_ref().filter(|_| self.may_lease(self.activated));
        let renewal = request.map(|request| request.requested_at.plus(self.config.renewal_interval()));
        [activation, renewal].into_iter().flatten().min()
    }

    /// Takes in an event; appends what is to be sent to `commands`.
    pub fn on_event(&mut self, now: Timestamp, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::LogTail(version) => self.log_tail = version,
            Event::Committed { version, immediate, voters } => {
                self.on_committed(now, version, immediate, voters);
            }
            Event::LeaseRequested { from, version, request_id } => {
                if self.may_lease(version) {
                    commands.push(Command::GrantLease { to: from, request_id });
                }
            }
            Event::LeaseGranted { from, request_id } => {
                if let Some(request) = self.request.as_mut().filter(|request| request.id == request_id) {
                    request.granted_by.insert(from);
                }
                self.update_lease(now);
            }
            Event::Timer => {}
        }
        self.activate_due(now);
        // Before the first version a lease is needed as well: a node with a new disk cannot know that there is none.
        if self.is_renewal_due(now) && self.may_lease(self.activated) {
            self.request_lease(now, commands);
        }
    }

    fn on_committed(&mut self, now: Timestamp, version: Version, immediate: bool, voters: VoterSet) {
        let is_new = version > self.activated && self.pending.iter().all(|pending| pending.version < version);
        if !is_new {
            return;
        }
        // After a restart or in a burst several versions wait, each for its own delay; the last activated one counts.
        let activates_at = if immediate { now } else { now.plus(self.config.activation_delay()) };
        self.pending.push(PendingVersion { version, activates_at, immediate });
        if self.voter_changes.last().is_none_or(|change| change.voters != voters) {
            self.voter_changes.push(VoterChange { version, voters });
        }
        if immediate && self.config.has_defect(Defect::ActivatesOutOfOrder) {
            self.pending.retain(|pending| pending.version == version);
        }
    }

    /// Whether a lease of this version may be requested or granted: the log holds no later one.
    fn may_lease(&self, version: Version) -> bool {
        self.log_tail <= version || self.config.has_defect(Defect::GrantsOutdatedLease)
    }

    fn is_renewal_due(&self, now: Timestamp) -> bool {
        let Some(request) = &self.request else { return true };
        request.version != self.activated || now.since(request.requested_at) >= self.config.renewal_interval()
    }

    fn activate_due(&mut self, now: Timestamp) {
        while let Some(next) = self.pending.first().copied().filter(|next| next.activates_at <= now) {
            self.pending.remove(0);
            self.activated = next.version;
            if !next.immediate {
                self.oldest_valid_lease = next.version;
            }
        }
        // Leases are requested for the activated version only: of the voters before it nothing is needed.
        let effective = self.voter_changes.iter().filter(|change| change.version <= self.activated).count();
        self.voter_changes.drain(..effective.saturating_sub(1));
    }

    fn request_lease(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        self.last_request_id += 1;
        self.request = Some(LeaseRequest {
            id: self.last_request_id,
            version: self.activated,
            requested_at: now,
            granted_by: BTreeSet::from([self.node_id]),
        });
        commands.push(Command::RequestLease { version: self.activated, request_id: self.last_request_id });
        self.update_lease(now);
    }

    /// Whether a quorum of the voters of the requested version has granted it.
    fn has_quorum(&self, request: &LeaseRequest) -> bool {
        if self.config.has_defect(Defect::NoQuorum) {
            return true;
        }
        if self.config.has_defect(Defect::InitialMajority) {
            return request.granted_by.len() > self.config.initial_voters().count() / 2;
        }
        let effective = self.voter_changes.iter().rev().find(|change| change.version <= request.version);
        effective.is_some_and(|change| change.voters.is_majority(&request.granted_by))
    }

    /// A request that a quorum has granted becomes a lease, or extends the lease of the same version.
    fn update_lease(&mut self, now: Timestamp) {
        let Some(request) = self.request.as_ref().filter(|request| self.has_quorum(request)) else { return };
        let from_grant = self.config.has_defect(Defect::LeaseFromGrant);
        // From the request on: a grant says that no later version was in that log when the request was answered, which
        // may be any time after it was sent.
        let starts_at = if from_grant { now } else { request.requested_at };
        let granted_until = starts_at.plus(self.config.duration());
        let extended = self.lease.filter(|lease| lease.version == request.version);
        let expires_at = extended.map_or(granted_until, |lease| lease.expires_at.max(granted_until));
        self.lease = Some(Lease { version: request.version, expires_at });
    }
}
