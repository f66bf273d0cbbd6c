//! Replication of the key table to the successor process that takes over the node.
//!
//! Both processes run on one machine and use no idempotency store. The predecessor queues each key that
//! changes and sends the state that the key has when it is sent, so that a key that changes often is sent
//! once; the successor applies entries in the order in which they arrive. The serialised names are those of
//! the hand-over protocol, which may connect two versions of the program.

use super::state::{Entry, Phase};
use super::{KeyTable, LATE_READ_GRACE};
use gaugestand_admission::RequestId;
use gaugestand_admission::time::Moment;
use gaugestand_admission::time::{Micros, UnixTime};
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// The state of one key in the predecessor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedEntry {
    key: String,
    /// `None` if the predecessor has no entry for the key any more.
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

/// A [`Phase`] without the variants that only a table with a store has.
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
    queued: HashSet<Rc<str>>,
}

impl ReplicationQueue {
    fn push(&mut self, key: &str) {
        if self.queued.contains(key) {
            return;
        }
        let key: Rc<str> = key.into();
        self.queued.insert(key.clone());
        self.order.push_back(key);
    }

    fn pop(&mut self, max: usize) -> Vec<Rc<str>> {
        let count = max.min(self.order.len());
        let keys: Vec<Rc<str>> = self.order.drain(..count).collect();
        for key in &keys {
            self.queued.remove(key);
        }
        keys
    }
}

/// Replication on the predecessor's side.
impl KeyTable {
    /// Starts replication, beginning with all keys of the table, or stops it.
    pub fn set_replicating(&mut self, on: bool) {
        self.replication = on.then(|| ReplicationQueue {
            order: self.keys.keys().cloned().collect(),
            queued: self.keys.keys().cloned().collect(),
        });
    }

    /// The secret that keys the fingerprints. The successor needs it to compute equal fingerprints.
    pub fn secret(&self) -> [u8; 32] {
        self.secret
    }

    /// Takes up to `max` changed keys, each with its present state. Returns none once all have been taken, or
    /// while replication is off.
    pub fn take_replicated(&mut self, max: usize) -> Vec<ReplicatedEntry> {
        let Some(queue) = &mut self.replication else { return Vec::new() };
        let replicated = |key: Rc<str>| ReplicatedEntry {
            key: key.to_string(),
            state: self.keys.get(&key).map(ReplicatedState::from),
        };
        queue.pop(max).into_iter().map(replicated).collect()
    }

    /// Whether any changed key has not been taken for the successor yet.
    pub fn is_replication_behind(&self) -> bool {
        self.replication.as_ref().is_some_and(|queue| !queue.order.is_empty())
    }

    /// If replication is on, queues for replication a key whose entry changes.
    pub(super) fn mark_changed(&mut self, key: &str) {
        if let Some(queue) = &mut self.replication {
            queue.push(key);
        }
    }
}

/// Replication on the successor's side.
impl KeyTable {
    /// Removes all entries and adopts the fingerprint secret of the predecessor, whose table this one
    /// replicates from now on.
    pub fn begin_replica(&mut self, secret: [u8; 32]) {
        self.keys.clear();
        self.expiry.clear();
        self.metrics.bytes = 0;
        self.secret = secret;
    }

    /// Replaces the entry of a key, if there is one, with the state that the predecessor sent.
    pub fn apply_replicated(&mut self, replicated: ReplicatedEntry) {
        let key: Rc<str> = replicated.key.into();
        self.remove(&key);
        let Some(state) = replicated.state else { return };
        self.expiry.push_back((state.expires.mono.plus(LATE_READ_GRACE), key.clone()));
        self.insert(key, Entry::from(state));
    }

    /// Handles a predecessor that ended without handing over. A run that was under way in the predecessor
    /// counts as failed; an attempt that was queued in the predecessor never ran. Unless `is_complete` says
    /// that all entries were received, first attempts are rejected until the `window` of any missing key is
    /// over: a missing key may have run in the predecessor and must not run again.
    pub fn on_predecessor_lost(&mut self, now: Moment, is_complete: bool, window: Micros) {
        self.keys.retain(|_, entry| entry.phase != Phase::Queued);
        for entry in self.keys.values_mut() {
            entry.waiters.clear();
            if entry.phase == Phase::Running {
                entry.phase = Phase::Failed;
            }
        }
        let reject_until = now.mono.plus(window).plus(LATE_READ_GRACE);
        self.reject_new_keys_until = Some(reject_until).filter(|_| !is_complete);
    }
}
