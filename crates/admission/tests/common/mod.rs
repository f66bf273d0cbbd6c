//! Settings, requests and a small host of the controller, which the tests of this crate share.
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

/// Settings with three classes: pure (index 0), keyed (1) and unsafe (2).
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

/// State of one request, as the host sees it.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    pub class: usize,
    pub deadline: Time,
    pub arrived_at: Time,
    pub answers: u32,
    pub is_rejected: bool,
    pub is_caller_gone: bool,
    pub runs: u32,
    pub original: Option<RequestId>,
    pub is_on_cores: bool,
    pub is_over: bool,
    pub is_call_in_flight: bool,
    pub last_call: Option<Outcome>,
}

/// A host that steps a controller, delivers its timers, and checks the rules that hold for every action.
pub struct Host {
    pub config: Settings,
    pub controller: Controller,
    pub now: Time,
    pub seen: BTreeMap<RequestId, SeenRequest>,
    pub gauges: Gauges,
    pub drained_at: Option<Time>,
    timers: Vec<(Time, u64)>,
}

impl Host {
    pub fn new(config: Settings) -> Self {
        let controller = Controller::new(config.clone(), 1).expect("the settings are valid");
        let gauges = Gauges::default();
        let now = Time(1_000_000_000);
        Host { config, controller, now, seen: BTreeMap::new(), gauges, drained_at: None, timers: vec![] }
    }

    /// Creates a host whose gauges report busy cores, and advances it past the first timers.
    pub fn with_busy_cores(config: Settings, runnable: Option<f64>) -> Self {
        let mut host = Host::new(config);
        host.gauges.cpu_busy = Some(1.0);
        host.gauges.runnable = runnable;
        host.step(vec![]);
        host.advance(40);
        host
    }

    /// Ids of the requests for which `holds` returns true.
    pub fn ids(&self, holds: impl Fn(&SeenRequest) -> bool) -> Vec<RequestId> {
        self.seen.iter().filter(|(_, request)| holds(request)).map(|(id, _)| *id).collect()
    }

    /// Ends the runs of these requests successfully.
    pub fn complete(&mut self, ids: &[RequestId]) -> Vec<Action> {
        self.step(ids.iter().map(|id| Event::RunEnded(*id, Outcome::Ok)).collect())
    }

    /// Passes one batch of events and the timers that are due to the controller; returns its actions.
    pub fn step(&mut self, mut events: Vec<Event>) -> Vec<Action> {
        let now = self.now;
        for (_, name) in self.timers.iter().filter(|(time, _)| *time <= now) {
            events.push(Event::Timer(*name, self.gauges));
        }
        self.timers.retain(|(time, _)| *time > now);
        for event in &events {
            match event {
                Event::Request(arrival) => {
                    let arrived_at = now - arrival.read_delay;
                    let deadline = arrival
                        .deadline
                        .unwrap_or(arrived_at + self.config.classes[arrival.class].deadline)
                        .max(now);
                    let seen = SeenRequest {
                        class: arrival.class,
                        deadline,
                        arrived_at,
                        answers: 0,
                        is_rejected: false,
                        is_caller_gone: false,
                        runs: 0,
                        original: arrival.original,
                        is_on_cores: false,
                        is_over: false,
                        is_call_in_flight: false,
                        last_call: None,
                    };
                    self.seen.insert(arrival.id, seen);
                }
                Event::CallerGone(id) => self.seen_mut(*id).is_caller_gone = true,
                Event::RunEnded(id, outcome) => {
                    let request = self.seen_mut(*id);
                    request.is_on_cores = false;
                    if matches!(outcome, Outcome::Ok | Outcome::Error) {
                        request.answers = request.answers.max(1);
                    }
                    request.is_over =
                        *outcome != Outcome::Cancelled || request.answers > 0 || request.is_caller_gone;
                }
                Event::CallRequested(id) => self.seen_mut(*id).is_on_cores = false,
                Event::CallEnded(id, outcome, _) => {
                    let request = self.seen_mut(*id);
                    request.is_call_in_flight = false;
                    request.last_call = Some(*outcome);
                    request.is_on_cores = *outcome == Outcome::Ok;
                }
                Event::Drain(_) => self.drained_at = Some(now),
                Event::Timer(..) => {}
            }
        }
        let mut actions = Vec::new();
        self.controller.step(now, &events, &mut actions);
        for action in &actions {
            self.check(action);
        }
        actions
    }

