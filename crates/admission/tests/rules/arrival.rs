//! Tests of the rules for the arrival of a request.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected};
use gaugestand_admission::*;

// A caller states a shorter deadline than its class has. It would be gone if the answer came by the deadline
// of the class.
#[test]
fn a_deadline_stated_in_the_request_overrides_that_of_the_class() {
    let mut host = Host::new(settings());
    let mut arrival = request(1, 0);
    arrival.deadline = Some(host.now + Span::millis(300));
    host.arrive(arrival);
    host.advance(365);
    host.assert_none_overdue();
}

// A request was unread for longer than its caller waits. It has expired when it arrives and must not be
// queued.
#[test]
fn a_request_read_after_its_deadline_is_answered_at_once() {
    let mut host = Host::new(settings());
    let mut arrival = request(1, 0);
    arrival.read_delay = Span::millis(4000);
    assert!(is_rejected(&host.arrive(arrival), 1));
}

// A caller repeats a booking during the run of the first attempt, and again after that run. A second run
// would book twice.
#[test]
fn a_keyed_repeat_is_answered_from_the_first_run() {
    let mut host = Host::new(settings());
    let mut repeat = request(2, 1);
    repeat.original = Some(id(1));
    let actions = host.step(vec![Event::Request(request(1, 1)), Event::Request(repeat)]);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Remember(k, w) if *k == id(1) && *w >= Span::millis(5000)))
    );
    assert!(actions.contains(&Action::Run(id(1))) && actions.contains(&Action::Coalesce(id(2))));
    host.step(vec![Event::RunEnded(id(1), Outcome::Ok), Event::RunEnded(id(2), Outcome::Ok)]);
    let mut late = request(3, 1);
    late.original = Some(id(1));
    let actions = host.arrive(late);
    assert!(actions.contains(&Action::Coalesce(id(3))) && !actions.contains(&Action::Run(id(3))));
}

// The queue is full of retries, which have little time left. A first attempt must not be shed in favour of
// them.
#[test]
fn a_first_attempt_takes_the_place_of_a_retry_of_equal_weight() {
    let mut host = Host::with_busy_cores(settings(), None);
    for n in 1..=10 {
        host.arrive(Request { is_retry: true, ..request(n, 0) });
    }
    assert!(!is_rejected(&host.arrive(request(99, 0)), 99));
}
