//! Tests of formula (5), the latency law, by the number of concurrent runs and by the announced allowance.
mod common;

use common::{Host, request, settings};
use gaugestand_admission::*;

/// Sends a request every 5 ms, whose run takes `ms` milliseconds, and returns the highest number of
/// concurrent runs near the end.
fn max_running(cores: u32, ms: u64, runnable: f64, outcome: Outcome) -> usize {
    let mut config = settings();
    config.cores = cores;
    config.memory_kb = 1e6;
    let mut host = Host::new(config);
    host.gauges = Gauges { cpu_busy: Some(0.5), runnable: Some(runnable), ..Gauges::default() };
    let mut since = std::collections::BTreeMap::new();
    let mut max_running_seen = 0;
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
            max_running_seen = max_running_seen.max(host.running());
        }
    }
    max_running_seen
}

// Runs take longer than Lmax. A higher limit would only make the concurrent runs slower.
#[test]
fn latency_over_lmax_keeps_the_limit_at_the_core_count() {
    assert_eq!(max_running(2, 400, 4.0, Outcome::Ok), 2);
    // Lmax is 0.15 of the objective of 1 s, as calls, the queue and the network need the rest. Runs that
    // spend a sixth of the objective on the cores (170 ms) must not raise the limit; shorter ones (120 ms)
    // must.
    let (longer, shorter) = (steady_limit(1, 170), steady_limit(1, 120));
    assert!(longer < 2.02 && shorter > 2.1, "limits {longer} and {shorter}");
}

// Runs wait for something other than a core, so that cores are idle while requests are queued.
#[test]
fn idle_cores_with_queued_requests_raise_the_limit_up_to_what_the_worker_survives() {
    let running = max_running(2, 100, 0.0, Outcome::Ok);
    assert!(running > 2 && running <= 12, "{running} concurrent runs");
}

// A fault makes every run fail at once. If failed runs counted as short runs, the limit would exceed what the
// worker can do.
#[test]
fn runs_that_fail_fast_do_not_raise_the_limit() {
    let (succeeded, failed) =
        (max_running(8, 50, 16.0, Outcome::Ok), max_running(8, 50, 16.0, Outcome::Error));
    assert!(
        succeeded > 8 && failed == 8,
        "{succeeded} concurrent runs if they succeed, {failed} if they fail"
    );
}

/// The limit in a steady state, computed from the allowance of a single caller (twice the limit, plus a
/// margin). At any time two runs of `ms` milliseconds each are active on two cores, so that Ne = 2. With each
/// request that runs, `abandoned` further requests arrive whose callers are gone at once.
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
    // The announced allowance is x + 2 sqrt(x), where x is the caller's share.
    ((last.expect("a capacity was announced") + 1.0).sqrt() - 1.0).powi(2) / 2.0
}

// Guards against a change of the formula's code that alters its result.
#[test]
fn the_limit_equals_formula_5_computed_by_hand() {
    // Lmax = 1.2 x 0.1 s = 0.12 s; γ' = 0.25 Ti / Lmax; MPL = Ne / (1 + γ' (L - Lmax) / (Ti - Ne/L)).
    // Ti = 40: γ' = 83.3, MPL = 2 / (1 - 83.3 x 0.02 / 20) = 2.182.
    // Ti = 60: γ' = 125, MPL = 2 / (1 - 125 x 0.02 / 40) = 2.133.
    for (abandoned, by_hand) in [(1, 2.182), (2, 2.133)] {
        let limit = steady_limit(abandoned, 100);
        assert!((limit / by_hand - 1.0).abs() < 0.02, "limit {limit}, by hand {by_hand}");
    }
}

// Where Ti = Ne/L, formula (5) has a pole and does not bound the limit. An unbounded limit would overload the
// worker.
#[test]
fn at_the_pole_of_the_formula_the_limit_is_bounded_by_what_the_worker_survives() {
    // Ti = Ne/L with L below Lmax: there is no excess that would bound the limit, so that the bound is 0.4 of
    // the 6 runs per core that two cores survive. Guards against a limit that rises while the dependency is
    // short of capacity and, as there is no excess, stays high when the cores are short of capacity
    // themselves: with a bound of 0.6 instead of 0.4, the worker completed less work than with two thirds as
    // many concurrent runs.
    let limit = steady_limit(0, 100);
    assert!((limit / 4.8 - 1.0).abs() < 0.02, "limit {limit}");
}
