//! The admission controller of one worker: decides which requests run, which wait, which are answered from
//! the run of another request, and which are rejected.
//!
//! Guarantees: every request gets one final answer by its deadline; a request is rejected only if it never
//! ran or may safely run twice; no request with an effect runs twice. The controller reads no clock, draws no
//! random numbers, does no I/O and starts no threads: its caller passes in batches of events together with
//! the time, and carries out the returned actions in their order. The same events always give the same
//! actions. The types of settings, events and actions are in `src/interface/`.
//!
//! Times are [`Time`] and [`Span`], in nanoseconds. Averaged quantities are `f64`: in seconds (names end in
//! `_s`), in kilobytes (`_kb`) or plain counts. The state is grouped by concern, one module each:
//!
//! | module | decides |
//! | --- | --- |
//! | `arrival` | times and priority of a new request; what is coalesced, remembered or rejected at once |
//! | `queue` | the order of the admission queue, expiry, load shedding |
//! | `dispatch` | which queued requests start, and when |
//! | `final_answer` | whether a request is rejected or fails, and whether its run is stopped |
//! | `concurrency_limit` | how many requests may run at once: formula (5), the latency law |
//! | `estimators` | whether the worker is stalled; measures Ne, L, Ti, service times and the slowdown |
//! | `quota` | which requests are within their tenant's quota |
//! | `outbound_calls` | when a call is made, retried, skipped or abandoned |
//! | `memory` | what is rejected or not remembered because memory is short |
//! | `backpressure` | announced capacity, Retry-After, whether to retry elsewhere |
//! | `health` | whether health checks pass |
//! | `idle_connections` | how long idle connections are kept |
//! | `drain` | which requests still run after the drain notice |
//! | `requests` | nothing; holds the table of requests, their phases and the totals over them |
//! | `snapshot` | nothing; defines the stored form of the controller for the hand-over between two versions |

mod arrival;
mod backpressure;
mod concurrency_limit;
mod dispatch;
mod drain;
mod estimators;
mod final_answer;
mod health;
mod idle_connections;
mod memory;
mod outbound_calls;
mod queue;
mod quota;
mod requests;
mod snapshot;

use crate::interface::*;
use crate::time::{Span, Time};
use backpressure::Backpressure;
use drain::Drain;
use estimators::Estimators;
use idle_connections::IdleConnections;
use memory::Memory;
use outbound_calls::OutboundCalls;
use queue::Queue;
use quota::Quota;
use requests::{Phase, RequestTable};
use serde::{Deserialize, Serialize};
use snapshot::ControllerSnapshot;

/// Period of the controller's timer, in ticks: short enough to answer a request within the margin before its
/// deadline, long enough that its cost is negligible.
const TIMER_PERIOD_TICKS: u64 = 4;
/// Id of the controller's only timer.
const TIMER_ID: u64 = 1;

/// The admission controller of one worker. The documentation of the crate has an example.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(into = "ControllerSnapshot", from = "ControllerSnapshot")]
pub struct Controller {
    settings: Settings,
    /// Time of the batch that is being processed.
    now: Time,
    /// Time of the first step; `None` before that step.
    started_at: Option<Time>,
    requests: RequestTable,
    queue: Queue,
    memory: Memory,
    outbound_calls: OutboundCalls,
    estimators: Estimators,
    /// Number of requests that may run at once; see `concurrency_limit`.
    concurrency_limit: f64,
    quota: Quota,
    backpressure: Backpressure,
    /// Whether the last [`Action::Health`] reported the worker as in service.
    is_in_service: bool,
    idle_connections: IdleConnections,
    drain: Option<Drain>,
}

impl Controller {
    /// Creates the controller of a worker that has just started. The seed is meant for random choices; this
    /// version makes none.
    ///
    /// # Errors
    /// The settings are unusable: no core, no class, a tick of zero, or a class without a latency objective
    /// or deadline.
    pub fn new(settings: Settings, _seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let settings = outbound_calls::without_limit_unless_shared(settings);
        Ok(Controller {
            now: Time(0),
            started_at: None,
            requests: RequestTable::default(),
            queue: Queue::default(),
            memory: Memory::default(),
            outbound_calls: OutboundCalls::default(),
            estimators: Estimators::new(&settings.classes),
            concurrency_limit: f64::from(settings.cores),
            quota: Quota::new(settings.tenants.len()),
            backpressure: Backpressure::default(),
            is_in_service: true,
            idle_connections: IdleConnections::new(settings.caller_idle),
            drain: None,
            settings,
        })
    }

