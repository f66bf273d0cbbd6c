//! Tests of the rules for the announced capacity, Retry-After, and the advice on retries elsewhere.

use crate::common::{Host, request, settings};
use crate::is_rejected;
use gaugestand_admission::*;

// A worker reads requests so late that most have expired. Callers must stay away, and return as soon as the
// worker keeps up.
#[test]
fn a_read_backlog_raises_the_floor_to_1_and_one_prompt_read_lowers_it() {
    let mut config = settings();
    config.backpressure_signal = BackpressureSignal::Floor;
    let mut host = Host::new(config);
    host.step(vec![]);
    let mut announced = vec![];
    for n in 1..=20 {
        let mut arrival = request(n, 0);
        arrival.read_delay = Span::millis(700);
        host.arrive(arrival);
        announced.extend(host.advance(20));
    }
    assert!(announced.contains(&Action::AnnounceCapacity(1.0)));
    host.arrive(request(50, 0));
    let announced = host.advance(200);
    assert!(announced.iter().any(|a| matches!(a, Action::AnnounceCapacity(x) if *x < 0.5)));
}

// Callers follow Retry-After: a long one after a few rejections leaves the cores idle, and a short one in
// overload makes all callers return at once.
#[test]
fn retry_after_is_short_for_a_few_rejections_and_long_in_overload() {
    let max_retry_after = |completing_every: u128| {
        let mut host = Host::new(settings());
        host.gauges.cpu_busy = Some(1.0);
        host.gauges.runnable = Some(4.0);
        let mut max_ns = 0;
        for n in 1..=400 {
            let mut actions = host.arrive(request(n, 0));
            actions.extend(host.advance(10));
            if n % completing_every == 0 {
                let running = host.ids(|request| request.is_on_cores);
                actions.extend(host.complete(&running));
            }
            for action in &actions {
                if let Action::Reject { retry_after, .. } = action {
                    max_ns = max_ns.max(retry_after.0);
                }
            }
        }
        Span(max_ns)
    };
    assert!(max_retry_after(20) > Span::millis(300), "{:?}", max_retry_after(20));
    assert!(max_retry_after(3) < Span::millis(300), "{:?}", max_retry_after(3));
}

// In overload another worker has to read each retry, and has no capacity for it either. If rejections are
// rare, or if only this worker drains, the retry would be served.
#[test]
fn rejections_advise_against_a_retry_elsewhere_only_while_the_cluster_is_overloaded() {
    let mut host = Host::with_busy_cores(settings(), Some(4.0));
    let advice_of = |actions: &[Action]| -> Vec<bool> {
        let advice = actions.iter().map(|a| match a {
            Action::Reject { no_retry_elsewhere, .. } => Some(*no_retry_elsewhere),
            _ => None,
        });
        advice.flatten().collect()
    };
    let mut no_retry_elsewhere = vec![];
    for n in 1..=30 {
        no_retry_elsewhere.extend(advice_of(&host.arrive(request(n, 0))));
    }
    assert_eq!(
        (no_retry_elsewhere.first(), no_retry_elsewhere.last()),
        (Some(&false), Some(&true)),
        "only many rejections are a sign of overload"
    );
    let actions =
        host.step(vec![Event::Drain(host.now + Span::millis(3000)), Event::Request(request(99, 0))]);
    assert!(
        advice_of(&actions).iter().all(|no_retry_elsewhere| !no_retry_elsewhere),
        "other workers have capacity while this one drains"
    );
}

/// The lowest allowance that is announced while `active_callers` of the `callers` in the settings each send
/// one request at a time.
fn lowest_allowance(callers: u32, active_callers: u64) -> f64 {
    let mut config = settings();
    config.backpressure_signal = BackpressureSignal::Allowance;
    config.callers = callers;
    config.classes[0].latency_objective = Span::millis(10_000);
    config.classes[0].deadline = Span::millis(30_000);
    let mut host = Host::new(config);
    let mut lowest = f64::INFINITY;
    for n in 1..=400 {
        let mut arrival = request(n, 0);
        arrival.caller = n as u64 % active_callers;
        let mut actions = host.arrive(arrival);
        host.gauges.runnable = Some(host.running() as f64);
        actions.extend(host.advance(150));
        let running = host.ids(|request| request.is_on_cores);
        actions.extend(host.complete(&running));
        for action in actions {
            if let Action::AnnounceCapacity(capacity) = action {
                lowest = lowest.min(capacity);
            }
        }
    }
    lowest
}

// A thousand callers share a small worker. An allowance split among all of them would be zero for each.
#[test]
fn without_rejections_the_allowance_is_at_least_1_for_any_number_of_callers() {
    for (callers, active_callers) in [(1, 1), (4, 4), (1000, 3), (1000, 400)] {
        let lowest = lowest_allowance(callers, active_callers);
        assert!(lowest >= 1.0, "an allowance of {lowest} for {active_callers} of {callers} callers");
    }
}

// Without the margin, callers held back one request in ten that the cores had time for, and one in fifteen
// that the queue had capacity for.
#[test]
fn the_allowance_has_a_margin_while_the_cores_or_the_queue_have_capacity() {
    for (busy, queued, lowest, highest) in [(0.5, 0, 8.0, 8.0), (1.0, 0, 8.0, 8.0), (1.0, 2, 4.1, 7.0)] {
        let mut host =
            Host::new(Settings { backpressure_signal: BackpressureSignal::Allowance, ..settings() });
        host.gauges = Gauges { cpu_busy: Some(busy), runnable: Some(2.0), ..Gauges::default() };
        host.advance(20);
        let requests = if queued > 0 { queued + 2 } else { 0 };
        for n in 1..=requests {
            assert!(!is_rejected(&host.arrive(request(n, 0)), n));
        }
        let mut announced = host.advance(150).into_iter().filter_map(|a| match a {
            Action::AnnounceCapacity(x) => Some(x),
            _ => None,
        });
        // The only possible caller is allowed twice the limit, which equals the two cores, plus a margin of
        // two standard deviations.
        let last = announced.next_back().unwrap_or_default();
        assert!(
            (lowest..=highest).contains(&last),
            "an allowance of {last} with {busy} of the cores busy and {queued} queued"
        );
    }
}
