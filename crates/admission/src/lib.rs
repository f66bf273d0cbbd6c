//! Server-side admission control: what a worker takes, runs and turns away.
//!
//! A [`Controller`] lives inside one worker. Each period it resets a concurrency limit (MPL) from the
//! requests on the cores, their latency and the arrival rate; requests above it are turned away at once
//! while the cores are busy. It keeps no clock, thread or socket of its own: the worker hands it batches
//! of [`Event`]s and carries out the [`Action`]s it gets back. The simulator's adapter does that itself; the
//! booking node has the [`engine`] do it, and sees neither.
//!
//! ```
//! use gaugestand_admission::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         aim: Span::millis(500),
//!         aim_stretch: 0.0,
//!         deadline: Span::millis(2000),
//!         worth: 1.0,
//!         late_worth: 0.0,
//!         effect: Effect::Pure,
//!         dedup_window: Span(0),
//!         calls: false,
//!         skip_worth: 0.0,
//!     }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     worth_by: WorthBy::Request,
//!     fleet_size: 1,
//!     callers: 1,
//!     cores: 4,
//!     memory_kb: 65536.0,
//!     run_factor: 8.0,
//!     key_kb: 1.0,
//!     below: Below::Nothing,
//!     calls_out: 0.0,
//!     call_window: Span::millis(5000),
//!     call_lingers: Span(0),
//!     halt: Halt::Never,
//!     signal: Signal::Silent,
//!     heeded: Span(0),
//!     max_stay_away: Some(Span::millis(1000)),
//!     caller_idle: Span::millis(30000),
//!     fresh_for: Span(0),
//!     full_checks: false,
//!     list_follows: false,
//!     cold: false,
//!     cold_for: Span::millis(10000),
//!     cold_share: 0.3,
//!     crowd_window: Span::millis(3000),
//!     crowd_multiple: 8.0,
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
//!     key: None,
//!     deadline: None,
//!     hint: None,
//!     held_kb: 16.0,
//!     rank: 0.5,
//!     caller: 0,
//!     is_retry: false,
//!     unread_for: Span(0),
//!     prior: None,
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
