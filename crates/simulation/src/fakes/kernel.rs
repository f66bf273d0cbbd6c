//! Fake of the kernel. All runs share its cores, which lose efficiency when there are too many runs and are
//! slow while the kernel is cold. Its notices are numbered, and it repeats them on a new link.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gaugestand_admission::time::{Micros, Timestamp};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of notices that the kernel keeps to repeat them on a new link; it drops the oldest.
const MAX_KEPT_NOTICES: usize = 4_000;
/// Number of outbound calls that a run makes one after the other, if it makes any.
const CALLS_PER_RUN: u32 = 2;
/// Share of a run's work that is done between two of its outbound calls, before the first and after the last.
const CALL_INTERVAL_SHARE: f64 = 1.0 / (CALLS_PER_RUN as f64 + 1.0);

/// Properties of a request that a gateway sent to the node. The kernel compares the node's commands with
/// them.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Name of the request's class.
    pub class: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// CPU time that its run needs on one core of speed 1.
    pub work: Micros,
    /// Whether the run of the request makes outbound calls.
    pub calls: bool,
    /// Whether the run may continue without a call.
    pub skips: bool,
}

#[derive(Debug)]
struct Run {
    /// Work that is left, in microseconds on one core of speed 1.
    work_left: f64,
    /// Value of `work_left` at which the run makes its next outbound call; `None` if it makes no further one.
    call_at: Option<f64>,
    /// Work between two outbound calls of the run.
    call_interval: f64,
    /// Number of the run's latest outbound call; 0 before the first.
    call_number: u32,
    /// Whether the run waits for the reply to its latest outbound call; it uses no core meanwhile.
    awaits_call: bool,
    /// Cursor of the notice that requested the latest outbound call; 0 before the first.
    call_notice: u64,
    skips: bool,
    started: Timestamp,
}

/// An observation of the kernel that the rules check.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The run of this request started.
    Started(String),
    /// The run of this request completed with this result.
    Result(String, Vec<u8>),
    /// A command for this request has another class or body than the request that the gateway sent.
    AlteredRequest(String),
    /// The run of this request got another reply than that to the call that it waited for.
    WrongReply(String),
    /// The node sent a command that the settings of the site do not allow; the text says which.
    ForbiddenCommand(String),
}

/// The kernel of one node.
#[derive(Debug)]
pub struct Kernel {
    cores: f64,
    /// Speed of the cores relative to normal: 1, or less while a fault slows them down.
    pub speed: f64,
    started_at: Timestamp,
    /// Time from the start of a cold kernel until its cores reach full speed.
    warmup_duration: Micros,
    /// Speed at the start of a cold kernel, as a share of the full speed.
    cold_speed_share: f64,
    /// Whether the kernel started cold.
    cold: bool,
    /// Whether the kernel can preempt runs; set by the world from the settings of its site.
    pub can_preempt: bool,
    /// Number of runs that continued without their outbound call.
    pub skipped: u64,
    /// Cursor of the latest notice; 0 before the first.
    cursor: u64,
    kept_notices: VecDeque<(u64, String)>,
    runs: BTreeMap<String, Run>,
    requests: BTreeMap<String, RequestFacts>,
    /// Time up to which the runs have been simulated.
    advanced_to: Timestamp,
    /// Bytes received on the link that do not form a complete line yet.
    input: Vec<u8>,
    /// Lines that are to be sent to the node on the link.
    pub output: Vec<u8>,
    /// Whether there is a link to a node.
    linked: bool,
    /// Observations since the world last took them to report them to the rules.
    pub observed: Vec<Observation>,
    /// For each interval of the last 2 s, its start and the number of runs on the cores multiplied by the
    /// length of the interval in microseconds: the base of the mean concurrency.
    concurrency_samples: VecDeque<(Timestamp, f64)>,
    /// Number of results so far. It is part of each result, so that no two are equal.
    results: u64,
}

impl Kernel {
    /// Creates a kernel that starts at `now`, cold or warm, with `cores` cores.
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

    /// Registers a request that a gateway sends to the node.
    pub fn add_request(&mut self, id: &str, facts: RequestFacts) {
        self.requests.insert(id.to_string(), facts);
    }

    fn on_cores(&self) -> usize {
        self.runs.values().filter(|r| !r.awaits_call).count()
    }

