//! Settings, requests and a small host that carries out actions, for all tests.
#![allow(dead_code, missing_docs)]

use gaugestand_admission::*;
use std::collections::BTreeMap;

pub fn class(effect: Effect) -> Class {
    Class {
        latency_objective: Span::millis(1000),
        objective_stretch: 0.0,
        deadline: Span::millis(3000),
        priority_weight: 1.0,
        late_weight: 0.0,
        effect,
        dedup_window: Span::millis(5000),
        calls: true,
        skipped_call_weight: 0.0,
    }
}

/// Three classes: pure, keyed, unsafe.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Pure), class(Effect::Keyed), class(Effect::Unsafe)],
        tenants: vec![],
        over_quota_weight: 0.1,
        weight_by: WeightBy::Request,
        cluster_size: 4,
        callers: 2,
        cores: 2,
        memory_kb: 8000.0,
        running_memory_factor: 8.0,
        entry_kb: 4.0,
        downstream: Downstream::Nothing,
        outbound_call_limit: 0.0,
        call_window: Span::millis(5000),
        abandoned_call_duration: Span::millis(200),
        preemption: Preemption::Discard,
        backpressure_signal: BackpressureSignal::Silent,
        signal_retention: Span::millis(1000),
        max_retry_after: Some(Span::millis(1000)),
        caller_idle: Span::millis(30000),
        cache_ttl: Span(0),
        deep_health_checks: false,
        list_follows_health: false,
        cold: false,
        warmup_duration: Span::millis(10000),
        cold_speed_share: 0.3,
        concurrency_window: Span::millis(2000),
        survivable_runs_per_core: 6.0,
        drain_grace: Span::millis(1000),
        answer_slack: Span::millis(60),
        tick: Span::millis(5),
    }
}

pub fn request(id: u128, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class,
        tenant: 0,
        resource_key: None,
        deadline: None,
        work_hint: None,
        queued_kb: 20.0,
        shed_order: 0.5,
        caller: 0,
        is_retry: false,
        read_delay: Span(0),
        original: None,
    }
}

/// How the host sees one request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub class: usize,
    pub due: Time,
    pub reached: Time,
    pub answers: u32,
    pub refused: bool,
    pub gone: bool,
    pub runs: u32,
    pub original: Option<RequestId>,
    pub on_cores: bool,
    pub over: bool,
    pub call_out: bool,
    pub last_call: Option<Outcome>,
}

/// Steps a controller, re-arms its timers, and checks what holds for every action.
pub struct Host {
    pub s: Settings,
    pub controller: Controller,
    pub now: Time,
    pub seen: BTreeMap<RequestId, Seen>,
    pub gauges: Gauges,
    pub drained: Option<Time>,
    timers: Vec<(Time, u64)>,
}

impl Host {
    pub fn new(s: Settings) -> Self {
        let controller = Controller::new(s.clone(), 1).expect("sound settings");
        let gauges = Gauges::default();
        let now = Time(1_000_000_000);
        Host { s, controller, now, seen: BTreeMap::new(), gauges, drained: None, timers: vec![] }
    }

    /// Takes in one batch and returns what came of it.
    pub fn step(&mut self, mut events: Vec<Event>) -> Vec<Action> {
        let now = self.now;
        for (_, name) in self.timers.iter().filter(|(t, _)| *t <= now) {
            events.push(Event::Timer(*name, self.gauges));
        }
        self.timers.retain(|(t, _)| *t > now);
        for e in &events {
            match e {
                Event::Request(r) => {
                    let reached = now - r.read_delay;
                    let due = r.deadline.unwrap_or(reached + self.s.classes[r.class].deadline).max(now);
                    let (class, last_call) = (r.class, None);
                    let (answers, runs) = (0, 0);
                    let seen = Seen {
                        class,
                        due,
                        reached,
                        answers,
                        refused: false,
                        gone: false,
                        runs,
                        original: r.original,
                        on_cores: false,
                        over: false,
                        call_out: false,
                        last_call,
                    };
                    self.seen.insert(r.id, seen);
                }
                Event::CallerGone(id) => self.see(*id).gone = true,
                Event::RunEnded(id, outcome) => {
                    let e = self.see(*id);
                    e.on_cores = false;
                    if matches!(outcome, Outcome::Ok | Outcome::Error) {
                        e.answers = e.answers.max(1);
                    }
                    e.over = *outcome != Outcome::Cancelled || e.answers > 0 || e.gone;
                }
                Event::CallRequested(id) => self.see(*id).on_cores = false,
                Event::CallEnded(id, outcome, _) => {
                    let e = self.see(*id);
                    e.call_out = false;
                    e.last_call = Some(*outcome);
                    e.on_cores = *outcome == Outcome::Ok;
                }
                Event::Drain(_) => self.drained = Some(now),
                Event::Timer(..) => {}
            }
        }
        let mut out = Vec::new();
        self.controller.step(now, &events, &mut out);
        for a in &out {
            self.check(a);
        }
        out
    }

