//! The blocking-style face of the decisions, for whatever speaks to the outside.
//!
//! A front tells of a request with [`Engine::pick`], of everything that happens later with
//! [`Engine::report`], and lets time pass with [`Engine::tick`]; each appends [`Verdict`]s. The engine owns
//! what no front should know of: the controller's events and actions, its timers, the table of keys with
//! stored results and windows, the announced capacity, health and the drain. It knows no protocol.

use crate::classes::SlotPlan;
use crate::controller::Controller;
use crate::idempotency::{
    Completion, IdempotencyTable, JoinOutcome, Lookup, RunPermit, RunResult, Settlement,
};
use crate::interface::*;
use crate::time::{Micros, Moment};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A gauge answer that has not come by then is done without: the look at due times cannot wait for it.
const GAUGE_WAIT: Micros = Micros::millis(30);
/// Past its due time by this, a request that the controller has not answered gets a failure: the slack of the
/// rules is four times as long.
const OVERDUE: Micros = Micros::millis(20);
/// A stored outcome outlives its window by this, for clocks that differ a little.
const WINDOW_MARGIN: Micros = Micros::millis(100);

/// One try of a request, as a front read it.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Its id, never used before.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// For keyed classes: what all tries of one request have in common.
    pub repeat_key: Option<String>,
    /// Its body: all tries of one request carry the same.
    pub body: &'a [u8],
    /// How long ago it reached the machine.
    pub age: Micros,
    /// Unix time at which it reached the machine, as it says itself.
    pub ingress: Micros,
    /// Expected work on one core.
    pub work_hint: Option<Micros>,
    /// Memory while held, in kilobytes.
    pub queued_kb: f64,
    /// Place in the order of worth, from 0 to under 1.
    pub shed_order: f64,
    /// The number of its caller.
    pub caller: u64,
    /// How long its caller waits, counted from `ingress`, where that is told. More than the class's deadline counts
    /// as that; one that is spent when it is read has it refused at once.
    pub caller_timeout: Option<Micros>,
    /// It is marked as a further try or a second copy.
    pub is_retry: bool,
    /// What a read is about, where that is told.
    pub resource_key: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With this result.
    Succeeded(Rc<[u8]>),
    /// It failed.
    Failed,
    /// It was stopped, or ended at a call as nobody waits for it.
    Cancelled,
    /// It never began.
    NeverRan,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The reply was handed to the run.
    #[serde(rename = "Good")]
    Succeeded,
    /// Turned away: it never ran.
    #[serde(rename = "Busy")]
    Overloaded,
    /// Nobody could be reached: it never ran.
    Unreachable,
    /// It failed and may have had its effect.
    Failed,
    /// It ran out of time and may have had its effect.
    #[serde(rename = "Late")]
    TimedOut,
    /// The link broke under it and proves nothing.
    Broken,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// What does the work is up since so long ago, cold or warm.
    BackendStarted {
        /// Slow at first.
        cold: bool,
        /// How long ago it came up.
        age: Micros,
    },
    /// The link to what does the work is up or down; runs go on meanwhile.
    BackendLink(bool),
    /// A run is over.
    RunEnded(RequestId, RunOutcome),
    /// A run waits for a call.
    CallRequested(RequestId),
    /// A call ended after this long.
    CallEnded(RequestId, CallOutcome, Micros),
    /// A run cannot go on without its call after all.
    CallNotSkippable(RequestId),
    /// The caller no longer waits for this try.
    CallerGone(RequestId),
    /// The program is told to leave.
    Drain {
        /// When it was told so: the grace counts from then.
        notice: Micros,
        /// When it is stopped.
        stop: Micros,
    },
    /// The gauges that were asked for.
    GaugesRead(Gauges),
}

