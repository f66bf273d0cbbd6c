//! The blocking-style face of the decisions, for whatever speaks to the outside.
//!
//! A front tells of a request with [`Facade::pick`], of everything that happens later with
//! [`Facade::report`], and lets time pass with [`Facade::tick`]; each appends [`Verdict`]s. The facade owns
//! what no front should know of: the controller's events and actions, its timers, the table of keys with
//! stored results and windows, the announced capacity, health and the drain. It knows no protocol.

use crate::decide::Controller;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// A point on the monotonic clock, or a length of time, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Micros {
    /// Whole milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Micros(ms.saturating_mul(1000))
    }

    /// This much later.
    pub const fn plus(self, by: Micros) -> Self {
        Micros(self.0.saturating_add(by.0))
    }

    /// The time since `earlier`; zero if that is later.
    pub const fn since(self, earlier: Micros) -> Self {
        Micros(self.0.saturating_sub(earlier.0))
    }

    fn span(self) -> Span {
        Span(self.0.saturating_mul(1000))
    }

    fn time(self) -> Time {
        Time(self.0.saturating_mul(1000))
    }
}

impl From<Span> for Micros {
    fn from(s: Span) -> Self {
        Micros(s.0 / 1000)
    }
}

/// A gauge answer that has not come by then is done without: the look at due times cannot wait for it.
const GAUGE_WAIT: Micros = Micros::millis(30);
/// Past its due time by this, a request that the controller has not answered gets a failure: the slack of the
/// rules is four times as long.
const OVERDUE: Micros = Micros::millis(20);
/// A stored outcome outlives its window by this, for clocks that differ a little.
const WINDOW_MARGIN: Micros = Micros::millis(100);
/// How long past its end an entry is kept for tries that reached the machine before and are read after it.
const READ_LATE: Micros = Micros::millis(10_000);

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
    /// Expected work on one core.
    pub hint: Option<Micros>,
    /// Memory while held, in kilobytes.
    pub held_kb: f64,
    /// Place in the order of worth, from 0 to under 1.
    pub rank: f64,
    /// The number of its caller.
    pub caller: u64,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// With this result.
    Good(Rc<[u8]>),
    /// It failed.
    Bad,
    /// It was stopped, or ended at a call as nobody waits for it.
    Cut,
    /// It never began.
    NeverRan,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The reply was handed to the run.
    Good,
    /// Turned away: it never ran.
    Busy,
    /// Nobody could be reached: it never ran.
    Unreachable,
    /// It failed and may have had its effect.
    Failed,
    /// It ran out of time and may have had its effect.
    Late,
    /// The link broke under it and proves nothing.
    Broken,
}

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Report {
    /// What does the work is up since so long ago, cold or warm.
    Booted {
        /// Slow at first.
        cold: bool,
        /// How long ago it came up.
        age: Micros,
    },
    /// The link to what does the work is up or down; runs go on meanwhile.
    Link(bool),
    /// A run is over.
    Ended(RequestId, RunEnd),
    /// A run waits for a call.
    WantsCall(RequestId),
    /// A call ended after this long.
    Called(RequestId, CallEnd, Micros),
    /// The caller no longer waits for this try.
    Aborted(RequestId),
    /// The program is told to leave; it is stopped at this time.
    Drain(Micros),
    /// The gauges that were asked for.
    Gauged(Gauges),
}

/// What a front or the link to the work is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Start its work.
    Run(RequestId),
    /// Stop its work.
    Stop(RequestId),
    /// Make the call that its run waits for; it is given up after this long.
    Call(RequestId, Micros),
    /// Give up its call; nothing is expected of it any more.
    DropCall(RequestId),
    /// Answer it: never run, with when to come back and whether to try elsewhere meanwhile.
    Refuse {
        /// The try.
        id: RequestId,
        /// How long to keep away; zero for no advice.
        stay_away: Micros,
        /// Asks the caller to try nowhere else.
        give_up: bool,
    },
    /// Answer it: failed, no promise; the advice is as with a refusal.
    Fail {
        /// The try.
        id: RequestId,
        /// How long to keep away; zero for no advice.
        stay_away: Micros,
        /// Asks the caller to try nowhere else.
        give_up: bool,
    },
    /// Answer it with the result of its own run.
    Serve(RequestId, Rc<[u8]>),
    /// Answer it with the result of another try of the same request.
    Replay(RequestId, Rc<[u8]>),
    /// Nothing more comes for this try; what is remembered of it may go.
    Forget(RequestId),
    /// Ask for the gauges.
    Gauge,
    /// Close connections idle for this long.
    IdleLimit(Micros),
}

