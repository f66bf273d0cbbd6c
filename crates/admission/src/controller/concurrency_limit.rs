//! The concurrency limit (MPL): how many requests may run at once, by formula (5), the latency law.
//!
//! The limit is recomputed each control period from Ne (mean number of running requests), L (their latency)
//! and Ti (arrival rate), so that the latency on the cores tends to Lmax. It is at least the number of cores,
//! and at most a share of the concurrent runs that the worker survives.

use super::Controller;

/// γ' of formula (5) in units of Ti / Lmax, so that its effect is the same at every arrival rate and
/// objective.
const GAMMA: f64 = 0.25;
/// Least factor by which the limit changes in a control period: one outlier period must not leave the cores
/// idle.
const MAX_DECREASE: f64 = 0.85;
/// Largest factor by which the limit changes in a control period: the latency shows the effect of a rise only
/// a period later.
const MAX_INCREASE: f64 = 1.15;
/// Factor by which the limit rises in a control period in which cores are idle while requests are queued:
/// more runs then do not increase the latency.
const IDLE_INCREASE: f64 = 1.3;
/// Least Ti − Ne/L, as a share of Ti, at which formula (5) is used. With a smaller one, noise would determine
/// the quotient; the limit then stays or rises.
const MIN_EXCESS_FRACTION: f64 = 0.03;
/// Least value that is used as the divisor of formula (5); with a divisor of zero or below, the formula has
/// no solution.
const MIN_DIVISOR: f64 = 0.05;
/// Share of the limit that must be in use before the limit rises without formula (5): an unused limit gives
/// no information.
const MIN_USED_FRACTION: f64 = 0.9;
/// Largest limit, as a share of the concurrent runs that the worker survives: well before it collapses, a
/// worker with many concurrent runs completes less work than with fewer.
const SURVIVABLE_FRACTION: f64 = 0.4;

/// Inputs of formula (5).
struct FormulaInputs {
    /// Ne: mean number of running requests over the last control periods.
    mean_running: f64,
    /// L: latency on the cores, in seconds.
    latency_s: f64,
    /// Lmax: the latency that the formula aims at, in seconds.
    max_latency_s: f64,
    /// Ti: arrivals per second.
    arrival_rate: f64,
}

/// Computes the next limit by formula (5), MPL = Ne / (1 + γ' (L - Lmax) / (Ti - Ne/L)), with a bounded
/// change: at most by the factors `MAX_DECREASE` and `MAX_INCREASE`.
fn next_limit(limit: f64, inputs: &FormulaInputs) -> f64 {
    let FormulaInputs { mean_running, latency_s, max_latency_s, arrival_rate } = *inputs;
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
    /// Recomputes the limit at the end of a control period.
    pub(super) fn reset_concurrency_limit(&mut self) {
        let inputs = FormulaInputs {
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

    /// Upper bound of the number of concurrent runs: `SURVIVABLE_FRACTION` of the number that the worker
    /// survives. A worker survives fewer while it may still be cold.
    pub(super) fn survivable_concurrency(&self) -> f64 {
        let per_core =
            1.0 + (self.settings.survivable_runs_per_core - 1.0).max(0.0) * self.assured_speed_share();
        SURVIVABLE_FRACTION * per_core * f64::from(self.settings.cores)
    }

    /// Least speed that a worker has reached by now, as a share of its full speed; 1 for a worker that did
    /// not start cold.
    fn assured_speed_share(&self) -> f64 {
        match self.started_at {
            Some(started_at) if self.settings.cold && self.settings.warmup_duration.0 > 0 => {
                let elapsed_s = (self.now - started_at).secs();
                let warmup_progress = (elapsed_s / self.settings.warmup_duration.secs()).min(1.0);
                self.settings.cold_speed_share + (1.0 - self.settings.cold_speed_share) * warmup_progress
            }
            _ => 1.0,
        }
    }
}
