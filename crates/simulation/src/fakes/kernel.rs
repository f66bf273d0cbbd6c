//! The kernel: cores shared by all that runs, less efficient past a crowd, cold at first; notices with numbers.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gaugestand_admission::time::Micros;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// Notices that are kept for a new link.
const KEPT: usize = 4_000;
/// Of a call, at this share of the work.
const CALL_AT: f64 = 0.5;

/// What the kernel was told of a request when it came to the machine.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Its class.
    pub class: String,
    /// Its body.
    pub body: Vec<u8>,
    /// Its work on one core of speed 1.
    pub work: Micros,
    /// It calls half way through.
    pub calls: bool,
    /// It may go on without that call.
    pub skips: bool,
}

#[derive(Debug)]
struct Run {
    /// Microseconds of work that are left, and where it calls.
    left: f64,
    call_at: Option<f64>,
    waits: bool,
    /// The notice that asked for its call.
    call: u64,
    skips: bool,
    began: Micros,
}

/// Something that the rules want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// This request's run began.
    Began(String),
    /// It ended with this result.
    Result(String, Vec<u8>),
    /// A command with another class or body than the request came with.
    Changed(String),
    /// A command that the site does not allow.
    Barred(String),
}

/// The kernel of one node.
#[derive(Debug)]
pub struct Kernel {
    cores: f64,
    /// 1 unless it runs slowly for a while.
    pub speed: f64,
    up: Micros,
    cold_for: Micros,
    cold_share: f64,
    cold: bool,
    /// Runs can be stopped.
    pub can_preempt: bool,
    /// Runs that went on without their call.
    pub skipped: u64,
    cursor: u64,
    kept: VecDeque<(u64, String)>,
    runs: BTreeMap<String, Run>,
    known: BTreeMap<String, RequestFacts>,
    last: Micros,
    input: Vec<u8>,
    /// Lines to be sent on the link.
    pub output: Vec<u8>,
    linked: bool,
    /// What the rules want to know, since the last look.
    pub observed: Vec<Observation>,
    /// How many were on the cores, and since when: for the crowd's mean.
    concurrency_samples: VecDeque<(Micros, f64)>,
    results: u64,
}

impl Kernel {
    /// A kernel that comes up now, cold or warm.
    pub fn new(now: Micros, cores: f64, cold: bool) -> Self {
        Kernel {
            cores,
            speed: 1.0,
            up: now,
            cold_for: Micros::millis(18_000),
            cold_share: 0.3,
            cold,
            can_preempt: true,
            skipped: 0,
            cursor: 0,
            kept: VecDeque::new(),
            runs: BTreeMap::new(),
            known: BTreeMap::new(),
            last: now,
            input: Vec::new(),
            output: Vec::new(),
            linked: false,
            observed: Vec::new(),
            concurrency_samples: VecDeque::new(),
            results: 0,
        }
    }

    /// A request came to the machine.
    pub fn add_request(&mut self, id: &str, known: RequestFacts) {
        self.known.insert(id.to_string(), known);
    }

    fn on_cores(&self) -> usize {
        self.runs.values().filter(|r| !r.waits).count()
    }

