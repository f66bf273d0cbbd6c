//! Tests of the rules for tenants' quotas.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected};
use gaugestand_admission::*;

// One tenant sends far more than its quota. A single request of another tenant must not be shed in favour of
// these.
#[test]
fn traffic_beyond_its_quota_is_shed_first() {
    let mut config = settings();
    let tenant = |quota_per_s| Tenant { quota_per_s, share: 0.5 };
    config.tenants = vec![tenant(4.0), tenant(40.0)];
    let mut host = host_over_quota(config);
    let mut small = request(99, 0);
    small.tenant = 1;
    assert!(!is_rejected(&host.arrive(small), 99));
}

/// A host with busy cores whose tenant 0 has used up its saved tokens and has further requests running and
/// queued.
fn host_over_quota(config: Settings) -> Host {
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

// A quota split over hundreds of workers is half a request a second here. Three requests at once are ordinary
// variation and not an excess.
#[test]
fn a_burst_of_a_few_requests_is_within_a_small_quota() {
    let mut config = settings();
    config.cluster_size = 300;
    config.tenants =
        vec![Tenant { quota_per_s: 300.0, share: 0.7 }, Tenant { quota_per_s: 150.0, share: 0.3 }];
    let mut host = host_over_quota(config);
    let small = |n| Request { tenant: 1, ..request(n, 0) };
    let actions = host.step((21..=23).map(|n| Event::Request(small(n))).collect());
    assert!(
        !(21..=23).any(|n| is_rejected(&actions, n)),
        "three requests at once are within a quota of half a request a second"
    );
}

// Idle cores serve a tenant beyond its quota. Once the cores are busy, requests of other tenants have
// priority for a while.
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
    assert_eq!(
        rejected,
        [22],
        "tenant 0 used ten saved tokens and three more, of which it has earned back only half"
    );
}