    /// Replaces the settings. Known requests keep the index of their class. Class `i` inherits the service
    /// time measured for class `previous_classes[i]` of the old settings, or starts without one.
    /// [`Settings::cold`] keeps its old value, as that value states how the worker started.
    pub fn update_settings(&mut self, settings: Settings, previous_classes: &[Option<usize>]) {
        self.estimators.reindex_classes(previous_classes);
        self.quota.resize(settings.tenants.len());
        let settings = Settings { cold: self.settings.cold, ..settings };
        self.settings = outbound_calls::without_limit_unless_shared(settings);
    }

    /// Whether the first step was taken. The first step needs no event.
    pub fn is_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Processes all events of a batch, then decides; appends the actions that the worker has to carry out,
    /// in order.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        if self.started_at.is_none() {
            self.start(actions);
        }
        let elapsed_s = self.estimators.advance(now, self.requests.running);
        self.outbound_calls.advance(now, elapsed_s, self.settings.call_window);
        for event in events {
            self.on_event(event, actions);
        }
        self.start_calls(actions);
        self.enforce_memory_limit(actions);
        self.start_queued(actions);
        self.shed_queue(actions);
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.started_at = Some(self.now);
        self.estimators.start(self.now);
        actions.push(Action::Health { good: true, shallow: true });
        self.set_timer(actions);
    }

    fn on_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.on_request(request, actions),
            Event::CallerGone(id) => self.on_caller_gone(*id, actions),
            Event::Drain(stop) => self.on_drain(*stop, actions),
            Event::RunEnded(id, outcome) => self.on_run_ended(*id, *outcome),
            Event::CallRequested(id) => self.set_phase(*id, Phase::AwaitingCall),
            Event::CallEnded(id, outcome, duration) => self.on_call_ended(*id, *outcome, *duration, actions),
            Event::Timer(TIMER_ID, gauges) => self.on_timer(gauges, actions),
            Event::Timer(..) => {}
        }
    }

    fn set_timer(&self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer(TIMER_ID, self.timer_period()));
    }

    /// The longest time between two checks of the requests.
    fn timer_period(&self) -> Span {
        Span(self.settings.tick.0 * TIMER_PERIOD_TICKS)
    }

    fn on_timer(&mut self, gauges: &Gauges, actions: &mut Vec<Action>) {
        self.estimators.cores.update(gauges, self.requests.running, self.settings.cores);
        if gauges.runnable.is_some() && self.estimators.cores.idle > 0 {
            // With an idle core, a request that arrives now is read at once. Where callers' lists of workers
            // follow health, nothing else can end the read backlog, because no request arrives.
            self.note_read_delay(Span(0));
        }
        self.update_slowdown();
        self.memory.forget_expired(self.now);
        let elapsed = self.now - self.estimators.period_began;
        if elapsed >= self.estimators.period {
            self.close_period(elapsed.secs());
            self.announce(actions);
            self.adjust_idle_timeout(actions);
        }
        self.expire_requests(actions);
        self.set_timer(actions);
    }

    /// Ends a control period: updates the estimators, refills the quotas and recomputes the concurrency
    /// limit.
    fn close_period(&mut self, elapsed_s: f64) {
        self.backpressure.note_callers(self.requests.callers_waiting());
        if self.estimators.arrivals == 0.0 && self.requests.entries.is_empty() {
            self.note_read_delay(Span(0));
        }
        self.outbound_calls.sample_period(self.now, self.settings.call_window);
        self.estimators.close_period(self.now, elapsed_s);
        self.quota.refill(&self.settings.tenants, self.settings.cluster_size, elapsed_s);
        self.queue.forget_old_reads(self.now, self.settings.cache_ttl, self.estimators.latency_s);
        self.reset_concurrency_limit();
    }
}
