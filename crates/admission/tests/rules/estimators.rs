//! What the controller concludes from service times, ages and silence.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected};
use gaugestand_admission::*;

// Some requests hint at far less work than they take. By their ratio, ordinary ones would look too long to start.
#[test]
fn small_hints_do_not_make_everything_look_too_late() {
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

// The cores become slow, so that no run ends to tell of it. Service times of before would admit what comes too late.
#[test]
fn slow_cores_are_noticed_though_no_run_ends() {
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

// The time in which nothing ran was taken for a hang: the first requests after a start or a pause were rejected, and
// their callers sent away for a second, as soon as the cores were full.
#[test]
fn silence_is_a_sign_of_a_stall_only_while_there_is_work() {
    let mut host = Host::new(settings());
    host.step(vec![]);
    host.advance(5000);
    let mut actions = vec![];
    for n in 1..=3 {
        actions.extend(host.arrive(request(n, 0)));
    }
    actions.extend(host.advance(100));
    let is_unwell = |a: &Action| matches!(a, Action::Reject { .. } | Action::Health { good: false, .. });
    assert!(!actions.iter().any(is_unwell), "{actions:?}");
    assert!(host.advance(900).contains(&Action::Health { good: false, shallow: true }), "now it is stalled");
    assert!(is_rejected(&host.arrive(request(4, 0)), 4));
}
