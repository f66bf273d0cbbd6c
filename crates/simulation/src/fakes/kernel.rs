//! Fake of the kernel: its cores are shared by all runs, lose efficiency with too many of them and are slow while cold;
//! its notices are numbered and said again on a new link.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gaugestand_admission::time::{Micros, Timestamp};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// Most notices that are kept to be said again on a new link.
const MAX_KEPT_NOTICES: usize = 4_000;
/// A run makes its outbound call when this share of its work is left.
const CALL_AT_SHARE: f64 = 0.5;

/// What the world knows of a request that was sent to the node: the kernel compares its commands with it.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Its class.
    pub class: String,
    /// Its body.
    pub body: Vec<u8>,
    /// Its work on one core of speed 1.
    pub work: Micros,
    /// Its run makes an outbound call.
    pub calls: bool,
    /// The run may continue without that call.
    pub skips: bool,
}

#[derive(Debug)]
struct Run {
    /// Microseconds of work that are left on one core of speed 1.
    work_left: f64,
    /// Work left at which it makes its call, until it has.
    call_at: Option<f64>,
    awaits_call: bool,
    /// Number of the notice that requested its call.
    call_notice: u64,
    skips: bool,
    started: Timestamp,
}

/// Something that the kernel observed, for the rules.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The run of this request started.
    Started(String),
    /// The run of this request ended with this result.
    Result(String, Vec<u8>),
    /// A command has another class or body than the request had.
    ChangedOnTheWay(String),
    /// A command that the site does not allow.
    NotAllowed(String),
}

/// The kernel of one node.
#[derive(Debug)]
pub struct Kernel {
    cores: f64,
    /// Speed of the cores: 1 unless a fault makes them slow.
    pub speed: f64,
    started_at: Timestamp,
    warmup_duration: Micros,
    cold_speed_share: f64,
    cold: bool,
    /// Runs can be stopped.
    pub can_preempt: bool,
    /// Runs that went on without their call.
    pub skipped: u64,
    cursor: u64,
    kept_notices: VecDeque<(u64, String)>,
    runs: BTreeMap<String, Run>,
    requests: BTreeMap<String, RequestFacts>,
    advanced_to: Timestamp,
    input: Vec<u8>,
    /// Lines to be sent on the link.
    pub output: Vec<u8>,
    linked: bool,
    /// What the rules want to know, since the last look.
    pub observed: Vec<Observation>,
    /// How many were on the cores, and since when: for the crowd's mean.
    concurrency_samples: VecDeque<(Timestamp, f64)>,
    results: u64,
}

impl Kernel {
    /// A kernel that comes up now, cold or warm.
    pub fn new(now: Timestamp, cores: f64, cold: bool) -> Self {
        Kernel {
            cores,
            speed: 1.0,
            started_at: now,
            warmup_duration: Micros::millis(18_000),
            cold_speed_share: 0.3,
            cold,
            can_preempt: true,
            skipped: 0,
            cursor: 0,
            kept_notices: VecDeque::new(),
            runs: BTreeMap::new(),
            requests: BTreeMap::new(),
            advanced_to: now,
            input: Vec::new(),
            output: Vec::new(),
            linked: false,
            observed: Vec::new(),
            concurrency_samples: VecDeque::new(),
            results: 0,
        }
    }

    /// A request came to the machine.
    pub fn add_request(&mut self, id: &str, requests: RequestFacts) {
        self.requests.insert(id.to_string(), requests);
    }

    fn on_cores(&self) -> usize {
        self.runs.values().filter(|r| !r.awaits_call).count()
    }