    /// Lets time pass in ticks, with nothing happening but timers.
    pub fn pass(&mut self, ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..ms.div_ceil(5) {
            self.now = self.now + Span::millis(5);
            out.extend(self.step(vec![]));
        }
        out
    }

    pub fn arrive(&mut self, r: Request) -> Vec<Action> {
        self.step(vec![Event::Request(r)])
    }

    fn see(&mut self, id: RequestId) -> &mut Seen {
        self.seen.get_mut(&id).expect("the controller names only requests it was given")
    }

    fn effect(&mut self, id: RequestId) -> Effect {
        let class = self.see(id).class;
        self.s.classes[class].effect
    }

    fn check(&mut self, a: &Action) {
        let (now, drained, grace) = (self.now, self.drained, self.s.drain_grace);
        match a {
            Action::SetTimer(name, span) => self.timers.push((now + *span, *name)),
            Action::Run(id) => {
                let effect = self.effect(*id);
                let e = self.see(*id);
                assert!(!e.over && e.answers == 0, "ran a finished request");
                e.runs += 1;
                e.on_cores = true;
                assert!(effect == Effect::Pure || e.runs == 1, "an effect twice");
                assert!(effect != Effect::Keyed || e.original.is_none(), "a keyed repeat run");
                if let Some(d) = drained {
                    assert!(e.reached <= d + grace, "ran what came after the grace");
                }
            }
            Action::Reject { id, .. } => {
                let effect = self.effect(*id);
                let e = self.see(*id);
                e.answers += 1;
                e.refused = true;
                assert_eq!(e.answers, 1, "two answers");
                assert!(effect == Effect::Pure || e.runs == 0, "refused after an effect");
                e.over = !e.on_cores;
            }
            Action::Fail(id) => {
                let e = self.see(*id);
                e.answers += 1;
                assert!(e.answers == 1 || e.gone, "two answers");
            }
            Action::Call(id, _) => {
                let effect = self.effect(*id);
                let e = self.see(*id);
                let safe = matches!(
                    e.last_call,
                    None | Some(Outcome::Ok | Outcome::Overloaded | Outcome::Unreachable)
                );
                assert!(effect == Effect::Pure || safe, "a call repeated that may have run");
                e.call_out = true;
            }
            Action::Preempt(_) => {
                assert_ne!(self.s.preemption, Preemption::Never, "stopped where that is a fault")
            }
            Action::SkipCall(id) => {
                let class = self.see(*id).class;
                assert!(
                    self.s.classes[class].skipped_call_weight > 0.0,
                    "left a call out where that is a fault"
                );
            }
            Action::AnnounceCapacity(x) => {
                assert!(
                    self.s.backpressure_signal != BackpressureSignal::Silent && *x >= 0.0,
                    "announced where that is a fault"
                );
            }
            Action::Coalesce(_)
            | Action::Remember(..)
            | Action::Forget(_)
            | Action::Health { .. }
            | Action::SetIdleTimeout(_)
            | Action::Log(_) => {}
        }
    }

    pub fn on_cores(&self) -> usize {
        self.seen.values().filter(|e| e.on_cores).count()
    }

    /// Fails if a request is unanswered past its due time and the slack.
    pub fn check_due(&self) {
        for (id, e) in &self.seen {
            let late = self.now > e.due + self.s.answer_slack;
            assert!(e.answers > 0 || e.gone || !late, "lost {id:?}: {e:?}");
        }
    }
}
