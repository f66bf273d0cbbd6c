//! Tests of the rules for the drain.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected};
use gaugestand_admission::*;

// The process stops at a fixed time. A request that is unanswered then is lost; one that arrives late must go
// elsewhere.
#[test]
fn a_drain_runs_nothing_after_the_grace_and_answers_everything_before_the_stop() {
    let mut host = Host::new(settings());
    for n in 1..=5 {
        host.arrive(request(n, (n % 3) as usize));
    }
    let stop = host.now + Span::millis(1500);
    let actions = host.step(vec![Event::Drain(stop)]);
    assert!(actions.iter().any(|a| matches!(a, Action::Health { good: false, .. })));
    host.advance(1100);
    let actions = host.arrive(request(9, 0));
    assert!(is_rejected(&actions, 9));
    host.advance(390);
    assert!(
        host.seen.values().all(|e| e.answers == 1),
        "a request was not answered exactly once before the stop"
    );
}

// A repeat is read so late that no timer comes before the stop. It must be answered on arrival.
#[test]
fn a_keyed_repeat_read_just_before_the_stop_is_answered() {
    let mut host = Host::new(settings());
    host.arrive(request(1, 1));
    host.step(vec![Event::Drain(host.now + Span::millis(500))]);
    host.advance(490);
    host.arrive(Request { original: Some(id(1)), ..request(2, 1) });
    assert_eq!(host.seen[&id(2)].answers, 1);
}

// Callers learn of the drain late, and the worker that replaces this one is not listed yet. Until the grace
// is over, requests that arrive are still run, so that no caller needs to hold them back.
#[test]
fn a_draining_worker_announces_capacity_until_the_grace_is_over() {
    let mut host = Host::new(Settings { backpressure_signal: BackpressureSignal::Allowance, ..settings() });
    host.gauges = Gauges { cpu_busy: Some(0.5), runnable: Some(1.0), ..Gauges::default() };
    host.advance(400);
    let actions = host.step(vec![Event::Drain(host.now + Span::millis(4000))]);
    assert!(actions.contains(&Action::Health { good: false, shallow: true }));
    let nothing_left = |actions: &[Action]| actions.contains(&Action::AnnounceCapacity(0.0));
    assert!(!nothing_left(&actions) && !nothing_left(&host.advance(800)));
    assert!(host.arrive(request(1, 0)).contains(&Action::Run(id(1))));
    assert!(nothing_left(&host.advance(600)));
}
