//! Tests of the rules for outbound calls to the dependency.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected, saturated_dependency};
use gaugestand_admission::*;

/// Length of the host's steps, in seconds.
const TICK_S: f64 = 0.005;

// A call with an effect fails. Unless its outcome proves that the call never ran, a retry could repeat the
// effect.
#[test]
fn a_call_with_an_effect_is_retried_only_if_it_never_ran() {
    for (outcome, is_retried) in [
        (Outcome::Overloaded, true),
        (Outcome::Unreachable, true),
        (Outcome::Error, false),
        (Outcome::TimedOut, false),
        (Outcome::Reset, false),
    ] {
        let mut host = Host::new(settings());
        host.arrive(request(1, 2));
        host.step(vec![Event::CallRequested(id(1))]);
        let mut actions = host.step(vec![Event::CallEnded(id(1), outcome, Span::millis(10))]);
        // The retry follows after a pause.
        actions.extend(host.advance(50));
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Call(..))), is_retried, "{outcome:?}");
    }
}

// A dependency survives less than one concurrent call of this worker. Calls must still be made, with pauses
// between them.
#[test]
fn calls_stay_under_a_limit_below_one() {
    let mut config = settings();
    config.downstream = Downstream::Shared;
    config.outbound_call_limit = 0.4;
    let mut host = Host::new(config);
    let mut in_flight_ms = 0u64;
    let mut elapsed_ms = 0u64;
    for n in 1..=400 {
        let mut events = vec![Event::Request(request(n, 0))];
        let running = host.ids(|request| request.is_on_cores && request.answers == 0);
        events.extend(running.into_iter().map(Event::CallRequested));
        let in_flight = host.ids(|request| request.is_call_in_flight);
        in_flight_ms += 50 * in_flight.len() as u64;
        events.extend(in_flight.iter().map(|id| Event::CallEnded(*id, Outcome::Ok, Span::millis(50))));
        host.step(events);
        host.advance(50);
        elapsed_ms += 50;
    }
    assert!(in_flight_ms > 0, "no call was made");
    assert!(
        (in_flight_ms as f64 / elapsed_ms as f64) < 0.4,
        "a call was in flight for {in_flight_ms} of {elapsed_ms} ms"
    );
}

// Many runs wait for calls. One more run would wait for its call until it is too late, and its work would be
// lost.
#[test]
fn a_request_that_cannot_make_its_call_in_time_is_rejected_before_it_runs() {
    let mut host = saturated_dependency(true);
    assert!(is_rejected(&host.arrive(request(9, 0)), 9));
    assert_eq!(host.seen[&id(9)].runs, 0);
}

// A caller is gone while its call is in flight. The dependency may still work on that call, so that another
// call made at once would exceed the limit.
#[test]
fn a_call_abandoned_with_its_request_still_counts_as_outstanding() {
    let mut config = settings();
    config.downstream = Downstream::Shared;
    config.outbound_call_limit = 1.0;
    let mut host = Host::new(config);
    let calls = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Call(..)));
    host.arrive(request(1, 0));
    host.arrive(request(2, 0));
    assert!(calls(&host.step(vec![Event::CallRequested(id(1))])));
    host.step(vec![Event::CallerGone(id(1)), Event::RunEnded(id(1), Outcome::Cancelled)]);
    assert!(
        !calls(&host.step(vec![Event::CallRequested(id(2))])),
        "the dependency may still work on the first call"
    );
    assert!(calls(&host.advance(250)));
}

