//! Every decision of the controller; the types that go in and out are in `src/interface.rs`.
//!
//! Read it top to bottom: constants, request table, estimators, the law, hold and refusal order with tenant
//! shares, calls, memory and crowd guards, signals, health and connections, drain.

use crate::interface::*;
use crate::time::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// ---- Constants: unit, reason, source -----------------------------------------------------------------

/// Share of the mean aim that a run may spend on the cores: Lmax of formula (5). The rest is for calls, the
/// hold, the reading and the way. Ours.
const LMAX_SHARE: f64 = 0.15;
/// Lmax is also at most this multiple of the latency seen while no more run than there are cores: past the
/// point where more runs only slow each other down, latency outgrows the crowd and the cap stays. Ours.
const KNEE: f64 = 1.2;
/// γ' of formula (5) in units of Ti / Lmax, so that it means the same at every rate and aim. Ours.
const GAMMA: f64 = 0.25;
/// Control periods in a mean aim; the paper's 6 minutes held hundreds of latencies, ours holds about one.
const PERIODS_PER_AIM: f64 = 8.0;
/// The cap moves by at most these factors a period: down, up, and up while cores idle and work waits. Ours.
const STEP: (f64, f64, f64) = (0.85, 1.15, 1.3);
/// Least Ti − Ne/L, as a share of Ti, at which formula (5) is used; below it the cap holds or rises. Ours.
const MIN_EXCESS: f64 = 0.03;
/// Highest cap as a share of the crowd that the server survives. Ours.
const CROWD_SHARE: f64 = 0.4;
/// The core gauge reads busy from here (share of the cores). Ours.
const BUSY: f64 = 0.9;
/// Longest expected wait in the hold while the cores are busy, as a share of the mean aim. Ours.
const WAIT_SHARE: f64 = 0.3;
/// Fewest places in that line: scatter in arrivals and runs is a matter of their number, and few cores start
/// few in a given time. Ours.
const LINE: f64 = 4.0;
/// Weight of a new sample in the estimators' means. Ours.
const BLEND: f64 = 0.1;
/// The same for a start or a refusal: some thirty make up the refused share at any rate. Ours.
const DECISION_BLEND: f64 = 0.03;
/// Shares of the memory that all work (the rest is for arrivals) and kept entries may fill. Ours.
const MEMORY_SHARE: (f64, f64) = (0.85, 0.5);
/// Seconds of quota, and at least requests, that a tenant may save up, and requests that it may owe: a quota
/// split over hundreds of workers is well under one a second, and scatter of its arrivals is no excess. Ours.
const BURST: (f64, f64, f64) = (1.5, 10.0, 2.0);
/// Share of the surviving call crowd that this worker uses: in the mean, at any one time, and were every call
/// in hand to last as long as it may. Ours.
const CALL_SHARE: (f64, f64, f64) = (0.5, 1.5, 0.9);
/// Pause before a call that came to nothing is made again, as shares of the mean aim: the first, doubled each
/// time, and the longest. Ours.
const CALL_AGAIN: (f64, f64) = (0.0015, 0.1);
/// A call that may be made again is given up after this many mean calls, and then made again. Ours.
const PATIENCE: f64 = 8.0;
/// A call is made while this share of the mean call's length is left: some are quicker than the mean. Ours.
const CALL_LEFT: f64 = 0.5;
/// No run ended for this many mean runs though the cores are full: the worker is struck. Ours.
const STRUCK_RUNS: f64 = 4.0;
/// Ticks between two timers. Ours.
const TIMER_TICKS: u64 = 4;
/// Mean time unread, as a share of the mean aim, at which the worker counts as swamped, and at which it no
/// longer does: it then reads only what has expired, and callers must learn of it before that. Ours.
const SWAMPED: (f64, f64) = (0.3, 0.12);
/// Share of its traffic that the signal asks to be kept away, for each unit of refused share; more shuts out
/// the lowest class while there is room. Ours.
const SIGNAL: f64 = 0.3;
/// Deviations of what a caller has in hand about its part that the allowance leaves room for. Ours.
const SCATTER: f64 = 2.0;
/// Refused share from which a refusal asks not to try elsewhere: below it was bad luck. Ours.
const WAVE: f64 = 0.05;
/// Arrivals over this worker's part of all quotas from which the fleet has too much; below: scatter. Ours.
const BEYOND: f64 = 1.25;
/// Idle connections: mean time unread (share of the mean aim) over which they are kept longer and under
/// which they are closed sooner, factors for that in a period, least part of the callers' own time. Ours.
const IDLE: (f64, f64, f64, f64, f64) = (0.08, 0.04, 1.5, 0.3, 0.02);
/// Requests from each caller within its idle time under which a kept connection is seldom used again. Ours.
const REUSED: f64 = 2.0;
/// The name of the only timer.
const TIMER: u64 = 1;

// ---- Request table -----------------------------------------------------------------------------------

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    /// Read, waiting to run.
    Held,
    /// Waiting for the run of the request it repeats.
    Reusing,
    /// On the cores.
    Running,
    /// On the cores, answered and told to stop: nothing goes back to the hold.
    Stopping,
    /// Off the cores, wants to call.
    AtCall,
    /// Off the cores, call under way.
    Calling,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    class: usize,
    tenant: usize,
    phase: Phase,
    reached: Time,
    /// An answer after this is worth nothing: the aim; once that is out of reach and late answers count, the
    /// due time.
    #[serde(rename = "aim")]
    latency_objective: Time,
    /// Must be answered by now, margin taken off.
    due: Time,
    caller: u64,
    #[serde(rename = "held_kb")]
    queued_kb: f64,
    /// Expected work where hinted, else one unit.
    size: f64,
    /// Order of worth, higher is better: twice the level, more where others share it, less for further tries.
    level: i32,
    in_share: bool,
    /// When the call under way is given up.
    call_until: Time,
    /// Calls that came to nothing, and when the next one may be made.
    calls_lost: u32,
    call_at: Time,
    /// The final answer was given, or none is owed.
    answered: bool,
    /// A run was begun at some time.
    ran: bool,
    kept: bool,
    /// Another request waits for its result.
    waited_for: bool,
    /// Start of the present phase.
    since: Time,
    /// Seconds on the cores before the present phase.
    on_core_s: f64,
}

