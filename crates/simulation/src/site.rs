//! Settings of invented sites, drawn from a seed: the fields that requests carry, the features that are
//! allowed, and the classes. They vary because no rule of the node may depend on the settings of one site.

use crate::random::SimRng;
use gaugestand_admission::time::Micros;
use serde_json::{Value, json};
use std::fmt;

/// Number of cores of every node's kernel.
pub const CORES: f64 = 4.0;
/// Share of the cores' time that requests need outside bursts.
const UTILIZATION: f64 = 0.55;
/// Bounds of the arrival rate, in requests per second: a lower rate does not exercise the node, and a higher
/// one only takes longer to simulate.
const MIN_RATE: f64 = 1.5;
const MAX_RATE: f64 = 60.0;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name of the class, unique within its site.
    pub name: String,
    /// Whether requests of the class carry an idempotency key, and so run at most once within the
    /// deduplication window.
    pub keyed: bool,
    /// Share of this class in the requests of the site, relative to the sum over all classes.
    pub share: f64,
    /// Mean CPU time of a run on one core.
    pub work: Micros,
    /// Time from ingress within which an answer earns the full priority weight.
    pub latency_objective: Micros,
    /// Time from ingress after which no client waits for an answer any more.
    pub deadline: Micros,
    /// Whether runs of the class make an outbound call.
    pub calls: bool,
    /// Share of the priority weight that an answer earns if its run skipped the outbound call, from 0 to 1; 0
    /// if runs may not skip it.
    pub skipped_call_weight: f64,
    /// Share of the priority weight that an answer earns after the latency objective, from 0 to 1.
    pub late_weight: f64,
    /// Priority weight of a request, from 1 to 5.
    pub priority_weight: f64,
}

/// The settings of a site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Classes of requests, one to eight.
    pub classes: Vec<RequestClass>,
    /// Whether requests state how long their caller waits.
    pub sends_timeout: bool,
    /// Whether gateways mark retries as such.
    pub marks_retries: bool,
    /// Whether requests carry a hint of the CPU time that their run needs.
    pub sends_work_hints: bool,
    /// Whether requests of classes without a key state the resource that they read.
    pub sends_resource_keys: bool,
    /// Whether there is a downstream tier.
    pub has_downstream: bool,
    /// Whether rejections may carry a retry-after.
    pub accepts_retry_after: bool,
    /// Setting `halt` of the node: what the preemption of a run does: `discard`, `freeze`, or `silent` if
    /// runs cannot be preempted.
    pub preemption: &'static str,
    /// Setting `signal` of the node: how the announced capacity is meant: `allowance`, `floor`, `weight` or
    /// `silent`.
    pub backpressure_signal: &'static str,
    /// Deduplication window of keyed requests, from 5 s to 13 s.
    pub window: Micros,
    /// Grace period after SIGTERM within which arrivals still run, from 0.3 s to 2.5 s.
    pub grace: Micros,
    /// Arrival rate outside bursts, in requests per second.
    pub rate: f64,
}

impl Site {
    /// Draws the site of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = SimRng::new(seed, 4);
        let pick = |rng: &mut SimRng, words: &[&'static str]| words[rng.below(words.len() as u64) as usize];
        let has_downstream = rng.chance(0.8);
        // The square favours small numbers: many sites have few classes. Some sites have no keyed class.
        let n = 1 + (rng.unit().powi(2) * 8.0) as usize;
        let keyed_probability = [0.0, 0.4, 0.4, 1.0][rng.below(4) as usize];
        // Some sites have one class whose runs take so long that its connections carry no bytes meanwhile.
        let slow_class = rng.chance(0.3).then(|| rng.below(n as u64) as usize);
        let classes: Vec<RequestClass> = (0..n)
            .map(|i| {
                let deadline =
                    if slow_class == Some(i) { 17_000 } else { [2_000, 4_000, 9_000][rng.below(3) as usize] };
                let latency_objective = deadline * (3 + rng.below(5)) / 10;
                let work = if slow_class == Some(i) {
                    5_000 + rng.below(4_000)
                } else {
                    10 + rng.below(deadline / 40)
                };
                let skips = rng.chance(0.5);
                RequestClass {
                    name: format!("kind-{i}"),
                    keyed: rng.chance(keyed_probability),
                    share: 0.2 + rng.unit(),
                    work: Micros::millis(work),
                    latency_objective: Micros::millis(latency_objective),
                    deadline: Micros::millis(deadline),
                    calls: has_downstream && rng.chance(0.7),
                    skipped_call_weight: if skips { 0.3 } else { 0.0 },
                    late_weight: if rng.chance(0.5) { 0.2 } else { 0.0 },
                    priority_weight: 1.0 + rng.below(5) as f64,
                }
            })
            .collect();
        let shares: f64 = classes.iter().map(|class| class.share).sum();
        let work: f64 = classes.iter().map(|class| class.share / shares * class.work.0 as f64 / 1e6).sum();
        Site {
            classes,
            sends_timeout: rng.chance(0.5),
            marks_retries: rng.chance(0.5),
            sends_work_hints: rng.chance(0.5),
            sends_resource_keys: rng.chance(0.5),
            has_downstream,
            accepts_retry_after: rng.chance(0.8),
            preemption: pick(&mut rng, &["discard", "discard", "freeze", "silent"]),
            backpressure_signal: pick(&mut rng, &["allowance", "allowance", "floor", "weight", "silent"]),
            window: Micros::millis(5_000 + rng.below(8_000)),
            grace: Micros::millis(300 + rng.below(2_200)),
            rate: (CORES * UTILIZATION / work).clamp(MIN_RATE, MAX_RATE),
        }
    }