/// Why a try is not taken in; it gets no verdict of its own, and the controller never hears of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// A try with this id is known already.
    Known,
    /// Its key is that of a request with another body.
    OtherBody,
}

/// What the facade knows of one try.
#[derive(Debug)]
struct Try {
    class: usize,
    repeat_key: Option<Rc<str>>,
    print: u64,
    ingress: Micros,
    due: Micros,
    /// An answer is owed.
    owed: bool,
    /// Its work was begun and has not ended.
    running: bool,
    ran: bool,
    calling: bool,
}

/// What became of the try that has a key.
#[derive(Debug)]
enum Kept {
    /// Held or running; these tries wait for its end.
    Open(Vec<RequestId>),
    /// It ran to this result.
    Good(Rc<[u8]>),
    /// It ran and has no result to show.
    Failed,
}

#[derive(Debug)]
struct KeyEntry {
    holder: RequestId,
    /// Fingerprint of the body that the key came with.
    print: u64,
    ran: bool,
    until: Micros,
    kept: Kept,
}

/// The controller with all that it needs of a host; see the module's page.
#[derive(Debug)]
pub struct Facade {
    settings: Settings,
    seed: u64,
    controller: Option<Controller>,
    tries: BTreeMap<RequestId, Try>,
    keys: HashMap<Rc<str>, KeyEntry>,
    /// Takes fingerprints; keyed anew at each start, so that nobody can make two bodies look alike.
    prints: RandomState,
    /// Due times of tries that are owed an answer.
    owed: BTreeSet<(Micros, RequestId)>,
    timers: BTreeSet<(Micros, u64)>,
    /// Timers that came due and wait for gauges, since when.
    due_timers: Vec<u64>,
    asked: Option<Micros>,
    linked: bool,
    capacity: Option<f64>,
    good: bool,
    drain: Option<Micros>,
    next_sweep: Micros,
    pending: Vec<Event>,
}

