//! The types that pass between a worker and its [`Controller`](crate::Controller).
//!
//! Nothing here decides anything: settings and events go in, actions come out.

mod actions;
mod events;
mod settings;

pub use actions::Action;
pub use events::{Event, Gauges, Outcome, Request, RequestId};
pub use settings::{
    BackpressureSignal, Class, Downstream, Effect, Preemption, Settings, SettingsError, Tenant, WeightBy,
};
