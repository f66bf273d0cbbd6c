//! The key table itself behind the engine, checked by stateright in every order of crashes, stalls, late successes and
//! retries up to a bound: a state is the history of steps, replayed through the real code.
//!
//! Bound: three attempts of one key, up to `depth()` steps, two crashes, two stalls, two breaks, one due time passed.

use gaugestand_admission::engine::{Arrival, Engine, EngineCommand, EngineEvent, RunOutcome};
use gaugestand_admission::time::Moment;
use gaugestand_admission::time::{Micros, Timestamp, UnixTime};
use gaugestand_admission::{
    BackpressureSignal, Class, Downstream, Effect, Preemption, RequestId, Settings, Span, WeightBy,
};
use gaugestand_idempotency::row::{Batch, Cause, Outcome, Recovery, Row, RowState, Work, Write};
use gaugestand_idempotency::{KeyTable, Limits};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

const DEPTH: usize = 9;
const ATTEMPTS: u128 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// An attempt of the key comes; its caller is still there.
    Arrive(u128),
    /// The store makes the batch durable, and its answer gets through.
    Commit,
    /// It makes it durable, and the link breaks before its answer gets through.
    CommitUnheard,
    /// The link breaks, and nothing was made.
    Lost,
    /// It answers that nothing was made.
    Refused,
    /// The run ends with a result.
    End,
    /// Time passes, and the store stalls.
    Stall,
    /// The due times of all that came pass.
    Due,
    /// The process is killed and starts again; a batch that is out has been made durable or not.
    Crash(bool),
}

/// What can be seen from outside, and what may still happen.
struct World {
    engine: Engine<KeyTable>,
    now: Moment,
    /// Runs begun in the present incarnation that have not ended.
    running: Vec<RequestId>,
    runs: u32,
    result: Option<Rc<[u8]>>,
    store: BTreeMap<String, Row>,
    out: Option<Batch>,
    epoch: u64,
    answers: BTreeMap<u128, Vec<&'static str>>,
    /// Attempts that came in this incarnation and are owed an answer by it.
    here: Vec<u128>,
    ran: Vec<u128>,
    faults: Vec<&'static str>,
    /// Intents are not written, as in a design that records outcomes alone.
    no_intent: bool,
}

fn settings() -> Settings {
    let class = Class {
        latency_objective: Span::millis(1_500),
        objective_stretch: 0.0,
        deadline: Span::millis(2_000),
        priority_weight: 1.0,
        late_weight: 0.0,
        effect: Effect::Keyed,
        dedup_window: Span::millis(29_220),
        calls: false,
        skipped_call_weight: 0.0,
    };
    Settings {
        classes: vec![class],
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_by: WeightBy::Request,
        cluster_size: 1,
        callers: 1,
        cores: 4,
        memory_kb: 65536.0,
        running_memory_factor: 8.0,
        entry_kb: 1.0,
        downstream: Downstream::Nothing,
        outbound_call_limit: 0.0,
        call_window: Span::millis(5000),
        abandoned_call_duration: Span(0),
        preemption: Preemption::Discard,
        backpressure_signal: BackpressureSignal::Silent,
        signal_retention: Span(0),
        max_retry_after: Some(Span::millis(1000)),
        caller_idle: Span::millis(30000),
        cache_ttl: Span(0),
        deep_health_checks: false,
        list_follows_health: false,
        cold: false,
        warmup_duration: Span::millis(10000),
        cold_speed_share: 0.3,
        concurrency_window: Span::millis(3000),
        survivable_runs_per_core: 8.0,
        drain_grace: Span::millis(2000),
        answer_slack: Span::millis(60),
        tick: Span::millis(5),
    }
}

fn engine() -> Engine<KeyTable> {
    let limits = Limits { window: Micros::millis(29_220), ..Limits::default() };
    Engine::new(settings(), 1, KeyTable::durable(limits, 1)).expect("sound settings")
}

impl World {
    fn new(no_intent: bool) -> Self {
        let now = Moment { mono: Timestamp::millis(3_600_000), wall: UnixTime::millis(1_700_000_000_000) };
        let mut world = World {
            engine: engine(),
            now,
            running: vec![],
            runs: 0,
            result: None,
            store: BTreeMap::new(),
            out: None,
            epoch: 0,
            answers: BTreeMap::new(),
            here: vec![],
            ran: vec![],
            faults: vec![],
            no_intent,
        };
        world.start();
        world
    }