/// What a front or the link to the work is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCommand {
    /// Start its work.
    Run(RequestId),
    /// Stop its work.
    Preempt(RequestId),
    /// Make the call that its run waits for; it is given up after this long.
    Call(RequestId, Micros),
    /// Its run goes on without the call that it waits for.
    SkipCall(RequestId),
    /// Give up its call; nothing is expected of it any more.
    DropCall(RequestId),
    /// Answer it: never run, with when to come back and whether to try elsewhere meanwhile.
    Reject {
        /// The try.
        id: RequestId,
        /// How long to keep away; zero for no advice.
        retry_after: Micros,
        /// Asks the caller to try nowhere else.
        no_retry_elsewhere: bool,
    },
    /// Answer it: failed, no promise; the advice is as with a refusal.
    Fail {
        /// The try.
        id: RequestId,
        /// How long to keep away; zero for no advice.
        retry_after: Micros,
        /// Asks the caller to try nowhere else.
        no_retry_elsewhere: bool,
    },
    /// Answer it with the result of its own run.
    Serve(RequestId, Rc<[u8]>),
    /// Answer it with the result of another try of the same request.
    Replay(RequestId, Rc<[u8]>),
    /// Nothing more comes for this try; what is remembered of it may go.
    Forget(RequestId),
    /// Ask for the gauges.
    ReadGauges,
    /// Close connections idle for this long.
    SetIdleTimeout(Micros),
}

/// Why a try is not taken in; it gets no verdict of its own, and the controller never hears of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// A try with this id is known already.
    DuplicateId,
    /// Its key is that of a request with another body.
    KeyConflict,
}

/// What the engine knows of one try.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Attempt {
    class: usize,
    repeat_key: Option<Rc<str>>,
    #[serde(rename = "print")]
    fingerprint: u128,
    ingress: Moment,
    due: Micros,
    /// An answer is owed.
    owed: bool,
    /// It is to be run as soon as the register has it.
    awaits: bool,
    /// Its work was begun and has not ended.
    running: bool,
    ran: bool,
    calling: bool,
}

/// All of a engine but its table of keys: what another process needs to go on in its place. Times are those of the
/// clock that it was made under.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    settings: Settings,
    /// Which classes take requests.
    pub open: Vec<bool>,
    controller: Option<Controller>,
    #[serde(rename = "tries")]
    attempts: BTreeMap<RequestId, Attempt>,
    owed: BTreeSet<(Micros, RequestId)>,
    timers: BTreeSet<(Micros, u64)>,
    due_timers: Vec<u64>,
    capacity: Option<f64>,
    good: bool,
}

/// The controller with all that it needs of a host; see the module's page.
#[derive(Debug)]
pub struct Engine<R> {
    settings: Settings,
    /// Which classes, by slot, take requests.
    open: Vec<bool>,
    seed: u64,
    controller: Option<Controller>,
    attempts: BTreeMap<RequestId, Attempt>,
    /// The one table of keys.
    idempotency: R,
    /// Due times of tries that are owed an answer.
    owed: BTreeSet<(Micros, RequestId)>,
    timers: BTreeSet<(Micros, u64)>,
    /// Timers that came due and wait for gauges, since when.
    due_timers: Vec<u64>,
    asked: Option<Micros>,
    linked: bool,
    capacity: Option<f64>,
    good: bool,
    /// After the notice to leave: the last arrival that may run, and the end.
    drain: Option<(Micros, Micros)>,
    pending: Vec<Event>,
}

impl<R: IdempotencyTable> Engine<R> {
    /// A engine for a program that has just started, with its table of keys; settings that make no sense are named.
    pub fn new(settings: Settings, seed: u64, idempotency: R) -> Result<Self, SettingsError> {
        Controller::new(settings.clone(), seed)?;
        Ok(Engine {
            open: vec![true; settings.classes.len()],
            settings,
            seed,
            controller: None,
            attempts: BTreeMap::new(),
            idempotency,
            owed: BTreeSet::new(),
            timers: BTreeSet::new(),
            due_timers: Vec::new(),
            asked: None,
            linked: false,
            capacity: None,
            good: true,
            drain: None,
            pending: Vec::new(),
        })
    }

