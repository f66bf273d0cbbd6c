//! The state of one idempotency key: which attempt holds it, how far its run has come, and when it expires.

use super::ENTRY_BYTES;
use crate::row::{Row, RowState};
use gaugestand_admission::RequestId;
use gaugestand_admission::time::Moment;
use gaugestand_admission::time::UnixTime;
use std::rc::Rc;

/// The progress of a key, from the arrival of its first attempt to the end of its run.
#[derive(Debug, PartialEq)]
pub(super) enum Phase {
    /// The first attempt is in the admission queue; the store has no row of the key for this attempt.
    Queued,
    /// The attempt was admitted, and its intent is being written.
    IntentPending,
    /// The run has begun and is not over.
    Running,
    /// The run is over, and this result is being written.
    ResultPending(Rc<[u8]>),
    /// The run is over, and this result may be sent.
    Completed(Rc<[u8]>),
    /// The attempt ran, or may have run before a restart, and there is no result.
    Failed,
}

impl Phase {
    fn result_bytes(&self) -> usize {
        match self {
            Phase::ResultPending(result) | Phase::Completed(result) => result.len(),
            Phase::Queued | Phase::IntentPending | Phase::Running | Phase::Failed => 0,
        }
    }
}

/// The state that the table keeps for one key.
#[derive(Debug)]
pub(super) struct Entry {
    /// The attempt that holds the key: the only one that may run.
    pub(super) holder: RequestId,
    /// Fingerprint of the holder's body.
    pub(super) fingerprint: u128,
    /// Unix time at which the holder reached the machine; zero until it is admitted.
    pub(super) ingress: UnixTime,
    /// End of the deduplication window, on both clocks; an attempt counts as a repeat until the end has
    /// passed on both clocks.
    pub(super) expires: Moment,
    /// Sequence number of the intent, by which the store orders the rows of one key; zero before there is an
    /// intent.
    pub(super) sequence: u64,
    pub(super) phase: Phase,
    /// Repeats that wait for the result of the holder.
    pub(super) waiters: Vec<RequestId>,
}

impl Entry {
    /// Creates the entry of an attempt that is in the admission queue.
    pub(super) fn queued(holder: RequestId, fingerprint: u128, expires: Moment) -> Self {
        Entry {
            holder,
            fingerprint,
            ingress: UnixTime(0),
            expires,
            sequence: 0,
            phase: Phase::Queued,
            waiters: Vec::new(),
        }
    }

    /// Whether the run has not begun, has not ended, or has a result that is not durable yet. Such an entry
    /// is kept even after the end of its window.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.phase, Phase::Completed(_) | Phase::Failed)
    }

    /// Whether an attempt that reached the machine at `ingress` is within the window, so that it counts as a
    /// repeat.
    pub(super) fn covers(&self, ingress: Moment) -> bool {
        ingress.is_before(self.expires)
    }

    /// Whether the entry waits for the intent with this sequence number to become durable.
    pub(super) fn awaits_intent(&self, sequence: u64) -> bool {
        self.sequence == sequence && self.phase == Phase::IntentPending
    }

    /// Memory that the entry takes under this key, in bytes.
    pub(super) fn bytes(&self, key: &str) -> usize {
        entry_bytes(key, &self.phase)
    }

    /// The row for this entry in the store, with the given state.
    pub(super) fn row(&self, key: &str, state: RowState) -> Row {
        Row {
            key: key.to_string(),
            holder: self.holder.0,
            fingerprint: self.fingerprint,
            ingress: self.ingress,
            expires: self.expires.wall,
            sequence: self.sequence,
            state,
        }
    }
}

/// Memory that an entry in this phase takes, in bytes.
pub(super) fn entry_bytes(key: &str, phase: &Phase) -> usize {
    key.len() + phase.result_bytes() + ENTRY_BYTES
}
