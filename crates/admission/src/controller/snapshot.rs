//! The stored form of the controller, which is part of the frames that one process of a node sends to its
//! successor in a hand-over.
//!
//! The two processes may be of different versions. The format (CBOR through serde: field names, their order
//! and nesting) therefore stays as the first version wrote it, however the code names and groups its state.
//! `#[serde(rename)]` maps the names in this module; `RequestEntry` and `Phase`, which have the structure of
//! the stored form, map their names themselves. After a change here,
//! `the_frames_of_a_handover_keep_their_bytes` in `crates/node/tests/stored_forms.rs` must still pass.
//!
//! Unknown fields are skipped, as a newer version may have written them. A missing field is an error, upon
//! which the hand-over is abandoned.

use super::Controller;
use super::backpressure::Backpressure;
use super::drain::Drain;
use super::estimators::{CoreGauges, Estimators, ServiceTime};
use super::idle_connections::IdleConnections;
use super::memory::Memory;
use super::outbound_calls::{OutboundCalls, ReplyTimes};
use super::queue::{Queue, QueueKey, ReadCount};
use super::quota::Quota;
use super::requests::{RequestEntry, RequestTable};
use crate::interface::{RequestId, Settings};
use crate::time::{Span, Time};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A queue key: negated priority, arrival time, request id.
type StoredQueueKey = (i32, Time, RequestId);

/// For each resource key and class, the number of recent reads and the time of the last read.
type StoredReadCounts = BTreeMap<(u64, usize), (f64, Time)>;

/// Stored form of [`Controller`]. The order of the fields is part of the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ControllerSnapshot {
    #[serde(rename = "s")]
    settings: Settings,
    now: Time,
    #[serde(rename = "born")]
    started_at: Option<Time>,
    requests: BTreeMap<RequestId, RequestEntry>,
    #[serde(rename = "hold")]
    queue_order: BTreeSet<StoredQueueKey>,
    #[serde(rename = "watch")]
    expiry: BTreeSet<(Time, RequestId)>,
    #[serde(rename = "kept")]
    remembered: BTreeSet<(Time, RequestId)>,
    #[serde(rename = "popular")]
    recent_reads: StoredReadCounts,
    #[serde(rename = "memory_kb")]
    requests_kb: f64,
    #[serde(rename = "on_cores")]
    running: usize,
    #[serde(rename = "away")]
    at_calls: usize,
    #[serde(rename = "calls")]
    outbound_calls: OutboundCallsSnapshot,
    #[serde(rename = "est")]
    estimators: EstimatorsSnapshot,
    #[serde(rename = "cap")]
    concurrency_limit: f64,
    tokens: Vec<f64>,
    announced: f64,
    #[serde(rename = "healthy")]
    is_in_service: bool,
    /// The idle timeout and the announced idle timeout, in seconds.
    #[serde(rename = "idle")]
    idle_connections: (f64, f64),
    /// The fields of `Drain`: the last arrival time of requests that are run, and the time by which all
    /// requests are answered.
    drain: Option<(Time, Time)>,
}

/// Stored form of [`OutboundCalls`]. The order of the fields is part of the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct OutboundCallsSnapshot {
    waiting: BTreeSet<StoredQueueKey>,
    #[serde(rename = "out")]
    in_flight: usize,
    #[serde(rename = "lingering")]
    abandoned: Vec<Time>,
    #[serde(rename = "mean")]
    mean_outstanding: f64,
    #[serde(rename = "spent")]
    call_seconds: f64,
    #[serde(rename = "marks")]
    period_samples: VecDeque<(Time, f64)>,
    /// Recent mean and lowest mean of the reply time, in seconds.
    #[serde(rename = "lag")]
    reply_times: Option<(f64, f64)>,
}

