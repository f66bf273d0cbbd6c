//! The engine: the [`Controller`] together with the parts that connect it to a host process: the table of
//! attempts, the idempotency table and the controller's timers. The host drives it through three calls.
//!
//! The front (the code that reads requests and writes answers) passes each attempt of a request to
//! [`Engine::admit`] and each later event to [`Engine::on_event`], and calls [`Engine::on_timer`] whenever a
//! timer is due. Each of these appends the [`EngineCommand`]s that the host has to carry out. The engine
//! knows no wire protocol, does no I/O and reads no clock.
//!
//! The engine guarantees, whatever the controller decides:
//!
//! - each admitted attempt is answered exactly once, unless its caller has gone, and at most 20 ms
//!   (`OVERDUE_GRACE`) after its due time if the host calls [`Engine::on_timer`] at the times that it
//!   returns;
//! - an attempt whose run was started is never answered with a rejection, which states that it never ran;
//! - a run begins only after the idempotency table has permitted it, so that no idempotency key runs twice
//!   within its window.
//!
//! The engine itself writes nothing to storage. The implementation of [`IdempotencyTable`] makes intents and
//! results durable, and the engine waits until the table reports that they are durable.

mod actions;
mod admit;
mod attempts;
mod commands;
mod deadlines;
mod events;
mod outcomes;
mod snapshot;

pub use commands::{AdmitError, EngineCommand};
pub use events::{Arrival, CallOutcome, EngineEvent, RunOutcome};
pub use snapshot::EngineSnapshot;

use crate::classes::SlotPlan;
use crate::controller::Controller;
use crate::idempotency::IdempotencyTable;
use crate::interface::{Class, Effect, Event, Gauges, Preemption, RequestId, Settings, SettingsError};
use crate::time::{Micros, Moment, Timestamp};
use attempts::AttemptTable;
use deadlines::{ControllerTimers, DueTimers, OVERDUE_GRACE};
use std::collections::BTreeSet;

/// The time limits of a drain, in monotonic time. The engine sets them when it is told of the drain notice.
#[derive(Clone, Copy, Debug)]
struct Drain {
    /// The end of the grace period, which counts from the drain notice. First attempts that reach the machine
    /// later are rejected.
    last_ingress: Timestamp,
    /// The time at which the process is stopped. The controller answers all attempts before it.
    stop: Timestamp,
}

/// The controller, its timers, the table of attempts and the idempotency table `T`. The module documentation
/// states what the engine guarantees.
#[derive(Debug)]
pub struct Engine<T> {
    settings: Settings,
    /// For each class slot, whether the class accepts first attempts.
    open_classes: Vec<bool>,
    seed: u64,
    /// The controller; `None` until the backend has started.
    controller: Option<Controller>,
    attempts: AttemptTable,
    idempotency: T,
    timers: ControllerTimers,
    backend_linked: bool,
    /// The capacity that the controller announced last; `None` before its first announcement.
    capacity: Option<f64>,
    controller_healthy: bool,
    drain: Option<Drain>,
    /// Events that have not yet been passed to the controller, in the order in which they occurred.
    controller_events: Vec<Event>,
}

impl<T: IdempotencyTable> Engine<T> {
    /// Creates an engine for a process that has just started. The controller gets `seed` for random choices;
    /// the engine asks `idempotency` before it runs an attempt with an idempotency key.
    ///
    /// # Errors
    /// The controller cannot work with `settings`; [`Controller::new`] lists the reasons.
    pub fn new(settings: Settings, seed: u64, idempotency: T) -> Result<Self, SettingsError> {
        Controller::new(settings.clone(), seed)?;
        Ok(Engine {
            open_classes: vec![true; settings.classes.len()],
            settings,
            seed,
            controller: None,
            attempts: AttemptTable::default(),
            idempotency,
            timers: ControllerTimers::default(),
            backend_linked: false,
            capacity: None,
            controller_healthy: true,
            drain: None,
            controller_events: Vec::new(),
        })
    }

    /// Handles `event`, which occurred at `now`, and appends the commands that follow from it.
    pub fn on_event(&mut self, now: Moment, event: EngineEvent, commands: &mut Vec<EngineCommand>) {
        match event {
            EngineEvent::BackendStarted { cold, age } => return self.start(now, cold, age, commands),
            EngineEvent::BackendLink(up) => {
                self.backend_linked = up;
                self.timers.forget_gauge_request();
            }
            EngineEvent::RunEnded(id, end) => self.run_ended(now, id, end, commands),
            EngineEvent::CallRequested(id) => self.controller_events.push(Event::CallRequested(id)),
            EngineEvent::CallEnded(id, end, latency) => self.call_ended(id, end, latency),
            EngineEvent::CallNotSkippable(id) => {
                // The run cannot continue: it waits for an outbound call that is not made. The controller
                // treats the attempt as one whose caller has gone, and stops the run.
                self.controller_events.push(Event::CallerGone(id));
                self.fail(now, id, commands);
            }
            EngineEvent::CallerGone(id) => self.caller_gone(now, id, commands),
            EngineEvent::Drain { notice, stop } => {
                let last_ingress = notice.plus(self.settings.drain_grace.into());
                self.drain = Some(Drain { last_ingress, stop });
                self.controller_events.push(Event::Drain(stop.time()));
            }
            EngineEvent::GaugesRead(gauges) => self.fire_timers(gauges),
        }
        self.step(now, commands);
    }

