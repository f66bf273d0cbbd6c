//! Settings of a controller: request classes and tenants, the capabilities of the worker, its callers and its
//! dependency, and the load that they survive.
//!
//! The names given by `#[serde(rename)]` belong to the format of the hand-over between two processes of a
//! node, which may be of different versions; they must not change.

use crate::time::Span;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// The request may safely run more than once.
    Pure,
    /// The request has an effect. Repeats are recognised by an idempotency key and answered from the first
    /// run.
    Keyed,
    /// The request has an effect, and repeats of it cannot be recognised.
    Unsafe,
}

/// One class of requests: its latency objective, deadline, weight and effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Time within which an answer counts its full weight, measured from the first attempt of a request;
    /// above 0. The controller, which does not know earlier attempts, measures it from the arrival of each
    /// attempt.
    #[serde(rename = "aim")]
    pub latency_objective: Span,
    /// Extension of `latency_objective`, as a multiple of the request's own work hint; 0 for no extension.
    #[serde(rename = "aim_stretch")]
    pub objective_stretch: f64,
    /// Time after which the caller gives up, measured from the arrival of the request; above 0. A deadline
    /// stated by the request itself takes precedence.
    pub deadline: Span,
    /// Weight of a request or of a unit of work, depending on [`Settings::weight_by`]. The priority of a
    /// request follows from it.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of `priority_weight` that counts for an answer between objective and deadline; 0 if such an
    /// answer counts nothing.
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
    /// Whether a request of this class may run more than once.
    pub effect: Effect,
    /// For [`Effect::Keyed`]: time after the arrival of a request within which repeats of it may arrive.
    pub dedup_window: Span,
    /// Whether the runs of this class may make outbound calls.
    pub calls: bool,
    /// Share of `priority_weight` that counts for an answer whose run skipped its outbound call; 0 if the
    /// call must not be skipped.
    #[serde(rename = "skip_worth")]
    pub skipped_call_weight: f64,
}

/// One tenant: its quota and its share of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Requests per second, over all workers of the cluster together, that are within the tenant's quota.
    pub quota_per_s: f64,
    /// The tenant's share of the service. The controller does not read it.
    pub share: f64,
}

/// What happens to a run that is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Preemption {
    /// Runs cannot be stopped.
    Never,
    /// The work done so far is lost; the request may run again from the start.
    Discard,
    /// The run keeps its progress and its memory until it is continued.
    Freeze,
}

/// How callers interpret the value of [`Action::AnnounceCapacity`](super::Action::AnnounceCapacity).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackpressureSignal {
    /// Callers read no value, and none is announced.
    Silent,
    /// Lowest shed order that callers send, from 0 to 1: they hold back requests with a lower one.
    Floor,
    /// Largest number of outstanding requests that each caller may have at this worker.
    Allowance,
    /// Probability, from 0 to 1, with which a caller that picks this worker sends it the request.
    Weight,
}

/// The target of the outbound calls that the workers' runs make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Downstream {
    /// There is no dependency.
    Nothing,
    /// One dependency that all workers share; outbound calls to it are limited.
    Shared,
    /// The workers of another tier; outbound calls to them are not limited.
    Tier,
}

/// Unit to which the weight of a class applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WeightBy {
    /// Each request counts the weight of its class.
    Request,
    /// Each unit of work counts the weight of its class.
    Work,
}