    /// Speed that the kernel has reached at `now` while it warms up, as a share of the full speed.
    fn warmup_speed(&self, now: Timestamp) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let done = now.since(self.started_at).0 as f64 / self.warmup_duration.0 as f64;
        (self.cold_speed_share + (1.0 - self.cold_speed_share) * done).min(1.0)
    }

    /// Work that each run on the cores gets done in a microsecond, in microseconds on one core of speed 1.
    fn rate(&self, now: Timestamp) -> f64 {
        let n = self.on_cores() as f64;
        let efficiency = 1.0 / (1.0 + 0.08 * (n / self.cores - 2.0).max(0.0));
        self.speed * self.warmup_speed(now) * efficiency * (self.cores / n.max(1.0)).min(1.0)
    }

    /// When the next run makes its outbound call or ends, if no command arrives before. `None` if no run is
    /// on the cores.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let rate = self.rate(self.advanced_to);
        let work_to_next_event = |r: &Run| r.work_left - r.call_at.unwrap_or(0.0);
        let least =
            self.runs.values().filter(|r| !r.awaits_call).map(work_to_next_event).min_by(f64::total_cmp)?;
        Some(self.advanced_to.plus(Micros((least / rate).ceil().max(1.0) as u64)))
    }

    /// Simulates the runs up to `now`: requests their outbound calls and ends those whose work is done.
    pub fn advance(&mut self, now: Timestamp) {
        let passed = now.since(self.advanced_to).0 as f64 * self.rate(self.advanced_to);
        self.sample_concurrency(now);
        self.advanced_to = now;
        let (mut calling, mut completed) = (Vec::new(), Vec::new());
        for (id, run) in self.runs.iter_mut().filter(|(_, r)| !r.awaits_call) {
            run.work_left -= passed;
            if run.call_at.is_some_and(|at| run.work_left <= at + 0.5) {
                run.call_number += 1;
                run.awaits_call = true;
                let next = run.work_left - run.call_interval;
                run.call_at = (run.call_number < CALLS_PER_RUN).then_some(next);
                calling.push((id.clone(), run.call_number));
            } else if run.work_left <= 0.5 {
                completed.push((id.clone(), run.started));
            }
        }
        for (id, call_number) in calling {
            let arg = STANDARD.encode(call_body(&id, call_number));
            self.send_notice(json!({"event": "IOREQ", "handle": id, "arg": arg}));
            let cursor = self.cursor;
            if let Some(run) = self.runs.get_mut(&id) {
                run.call_notice = cursor;
            }
        }
        for (id, started) in completed {
            self.runs.remove(&id);
            self.results += 1;
            let result = format!("result {} of {id}", self.results).into_bytes();
            self.observed.push(Observation::Result(id.clone(), result.clone()));
            let (arg, lasted) = (STANDARD.encode(&result), now.since(started).0 as f64 / 1000.0);
            self.send_notice(
                json!({"event": "REAP", "handle": id, "fate": "good", "lasted": lasted, "arg": arg}),
            );
        }
    }

    /// Adds the interval up to `now` to the samples and drops samples older than 2 s.
    fn sample_concurrency(&mut self, now: Timestamp) {
        self.concurrency_samples
            .push_back((self.advanced_to, self.on_cores() as f64 * now.since(self.advanced_to).0 as f64));
        while self.concurrency_samples.front().is_some_and(|c| now.since(c.0) > Micros::millis(2_000)) {
            self.concurrency_samples.pop_front();
        }
    }

    /// Number of runs on each core, as the mean of the last 2 s, divided by the number at which the kernel
    /// falls over: 1 or more means that it falls over. A kernel that warms up falls over at fewer runs.
    pub fn concurrency_load(&self, now: Timestamp) -> f64 {
        let mean = self.concurrency_samples.iter().map(|c| c.1).sum::<f64>() / 2e6 / self.cores;
        mean / (1.0 + 4.0 * self.warmup_speed(now))
    }

    /// Adds a line to the output if there is a link; without a link the line is lost.
    fn send_line(&mut self, text: &str) {
        if self.linked {
            self.output.extend(text.as_bytes());
            self.output.push(b'\n');
        }
    }

    /// Gives a notice the next cursor, sends it and keeps it, to repeat it on a new link.
    fn send_notice(&mut self, mut notice: Value) {
        self.cursor += 1;
        notice["cursor"] = json!(self.cursor);
        let text = notice.to_string();
        self.send_line(&text);
        self.kept_notices.push_back((self.cursor, text));
        if self.kept_notices.len() > MAX_KEPT_NOTICES {
            self.kept_notices.pop_front();
        }
    }

    /// Records that a new link replaces the previous one, or that the link is gone. Discards the input and
    /// the output of the previous link.
    pub fn set_linked(&mut self, linked: bool) {
        self.input.clear();
        self.output.clear();
        self.linked = linked;
    }

    /// Receives bytes of the link and executes the commands that they complete.
    pub fn receive(&mut self, now: Timestamp, bytes: &[u8]) {
        self.advance(now);
        self.input.extend(bytes);
        while let Some(end) = self.input.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            if let Ok(command) = serde_json::from_slice::<Value>(&line) {
                self.execute(now, &command);
            }
        }
    }

    fn execute(&mut self, now: Timestamp, command: &Value) {
        let id = command["handle"].as_str().unwrap_or_default().to_string();
        match command["event"].as_str() {
            Some("OPEN") => {
                let (from, lasted) =
                    (command["cursor"].as_u64().unwrap_or(0), now.since(self.started_at).0 as f64 / 1e3);
                let fate = if self.cold { "new" } else { "old" };
                self.send_line(&json!({"event": "BOOTED", "fate": fate, "lasted": lasted}).to_string());
                let repeated: Vec<String> =
                    self.kept_notices.iter().filter(|(n, _)| *n > from).map(|(_, t)| t.clone()).collect();
                repeated.iter().for_each(|text| self.send_line(text));
            }
            Some("SYSINFO") => {
                let n = self.on_cores() as f64;
                let figures = [(n / self.cores).min(1.0), n, 0.2, 8.0];
                self.send_line(
                    &json!({"event": "INFO", "ticket": command["ticket"], "figures": figures}).to_string(),
                );
            }
            Some("POST") => {
                self.send_line(
                    &json!({"event": "POSTED", "ticket": command["ticket"], "fate": "good"}).to_string(),
                );
            }
            Some("SCHED") => self.start_run(now, id, command),
            Some("IODONE") => self.complete_call(id, command),
            Some("NOIO") => {
                let Some(run) = self.runs.get_mut(&id) else { return };
                if !run.skips {
                    self.observed.push(Observation::ForbiddenCommand(format!(
                        "the node sent NOIO for {id}, whose run may not continue without its outbound call"
                    )));
                } else if run.awaits_call && command["cursor"] == run.call_notice {
                    run.awaits_call = false;
                    self.skipped += 1;
                }
            }
            Some("PREEMPT") if !self.can_preempt => {
                self.observed.push(Observation::ForbiddenCommand(format!(
                    "the node sent PREEMPT for {id}, but this kernel cannot preempt runs"
                )));
            }
            Some("PREEMPT") if self.runs.remove(&id).is_some() => {
                self.send_notice(json!({"event": "REAP", "handle": id, "fate": "cut", "lasted": 1}));
            }
            _ => {}
        }
    }

    /// Passes a reply to the run of a request, which continues if it waits for a call. The command does not
    /// name the call.
    fn complete_call(&mut self, id: String, command: &Value) {
        let Some(run) = self.runs.get_mut(&id).filter(|run| run.awaits_call) else { return };
        run.awaits_call = false;
        let reply = STANDARD.decode(command["arg"].as_str().unwrap_or("")).unwrap_or_default();
        // The downstream tier replies with the body of the call.
        if reply != call_body(&id, run.call_number).into_bytes() {
            self.observed.push(Observation::WrongReply(id));
        }
    }

    /// Starts the run of a request, unless it is running already. The request must have been registered.
    fn start_run(&mut self, now: Timestamp, id: String, command: &Value) {
        let Some(facts) = self.requests.get(&id) else {
            let text = json!({"event": "EINVAL", "fate": "SCHED", "handle": id}).to_string();
            return self.send_line(&text);
        };
        let body = STANDARD.decode(command["arg"].as_str().unwrap_or("")).unwrap_or_default();
        if command["entry"].as_str() != Some(facts.class.as_str()) || body != facts.body {
            self.observed.push(Observation::AlteredRequest(id.clone()));
        }
        if self.runs.contains_key(&id) {
            return;
        }
        let work_left = facts.work.0 as f64;
        let call_interval = work_left * CALL_INTERVAL_SHARE;
        let run = Run {
            work_left,
            call_at: facts.calls.then_some(work_left - call_interval),
            call_interval,
            call_number: 0,
            awaits_call: false,
            call_notice: 0,
            skips: facts.skips,
            started: now,
        };
        self.runs.insert(id.clone(), run);
        self.observed.push(Observation::Started(id));
    }
}

/// The body of an outbound call of a request's run.
fn call_body(id: &str, call_number: u32) -> String {
    format!("call {call_number} of {id}")
}
