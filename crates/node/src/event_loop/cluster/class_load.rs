//! The current load of each class, computed from counts of answered requests at two points in time.

use super::super::{Node, System};
use crate::request_metrics::RequestMetrics;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::validation::ClassLoad;
use std::collections::BTreeMap;

/// Time between two samples. The interval is long enough that a short burst of requests does not decide
/// whether a proposal is accepted, and short compared with the time that an operator takes to make one.
const SAMPLE_INTERVAL: Micros = Micros::millis(10_000);
/// Shortest time, in seconds, over which a rate is computed. Over a shorter time a single request would count
/// as a high rate.
const MIN_RATE_SECONDS: f64 = 1.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// Number of requests answered since the start of the node, by class name, at one point in time.
#[derive(Debug)]
struct Sample {
    at: Timestamp,
    counts: BTreeMap<String, u64>,
}

/// The last two samples of the load. A sample that was not taken yet is none.
#[derive(Debug, Default)]
pub(in super::super) struct LoadSamples {
    previous: Option<Sample>,
    last: Option<Sample>,
}

impl LoadSamples {
    /// Takes a sample if one is due.
    fn sample(&mut self, now: Timestamp, counts: impl FnOnce() -> BTreeMap<String, u64>) {
        if self.last.as_ref().is_none_or(|last| now.since(last.at) >= SAMPLE_INTERVAL) {
            self.previous = self.last.replace(Sample { at: now, counts: counts() });
        }
    }

    /// Requests per second of each class since the older of the kept samples; empty if no sample was taken.
    fn load(&self, now: Timestamp, counts: &BTreeMap<String, u64>) -> Vec<ClassLoad> {
        let Some(sample) = self.previous.as_ref().or(self.last.as_ref()) else { return Vec::new() };
        let seconds = (now.since(sample.at).0 as f64 / MICROS_PER_SECOND).max(MIN_RATE_SECONDS);
        let load = |(name, count): (&String, &u64)| {
            let answered = count.saturating_sub(sample.counts.get(name).copied().unwrap_or(0));
            ClassLoad { name: name.clone(), rate: answered as f64 / seconds }
        };
        counts.iter().map(load).collect()
    }
}

/// Number of requests of each class that have been answered, with any outcome.
fn answered(metrics: &RequestMetrics, classes: &[String]) -> BTreeMap<String, u64> {
    let count = |name: &String| {
        let ends = metrics.replies(name);
        (name.clone(), ends.success + ends.overload + ends.error)
    };
    classes.iter().map(count).collect()
}

impl<S: System> Node<S> {
    /// Takes a sample of the load if one is due.
    pub(super) fn sample_load(&mut self, now: Timestamp) {
        let metrics = &self.request_metrics;
        let classes = &self.config.classes;
        self.load_samples.sample(now, || answered(metrics, classes));
    }

    /// The current load of each class, in answered requests per second.
    pub(super) fn class_load(&self, now: Timestamp) -> Vec<ClassLoad> {
        self.load_samples.load(now, &answered(&self.request_metrics, &self.config.classes))
    }
}
