//! The law, seen by how many requests run and by the allowance announced.
mod common;

use common::{Host, request, settings};
use gaugestand_admission::*;

/// Keeps work waiting for a while, each run lasting `ms`, and returns the maximum that ran at once near the end.
fn max_running(cores: u32, ms: u64, runnable: f64, outcome: Outcome) -> usize {
    let mut config = settings();
    config.cores = cores;
    config.memory_kb = 1e6;
    let mut host = Host::new(config);
    host.gauges = Gauges { cpu_busy: Some(0.5), runnable: Some(runnable), ..Gauges::default() };
    let mut since = std::collections::BTreeMap::new();
    let mut most_at_once = 0;
    for n in 1..=600 {
        host.now = host.now + Span::millis(5);
        let mut events: Vec<Event> = vec![];
        for id in host.ids(|request| request.is_on_cores) {
            let began = *since.entry(id).or_insert(host.now);
            if host.now - began >= Span::millis(ms) {
                events.push(Event::RunEnded(id, outcome));
            }
        }
        events.push(Event::Request(request(n, 0)));
        host.step(events);
        if n > 401 {
            most_at_once = most_at_once.max(host.running());
        }
    }
    most_at_once
}

// Runs take longer than Lmax. More at once would only slow each other down.
#[test]
fn latency_over_lmax_keeps_the_limit_at_the_core_count() {
    assert_eq!(max_running(2, 400, 4.0, Outcome::Ok), 2);
    // Guards against overload while a sixth of the objective goes on the cores: the rest is for calls, queue and network.
    let (longer, shorter) = (steady_limit(1, 170), steady_limit(1, 120));
    assert!(longer < 2.02 && shorter > 2.1, "{longer} and {shorter}");
}

// Runs wait for something else than a core, so that cores idle beside queued work.
#[test]
fn idle_cores_beside_queued_work_raise_the_limit_below_what_survives() {
    let running = max_running(2, 100, 0.0, Outcome::Ok);
    assert!(running > 2 && running <= 12, "{running}");
}

// A fault makes every run fail at once. Taken for quick ones, they would let in more than the worker can do.
#[test]
fn runs_that_fail_fast_do_not_raise_the_limit_as_good_ones_do() {
    let (good, failed) = (max_running(8, 50, 16.0, Outcome::Ok), max_running(8, 50, 16.0, Outcome::Error));
    assert!(good > 8 && failed == 8, "{good} and {failed}");
}

/// The limit in a steady state, read from the allowance of a sole caller (twice the limit, and room for scatter):
/// two runs of `ms` at any time on two cores, so Ne = 2, and with each `abandoned` more arrivals whose callers are
/// gone at once.
fn steady_limit(abandoned: u128, ms: u64) -> f64 {
    let mut config = settings();
    config.backpressure_signal = BackpressureSignal::Allowance;
    config.callers = 1;
    let mut host = Host::new(config);
    host.gauges = Gauges { cpu_busy: Some(0.8), runnable: Some(2.0), ..Gauges::default() };
    let mut announced = vec![];
    for n in 1..=400u128 {
        let mut events = vec![];
        if n > 2 {
            events.push(Event::RunEnded(RequestId(100 * (n - 2)), Outcome::Ok));
        }
        events.push(Event::Request(request(100 * n, 0)));
        for k in 1..=abandoned {
            events.push(Event::Request(request(100 * n + k, 0)));
            events.push(Event::CallerGone(RequestId(100 * n + k)));
        }
        announced.extend(host.step(events));
        announced.extend(host.advance(ms / 2 - 5));
        host.now = host.now + Span::millis(5);
    }
    let capacity = |action: &Action| match action {
        Action::AnnounceCapacity(capacity) => Some(*capacity),
        _ => None,
    };
    let last = announced.iter().rev().find_map(capacity);
    // The part x of a caller, of which x and two of its roots are announced.
    ((last.expect("something is announced") + 1.0).sqrt() - 1.0).powi(2) / 2.0
}

// A change of the formula's code changes what it computes. Hand computation is what it is held against.
#[test]
fn the_limit_is_that_of_formula_5_computed_by_hand() {
    // Lmax = 1.2 x 0.1 s = 0.12 s; γ' = 0.25 Ti / Lmax; MPL = Ne / (1 + γ' (L - Lmax) / (Ti - Ne/L)).
    // Ti = 40: γ' = 83.3, MPL = 2 / (1 - 83.3 x 0.02 / 20) = 2.182.
    // Ti = 60: γ' = 125, MPL = 2 / (1 - 125 x 0.02 / 40) = 2.133.
    for (abandoned, by_hand) in [(1, 2.182), (2, 2.133)] {
        let limit = steady_limit(abandoned, 100);
        assert!((limit / by_hand - 1.0).abs() < 0.02, "{limit} for {by_hand}");
    }
}

// At the pole of the formula nothing in it bounds the limit; unbounded, it would overrun the worker.
#[test]
fn at_the_pole_of_the_formula_the_limit_ends_at_what_the_worker_survives() {
    // Ti = Ne/L with L under Lmax: no excess bounds the limit, so 0.4 of the 6 a core that two cores survive do.
    // Guards against a limit that climbs while the dependency is short and, as there is no excess, stays there
    // when the cores are short themselves: at 0.6, runs at once got less done than two thirds as many.
    let limit = steady_limit(0, 100);
    assert!((limit / 4.8 - 1.0).abs() < 0.02, "{limit}");
}