/// Calls are fast at first; then each hangs until it is abandoned, and the dependency works on it for a while
/// longer. Returns the highest mean of outstanding calls over any window, as a share of the limit, and the
/// number of calls.
fn highest_call_load(limit: f64) -> (f64, usize) {
    let mut config = settings();
    config.downstream = Downstream::Shared;
    config.outbound_call_limit = limit;
    config.classes[0].latency_objective = Span::millis(3000);
    config.classes[0].deadline = Span::millis(9000);
    let window = config.call_window;
    let abandoned_for = config.abandoned_call_duration;
    let mut host = Host::new(config);
    host.gauges = Gauges { cpu_busy: Some(0.1), runnable: Some(0.0), ..Gauges::default() };
    // Calls in flight, each with the time at which it began and the time at which it is abandoned.
    let mut in_flight: Vec<(RequestId, Time, Time)> = vec![];
    // Time at which the dependency has finished each abandoned call.
    let mut abandoned: Vec<Time> = vec![];
    let mut outstanding = std::collections::VecDeque::new();
    let mut highest = 0.0f64;
    let mut calls = 0;
    for n in 1..=6000u128 {
        host.now = host.now + Span::millis(5);
        let is_quick = n < 2000;
        let uncalled = host.ids(|request| request.is_on_cores && request.last_call.is_none());
        let mut events: Vec<Event> = uncalled.into_iter().map(Event::CallRequested).collect();
        let now = host.now;
        let has_ended = |(_, began, deadline): &mut (RequestId, Time, Time)| {
            *deadline <= now || is_quick && *began + Span::millis(20) <= now
        };
        for (id, began, deadline) in in_flight.extract_if(.., has_ended) {
            let outcome = if deadline <= now { Outcome::TimedOut } else { Outcome::Ok };
            if outcome == Outcome::TimedOut {
                abandoned.push(now + abandoned_for);
            }
            if host.seen[&id].answers == 0 {
                events.push(Event::CallEnded(id, outcome, now - began));
            }
        }
        let called = host.ids(|request| request.is_on_cores && request.last_call == Some(Outcome::Ok));
        events.extend(called.iter().map(|id| Event::RunEnded(*id, Outcome::Ok)));
        if n % 20 == 0 {
            events.push(Event::Request(request(n, 0)));
        }
        for action in host.step(events) {
            if let Action::Call(id, deadline) = action {
                in_flight.push((id, now, deadline));
                calls += 1;
            }
        }
        abandoned.retain(|over_at| *over_at > now);
        outstanding.push_back(in_flight.len() + abandoned.len());
        if outstanding.len() as f64 * TICK_S > window.secs() {
            outstanding.pop_front();
        }
        let mean = outstanding.iter().sum::<usize>() as f64 * TICK_S / window.secs();
        highest = highest.max(mean / limit);
        if n % 500 == 0 {
            host.seen.retain(|_, request| request.answers == 0);
        }
    }
    (highest, calls)
}

// Calls are fast, then every one hangs. Calls made at the former rate would overload the dependency.
#[test]
fn the_dependency_never_gets_more_than_its_limit_even_when_every_call_hangs() {
    for limit in [0.15, 0.3, 0.6, 1.0, 3.0] {
        let (highest, calls) = highest_call_load(limit);
        assert!(highest < 1.0, "a mean of {highest} of the limit {limit}");
        assert!(calls > 20, "{calls} calls at a limit of {limit}");
    }
}