    /// Handles everything that is due at `now` and appends the commands that follow. Returns the monotonic
    /// time at which the host has to call again at the latest; `None` if nothing is scheduled.
    ///
    /// The host also calls this after each change to the idempotency table.
    pub fn on_timer(&mut self, now: Moment, commands: &mut Vec<EngineCommand>) -> Option<Timestamp> {
        self.timers.collect_due(now.mono);
        match self.timers.poll(now.mono, self.backend_linked) {
            DueTimers::Wait => {}
            DueTimers::RequestGauges => commands.push(EngineCommand::ReadGauges),
            DueTimers::FireWithoutGauges => self.fire_timers(Gauges::default()),
        }
        self.apply_settlements(now, commands);
        self.fail_overdue(now, commands);
        self.step(now, commands);
        let overdue = self.attempts.earliest_due().map(|due| due.plus(OVERDUE_GRACE));
        let wakeups = [overdue, self.timers.next_wakeup(), self.idempotency.next_wakeup()];
        wakeups.into_iter().flatten().min()
    }

    /// Creates the controller when the backend has started, unless there is one already. `age` is the time
    /// since the backend started; the controller's first step is at that time, `now` minus `age`.
    fn start(&mut self, now: Moment, cold: bool, age: Micros, commands: &mut Vec<EngineCommand>) {
        self.backend_linked = true;
        if self.controller.is_some() {
            return;
        }
        let settings = Settings { cold, ..self.settings.clone() };
        // `Engine::new` has built a controller from these settings before, so they are accepted again.
        let Ok(mut controller) = Controller::new(settings, self.seed) else { return };
        let mut actions = Vec::new();
        controller.step(now.mono.minus(age).time(), &[], &mut actions);
        self.controller = Some(controller);
        if let Some(drain) = self.drain {
            self.controller_events.push(Event::Drain(drain.stop.time()));
        }
        self.execute(now, actions, commands);
        self.step(now, commands);
    }

    /// Passes the pending events to the controller and executes its actions, until the actions cause no
    /// further events.
    fn step(&mut self, now: Moment, commands: &mut Vec<EngineCommand>) {
        loop {
            let events = std::mem::take(&mut self.controller_events);
            if events.is_empty() {
                return;
            }
            let Some(controller) = &mut self.controller else { return };
            let mut actions = Vec::new();
            controller.step(now.mono.time(), &events, &mut actions);
            self.execute(now, actions, commands);
        }
    }

    fn fire_timers(&mut self, gauges: Gauges) {
        self.controller_events.extend(self.timers.fire(gauges));
    }

    /// The longest retry-after that the settings allow in an answer; zero means that answers carry none.
    fn max_retry_after(&self) -> Micros {
        self.settings.max_retry_after.unwrap_or_default().into()
    }

    /// The idempotency table, for the host code that makes its writes durable. The host calls
    /// [`Engine::on_timer`] after each change to the table.
    pub fn idempotency(&mut self) -> &mut T {
        &mut self.idempotency
    }

    /// The capacity that the node sends with answers and health checks; `None` until the controller has
    /// announced one.
    pub fn capacity(&self) -> Option<f64> {
        self.capacity
    }

    /// Whether the backend has started. Until then [`Engine::admit`] rejects every attempt.
    pub fn is_started(&self) -> bool {
        self.controller.is_some()
    }

    /// Whether health checks report this node as in service: the backend has started, the controller reports
    /// good health, no drain has begun, and the idempotency table is ready.
    pub fn is_healthy(&self) -> bool {
        self.is_started() && self.controller_healthy && self.drain.is_none() && self.idempotency.is_ready()
    }

    /// The number of admitted attempts that have not been answered.
    pub fn pending_answers(&self) -> usize {
        self.attempts.pending_answers.len()
    }

    /// The ids of the attempts whose run was started and has not ended.
    pub fn running_attempts(&self) -> Vec<RequestId> {
        self.attempts.running()
    }

    /// The settings of each class, indexed by class slot.
    pub fn classes(&self) -> &[Class] {
        &self.settings.classes
    }

    /// The class slots that at least one attempt in the engine belongs to.
    pub fn classes_in_use(&self) -> BTreeSet<usize> {
        self.attempts.classes_in_use()
    }

    /// For each class slot, whether requests of the class carry an idempotency key ([`Effect::Keyed`]).
    pub fn keyed_classes(&self) -> Vec<bool> {
        self.settings.classes.iter().map(|class| class.effect == Effect::Keyed).collect()
    }

    /// Whether a run of a class in a slot may have an effect, so that the class's requests must not run
    /// twice.
    pub fn has_effect(&self, class: usize) -> bool {
        self.settings.classes.get(class).is_none_or(|class| class.effect != Effect::Pure)
    }

    /// Whether the run of an attempt waits for an outbound call that the host has made.
    pub fn awaits_call(&self, id: RequestId) -> bool {
        self.attempts.get(id).is_some_and(|attempt| attempt.awaiting_call)
    }

    /// Whether the kernel accepts commands to stop a run.
    pub fn can_preempt(&self) -> bool {
        self.settings.preemption != Preemption::Never
    }

    /// The longest deadline of any class, counted from the ingress of an attempt.
    pub fn longest_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default().into()
    }

    /// Replaces the settings. `plan` assigns the new classes to slots; admitted attempts keep the class that
    /// they were admitted with. Whether the backend started cold does not change.
    pub fn update_settings(&mut self, settings: Settings, plan: &SlotPlan) {
        self.settings = Settings { classes: plan.classes.clone(), cold: self.settings.cold, ..settings };
        self.open_classes = plan.slots.open().to_vec();
        if let Some(controller) = &mut self.controller {
            controller.update_settings(self.settings.clone(), &plan.inherits_from);
        }
    }

    /// Records whether the link to the backend is up. The host uses this when it takes over from another
    /// process: the link may have changed state before this engine had a controller.
    pub fn set_backend_linked(&mut self, up: bool) {
        self.backend_linked = up;
    }
}