/// Stored form of [`Estimators`] and of what [`Backpressure`] measures. The order of the fields is part of
/// the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EstimatorsSnapshot {
    period: Span,
    period_began: Time,
    #[serde(rename = "last")]
    updated_at: Time,
    #[serde(rename = "ne_integral")]
    running_integral: f64,
    arrivals: f64,
    #[serde(rename = "ne")]
    mean_running: f64,
    #[serde(rename = "ti")]
    arrival_rate: f64,
    #[serde(rename = "latency")]
    latency_s: f64,
    #[serde(rename = "uncrowded")]
    uncontended_latency_s: f64,
    #[serde(rename = "aim")]
    latency_objective_s: f64,
    #[serde(rename = "refused_share")]
    rejected_fraction: f64,
    #[serde(rename = "senders")]
    callers: f64,
    #[serde(rename = "unread")]
    read_delay_s: f64,
    #[serde(rename = "swamped")]
    is_backlogged: bool,
    /// Mean run time in seconds and mean size of each class.
    #[serde(rename = "runs")]
    service_times: Vec<Option<(f64, f64)>>,
    slowdown: f64,
    #[serde(rename = "last_end")]
    last_completion: Time,
    busy: f64,
    runnable: f64,
    #[serde(rename = "free")]
    idle: usize,
}

impl From<Controller> for ControllerSnapshot {
    fn from(controller: Controller) -> Self {
        let Controller { requests, queue, memory, backpressure, idle_connections, .. } = controller;
        ControllerSnapshot {
            settings: controller.settings,
            now: controller.now,
            started_at: controller.started_at,
            requests: requests.entries,
            queue_order: store_keys(queue.order),
            expiry: queue.expiry,
            remembered: memory.remembered,
            recent_reads: store_read_counts(queue.recent_reads),
            requests_kb: memory.requests_kb,
            running: requests.running,
            at_calls: requests.at_calls,
            outbound_calls: controller.outbound_calls.into(),
            announced: backpressure.announced,
            estimators: EstimatorsSnapshot::new(controller.estimators, &backpressure),
            concurrency_limit: controller.concurrency_limit,
            tokens: controller.quota.tokens,
            is_in_service: controller.is_in_service,
            idle_connections: (idle_connections.timeout_s, idle_connections.announced_s),
            drain: controller.drain.map(|drain| (drain.last_arrival, drain.answer_by)),
        }
    }
}

impl From<ControllerSnapshot> for Controller {
    fn from(stored: ControllerSnapshot) -> Self {
        let (timeout_s, announced_s) = stored.idle_connections;
        Controller {
            settings: stored.settings,
            now: stored.now,
            started_at: stored.started_at,
            requests: RequestTable {
                entries: stored.requests,
                running: stored.running,
                at_calls: stored.at_calls,
            },
            queue: Queue {
                order: restore_keys(stored.queue_order),
                expiry: stored.expiry,
                recent_reads: restore_read_counts(stored.recent_reads),
            },
            memory: Memory { requests_kb: stored.requests_kb, remembered: stored.remembered },
            outbound_calls: stored.outbound_calls.into(),
            backpressure: stored.estimators.backpressure(stored.announced),
            estimators: stored.estimators.into(),
            concurrency_limit: stored.concurrency_limit,
            quota: Quota { tokens: stored.tokens },
            is_in_service: stored.is_in_service,
            idle_connections: IdleConnections { timeout_s, announced_s },
            drain: stored.drain.map(|(last_arrival, answer_by)| Drain { last_arrival, answer_by }),
        }
    }
}

impl From<OutboundCalls> for OutboundCallsSnapshot {
    fn from(calls: OutboundCalls) -> Self {
        OutboundCallsSnapshot {
            waiting: store_keys(calls.waiting),
            in_flight: calls.in_flight,
            abandoned: calls.abandoned,
            mean_outstanding: calls.mean_outstanding,
            call_seconds: calls.call_seconds,
            period_samples: calls.period_samples,
            reply_times: calls.reply_times.map(|times| (times.recent_mean_s, times.lowest_mean_s)),
        }
    }
}

