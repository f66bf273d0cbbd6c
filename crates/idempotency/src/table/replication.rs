//! Replication of the table to the process that takes this node over.
//!
//! Both processes run on one machine and have no store. The predecessor queues each key that changes and sends it as it
//! is then, so that a key that changes often is sent once; the successor applies entries in the order in which they come.
//! The serialised names are those of the hand-over protocol, which two versions of the program may speak to each other.

use super::state::{Entry, Phase};
use super::{KeyTable, LATE_READ_GRACE};
use gaugestand_admission::RequestId;
use gaugestand_admission::time::Moment;
use gaugestand_admission::time::{Micros, UnixTime};
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// One key as it is in the other process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedEntry {
    key: String,
    /// Nothing if the key is no longer remembered.
    #[serde(rename = "known")]
    state: Option<ReplicatedState>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ReplicatedState {
    holder: RequestId,
    #[serde(rename = "print")]
    fingerprint: u128,
    #[serde(rename = "ran")]
    ingress: UnixTime,
    #[serde(rename = "until")]
    expires: Moment,
    phase: ReplicatedPhase,
    #[serde(rename = "waiting")]
    waiters: Vec<RequestId>,
}

/// A [`Phase`] without the steps that only a store has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ReplicatedPhase {
    #[serde(rename = "Held")]
    Queued,
    Running,
    #[serde(rename = "Good")]
    Completed(Vec<u8>),
    Failed,
}

impl From<&Phase> for ReplicatedPhase {
    fn from(phase: &Phase) -> Self {
        match phase {
            Phase::Queued | Phase::IntentPending => ReplicatedPhase::Queued,
            Phase::Running => ReplicatedPhase::Running,
            Phase::ResultPending(result) | Phase::Completed(result) => {
                ReplicatedPhase::Completed(result.to_vec())
            }
            Phase::Failed => ReplicatedPhase::Failed,
        }
    }
}

impl From<ReplicatedPhase> for Phase {
    fn from(phase: ReplicatedPhase) -> Self {
        match phase {
            ReplicatedPhase::Queued => Phase::Queued,
            ReplicatedPhase::Running => Phase::Running,
            ReplicatedPhase::Completed(result) => Phase::Completed(result.into()),
            ReplicatedPhase::Failed => Phase::Failed,
        }
    }
}

impl From<&Entry> for ReplicatedState {
    fn from(entry: &Entry) -> Self {
        ReplicatedState {
            holder: entry.holder,
            fingerprint: entry.fingerprint,
            ingress: entry.ingress,
            expires: entry.expires,
            phase: ReplicatedPhase::from(&entry.phase),
            waiters: entry.waiters.clone(),
        }
    }
}

impl From<ReplicatedState> for Entry {
    fn from(state: ReplicatedState) -> Self {
        Entry {
            holder: state.holder,
            fingerprint: state.fingerprint,
            ingress: state.ingress,
            expires: state.expires,
            sequence: 0,
            phase: Phase::from(state.phase),
            waiters: state.waiters,
        }
    }
}

/// Keys that have changed since they were last sent, each once, in the order of their first change.
#[derive(Debug, Default)]
pub(super) struct ReplicationQueue {
    order: VecDeque<Rc<str>>,
    members: HashSet<Rc<str>>,
}

impl ReplicationQueue {
    fn push(&mut self, key: &str) {
        if self.members.contains(key) {
            return;
        }
        let key: Rc<str> = key.into();
        self.members.insert(key.clone());
        self.order.push_back(key);
    }

    fn pop(&mut self, max: usize) -> Vec<Rc<str>> {
        let count = max.min(self.order.len());
        let keys: Vec<Rc<str>> = self.order.drain(..count).collect();
        for key in &keys {
            self.members.remove(key);
        }
        keys
    }
}

/// The side of the predecessor.
impl KeyTable {
    /// Starts to replicate, with all keys there are, or stops.
    pub fn set_replicating(&mut self, on: bool) {
        self.replication = on.then(|| ReplicationQueue {
            order: self.keys.keys().cloned().collect(),
            members: self.keys.keys().cloned().collect(),
        });
    }

    /// The key of the fingerprints, which the successor needs to make the same.
    pub fn secret(&self) -> [u8; 32] {
        self.secret
    }

    /// Up to `max` keys that have changed, each as it is now; empty once the successor has been sent all.
    pub fn take_replicated(&mut self, max: usize) -> Vec<ReplicatedEntry> {
        let Some(queue) = &mut self.replication else { return Vec::new() };
        let replicated = |key: Rc<str>| ReplicatedEntry {
            key: key.to_string(),
            state: self.keys.get(&key).map(ReplicatedState::from),
        };
        queue.pop(max).into_iter().map(replicated).collect()
    }

    /// Whether a key has changed that the successor was not sent.
    pub fn is_replication_behind(&self) -> bool {
        self.replication.as_ref().is_some_and(|queue| !queue.order.is_empty())
    }

    /// Notes that a key changes.
    pub(super) fn mark_changed(&mut self, key: &str) {
        if let Some(queue) = &mut self.replication {
            queue.push(key);
        }
    }
}

/// The side of the successor.
impl KeyTable {
    /// Forgets all keys, and is a replica of another process's table from now on.
    pub fn begin_replica(&mut self, secret: [u8; 32]) {
        self.keys.clear();
        self.expiry.clear();
        self.metrics.bytes = 0;
        self.secret = secret;
    }

    /// Puts an entry of the predecessor in place of what was known of its key.
    pub fn apply_replicated(&mut self, replicated: ReplicatedEntry) {
        let key: Rc<str> = replicated.key.into();
        self.remove(&key);
        let Some(state) = replicated.state else { return };
        self.expiry.push_back((state.expires.mono.plus(LATE_READ_GRACE), key.clone()));
        self.insert(key, Entry::from(state));
    }

    /// The predecessor ended without handing over. What ran there has no result to show; what was queued there never
    /// ran. Unless all entries came, no first attempt is taken for as long as a missing one may bind: guards against a
    /// second run of a key that ran there.
    pub fn on_predecessor_lost(&mut self, now: Moment, is_complete: bool, window: Micros) {
        self.keys.retain(|_, entry| entry.phase != Phase::Queued);
        for entry in self.keys.values_mut() {
            entry.waiters.clear();
            if entry.phase == Phase::Running {
                entry.phase = Phase::Failed;
            }
        }
        let bind_until = now.mono.plus(window).plus(LATE_READ_GRACE);
        self.missing_keys_bind_until = Some(bind_until).filter(|_| !is_complete);
    }
}
