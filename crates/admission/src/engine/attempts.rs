//! The table of the attempts that the engine has admitted, and of the answers that are still due.

use crate::interface::RequestId;
use crate::time::{Micros, Moment, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The progress of an attempt's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// The run has not been started, or its intent could not be made durable.
    NotStarted,
    /// The controller has started the run, and the idempotency table is first making the intent durable.
    AwaitingDurableIntent,
    /// The run was started and has not ended.
    Running,
    /// The run was started and has ended.
    Ended,
}

/// The engine's state for one attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(into = "StoredAttempt", from = "StoredAttempt")]
pub(super) struct Attempt {
    pub class: usize,
    /// The idempotency key; `None` for attempts of classes that are not keyed.
    pub idempotency_key: Option<Rc<str>>,
    /// The fingerprint of the request body; zero for attempts without an idempotency key.
    pub fingerprint: u128,
    /// When the attempt reached the machine.
    pub ingress: Moment,
    /// The monotonic time by which the attempt must be answered.
    pub due: Timestamp,
    pub awaiting_answer: bool,
    pub run: RunState,
    /// Whether the run waits for an outbound call.
    pub awaiting_call: bool,
}

impl Attempt {
    pub fn is_running(&self) -> bool {
        self.run == RunState::Running
    }

    pub fn is_awaiting_durable_intent(&self) -> bool {
        self.run == RunState::AwaitingDurableIntent
    }

    /// Whether the run was ever started. Such an attempt must not be answered with a rejection, which states
    /// that it never ran.
    pub fn was_started(&self) -> bool {
        matches!(self.run, RunState::Running | RunState::Ended)
    }

    /// Stops waiting for the durable intent of the attempt. Returns whether the attempt was waiting for the
    /// intent.
    pub fn abandon_intent(&mut self) -> bool {
        let waited = self.is_awaiting_durable_intent();
        if waited {
            self.run = RunState::NotStarted;
        }
        waited
    }

    /// Whether the attempt has been answered and has no run that is pending or running.
    fn is_finished(&self) -> bool {
        !self.awaiting_answer && !self.is_running() && !self.is_awaiting_durable_intent()
    }
}

/// The serialised form of an attempt on the hand-over link. The names and the order of the fields are part of
/// the hand-over protocol, see `docs/design/operation.md`.
#[derive(Serialize, Deserialize)]
struct StoredAttempt {
    class: usize,
    #[serde(rename = "repeat_key")]
    idempotency_key: Option<Rc<str>>,
    #[serde(rename = "print")]
    fingerprint: u128,
    ingress: Moment,
    due: Timestamp,
    #[serde(rename = "owed")]
    awaiting_answer: bool,
    #[serde(rename = "awaits")]
    awaiting_durable_intent: bool,
    running: bool,
    #[serde(rename = "ran")]
    started: bool,
    #[serde(rename = "calling")]
    awaiting_call: bool,
}

impl From<Attempt> for StoredAttempt {
    fn from(attempt: Attempt) -> Self {
        StoredAttempt {
            awaiting_durable_intent: attempt.is_awaiting_durable_intent(),
            running: attempt.is_running(),
            started: attempt.was_started(),
            class: attempt.class,
            idempotency_key: attempt.idempotency_key,
            fingerprint: attempt.fingerprint,
            ingress: attempt.ingress,
            due: attempt.due,
            awaiting_answer: attempt.awaiting_answer,
            awaiting_call: attempt.awaiting_call,
        }
    }
}

impl From<StoredAttempt> for Attempt {
    fn from(stored: StoredAttempt) -> Self {
        let run = match (stored.running, stored.awaiting_durable_intent, stored.started) {
            (true, _, _) => RunState::Running,
            (false, true, _) => RunState::AwaitingDurableIntent,
            (false, false, true) => RunState::Ended,
            (false, false, false) => RunState::NotStarted,
        };
        Attempt {
            class: stored.class,
            idempotency_key: stored.idempotency_key,
            fingerprint: stored.fingerprint,
            ingress: stored.ingress,
            due: stored.due,
            awaiting_answer: stored.awaiting_answer,
            run,
            awaiting_call: stored.awaiting_call,
        }
    }
}

/// All attempts that the engine knows, and an index of those that await an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptTable {
    pub by_id: BTreeMap<RequestId, Attempt>,
    /// The attempts that await an answer, ordered by due time.
    pub pending_answers: BTreeSet<(Timestamp, RequestId)>,
}

impl AttemptTable {
    pub fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub fn get(&self, id: RequestId) -> Option<&Attempt> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Attempt> {
        self.by_id.get_mut(&id)
    }

    pub fn insert(&mut self, id: RequestId, attempt: Attempt) {
        self.pending_answers.insert((attempt.due, id));
        self.by_id.insert(id, attempt);
    }

    /// Marks the attempt as answered. Returns false if the attempt awaits no answer; the calling code must
    /// not send an answer then, as the attempt would be answered twice.
    pub fn mark_answered(&mut self, id: RequestId) -> bool {
        let Some(attempt) = self.by_id.get_mut(&id).filter(|attempt| attempt.awaiting_answer) else {
            return false;
        };
        attempt.awaiting_answer = false;
        self.pending_answers.remove(&(attempt.due, id));
        true
    }

    /// Removes the attempt if it is finished. Returns whether it was removed.
    pub fn remove_finished(&mut self, id: RequestId) -> bool {
        let finished = self.get(id).is_some_and(Attempt::is_finished);
        if finished {
            self.by_id.remove(&id);
        }
        finished
    }

    /// The earliest due time of the attempts that await an answer.
    pub fn earliest_due(&self) -> Option<Timestamp> {
        self.pending_answers.first().map(|(due, _)| *due)
    }

    /// Removes the attempt with the earliest due time from the index of pending answers and returns its id,
    /// if at least `grace` has passed since that time. The attempt itself stays in the table and still awaits
    /// its answer.
    pub fn pop_overdue(&mut self, now: Timestamp, grace: Micros) -> Option<RequestId> {
        let (due, id) = *self.pending_answers.first()?;
        if due.plus(grace) > now {
            return None;
        }
        self.pending_answers.remove(&(due, id));
        Some(id)
    }

    pub fn running(&self) -> Vec<RequestId> {
        self.by_id.iter().filter(|(_, attempt)| attempt.is_running()).map(|(id, _)| *id).collect()
    }

    pub fn classes_in_use(&self) -> BTreeSet<usize> {
        self.by_id.values().map(|attempt| attempt.class).collect()
    }

    pub fn clear(&mut self) {
        self.by_id.clear();
        self.pending_answers.clear();
    }
}
