//! The types exchanged between a worker and its [`Controller`](crate::Controller): the worker passes in
//! settings and events, and the controller returns actions.
//!
//! These modules hold data only; they make no decisions.

mod actions;
mod events;
mod settings;

pub use actions::Action;
pub use events::{Event, Gauges, Outcome, Request, RequestId};
pub use settings::{
    BackpressureSignal, Class, Downstream, Effect, Preemption, Settings, SettingsError, Tenant, WeightBy,
};
