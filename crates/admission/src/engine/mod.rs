//! The engine: the controller with everything that it needs of a host, behind three calls.
//!
//! A front passes each attempt of a request to [`Engine::admit`], everything that happens later to
//! [`Engine::on_event`], and lets time pass with [`Engine::on_timer`]; each appends [`EngineCommand`]s. The engine knows
//! no protocol, does no I/O and reads no clock.
//!
//! It guarantees, whatever the controller decides:
//!
//! - each admitted attempt is answered exactly once, at most 20 ms (`OVERDUE_GRACE`) after its due time if
//!   [`Engine::on_timer`] is called when it asks to be;
//! - an attempt whose run was started is never answered as one that never ran;
//! - a run begins only with the idempotency table's permit, so that no key runs twice in its window.
//!
//! It does not make anything durable: the table behind [`IdempotencyTable`] does, and the engine waits for it.

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
use crate::interface::{Class, Effect, Event, Gauges, RequestId, Settings, SettingsError};
use crate::time::{Micros, Moment, Timestamp};
use attempts::AttemptTable;
use deadlines::{ControllerTimers, DueTimers, OVERDUE_GRACE};
use std::collections::BTreeSet;

/// When the process stops, in monotonic time.
#[derive(Clone, Copy, Debug)]
struct Drain {
    /// The end of the grace period: first attempts that reach the machine later are rejected.
    last_ingress: Timestamp,
    /// All answers are out by then.
    stop: Timestamp,
}

/// The controller with its timers, the table of attempts and the idempotency table; see the module's page.
#[derive(Debug)]
pub struct Engine<T> {
    settings: Settings,
    /// Which classes, by slot, accept requests.
    open_classes: Vec<bool>,
    seed: u64,
    /// None until the backend is up.
    controller: Option<Controller>,
    attempts: AttemptTable,
    idempotency: T,
    timers: ControllerTimers,
    backend_linked: bool,
    /// The capacity that the controller announced last.
    capacity: Option<f64>,
    controller_healthy: bool,
    drain: Option<Drain>,
    /// Events that the controller has yet to hear, in order.
    controller_events: Vec<Event>,
}

impl<T: IdempotencyTable> Engine<T> {
    /// An engine for a process that has just started, with its idempotency table; unsound settings are an error.
    ///
    /// # Errors
    /// The settings are unusable for a controller, for the reasons that [`Controller::new`] names.
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

    /// Handles an event: appends the commands that follow.
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
                // Its run would wait for a call that nobody makes.
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

    /// Handles what is due by now: appends the commands that follow, and returns when to call again.
    ///
    /// Also to be called after each change to the idempotency table.
    pub fn on_timer(&mut self, now: Moment, commands: &mut Vec<EngineCommand>) -> Option<Timestamp> {
        self.timers.expire(now.mono);
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

    /// The backend is up: creates the controller, unless it has one.
    fn start(&mut self, now: Moment, cold: bool, age: Micros, commands: &mut Vec<EngineCommand>) {
        self.backend_linked = true;
        if self.controller.is_some() {
            return;
        }
        let settings = Settings { cold, ..self.settings.clone() };
        // `new` has built the same controller before; settings that it accepted once are accepted again.
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

    /// Passes the waiting events to the controller until its actions cause no more.
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

    /// The longest advice on retries that the settings allow; zero gives none.
    fn max_retry_after(&self) -> Micros {
        self.settings.max_retry_after.unwrap_or_default().into()
    }

    /// The idempotency table, for whoever makes its writes durable. Call [`Engine::on_timer`] after any change to it.
    pub fn idempotency(&mut self) -> &mut T {
        &mut self.idempotency
    }

    /// The capacity that goes with every answer and health check, once the controller has announced one.
    pub fn capacity(&self) -> Option<f64> {
        self.capacity
    }

    /// Whether the backend has started, so that requests can be decided on.
    pub fn is_started(&self) -> bool {
        self.controller.is_some()
    }

    /// Whether health checks report this node as in service.
    pub fn is_healthy(&self) -> bool {
        self.is_started() && self.controller_healthy && self.drain.is_none() && self.idempotency.is_ready()
    }

    /// The number of attempts that await an answer.
    pub fn pending_answers(&self) -> usize {
        self.attempts.pending_answers.len()
    }

    /// Attempts whose run was started and has not ended.
    pub fn running_attempts(&self) -> Vec<RequestId> {
        self.attempts.running()
    }

    /// The classes, by slot.
    pub fn classes(&self) -> &[Class] {
        &self.settings.classes
    }

    /// The slots of the classes that some attempt belongs to.
    pub fn classes_in_use(&self) -> BTreeSet<usize> {
        self.attempts.classes_in_use()
    }

    /// Which classes, by slot, are keyed.
    pub fn keyed_classes(&self) -> Vec<bool> {
        self.settings.classes.iter().map(|class| class.effect == Effect::Keyed).collect()
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default().into()
    }

    /// Replaces the settings, with their classes in slots as planned; admitted attempts keep their class.
    pub fn update_settings(&mut self, settings: Settings, plan: &SlotPlan) {
        self.settings = Settings { classes: plan.classes.clone(), cold: self.settings.cold, ..settings };
        self.open_classes = plan.slots.open().to_vec();
        if let Some(controller) = &mut self.controller {
            controller.update_settings(self.settings.clone(), &plan.inherits_from);
        }
    }

    /// Notes that the link to the backend is up or down, before this engine has a controller.
    pub fn set_backend_linked(&mut self, up: bool) {
        self.backend_linked = up;
    }
}
