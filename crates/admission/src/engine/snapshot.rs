//! The engine's state as it is handed over to another process that takes over the service.

use super::Engine;
use super::attempts::{Attempt, AttemptTable};
use super::deadlines::ControllerTimers;
use crate::controller::Controller;
use crate::idempotency::IdempotencyTable;
use crate::interface::{RequestId, Settings};
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of an engine without its idempotency table, which is replicated separately.
///
/// Monotonic times are those of the process that made the snapshot. The names and the order of the fields are
/// part of the hand-over protocol: a field that is renamed in the code keeps its protocol name by
/// `#[serde(rename)]`.
#[derive(Debug, Serialize, Deserialize)]
pub struct EngineSnapshot {
    settings: Settings,
    /// For each class slot, whether the class accepts first attempts.
    #[serde(rename = "open")]
    pub open_classes: Vec<bool>,
    controller: Option<Controller>,
    #[serde(rename = "tries")]
    attempts: BTreeMap<RequestId, Attempt>,
    #[serde(rename = "owed")]
    pending_answers: BTreeSet<(Timestamp, RequestId)>,
    #[serde(rename = "timers")]
    scheduled_timers: BTreeSet<(Timestamp, u64)>,
    due_timers: Vec<u64>,
    capacity: Option<f64>,
    #[serde(rename = "good")]
    healthy: bool,
}

impl<T: IdempotencyTable> Engine<T> {
    /// Returns the state of this engine without its idempotency table.
    pub fn snapshot(&self) -> EngineSnapshot {
        EngineSnapshot {
            settings: self.settings.clone(),
            open_classes: self.open_classes.clone(),
            controller: self.controller.clone(),
            attempts: self.attempts.by_id.clone(),
            pending_answers: self.attempts.pending_answers.clone(),
            scheduled_timers: self.timers.scheduled.clone(),
            due_timers: self.timers.due.clone(),
            capacity: self.capacity,
            healthy: self.controller_healthy,
        }
    }

    /// Replaces this engine's state by that of another engine. The idempotency table stays.
    pub fn restore(&mut self, snapshot: EngineSnapshot) {
        self.settings = snapshot.settings;
        self.open_classes = snapshot.open_classes;
        self.controller = snapshot.controller;
        self.attempts = AttemptTable { by_id: snapshot.attempts, pending_answers: snapshot.pending_answers };
        self.timers = ControllerTimers::restored(snapshot.scheduled_timers, snapshot.due_timers);
        self.capacity = snapshot.capacity;
        self.controller_healthy = snapshot.healthy;
    }

    /// Drops the controller, all attempts and all timers, as another process has taken over. The idempotency
    /// table stays.
    pub fn retire(&mut self) {
        self.controller = None;
        self.attempts.clear();
        self.timers.clear();
    }
}
