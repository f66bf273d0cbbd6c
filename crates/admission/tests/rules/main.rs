//! Tests each rule of the controller, and each failure found so far, through the public interface. There is
//! one module here for each module of the controller that decides.
#![allow(missing_docs)]

#[path = "../common/mod.rs"]
mod common;

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
mod settings;

use common::{Host, request, settings};
use gaugestand_admission::*;

pub fn id(n: u128) -> RequestId {
    RequestId(n)
}

/// Whether these actions reject the request with this id.
pub fn is_rejected(actions: &[Action], n: u128) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id, .. } if *id == RequestId(n)))
}

/// A host whose dependency has become slow, with many runs that wait at calls.
pub fn saturated_dependency(calls_of_class_2: bool) -> Host {
    let mut config = settings();
    config.downstream = Downstream::Shared;
    config.outbound_call_limit = 1.0;
    config.cores = 8;
    config.classes[2].calls = calls_of_class_2;
    let mut host = Host::new(config);
    for n in 1..=7 {
        host.arrive(request(n, 0));
    }
    host.step(vec![Event::CallRequested(id(1))]);
    host.step(vec![Event::CallEnded(id(1), Outcome::Ok, Span::millis(400))]);
    host.step((1..=7).map(|n| Event::CallRequested(id(n))).collect());
    host.arrive(request(8, 2));
    host
}
