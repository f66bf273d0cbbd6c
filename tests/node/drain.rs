//! SIGTERM: the node leaves service, drains and ends.

use crate::support::*;

/// A run that is under way when the node drains is never reported to have ended.
#[test]
fn a_drain_is_reported_starts_no_late_runs_and_ends_with_every_request_answered() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    assert_eq!(scene.membership_report(), "HB n3 UP");
    let mut gateway = scene.gateway();
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    scene.signal("-TERM");
    while scene.membership_report() != "HB n3 OUT" {}
    assert_eq!(&scene.gateway().health_check("").status[..3], "503");
    // Longer than the drain's grace period of 300 ms.
    kernel.expect_nothing(60);
    gateway.request(2, "quote", TXN_B, b"q");
    let response = gateway.response();
    assert_eq!(status_and_body(&response), (2, "503", &[][..]));
    assert!(response.field("X-Throttle-Ms").is_some());
    // The kernel never reports the end of the run: its request is answered all the same.
    assert_eq!(status_and_body(&gateway.response()), (1, "500", &[][..]));
    assert_eq!(scene.next_printed_counter("requests_read"), 2);
    assert!(scene.exits_successfully());
}
