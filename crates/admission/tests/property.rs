//! Random legal sequences of events; the host in `common` checks the rules at every action.
mod common;

use common::{Host, request, settings};
use gaugestand_admission::*;

fn play(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = settings();
    s.preemption = [Preemption::Never, Preemption::Discard, Preemption::Freeze][rng.usize(0..3)];
    s.backpressure_signal = [
        BackpressureSignal::Silent,
        BackpressureSignal::Floor,
        BackpressureSignal::Allowance,
        BackpressureSignal::Weight,
    ][rng.usize(0..4)];
    s.downstream = [Downstream::Nothing, Downstream::Shared, Downstream::Tier][rng.usize(0..3)];
    s.outbound_call_limit = [0.0, 0.01, 0.3, 3.0][rng.usize(0..4)];
    s.cores = [1, 2, 2, 8][rng.usize(0..4)];
    s.callers = [0, 1, 4, 1000][rng.usize(0..4)];
    s.cluster_size = [0, 1, 20, 1000][rng.usize(0..4)];
    let quota = [0.0, 3.0, 1e6][rng.usize(0..3)];
    s.tenants = (0..rng.usize(0..4)).map(|_| Tenant { quota_per_s: quota, share: 0.3 }).collect();
    s.cold = rng.bool();
    s.list_follows_health = rng.bool();
    s.cache_ttl = Span::millis([0, 600][rng.usize(0..2)]);
    s.classes[1].late_weight = [0.0, 0.2][rng.usize(0..2)];
    s.classes[1].dedup_window = Span::millis([5000, 32_000][rng.usize(0..2)]);
    let told_of_gone = rng.bool();
    s.classes[0].skipped_call_weight = [0.0, 0.5][rng.usize(0..2)];
    s.classes[2].late_weight = [0.0, 0.2][rng.usize(0..2)];
    let crowd = f64::from(s.cores) * s.survivable_runs_per_core;
    let mut h = Host::new(s);
    let odd = [None, Some(0.0), Some(0.5), Some(1.0), Some(-1.0), Some(f64::NAN), Some(1e300)];
    let mut keyed: Vec<RequestId> = vec![];
    let drain_at = rng.usize(400..1200);
    let mut stopping: Vec<RequestId> = vec![];
    let mut next = 1u128;
    let mut stop = None;
    for i in 0..2100 {
        h.now = h.now + Span::millis(5);
        if stop.is_some_and(|t| h.now >= t) {
            break;
        }
        let mut events = vec![];
        for id in stopping.drain(..) {
            if h.seen[&id].on_cores {
                events.push(Event::RunEnded(id, Outcome::Cancelled));
            }
        }
        let touched: Vec<RequestId> = events
            .iter()
            .map(|e| match e {
                Event::RunEnded(id, _) => *id,
                _ => unreachable!("only ends so far"),
            })
            .collect();
        for (id, e) in h.seen.iter().filter(|(id, e)| !e.over && !touched.contains(id)) {
            if e.on_cores && rng.f64() < 0.02 {
                let good = if rng.f64() < 0.9 { Outcome::Ok } else { Outcome::Error };
                events.push(Event::RunEnded(*id, good));
            } else if e.on_cores && rng.f64() < 0.01 {
                // One whose answer was given, or whose caller is gone, ends at its call.
                let over = e.answers > 0 || e.gone;
                events.push(if over {
                    Event::RunEnded(*id, Outcome::Cancelled)
                } else {
                    Event::CallRequested(*id)
                });
            } else if e.call_out && e.answers == 0 && rng.f64() < 0.1 {
                let ends = [
                    Outcome::Ok,
                    Outcome::Overloaded,
                    Outcome::TimedOut,
                    Outcome::Unreachable,
                    Outcome::Reset,
                ];
                events.push(Event::CallEnded(*id, ends[rng.usize(0..5)], Span::millis(20)));
            } else if told_of_gone && !e.gone && e.answers == 0 && rng.f64() < 0.001 {
                events.push(Event::CallerGone(*id));
            }
        }
        if i == drain_at {
            let t = h.now + Span::millis(rng.u64(200..4000));
            stop = Some(t);
            events.push(Event::Drain(t));
        }
        for _ in 0..rng.usize(0..3) {
            if rng.f64() < 0.2 {
                let mut r = request(next, rng.usize(0..3));
                r.read_delay = Span::millis(rng.u64(0..400));
                r.is_retry = rng.bool();
                r.tenant = rng.usize(0..5);
                r.caller = rng.u64(0..50);
                r.resource_key = (r.class != 1 && rng.bool()).then(|| rng.u64(0..5));
                if r.class == 1 && rng.bool() {
                    r.original = keyed.last().copied();
                }
                if r.class == 1 && r.original.is_none() {
                    keyed.push(r.id);
                }
                next += 1;
                events.push(Event::Request(r));
            }
        }
        let mut gauge = || odd[rng.usize(0..odd.len())];
        h.gauges = Gauges { cpu_busy: gauge(), runnable: gauge(), mem_used: gauge(), sockets: gauge() };
        let out = h.step(events);
        assert!(h.on_cores() as f64 <= crowd, "seed {seed}: crowded cores");
        for a in &out {
            if let Action::Preempt(id) = a {
                stopping.push(*id);
            }
        }
        h.check_due();
    }
    let left = h.seen.values().filter(|e| e.answers == 0 && !e.gone).count();
    assert_eq!(left, 0, "seed {seed}: unanswered at the stop");
}

#[test]
fn random_legal_days_keep_the_rules() {
    for seed in 0..200 {
        play(seed);
    }
}
