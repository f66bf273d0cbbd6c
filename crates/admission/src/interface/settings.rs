//! The settings of a controller: the classes and tenants, what the worker can do, and what it survives.
//!
//! The stored names (`#[serde(rename)]`) are those of the hand-over between two processes of a node, which may be of
//! different versions.

use crate::time::Span;
use serde::{Deserialize, Serialize};
use thiserror::Error;

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
    /// An answer within this time of the first attempt counts its full weight.
    #[serde(rename = "aim")]
    pub latency_objective: Span,
    /// The objective grows by this multiple of the request's own work (0: not at all).
    #[serde(rename = "aim_stretch")]
    pub objective_stretch: f64,
    /// The caller gives up after this long.
    pub deadline: Span,
    /// What a request counts.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the weight for an answer between objective and deadline.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Whether a request may run again.
    pub effect: Effect,
    /// For [`Effect::Keyed`]: how long after its arrival a request may come back.
    pub dedup_window: Span,
    /// Whether its requests may call the dependency.
    pub calls: bool,
    /// Share of the weight where a call was skipped; 0 where it must not be.
    #[serde(rename = "skip_worth")]
    pub skipped_call_weight: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Requests a second over all workers that are within its quota.
    pub quota_per_s: f64,
    /// Its portion of the service.
    pub share: f64,
}

/// What stopping a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Preemption {
    /// Runs cannot be stopped.
    Never,
    /// The work done is lost and the request may be run anew.
    Discard,
    /// The run keeps its progress and memory until it is continued.
    Freeze,
}

/// What callers take the announced value to mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackpressureSignal {
    /// No value can be announced.
    Silent,
    /// Callers send nothing with a shed order below the value.
    Floor,
    /// No caller has more than this many requests in hand here.
    Allowance,
    /// The probability with which a caller that picks this worker uses it.
    Weight,
}

/// What the workers call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Downstream {
    /// Nothing.
    Nothing,
    /// One dependency that all workers share.
    Shared,
    /// The workers of another tier.
    Tier,
}

/// Whether weight counts by request or by unit of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightBy {
    /// Each request counts its class's weight.
    Request,
    /// Each unit of work counts its class's weight.
    Work,
}

/// Everything that a controller knows from its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Share of its weight that traffic beyond its tenant's quota counts.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// How weight is counted.
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
    /// A running request's memory as a multiple of a queued one's.
    #[serde(rename = "run_factor")]
    pub running_memory_factor: f64,
    /// Memory of one remembered request, in kilobytes.
    #[serde(rename = "key_kb")]
    pub entry_kb: f64,
    /// What the workers call.
    #[serde(rename = "below")]
    pub downstream: Downstream,
    /// This worker's part of the calls at once that the dependency survives.
    #[serde(rename = "calls_out")]
    pub outbound_call_limit: f64,
    /// Span over which calls in hand are averaged.
    pub call_window: Span,
    /// How long the dependency may still work on an abandoned call.
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
    /// The longest Retry-After that callers follow; `None` where it is not passed on.
    #[serde(rename = "max_stay_away")]
    pub max_retry_after: Option<Span>,
    /// Callers close idle connections after this.
    pub caller_idle: Span,
    /// How long a read's answer may serve other requests; 0 means never.
    #[serde(rename = "fresh_for")]
    pub cache_ttl: Span,
    /// Health checks do real work unless they are answered from a setting alone.
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
    /// Span over which running requests are averaged.
    #[serde(rename = "crowd_window")]
    pub concurrency_window: Span,
    /// Requests on the cores at once, for each core, that a warm worker survives.
    #[serde(rename = "crowd_multiple")]
    pub survivable_runs_per_core: f64,
    /// Nothing that arrives more than this after the drain notice is run.
    pub drain_grace: Span,
    /// Time past the deadline in which an answer still counts.
    pub answer_slack: Span,
    /// The shortest gap between batches.
    pub tick: Span,
}

impl Settings {
    /// Whether a controller can work under these settings; names the first that makes no sense.
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        if self.cores == 0 {
            return Err(SettingsError::NoCores);
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.tick.0 == 0 {
            return Err(SettingsError::ZeroTick);
        }
        let is_invalid = |class: &Class| class.latency_objective.0 == 0 || class.deadline.0 == 0;
        match self.classes.iter().position(is_invalid) {
            Some(class) => Err(SettingsError::ZeroClassTime { class }),
            None => Ok(()),
        }
    }
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A worker without cores runs nothing.
    #[error("setting cores: must be at least 1")]
    NoCores,
    /// Every request has a class.
    #[error("setting classes: must not be empty")]
    NoClasses,
    /// Timers are set in ticks.
    #[error("setting tick: must be above 0")]
    ZeroTick,
    /// The class at this index has no time for an answer.
    #[error("setting classes.{class}: aim and deadline must be above 0")]
    ZeroClassTime {
        /// Index into [`Settings::classes`].
        class: usize,
    },
    /// A time below zero.
    #[error("setting {key}: must not be negative")]
    Negative {
        /// The setting, as its source names it.
        key: String,
    },
}
