//! Order, expiry and shedding of the admission queue.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected};
use gaugestand_admission::*;

// Runs hang and the queue stands still. What waits in it must not wait past its deadline unheard.
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

// The cores are busy and no run ends. What would wait in vain hears at once, with when to come back.
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

// The queue is full of requests of low priority. One of high priority must not be shed for having come later.
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

// Two cores start few requests in a given time. A queue in proportion would have no place for ordinary scatter.
#[test]
fn a_few_requests_may_wait_on_two_busy_cores() {
    let mut host = Host::with_busy_cores(settings(), Some(2.0));
    let mut actions = vec![];
    for n in 1..=6 {
        actions.extend(host.arrive(request(n, 0)));
    }
    assert!(!actions.iter().any(|a| matches!(a, Action::Reject { .. })));
}

// Less time is left than a mean run takes. Started, it would take the cores from one that can be in time.
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
    assert!(is_rejected(&host.arrive(arrival.clone()), 98), "less than a mean run is left");
    arrival.id = id(99);
    arrival.read_delay = Span::millis(200);
    assert!(host.arrive(arrival).contains(&Action::Run(id(99))));
}

// The queue has places but moves so slowly that its last one would start too late. It should hear now, not then.
#[test]
fn the_last_in_the_queue_is_rejected_at_once_where_its_wait_would_miss_its_objective() {
    let mut host = Host::new(settings());
    host.gauges = Gauges { cpu_busy: Some(1.0), runnable: Some(2.0), ..Gauges::default() };
    host.step(vec![]);
    for n in 1..=20 {
        host.arrive(request(n, 0));
        host.advance(600);
        host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    // Two run, for 0.6 s; of four in the queue the last would start after more than its objective of a second.
    let rejected: Vec<bool> = (21..=26).map(|n| is_rejected(&host.arrive(request(n, 0)), n)).collect();
    assert_eq!(rejected, [false, false, false, false, true, true]);
}

// A late answer still counts something. On busy cores, a request kept for it would take the place of one in time.
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
        assert_eq!(!is_rejected(&actions, 3), stays, "at {busy} busy");
    }
}

/// A worker where one answer serves other reads of the same key, with both cores taken and four queued.
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

// Many callers read the same key. One run would serve them all; it must not be shed for one that serves a single
// caller.
#[test]
fn a_read_that_many_request_takes_the_place_of_one_that_few_do() {
    let (mut host, mut popular) = busy_with_reads();
    assert!(is_rejected(&host.arrive(popular.clone()), 50));
    popular.id = id(51);
    assert!(!is_rejected(&host.arrive(popular), 51));
}
