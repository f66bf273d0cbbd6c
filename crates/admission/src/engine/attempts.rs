//! The attempts that the engine has admitted, and which of them still await an answer.

use crate::interface::RequestId;
use crate::time::{Micros, Moment, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How far the run of an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// It has not been started, or its intent could not be made durable.
    NotStarted,
    /// The controller wants it to run, and the idempotency table is making its intent durable first.
    AwaitingDurableIntent,
    /// It was started and has not ended.
    Running,
    /// It was started and has ended.
    Ended,
}

/// What the engine knows of one attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(into = "StoredAttempt", from = "StoredAttempt")]
pub(super) struct Attempt {
    pub class: usize,
    /// The idempotency key; only attempts of keyed classes have one.
    pub repeat_key: Option<Rc<str>>,
    /// Fingerprint of the body; zero without a key.
    pub fingerprint: u128,
    /// When it reached the machine.
    pub ingress: Moment,
    /// Monotonic time by which it must be answered.
    pub due: Timestamp,
    pub awaiting_answer: bool,
    pub run: RunState,
    /// Its run waits for an outbound call.
    pub awaiting_call: bool,
}

impl Attempt {
    pub fn is_running(&self) -> bool {
        self.run == RunState::Running
    }

    pub fn is_awaiting_durable_intent(&self) -> bool {
        self.run == RunState::AwaitingDurableIntent
    }

    /// Whether its run was ever started; such an attempt must not be answered as one that never ran.
    pub fn was_started(&self) -> bool {
        matches!(self.run, RunState::Running | RunState::Ended)
    }

    /// Gives up waiting for the durable intent; false if it did not wait.
    pub fn abandon_intent(&mut self) -> bool {
        let waited = self.is_awaiting_durable_intent();
        if waited {
            self.run = RunState::NotStarted;
        }
        waited
    }

    /// Nothing more can happen to it.
    fn is_finished(&self) -> bool {
        !self.awaiting_answer && !self.is_running() && !self.is_awaiting_durable_intent()
    }
}

/// An attempt as the hand-over link carries it. Names and order are the protocol's: see `docs/design/operation.md`.
#[derive(Serialize, Deserialize)]
struct StoredAttempt {
    class: usize,
    repeat_key: Option<Rc<str>>,
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
            repeat_key: attempt.repeat_key,
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
            repeat_key: stored.repeat_key,
            fingerprint: stored.fingerprint,
            ingress: stored.ingress,
            due: stored.due,
            awaiting_answer: stored.awaiting_answer,
            run,
            awaiting_call: stored.awaiting_call,
        }
    }
}

/// Attempts by id, indexed by due time while they await an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptTable {
    pub by_id: BTreeMap<RequestId, Attempt>,
    /// Due times of the attempts that await an answer.
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

    /// Marks the attempt as answered; false if it awaited no answer, so that nothing is answered twice.
    pub fn mark_answered(&mut self, id: RequestId) -> bool {
        let Some(attempt) = self.by_id.get_mut(&id).filter(|attempt| attempt.awaiting_answer) else {
            return false;
        };
        attempt.awaiting_answer = false;
        self.pending_answers.remove(&(attempt.due, id));
        true
    }

    /// Removes the attempt if nothing more can happen to it; returns whether it did.
    pub fn remove_finished(&mut self, id: RequestId) -> bool {
        let finished = self.get(id).is_some_and(Attempt::is_finished);
        if finished {
            self.by_id.remove(&id);
        }
        finished
    }

    /// The earliest due time of an attempt that awaits an answer.
    pub fn earliest_due(&self) -> Option<Timestamp> {
        self.pending_answers.first().map(|(due, _)| *due)
    }

    /// Takes the attempt that is due first out of the index of pending answers, if it is `grace` past its due time.
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