    fn start(&mut self) {
        self.epoch += 1;
        self.engine = engine();
        let rows: Vec<Row> = self.store.values().cloned().collect();
        let found = Recovery { row_count: rows.len() as u64, rows, epoch: self.epoch };
        self.engine.idempotency().load(self.now, found);
        let mut out = Vec::new();
        self.engine.on_event(self.now, EngineEvent::BackendStarted { cold: false, age: Micros(0) }, &mut out);
        self.carry_out(out);
        self.settle();
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each step of the model")]
    fn step(&mut self, step: Step) {
        let mut out = Vec::new();
        match step {
            Step::Arrive(id) => {
                self.here.push(id);
                let arrival = Arrival {
                    id: RequestId(id),
                    class: 0,
                    repeat_key: Some("k".to_string()),
                    body: b"body",
                    age: Micros(0),
                    ingress: self.now.wall,
                    work_hint: None,
                    queued_kb: 20.0,
                    shed_order: 0.5,
                    caller: 1,
                    caller_timeout: None,
                    is_retry: false,
                    resource_key: None,
                };
                self.engine.admit(self.now, arrival, &mut out).expect("an id and a body that fit");
            }
            Step::Commit | Step::CommitUnheard | Step::Lost | Step::Refused => {
                let Some(batch) = self.out.take() else { return };
                let made = matches!(step, Step::Commit | Step::CommitUnheard);
                let heard = if made { self.apply(&batch.work) } else { Outcome::NotDone(Cause::Full) };
                let unheard = matches!(step, Step::CommitUnheard | Step::Lost);
                let outcome = if unheard { Outcome::Unknown(Cause::Link) } else { heard };
                let idempotency = self.engine.idempotency();
                idempotency.on_outcome(self.now.mono, batch.number, outcome);
                if unheard {
                    idempotency.on_link(self.now.mono, false);
                    idempotency.on_link(self.now.mono, true);
                }
            }
            Step::End => {
                let Some(id) = self.running.pop() else { return };
                let result: Rc<[u8]> = format!("result {}", self.runs).into_bytes().into();
                self.result = Some(result.clone());
                self.engine.on_event(
                    self.now,
                    EngineEvent::RunEnded(id, RunOutcome::Succeeded(result)),
                    &mut out,
                );
            }
            Step::Stall => self.now = self.now.plus(Micros::millis(300)),
            Step::Due => self.now = self.now.plus(Micros::millis(2_100)),
            Step::Crash(made) => {
                if let (Some(batch), true) = (self.out.take(), made) {
                    self.apply(&batch.work);
                }
                self.running.clear();
                self.here.clear();
                return self.start();
            }
        }
        self.carry_out(out);
        self.settle();
        if step == Step::Due {
            // Everything that came in this incarnation is over by now.
            let unanswered = |id: &&u128| self.answers.get(*id).is_none_or(Vec::is_empty);
            if self.here.iter().any(|id| unanswered(&id)) {
                self.faults.push("a try was not answered by its due time");
            }
        }
    }

    /// Lets the engine and the store have their turns.
    fn settle(&mut self) {
        for _ in 0..4 {
            let mut out = Vec::new();
            self.engine.on_timer(self.now, &mut out);
            self.carry_out(out);
            if self.out.is_none() {
                self.out = self.engine.idempotency().next_batch(self.now.mono);
            }
        }
    }

    /// What the store does with work, by the rules that the backends follow.
    fn apply(&mut self, work: &Work) -> Outcome {
        match work {
            Work::LogRecord(_) => panic!("a key table writes no log"),
            Work::Lookup(keys) => {
                Outcome::Rows(keys.iter().filter_map(|k| self.store.get(k)).cloned().collect())
            }
            Work::Commit(writes) => {
                for write in writes {
                    match write {
                        Write::Put(row) if self.no_intent && row.state == RowState::Intent => {}
                        Write::Put(row) => {
                            if self.store.get(&row.key).is_none_or(|old| row.precedence() > old.precedence())
                            {
                                self.store.insert(row.key.clone(), row.clone());
                            }
                        }
                        Write::Remove { key, sequence } => {
                            if self.store.get(key).is_some_and(|old| old.sequence <= *sequence) {
                                self.store.remove(key);
                            }
                        }
                        Write::Probe => {}
                    }
                }
                Outcome::Done
            }
        }
    }

    fn carry_out(&mut self, verdicts: Vec<EngineCommand>) {
        for verdict in verdicts {
            match verdict {
                EngineCommand::Run(id) => {
                    self.runs += 1;
                    self.ran.push(id.0);
                    self.running.push(id);
                }
                EngineCommand::Serve(id, result) | EngineCommand::Replay(id, result) => {
                    let stored = self.store.get("k").map(|r| r.state.clone());
                    if stored != Some(RowState::Completed(result.to_vec())) {
                        self.faults.push("a result was shown that is not durable");
                    }
                    self.answer(id, "served");
                }
                EngineCommand::Reject { id, .. } => {
                    if self.ran.contains(&id.0) {
                        self.faults.push("a try that ran was refused");
                    }
                    self.answer(id, "refused");
                }
                EngineCommand::Fail { id, .. } => self.answer(id, "failed"),
                EngineCommand::Preempt(id) => self.running.retain(|r| *r != id),
                _ => {}
            }
        }
    }

    fn answer(&mut self, id: RequestId, how: &'static str) {
        self.answers.entry(id.0).or_default().push(how);
    }
}

/// A history, told apart by what it has led to.
#[derive(Clone, Debug)]
struct Path {
    steps: Vec<Step>,
    runs: u32,
    answers: BTreeMap<u128, Vec<&'static str>>,
    faults: Vec<&'static str>,
    possible: Vec<Step>,
    /// All of the world, as text: two histories that lead to the same go on the same.
    world: u64,
}

impl PartialEq for Path {
    fn eq(&self, other: &Self) -> bool {
        self.world == other.world && self.steps.len() == other.steps.len()
    }
}

impl Hash for Path {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.world, self.steps.len()).hash(state);
    }
}