    /// Share of its full speed.
    fn warmth(&self, now: Timestamp) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let done = now.since(self.started_at).0 as f64 / self.warmup_duration.0 as f64;
        (self.cold_speed_share + (1.0 - self.cold_speed_share) * done).min(1.0)
    }

    /// Work a microsecond that each run gets.
    fn rate(&self, now: Timestamp) -> f64 {
        let n = self.on_cores() as f64;
        let concurrency_samples = 1.0 / (1.0 + 0.08 * (n / self.cores - 2.0).max(0.0));
        self.speed * self.warmth(now) * concurrency_samples * (self.cores / n.max(1.0)).min(1.0)
    }

    /// When the next run is at its call or over, if nothing changes.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let rate = self.rate(self.advanced_to);
        let to_go = |r: &Run| r.work_left - r.call_at.unwrap_or(0.0);
        let least = self.runs.values().filter(|r| !r.awaits_call).map(to_go).min_by(f64::total_cmp)?;
        Some(self.advanced_to.plus(Micros((least / rate).ceil().max(1.0) as u64)))
    }

    /// Time passes up to `now`.
    pub fn advance(&mut self, now: Timestamp) {
        let passed = now.since(self.advanced_to).0 as f64 * self.rate(self.advanced_to);
        self.sample_concurrency(now);
        self.advanced_to = now;
        let (mut called, mut over) = (Vec::new(), Vec::new());
        for (id, run) in self.runs.iter_mut().filter(|(_, r)| !r.awaits_call) {
            run.work_left -= passed;
            if run.call_at.is_some_and(|at| run.work_left <= at + 0.5) {
                (run.call_at, run.awaits_call) = (None, true);
                called.push(id.clone());
            } else if run.work_left <= 0.5 {
                over.push((id.clone(), run.started));
            }
        }
        for id in called {
            let arg = STANDARD.encode(format!("call of {id}"));
            self.notice(json!({"event": "IOREQ", "handle": id, "arg": arg}));
            let cursor = self.cursor;
            if let Some(run) = self.runs.get_mut(&id) {
                run.call_notice = cursor;
            }
        }
        for (id, started) in over {
            self.runs.remove(&id);
            self.results += 1;
            let result = format!("result {} of {id}", self.results).into_bytes();
            self.observed.push(Observation::Result(id.clone(), result.clone()));
            let (arg, lasted) = (STANDARD.encode(&result), now.since(started).0 as f64 / 1000.0);
            self.notice(json!({"event": "REAP", "handle": id, "fate": "good", "lasted": lasted, "arg": arg}));
        }
    }

    fn sample_concurrency(&mut self, now: Timestamp) {
        self.concurrency_samples
            .push_back((self.advanced_to, self.on_cores() as f64 * now.since(self.advanced_to).0 as f64));
        while self.concurrency_samples.front().is_some_and(|c| now.since(c.0) > Micros::millis(2_000)) {
            self.concurrency_samples.pop_front();
        }
    }

    /// Requests on the cores for each core, in the mean of 2 s, over what it survives: 1 or more is a fall.
    pub fn concurrency_load(&self, now: Timestamp) -> f64 {
        let mean = self.concurrency_samples.iter().map(|c| c.1).sum::<f64>() / 2e6 / self.cores;
        mean / (1.0 + 4.0 * self.warmth(now))
    }

    fn line(&mut self, text: &str) {
        if self.linked {
            self.output.extend(text.as_bytes());
            self.output.push(b'\n');
        }
    }

    fn notice(&mut self, mut notice: Value) {
        self.cursor += 1;
        notice["cursor"] = json!(self.cursor);
        let text = notice.to_string();
        self.line(&text);
        self.kept_notices.push_back((self.cursor, text));
        if self.kept_notices.len() > MAX_KEPT_NOTICES {
            self.kept_notices.pop_front();
        }
    }

    /// A new link takes the place of the one before.
    pub fn link(&mut self, started_at: bool) {
        self.input.clear();
        self.output.clear();
        self.linked = started_at;
    }

    /// Takes in bytes of the link.
    pub fn take(&mut self, now: Timestamp, bytes: &[u8]) {
        self.advance(now);
        self.input.extend(bytes);
        while let Some(end) = self.input.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            if let Ok(command) = serde_json::from_slice::<Value>(&line) {
                self.command(now, &command);
            }
        }
    }

    fn command(&mut self, now: Timestamp, command: &Value) {
        let id = command["handle"].as_str().unwrap_or_default().to_string();
        match command["event"].as_str() {
            Some("OPEN") => {
                let (from, lasted) =
                    (command["cursor"].as_u64().unwrap_or(0), now.since(self.started_at).0 as f64 / 1e3);
                let fate = if self.cold { "new" } else { "old" };
                self.line(&json!({"event": "BOOTED", "fate": fate, "lasted": lasted}).to_string());
                let again: Vec<String> =
                    self.kept_notices.iter().filter(|(n, _)| *n > from).map(|(_, t)| t.clone()).collect();
                again.iter().for_each(|text| self.line(text));
            }
            Some("SYSINFO") => {
                let n = self.on_cores() as f64;
                let figures = [(n / self.cores).min(1.0), n, 0.2, 8.0];
                self.line(
                    &json!({"event": "INFO", "ticket": command["ticket"], "figures": figures}).to_string(),
                );
            }
            Some("POST") => {
                self.line(
                    &json!({"event": "POSTED", "ticket": command["ticket"], "fate": "good"}).to_string(),
                );
            }
            Some("SCHED") => self.sched(now, id, command),
            Some("IODONE") => {
                if let Some(run) = self.runs.get_mut(&id) {
                    run.awaits_call = false;
                }
            }
            Some("NOIO") => {
                let Some(run) = self.runs.get_mut(&id) else { return };
                if !run.skips {
                    self.observed
                        .push(Observation::NotAllowed(format!("{id} had to go on without its call")));
                } else if run.awaits_call && command["cursor"] == run.call_notice {
                    run.awaits_call = false;
                    self.skipped += 1;
                }
            }
            Some("PREEMPT") if !self.can_preempt => {
                self.observed.push(Observation::NotAllowed(format!("{id} had to stop")));
            }
            Some("PREEMPT") if self.runs.remove(&id).is_some() => {
                self.notice(json!({"event": "REAP", "handle": id, "fate": "cut", "lasted": 1}));
            }
            _ => {}
        }
    }

    fn sched(&mut self, now: Timestamp, id: String, command: &Value) {
        let Some(requests) = self.requests.get(&id) else {
            let text = json!({"event": "EINVAL", "fate": "SCHED", "handle": id}).to_string();
            return self.line(&text);
        };
        let body = STANDARD.decode(command["arg"].as_str().unwrap_or("")).unwrap_or_default();
        if command["entry"].as_str() != Some(requests.class.as_str()) || body != requests.body {
            self.observed.push(Observation::ChangedOnTheWay(id.clone()));
        }
        if self.runs.contains_key(&id) {
            return;
        }
        let work_left = requests.work.0 as f64;
        let call_at = requests.calls.then_some(work_left * CALL_AT_SHARE);
        let run = Run {
            work_left,
            call_at,
            awaits_call: false,
            call_notice: 0,
            skips: requests.skips,
            started: now,
        };
        self.runs.insert(id.clone(), run);
        self.observed.push(Observation::Started(id));
    }
}