    /// Share of its full speed.
    fn warmth(&self, now: Micros) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let done = now.since(self.up).0 as f64 / self.cold_for.0 as f64;
        (self.cold_share + (1.0 - self.cold_share) * done).min(1.0)
    }

    /// Work a microsecond that each run gets.
    fn rate(&self, now: Micros) -> f64 {
        let n = self.on_cores() as f64;
        let concurrency_samples = 1.0 / (1.0 + 0.08 * (n / self.cores - 2.0).max(0.0));
        self.speed * self.warmth(now) * concurrency_samples * (self.cores / n.max(1.0)).min(1.0)
    }

    /// When the next run is at its call or over, if nothing changes.
    pub fn next_wake(&self) -> Option<Micros> {
        let rate = self.rate(self.last);
        let to_go = |r: &Run| r.left - r.call_at.unwrap_or(0.0);
        let least = self.runs.values().filter(|r| !r.waits).map(to_go).min_by(f64::total_cmp)?;
        Some(self.last.plus(Micros((least / rate).ceil().max(1.0) as u64)))
    }

    /// Time passes up to `now`.
    pub fn advance(&mut self, now: Micros) {
        let passed = now.since(self.last).0 as f64 * self.rate(self.last);
        self.sample_concurrency(now);
        self.last = now;
        let (mut called, mut over) = (Vec::new(), Vec::new());
        for (id, run) in self.runs.iter_mut().filter(|(_, r)| !r.waits) {
            run.left -= passed;
            if run.call_at.is_some_and(|at| run.left <= at + 0.5) {
                (run.call_at, run.waits) = (None, true);
                called.push(id.clone());
            } else if run.left <= 0.5 {
                over.push((id.clone(), run.began));
            }
        }
        for id in called {
            let arg = STANDARD.encode(format!("call of {id}"));
            self.notice(json!({"event": "IOREQ", "handle": id, "arg": arg}));
            let cursor = self.cursor;
            if let Some(run) = self.runs.get_mut(&id) {
                run.call = cursor;
            }
        }
        for (id, began) in over {
            self.runs.remove(&id);
            self.results += 1;
            let result = format!("result {} of {id}", self.results).into_bytes();
            self.observed.push(Observation::Result(id.clone(), result.clone()));
            let (arg, lasted) = (STANDARD.encode(&result), now.since(began).0 as f64 / 1000.0);
            self.notice(json!({"event": "REAP", "handle": id, "fate": "good", "lasted": lasted, "arg": arg}));
        }
    }

    fn sample_concurrency(&mut self, now: Micros) {
        self.concurrency_samples
            .push_back((self.last, self.on_cores() as f64 * now.since(self.last).0 as f64));
        while self.concurrency_samples.front().is_some_and(|c| now.since(c.0) > Micros::millis(2_000)) {
            self.concurrency_samples.pop_front();
        }
    }

    /// Requests on the cores for each core, in the mean of 2 s, over what it survives: 1 or more is a fall.
    pub fn concurrency_load(&self, now: Micros) -> f64 {
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
        self.kept.push_back((self.cursor, text));
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    /// A new link takes the place of the one before.
    pub fn link(&mut self, up: bool) {
        self.input.clear();
        self.output.clear();
        self.linked = up;
    }

    /// Takes in bytes of the link.
    pub fn take(&mut self, now: Micros, bytes: &[u8]) {
        self.advance(now);
        self.input.extend(bytes);
        while let Some(end) = self.input.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            if let Ok(command) = serde_json::from_slice::<Value>(&line) {
                self.command(now, &command);
            }
        }
    }

    fn command(&mut self, now: Micros, command: &Value) {
        let id = command["handle"].as_str().unwrap_or_default().to_string();
        match command["event"].as_str() {
            Some("OPEN") => {
                let (from, lasted) =
                    (command["cursor"].as_u64().unwrap_or(0), now.since(self.up).0 as f64 / 1e3);
                let fate = if self.cold { "new" } else { "old" };
                self.line(&json!({"event": "BOOTED", "fate": fate, "lasted": lasted}).to_string());
                let again: Vec<String> =
                    self.kept.iter().filter(|(n, _)| *n > from).map(|(_, t)| t.clone()).collect();
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
                    run.waits = false;
                }
            }
            Some("NOIO") => {
                let Some(run) = self.runs.get_mut(&id) else { return };
                if !run.skips {
                    self.observed.push(Observation::Barred(format!("{id} had to go on without its call")));
                } else if run.waits && command["cursor"] == run.call {
                    run.waits = false;
                    self.skipped += 1;
                }
            }
            Some("PREEMPT") if !self.can_preempt => {
                self.observed.push(Observation::Barred(format!("{id} had to stop")));
            }
            Some("PREEMPT") if self.runs.remove(&id).is_some() => {
                self.notice(json!({"event": "REAP", "handle": id, "fate": "cut", "lasted": 1}));
            }
            _ => {}
        }
    }

    fn sched(&mut self, now: Micros, id: String, command: &Value) {
        let Some(known) = self.known.get(&id) else {
            let text = json!({"event": "EINVAL", "fate": "SCHED", "handle": id}).to_string();
            return self.line(&text);
        };
        let body = STANDARD.decode(command["arg"].as_str().unwrap_or("")).unwrap_or_default();
        if command["entry"].as_str() != Some(known.class.as_str()) || body != known.body {
            self.observed.push(Observation::Changed(id.clone()));
        }
        if self.runs.contains_key(&id) {
            return;
        }
        let left = known.work.0 as f64;
        let call_at = known.calls.then_some(left * CALL_AT);
        let run = Run { left, call_at, waits: false, call: 0, skips: known.skips, began: now };
        self.runs.insert(id.clone(), run);
        self.observed.push(Observation::Began(id));
    }
}
