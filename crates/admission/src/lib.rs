//! Server-side admission control: decides which requests a worker runs, queues and rejects.
//!
//! One [`Controller`] belongs to one worker. In each control period it recomputes the worker's concurrency
//! limit (MPL) from the number of running requests, their latency and the arrival rate; while the cores are
//! busy, requests above the limit are rejected at once. The controller has no clock, thread or socket of its
//! own: the worker passes it batches of [`Event`]s and carries out the [`Action`]s that it returns. The
//! simulator's adapter does this directly. The booking node uses the [`engine`], which passes the events and
//! carries out the actions for it.
//!
//! ```
//! use gaugestand_admission::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_objective: Span::millis(500),
//!         objective_stretch: 0.0,
//!         deadline: Span::millis(2000),
//!         priority_weight: 1.0,
//!         late_weight: 0.0,
//!         effect: Effect::Pure,
//!         dedup_window: Span(0),
//!         calls: false,
//!         skipped_call_weight: 0.0,
//!     }],
//!     tenants: vec![],
//!     over_quota_weight: 1.0,
//!     weight_by: WeightBy::Request,
//!     cluster_size: 1,
//!     callers: 1,
//!     cores: 4,
//!     memory_kb: 65536.0,
//!     running_memory_factor: 8.0,
//!     entry_kb: 1.0,
//!     downstream: Downstream::Nothing,
//!     outbound_call_limit: 0.0,
//!     call_window: Span::millis(5000),
//!     abandoned_call_duration: Span(0),
//!     preemption: Preemption::Never,
//!     backpressure_signal: BackpressureSignal::Silent,
//!     signal_retention: Span(0),
//!     max_retry_after: Some(Span::millis(1000)),
//!     caller_idle: Span::millis(30000),
//!     cache_ttl: Span(0),
//!     deep_health_checks: false,
//!     list_follows_health: false,
//!     cold: false,
//!     warmup_duration: Span::millis(10000),
//!     cold_speed_share: 0.3,
//!     concurrency_window: Span::millis(3000),
//!     survivable_runs_per_core: 8.0,
//!     drain_grace: Span::millis(2000),
//!     answer_slack: Span::millis(60),
//!     tick: Span::millis(5),
//! };
//! let mut controller = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let request = Request {
//!     id: RequestId(1),
//!     class: 0,
//!     tenant: 0,
//!     resource_key: None,
//!     deadline: None,
//!     work_hint: None,
//!     queued_kb: 16.0,
//!     shed_order: 0.5,
//!     caller: 0,
//!     is_retry: false,
//!     read_delay: Span(0),
//!     original: None,
//! };
//! controller.step(Time(0), &[Event::Request(request)], &mut actions);
//! assert!(actions.contains(&Action::Run(RequestId(1))));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

pub mod classes;
mod controller;
pub mod engine;
pub mod handover;
pub mod idempotency;
mod interface;
pub mod log_record;
pub mod time;

pub use controller::Controller;
pub use interface::*;
pub use time::{Span, Time};
