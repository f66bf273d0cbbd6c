//! Random valid sequences of events; the host in `common` checks the rules at every action.
mod common;

use common::{Host, SeenRequest, request, settings};
use fastrand::Rng;
use gaugestand_admission::*;

const SEEDS: u64 = 200;
/// Number of 5 ms steps in a sequence, unless the drain ends the sequence earlier.
const STEPS: usize = 2100;

fn choose<T: Copy>(rng: &mut Rng, choices: &[T]) -> T {
    choices[rng.usize(0..choices.len())]
}

/// The settings of one random sequence, and whether the controller is told of callers that are gone.
struct Scenario {
    config: Settings,
    reports_gone_callers: bool,
}

/// Draws a random scenario. The order of the draws must not change, so that a seed gives the same sequence in
/// every version of this test.
fn random_scenario(rng: &mut Rng) -> Scenario {
    let mut config = settings();
    config.preemption = choose(rng, &[Preemption::Never, Preemption::Discard, Preemption::Freeze]);
    let signals = [
        BackpressureSignal::Silent,
        BackpressureSignal::Floor,
        BackpressureSignal::Allowance,
        BackpressureSignal::Weight,
    ];
    config.backpressure_signal = choose(rng, &signals);
    config.downstream = choose(rng, &[Downstream::Nothing, Downstream::Shared, Downstream::Tier]);
    config.outbound_call_limit = choose(rng, &[0.0, 0.01, 0.3, 3.0]);
    config.cores = choose(rng, &[1, 2, 2, 8]);
    config.callers = choose(rng, &[0, 1, 4, 1000]);
    config.cluster_size = choose(rng, &[0, 1, 20, 1000]);
    let quota_per_s = choose(rng, &[0.0, 3.0, 1e6]);
    config.tenants = (0..rng.usize(0..4)).map(|_| Tenant { quota_per_s, share: 0.3 }).collect();
    config.cold = rng.bool();
    config.list_follows_health = rng.bool();
    config.cache_ttl = Span::millis(choose(rng, &[0, 600]));
    config.classes[1].late_weight = choose(rng, &[0.0, 0.2]);
    config.classes[1].dedup_window = Span::millis(choose(rng, &[5000, 32_000]));
    let reports_gone_callers = rng.bool();
    config.classes[0].skipped_call_weight = choose(rng, &[0.0, 0.5]);
    config.classes[2].late_weight = choose(rng, &[0.0, 0.2]);
    Scenario { config, reports_gone_callers }
}

/// Draws the next event of a request; `None` if nothing happens to it.
fn random_event(
    rng: &mut Rng,
    id: RequestId,
    seen: &SeenRequest,
    reports_gone_callers: bool,
) -> Option<Event> {
    let is_answered = seen.answers > 0;
    if seen.is_on_cores && rng.f64() < 0.02 {
        let outcome = if rng.f64() < 0.9 { Outcome::Ok } else { Outcome::Error };
        Some(Event::RunEnded(id, outcome))
    } else if seen.is_on_cores && rng.f64() < 0.01 {
        // A run whose request is answered, or whose caller is gone, ends when it reaches a call.
        if is_answered || seen.is_caller_gone {
            Some(Event::RunEnded(id, Outcome::Cancelled))
        } else {
            Some(Event::CallRequested(id))
        }
    } else if seen.is_call_in_flight && !is_answered && rng.f64() < 0.1 {
        let outcomes =
            [Outcome::Ok, Outcome::Overloaded, Outcome::TimedOut, Outcome::Unreachable, Outcome::Reset];
        Some(Event::CallEnded(id, choose(rng, &outcomes), Span::millis(20)))
    } else if reports_gone_callers && !seen.is_caller_gone && !is_answered && rng.f64() < 0.001 {
        Some(Event::CallerGone(id))
    } else {
        None
    }
}

/// Draws a request with this number. `keyed` holds the keyed first attempts so far. The request repeats the
/// last of them, or it is a first attempt; a keyed first attempt is added to `keyed`.
fn random_request(rng: &mut Rng, number: u128, keyed: &mut Vec<RequestId>) -> Request {
    let mut arrival = request(number, rng.usize(0..3));
    arrival.read_delay = Span::millis(rng.u64(0..400));
    arrival.is_retry = rng.bool();
    arrival.tenant = rng.usize(0..5);
    arrival.caller = rng.u64(0..50);
    arrival.resource_key = (arrival.class != 1 && rng.bool()).then(|| rng.u64(0..5));
    if arrival.class == 1 && rng.bool() {
        arrival.original = keyed.last().copied();
    }
    if arrival.class == 1 && arrival.original.is_none() {
        keyed.push(arrival.id);
    }
    arrival
}

fn random_gauges(rng: &mut Rng) -> Gauges {
    let values = [None, Some(0.0), Some(0.5), Some(1.0), Some(-1.0), Some(f64::NAN), Some(1e300)];
    let mut gauge = || choose(rng, &values);
    Gauges { cpu_busy: gauge(), runnable: gauge(), mem_used: gauge(), sockets: gauge() }
}

fn run_scenario(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let Scenario { config, reports_gone_callers } = random_scenario(&mut rng);
    let survivable = f64::from(config.cores) * config.survivable_runs_per_core;
    let mut host = Host::new(config);
    let mut keyed: Vec<RequestId> = vec![];
    let mut preempted: Vec<RequestId> = vec![];
    let mut next_number = 1u128;
    let drain_step = rng.usize(400..1200);
    let mut stop = None;
    for step in 0..STEPS {
        host.now = host.now + Span::millis(5);
        if stop.is_some_and(|time| host.now >= time) {
            break;
        }
        preempted.retain(|id| host.seen[id].is_on_cores);
        let mut events: Vec<Event> =
            preempted.iter().map(|id| Event::RunEnded(*id, Outcome::Cancelled)).collect();
        let active = host.seen.iter().filter(|(id, seen)| !seen.is_over && !preempted.contains(id));
        for (id, seen) in active {
            events.extend(random_event(&mut rng, *id, seen, reports_gone_callers));
        }
        if step == drain_step {
            let time = host.now + Span::millis(rng.u64(200..4000));
            stop = Some(time);
            events.push(Event::Drain(time));
        }
        for _ in 0..rng.usize(0..3) {
            if rng.f64() < 0.2 {
                events.push(Event::Request(random_request(&mut rng, next_number, &mut keyed)));
                next_number += 1;
            }
        }
        host.gauges = random_gauges(&mut rng);
        let actions = host.step(events);
        assert!(host.running() as f64 <= survivable, "seed {seed}: more runs than the worker survives");
        let preempt = |action: &Action| match action {
            Action::Preempt(id) => Some(*id),
            _ => None,
        };
        preempted = actions.iter().filter_map(preempt).collect();
        host.assert_none_overdue();
    }
    let unanswered = host.ids(|request| request.answers == 0 && !request.is_caller_gone);
    assert!(unanswered.is_empty(), "seed {seed}: unanswered at the stop: {unanswered:?}");
}

// Tests combinations of settings, gauges, retries, calls and a drain at any time that the other tests do not
// foresee.
#[test]
fn random_valid_event_sequences_keep_the_rules() {
    for seed in 0..SEEDS {
        run_scenario(seed);
    }
}
