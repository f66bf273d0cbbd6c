//! Tenants' quotas.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected};
use gaugestand_admission::*;

// One tenant sends far more than its quota. Another one's single request must not be shed for it.
#[test]
fn traffic_beyond_its_quota_is_shed_first() {
    let mut config = settings();
    let tenant = |quota_per_s| Tenant { quota_per_s, share: 0.5 };
    config.tenants = vec![tenant(4.0), tenant(40.0)];
    let mut host = over_quota(config);
    let mut small = request(99, 0);
    small.tenant = 1;
    assert!(!is_rejected(&host.arrive(small), 99));
}

/// Busy, with what tenant 0 saved up spent and its further requests running and queued.
fn over_quota(config: Settings) -> Host {
    let mut host = Host::with_busy_cores(config, None);
    for n in 1..=12 {
        host.arrive(request(n, 0));
        host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    for n in 13..=20 {
        host.arrive(request(n, 0));
    }
    host
}

// A quota split over hundreds of workers is half a request a second here. Three at once are scatter, no excess.
#[test]
fn scatter_within_a_small_quota_is_not_taken_for_excess() {
    let mut config = settings();
    config.cluster_size = 300;
    config.tenants =
        vec![Tenant { quota_per_s: 300.0, share: 0.7 }, Tenant { quota_per_s: 150.0, share: 0.3 }];
    let mut host = over_quota(config);
    let small = |n| Request { tenant: 1, ..request(n, 0) };
    let actions = host.step((21..=23).map(|n| Event::Request(small(n))).collect());
    assert!(!(21..=23).any(|n| is_rejected(&actions, n)), "three at once, half a request a second");
}

// Idle cores serve a tenant beyond its quota. Once they are busy, other tenants' requests come first for a while.
#[test]
fn a_tenant_served_beyond_its_quota_has_less_priority_for_a_while() {
    let mut config = settings();
    config.tenants = vec![Tenant { quota_per_s: 4.0, share: 0.7 }, Tenant { quota_per_s: 400.0, share: 0.3 }];
    let mut host = Host::new(config);
    host.step(vec![]);
    for n in 1..=13 {
        host.arrive(request(n, 0));
        host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    host.gauges.cpu_busy = Some(1.0);
    host.advance(1500);
    let other = |n| Request { tenant: 1, ..request(n, 0) };
    host.arrive(other(19));
    host.step(vec![Event::RunEnded(id(19), Outcome::Ok)]);
    host.arrive(other(20));
    host.arrive(other(21));
    host.arrive(request(22, 0));
    for n in 23..=39 {
        host.arrive(other(n));
    }
    let rejected: Vec<u128> = (20..=39).filter(|n| host.seen[&id(*n)].is_rejected).collect();
    assert_eq!(rejected, [22], "served three beyond ten saved up, it has only earned half back");
}
