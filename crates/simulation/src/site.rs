//! Settings of sites that no operator has, drawn from a seed: which fields requests carry, what is allowed, which classes
//! there are. No rule of the node may depend on the form of one site.

use crate::random::SimRng;
use gaugestand_admission::time::Micros;
use serde_json::{Value, json};
use std::fmt;

/// Cores of every node.
pub const CORES: f64 = 4.0;
/// Share of the cores that requests need outside bursts.
const LOAD: f64 = 0.55;
/// Bounds on the arrival rate, in requests a second: fewer show nothing, more only take longer to simulate.
const MIN_RATE: f64 = 1.5;
const MAX_RATE: f64 = 60.0;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Its requests carry an idempotency key and run once in their window.
    pub keyed: bool,
    /// Share of the requests.
    pub share: f64,
    /// Mean work on one core.
    pub work: Micros,
    /// An answer within this time earns the full weight.
    pub latency_objective: Micros,
    /// Clients stop waiting after this time.
    pub deadline: Micros,
    /// Its runs make an outbound call.
    pub calls: bool,
    /// Share of the weight that an answer without that call earns; 0 where that is not allowed.
    pub skipped_call_weight: f64,
    /// Share of the weight that a late answer earns.
    pub late_weight: f64,
    /// Priority weight of a request.
    pub priority_weight: f64,
}

/// The settings of a site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its classes, one to eight.
    pub classes: Vec<RequestClass>,
    /// Requests say how long their caller waits.
    pub sends_timeout: bool,
    /// Retries are marked.
    pub marks_retries: bool,
    /// Requests say how much work to expect.
    pub sends_work_hints: bool,
    /// Reads say which resource they concern.
    pub sends_resource_keys: bool,
    /// There is a downstream tier.
    pub has_downstream: bool,
    /// Rejections may carry a Retry-After.
    pub accepts_retry_after: bool,
    /// What preempting a run does: `discard`, `freeze`, or `silent` where runs cannot be preempted.
    pub preemption: &'static str,
    /// What the announced capacity means.
    pub backpressure_signal: &'static str,
    /// Deduplication window of keyed requests.
    pub window: Micros,
    /// Grace after SIGTERM in which arrivals still run.
    pub grace: Micros,
    /// Requests a second.
    pub rate: f64,
}

impl Site {
    /// The site of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = SimRng::new(seed, 4);
        let pick = |rng: &mut SimRng, words: &[&'static str]| words[rng.below(words.len() as u64) as usize];
        let has_downstream = rng.chance(0.8);
        // Many sites have few classes, and some none that is keyed.
        let n = 1 + (rng.unit().powi(2) * 8.0) as usize;
        let keyed = [0.0, 0.4, 0.4, 1.0][rng.below(4) as usize];
        // Some sites have a class whose runs are so long that nothing passes on its connection meanwhile.
        let slow = rng.chance(0.3).then(|| rng.below(n as u64) as usize);
        let classes: Vec<RequestClass> = (0..n)
            .map(|i| {
                let deadline =
                    if slow == Some(i) { 17_000 } else { [2_000, 4_000, 9_000][rng.below(3) as usize] };
                let latency_objective = deadline * (3 + rng.below(5)) / 10;
                let work =
                    if slow == Some(i) { 5_000 + rng.below(4_000) } else { 10 + rng.below(deadline / 40) };
                let skips = rng.chance(0.5);
                RequestClass {
                    name: format!("kind-{i}"),
                    keyed: rng.chance(keyed),
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
        let shares: f64 = classes.iter().map(|k| k.share).sum();
        let work: f64 = classes.iter().map(|k| k.share / shares * k.work.0 as f64 / 1e6).sum();
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
            rate: (CORES * LOAD / work).clamp(MIN_RATE, MAX_RATE),
        }
    }

    /// The class of the next request.
    pub fn draw_class(&self, rng: &mut SimRng) -> usize {
        let mut at = rng.unit() * self.classes.iter().map(|k| k.share).sum::<f64>();
        let found = self.classes.iter().position(|k| {
            at -= k.share;
            at < 0.0
        });
        found.unwrap_or(0)
    }

    /// The longest deadline.
    pub fn max_deadline(&self) -> Micros {
        self.classes.iter().map(|k| k.deadline).max().unwrap_or_default()
    }

    /// The settings as a node's configuration has them.
    pub fn settings(&self, callers: u64) -> Value {
        let ns = |length: Micros| length.0 * 1000;
        let classes: Vec<Value> = self
            .classes
            .iter()
            .map(|k| {
                json!({"name": k.name, "effect": if k.keyed { "token" } else { "pure" }, "goal-time": ns(k.latency_objective),
                    "hard-limit": ns(k.deadline), "dedup-window": ns(self.window), "worth": k.priority_weight,
                    "late-worth": k.late_weight})
            })
            .collect();
        let of = |f: fn(&RequestClass) -> Value| self.classes.iter().map(f).collect::<Vec<_>>();
        json!({"classes": classes, "fleet-size": 1, "worth-by": "work", "over-share-worth": 0.1, "realms": [],
            "tick": 2_000_000, "clients": {"marks-retry": self.marks_retries},
            "caps": {"retry-after": self.accepts_retry_after, "max-retry-after": 1_000_000_000u64},
            "extra": {"below": if self.has_downstream { "tier" } else { "silent" }, "callers": callers, "calls-out": 0.0,
                "class-calls": of(|k| json!(k.calls)), "class-skip-worth": of(|k| json!(k.skipped_call_weight)),
                "cold": false, "cores": CORES, "dep-window": 5_000_000_000u64, "fresh-for": 0,
                "full-checks": true, "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
                "halt": self.preemption, "heeded": 1_000_000_000, "heap-kb": 70000.0, "key-kb": 10.0,
                "list-follows": true, "run-factor": 8.0, "signal": self.backpressure_signal, "stays-for": 200_000_000,
                "caller-idle": 30_000_000_000u64, "passes-deadline": self.sends_timeout},
            "rules": {"grace-to-answer": 80_000_000, "cold-share": 0.3, "cold": 18_000_000_000u64,
                "drain-grace": ns(self.grace), "fall": 2_000_000_000, "fall-multiple": 5.0}})
    }
}

impl fmt::Display for Site {
    /// One line: what sets it apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keyed = self.classes.iter().filter(|k| k.keyed).count();
        let skips = self.classes.iter().filter(|k| k.calls && k.skipped_call_weight > 0.0).count();
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
