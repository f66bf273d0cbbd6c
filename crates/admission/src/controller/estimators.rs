//! Estimators: Ne, L and Ti of formula (5), service times by class, the slowdown of the current runs, and the
//! gauges of the cores.
//!
//! The averages are moving averages of recent samples, so that one outlier changes little; times are in
//! seconds. This module makes no decision on a request.

use super::Controller;
use super::requests::Phase;
use crate::interface::{Class, Gauges};
use crate::time::{Span, Time};

/// Lmax of formula (5) as a share of the mean latency objective: the time that a run may spend on the cores.
/// The rest is for outbound calls, the queue, reading and the network.
const MAX_LATENCY_FRACTION: f64 = 0.15;
/// Upper bound of Lmax as a multiple of the latency measured while no more requests run than there are cores.
/// Without this bound, the limit would not fall when more runs only slow each other down and latency grows.
const MAX_CONTENTION: f64 = 1.2;
/// Number of control periods in a mean latency objective: the limit must react within the time that an answer
/// may take.
const PERIODS_PER_OBJECTIVE: f64 = 8.0;
/// Weight of a new sample in a mean of service times or latencies: the mean covers about ten samples.
pub(super) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of an arrival in the mean latency objective: the mix of classes changes slowly.
const OBJECTIVE_WEIGHT: f64 = 0.02;
/// Weight of a control period in Ne, which must follow a change within a few periods.
const MEAN_RUNNING_WEIGHT: f64 = 0.5;
/// Weight of a control period in Ti, whose samples vary more than those of Ne.
const ARRIVAL_RATE_WEIGHT: f64 = 0.3;
/// The worker counts as stalled if no run completes for this many mean run times while the cores are full.
const STALLED_AFTER_RUNS: f64 = 4.0;
/// Factor by which the age of the current runs must exceed their service time before they count as slow: the
/// mean age of runs picked at random depends on how much their lengths vary.
const AGE_ALLOWANCE: f64 = 1.5;
/// Least latency that is used as a divisor, in seconds.
const MIN_LATENCY_S: f64 = 1e-3;
/// Least expected age that is used as a divisor, in seconds.
const MIN_AGE_S: f64 = 1e-6;
/// Largest share of busy cores that is accepted as valid; gauges that count I/O may read a little over 1.
const MAX_BUSY_FRACTION: f64 = 1.5;
/// Largest number of runnable tasks that is accepted as valid.
const MAX_RUNNABLE: f64 = 1e6;

/// Updates a moving average with a sample; `weight` is that of the sample, from 0 to 1.
pub(super) fn blend(mean: &mut f64, sample: f64, weight: f64) {
    *mean += weight * (sample - *mean);
}

/// State of the estimators.
#[derive(Clone, Debug)]
pub(super) struct Estimators {
    /// Length of a control period.
    pub(super) period: Span,
    pub(super) period_began: Time,
    /// Time up to which `running_integral` is computed.
    pub(super) updated_at: Time,
    /// Time integral of the number of running requests over this control period, in request-seconds.
    pub(super) running_integral: f64,
    /// Number of requests that arrived in this control period.
    pub(super) arrivals: f64,
    /// Ne: mean number of running requests.
    pub(super) mean_running: f64,
    /// Ti: mean number of arrivals per second.
    pub(super) arrival_rate: f64,
    /// L before the slowdown is applied: mean time on the cores of completed runs, in seconds.
    pub(super) latency_s: f64,
    /// Mean time on the cores of runs that completed while no more ran than there are cores, in seconds.
    pub(super) uncontended_latency_s: f64,
    /// Mean latency objective of the arrivals, in seconds.
    pub(super) latency_objective_s: f64,
    /// Service time of each class; `None` until a run of the class has ended.
    pub(super) service_times: Vec<Option<ServiceTime>>,
    /// Factor by which the current runs seem slower than their service times; 1 or more.
    pub(super) slowdown: f64,
    /// Time at which a run last completed, or at which a run last started while no other was on the cores, if
    /// that is later.
    pub(super) last_completion: Time,
    pub(super) cores: CoreGauges,
}

