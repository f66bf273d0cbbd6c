//! The types that pass between a worker and its [`Controller`](crate::Controller).
//!
//! Nothing here decides anything: settings and events go in, actions come out.

use crate::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Names one try of a request; never reused by the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Safe to repeat.
    Pure,
    /// Has an effect; repeats are recognised by a key and answered from the first run.
    Keyed,
    /// Has an effect and repeats cannot be recognised.
    Unsafe,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time of the first try earns the full worth.
    #[serde(rename = "aim")]
    pub latency_objective: Span,
    /// The aim grows by this multiple of the request's own work (0: not at all).
    #[serde(rename = "aim_stretch")]
    pub objective_stretch: f64,
    /// The caller gives up after this long.
    pub deadline: Span,
    /// What a request is worth.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the worth for an answer between aim and deadline.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Whether a request may run again.
    pub effect: Effect,
    /// For [`Effect::Keyed`]: how long after its arrival a request may come back.
    pub dedup_window: Span,
    /// Whether its requests may call the dependency.
    pub calls: bool,
    /// Share of the worth where a call was left out; 0 where leaving it out is not allowed.
    #[serde(rename = "skip_worth")]
    pub skipped_call_weight: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Requests a second over all workers that are within its share.
    pub quota_per_s: f64,
    /// Its portion of the service.
    pub share: f64,
}

/// What stopping a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Preemption {
    /// Runs cannot be stopped.
    Never,
    /// The work done is lost and the request is held again.
    Discard,
    /// The run keeps progress and memory until it is run on.
    Freeze,
}

/// What callers take the announced value to mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackpressureSignal {
    /// No value can be announced.
    Silent,
    /// Callers send nothing with a rank below the value.
    Floor,
    /// No caller has more than this many requests out here.
    Allowance,
    /// The chance that a caller coming across this worker uses it.
    Weight,
}

/// What lies below the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Downstream {
    /// Nothing.
    Nothing,
    /// One dependency that all workers share.
    Shared,
    /// The workers of another tier.
    Tier,
}

/// Whether worth counts by request or by unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightBy {
    /// Each request counts its class's worth.
    Request,
    /// Each unit of work counts its class's worth.
    Work,
}

/// Everything a controller is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// What traffic beyond its tenant's share is worth, as a share.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// How worth is counted.
    #[serde(rename = "worth_by")]
    pub weight_by: WeightBy,
    /// Workers listed at this start.
    #[serde(rename = "fleet_size")]
    pub cluster_size: u32,
    /// Callers at this start.
    pub callers: u32,
    /// Cores of this worker.
    pub cores: u32,
    /// Memory, in kilobytes.
    pub memory_kb: f64,
    /// A running request's memory over a held one's.
    #[serde(rename = "run_factor")]
    pub running_memory_factor: f64,
    /// Memory of one kept entry, in kilobytes.
    #[serde(rename = "key_kb")]
    pub entry_kb: f64,
    /// What lies below.
    #[serde(rename = "below")]
    pub downstream: Downstream,
    /// This worker's share of the calls that the dependency survives.
    #[serde(rename = "calls_out")]
    pub outbound_call_limit: f64,
    /// Span over which calls in hand are averaged.
    pub call_window: Span,
    /// How long a given-up call may stay in the dependency's hands.
    #[serde(rename = "call_lingers")]
    pub abandoned_call_duration: Span,
    /// What stopping a run does.
    #[serde(rename = "halt")]
    pub preemption: Preemption,
    /// What the announced value means.
    #[serde(rename = "signal")]
    pub backpressure_signal: BackpressureSignal,
    /// How long a caller remembers the announced value.
    #[serde(rename = "heeded")]
    pub signal_retention: Span,
    /// The longest advice to stay away that callers follow; `None` where it is not passed on.
    #[serde(rename = "max_stay_away")]
    pub max_retry_after: Option<Span>,
    /// Callers close idle connections after this.
    pub caller_idle: Span,
    /// How long a read's answer may serve other requests; 0 means never.
    #[serde(rename = "fresh_for")]
    pub cache_ttl: Span,
    /// Health checks do real work unless answered from store.
    #[serde(rename = "full_checks")]
    pub deep_health_checks: bool,
    /// Every caller's list of workers follows their health, a little later.
    #[serde(rename = "list_follows")]
    pub list_follows_health: bool,
    /// The worker starts cold.
    pub cold: bool,
    /// Fully warm after this time or sooner.
    #[serde(rename = "cold_for")]
    pub warmup_duration: Span,
    /// A cold worker starts at this share of its speed or more.
    #[serde(rename = "cold_share")]
    pub cold_speed_share: f64,
    /// Span over which the crowd on the cores is averaged.
    #[serde(rename = "crowd_window")]
    pub concurrency_window: Span,
    /// Requests on the cores, for each core, that a warm worker survives.
    #[serde(rename = "crowd_multiple")]
    pub survivable_runs_per_core: f64,
    /// Nothing that arrives more than this after the drain notice is run.
    pub drain_grace: Span,
    /// Time past the due time in which an answer still counts.
    pub answer_slack: Span,
    /// The shortest gap between batches.
    pub tick: Span,
}