impl Entry {
    fn hold_key(&self, id: RequestId) -> HoldKey {
        (-self.level, self.reached, id)
    }
}

/// Order of the hold: most worth first, then oldest.
type HoldKey = (i32, Time, RequestId);

/// Decides for one worker; see the crate's page.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Controller {
    s: Settings,
    now: Time,
    born: Option<Time>,
    requests: BTreeMap<RequestId, Entry>,
    hold: BTreeSet<HoldKey>,
    /// When to look at a request again: its aim, then its due time.
    watch: BTreeSet<(Time, RequestId)>,
    kept: BTreeSet<(Time, RequestId)>,
    /// For each key and class: reads of late, forgotten over the time that one answer serves, and the last.
    popular: BTreeMap<(u64, usize), (f64, Time)>,
    memory_kb: f64,
    on_cores: usize,
    away: usize,
    calls: Calls,
    est: Estimators,
    cap: f64,
    tokens: Vec<f64>,
    announced: f64,
    healthy: bool,
    /// The time in seconds that idle connections get, and that last told.
    idle: (f64, f64),
    /// After the notice to leave: the last arrival that may run, and when all must be answered.
    drain: Option<(Time, Time)>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Calls {
    waiting: BTreeSet<HoldKey>,
    out: usize,
    /// Given-up calls that may still be in the dependency's hands, by the time they are surely gone.
    lingering: Vec<Time>,
    /// Calls in hand, smoothed over the settings' window: a hard edge there would make all workers stop and
    /// go together.
    mean: f64,
    /// Call-seconds in hand so far, and what they were at each period's end of the settings' window.
    spent: f64,
    marks: VecDeque<(Time, f64)>,
    /// Mean seconds of late calls, and of the quickest spell so far, slowly forgotten.
    lag: Option<(f64, f64)>,
}

// ---- Estimators: Ne, L, Ti, service time per class, core speed ---------------------------------------

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Estimators {
    period: Span,
    period_began: Time,
    last: Time,
    /// Time integral of requests on the cores over this period.
    ne_integral: f64,
    arrivals: f64,
    ne: f64,
    ti: f64,
    /// Mean time on the cores of runs that ended well, in seconds.
    latency: f64,
    /// The same for runs that ended while no more ran than there are cores.
    uncrowded: f64,
    /// Mean aim of the arrivals, in seconds.
    #[serde(rename = "aim")]
    latency_objective: f64,
    /// Share of the latest decisions that were refusals; by events, so that quiet spells say nothing.
    refused_share: f64,
    /// Mean number of callers that have a request in hand here.
    senders: f64,
    /// Mean time that arrivals waited to be read, in seconds.
    unread: f64,
    swamped: bool,
    /// Mean seconds on the cores and mean size of runs, by class; ratios of means, for a hint may be far too
    /// small. `None` before the first end.
    runs: Vec<Option<(f64, f64)>>,
    /// How many times slower than that the runs under way seem to be.
    slowdown: f64,
    /// The last good end, or when work began on empty cores.
    last_end: Time,
    busy: f64,
    runnable: f64,
    /// Cores with nothing to do at the latest gauge, less the runs begun since.
    free: usize,
}

fn blend(mean: &mut f64, sample: f64, weight: f64) {
    *mean += weight * (sample - *mean);
}

/// Calls have no bound where no dependency is shared.
fn bounded(s: Settings) -> Settings {
    let shared = s.downstream == Downstream::Shared && s.outbound_call_limit > 0.0;
    Settings { outbound_call_limit: if shared { s.outbound_call_limit } else { f64::INFINITY }, ..s }
}

impl Controller {
    /// A controller for a worker that has just started. The seed is for random choices;
    /// this version makes none.
    pub fn new(settings: Settings, _seed: u64) -> Result<Self, SettingsError> {
        let s = bounded(settings);
        let bad = |key: &str, why| Err(SettingsError { key: key.to_string(), why });
        let unsound = [
            (s.cores == 0, "cores", "must be at least 1"),
            (s.classes.is_empty(), "classes", "must not be empty"),
            (s.tick.0 == 0, "tick", "must be above 0"),
        ];
        if let Some((_, key, why)) = unsound.into_iter().find(|u| u.0) {
            return bad(key, why);
        }
        for (i, c) in s.classes.iter().enumerate() {
            if c.latency_objective.0 == 0 || c.deadline.0 == 0 {
                return bad(&format!("classes.{i}"), "aim and deadline must be above 0");
            }
        }
        let latency_objective =
            s.classes.iter().map(|c| c.latency_objective.secs()).sum::<f64>() / s.classes.len() as f64;
        let est = Estimators {
            period: Span::from_secs(latency_objective / PERIODS_PER_AIM),
            latency: latency_objective * LMAX_SHARE,
            uncrowded: latency_objective * LMAX_SHARE,
            latency_objective,
            runs: vec![None; s.classes.len()],
            slowdown: 1.0,
            ..Estimators::default()
        };
        Ok(Controller {
            now: Time(0),
            born: None,
            requests: BTreeMap::new(),
            hold: BTreeSet::new(),
            watch: BTreeSet::new(),
            kept: BTreeSet::new(),
            popular: BTreeMap::new(),
            memory_kb: 0.0,
            on_cores: 0,
            away: 0,
            calls: Calls::default(),
            est,
            cap: f64::from(s.cores),
            tokens: s.tenants.iter().map(|_| BURST.1).collect(),
            announced: -1.0,
            healthy: true,
            idle: (s.caller_idle.secs() / 10.0, s.caller_idle.secs()),
            drain: None,
            s,
        })
    }