/// Mean run time and mean size of a class's runs. Sizes are compared with the mean size, because a single
/// work hint may be far too small.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTime {
    /// Mean time on the cores, in seconds.
    pub(super) run_s: f64,
    /// Mean size: seconds of work by the work hints, or 1 for a run without a hint.
    pub(super) size: f64,
}

/// Latest gauges of the cores.
#[derive(Clone, Debug, Default)]
pub(super) struct CoreGauges {
    /// Share of the cores that were busy recently.
    pub(super) busy: f64,
    /// Number of tasks that run on a core or wait for one.
    pub(super) runnable: f64,
    /// Number of idle cores at the latest reading, less the runs started since.
    pub(super) idle: usize,
}

impl CoreGauges {
    /// Updates the gauges. A gauge that is absent or not plausible is replaced by an estimate from the number
    /// of running requests, `running`.
    pub(super) fn update(&mut self, gauges: &Gauges, running: usize, cores: u32) {
        let cores = f64::from(cores);
        let counted_busy = (running as f64 / cores).min(1.0);
        self.busy = plausible(gauges.cpu_busy, MAX_BUSY_FRACTION).unwrap_or(counted_busy);
        self.runnable = plausible(gauges.runnable, MAX_RUNNABLE).unwrap_or(running as f64);
        self.idle = (cores - self.runnable).max(0.0) as usize;
    }
}

fn plausible(gauge: Option<f64>, max: f64) -> Option<f64> {
    gauge.filter(|value| (0.0..=max).contains(value))
}

impl Estimators {
    /// Creates the estimators. Before the first measurement, latencies are assumed to be what the objectives
    /// of the classes allow.
    pub(super) fn new(classes: &[Class]) -> Self {
        let latency_objective_s =
            classes.iter().map(|class| class.latency_objective.secs()).sum::<f64>() / classes.len() as f64;
        Estimators {
            period: Span::from_secs(latency_objective_s / PERIODS_PER_OBJECTIVE),
            period_began: Time::default(),
            updated_at: Time::default(),
            running_integral: 0.0,
            arrivals: 0.0,
            mean_running: 0.0,
            arrival_rate: 0.0,
            latency_s: latency_objective_s * MAX_LATENCY_FRACTION,
            uncontended_latency_s: latency_objective_s * MAX_LATENCY_FRACTION,
            latency_objective_s,
            service_times: vec![None; classes.len()],
            slowdown: 1.0,
            last_completion: Time::default(),
            cores: CoreGauges::default(),
        }
    }

    /// Starts all measurements at `now`, the time of the first step.
    pub(super) fn start(&mut self, now: Time) {
        self.updated_at = now;
        self.period_began = now;
        self.last_completion = now;
    }

    /// Assigns the service times anew after a change of the classes: class `i` inherits that of
    /// `previous_classes[i]`.
    pub(super) fn reindex_classes(&mut self, previous_classes: &[Option<usize>]) {
        let inherited = |previous: &Option<usize>| self.service_times.get((*previous)?).copied().flatten();
        self.service_times = previous_classes.iter().map(inherited).collect();
    }

    /// Extends the integral of running requests to `now`; returns the seconds since the last call.
    pub(super) fn advance(&mut self, now: Time, running: usize) -> f64 {
        let elapsed_s = (now - self.updated_at).secs();
        self.updated_at = now;
        self.running_integral += running as f64 * elapsed_s;
        elapsed_s
    }

    /// Includes the latency objective of a request that arrives, measured from its arrival, in the mean
    /// latency objective.
    pub(super) fn note_arrival(&mut self, latency_objective: Span) {
        blend(&mut self.latency_objective_s, latency_objective.secs(), OBJECTIVE_WEIGHT);
    }

    /// Ends a control period of `elapsed_s` seconds: updates the mean number of running requests (Ne) and the
    /// mean arrival rate (Ti).
    pub(super) fn close_period(&mut self, now: Time, elapsed_s: f64) {
        blend(&mut self.mean_running, self.running_integral / elapsed_s, MEAN_RUNNING_WEIGHT);
        blend(&mut self.arrival_rate, self.arrivals / elapsed_s, ARRIVAL_RATE_WEIGHT);
        self.running_integral = 0.0;
        self.arrivals = 0.0;
        self.period_began = now;
    }

