//! Tests of the rules for the order of the admission queue, expiry and load shedding.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected};
use gaugestand_admission::*;

// Runs hang and the queue does not move. Requests in it must be answered by their deadline.
#[test]
fn a_queued_request_is_rejected_when_it_can_no_longer_be_answered_in_time() {
    let mut host = Host::new(settings());
    for n in 1..=6 {
        host.arrive(request(n, 0));
    }
    assert_eq!(host.running(), 2, "the limit starts at the core count");
    host.advance(3100);
    host.assert_none_overdue();
    assert!(host.seen[&id(6)].is_rejected);
}

// The cores are busy and no run ends. Requests that could not start in time are rejected at once, with a
// Retry-After.
#[test]
fn arrivals_over_the_limit_are_rejected_at_once_while_the_cores_are_busy() {
    let mut host = Host::with_busy_cores(settings(), Some(4.0));
    let mut actions = vec![];
    for n in 1..=30 {
        actions.extend(host.arrive(request(n, 0)));
    }
    let rejections = actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert!(rejections >= 24, "{rejections} rejected");
    let advised = |a: &Action| match a {
        Action::Reject { retry_after, .. } => retry_after.0 > 0,
        _ => true,
    };
    assert!(actions.iter().all(advised));
}

// The queue is full of requests of low priority. One of high priority must not be shed because it arrived
// later.
#[test]
fn an_arrival_of_high_priority_takes_the_place_of_a_queued_one_of_low_priority() {
    let mut config = settings();
    config.classes[2].priority_weight = 10.0;
    let mut host = Host::with_busy_cores(config, None);
    for n in 1..=10 {
        host.arrive(request(n, 0));
    }
    let actions = host.arrive(request(99, 2));
    assert!(!is_rejected(&actions, 99) && actions.iter().any(|a| matches!(a, Action::Reject { .. })));
}

// Two cores start few requests in a given time. A proportional queue would be too short for the ordinary
// variation of arrivals.
#[test]
fn a_few_requests_may_wait_on_two_busy_cores() {
    let mut host = Host::with_busy_cores(settings(), Some(2.0));
    let mut actions = vec![];
    for n in 1..=6 {
        actions.extend(host.arrive(request(n, 0)));
    }
    assert!(!actions.iter().any(|a| matches!(a, Action::Reject { .. })));
}

// Less time is left than a mean run takes. If the request started, it would take the cores from a request
// that can be answered in time.
#[test]
fn a_run_that_would_most_likely_end_late_is_not_started() {
    let mut host = Host::new(settings());
    for n in 1..=60 {
        host.arrive(request(n, 0));
        host.advance(300);
        host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    host.arrive(request(97, 0));
    let mut arrival = request(98, 0);
    arrival.read_delay = Span::millis(760);
    assert!(
        is_rejected(&host.arrive(arrival.clone()), 98),
        "a request with less time left than a mean run takes must be rejected"
    );
    arrival.id = id(99);
    arrival.read_delay = Span::millis(200);
    assert!(host.arrive(arrival).contains(&Action::Run(id(99))));
}

// The queue has capacity but moves so slowly that the last request would start too late. It should be
// rejected on arrival.
#[test]
fn the_last_request_in_the_queue_is_rejected_at_once_if_its_wait_would_miss_its_objective() {
    let mut host = Host::new(settings());
    host.gauges = Gauges { cpu_busy: Some(1.0), runnable: Some(2.0), ..Gauges::default() };
    host.step(vec![]);
    for n in 1..=20 {
        host.arrive(request(n, 0));
        host.advance(600);
        host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    // Two requests run at a time, for 0.6 s each; of four requests in the queue, the last would start later
    // than its objective of a second.
    let rejected: Vec<bool> = (21..=26).map(|n| is_rejected(&host.arrive(request(n, 0)), n)).collect();
    assert_eq!(rejected, [false, false, false, false, true, true]);
}

// A late answer still has some weight. With busy cores, a request that is kept for a late answer would
// displace one that can be answered in time.
#[test]
fn late_weight_keeps_a_request_queued_only_while_cores_are_free() {
    for (busy, stays) in [(0.2, true), (1.0, false)] {
        let mut config = settings();
        config.classes[0].late_weight = 0.2;
        let mut host = Host::new(config);
        host.gauges.cpu_busy = Some(busy);
        host.gauges.runnable = Some(2.0);
        host.step(vec![]);
        host.advance(20);
        for n in 1..=2 {
            host.arrive(request(n, 2));
        }
        host.arrive(request(3, 0));
        host.advance(5);
        let actions = host.advance(1100);
        assert_eq!(!is_rejected(&actions, 3), stays, "with {busy} of the cores busy");
    }
}

/// A host where one answer serves other reads of the same key, with both cores in use and four requests
/// queued.
fn busy_with_reads() -> (Host, Request) {
    let mut config = settings();
    config.cache_ttl = Span::millis(600);
    config.callers = 10;
    let mut host = Host::with_busy_cores(config, Some(4.0));
    for n in 1..=6 {
        let mut arrival = request(n, 0);
        arrival.resource_key = Some(n as u64);
        host.arrive(arrival);
    }
    let mut popular = request(50, 0);
    popular.resource_key = Some(99);
    (host, popular)
}

// Many callers read the same key. One run would serve all of them; it must not be shed in favour of a run
// that serves a single caller.
#[test]
fn a_read_that_many_callers_request_displaces_one_that_few_request() {
    let (mut host, mut popular) = busy_with_reads();
    assert!(is_rejected(&host.arrive(popular.clone()), 50));
    popular.id = id(51);
    assert!(!is_rejected(&host.arrive(popular), 51));
}
