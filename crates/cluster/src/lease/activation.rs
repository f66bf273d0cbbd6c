//! State machine of one node that activates committed versions and requests and grants leases.

use super::config::LeaseConfig;
use super::defect::Defect;
use crate::voters::VoterSet;
use crate::{NodeId, Version};
use gaugestand_admission::time::Timestamp;
use std::collections::BTreeSet;

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The durable end of the node's log has changed: its last version, which is lower than before if the log
    /// was truncated.
    LogTail(Version),
    /// The node has learned that a version of its log is committed.
    Committed {
        /// The committed version.
        version: Version,
        /// Whether the predecessor is known and compatible with this version, so that nodes may act on both
        /// at the same time.
        immediate: bool,
        /// Voters of this version. Only a version that is not `immediate` may change the voters, by one node
        /// at most.
        voters: VoterSet,
    },
    /// Another node has requested a lease from this node.
    LeaseRequested {
        /// The requesting node.
        from: NodeId,
        /// The version that the requesting node wants to act on.
        version: Version,
        /// Request id that the requesting node assigned.
        request_id: u64,
    },
    /// Another node has granted a lease request of this node.
    LeaseGranted {
        /// The granting node.
        from: NodeId,
        /// Request id of the granted request, as in [`Command::RequestLease`].
        request_id: u64,
    },
    /// A timer has expired, see [`Activation::next_timer`]. May be reported at any time.
    Timer,
}

/// A message that the caller has to send for the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Request a lease from all other nodes.
    RequestLease {
        /// The version to act on under the lease.
        version: Version,
        /// Request id, unique among all incarnations of this node.
        request_id: u64,
    },
    /// Grant the lease request of another node.
    GrantLease {
        /// The requesting node.
        to: NodeId,
        /// Request id that the requesting node assigned.
        request_id: u64,
    },
}

/// The version that a node may act on, and whether it holds a lease for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ActiveVersion {
    /// The node may act on this version under a lease; 0 if the logs of a quorum held no version.
    Leased(Version),
    /// The node holds no valid lease for this version, the last one that it activated; 0 if it has activated
    /// none since its start. Another node may act on a newer version, so only what no later version could
    /// contradict is allowed.
    Unleased(Version),
}

/// A lease that a quorum granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The version that the lease was requested for.
    pub version: Version,
    /// When the lease expires, by this node's monotonic clock.
    pub expires_at: Timestamp,
}

/// A committed version that is not activated yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingVersion {
    version: Version,
    /// Earliest time of the activation, by this node's monotonic clock. Pending versions are activated in
    /// order, so earlier ones may delay it.
    activates_at: Timestamp,
    immediate: bool,
}

/// A change of the voters: `voters` vote from `version` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct VoterChange {
    version: Version,
    voters: VoterSet,
}

/// The last lease request of this node, and the nodes that have granted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaseRequest {
    id: u64,
    version: Version,
    requested_at: Timestamp,
    granted_by: BTreeSet<NodeId>,
}

/// Decides which version a node may act on. The state is not persisted: a lease from before a restart is not
/// valid.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Activation {
    config: LeaseConfig,
    node_id: NodeId,
    /// The last durable version in the log, committed or not.
    log_tail: Version,
    /// The last version that was activated; 0 if there is none since the start.
    activated: Version,
    /// The lowest version whose leases are valid for `activated`: all versions after it, up to `activated`,
    /// are compatible with it.
    oldest_valid_lease: Version,
    /// Committed versions that wait for their activation, in ascending order.
    pending: Vec<PendingVersion>,
    /// Changes of the voters in ascending order of versions, from the one that is in effect for `activated`.
    voter_changes: Vec<VoterChange>,
    request: Option<LeaseRequest>,
    last_request_id: u64,
    lease: Option<Lease>,
}

impl Activation {
    /// State machine of a node that has just started. `log_tail` is the last version in the node's log.
    /// `last_request_id` has to be above the request ids of all earlier incarnations of the node, so that
    /// late grants of their requests are ignored.
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

    /// The version that the node may act on at `now`, which the caller has to read just before each decision.
    pub fn active_version(&self, now: Timestamp) -> ActiveVersion {
        let is_valid = |lease: &Lease| {
            now < lease.expires_at && (self.oldest_valid_lease..=self.activated).contains(&lease.version)
        };
        match self.lease {
            Some(lease) if is_valid(&lease) => ActiveVersion::Leased(self.activated),
            _ => ActiveVersion::Unleased(self.activated),
        }
    }

    /// The last lease that a quorum granted since the start, expired or not.
    pub fn lease(&self) -> Option<Lease> {
        self.lease
    }

    /// The last version that was activated, with or without a valid lease; 0 if there is none since the
    /// start.
    pub fn activated(&self) -> Version {
        self.activated
    }

    /// When the caller has to report [`Event::Timer`] next; `None` if no timer is pending.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let activation = self.pending.first().map(|pending| pending.activates_at);
        // While the log holds a later version no lease is renewed: a timer for a renewal would stay due, and
        // the caller would report it without end.
        let request = self.request.as_ref().filter(|_| self.may_lease(self.activated));
        let renewal = request.map(|request| request.requested_at.plus(self.config.renewal_interval()));
        [activation, renewal].into_iter().flatten().min()
    }

    /// Processes an event and appends the messages that have to be sent to `commands`.
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
        // A lease is also needed while there is no version: a node with a new disk cannot know whether the
        // cluster has committed one.
        if self.is_renewal_due(now) && self.may_lease(self.activated) {
            self.request_lease(now, commands);
        }
    }

    fn on_committed(&mut self, now: Timestamp, version: Version, immediate: bool, voters: VoterSet) {
        let is_new = version > self.activated && self.pending.iter().all(|pending| pending.version < version);
        if !is_new {
            return;
        }
        // Several versions may be pending, after a restart or when commits follow each other quickly. Each
        // has its own delay, and the last one that is activated is in effect.
        let activates_at = if immediate { now } else { now.plus(self.config.activation_delay()) };
        self.pending.push(PendingVersion { version, activates_at, immediate });
        if self.voter_changes.last().is_none_or(|change| change.voters != voters) {
            self.voter_changes.push(VoterChange { version, voters });
        }
        if immediate && self.config.has_defect(Defect::ActivatesOutOfOrder) {
            self.pending.retain(|pending| pending.version == version);
        }
    }

    /// Whether this node may request or grant a lease of this version: its log holds no later one.
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
        // Leases are requested only for the activated version, so voters of earlier versions are no longer
        // needed.
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

    /// Whether a majority of the voters of the requested version has granted the request.
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

    /// Turns the last request into a lease once a quorum has granted it, or extends the lease of the same
    /// version.
    fn update_lease(&mut self, now: Timestamp) {
        let Some(request) = self.request.as_ref().filter(|request| self.has_quorum(request)) else { return };
        let from_grant = self.config.has_defect(Defect::LeaseFromGrant);
        // The lease starts at the request. A grant only says that the granting node's log held no later
        // version when that node answered, which may have been at any time after the request.
        let starts_at = if from_grant { now } else { request.requested_at };
        let granted_until = starts_at.plus(self.config.duration());
        let extended = self.lease.filter(|lease| lease.version == request.version);
        let expires_at = extended.map_or(granted_until, |lease| lease.expires_at.max(granted_until));
        self.lease = Some(Lease { version: request.version, expires_at });
    }
}
