//! What the controller has measured: Ne, L and Ti of the paper, service times by class, the slowdown of the
//! runs under way, and the gauges of the cores.
//!
//! Everything is a mean over recent samples, so that one odd sample changes little; times are in seconds.
//! Nothing here decides about a request.

use super::Controller;
use super::requests::Phase;
use crate::interface::{Class, Gauges};
use crate::time::{Span, Time};

/// Share of the mean latency objective that a run may spend on the cores: Lmax of formula (5). The rest is
/// for calls, the queue, the reading and the network.
const MAX_LATENCY_FRACTION: f64 = 0.15;
/// Lmax is also at most this multiple of the latency seen while no more requests run than there are cores:
/// past the point where more runs only slow each other down, latency would grow and the limit stay.
const MAX_CONTENTION: f64 = 1.2;
/// Control periods in a mean latency objective: the limit must react within the time that an answer may take.
const PERIODS_PER_OBJECTIVE: f64 = 8.0;
/// Weight of a new sample in a mean of service times or latencies: about ten samples make up the mean.
pub(super) const SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of an arrival in the mean latency objective: the mix of classes changes slowly.
const OBJECTIVE_WEIGHT: f64 = 0.02;
/// Weight of a control period in Ne, which must follow a change within a few periods.
const MEAN_RUNNING_WEIGHT: f64 = 0.5;
/// Weight of a control period in Ti, whose samples scatter more than those of Ne.
const ARRIVAL_RATE_WEIGHT: f64 = 0.3;
/// Without a completed run for this many mean runs while the cores are full, the worker is stalled.
const STALLED_AFTER_RUNS: f64 = 4.0;
/// Runs under way are this much older than half their service time suggests before they count as slow: the
/// mean age of runs picked at random depends on how their lengths scatter.
const AGE_ALLOWANCE: f64 = 1.5;
/// Least latency used in a division, in seconds.
const MIN_LATENCY_S: f64 = 1e-3;
/// Least expected age used in a division, in seconds.
const MIN_AGE_S: f64 = 1e-6;
/// The highest share of busy cores that is believed; gauges that count I/O may read a little over 1.
const MAX_BUSY_FRACTION: f64 = 1.5;
/// The highest count of runnable tasks that is believed.
const MAX_RUNNABLE: f64 = 1e6;

/// Moves a mean towards a sample.
pub(super) fn blend(mean: &mut f64, sample: f64, weight: f64) {
    *mean += weight * (sample - *mean);
}

/// The estimators' state.
#[derive(Clone, Debug)]
pub(super) struct Estimators {
    /// Length of a control period.
    pub(super) period: Span,
    pub(super) period_began: Time,
    /// The time up to which the integral reaches.
    pub(super) updated_at: Time,
    /// Time integral of running requests over this period, in request-seconds.
    pub(super) running_integral: f64,
    /// Requests that arrived in this period.
    pub(super) arrivals: f64,
    /// Ne: mean number of running requests.
    pub(super) mean_running: f64,
    /// Ti: arrivals a second.
    pub(super) arrival_rate: f64,
    /// L before slowdown: mean seconds on the cores of runs that completed.
    pub(super) latency_s: f64,
    /// The same for runs that completed while no more ran than there are cores.
    pub(super) uncontended_latency_s: f64,
    /// Mean latency objective of the arrivals, in seconds.
    pub(super) latency_objective_s: f64,
    /// By class; `None` before the first end.
    pub(super) service_times: Vec<Option<ServiceTime>>,
    /// How many times slower than their service times the runs under way seem to be; 1 or more.
    pub(super) slowdown: f64,
    /// The last completed run, or when work began on empty cores.
    pub(super) last_completion: Time,
    pub(super) cores: CoreGauges,
}

/// Mean length and mean size of a class's runs; a ratio of means, for a single hint may be far too small.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTime {
    /// Seconds on the cores.
    pub(super) run_s: f64,
    /// Size in hinted seconds of work, or in units of one where nothing is hinted.
    pub(super) size: f64,
}

/// The latest gauges of the cores.
#[derive(Clone, Debug, Default)]
pub(super) struct CoreGauges {
    /// Share of the cores that was busy of late.
    pub(super) busy: f64,
    /// Tasks that want a core.
    pub(super) runnable: f64,
    /// Cores with nothing to do, less the runs started since.
    pub(super) idle: usize,
}

impl CoreGauges {
    /// A gauge that is absent or reads nonsense gives way to the count of running requests.
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
    /// Before anything is measured, latencies are taken to be what the objectives of the classes allow.
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

