//! The cap, seen by how many requests run.
mod common;

use common::{Host, request, settings};
use gaugestand_admission::*;

/// Keeps work waiting for a while, each run lasting `ms`, and returns the most that ran at once near the end.
fn most_running(cores: u32, ms: u64, runnable: f64, end: Outcome) -> usize {
    let mut s = settings();
    s.cores = cores;
    s.memory_kb = 1e6;
    let mut h = Host::new(s);
    h.gauges = Gauges { cpu_busy: Some(0.5), runnable: Some(runnable), ..Gauges::default() };
    let mut since = std::collections::BTreeMap::new();
    let (mut n, mut most) = (0, 0);
    for i in 0..600 {
        h.now = h.now + Span::millis(5);
        let mut events: Vec<Event> = vec![];
        for (id, _) in h.seen.iter().filter(|(_, e)| e.on_cores) {
            let began = *since.entry(*id).or_insert(h.now);
            if h.now - began >= Span::millis(ms) {
                events.push(Event::RunEnded(*id, end));
            }
        }
        n += 1;
        events.push(Event::Request(request(n, 0)));
        h.step(events);
        if i > 400 {
            most = most.max(h.on_cores());
        }
    }
    most
}

#[test]
fn latency_over_lmax_keeps_the_cap_at_the_core_count() {
    assert_eq!(most_running(2, 400, 4.0, Outcome::Ok), 2);
    // Guards against a crowd while a sixth of the aim goes on the cores: the rest is for calls, hold and way.
    let (longer, shorter) = (steady_cap(1, 170), steady_cap(1, 120));
    assert!(longer < 2.02 && shorter > 2.1, "{longer} and {shorter}");
}

#[test]
fn idle_cores_beside_waiting_work_raise_the_cap_below_the_crowd() {
    let most = most_running(2, 100, 0.0, Outcome::Ok);
    assert!(most > 2 && most <= 12, "{most}");
}

#[test]
fn runs_that_fail_fast_do_not_swell_the_cap_as_good_ones_do() {
    let (good, failed) = (most_running(8, 50, 16.0, Outcome::Ok), most_running(8, 50, 16.0, Outcome::Error));
    assert!(good > 8 && failed == 8, "{good} and {failed}");
}

/// The cap in a steady state, read from the allowance of a sole caller (twice the cap, and room for scatter):
/// two runs of `ms` at any time on two cores, so Ne = 2, and `gone` more arrivals with each whose callers leave at
/// once.
fn steady_cap(gone: u128, ms: u64) -> f64 {
    let mut s = settings();
    s.backpressure_signal = BackpressureSignal::Allowance;
    s.callers = 1;
    let mut h = Host::new(s);
    h.gauges = Gauges { cpu_busy: Some(0.8), runnable: Some(2.0), ..Gauges::default() };
    let mut said = vec![];
    for n in 1..=400u128 {
        let mut events = vec![];
        if n > 2 {
            events.push(Event::RunEnded(RequestId(100 * (n - 2)), Outcome::Ok));
        }
        events.push(Event::Request(request(100 * n, 0)));
        for k in 1..=gone {
            events.push(Event::Request(request(100 * n + k, 0)));
            events.push(Event::CallerGone(RequestId(100 * n + k)));
        }
        said.extend(h.step(events));
        said.extend(h.pass(ms / 2 - 5));
        h.now = h.now + Span::millis(5);
    }
    let last =
        said.iter().rev().find_map(|a| if let Action::AnnounceCapacity(x) = a { Some(*x) } else { None });
    // The part x of a caller, of which x and two of its roots are announced.
    ((last.expect("something is announced") + 1.0).sqrt() - 1.0).powi(2) / 2.0
}

#[test]
fn the_cap_is_that_of_formula_5_computed_by_hand() {
    // Lmax = 1.2 x 0.1 s = 0.12 s; γ' = 0.25 Ti / Lmax; MPL = Ne / (1 + γ' (L - Lmax) / (Ti - Ne/L)).
    // Ti = 40: γ' = 83.3, MPL = 2 / (1 - 83.3 x 0.02 / 20) = 2.182.
    // Ti = 60: γ' = 125, MPL = 2 / (1 - 125 x 0.02 / 40) = 2.133.
    for (gone, by_hand) in [(1, 2.182), (2, 2.133)] {
        let cap = steady_cap(gone, 100);
        assert!((cap / by_hand - 1.0).abs() < 0.02, "{cap} for {by_hand}");
    }
}

#[test]
fn at_the_pole_of_the_formula_the_cap_ends_at_the_crowd_that_is_allowed() {
    // Ti = Ne/L with L under Lmax: no excess bounds the cap, so 0.4 of the 6 a core that two cores survive do.
    // Guards against a cap that climbs while what lies below is short and, as there is no excess, holds there
    // when the cores are short themselves: at 0.6 a crowd got less done than two thirds of it.
    let cap = steady_cap(0, 100);
    assert!((cap / 4.8 - 1.0).abs() < 0.02, "{cap}");
}
