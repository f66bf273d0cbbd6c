//! Tests of the rules for health checks.

use crate::common::{Host, request, settings};
use gaugestand_admission::*;

// A read backlog takes a worker out of service, so that no requests arrive. Then only the gauges can show
// that the backlog is over.
#[test]
fn a_backlogged_worker_without_arrivals_returns_to_service() {
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
    let out_of_service = Action::Health { good: false, shallow: true };
    assert!(announced.contains(&out_of_service) && announced.contains(&Action::AnnounceCapacity(0.0)));
    host.gauges.runnable = Some(0.0);
    let announced = host.advance(1000);
    assert!(announced.contains(&Action::Health { good: true, shallow: true }));
    assert!(announced.iter().any(|a| matches!(a, Action::AnnounceCapacity(x) if *x > 0.5)));
}

/// Tests a worker with this quota whose callers' lists follow health. Returns whether the worker goes out of
/// service when it reads every request 0.9 s late, and whether it goes out of service on a drain after that.
fn goes_out_of_service(quota_per_s: f64) -> (bool, bool) {
    let mut config = settings();
    config.list_follows_health = true;
    config.tenants = vec![Tenant { quota_per_s, share: 1.0 }];
    let mut host = Host::new(config);
    host.gauges.runnable = Some(5.0);
    let out_of_service = Action::Health { good: false, shallow: true };
    let mut announced = vec![];
    for n in 1..=40 {
        let mut arrival = request(n, 0);
        arrival.read_delay = Span::millis(900);
        announced.extend(host.arrive(arrival));
        announced.extend(host.advance(50));
    }
    let stop = host.now + Span::millis(5000);
    (announced.contains(&out_of_service), host.step(vec![Event::Drain(stop)]).contains(&out_of_service))
}

// A burst overloads all workers. If each went out of service, its traffic would move to the others, and back.
#[test]
fn a_read_backlog_of_the_whole_cluster_keeps_the_worker_in_service() {
    assert_eq!(
        goes_out_of_service(20.0),
        (false, true),
        "20 requests a second at each of four workers, against a quota of 20 for all"
    );
}

// One worker is slow while the cluster has capacity. It must go out of service, so that others take its
// traffic.
#[test]
fn a_read_backlog_with_arrivals_below_the_quotas_takes_the_worker_out_of_service() {
    assert!(goes_out_of_service(200.0).0);
}
