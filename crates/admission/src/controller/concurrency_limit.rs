//! The concurrency limit (MPL): how many requests may run at once. Formula (5) of the paper, the law.
//!
//! Reset each control period from Ne (mean running requests), L (their latency) and Ti (arrival rate) such
//! that the latency on the cores tends to Lmax. Guarantees that the limit is at least the number of cores and
//! at most a share of what the worker survives.

use super::Controller;

/// γ' of formula (5) in units of Ti / Lmax, so that it means the same at every rate and objective.
const GAMMA: f64 = 0.25;
/// The limit falls at most to this factor of itself in a period: one odd period must not empty the cores.
const MAX_DECREASE: f64 = 0.85;
/// The limit rises at most to this factor of itself in a period: latency tells of a rise only a period later.
const MAX_INCREASE: f64 = 1.15;
/// The factor a period while cores idle beside queued work: then more runs cost no latency.
const IDLE_INCREASE: f64 = 1.3;
/// Least Ti − Ne/L, as a share of Ti, at which formula (5) is used; below it noise would decide the quotient,
/// and the limit holds or rises.
const MIN_EXCESS_FRACTION: f64 = 0.03;
/// Least divisor of formula (5) that is used; at and below zero the formula has no answer.
const MIN_DIVISOR: f64 = 0.05;
/// Share of the limit that must be in use before it rises without formula (5): an unused limit says nothing.
const MIN_USED_FRACTION: f64 = 0.9;
/// Highest limit as a share of the runs at once that the worker survives: well before it collapses, a worker
/// with many runs at once gets less done than with fewer.
const SURVIVABLE_FRACTION: f64 = 0.4;

/// What formula (5) reads, in the paper's terms.
struct LawInputs {
    /// Ne: mean running requests over the last periods.
    mean_running: f64,
    /// L, in seconds.
    latency_s: f64,
    /// Lmax, in seconds.
    max_latency_s: f64,
    /// Ti, a second.
    arrival_rate: f64,
}

/// Formula (5): the next limit from this one, MPL = Ne / (1 + γ' (L - Lmax) / (Ti - Ne/L)), by at most a
/// step.
fn next_limit(limit: f64, inputs: &LawInputs) -> f64 {
    let LawInputs { mean_running, latency_s, max_latency_s, arrival_rate } = *inputs;
    let excess_rate = arrival_rate - mean_running / latency_s;
    let mut next = limit;
    if excess_rate > MIN_EXCESS_FRACTION * arrival_rate && arrival_rate > 0.0 {
        let divisor = 1.0 + GAMMA * arrival_rate / max_latency_s * (latency_s - max_latency_s) / excess_rate;
        if divisor > MIN_DIVISOR {
            next = mean_running / divisor;
        } else if latency_s < max_latency_s {
            next = limit * MAX_INCREASE;
        }
    } else if latency_s < max_latency_s && mean_running > MIN_USED_FRACTION * limit {
        next = limit * MAX_INCREASE;
    }
    next.clamp(limit * MAX_DECREASE, limit * MAX_INCREASE)
}

impl Controller {
    /// Resets the limit at the end of a control period.
    pub(super) fn reset_concurrency_limit(&mut self) {
        let inputs = LawInputs {
            mean_running: self.estimators.mean_running,
            latency_s: self.estimators.effective_latency_s(),
            max_latency_s: self.estimators.max_latency_s(),
            arrival_rate: self.estimators.arrival_rate,
        };
        let cores = f64::from(self.settings.cores);
        let have_cores_idled = self.estimators.cores.runnable < cores;
        let next = if have_cores_idled && !self.queue.order.is_empty() {
            self.concurrency_limit * IDLE_INCREASE
        } else {
            next_limit(self.concurrency_limit, &inputs)
        };
        self.concurrency_limit = next.clamp(cores, self.survivable_concurrency().max(cores));
    }

    /// The concurrency survival limit: a share of the runs at once that the worker survives, less while it
    /// may be cold.
    pub(super) fn survivable_concurrency(&self) -> f64 {
        let per_core = 1.0 + (self.settings.survivable_runs_per_core - 1.0).max(0.0) * self.warmth();
        SURVIVABLE_FRACTION * per_core * f64::from(self.settings.cores)
    }

    /// The share of its full speed that a worker which started cold is sure to have by now.
    fn warmth(&self) -> f64 {
        match self.started_at {
            Some(started_at) if self.settings.cold && self.settings.warmup_duration.0 > 0 => {
                let elapsed_s = (self.now - started_at).secs();
                let warmed = (elapsed_s / self.settings.warmup_duration.secs()).min(1.0);
                self.settings.cold_speed_share + (1.0 - self.settings.cold_speed_share) * warmed
            }
            _ => 1.0,
        }
    }
}