    /// Goes on under other settings. Requests keep the index of their class; each class goes on with what was
    /// learnt of the one that it comes from. How it started is no news.
    pub fn update_settings(&mut self, settings: Settings, from: &[Option<usize>]) {
        let learnt = |i: &Option<usize>| self.est.runs.get((*i)?).copied().flatten();
        self.est.runs = from.iter().map(learnt).collect();
        self.tokens.resize(settings.tenants.len(), BURST.1);
        self.s = bounded(Settings { cold: self.s.cold, ..settings });
    }

    /// Whether the first step was taken; that one wants no event.
    pub fn started(&self) -> bool {
        self.born.is_some()
    }

    /// Takes in all events of a batch, then settles; appends what the worker is to do.
    pub fn step(&mut self, now: Time, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        if self.born.is_none() {
            self.born = Some(now);
            (self.est.last, self.est.period_began, self.est.last_end) = (now, now, now);
            out.push(Action::Health { good: true, shallow: true });
            self.arm(out);
        }
        self.integrate();
        for event in events {
            match event {
                Event::Request(r) => self.on_request(r, out),
                Event::CallerGone(id) => self.on_gone(*id, out),
                Event::Drain(stop) => self.on_drain(*stop, out),
                Event::RunEnded(id, outcome) => self.on_done(*id, *outcome),
                Event::CallRequested(id) => self.set_phase(*id, Phase::AtCall),
                Event::CallEnded(id, outcome, lag) => self.on_called(*id, *outcome, *lag, out),
                Event::Timer(TIMER, gauges) => self.on_timer(gauges, out),
                Event::Timer(..) => {}
            }
        }
        self.settle(out);
    }