/// Settings of a controller, set by the operators' configuration or by the simulator when the worker starts.
/// [`Controller::update_settings`](crate::Controller::update_settings) replaces them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Request classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants; requests refer to them by index. May be empty.
    pub tenants: Vec<Tenant>,
    /// Share of the weight of a request that counts if the request is beyond its tenant's quota.
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
    /// Unit to which the weight of a class applies. The controller does not read it.
    #[serde(rename = "worth_by")]
    pub weight_by: WeightBy,
    /// Number of workers in the cluster when these settings were made; quotas are split evenly over them.
    #[serde(rename = "fleet_size")]
    pub cluster_size: u32,
    /// Number of callers when these settings were made; 0 if not known.
    pub callers: u32,
    /// Number of cores of this worker; at least 1.
    pub cores: u32,
    /// Memory of this worker, in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request as a multiple of that of a queued one.
    #[serde(rename = "run_factor")]
    pub running_memory_factor: f64,
    /// Memory of one remembered request, in kilobytes.
    #[serde(rename = "key_kb")]
    pub entry_kb: f64,
    /// The target of the outbound calls that the workers' runs make.
    #[serde(rename = "below")]
    pub downstream: Downstream,
    /// This worker's share of the concurrent calls that the dependency survives. Applies only to
    /// [`Downstream::Shared`]; 0 means no limit.
    #[serde(rename = "calls_out")]
    pub outbound_call_limit: f64,
    /// Time over which the number of outstanding calls is averaged for `outbound_call_limit`.
    pub call_window: Span,
    /// Longest time for which the dependency may still work on a call after the call was abandoned.
    #[serde(rename = "call_lingers")]
    pub abandoned_call_duration: Span,
    /// What happens to a run that is stopped.
    #[serde(rename = "halt")]
    pub preemption: Preemption,
    /// How callers interpret the announced capacity.
    #[serde(rename = "signal")]
    pub backpressure_signal: BackpressureSignal,
    /// Time for which a caller follows an announced capacity. The controller does not read it.
    #[serde(rename = "heeded")]
    pub signal_retention: Span,
    /// The longest Retry-After that callers follow; `None` if callers do not receive a Retry-After.
    #[serde(rename = "max_stay_away")]
    pub max_retry_after: Option<Span>,
    /// Time after which callers close idle connections.
    pub caller_idle: Span,
    /// Time for which the answer to a read may serve other requests; 0 if it may not serve any.
    #[serde(rename = "fresh_for")]
    pub cache_ttl: Span,
    /// Whether health checks do real work unless they are answered from `Action::Health` alone. The
    /// controller does not read it.
    #[serde(rename = "full_checks")]
    pub deep_health_checks: bool,
    /// Whether every caller's list of workers follows the health of the workers, with a short delay.
    #[serde(rename = "list_follows")]
    pub list_follows_health: bool,
    /// Whether the worker starts cold, that is, below its full speed.
    pub cold: bool,
    /// Longest time from a cold start until the worker reaches its full speed.
    #[serde(rename = "cold_for")]
    pub warmup_duration: Span,
    /// Least speed of a worker at a cold start, as a share of its full speed.
    #[serde(rename = "cold_share")]
    pub cold_speed_share: f64,
    /// Time over which the number of running requests is averaged when it is compared with what the worker
    /// survives. The controller does not read it.
    #[serde(rename = "crowd_window")]
    pub concurrency_window: Span,
    /// Number of concurrent runs per core that a warm worker survives.
    #[serde(rename = "crowd_multiple")]
    pub survivable_runs_per_core: f64,
    /// Time after the drain notice within which requests that arrive are still run.
    pub drain_grace: Span,
    /// Time after the deadline within which an answer still counts. The controller does not read it.
    pub answer_slack: Span,
    /// Shortest time between two batches of events; above 0.
    pub tick: Span,
}

impl Settings {
    /// Checks that a controller can work under these settings. The error names the first unusable setting.
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

/// A setting under which a controller cannot work.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// `cores` is 0, so that the worker could not run any request.
    #[error("setting cores: must be at least 1")]
    NoCores,
    /// `classes` is empty, although every request needs a class.
    #[error("setting classes: must not be empty")]
    NoClasses,
    /// `tick` is 0, although timers are set in whole ticks.
    #[error("setting tick: must be above 0")]
    ZeroTick,
    /// The latency objective or the deadline of a class is 0, so that no answer could be in time.
    #[error("setting classes.{class}: aim and deadline must be above 0")]
    ZeroClassTime {
        /// The class, as an index into [`Settings::classes`].
        class: usize,
    },
    /// A setting that must not be negative is below zero.
    #[error("setting {key}: must not be negative")]
    Negative {
        /// Name of the setting, as the source of the settings spells it.
        key: String,
    },
}
