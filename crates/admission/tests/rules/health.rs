//! When health checks pass.

use crate::common::{Host, request, settings};
use gaugestand_admission::*;

// A read backlog takes a worker out of service, so that nobody calls it. Only the gauges can then say that it is well.
#[test]
fn a_backlogged_worker_that_nobody_calls_any_more_comes_back() {
    let mut config = settings();
    config.backpressure_signal = BackpressureSignal::Allowance;
    let mut host = Host::new(config);
    host.gauges.runnable = Some(5.0);
    host.step(vec![]);
    let mut announced = vec![];
    for n in 1..=20 {
        let mut arrival = request(n, 0);
        arrival.read_delay = Span::millis(900);
        announced.extend(host.arrive(arrival));
        announced.extend(host.advance(20));
    }
    let off = Action::Health { good: false, shallow: true };
    assert!(announced.contains(&off) && announced.contains(&Action::AnnounceCapacity(0.0)));
    host.gauges.runnable = Some(0.0);
    let announced = host.advance(1000);
    assert!(announced.contains(&Action::Health { good: true, shallow: true }));
    assert!(announced.iter().any(|a| matches!(a, Action::AnnounceCapacity(x) if *x > 0.5)));
}

/// Whether a worker that reads everything 0.9 s late goes off a list that follows health, at this quota; then
/// whether it does on a drain.
fn leaves_the_list(quota_per_s: f64) -> (bool, bool) {
    let mut config = settings();
    config.list_follows_health = true;
    config.tenants = vec![Tenant { quota_per_s, share: 1.0 }];
    let mut host = Host::new(config);
    host.gauges.runnable = Some(5.0);
    let off = Action::Health { good: false, shallow: true };
    let mut announced = vec![];
    for n in 1..=40 {
        let mut arrival = request(n, 0);
        arrival.read_delay = Span::millis(900);
        announced.extend(host.arrive(arrival));
        announced.extend(host.advance(50));
    }
    let stop = host.now + Span::millis(5000);
    (announced.contains(&off), host.step(vec![Event::Drain(stop)]).contains(&off))
}

// A wave overruns all workers. If each left the list, its traffic would go to the rest, and back.
#[test]
fn in_a_wave_a_backlogged_worker_stays_on_a_list_that_follows_health() {
    assert_eq!(leaves_the_list(20.0), (false, true), "four workers of 20 a second each, quota 20");
}

// One worker is slow while the cluster has room. It must leave the list, so that others take its traffic.
#[test]
fn a_worker_backlogged_by_less_than_its_part_of_the_quotas_leaves_a_list_that_follows_health() {
    assert!(leaves_the_list(200.0).0);
}