    /// All but the table of keys, as it is now.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            settings: self.settings.clone(),
            open: self.open.clone(),
            controller: self.controller.clone(),
            attempts: self.attempts.clone(),
            owed: self.owed.clone(),
            timers: self.timers.clone(),
            due_timers: self.due_timers.clone(),
            capacity: self.capacity,
            good: self.good,
        }
    }

    /// Lets go of all but the table of keys: another engine goes on in its place.
    pub fn retire(&mut self) {
        self.controller = None;
        self.attempts.clear();
        self.owed.clear();
        self.timers.clear();
        self.due_timers.clear();
    }

    /// The classes, by slot.
    pub fn classes(&self) -> &[Class] {
        &self.settings.classes
    }

    /// The slots that some try has.
    pub fn used(&self) -> BTreeSet<usize> {
        self.attempts.values().map(|t| t.class).collect()
    }

    /// Other settings from now on, with their classes in slots as planned; tries that are here keep theirs.
    pub fn update_settings(&mut self, settings: Settings, plan: &SlotPlan) {
        self.settings = Settings { classes: plan.classes.clone(), cold: self.settings.cold, ..settings };
        self.open = plan.slots.open().to_vec();
        if let Some(controller) = &mut self.controller {
            controller.update_settings(self.settings.clone(), &plan.from);
        }
    }

    /// Tries whose work was begun and has not ended.
    pub fn running(&self) -> Vec<RequestId> {
        self.attempts.iter().filter(|(_, t)| t.running).map(|(id, _)| *id).collect()
    }

    /// Which classes are keyed, by index.
    pub fn keyed(&self) -> Vec<bool> {
        self.settings.classes.iter().map(|c| c.effect == Effect::Keyed).collect()
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Micros {
        self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default().into()
    }

    /// Goes on in the place of another engine.
    pub fn restore(&mut self, snapshot: Snapshot) {
        (self.settings, self.open) = (snapshot.settings, snapshot.open);
        self.controller = snapshot.controller;
        self.attempts = snapshot.attempts;
        (self.owed, self.timers, self.due_timers) = (snapshot.owed, snapshot.timers, snapshot.due_timers);
        (self.capacity, self.good) = (snapshot.capacity, snapshot.good);
        self.asked = None;
    }

    /// The link to what does the work is up or down, though nothing is decided here yet.
    pub fn set_linked(&mut self, up: bool) {
        self.linked = up;
    }

    /// The free value that goes with every answer and check, once there is one.
    pub fn capacity(&self) -> Option<f64> {
        self.capacity
    }

    /// Whether the work is up, and requests can be decided on.
    pub fn is_up(&self) -> bool {
        self.controller.is_some()
    }

    /// Whether checks hear that this program is in service: its work is up and the controller says so.
    pub fn healthy(&self) -> bool {
        self.controller.is_some() && self.good && self.drain.is_none() && self.idempotency.is_ready()
    }

    /// The table of keys, for whoever carries its writes out. After any change to it [`Engine::tick`] is owed.
    pub fn idempotency(&mut self) -> &mut R {
        &mut self.idempotency
    }

    /// Tries that are owed an answer.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// A request came: appends what happens to it and to others.
    pub fn admit(
        &mut self,
        now: Moment,
        a: Arrival<'_>,
        out: &mut Vec<EngineCommand>,
    ) -> Result<(), AdmitError> {
        if self.attempts.contains_key(&a.id) {
            return Err(AdmitError::DuplicateId);
        }
        if self.controller.is_none() {
            // Nothing can be run before the work is up, so nothing was.
            let retry_after = self.settings.max_retry_after.unwrap_or_default().into();
            self.turn_back(a.id, retry_after, out);
            return Ok(());
        }
        let class = a.class.min(self.settings.classes.len() - 1);
        let settings = &self.settings.classes[class];
        let ingress = Moment { mono: Micros(now.mono.0.saturating_sub(a.age.0)), wall: a.ingress };
        let keyed = settings.effect == Effect::Keyed;
        let repeat_key: Option<Rc<str>> = a.repeat_key.filter(|_| keyed).map(Rc::from);
        let longest: Micros = settings.deadline.into();
        let due = ingress.mono.plus(a.caller_timeout.map_or(longest, |p| p.min(longest))).max(now.mono);
        let fingerprint = repeat_key.as_ref().map_or(0, |_| self.idempotency.fingerprint(a.body));
        let found = repeat_key.as_ref().map(|key| self.idempotency.lookup(now, key, fingerprint, ingress));
        let original = match found {
            Some(Lookup::BodyMismatch) => return Err(AdmitError::KeyConflict),
            Some(Lookup::Unavailable(advice)) => {
                // It can't be recorded, so it is not run: told at once, with when to come back.
                let most = self.settings.max_retry_after.unwrap_or_default().into();
                self.turn_back(a.id, advice.min(most), out);
                return Ok(());
            }
            Some(Lookup::Original(id)) => Some(id),
            // The grace was over as it came.
            Some(Lookup::Vacant) | None if self.is_past(ingress.mono) => {
                let retry_after = self.settings.max_retry_after.unwrap_or_default().into();
                self.turn_back(a.id, retry_after, out);
                return Ok(());
            }
            // The class takes no requests any more: this one never runs.
            Some(Lookup::Vacant) | None if !self.open.get(class).copied().unwrap_or(false) => {
                self.turn_back(a.id, Micros(0), out);
                return Ok(());
            }
            Some(Lookup::Vacant) | None => None,
        };
        let (owed, awaits, running, ran, calling) = (true, false, false, false, false);
        let t = Attempt { class, repeat_key, fingerprint, ingress, due, owed, awaits, running, ran, calling };
        self.attempts.insert(a.id, t);
        self.owed.insert((due, a.id));
        let request = Request {
            id: a.id,
            class,
            tenant: 0,
            resource_key: a.resource_key.filter(|_| !keyed),
            deadline: a.caller_timeout.map(|_| due.time()),
            work_hint: a.work_hint.map(Micros::span),
            queued_kb: a.queued_kb,
            shed_order: a.shed_order,
            caller: a.caller,
            is_retry: a.is_retry,
            read_delay: a.age.span(),
            original,
        };
        self.pending.push(Event::Request(request));
        self.step(now, out);
        Ok(())
    }

    /// Whether the grace after the notice to leave was over at that time. The controller counts it from when it heard of
    /// the notice.
    fn is_past(&self, reached: Micros) -> bool {
        self.drain.is_some_and(|(last, _)| reached > last)
    }

    /// Refuses a try of which the controller never hears.
    fn turn_back(&mut self, id: RequestId, retry_after: Micros, out: &mut Vec<EngineCommand>) {
        out.push(EngineCommand::Reject { id, retry_after, no_retry_elsewhere: false });
        out.push(EngineCommand::Forget(id));
    }

    /// Something happened: appends what is to be done about it.
    pub fn on_event(&mut self, now: Moment, report: EngineEvent, out: &mut Vec<EngineCommand>) {
        match report {
            EngineEvent::BackendStarted { cold, age } => return self.boot(now, cold, age, out),
            EngineEvent::BackendLink(up) => {
                self.linked = up;
                self.asked = None;
            }
            EngineEvent::RunEnded(id, end) => self.ended(now, id, end, out),
            EngineEvent::CallRequested(id) => self.pending.push(Event::CallRequested(id)),
            EngineEvent::CallEnded(id, end, lag) => self.called(id, end, lag),
            EngineEvent::CallNotSkippable(id) => {
                // It would wait for a call that nobody makes.
                self.pending.push(Event::CallerGone(id));
                self.fail(now, id, out);
            }
            EngineEvent::CallerGone(id) => self.aborted(now, id, out),
            EngineEvent::Drain { notice, stop } => {
                self.drain = Some((notice.plus(self.settings.drain_grace.into()), stop));
                self.pending.push(Event::Drain(stop.time()));
            }
            EngineEvent::GaugesRead(gauges) => self.elapse(gauges),
        }
        self.step(now, out);
    }

    /// Time has passed: appends what came due and returns when to call again.
    pub fn on_timer(&mut self, at: Moment, out: &mut Vec<EngineCommand>) -> Option<Micros> {
        let now = at.mono;
        while let Some((t, name)) = self.timers.first().copied().filter(|(t, _)| *t <= now) {
            self.timers.remove(&(t, name));
            self.due_timers.push(name);
        }
        if !self.due_timers.is_empty() {
            match self.asked {
                None if self.linked => {
                    self.asked = Some(now);
                    out.push(EngineCommand::ReadGauges);
                }
                Some(since) if now.since(since) < GAUGE_WAIT => {}
                // Guards against a link that is down or late: due times are looked at all the same.
                _ => self.elapse(Gauges::default()),
            }
        }
        self.settle_waiting(at, out);
        self.fail_overdue(at, out);
        if !self.pending.is_empty() {
            self.step(at, out);
        }
        let overdue = self.owed.first().map(|(t, _)| t.plus(OVERDUE));
        let timer = self.timers.first().map(|(t, _)| *t);
        let fallback = self.asked.map(|t| t.plus(GAUGE_WAIT)).filter(|_| !self.due_timers.is_empty());
        [overdue, timer, fallback, self.idempotency.next_wakeup()].into_iter().flatten().min()
    }

    fn boot(&mut self, now: Moment, cold: bool, age: Micros, out: &mut Vec<EngineCommand>) {
        self.linked = true;
        if self.controller.is_some() {
            return;
        }
        let settings = Settings { cold, ..self.settings.clone() };
        // `new` has built the same controller before; settings that it accepted once are accepted again.
        let Ok(mut controller) = Controller::new(settings, self.seed) else { return };
        let mut actions = Vec::new();
        controller.step(Micros(now.mono.0.saturating_sub(age.0)).time(), &[], &mut actions);
        self.controller = Some(controller);
        if let Some((_, stop)) = self.drain {
            self.pending.push(Event::Drain(stop.time()));
        }
        self.carry_out(now, actions, out);
        self.step(now, out);
    }

    /// Hands the events that wait to the controller, until carrying out its actions makes no more.
    fn step(&mut self, now: Moment, out: &mut Vec<EngineCommand>) {
        loop {
            let events = std::mem::take(&mut self.pending);
            if events.is_empty() {
                return;
            }
            let Some(controller) = &mut self.controller else { return };
            let mut actions = Vec::new();
            controller.step(now.mono.time(), &events, &mut actions);
            self.carry_out(now, actions, out);
        }
    }

    fn carry_out(&mut self, now: Moment, actions: Vec<Action>, out: &mut Vec<EngineCommand>) {
        for action in actions {
            match action {
                Action::Run(id) => self.run(now, id, out),
                Action::Preempt(id) => self.halt(now, id, out),
                Action::Reject { id, retry_after, no_retry_elsewhere } => {
                    self.turn_away(now, id, retry_after.into(), no_retry_elsewhere, out);
                }
                Action::Fail(id) => self.fail(now, id, out),
                Action::SkipCall(id) => {
                    if self.attempts.get(&id).is_some_and(|t| t.running) {
                        out.push(EngineCommand::SkipCall(id));
                    }
                }
                Action::Coalesce(id) => self.reuse(id, out),
                Action::Remember(id, span) => self.keep(id, now.plus(span.into()), out),
                Action::Forget(id) => self.forget(now, id, out),
                Action::Call(id, until) => {
                    if let Some(t) = self.attempts.get_mut(&id) {
                        t.calling = true;
                        out.push(EngineCommand::Call(id, Micros(until.0 / 1000).since(now.mono)));
                    }
                }
                Action::AnnounceCapacity(value) => self.capacity = Some(value),
                Action::Health { good, .. } => self.good = good,
                Action::SetIdleTimeout(span) => out.push(EngineCommand::SetIdleTimeout(span.into())),
                Action::SetTimer(name, span) => drop(self.timers.insert((now.mono.plus(span.into()), name))),
                Action::Log(_) => {}
            }
        }
    }

    /// The answer that this try was owed is given now; false if none was.
    fn settle(&mut self, id: RequestId) -> bool {
        let Some(t) = self.attempts.get_mut(&id).filter(|t| t.owed) else { return false };
        t.owed = false;
        self.owed.remove(&(t.due, id));
        true
    }

    /// Forgets a try of which nothing more can come.
    fn close(&mut self, id: RequestId, out: &mut Vec<EngineCommand>) {
        if self.attempts.get(&id).is_some_and(|t| !t.owed && !t.running && !t.awaits) {
            self.attempts.remove(&id);
            out.push(EngineCommand::Forget(id));
        }
    }

    fn run(&mut self, now: Moment, id: RequestId, out: &mut Vec<EngineCommand>) {
        let Some(t) = self.attempts.get_mut(&id) else { return };
        let begin = t.repeat_key.as_ref().map_or(RunPermit::Granted, |key| {
            let window = self.settings.classes[t.class].dedup_window.into();
            let until = t.ingress.plus(window).plus(WINDOW_MARGIN);
            self.idempotency.begin_run(now, key, id, t.ingress, until)
        });
        match begin {
            RunPermit::Granted => {
                (t.running, t.ran) = (true, true);
                out.push(EngineCommand::Run(id));
            }
            RunPermit::Pending => t.awaits = true,
            // Guards against an effect twice, whatever was decided.
            RunPermit::Denied => {
                self.pending.push(Event::RunEnded(id, Outcome::NeverStarted));
                self.fail(now, id, out);
            }
        }
    }

    /// Stops a run; one that has not begun yet need not be.
    fn halt(&mut self, now: Moment, id: RequestId, out: &mut Vec<EngineCommand>) {
        let Some(t) = self.attempts.get_mut(&id).filter(|t| t.awaits) else {
            return out.push(EngineCommand::Preempt(id));
        };
        t.awaits = false;
        let key = t.repeat_key.clone();
        let waiting = key.map(|key| self.idempotency.release(now, &key, id).waiters);
        self.answer_waiting(waiting.unwrap_or_default(), None, out);
        self.pending.push(Event::RunEnded(id, Outcome::Cancelled));
        self.close(id, out);
    }

    /// Carries out what the register has settled since.
    fn settle_waiting(&mut self, now: Moment, out: &mut Vec<EngineCommand>) {
        let mut settled = Vec::new();
        self.idempotency.drain_settled(now, &mut settled);
        for s in settled {
            match s {
                Settlement::IntentDurable(id) => {
                    if let Some(t) = self.attempts.get_mut(&id).filter(|t| t.awaits) {
                        (t.awaits, t.running, t.ran) = (false, true, true);
                        out.push(EngineCommand::Run(id));
                    }
                }
                Settlement::IntentFailed(id, waiting, advice) => {
                    let most = self.settings.max_retry_after.unwrap_or_default().into();
                    let advice = advice.min(most);
                    for id in std::iter::once(id).chain(waiting) {
                        let awaited =
                            self.attempts.get_mut(&id).is_some_and(|t| std::mem::take(&mut t.awaits));
                        let end = if awaited { Outcome::NeverStarted } else { Outcome::Error };
                        self.pending.push(Event::RunEnded(id, end));
                        self.turn_away(now, id, advice, false, out);
                    }
                }
                Settlement::ResultDurable(id, waiting, result) => {
                    if self.settle(id) {
                        out.push(EngineCommand::Serve(id, result.clone()));
                    }
                    self.close(id, out);
                    self.answer_waiting(waiting, Some(&result), out);
                }
            }
        }
    }

    /// A refusal says that the try never ran; one that did gets a failure with the same advice.
    fn turn_away(
        &mut self,
        now: Moment,
        id: RequestId,
        retry_after: Micros,
        no_retry_elsewhere: bool,
        out: &mut Vec<EngineCommand>,
    ) {
        let ran = self.attempts.get(&id).is_some_and(|t| t.ran);
        if self.settle(id) {
            out.push(match ran {
                true => EngineCommand::Fail { id, retry_after, no_retry_elsewhere },
                false => EngineCommand::Reject { id, retry_after, no_retry_elsewhere },
            });
        }
        self.leave(now, id, out);
    }

    fn fail(&mut self, now: Moment, id: RequestId, out: &mut Vec<EngineCommand>) {
        if self.settle(id) {
            out.push(EngineCommand::Fail { id, retry_after: Micros(0), no_retry_elsewhere: false });
        }
        self.leave(now, id, out);
    }

    /// A try that was answered or given up leaves, unless its run goes on.
    fn leave(&mut self, now: Moment, id: RequestId, out: &mut Vec<EngineCommand>) {
        let Some(t) = self.attempts.get_mut(&id) else { return };
        if let (Some(key), false) = (t.repeat_key.clone(), t.running) {
            let left = self.idempotency.release(now, &key, id);
            if std::mem::take(&mut t.awaits) || left.intent_withdrawn {
                self.pending.push(Event::RunEnded(id, Outcome::NeverStarted));
            }
            self.answer_waiting(left.waiters, None, out);
        }
        self.close(id, out);
    }

    fn answer_waiting(
        &mut self,
        ids: Vec<RequestId>,
        result: Option<&Rc<[u8]>>,
        out: &mut Vec<EngineCommand>,
    ) {
        for id in ids {
            let outcome = if result.is_some() { Outcome::Ok } else { Outcome::Error };
            self.pending.push(Event::RunEnded(id, outcome));
            if self.settle(id) {
                out.push(match result {
                    Some(r) => EngineCommand::Replay(id, r.clone()),
                    None => EngineCommand::Fail { id, retry_after: Micros(0), no_retry_elsewhere: false },
                });
            }
            self.close(id, out);
        }
    }

    fn reuse(&mut self, id: RequestId, out: &mut Vec<EngineCommand>) {
        let key = self.attempts.get(&id).and_then(|t| t.repeat_key.as_ref());
        match key.map_or(JoinOutcome::Failed, |key| self.idempotency.join(key, id)) {
            JoinOutcome::Pending => {}
            JoinOutcome::Replay(result) => self.answer_waiting(vec![id], Some(&result), out),
            JoinOutcome::Failed => self.answer_waiting(vec![id], None, out),
        }
    }

    fn keep(&mut self, id: RequestId, until: Moment, out: &mut Vec<EngineCommand>) {
        let Some(t) = self.attempts.get(&id) else { return };
        if let Some(key) = &t.repeat_key {
            let waiting = self.idempotency.reserve(key, id, t.fingerprint, until);
            self.answer_waiting(waiting, None, out);
        }
    }

    /// Drops an entry; one whose try ran stays, as the rule binds for the whole window.
    fn forget(&mut self, now: Moment, id: RequestId, out: &mut Vec<EngineCommand>) {
        let Some(t) = self.attempts.get(&id).filter(|t| !t.running && !t.awaits) else { return };
        let Some(key) = &t.repeat_key else { return };
        let left = self.idempotency.release(now, key, id);
        self.answer_waiting(left.waiters, None, out);
    }

    fn ended(&mut self, now: Moment, id: RequestId, end: RunOutcome, out: &mut Vec<EngineCommand>) {
        let Some(t) = self.attempts.get_mut(&id).filter(|t| t.running) else { return };
        t.running = false;
        if std::mem::take(&mut t.calling) {
            out.push(EngineCommand::DropCall(id));
        }
        let key = t.repeat_key.clone();
        let outcome = match &end {
            RunOutcome::Succeeded(_) => Outcome::Ok,
            RunOutcome::Failed => Outcome::Error,
            RunOutcome::Cancelled => Outcome::Cancelled,
            RunOutcome::NeverRan => Outcome::NeverStarted,
        };
        self.pending.push(Event::RunEnded(id, outcome));
        let result = match end {
            RunOutcome::Succeeded(result) => RunResult::Succeeded(result),
            RunOutcome::Failed | RunOutcome::Cancelled => RunResult::NoResult,
            RunOutcome::NeverRan => RunResult::NeverRan,
        };
        let ended = match (key, result) {
            (Some(key), result) => self.idempotency.complete_run(now, &key, id, result),
            (None, RunResult::Succeeded(result)) => Completion::Settled(Vec::new(), Some(result)),
            (None, _) => Completion::Settled(Vec::new(), None),
        };
        // What waits to be durable is served, or fails at its due time.
        let Completion::Settled(waiting, result) = ended else { return self.close(id, out) };
        self.answer_waiting(waiting, result.as_ref(), out);
        if self.settle(id) {
            out.push(match result {
                Some(result) => EngineCommand::Serve(id, result),
                None => EngineCommand::Fail { id, retry_after: Micros(0), no_retry_elsewhere: false },
            });
        }
        self.close(id, out);
    }

    fn called(&mut self, id: RequestId, end: CallOutcome, lag: Micros) {
        let Some(t) = self.attempts.get_mut(&id).filter(|t| t.calling) else { return };
        t.calling = false;
        let outcome = match end {
            CallOutcome::Succeeded => Outcome::Ok,
            CallOutcome::Overloaded => Outcome::Overloaded,
            CallOutcome::Unreachable => Outcome::Unreachable,
            CallOutcome::Failed => Outcome::Error,
            CallOutcome::TimedOut => Outcome::TimedOut,
            CallOutcome::Broken => Outcome::Reset,
        };
        self.pending.push(Event::CallEnded(id, outcome, lag.span()));
    }

    fn aborted(&mut self, now: Moment, id: RequestId, out: &mut Vec<EngineCommand>) {
        if self.settle(id) {
            self.pending.push(Event::CallerGone(id));
            self.leave(now, id, out);
        }
    }

    fn elapse(&mut self, gauges: Gauges) {
        self.asked = None;
        let due = self.due_timers.drain(..).map(|name| Event::Timer(name, gauges));
        self.pending.extend(due);
    }

    /// Guards against a lost request, whatever was decided: past its due time it gets a failure.
    fn fail_overdue(&mut self, now: Moment, out: &mut Vec<EngineCommand>) {
        while let Some((due, id)) = self.owed.first().copied().filter(|(t, _)| t.plus(OVERDUE) <= now.mono) {
            self.owed.remove(&(due, id));
            self.pending.push(Event::CallerGone(id));
            self.fail(now, id, out);
        }
    }
}
