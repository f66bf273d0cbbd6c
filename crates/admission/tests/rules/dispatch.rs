//! Tests of the rules for which queued requests start.

use crate::common::{Host, request, settings};
use crate::{id, saturated_dependency};

// All runs wait at a slow dependency. Requests of classes that make no calls must not wait behind them.
#[test]
fn a_saturated_dependency_leaves_the_cores_to_classes_that_make_no_calls() {
    let host = saturated_dependency(false);
    assert_eq!(host.seen[&id(8)].runs, 1);
}

// Runs wait for the disk, so that cores are idle although the limit is reached. Queued requests must not wait
// for these runs.
#[test]
fn an_idle_core_starts_a_queued_request_while_runs_wait_for_disk() {
    let mut host = Host::new(settings());
    host.gauges.runnable = Some(2.0);
    for n in 1..=3 {
        host.arrive(request(n, 0));
    }
    host.advance(20);
    assert_eq!(host.running(), 2);
    host.gauges.runnable = Some(0.0);
    host.advance(25);
    assert_eq!(host.running(), 3);
}
