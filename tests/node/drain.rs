//! The drain after SIGTERM: the node reports that it is out of service, answers its open requests and exits.

use crate::support::*;

/// A run is under way when the node drains, and the kernel never reports the end of the run. The node must
/// still fail the run's request and exit.
#[test]
fn a_drain_is_reported_starts_no_new_runs_and_ends_after_every_request_is_answered() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    assert_eq!(scene.membership_report(), "HB n3 UP");
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    scene.signal("-TERM");
    while scene.membership_report() != "HB n3 OUT" {}
    assert_eq!(&scene.gateway().health_check("").status[..3], "503");
    // Sixty polls of the gauges take longer than the drain's grace period of 300 ms.
    kernel.expect_nothing(60);
    gateway.request(2, "quote", TXN_B, b"q");
    let response = gateway.response();
    assert_eq!(status_and_body(&response), (2, "503", &[][..]));
    assert!(response.field("X-Throttle-Ms").is_some());
    // The kernel has not reported the end of the first run; the node fails its request.
    assert_eq!(status_and_body(&gateway.response()), (1, "500", &[][..]));
    assert_eq!(scene.next_printed_counter("requests_read"), 2);
    assert!(scene.exits_successfully());
}