impl From<OutboundCallsSnapshot> for OutboundCalls {
    fn from(stored: OutboundCallsSnapshot) -> Self {
        OutboundCalls {
            waiting: restore_keys(stored.waiting),
            in_flight: stored.in_flight,
            abandoned: stored.abandoned,
            mean_outstanding: stored.mean_outstanding,
            call_seconds: stored.call_seconds,
            period_samples: stored.period_samples,
            reply_times: stored
                .reply_times
                .map(|(recent_mean_s, lowest_mean_s)| ReplyTimes { recent_mean_s, lowest_mean_s }),
        }
    }
}

impl EstimatorsSnapshot {
    fn new(estimators: Estimators, backpressure: &Backpressure) -> Self {
        let service_times = estimators.service_times.into_iter();
        EstimatorsSnapshot {
            period: estimators.period,
            period_began: estimators.period_began,
            updated_at: estimators.updated_at,
            running_integral: estimators.running_integral,
            arrivals: estimators.arrivals,
            mean_running: estimators.mean_running,
            arrival_rate: estimators.arrival_rate,
            latency_s: estimators.latency_s,
            uncontended_latency_s: estimators.uncontended_latency_s,
            latency_objective_s: estimators.latency_objective_s,
            rejected_fraction: backpressure.rejected_fraction,
            callers: backpressure.callers,
            read_delay_s: backpressure.read_delay_s,
            is_backlogged: backpressure.is_backlogged,
            service_times: service_times.map(|class| class.map(|mean| (mean.run_s, mean.size))).collect(),
            slowdown: estimators.slowdown,
            last_completion: estimators.last_completion,
            busy: estimators.cores.busy,
            runnable: estimators.cores.runnable,
            idle: estimators.cores.idle,
        }
    }

    fn backpressure(&self, announced: f64) -> Backpressure {
        Backpressure {
            rejected_fraction: self.rejected_fraction,
            callers: self.callers,
            read_delay_s: self.read_delay_s,
            is_backlogged: self.is_backlogged,
            announced,
        }
    }
}

impl From<EstimatorsSnapshot> for Estimators {
    fn from(stored: EstimatorsSnapshot) -> Self {
        let service_times = stored.service_times.into_iter();
        Estimators {
            period: stored.period,
            period_began: stored.period_began,
            updated_at: stored.updated_at,
            running_integral: stored.running_integral,
            arrivals: stored.arrivals,
            mean_running: stored.mean_running,
            arrival_rate: stored.arrival_rate,
            latency_s: stored.latency_s,
            uncontended_latency_s: stored.uncontended_latency_s,
            latency_objective_s: stored.latency_objective_s,
            service_times: service_times
                .map(|class| class.map(|(run_s, size)| ServiceTime { run_s, size }))
                .collect(),
            slowdown: stored.slowdown,
            last_completion: stored.last_completion,
            cores: CoreGauges { busy: stored.busy, runnable: stored.runnable, idle: stored.idle },
        }
    }
}

fn store_keys(keys: BTreeSet<QueueKey>) -> BTreeSet<StoredQueueKey> {
    keys.into_iter().map(|key| (-key.priority.0, key.arrived_at, key.id)).collect()
}

fn restore_keys(stored: BTreeSet<StoredQueueKey>) -> BTreeSet<QueueKey> {
    let key =
        |(negated, arrived_at, id): StoredQueueKey| QueueKey { priority: Reverse(-negated), arrived_at, id };
    stored.into_iter().map(key).collect()
}

fn store_read_counts(counts: BTreeMap<(u64, usize), ReadCount>) -> StoredReadCounts {
    counts.into_iter().map(|(key, count)| (key, (count.reads, count.last_read))).collect()
}

fn restore_read_counts(stored: StoredReadCounts) -> BTreeMap<(u64, usize), ReadCount> {
    stored.into_iter().map(|(key, (reads, last_read))| (key, ReadCount { reads, last_read })).collect()
}