// Calls may come in bursts, but their mean is limited. If the expected wait were computed from the peak of a
// burst, requests would be admitted that end too late.
#[test]
fn the_expected_wait_for_a_call_follows_from_the_allowed_mean_not_from_the_peak() {
    let mut config = settings();
    config.downstream = Downstream::Shared;
    config.outbound_call_limit = 0.5;
    config.preemption = Preemption::Never;
    config.classes[0].latency_objective = Span::millis(4000);
    config.classes[0].deadline = Span::millis(9000);
    let mut host = Host::new(config);
    host.gauges = Gauges { cpu_busy: Some(0.1), runnable: Some(0.0), ..Gauges::default() };
    for n in 1..=10 {
        host.arrive(request(n, 0));
        host.advance(50);
        host.step(vec![Event::CallRequested(id(n)), Event::CallEnded(id(n), Outcome::Ok, Span::millis(500))]);
        host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    // Three requests wait. Calls take half a second each, and the allowed mean is a quarter of an outstanding
    // call, so that a fourth request would wait for over six seconds.
    for n in 11..=14 {
        host.arrive(request(n, 0));
        host.step(vec![Event::CallRequested(id(n))]);
    }
    assert!(is_rejected(&host.arrive(request(15, 0)), 15));
}

// Without the pause, a dependency that fails calls at once is called again on every reply: a single crash of
// the dependency caused thousands of calls within seconds.
#[test]
fn a_failed_call_is_retried_after_a_pause_that_grows() {
    let mut host = Host::new(Settings { downstream: Downstream::Tier, ..settings() });
    host.arrive(request(1, 0));
    let mut made = 0;
    let called = |actions: Vec<Action>| actions.iter().any(|a| matches!(a, Action::Call(RequestId(1), _)));
    let mut is_called = called(host.step(vec![Event::CallRequested(RequestId(1))]));
    assert!(is_called, "the first call must be made at once");
    for _ in 0..100 {
        if std::mem::take(&mut is_called) {
            made += 1;
            let unreachable = Event::CallEnded(RequestId(1), Outcome::Unreachable, Span(0));
            assert!(!called(host.step(vec![unreachable])), "a failed call was retried without a pause");
        }
        is_called = called(host.advance(5));
    }
    assert!((4..=10).contains(&made), "{made} calls in half an objective");
}

// A reply never comes. Without the timeout, a call that could be retried would wait for this reply until its
// request has no time left.
#[test]
fn a_call_that_may_be_retried_times_out_after_a_few_mean_reply_times_and_later_on_its_retry() {
    let mut host = Host::new(Settings { downstream: Downstream::Tier, ..settings() });
    let timeout = |host: &mut Host, event| {
        let now = host.now;
        let until_deadline = |action: &Action| match action {
            Action::Call(_, deadline) => Some(*deadline - now),
            _ => None,
        };
        host.step(vec![event]).iter().find_map(until_deadline).expect("a call was made")
    };
    let latency_objective = Span::millis(1000);
    let retryable_timeout = Span::millis(80);
    host.arrive(request(1, 0));
    assert_eq!(
        timeout(&mut host, Event::CallRequested(id(1))),
        latency_objective,
        "without a reply, the timeout is the objective"
    );
    host.step(vec![
        Event::CallEnded(id(1), Outcome::Ok, Span::millis(10)),
        Event::RunEnded(id(1), Outcome::Ok),
    ]);
    host.arrive(request(2, 0));
    assert_eq!(timeout(&mut host, Event::CallRequested(id(2))), retryable_timeout);
    host.step(vec![Event::CallEnded(id(2), Outcome::TimedOut, Span::millis(10))]);
    let retry_deadline = host.advance(40).into_iter().find_map(|action| match action {
        Action::Call(_, deadline) => Some(deadline),
        _ => None,
    });
    assert!(
        retry_deadline.expect("the call was retried") - host.now > retryable_timeout,
        "{retry_deadline:?}"
    );
    host.arrive(request(3, 1));
    assert!(
        timeout(&mut host, Event::CallRequested(id(3))) > retryable_timeout,
        "a call of a keyed request, which is not retried, has a longer timeout"
    );
}

/// A host whose dependency took 0.6 s for recent calls, with a run that waits at a call in flight.
fn slow_dependency() -> Host {
    let mut config = settings();
    config.downstream = Downstream::Tier;
    config.cores = 8;
    let mut host = Host::new(config);
    host.arrive(request(1, 1));
    host.step(vec![Event::CallRequested(id(1))]);
    host.step(vec![Event::CallEnded(id(1), Outcome::Ok, Span::millis(600))]);
    host.step(vec![Event::CallRequested(id(1))]);
    host
}

// The dependency is short of capacity. If the expected duration of a call were not taken into account, runs
// would be started that cannot end in time.
#[test]
fn a_request_that_cannot_have_its_reply_in_time_is_rejected_before_it_runs() {
    let mut host = slow_dependency();
    let late = |n| Request { read_delay: Span::millis(350), ..request(n, 1) };
    assert!(
        host.arrive(request(2, 1)).contains(&Action::Run(id(2))),
        "a request with its whole objective left must start"
    );
    assert!(is_rejected(&host.arrive(late(3)), 3));
    // While no call is in flight, one call is made: its reply shows whether calls are fast again.
    host.step(vec![Event::CallEnded(id(1), Outcome::Ok, Span::millis(600))]);
    assert!(host.arrive(late(4)).contains(&Action::Run(id(4))));
}

// Guards against a call that is made although too little time is left, and then abandoned at the objective:
// useless work for the dependency.
#[test]
fn a_call_whose_reply_would_come_too_late_is_not_made() {
    let mut host = slow_dependency();
    let calls = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Call(..)));
    host.arrive(request(2, 0));
    host.arrive(request(3, 0));
    host.advance(600);
    assert!(
        calls(&host.step(vec![Event::CallRequested(id(2))])),
        "a call must be made if more than half a mean reply time is left"
    );
    host.advance(150);
    let actions = host.step(vec![Event::CallRequested(id(3))]);
    assert!(!calls(&actions) && host.seen[&id(3)].answers == 1, "{actions:?}");
}