    /// Advances the time in ticks of 5 ms, without events other than timers.
    pub fn advance(&mut self, ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..ms.div_ceil(5) {
            self.now = self.now + Span::millis(5);
            actions.extend(self.step(vec![]));
        }
        actions
    }

    pub fn arrive(&mut self, arrival: Request) -> Vec<Action> {
        self.step(vec![Event::Request(arrival)])
    }

    fn seen_mut(&mut self, id: RequestId) -> &mut SeenRequest {
        self.seen.get_mut(&id).expect("the controller or the test named an unknown request")
    }

    fn effect(&mut self, id: RequestId) -> Effect {
        let class = self.seen_mut(id).class;
        self.config.classes[class].effect
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each action, each a few assertions")]
    fn check(&mut self, action: &Action) {
        let (now, drained_at, grace) = (self.now, self.drained_at, self.config.drain_grace);
        match action {
            Action::SetTimer(name, span) => self.timers.push((now + *span, *name)),
            Action::Run(id) => {
                let effect = self.effect(*id);
                let request = self.seen_mut(*id);
                assert!(
                    !request.is_over && request.answers == 0,
                    "started a request that is over or answered"
                );
                request.runs += 1;
                request.is_on_cores = true;
                assert!(
                    effect == Effect::Pure || request.runs == 1,
                    "started a request with an effect twice"
                );
                assert!(effect != Effect::Keyed || request.original.is_none(), "started a keyed repeat");
                if let Some(drained_at) = drained_at {
                    assert!(
                        request.arrived_at <= drained_at + grace,
                        "started a request that arrived after the grace"
                    );
                }
            }
            Action::Reject { id, .. } => {
                let effect = self.effect(*id);
                let request = self.seen_mut(*id);
                request.answers += 1;
                request.is_rejected = true;
                assert_eq!(request.answers, 1, "answered a request twice");
                assert!(
                    effect == Effect::Pure || request.runs == 0,
                    "rejected a request with an effect after its run started"
                );
                request.is_over = !request.is_on_cores;
            }
            Action::Fail(id) => {
                let request = self.seen_mut(*id);
                request.answers += 1;
                assert!(request.answers == 1 || request.is_caller_gone, "answered a request twice");
            }
            Action::Call(id, _) => {
                let effect = self.effect(*id);
                let request = self.seen_mut(*id);
                let safe = matches!(
                    request.last_call,
                    None | Some(Outcome::Ok | Outcome::Overloaded | Outcome::Unreachable)
                );
                assert!(effect == Effect::Pure || safe, "repeated a call that may have had an effect");
                request.is_call_in_flight = true;
            }
            Action::Preempt(_) => {
                assert_ne!(
                    self.config.preemption,
                    Preemption::Never,
                    "stopped a run although runs cannot be stopped"
                )
            }
            Action::SkipCall(id) => {
                let class = self.seen_mut(*id).class;
                assert!(
                    self.config.classes[class].skipped_call_weight > 0.0,
                    "skipped a call that must not be skipped"
                );
            }
            Action::AnnounceCapacity(capacity) => {
                assert!(
                    self.config.backpressure_signal != BackpressureSignal::Silent && *capacity >= 0.0,
                    "announced a negative capacity, or one that callers do not read"
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

    pub fn running(&self) -> usize {
        self.seen.values().filter(|request| request.is_on_cores).count()
    }

    /// Fails if a request is unanswered later than its deadline plus the answer slack.
    pub fn assert_none_overdue(&self) {
        for (id, request) in &self.seen {
            let late = self.now > request.deadline + self.config.answer_slack;
            assert!(
                request.answers > 0 || request.is_caller_gone || !late,
                "unanswered after its deadline: {id:?}: {request:?}"
            );
        }
    }
}
