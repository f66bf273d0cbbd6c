//! Tests of the rules for the conclusions from service times, the ages of runs, and missing completions.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected};
use gaugestand_admission::*;

// Some requests hint at far less work than they take. If the ratio of work to hint of these requests were
// applied to ordinary ones, ordinary requests would look too long to start.
#[test]
fn too_small_work_hints_do_not_keep_other_requests_from_starting() {
    let mut host = Host::new(settings());
    for n in 1..=60 {
        let mut arrival = request(n, 0);
        arrival.work_hint = Some(if n % 4 == 0 { Span::millis(1) } else { Span::millis(200) });
        host.arrive(arrival);
        host.advance(100);
        host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    let mut big = request(100, 0);
    big.work_hint = Some(Span::millis(300));
    host.arrive(request(99, 0));
    assert!(host.arrive(big).contains(&Action::Run(id(100))));
}

// The cores become slow, so that no run ends that would show the slowdown. If the controller relied on the
// earlier service times, it would admit requests that end too late.
#[test]
fn slow_cores_are_detected_although_no_run_ends() {
    let mut host = Host::new(settings());
    for n in 1..=20 {
        host.arrive(request(n, 0));
        host.advance(100);
        host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    for n in 21..=60 {
        host.arrive(request(n, 0));
        host.advance(100);
    }
    let mut last = request(99, 0);
    last.read_delay = Span::millis(300);
    assert!(is_rejected(&host.arrive(last), 99));
}

// If the time in which nothing runs counted as a hang, the first requests after a start or a pause would be
// rejected as soon as the cores are full, and their callers would be sent away for a second.
#[test]
fn missing_completions_count_as_a_stall_only_while_requests_run() {
    let mut host = Host::new(settings());
    host.step(vec![]);
    host.advance(5000);
    let mut actions = vec![];
    for n in 1..=3 {
        actions.extend(host.arrive(request(n, 0)));
    }
    actions.extend(host.advance(100));
    let shows_a_stall = |a: &Action| matches!(a, Action::Reject { .. } | Action::Health { good: false, .. });
    assert!(!actions.iter().any(shows_a_stall), "{actions:?}");
    assert!(
        host.advance(900).contains(&Action::Health { good: false, shallow: true }),
        "a worker whose runs do not end must count as stalled"
    );
    assert!(is_rejected(&host.arrive(request(4, 0)), 4));
}