/// A request that was read and now awaits a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`]; 0 where there are none.
    pub tenant: usize,
    /// What it concerns, where told: the same number for the same thing.
    pub resource_key: Option<u64>,
    /// When its caller stops waiting, where told.
    pub deadline: Option<Time>,
    /// Expected work on a standard core, where told.
    pub work_hint: Option<Span>,
    /// Memory while held, in kilobytes.
    pub queued_kb: f64,
    /// Place in the order of worth, from 0 to under 1.
    pub shed_order: f64,
    /// The number of its caller; 0 where callers are not told apart.
    pub caller: u64,
    /// Known to be a further try or a second copy.
    pub is_retry: bool,
    /// How long ago it reached the machine.
    pub read_delay: Span,
    /// The kept request that this one repeats.
    pub original: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed, perhaps after its effect.
    Error,
    /// The call was turned away unseen.
    Overloaded,
    /// The call was given up; it may have had its effect.
    TimedOut,
    /// What lies below was out of reach; the call never ran.
    Unreachable,
    /// The call broke off; it may have had its effect.
    Reset,
    /// The run was stopped.
    Cancelled,
    /// Nothing started, since the request was already over.
    NeverStarted,
}

/// The worker's own gauges; those it lacks are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores busy of late.
    pub cpu_busy: Option<f64>,
    /// Everything that wants a core now.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub mem_used: Option<f64>,
    /// Open connections.
    pub sockets: Option<f64>,
}

/// Something that happened to this worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was read.
    Request(Request),
    /// The caller has stopped waiting.
    CallerGone(RequestId),
    /// The worker leaves service; its process stops at the time given.
    Drain(Time),
    /// A run or a reuse is over, or a stop took effect.
    RunEnded(RequestId, Outcome),
    /// A running request stands at a call.
    CallRequested(RequestId),
    /// A call ended after this long.
    CallEnded(RequestId, Outcome, Span),
    /// A timer set earlier is due.
    Timer(u64, Gauges),
}

/// Something the worker is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held request or go on with a paused one.
    Run(RequestId),
    /// Stop a run.
    Preempt(RequestId),
    /// Final answer: turned away, never run.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller should keep away; zero for no advice.
        retry_after: Span,
        /// Asks the caller not to try elsewhere.
        no_retry_elsewhere: bool,
    },
    /// Final answer: an error, with no promise.
    Fail(RequestId),
    /// Answer a held request from the run of the one it repeats.
    Coalesce(RequestId),
    /// Remember a request so that repeats are recognised.
    Remember(RequestId, Span),
    /// Drop a request's entry.
    Forget(RequestId),
    /// Make the call a request waits for; it is given up at the time.
    Call(RequestId, Time),
    /// Go on without the call.
    SkipCall(RequestId),
    /// Set the value sent with every answer.
    AnnounceCapacity(f64),
    /// What health checks hear from now on.
    Health {
        /// In service.
        good: bool,
        /// Answer from this setting alone.
        shallow: bool,
    },
    /// Close connections idle for this long.
    SetIdleTimeout(Span),
    /// Ask for a timer after this time.
    SetTimer(u64, Span),
    /// A line for the log.
    Log(String),
}

/// Settings that make no sense; names the setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting at fault.
    pub key: String,
    /// What is wrong with it.
    pub why: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "setting {}: {}", self.key, self.why)
    }
}

impl std::error::Error for SettingsError {}
