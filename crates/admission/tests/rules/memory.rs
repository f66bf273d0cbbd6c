//! Tests of the rules for what is rejected or not remembered when memory is short.

use crate::common::{Host, request, settings};
use crate::id;
use gaugestand_admission::*;

// Requests arrive faster than runs end. If all of the requests were queued, the worker would be killed for
// lack of memory.
#[test]
fn arrivals_and_runs_never_exceed_the_memory() {
    let mut config = settings();
    config.memory_kb = 1000.0;
    let mut host = Host::new(config);
    for n in 1..=200 {
        host.arrive(request(n, 0));
        let kb: f64 = host
            .seen
            .values()
            .map(|e| match (e.is_on_cores, e.answers) {
                (true, _) => 160.0,
                (false, 0) => 20.0,
                _ => 0.0,
            })
            .sum();
        assert!(kb <= 1000.0, "{kb} kB in use at n = {n}");
    }
}

// A run takes several times the memory of a queued request. If it started without enough memory, the worker
// would be killed.
#[test]
fn a_run_that_would_overfill_the_memory_waits() {
    let mut config = settings();
    config.memory_kb = 300.0;
    let mut host = Host::new(config);
    host.arrive(request(1, 0));
    host.arrive(request(2, 0));
    assert_eq!(host.running(), 1, "only one run fits, as a run takes 160 of 300 kB");
    let actions = host.step(vec![Event::RunEnded(id(1), Outcome::Ok)]);
    assert!(actions.contains(&Action::Run(id(2))));
}

// A run hangs and its callers repeat the request. The repeats are not in the queue, but each takes memory.
#[test]
fn repeats_that_wait_for_a_hung_run_do_not_fill_the_memory() {
    for class in [0, 1] {
        let mut config = settings();
        config.memory_kb = 1000.0;
        config.cache_ttl = Span::millis(600);
        config.classes[class].latency_objective = Span::millis(3000);
        let mut host = Host::new(config);
        let mut first = request(1, class);
        first.resource_key = Some(1);
        assert!(host.arrive(first.clone()).contains(&Action::Run(id(1))));
        for n in 2..=100 {
            host.arrive(Request { id: id(n), original: Some(id(1)), ..first.clone() });
            let waiting = host.ids(|request| request.answers == 0 && !request.is_on_cores).len();
            assert!(waiting as f64 * 20.0 + 160.0 <= 1000.0, "{waiting} waiting requests exceed the memory");
            host.advance(5);
        }
    }
}

// Keyed requests arrive faster than the long windows of earlier ones end. Remembering all of them would fill
// the memory; if one ran without being remembered, a repeat would run again.
#[test]
fn keyed_requests_with_a_long_window_neither_fill_the_memory_nor_run_unremembered() {
    let mut config = settings();
    config.memory_kb = 1000.0;
    config.running_memory_factor = 16.0;
    config.entry_kb = 10.0;
    config.classes[1].dedup_window = Span::millis(32_000);
    let mut host = Host::new(config);
    let mut remembered: Vec<(RequestId, Time)> = vec![];
    let mut runs = 0;
    for n in 1..=600u128 {
        let mut events = vec![];
        for id in host.ids(|request| request.is_on_cores) {
            events.push(Event::RunEnded(id, if n % 2 == 0 { Outcome::Ok } else { Outcome::Error }));
        }
        // A burst of three requests; one of them is a retry in the same batch.
        for k in 0..3 {
            let mut arrival = request(10 * n + k, 1);
            arrival.original = (k == 2).then(|| id(10 * n));
            events.push(Event::Request(arrival));
        }
        let stepped_at = host.now;
        let mut actions = host.step(events);
        actions.extend(host.advance(100));
        for action in actions {
            match action {
                Action::Remember(id, retention) => remembered.push((id, stepped_at + retention)),
                Action::Forget(id) => remembered.retain(|entry| entry.0 != id),
                Action::Run(id) => {
                    runs += 1;
                    let entry = remembered.iter().find(|entry| entry.0 == id);
                    let (_, until) = entry.expect("a keyed request that runs is remembered");
                    assert!(
                        *until >= host.seen[&id].arrived_at + Span::millis(32_000),
                        "a request must be remembered for its whole window"
                    );
                }
                _ => {}
            }
        }
        let waiting = host.ids(|request| request.answers == 0 && !request.is_on_cores).len();
        let entries = remembered.iter().filter(|entry| entry.1 > host.now).count();
        let kb = waiting as f64 * 20.0 + host.running() as f64 * 320.0 + entries as f64 * 10.0;
        assert!(kb <= 1000.0, "{kb} kB in use at n = {n}");
    }
    assert!(runs > 10, "{runs} runs");
}