    /// Expected time of a run on the cores, in seconds, at the present concurrency and speed.
    pub(super) fn expected_run_s(&self, class: usize, size: f64) -> f64 {
        let without_slowdown_s = match self.service_times.get(class).copied().flatten() {
            // Work hints are rough, so that they determine only half of the expected time.
            Some(mean) => mean.run_s * (1.0 + size / mean.size) / 2.0,
            None => self.latency_s,
        };
        without_slowdown_s * self.slowdown
    }

    /// Lmax of formula (5), in seconds.
    pub(super) fn max_latency_s(&self) -> f64 {
        (self.latency_objective_s * MAX_LATENCY_FRACTION).min(self.uncontended_latency_s * MAX_CONTENTION)
    }

    /// L of formula (5), in seconds. Only completed runs shorten it. The ages of the current runs can
    /// lengthen it, so that a hang or a slowdown, in which few runs complete, is detected at once.
    pub(super) fn effective_latency_s(&self) -> f64 {
        (self.latency_s * self.slowdown).max(MIN_LATENCY_S)
    }

    /// Records a completed run. `is_uncontended`: no more requests ran than there are cores.
    pub(super) fn note_completed_run(&mut self, class: usize, size: f64, run_s: f64, is_uncontended: bool) {
        self.note_run(class, size, run_s);
        self.last_completion = self.updated_at;
        if is_uncontended {
            blend(&mut self.uncontended_latency_s, run_s, SAMPLE_WEIGHT);
        }
    }

    /// Records a run that was stopped before its end. Such a run may only lengthen the expected run time:
    /// otherwise slow cores, on which few runs complete, would seem fast.
    pub(super) fn note_stopped_run(&mut self, class: usize, size: f64, run_s: f64) {
        if run_s <= self.expected_run_s(class, size) {
            return;
        }
        self.note_run(class, size, run_s);
    }

    fn note_run(&mut self, class: usize, size: f64, run_s: f64) {
        match &mut self.service_times[class] {
            Some(mean) => {
                blend(&mut mean.run_s, run_s, SAMPLE_WEIGHT);
                blend(&mut mean.size, size, SAMPLE_WEIGHT);
            }
            unknown => *unknown = Some(ServiceTime { run_s, size }),
        }
        blend(&mut self.latency_s, run_s, SAMPLE_WEIGHT);
    }
}

impl Controller {
    /// Updates the slowdown: compares the ages of the current runs with the service times of their classes.
    ///
    /// Detects hangs, slowdowns and stolen cores even if no run completes that would show them. Drawback: a
    /// few unusually large requests look like a slowdown for as long as they run.
    pub(super) fn update_slowdown(&mut self) {
        // Adds to both sums the time of typical runs, half as many as there are cores; otherwise one large
        // request would look like a slowdown.
        let typical_s = f64::from(self.settings.cores) / 2.0 * self.estimators.latency_s;
        let mut age_s = 0.0;
        let mut expected_s = 0.0;
        for entry in self.requests.entries.values().filter(|entry| entry.phase == Phase::Running) {
            age_s += entry.run_s(self.now);
            expected_s += self.estimators.expected_run_s(entry.class, entry.size);
        }
        expected_s /= self.estimators.slowdown;
        let expected_with_typical_s = (expected_s + typical_s).max(MIN_AGE_S);
        self.estimators.slowdown = ((age_s + typical_s) / expected_with_typical_s / AGE_ALLOWANCE).max(1.0);
    }

    /// Whether no run has completed for `STALLED_AFTER_RUNS` mean run times although all cores are in use. A
    /// request that arrives in this state cannot be expected to start.
    pub(super) fn is_stalled(&self) -> bool {
        let without_completion_s = (self.now - self.estimators.last_completion).secs();
        self.requests.running >= self.settings.cores as usize
            && without_completion_s > STALLED_AFTER_RUNS * self.estimators.latency_s
    }
}
