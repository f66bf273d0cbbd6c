//! The log on standard error.

use crate::support::*;
use std::time::{Duration, Instant};

/// Whoever reads the program's standard error goes away.
#[test]
fn a_closed_standard_error_does_no_harm() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    scene.close_stderr();
    scene.signal("-USR1");
    kernel.expect_nothing(5);
    assert_eq!(&scene.gateway().health_check("").status[..3], "200");
}

#[test]
fn logs_can_be_json_and_their_level_can_be_reloaded() {
    let mut scene = Scene::with_script(Some("log(form = \"json\", level = \"info\")"), |_| ());
    scene.reload_script("log(form = \"json\", level = \"error\")");
    scene.await_log_line("\"message\":\"configuration: reloaded; the new configuration is in effect\"");
    for (text, counted) in
        [("log(form = \"text\")", "reloads_failed"), ("log(form = \"json\", level = \"error\")", "reloads")]
    {
        let before = scene.counter(counted);
        let began = Instant::now();
        scene.reload_script(text);
        // The lines of both reloads are below the level now; the counters are printed all the same.
        loop {
            scene.signal("-USR1");
            let mut counted_now = 0;
            loop {
                let line = scene.next_log_line();
                assert!(!line.starts_with('{'), "{line}");
                if let Some(value) = line.strip_prefix(counted) {
                    counted_now = value.trim().parse().unwrap_or(counted_now);
                }
                if line.starts_with("reports_sent") {
                    break;
                }
            }
            if counted_now > before {
                break;
            }
            assert!(began.elapsed() < Duration::from_secs(20), "no reload was counted");
        }
    }
}

/// Whoever reads the program's standard error stalls, until the pipe and the queue of lines are full.
#[test]
fn a_stalled_log_reader_costs_log_lines_and_no_requests() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    // Each list of counters is some 2 KB: the pipe fills up, then the queue of lines, then lines are dropped.
    for _ in 0..400 {
        scene.signal("-USR1");
        gateway.health_check("");
    }
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "good", b"read");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"read"[..]));
    // The reader goes on, and the next list of counters has the number of lines that were dropped.
    let mut dropped = 0;
    for _ in 0..500 {
        dropped = scene.counter("log_lines_dropped");
        if dropped > 0 {
            break;
        }
    }
    assert!(dropped > 0, "nothing was dropped");
}