    /// The first step is taken now.
    pub(super) fn start(&mut self, now: Time) {
        self.updated_at = now;
        self.period_began = now;
        self.last_completion = now;
    }

    /// Class `i` goes on with the service time of class `previous_classes[i]`.
    pub(super) fn reindex_classes(&mut self, previous_classes: &[Option<usize>]) {
        let learnt = |previous: &Option<usize>| self.service_times.get((*previous)?).copied().flatten();
        self.service_times = previous_classes.iter().map(learnt).collect();
    }

    /// Carries the integral of running requests on to now; returns the seconds since the last time.
    pub(super) fn advance(&mut self, now: Time, running: usize) -> f64 {
        let elapsed_s = (now - self.updated_at).secs();
        self.updated_at = now;
        self.running_integral += running as f64 * elapsed_s;
        elapsed_s
    }

    /// A request arrived that has this long from its arrival to its objective.
    pub(super) fn note_arrival(&mut self, latency_objective: Span) {
        blend(&mut self.latency_objective_s, latency_objective.secs(), OBJECTIVE_WEIGHT);
    }

    /// Ends a control period of this many seconds: resets Ne and Ti.
    pub(super) fn close_period(&mut self, now: Time, elapsed_s: f64) {
        blend(&mut self.mean_running, self.running_integral / elapsed_s, MEAN_RUNNING_WEIGHT);
        blend(&mut self.arrival_rate, self.arrivals / elapsed_s, ARRIVAL_RATE_WEIGHT);
        self.running_integral = 0.0;
        self.arrivals = 0.0;
        self.period_began = now;
    }

    /// Expected seconds on the cores, at the present concurrency and speed.
    pub(super) fn expected_run_s(&self, class: usize, size: f64) -> f64 {
        let at_usual_speed = match self.service_times.get(class).copied().flatten() {
            // Hints are rough: half of what they say is believed.
            Some(mean) => mean.run_s * (1.0 + size / mean.size) / 2.0,
            None => self.latency_s,
        };
        at_usual_speed * self.slowdown
    }

    /// Lmax of formula (5), in seconds.
    pub(super) fn max_latency_s(&self) -> f64 {
        (self.latency_objective_s * MAX_LATENCY_FRACTION).min(self.uncontended_latency_s * MAX_CONTENTION)
    }

    /// L of formula (5), in seconds. Only completed runs shorten it; the ages of runs under way can lengthen
    /// it, so that a hang or slowdown, in which few runs complete, shows at once.
    pub(super) fn effective_latency_s(&self) -> f64 {
        (self.latency_s * self.slowdown).max(MIN_LATENCY_S)
    }

    /// A run completed. `is_uncontended`: no more ran than there are cores.
    pub(super) fn note_completed_run(&mut self, class: usize, size: f64, run_s: f64, is_uncontended: bool) {
        self.note_run(class, size, run_s);
        self.last_completion = self.updated_at;
        if is_uncontended {
            blend(&mut self.uncontended_latency_s, run_s, SAMPLE_WEIGHT);
        }
    }

    /// A run was stopped before its end: that may only lengthen what is expected, or slow cores would look
    /// quick for want of completed runs.
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
    /// Compares the ages of the runs under way with the service times of their classes.
    ///
    /// Guard for hangs, slowdowns and stolen cores, in which no run completes to tell of them. Its cost: a
    /// few unusually large requests look like a slowdown for as long as they run.
    pub(super) fn update_slowdown(&mut self) {
        // As many ordinary runs as half the cores are mixed in, or one large request would look like trouble.
        let ordinary_s = f64::from(self.settings.cores) / 2.0 * self.estimators.latency_s;
        let mut age_s = 0.0;
        let mut expected_s = 0.0;
        for entry in self.requests.entries.values().filter(|entry| entry.phase == Phase::Running) {
            age_s += entry.run_s(self.now);
            expected_s += self.estimators.expected_run_s(entry.class, entry.size);
        }
        expected_s /= self.estimators.slowdown;
        let expected_with_ordinary_s = (expected_s + ordinary_s).max(MIN_AGE_S);
        self.estimators.slowdown = ((age_s + ordinary_s) / expected_with_ordinary_s / AGE_ALLOWANCE).max(1.0);
    }

    /// Whether no run completes though the cores are full: what arrives now would wait for nothing.
    pub(super) fn is_stalled(&self) -> bool {
        let without_completion_s = (self.now - self.estimators.last_completion).secs();
        self.requests.running >= self.settings.cores as usize
            && without_completion_s > STALLED_AFTER_RUNS * self.estimators.latency_s
    }
}