    /// Draws the class of the next request, as an index into `classes`, by the shares of the classes.
    pub fn draw_class(&self, rng: &mut SimRng) -> usize {
        let mut rest = rng.unit() * self.classes.iter().map(|class| class.share).sum::<f64>();
        let found = self.classes.iter().position(|class| {
            rest -= class.share;
            rest < 0.0
        });
        found.unwrap_or(0)
    }

    /// Longest deadline of all classes.
    pub fn max_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Settings in the JSON form of a node's configuration. `callers` is the number of gateways; times are in
    /// nanoseconds.
    pub fn settings(&self, callers: u64) -> Value {
        let ns = |time: Micros| time.0 * 1000;
        let classes: Vec<Value> = self
            .classes
            .iter()
            .map(|class| {
                json!({"name": class.name, "effect": if class.keyed { "token" } else { "pure" },
                    "goal-time": ns(class.latency_objective), "hard-limit": ns(class.deadline),
                    "dedup-window": ns(self.window), "worth": class.priority_weight,
                    "late-worth": class.late_weight})
            })
            .collect();
        let of = |f: fn(&RequestClass) -> Value| self.classes.iter().map(f).collect::<Vec<_>>();
        json!({"classes": classes, "fleet-size": 1, "worth-by": "work", "over-share-worth": 0.1, "realms": [],
            "tick": 2_000_000, "clients": {"marks-retry": self.marks_retries},
            "caps": {"retry-after": self.accepts_retry_after, "max-retry-after": 1_000_000_000u64},
            "extra": {"below": if self.has_downstream { "tier" } else { "silent" }, "callers": callers,
                "calls-out": 0.0, "class-calls": of(|class| json!(class.calls)),
                "class-skip-worth": of(|class| json!(class.skipped_call_weight)),
                "cold": false, "cores": CORES, "dep-window": 5_000_000_000u64, "fresh-for": 0,
                "full-checks": true, "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
                "halt": self.preemption, "heeded": 1_000_000_000, "heap-kb": 70000.0, "key-kb": 10.0,
                "list-follows": true, "run-factor": 8.0, "signal": self.backpressure_signal,
                "stays-for": 200_000_000, "caller-idle": 30_000_000_000u64,
                "passes-deadline": self.sends_timeout},
            "rules": {"grace-to-answer": 80_000_000, "cold-share": 0.3, "cold": 18_000_000_000u64,
                "drain-grace": ns(self.grace), "fall": 2_000_000_000, "fall-multiple": 5.0}})
    }
}

impl fmt::Display for Site {
    /// Writes the characteristics of the site on one line, as gaugestand-sim prints them.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keyed = self.classes.iter().filter(|class| class.keyed).count();
        let skips =
            self.classes.iter().filter(|class| class.calls && class.skipped_call_weight > 0.0).count();
        let features = [
            (self.sends_timeout, "patience"),
            (self.marks_retries, "marks"),
            (self.sends_work_hints, "hints"),
            (self.sends_resource_keys, "rows"),
            (self.has_downstream, "a tier below"),
            (self.accepts_retry_after, "advice"),
        ];
        let features: Vec<&str> = features.into_iter().filter(|t| t.0).map(|t| t.1).collect();
        let (n, max_deadline) = (self.classes.len(), self.max_deadline().0 / 1000);
        write!(f, "{n} classes, {keyed} keyed, {skips} may skip calls, deadlines to {max_deadline} ms, ")?;
        write!(
            f,
            "halt {}, signal {}, {:.0} requests/s; {}",
            self.preemption,
            self.backpressure_signal,
            self.rate,
            features.join(", ")
        )
    }
}
