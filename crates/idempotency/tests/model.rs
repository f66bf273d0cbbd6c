//! Model check of the real key table behind the engine: stateright tries every order of crashes, stalls, late
//! successes and retries up to a bound. A state is a history of steps, which is replayed through the real
//! code.
//!
//! Bound: three attempts of one key, up to `depth()` steps, two crashes, two stalls, two failed batches, and
//! one step that passes the deadlines of all attempts.

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

/// Maximum number of steps in a history unless `GAUGESTAND_MODEL_DEPTH` sets another one.
const DEPTH: usize = 9;
/// Maximum number of attempts that arrive in a history.
const ATTEMPTS: u128 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The attempt with this id arrives; its caller waits for the answer.
    Arrive(u128),
    /// The store makes the batch durable, and its answer arrives.
    Commit,
    /// The store makes the batch durable, and the connection breaks before its answer arrives.
    CommitWithoutAnswer,
    /// The connection breaks, and nothing of the batch was done.
    LoseBatch,
    /// The store answers that nothing of the batch was done.
    RejectBatch,
    /// The run ends with a result.
    End,
    /// Time passes, and the store stalls.
    Stall,
    /// Time passes beyond the deadlines of all attempts that have arrived.
    PassDeadlines,
    /// The process is killed and restarted. The value says whether the batch in flight, if any, became
    /// durable.
    Crash(bool),
}

/// The engine, its store and its running attempts, with what an outside observer has seen.
struct System {
    engine: Engine<KeyTable>,
    now: Moment,
    /// Runs begun in the present incarnation that have not ended.
    running: Vec<RequestId>,
    runs: u32,
    result: Option<Rc<[u8]>>,
    store: BTreeMap<String, Row>,
    in_flight: Option<Batch>,
    epoch: u64,
    answers: BTreeMap<u128, Vec<&'static str>>,
    /// Attempts that arrived in this incarnation, which has to answer them.
    arrived: Vec<u128>,
    ran: Vec<u128>,
    violations: Vec<&'static str>,
    /// Whether the store drops intents, as in a design that records outcomes alone.
    omits_intents: bool,
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
    Engine::new(settings(), 1, KeyTable::durable(limits, 1)).expect("the settings are valid")
}

impl System {
    fn new(omits_intents: bool) -> Self {
        let now = Moment { mono: Timestamp::millis(3_600_000), wall: UnixTime::millis(1_700_000_000_000) };
        let mut system = System {
            engine: engine(),
            now,
            running: vec![],
            runs: 0,
            result: None,
            store: BTreeMap::new(),
            in_flight: None,
            epoch: 0,
            answers: BTreeMap::new(),
            arrived: vec![],
            ran: vec![],
            violations: vec![],
            omits_intents,
        };
        system.start();
        system
    }