impl Facade {
    /// A facade for a program that has just started; settings that make no sense are named.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Controller::new(settings.clone(), seed)?;
        Ok(Facade {
            settings,
            seed,
            controller: None,
            tries: BTreeMap::new(),
            keys: HashMap::new(),
            prints: RandomState::new(),
            owed: BTreeSet::new(),
            timers: BTreeSet::new(),
            due_timers: Vec::new(),
            asked: None,
            linked: false,
            capacity: None,
            good: true,
            drain: None,
            next_sweep: Micros(0),
            pending: Vec::new(),
        })
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
        self.controller.is_some() && self.good && self.drain.is_none()
    }

    /// Tries that are owed an answer.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    /// A request came: appends what happens to it and to others.
    pub fn pick(&mut self, now: Micros, a: Arrival<'_>, out: &mut Vec<Verdict>) -> Result<(), Unfit> {
        if self.tries.contains_key(&a.id) {
            return Err(Unfit::Known);
        }
        if self.controller.is_none() {
            // Nothing can be run before the work is up, so nothing was.
            let stay_away = self.settings.max_stay_away.unwrap_or_default().into();
            out.push(Verdict::Refuse { id: a.id, stay_away, give_up: false });
            out.push(Verdict::Forget(a.id));
            return Ok(());
        }
        let class = a.class.min(self.settings.classes.len() - 1);
        let settings = &self.settings.classes[class];
        let ingress = Micros(now.0.saturating_sub(a.age.0));
        let keyed = settings.effect == Effect::Keyed;
        let repeat_key: Option<Rc<str>> = a.repeat_key.filter(|_| keyed).map(Rc::from);
        let due = ingress.plus(settings.deadline.into()).max(now);
        let print = repeat_key.as_ref().map_or(0, |_| self.prints.hash_one(a.body));
        let entry = repeat_key.as_ref().and_then(|key| self.keys.get(key)).filter(|e| ingress < e.until);
        // Guards against a result that goes to whoever names its key: it is another request's.
        if entry.is_some_and(|e| e.print != print) {
            return Err(Unfit::OtherBody);
        }
        let prior = entry.map(|e| e.holder);
        let (owed, running, ran, calling) = (true, false, false, false);
        self.tries.insert(a.id, Try { class, repeat_key, print, ingress, due, owed, running, ran, calling });
        self.owed.insert((due, a.id));
        let request = Request {
            id: a.id,
            class,
            tenant: 0,
            key: None,
            deadline: None,
            hint: a.hint.map(Micros::span),
            held_kb: a.held_kb,
            rank: a.rank,
            caller: a.caller,
            is_retry: false,
            unread_for: a.age.span(),
            prior,
        };
        self.pending.push(Event::Request(request));
        self.step(now, out);
        Ok(())
    }

    /// Something happened: appends what is to be done about it.
    pub fn report(&mut self, now: Micros, report: Report, out: &mut Vec<Verdict>) {
        match report {
            Report::Booted { cold, age } => return self.boot(now, cold, age, out),
            Report::Link(up) => {
                self.linked = up;
                self.asked = None;
            }
            Report::Ended(id, end) => self.ended(id, end, out),
            Report::WantsCall(id) => self.pending.push(Event::AtCall(id)),
            Report::Called(id, end, lag) => self.called(id, end, lag),
            Report::Aborted(id) => self.aborted(id, out),
            Report::Drain(stop) => {
                self.drain = Some(stop);
                self.pending.push(Event::Drain(stop.time()));
            }
            Report::Gauged(gauges) => self.elapse(gauges),
        }
        self.step(now, out);
    }

    /// Time has passed: appends what came due and returns when to call again.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Verdict>) -> Option<Micros> {
        while let Some((t, name)) = self.timers.first().copied().filter(|(t, _)| *t <= now) {
            self.timers.remove(&(t, name));
            self.due_timers.push(name);
        }
        if !self.due_timers.is_empty() {
            match self.asked {
                None if self.linked => {
                    self.asked = Some(now);
                    out.push(Verdict::Gauge);
                }
                Some(since) if now.since(since) < GAUGE_WAIT => {}
                // Guards against a link that is down or late: due times are looked at all the same.
                _ => self.elapse(Gauges::default()),
            }
        }
        self.fail_overdue(now, out);
        if now >= self.next_sweep {
            self.next_sweep = now.plus(Micros::millis(1000));
            self.keys.retain(|_, e| now < e.until.plus(READ_LATE) || matches!(e.kept, Kept::Open(_)));
        }
        if !self.pending.is_empty() {
            self.step(now, out);
        }
        let overdue = self.owed.first().map(|(t, _)| t.plus(OVERDUE));
        let timer = self.timers.first().map(|(t, _)| *t);
        let fallback = self.asked.map(|t| t.plus(GAUGE_WAIT)).filter(|_| !self.due_timers.is_empty());
        [overdue, timer, fallback].into_iter().flatten().min()
    }

    fn boot(&mut self, now: Micros, cold: bool, age: Micros, out: &mut Vec<Verdict>) {
        self.linked = true;
        if self.controller.is_some() {
            return;
        }
        let settings = Settings { cold, ..self.settings.clone() };
        // `new` has built the same controller before; settings that it accepted once are accepted again.
        let Ok(mut controller) = Controller::new(settings, self.seed) else { return };
        let mut actions = Vec::new();
        controller.step(Micros(now.0.saturating_sub(age.0)).time(), &[], &mut actions);
        self.controller = Some(controller);
        if let Some(stop) = self.drain {
            self.pending.push(Event::Drain(stop.time()));
        }
        self.carry_out(now, actions, out);
        self.step(now, out);
    }

    /// Hands the events that wait to the controller, until carrying out its actions makes no more.
    fn step(&mut self, now: Micros, out: &mut Vec<Verdict>) {
        loop {
            let events = std::mem::take(&mut self.pending);
            if events.is_empty() {
                return;
            }
            let Some(controller) = &mut self.controller else { return };
            let mut actions = Vec::new();
            controller.step(now.time(), &events, &mut actions);
            self.carry_out(now, actions, out);
        }
    }

    fn carry_out(&mut self, now: Micros, actions: Vec<Action>, out: &mut Vec<Verdict>) {
        for action in actions {
            match action {
                Action::Run(id) => self.run(id, out),
                Action::Halt(id) => out.push(Verdict::Stop(id)),
                Action::Refuse { id, stay_away, give_up } => {
                    self.turn_away(id, stay_away.into(), give_up, out);
                }
                Action::Fail(id) => self.fail(id, out),
                // No work is left out on this kind of link; a run that cannot go on has failed.
                Action::SkipCall(id) => self.fail(id, out),
                Action::Reuse(id) => self.reuse(id, out),
                Action::Keep(id, span) => self.keep(id, now.plus(span.into())),
                Action::Forget(id) => self.forget(id, out),
                Action::Call(id, until) => {
                    if let Some(t) = self.tries.get_mut(&id) {
                        t.calling = true;
                        out.push(Verdict::Call(id, Micros(until.0 / 1000).since(now)));
                    }
                }
                Action::Announce(value) => self.capacity = Some(value),
                Action::Health { good, .. } => self.good = good,
                Action::IdleLimit(span) => out.push(Verdict::IdleLimit(span.into())),
                Action::SetTimer(name, span) => drop(self.timers.insert((now.plus(span.into()), name))),
                Action::Log(_) => {}
            }
        }
    }

    /// The answer that this try was owed is given now; false if none was.
    fn settle(&mut self, id: RequestId) -> bool {
        let Some(t) = self.tries.get_mut(&id).filter(|t| t.owed) else { return false };
        t.owed = false;
        self.owed.remove(&(t.due, id));
        true
    }

    /// Forgets a try of which nothing more can come.
    fn close(&mut self, id: RequestId, out: &mut Vec<Verdict>) {
        if self.tries.get(&id).is_some_and(|t| !t.owed && !t.running) {
            self.tries.remove(&id);
            out.push(Verdict::Forget(id));
        }
    }

    fn run(&mut self, id: RequestId, out: &mut Vec<Verdict>) {
        let Some(t) = self.tries.get_mut(&id) else { return };
        let entry = t.repeat_key.as_ref().and_then(|key| self.keys.get_mut(key));
        if let Some(entry) = entry {
            // Guards against an effect twice, whatever was decided: the key's window is held here alone.
            if entry.ran && entry.holder != id && t.ingress < entry.until {
                self.pending.push(Event::Done(id, Outcome::Moot));
                return self.fail(id, out);
            }
            entry.ran = true;
            let window = self.settings.classes[t.class].dedup_window.into();
            entry.until = entry.until.max(t.ingress.plus(window).plus(WINDOW_MARGIN));
        }
        (t.running, t.ran) = (true, true);
        out.push(Verdict::Run(id));
    }

    /// A refusal says that the try never ran; one that did gets a failure with the same advice.
    fn turn_away(&mut self, id: RequestId, stay_away: Micros, give_up: bool, out: &mut Vec<Verdict>) {
        let ran = self.tries.get(&id).is_some_and(|t| t.ran);
        if self.settle(id) {
            out.push(match ran {
                true => Verdict::Fail { id, stay_away, give_up },
                false => Verdict::Refuse { id, stay_away, give_up },
            });
        }
        self.leave(id, out);
    }

    fn fail(&mut self, id: RequestId, out: &mut Vec<Verdict>) {
        if self.settle(id) {
            out.push(Verdict::Fail { id, stay_away: Micros(0), give_up: false });
        }
        self.leave(id, out);
    }

    /// A try that was answered or given up leaves, unless its run goes on.
    fn leave(&mut self, id: RequestId, out: &mut Vec<Verdict>) {
        let Some(t) = self.tries.get(&id) else { return };
        if let (Some(key), false) = (t.repeat_key.clone(), t.running) {
            match self.keys.get_mut(&key) {
                Some(e) if e.holder == id && !e.ran => self.void_key(&key, out),
                Some(KeyEntry { kept: Kept::Open(waiting), .. }) => waiting.retain(|w| *w != id),
                _ => {}
            }
        }
        self.close(id, out);
    }

    /// The try with this key will never run: the tries that wait for it fail, and the next one is a first.
    fn void_key(&mut self, key: &Rc<str>, out: &mut Vec<Verdict>) {
        if let Some(KeyEntry { kept: Kept::Open(waiting), .. }) = self.keys.remove(key) {
            self.answer_waiting(waiting, None, out);
        }
    }

    fn answer_waiting(&mut self, ids: Vec<RequestId>, result: Option<&Rc<[u8]>>, out: &mut Vec<Verdict>) {
        for id in ids {
            let outcome = if result.is_some() { Outcome::Ok } else { Outcome::Error };
            self.pending.push(Event::Done(id, outcome));
            if self.settle(id) {
                out.push(match result {
                    Some(r) => Verdict::Replay(id, r.clone()),
                    None => Verdict::Fail { id, stay_away: Micros(0), give_up: false },
                });
            }
            self.close(id, out);
        }
    }

    fn reuse(&mut self, id: RequestId, out: &mut Vec<Verdict>) {
        let key = self.tries.get(&id).and_then(|t| t.repeat_key.clone());
        let result = match key.and_then(|key| self.keys.get_mut(&key)).map(|e| &mut e.kept) {
            Some(Kept::Open(waiting)) => return waiting.push(id),
            Some(Kept::Good(result)) => Some(result.clone()),
            Some(Kept::Failed) | None => None,
        };
        self.answer_waiting(vec![id], result.as_ref(), out);
    }

    fn keep(&mut self, id: RequestId, until: Micros) {
        let Some(t) = self.tries.get(&id) else { return };
        if let Some(key) = t.repeat_key.clone() {
            let kept = Kept::Open(Vec::new());
            self.keys.insert(key, KeyEntry { holder: id, print: t.print, ran: false, until, kept });
        }
    }

    /// Drops an entry; one whose try ran stays, as the rule binds for the whole window.
    fn forget(&mut self, id: RequestId, out: &mut Vec<Verdict>) {
        let Some(key) = self.tries.get(&id).and_then(|t| t.repeat_key.clone()) else { return };
        if self.keys.get(&key).is_some_and(|e| e.holder == id && !e.ran) {
            self.void_key(&key, out);
        }
    }

    fn ended(&mut self, id: RequestId, end: RunEnd, out: &mut Vec<Verdict>) {
        let Some(t) = self.tries.get_mut(&id).filter(|t| t.running) else { return };
        t.running = false;
        if std::mem::take(&mut t.calling) {
            out.push(Verdict::DropCall(id));
        }
        let key = t.repeat_key.clone();
        let outcome = match &end {
            RunEnd::Good(_) => Outcome::Ok,
            RunEnd::Bad => Outcome::Error,
            RunEnd::Cut => Outcome::Cancelled,
            RunEnd::NeverRan => Outcome::Moot,
        };
        self.pending.push(Event::Done(id, outcome));
        if let Some(key) = key {
            self.end_key(id, &key, &end, out);
        }
        if self.settle(id) {
            out.push(match end {
                RunEnd::Good(result) => Verdict::Serve(id, result),
                _ => Verdict::Fail { id, stay_away: Micros(0), give_up: false },
            });
        }
        self.close(id, out);
    }

    /// Stores what came of the run that has this key.
    fn end_key(&mut self, id: RequestId, key: &Rc<str>, end: &RunEnd, out: &mut Vec<Verdict>) {
        let Some(entry) = self.keys.get_mut(key).filter(|e| e.holder == id) else { return };
        if *end == RunEnd::NeverRan {
            return self.void_key(key, out);
        }
        let result = match end {
            RunEnd::Good(result) => Some(result.clone()),
            _ => None,
        };
        let kept = result.clone().map_or(Kept::Failed, Kept::Good);
        if let Kept::Open(waiting) = std::mem::replace(&mut entry.kept, kept) {
            self.answer_waiting(waiting, result.as_ref(), out);
        }
    }

    fn called(&mut self, id: RequestId, end: CallEnd, lag: Micros) {
        let Some(t) = self.tries.get_mut(&id).filter(|t| t.calling) else { return };
        t.calling = false;
        let outcome = match end {
            CallEnd::Good => Outcome::Ok,
            CallEnd::Busy => Outcome::Full,
            CallEnd::Unreachable => Outcome::Unreachable,
            CallEnd::Failed => Outcome::Error,
            CallEnd::Late => Outcome::TimedOut,
            CallEnd::Broken => Outcome::Reset,
        };
        self.pending.push(Event::Called(id, outcome, lag.span()));
    }

    fn aborted(&mut self, id: RequestId, out: &mut Vec<Verdict>) {
        if self.settle(id) {
            self.pending.push(Event::Gone(id));
            self.leave(id, out);
        }
    }

    fn elapse(&mut self, gauges: Gauges) {
        self.asked = None;
        let due = self.due_timers.drain(..).map(|name| Event::Timer(name, gauges));
        self.pending.extend(due);
    }

    /// Guards against a lost request, whatever was decided: past its due time it gets a failure.
    fn fail_overdue(&mut self, now: Micros, out: &mut Vec<Verdict>) {
        while let Some((due, id)) = self.owed.first().copied().filter(|(t, _)| t.plus(OVERDUE) <= now) {
            self.owed.remove(&(due, id));
            self.pending.push(Event::Gone(id));
            self.fail(id, out);
        }
    }
}