struct Checked {
    no_intent: bool,
    depth: usize,
}

impl Checked {
    fn replay(&self, steps: Vec<Step>) -> Path {
        let mut world = World::new(self.no_intent);
        steps.iter().for_each(|s| world.step(*s));
        let count = |of: fn(&Step) -> bool| steps.iter().filter(|s| of(s)).count();
        let mut possible = Vec::new();
        let next = count(|s| matches!(s, Step::Arrive(_))) as u128 + 1;
        possible.extend((next <= ATTEMPTS).then_some(Step::Arrive(next)));
        if let Some(batch) = &world.out {
            possible.push(Step::Commit);
            let breaks = count(|s| matches!(s, Step::CommitUnheard | Step::Lost | Step::Refused));
            if breaks < 2 {
                possible.extend([Step::CommitUnheard, Step::Lost]);
                possible.extend(matches!(batch.work, Work::Commit(_)).then_some(Step::Refused));
            }
        }
        possible.extend((!world.running.is_empty()).then_some(Step::End));
        possible.extend((count(|s| *s == Step::Stall) < 2).then_some(Step::Stall));
        possible.extend((count(|s| *s == Step::Due) == 0).then_some(Step::Due));
        if count(|s| matches!(s, Step::Crash(_))) < 2 {
            possible.push(Step::Crash(false));
            possible.extend(world.out.is_some().then_some(Step::Crash(true)));
        }
        let text = format!(
            "{:?} {:?} {:?} {:?} {:?} {:?} {:?}",
            world.engine, world.running, world.runs, world.store, world.out, world.answers, possible
        );
        let mut hasher = std::hash::DefaultHasher::new();
        text.hash(&mut hasher);
        let (runs, answers, faults) = (world.runs, world.answers, world.faults);
        Path { steps, runs, answers, faults, possible, world: hasher.finish() }
    }
}

impl Model for Checked {
    type State = Path;
    type Action = Step;

    fn init_states(&self) -> Vec<Path> {
        vec![self.replay(Vec::new())]
    }

    fn actions(&self, state: &Path, actions: &mut Vec<Step>) {
        if state.steps.len() < self.depth {
            actions.extend(&state.possible);
        }
    }

    fn next_state(&self, last: &Path, action: Step) -> Option<Path> {
        let steps = last.steps.iter().copied().chain([action]).collect();
        Some(self.replay(steps))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // All of a history lies within one window.
            Property::always("at most one run a window", |_, s: &Path| s.runs <= 1),
            Property::always("one final answer", |_, s: &Path| s.answers.values().all(|a| a.len() <= 1)),
            Property::always("a 200 is durable, refused means never ran, all is answered", |_, s: &Path| {
                s.faults.is_empty()
            }),
            Property::sometimes("a result is shown after a crash", |_, s: &Path| {
                let crash = s.steps.iter().position(|s| matches!(s, Step::Crash(_)));
                let last = s.steps.iter().rposition(|s| matches!(s, Step::Arrive(_)));
                crash < last
                    && crash.is_some()
                    && s.answers.iter().next_back().is_some_and(|a| a.1 == &["served"])
            }),
            Property::sometimes("a try is refused for the store's sake", |_, s: &Path| {
                s.answers.values().any(|a| a == &["refused"])
            }),
        ]
    }
}

/// As deep as asked for by GAUGESTAND_MODEL_DEPTH; 11 takes half a minute on eight cores.
fn depth() -> usize {
    std::env::var("GAUGESTAND_MODEL_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(DEPTH)
}

fn check(no_intent: bool, depth: usize) -> impl Checker<Checked> {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    Checked { no_intent, depth }.checker().threads(threads).spawn_bfs().join()
}

#[test]
fn in_every_order_of_events_the_table_keeps_its_guarantees() {
    let checked = check(false, depth());
    println!("{} histories, {} different", checked.state_count(), checked.unique_state_count());
    checked.assert_properties();
}

#[test]
fn without_an_intent_the_same_check_finds_a_second_run() {
    let checked = check(true, DEPTH);
    let found = checked.discovery("at most one run a window").expect("a second run");
    println!("{:?}", found.into_actions());
}