    fn start(&mut self) {
        self.epoch += 1;
        self.engine = engine();
        let rows: Vec<Row> = self.store.values().cloned().collect();
        let recovery = Recovery { row_count: rows.len() as u64, rows, epoch: self.epoch };
        self.engine.idempotency().load(self.now, recovery);
        let mut out = Vec::new();
        self.engine.on_event(self.now, EngineEvent::BackendStarted { cold: false, age: Micros(0) }, &mut out);
        self.execute_commands(out);
        self.run_timers();
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each step of the model")]
    fn step(&mut self, step: Step) {
        let mut out = Vec::new();
        match step {
            Step::Arrive(id) => {
                self.arrived.push(id);
                let arrival = Arrival {
                    id: RequestId(id),
                    class: 0,
                    idempotency_key: Some("k".to_string()),
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
                self.engine.admit(self.now, arrival, &mut out).expect("the arrival is accepted");
            }
            Step::Commit | Step::CommitWithoutAnswer | Step::LoseBatch | Step::RejectBatch => {
                let Some(batch) = self.in_flight.take() else { return };
                let is_written = matches!(step, Step::Commit | Step::CommitWithoutAnswer);
                let store_outcome =
                    if is_written { self.apply(&batch.work) } else { Outcome::NotDone(Cause::Full) };
                let is_unanswered = matches!(step, Step::CommitWithoutAnswer | Step::LoseBatch);
                let outcome = if is_unanswered { Outcome::Unknown(Cause::Link) } else { store_outcome };
                let idempotency = self.engine.idempotency();
                idempotency.on_outcome(self.now.mono, batch.number, outcome);
                if is_unanswered {
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
            Step::PassDeadlines => self.now = self.now.plus(Micros::millis(2_100)),
            Step::Crash(is_written) => {
                if let (Some(batch), true) = (self.in_flight.take(), is_written) {
                    self.apply(&batch.work);
                }
                self.running.clear();
                self.arrived.clear();
                return self.start();
            }
        }
        self.execute_commands(out);
        self.run_timers();
        if step == Step::PassDeadlines {
            // Every attempt that arrived in this incarnation must be answered by now.
            let unanswered = |id: &&u128| self.answers.get(*id).is_none_or(Vec::is_empty);
            if self.arrived.iter().any(|id| unanswered(&id)) {
                self.violations.push("an attempt was not answered by its deadline");
            }
        }
    }

    /// Runs the engine's timers and hands the next batch to the store, four times, as each round can lead to
    /// work for the next.
    fn run_timers(&mut self) {
        for _ in 0..4 {
            let mut out = Vec::new();
            self.engine.on_timer(self.now, &mut out);
            self.execute_commands(out);
            if self.in_flight.is_none() {
                self.in_flight = self.engine.idempotency().next_batch(self.now.mono);
            }
        }
    }

    /// Does the work on the modelled store, by the rules that the backends follow.
    fn apply(&mut self, work: &Work) -> Outcome {
        match work {
            Work::LogRecord(_) => panic!("a key table must not write a log record"),
            Work::Lookup(keys) => {
                Outcome::Rows(keys.iter().filter_map(|k| self.store.get(k)).cloned().collect())
            }
            Work::Commit(writes) => {
                for write in writes {
                    match write {
                        Write::Put(row) if self.omits_intents && row.state == RowState::Intent => {}
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

    fn execute_commands(&mut self, commands: Vec<EngineCommand>) {
        for command in commands {
            match command {
                EngineCommand::Run(id) => {
                    self.runs += 1;
                    self.ran.push(id.0);
                    self.running.push(id);
                }
                EngineCommand::Serve(id, result) | EngineCommand::Replay(id, result) => {
                    let stored = self.store.get("k").map(|r| r.state.clone());
                    if stored != Some(RowState::Completed(result.to_vec())) {
                        self.violations.push("a result was sent that is not durable");
                    }
                    self.answer(id, "served");
                }
                EngineCommand::Reject { id, .. } => {
                    if self.ran.contains(&id.0) {
                        self.violations.push("an attempt that ran was rejected");
                    }
                    self.answer(id, "rejected");
                }
                EngineCommand::Fail { id, .. } => self.answer(id, "failed"),
                EngineCommand::Preempt(id) => self.running.retain(|r| *r != id),
                _ => {}
            }
        }
    }

    fn answer(&mut self, id: RequestId, kind: &'static str) {
        self.answers.entry(id.0).or_default().push(kind);
    }
}

/// A history of steps; two of equal length are equal if they have led to the same state of the system.
#[derive(Clone, Debug)]
struct History {
    steps: Vec<Step>,
    runs: u32,
    answers: BTreeMap<u128, Vec<&'static str>>,
    violations: Vec<&'static str>,
    next_steps: Vec<Step>,
    /// Hash of the whole state as text: two histories that lead to the same state continue alike.
    state_hash: u64,
}

impl PartialEq for History {
    fn eq(&self, other: &Self) -> bool {
        self.state_hash == other.state_hash && self.steps.len() == other.steps.len()
    }
}

impl Hash for History {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.state_hash, self.steps.len()).hash(state);
    }
}

struct TableModel {
    omits_intents: bool,
    depth: usize,
}

impl TableModel {
    fn replay(&self, steps: Vec<Step>) -> History {
        let mut system = System::new(self.omits_intents);
        steps.iter().for_each(|s| system.step(*s));
        let count = |of: fn(&Step) -> bool| steps.iter().filter(|s| of(s)).count();
        let mut next_steps = Vec::new();
        let next = count(|s| matches!(s, Step::Arrive(_))) as u128 + 1;
        next_steps.extend((next <= ATTEMPTS).then_some(Step::Arrive(next)));
        if let Some(batch) = &system.in_flight {
            next_steps.push(Step::Commit);
            let failures =
                count(|s| matches!(s, Step::CommitWithoutAnswer | Step::LoseBatch | Step::RejectBatch));
            if failures < 2 {
                next_steps.extend([Step::CommitWithoutAnswer, Step::LoseBatch]);
                next_steps.extend(matches!(batch.work, Work::Commit(_)).then_some(Step::RejectBatch));
            }
        }
        next_steps.extend((!system.running.is_empty()).then_some(Step::End));
        next_steps.extend((count(|s| *s == Step::Stall) < 2).then_some(Step::Stall));
        next_steps.extend((count(|s| *s == Step::PassDeadlines) == 0).then_some(Step::PassDeadlines));
        if count(|s| matches!(s, Step::Crash(_))) < 2 {
            next_steps.push(Step::Crash(false));
            next_steps.extend(system.in_flight.is_some().then_some(Step::Crash(true)));
        }
        let text = format!(
            "{:?} {:?} {:?} {:?} {:?} {:?} {:?}",
            system.engine,
            system.running,
            system.runs,
            system.store,
            system.in_flight,
            system.answers,
            next_steps
        );
        let mut hasher = std::hash::DefaultHasher::new();
        text.hash(&mut hasher);
        let (runs, answers, violations) = (system.runs, system.answers, system.violations);
        History { steps, runs, answers, violations, next_steps, state_hash: hasher.finish() }
    }
}

impl Model for TableModel {
    type State = History;
    type Action = Step;

    fn init_states(&self) -> Vec<History> {
        vec![self.replay(Vec::new())]
    }

    fn actions(&self, state: &History, actions: &mut Vec<Step>) {
        if state.steps.len() < self.depth {
            actions.extend(&state.next_steps);
        }
    }

    fn next_state(&self, last: &History, action: Step) -> Option<History> {
        let steps = last.steps.iter().copied().chain([action]).collect();
        Some(self.replay(steps))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // A whole history lies within one deduplication window.
            Property::always("at most one run per window", |_, s: &History| s.runs <= 1),
            Property::always("one final answer", |_, s: &History| s.answers.values().all(|a| a.len() <= 1)),
            Property::always(
                "a sent result is durable, a rejected attempt never ran, every attempt is answered",
                |_, s: &History| s.violations.is_empty(),
            ),
            Property::sometimes("a result is sent after a crash", |_, s: &History| {
                let crash = s.steps.iter().position(|s| matches!(s, Step::Crash(_)));
                let last = s.steps.iter().rposition(|s| matches!(s, Step::Arrive(_)));
                crash < last
                    && crash.is_some()
                    && s.answers.iter().next_back().is_some_and(|a| a.1 == &["served"])
            }),
            Property::sometimes("an attempt is rejected because of the store", |_, s: &History| {
                s.answers.values().any(|a| a == &["rejected"])
            }),
        ]
    }
}

/// Maximum length of a history: `GAUGESTAND_MODEL_DEPTH`, or `DEPTH`. A depth of 11 takes half a minute on
/// eight cores.
fn depth() -> usize {
    std::env::var("GAUGESTAND_MODEL_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(DEPTH)
}

fn check(omits_intents: bool, depth: usize) -> impl Checker<TableModel> {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    TableModel { omits_intents, depth }.checker().threads(threads).spawn_bfs().join()
}

#[test]
fn in_every_order_of_events_the_table_keeps_its_guarantees() {
    let checked = check(false, depth());
    println!("{} histories, {} of them distinct", checked.state_count(), checked.unique_state_count());
    checked.assert_properties();
}

#[test]
fn without_intents_the_model_check_finds_a_second_run() {
    let checked = check(true, DEPTH);
    let found = checked.discovery("at most one run per window").expect("the model check finds a second run");
    println!("{:?}", found.into_actions());
}
