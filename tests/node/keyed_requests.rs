//! Keyed requests: the runs of one idempotency key within its window.

use crate::support::*;

#[test]
fn a_keyed_request_runs_once_and_its_repeats_get_its_result() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    gateway.request(2, "booking", TXN_B, b"b");
    kernel.expect_nothing(5);
    kernel.reap(TXN_A, "good", b"booked");
    let mut both = [gateway.response(), gateway.response()];
    both.sort_by_key(|a| a.id);
    assert_eq!(
        both.each_ref().map(status_and_body),
        [(1, "200", &b"booked"[..]), (2, "200", &b"booked"[..])]
    );
    gateway.request(3, "booking", TXN_C, b"b");
    assert_eq!(status_and_body(&gateway.response()), (3, "200", &b"booked"[..]));
    kernel.expect_nothing(5);
}

/// A keyed run fails or is preempted after it may have had its effect, and its client sends the request
/// again. The node must answer the retry with a failure: a rejection would say that the request never ran.
#[test]
fn after_a_failed_keyed_run_its_retries_fail_and_are_not_rejected() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    for (fate, key, first, second) in [("bad", "k1", TXN_A, TXN_B), ("cut", "k2", TXN_C, TXN_D)] {
        gateway.send(&attempt_records(1, "booking", first, &[("HTTP_X_TXN_KEY", key)], b"b"));
        kernel.expect("SCHED", first);
        kernel.reap(first, fate, &[]);
        assert_eq!(status_and_body(&gateway.response()).1, "500");
        gateway.send(&attempt_records(2, "booking", second, &[("HTTP_X_TXN_KEY", key)], b"b"));
        assert_eq!(status_and_body(&gateway.response()).1, "500");
    }
    kernel.expect_nothing(5);
}

/// The kernel reports that it lost a keyed run before the run started. A later attempt must run.
#[test]
fn a_keyed_attempt_that_never_started_lets_the_next_attempt_run() {
    let (scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "gone", &[]);
    gateway.response();
    gateway.request(2, "booking", TXN_B, b"b");
    kernel.expect("SCHED", TXN_B);
}

/// A client sends a request with another client's idempotency key and a different body. The node must not
/// answer with the result that is stored for that key.
#[test]
fn a_key_with_another_body_is_a_conflict_and_never_gets_the_stored_result() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    gateway.request(1, "booking", TXN_A, b"b");
    kernel.expect("SCHED", TXN_A);
    gateway.request(2, "booking", TXN_B, b"other");
    assert_eq!(status_and_body(&gateway.response()), (2, "409", &[][..]));
    kernel.reap(TXN_A, "good", b"booked");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"booked"[..]));
    gateway.request(3, "booking", TXN_C, b"other");
    assert_eq!(status_and_body(&gateway.response()), (3, "409", &[][..]));
    assert_eq!(scene.counter("requests_bad"), 2);
}