    fn arm(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer(TIMER, Span(self.s.tick.0 * TIMER_TICKS)));
    }

    fn integrate(&mut self) {
        let dt = (self.now - self.est.last).secs();
        self.est.last = self.now;
        self.est.ne_integral += self.on_cores as f64 * dt;
        self.calls.lingering.retain(|t| *t > self.now);
        let in_hand = (self.calls.out + self.calls.lingering.len()) as f64;
        self.calls.spent += in_hand * dt;
        let w = 1.0 - (-dt / self.s.call_window.secs().max(1e-3)).exp();
        blend(&mut self.calls.mean, in_hand, w);
    }

    fn count(&mut self, id: RequestId, add: bool) {
        let Some(e) = self.requests.get(&id) else { return };
        let key = e.hold_key(id);
        let waits = matches!(e.phase, Phase::Held | Phase::Reusing);
        let kb = e.queued_kb * if waits { 1.0 } else { self.s.running_memory_factor.max(1.0) };
        self.memory_kb += if add { kb } else { -kb };
        let n = if add { 1 } else { usize::MAX };
        match e.phase {
            Phase::Held if add => drop(self.hold.insert(key)),
            Phase::Held => drop(self.hold.remove(&key)),
            Phase::Running | Phase::Stopping => self.on_cores = self.on_cores.wrapping_add(n),
            Phase::AtCall => {
                self.away = self.away.wrapping_add(n);
                if add {
                    self.calls.waiting.insert(key);
                } else {
                    self.calls.waiting.remove(&key);
                }
            }
            Phase::Calling => {
                self.away = self.away.wrapping_add(n);
                self.calls.out = self.calls.out.wrapping_add(n);
            }
            Phase::Reusing => {}
        }
    }

    fn set_phase(&mut self, id: RequestId, phase: Phase) {
        if phase == Phase::Running && self.on_cores == 0 {
            // Nothing could end while nothing ran: that silence is no sign of a hang.
            self.est.last_end = self.now;
        }
        self.count(id, false);
        if let Some(e) = self.requests.get_mut(&id) {
            if matches!(e.phase, Phase::Running | Phase::Stopping) {
                e.on_core_s += (self.now - e.since).secs();
            }
            (e.phase, e.since) = (phase, self.now);
        }
        self.count(id, true);
    }

    fn remove(&mut self, id: RequestId) -> Option<Entry> {
        self.count(id, false);
        let e = self.requests.remove(&id)?;
        self.watch.remove(&(e.latency_objective, id));
        self.watch.remove(&(e.due, id));
        Some(e)
    }

    /// Expected seconds on the cores, at the present crowd and speed.
    fn run_s(&self, class: usize, size: f64) -> f64 {
        let base = match self.est.runs.get(class).copied().flatten() {
            // Hints are rough: half of what they say is believed.
            Some((ran, mean)) => ran * (1.0 + size / mean) / 2.0,
            None => self.est.latency,
        };
        base * self.est.slowdown
    }

    fn lmax(&self) -> f64 {
        (self.est.latency_objective * LMAX_SHARE).min(self.est.uncrowded * KNEE)
    }

    /// L of formula (5). Only good ends shorten it; the ages of runs under way can lengthen it, so that a
    /// hang or slowdown, which gives few ends, shows at once.
    fn l(&self) -> f64 {
        (self.est.latency * self.est.slowdown).max(1e-3)
    }

    /// A run ended well, or was given up (`good` false): the latter may only lengthen what is expected, or
    /// slow cores would look quick for want of ends.
    fn note_end(&mut self, e: &Entry, good: bool) {
        let ran = e.on_core_s + (self.now - e.since).secs();
        if !good && ran <= self.run_s(e.class, e.size) {
            return;
        }
        match &mut self.est.runs[e.class] {
            Some((mean, size)) => {
                blend(mean, ran, BLEND);
                blend(size, e.size, BLEND);
            }
            slot => *slot = Some((ran, e.size)),
        }
        blend(&mut self.est.latency, ran, BLEND);
        if good {
            self.est.last_end = self.now;
            if self.on_cores < self.s.cores as usize {
                blend(&mut self.est.uncrowded, ran, BLEND);
            }
        }
    }

    /// Guard for hangs, slowdowns and stolen cores: compares the ages of the runs under way with what their
    /// classes took of late. Hurts after a few unusually large requests, for as long as they run.
    fn note_ages(&mut self) {
        // As many ordinary runs as half the cores are mixed in, or one large request would look like trouble.
        let ordinary = f64::from(self.s.cores) / 2.0 * self.est.latency;
        let (mut age, mut expected) = (0.0, 0.0);
        for (_, e) in self.requests.iter().filter(|(_, e)| e.phase == Phase::Running) {
            age += e.on_core_s + (self.now - e.since).secs();
            expected += self.run_s(e.class, e.size);
        }
        expected /= self.est.slowdown;
        self.est.slowdown = ((age + ordinary) / (expected + ordinary).max(1e-6) / 1.5).max(1.0);
    }

    fn struck(&self) -> bool {
        let quiet = (self.now - self.est.last_end).secs();
        self.on_cores >= self.s.cores as usize && quiet > STRUCK_RUNS * self.est.latency
    }

    // ---- The law -------------------------------------------------------------------------------------

    fn on_timer(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let sane = |g: Option<f64>, most: f64| g.filter(|x| (0.0..=most).contains(x));
        // A gauge that is absent or reads nonsense gives way to our own count.
        let own = (self.on_cores as f64 / f64::from(self.s.cores)).min(1.0);
        self.est.busy = sane(gauges.cpu_busy, 1.5).unwrap_or(own);
        self.est.runnable = sane(gauges.runnable, 1e6).unwrap_or(self.on_cores as f64);
        self.est.free = (f64::from(self.s.cores) - self.est.runnable).max(0.0) as usize;
        if gauges.runnable.is_some() && self.est.free > 0 {
            // Whatever comes now is read at once. Where callers' lists follow health nothing else can end the
            // swamped state: nobody comes.
            self.note_unread(Span(0));
        }
        self.note_ages();
        while let Some((t, id)) = self.kept.first().copied().filter(|(t, _)| *t <= self.now) {
            self.kept.remove(&(t, id));
        }
        let took = self.now - self.est.period_began;
        if took >= self.est.period {
            let open = self.requests.values().filter(|e| !e.answered);
            let senders = open.map(|e| e.caller).collect::<BTreeSet<_>>().len();
            blend(&mut self.est.senders, senders as f64, 2.0 * BLEND);
            self.close_period(took.secs());
            self.signal(out);
            self.close_idle(out);
        }
        self.check_times(out);
        self.arm(out);
    }

    fn close_period(&mut self, dt: f64) {
        if self.est.arrivals == 0.0 && self.requests.is_empty() {
            self.note_unread(Span(0));
        }
        self.calls.marks.push_back((self.now, self.calls.spent));
        while self.calls.marks.get(1).is_some_and(|m| m.0 + self.s.call_window <= self.now) {
            self.calls.marks.pop_front();
        }
        let e = &mut self.est;
        blend(&mut e.ne, e.ne_integral / dt, 0.5);
        blend(&mut e.ti, e.arrivals / dt, 0.3);
        (e.ne_integral, e.arrivals, e.period_began) = (0.0, 0.0, self.now);
        for (tokens, t) in self.tokens.iter_mut().zip(&self.s.tenants) {
            let rate = t.quota_per_s / f64::from(self.s.cluster_size.max(1));
            *tokens = (*tokens + rate * dt).min((rate * BURST.0).max(BURST.1));
        }
        let served = Span::from_secs(4.0 * (self.s.cache_ttl.secs() + self.est.latency));
        self.popular.retain(|_, p| p.1 + served > self.now);
        self.reset_cap();
    }

    /// Formula (5) of the paper. Clamps: the steps up and down, the core count, the crowd that is survived.
    fn reset_cap(&mut self) {
        let (ne, l, lmax, ti) = (self.est.ne, self.l(), self.lmax(), self.est.ti);
        let excess = ti - ne / l;
        let mut next = self.cap;
        if excess > MIN_EXCESS * ti && ti > 0.0 {
            let divisor = 1.0 + GAMMA * ti / lmax * (l - lmax) / excess;
            if divisor > 0.05 {
                next = ne / divisor;
            } else if l < lmax {
                next = self.cap * STEP.1;
            }
        } else if l < lmax && self.est.ne > 0.9 * self.cap {
            next = self.cap * STEP.1;
        }
        next = next.clamp(self.cap * STEP.0, self.cap * STEP.1);
        if self.est.runnable < f64::from(self.s.cores) && !self.hold.is_empty() {
            next = self.cap * STEP.2;
        }
        let floor = f64::from(self.s.cores);
        self.cap = next.clamp(floor, self.crowd().max(floor));
    }

    // ---- Hold and refusal order ----------------------------------------------------------------------

    fn on_request(&mut self, r: &Request, out: &mut Vec<Action>) {
        if self.requests.contains_key(&r.id) {
            return;
        }
        let class = r.class.min(self.s.classes.len() - 1);
        let c = &self.s.classes[class];
        let (effect, window) = (c.effect, c.dedup_window);
        let reached = self.now - r.read_delay;
        let mut due = self.with_margin(r.deadline.unwrap_or(reached + c.deadline)).max(self.now);
        if let Some((_, end)) = self.drain {
            due = due.min(end).max(self.now);
        }
        let size = r.work_hint.map_or(1.0, |h| h.secs().max(1e-4));
        let stretch = r.work_hint.map_or(0.0, |h| h.secs() * c.objective_stretch);
        let latency_objective = (reached + c.latency_objective + Span::from_secs(stretch)).min(due);
        self.est.arrivals += 1.0;
        self.note_unread(r.read_delay);
        blend(&mut self.est.latency_objective, (latency_objective - reached).secs(), 0.02);
        // Within its tenant's share if that has a token left; gives it back if it is turned away.
        let in_share = match self.tokens.get_mut(r.tenant) {
            Some(t) if *t < 1.0 => false,
            Some(t) => {
                *t -= 1.0;
                true
            }
            None => true,
        };
        // Further tries go behind first ones of equal worth: they have spent part of their aim, unseen.
        // A read whose answer serves others that are likely to come is worth that much more.
        let shared = (2.0 * self.sharers(r.resource_key, class).log2()).round() as i32;
        let level = 2 * self.level(class, in_share) + shared - i32::from(r.is_retry);
        let entry = Entry {
            class,
            tenant: r.tenant,
            phase: Phase::Held,
            reached,
            latency_objective,
            due,
            caller: r.caller,
            queued_kb: r.queued_kb.max(0.0),
            size,
            level,
            in_share,
            call_until: Time(0),
            calls_lost: 0,
            call_at: Time(0),
            answered: false,
            ran: false,
            kept: false,
            waited_for: false,
            since: self.now,
            on_core_s: 0.0,
        };
        self.requests.insert(r.id, entry);
        self.count(r.id, true);
        self.watch.insert((latency_objective, r.id));
        if let Some(prior) = r.original.filter(|_| effect != Effect::Unsafe) {
            if let Some(p) = self.requests.get_mut(&prior) {
                p.waited_for = true;
            }
            self.set_phase(r.id, Phase::Reusing);
            // One read at the end of a drain may see no further look at it before the stop.
            if self.now >= due {
                return self.turn_away(r.id, out);
            }
            return out.push(Action::Coalesce(r.id));
        }
        let late_arrival = self.drain.is_some_and(|(last, _)| reached > last);
        let keep = match effect {
            Effect::Keyed => Some(window),
            Effect::Pure if self.s.cache_ttl.0 > 0 && r.resource_key.is_some() => {
                Some(Span(self.s.cache_ttl.0 + (due - self.now).0))
            }
            Effect::Pure | Effect::Unsafe => None,
        };
        if let Some(span) = keep {
            let room = (self.kept.len() + 1) as f64 * self.s.entry_kb <= MEMORY_SHARE.1 * self.s.memory_kb;
            if room && !late_arrival {
                self.kept.insert((self.now + span, r.id));
                out.push(Action::Remember(r.id, span));
                if let Some(e) = self.requests.get_mut(&r.id) {
                    e.kept = true;
                }
            } else if effect == Effect::Keyed {
                return self.turn_away(r.id, out);
            }
        }
        if late_arrival || self.struck() {
            self.turn_away(r.id, out);
        } else if self.hopeless(r.id) {
            self.miss_aim(r.id, out);
        }
    }

    /// The due time less the longest gap between two looks at it.
    fn with_margin(&self, due: Time) -> Time {
        due - Span(self.s.tick.0 * TIMER_TICKS)
    }

    /// A held request that cannot be answered in time any more, even if started now.
    fn hopeless(&self, id: RequestId) -> bool {
        let Some(e) = self.requests.get(&id).filter(|e| !e.waited_for) else { return false };
        // With nothing on the cores one run is tried whatever is expected: it shows when they are well again.
        let run = if self.on_cores == 0 { 0.0 } else { self.run_s(e.class, e.size) };
        let ahead = self.calls.waiting.iter().take_while(|k| k.0 <= -e.level).count();
        let calls = self.s.classes[e.class].calls;
        let expected = run + if calls { self.call_wait_s(ahead) + self.call_s() } else { 0.0 };
        self.now + Span::from_secs(expected) >= e.latency_objective
    }

    /// What can no longer make its aim gets its final answer at once; where a late answer counts and a held
    /// one finds room on the cores, it stays, ranked by what that is worth.
    fn miss_aim(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.requests.get(&id).cloned().filter(|e| !e.answered) else { return };
        let late = self.s.classes[e.class].late_weight;
        if late <= 0.0 || e.latency_objective >= e.due || e.phase == Phase::Held && self.est.busy >= BUSY {
            return self.turn_away(id, out);
        }
        self.count(id, false);
        self.watch.remove(&(e.latency_objective, id));
        self.watch.insert((e.due, id));
        if let Some(e) = self.requests.get_mut(&id) {
            e.level += 2 * late.log2().round() as i32;
            e.latency_objective = e.due;
        }
        self.count(id, true);
    }

    /// Gives a request its final answer: a refusal with advice where that is allowed (safe requests, effects
    /// that never ran), else an error; then lets go of it.
    fn turn_away(&mut self, id: RequestId, out: &mut Vec<Action>) {
        // Guard for waves of retries: refusals from a worker that runs at all tell of a fleet without room,
        // and each further try costs a reading. One that leaves or hangs speaks for itself alone.
        // Hurts where this worker alone draws too much.
        let wave = self.drain.is_none() && !self.struck() && self.est.refused_share > WAVE;
        let retry_after = self.retry_after();
        let Some(e) = self.requests.get_mut(&id).filter(|e| !e.answered) else { return };
        e.answered = true;
        let effectful = self.s.classes[e.class].effect != Effect::Pure;
        if effectful && (e.ran || e.phase == Phase::Reusing) {
            out.push(Action::Fail(id));
            return self.let_go(id, out);
        }
        // What comes after its aim is worth nothing elsewhere either.
        let no_retry_elsewhere = wave || e.latency_objective <= self.now;
        if !e.ran {
            blend(&mut self.est.refused_share, 1.0, DECISION_BLEND);
            if let Some(t) = self.tokens.get_mut(e.tenant).filter(|_| e.in_share) {
                *t += 1.0;
            }
            if e.kept && effectful {
                self.kept.retain(|(_, k)| *k != id);
                out.push(Action::Forget(id));
            }
        }
        out.push(Action::Reject { id, retry_after, no_retry_elsewhere });
        self.let_go(id, out);
    }

    /// Drops a request that was answered, and stops its run where that can be done.
    fn let_go(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.requests.get(&id) else { return };
        let keyed = self.s.classes[e.class].effect == Effect::Keyed;
        match e.phase {
            Phase::Running if self.s.preemption != Preemption::Never && !keyed && !e.waited_for => {
                let run = e.clone();
                self.note_end(&run, false);
                self.set_phase(id, Phase::Stopping);
                out.push(Action::Preempt(id));
            }
            Phase::Held | Phase::Reusing => drop(self.remove(id)),
            _ => {}
        }
    }

    /// Looks at requests whose aim or due time has come, and at the hold.
    fn check_times(&mut self, out: &mut Vec<Action>) {
        while let Some((t, id)) = self.watch.first().copied().filter(|(t, _)| *t <= self.now) {
            self.watch.remove(&(t, id));
            self.miss_aim(id, out);
        }
        let held = self.hold.iter().map(|k| k.2);
        for id in held.filter(|id| self.hopeless(*id)).collect::<Vec<_>>() {
            self.miss_aim(id, out);
        }
    }

    fn on_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(e) = self.requests.get_mut(&id) else { return };
        e.answered = true;
        self.let_go(id, out);
    }

    fn on_done(&mut self, id: RequestId, outcome: Outcome) {
        let Some(e) = self.requests.get(&id) else { return };
        let on_cores = matches!(e.phase, Phase::Running | Phase::Stopping);
        if e.phase == Phase::Calling {
            // Its call is given up with it, and may stay in the dependency's hands like any given-up one.
            self.calls.lingering.push(self.now + self.s.abandoned_call_duration);
        }
        if let Some(e) = self.remove(id).filter(|_| outcome == Outcome::Ok && on_cores) {
            self.note_end(&e, true);
        }
    }

    fn settle(&mut self, out: &mut Vec<Action>) {
        self.make_calls(out);
        self.guard_memory(out);
        let most = self.crowd() as usize;
        while (self.on_cores as f64) < self.cap.floor() || self.est.free > 0 && self.on_cores < most {
            // Guard for a dependency that is slow, refuses or is down: while as many runs as the cap are away
            // at calls, only classes that make none are started, and they keep the cores busy.
            let full = self.away as f64 >= self.cap;
            let startable = |id: &RequestId| {
                !full || self.requests.get(id).is_none_or(|e| !self.s.classes[e.class].calls)
            };
            let Some(id) = self.hold.iter().map(|k| k.2).find(startable) else { break };
            if self.hopeless(id) {
                self.miss_aim(id, out);
                continue;
            }
            let Some(e) = self.requests.get(&id) else { break };
            let more = e.queued_kb * (self.s.running_memory_factor - 1.0).max(0.0);
            if self.memory() + more > MEMORY_SHARE.0 * self.s.memory_kb {
                break;
            }
            self.set_phase(id, Phase::Running);
            self.est.free = self.est.free.saturating_sub(1);
            blend(&mut self.est.refused_share, 0.0, DECISION_BLEND);
            if let Some(e) = self.requests.get_mut(&id) {
                e.ran = true;
                // What is served beyond a share fills that share too: others' requests come first after it.
                if let Some(t) = self.tokens.get_mut(e.tenant).filter(|_| !e.in_share) {
                    *t = (*t - 1.0).max(-BURST.2);
                }
            }
            out.push(Action::Run(id));
        }
        if self.est.busy >= BUSY {
            let (rate, room) = (self.cap / self.l(), self.room() as usize);
            while let Some(id) = self.least_worth() {
                let Some(e) = self.requests.get(&id) else { break };
                let wait = (self.hold.len() as f64 - 1.0) / rate + self.run_s(e.class, e.size);
                if self.hold.len() <= room && self.now + Span::from_secs(wait) < e.latency_objective {
                    break;
                }
                self.turn_away(id, out);
            }
        }
    }

    /// Places in the hold while the cores are busy.
    fn room(&self) -> f64 {
        (self.cap / self.l() * WAIT_SHARE * self.est.latency_objective).max(LINE)
    }

    /// The held request to turn away first: least worth, newest, nobody waiting for it.
    fn least_worth(&self) -> Option<RequestId> {
        self.hold.iter().rev().map(|k| k.2).find(|id| self.requests.get(id).is_some_and(|e| !e.waited_for))
    }

    /// Steps of a factor of two in worth, over-share traffic at what it counts.
    fn level(&self, class: usize, in_share: bool) -> i32 {
        let share = if in_share { 1.0 } else { self.s.over_quota_weight };
        (self.s.classes[class].priority_weight * share).max(1e-9).log2().round() as i32
    }

    /// Requests that one run of this read is likely to serve.
    fn sharers(&mut self, key: Option<u64>, class: usize) -> f64 {
        let Some(key) = key.filter(|_| self.s.cache_ttl.0 > 0) else { return 1.0 };
        let (now, served) = (self.now, self.s.cache_ttl.secs() + self.est.latency);
        let (n, last) = self.popular.entry((key, class)).or_insert((0.0, now));
        *n = *n * (-(now - *last).secs() / served).exp() + 1.0;
        *last = now;
        *n
    }

    // ---- Calls ---------------------------------------------------------------------------------------

    fn on_called(&mut self, id: RequestId, outcome: Outcome, lag: Span, out: &mut Vec<Action>) {
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            let (late, best) = self.calls.lag.get_or_insert((lag.secs(), lag.secs()));
            blend(late, lag.secs(), 2.0 * BLEND);
            blend(best, *late, BLEND * BLEND);
            *best = best.min(*late);
        }
        if outcome == Outcome::TimedOut {
            self.calls.lingering.push(self.now + self.s.abandoned_call_duration);
        }
        let Some(e) = self.requests.get(&id) else { return };
        if e.phase != Phase::Calling {
            return;
        }
        let c = &self.s.classes[e.class];
        let again = c.effect == Effect::Pure || matches!(outcome, Outcome::Overloaded | Outcome::Unreachable);
        match outcome {
            Outcome::Ok => self.set_phase(id, Phase::Running),
            _ if e.answered => {}
            _ if c.skipped_call_weight > 0.0 => {
                self.set_phase(id, Phase::Running);
                out.push(Action::SkipCall(id));
            }
            _ if again && self.now < e.latency_objective => {
                self.pause_calls(id);
                self.set_phase(id, Phase::AtCall);
            }
            _ => self.turn_away(id, out),
        }
    }

    /// Guard for a dependency that is down or turns calls away: its answer comes at once, and a call made
    /// again at once goes round as fast as the network does, costs a reading each time and finds it no
    /// better. Hurts by the pause where the next try would have gone well.
    fn pause_calls(&mut self, id: RequestId) {
        let (first, longest) = CALL_AGAIN;
        let Some(e) = self.requests.get_mut(&id) else { return };
        let share = (first * 2f64.powi(e.calls_lost.min(16) as i32)).min(longest);
        e.calls_lost += 1;
        e.call_at = self.now + Span::from_secs(share * self.est.latency_objective);
    }

    /// Most calls in hand at once. Slow calls are a sign of a crowd there: the bound shrinks with them.
    fn most_calls(&self) -> f64 {
        let ease = self.calls.lag.map_or(1.0, |(late, best)| best / late.max(1e-6));
        (CALL_SHARE.1 * self.s.outbound_call_limit * ease).max(1.0)
    }

    /// Expected wait for a call's turn behind so many. Guard for a dependency that is slow or down: what
    /// could not make its call in time is turned away before it runs, not after.
    fn call_wait_s(&self, ahead: usize) -> f64 {
        // In the long run the mean in hand binds, not the most at once.
        let most = self.most_calls().min(CALL_SHARE.0 * self.s.outbound_call_limit);
        self.calls.lag.map_or(0.0, |(late, _)| ahead as f64 * late / most)
    }

    /// Expected length of a call. With none out one is tried whatever is expected: it shows when they are
    /// quick again.
    fn call_s(&self) -> f64 {
        self.calls.lag.filter(|_| self.calls.out > 0).map_or(0.0, |(late, _)| late)
    }

    /// Call-seconds taken of late and promised to calls in hand, as a share of what the dependency survives.
    fn call_load(&self) -> f64 {
        let out = self.requests.values().filter(|e| e.phase == Phase::Calling);
        let until = out
            .map(|e| e.call_until + self.s.abandoned_call_duration)
            .chain(self.calls.lingering.iter().copied());
        let promised: f64 = until.map(|t| (t - self.now).secs()).sum();
        let spent = self.calls.spent - self.calls.marks.front().map_or(0.0, |m| m.1);
        (spent + promised) / (self.s.outbound_call_limit * self.s.call_window.secs()).max(1e-6)
    }

    /// Sends calls by worth, then age, while this worker's share of the dependency has room. A call gets no
    /// more time than keeps the mean over any window under the share whatever the dependency does, and is not
    /// made where calls take longer than that.
    fn make_calls(&mut self, out: &mut Vec<Action>) {
        let (most, window) = (self.most_calls(), self.s.call_window.secs().max(1e-3));
        let may = |k: &&HoldKey| self.requests.get(&k.2).is_none_or(|e| e.call_at <= self.now);
        let ready: Vec<HoldKey> = self.calls.waiting.iter().filter(may).copied().collect();
        for key in ready {
            let id = key.2;
            let Some(e) = self.requests.get(&id) else { break };
            if e.answered {
                self.calls.waiting.remove(&key);
                continue;
            }
            // Guards against work below for answers that come too late: what cannot be back is not sent.
            if self.now + Span::from_secs(CALL_LEFT * self.call_s()) >= e.latency_objective {
                self.miss_aim(id, out);
                continue;
            }
            let in_hand = (self.calls.out + self.calls.lingering.len() + 1) as f64;
            let room = (CALL_SHARE.2 - self.call_load()) * self.s.outbound_call_limit * window;
            let longest = room - self.s.abandoned_call_duration.secs();
            let usual = self.calls.lag.map_or(self.s.tick.secs(), |(late, _)| late);
            if in_hand > most
                || self.calls.mean > CALL_SHARE.0 * self.s.outbound_call_limit
                || longest < usual
            {
                break;
            }
            // One of which nothing is heard for long may never be answered: where it may be made again there
            // is time for that. Each further one gets twice as long, so that slow calls still end.
            let patience = PATIENCE * usual * 2f64.powi(e.calls_lost.min(16) as i32);
            let again = self.s.classes[e.class].effect == Effect::Pure && self.calls.lag.is_some();
            let longest = if again { longest.min(patience) } else { longest };
            let until =
                e.latency_objective.max(self.now + self.s.tick).min(self.now + Span::from_secs(longest));
            if let Some(e) = self.requests.get_mut(&id) {
                e.call_until = until;
            }
            out.push(Action::Call(id, until));
            self.set_phase(id, Phase::Calling);
        }
    }

    // ---- Memory and crowd guards ---------------------------------------------------------------------

    fn memory(&self) -> f64 {
        self.memory_kb + self.kept.len() as f64 * self.s.entry_kb
    }

    /// When no held request is left to turn away, those that others wait for and repeats go, newest first.
    fn guard_memory(&mut self, out: &mut Vec<Action>) {
        while self.memory() > MEMORY_SHARE.0 * self.s.memory_kb {
            let waits = |e: &&Entry| matches!(e.phase, Phase::Held | Phase::Reusing);
            let newest = || self.requests.iter().filter(|(_, e)| waits(e)).max_by_key(|(_, e)| e.reached);
            let Some(id) = self.least_worth().or_else(|| newest().map(|(id, _)| *id)) else { break };
            self.turn_away(id, out);
        }
    }

    /// Highest cap: a share of the crowd that the worker survives, less while it may be cold.
    fn crowd(&self) -> f64 {
        let warm = match self.born {
            Some(born) if self.s.cold && self.s.warmup_duration.0 > 0 => {
                let part = ((self.now - born).secs() / self.s.warmup_duration.secs()).min(1.0);
                self.s.cold_speed_share + (1.0 - self.s.cold_speed_share) * part
            }
            _ => 1.0,
        };
        let per_core = 1.0 + (self.s.survivable_runs_per_core - 1.0).max(0.0) * warm;
        CROWD_SHARE * per_core * f64::from(self.s.cores)
    }

    // ---- Signals and health --------------------------------------------------------------------------

    /// Guard for whatever makes reading too slow (slow or stolen cores, a cold start, a wave of retries):
    /// callers are told to stay away before all that is read has expired. Hurts by idling for as long as
    /// callers remember it when the backlog was a passing step.
    fn note_unread(&mut self, unread: Span) {
        let (on, off) = SWAMPED;
        blend(&mut self.est.unread, unread.secs(), 3.0 * BLEND);
        if unread.secs() < off * self.est.latency_objective {
            self.est.unread = self.est.unread.min(off * self.est.latency_objective);
        }
        let limit = self.est.latency_objective * if self.est.swamped { off } else { on };
        self.est.swamped = self.est.unread > limit;
    }

    /// More comes than this worker's part of all quotas: what swamps it swamps the others too. With less, it
    /// is the one that is slow.
    fn beyond(&self) -> bool {
        let quotas: f64 = self.s.tenants.iter().map(|t| t.quota_per_s).sum();
        self.est.ti * f64::from(self.s.cluster_size) > BEYOND * quotas
    }

    /// Nothing that comes is of use here. Within the grace after the notice to leave it still is: callers
    /// hear of the notice late, and who takes this worker's place is not listed yet.
    fn leaving(&self) -> bool {
        self.drain.is_some_and(|(last, _)| self.now >= last) || self.struck() || self.est.swamped
    }

    fn retry_after(&self) -> Span {
        let part = if self.leaving() { 1.0 } else { self.est.refused_share.powi(2).max(0.05) };
        Span::from_secs(self.s.max_retry_after.unwrap_or_default().secs() * part)
    }

    fn signal(&mut self, out: &mut Vec<Action>) {
        let leaving = self.leaving();
        // Where every list follows, a wave that swamps all would send each one's traffic to the rest and
        // back: there only what this worker knows of itself alone counts.
        let lone = self.drain.is_some() || self.struck();
        let good = !lone && (!leaving || self.s.list_follows_health && self.beyond());
        if self.healthy != good {
            self.healthy = good;
            out.push(Action::Health { good, shallow: true });
        }
        let open = if leaving { 0.0 } else { 1.0 - SIGNAL * self.est.refused_share };
        let value = match self.s.backpressure_signal {
            BackpressureSignal::Silent => return,
            BackpressureSignal::Floor => 1.0 - open,
            BackpressureSignal::Weight => open,
            // Where few callers hold what is in hand, each may have its part of twice the cap; where each
            // holds one at most, an allowance under one is a weight. A part of a few is a mean, about which
            // what each sends scatters: while little is refused there is room for that as far as the cores
            // have time or the hold has places, or callers turn away what this worker could still take.
            // Hurts as a wave begins.
            BackpressureSignal::Allowance => {
                let part = open * (2.0 * self.cap / self.est.senders.max(1.0)).max(1.0);
                let taken = if self.est.busy < BUSY { 0.0 } else { self.hold.len() as f64 / self.room() };
                let roomy = self.est.refused_share < WAVE;
                let scatter = SCATTER * part.sqrt() * (1.0 - taken).max(0.0).powi(2);
                if roomy { part + scatter } else { part }
            }
        };
        if (value - self.announced).abs() > 0.01 * self.announced.abs() {
            self.announced = value;
            out.push(Action::AnnounceCapacity(value));
        }
    }

    /// Guard for a table full of idle connections, which takes cores and shuts callers out unheard: where
    /// they are seldom used again they are closed early. While reading lags they stay, as then a full table
    /// costs less than a flood of handshakes and reading. Hurts where few of many callers send nearly all.
    fn close_idle(&mut self, out: &mut Vec<Action>) {
        let (high, low, longer, sooner, least) = IDLE;
        let (idle, told) = &mut self.idle;
        let longest = self.s.caller_idle.secs();
        let reused = self.est.ti * longest > REUSED * f64::from(self.s.callers);
        let unread = self.est.unread / self.est.latency_objective;
        if reused || unread > high {
            *idle *= longer;
        } else if unread < low {
            *idle *= 1.0 - sooner * (1.0 - self.est.busy.min(0.9));
        }
        *idle = idle.clamp(least * longest, longest);
        if (*idle / *told - 1.0).abs() > 0.05 {
            *told = *idle;
            out.push(Action::SetIdleTimeout(Span::from_secs(*idle).max(Span::millis(10))));
        }
    }

    // ---- Drain ---------------------------------------------------------------------------------------

    fn on_drain(&mut self, stop: Time, out: &mut Vec<Action>) {
        let last = self.now + self.s.drain_grace;
        let end = self.with_margin(self.with_margin(stop)).max(self.now);
        self.drain = Some((last, end));
        self.signal(out);
        self.watch.clear();
        for (id, e) in &mut self.requests {
            e.due = e.due.min(end);
            e.latency_objective = e.latency_objective.min(e.due);
            if !e.answered {
                self.watch.insert((e.latency_objective, *id));
            }
        }
    }
}
