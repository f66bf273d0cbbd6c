//! Tests of the log on standard error.

use crate::support::*;
use std::time::{Duration, Instant};

/// The process that reads the program's standard error closes the pipe. The node must go on serving.
#[test]
fn a_closed_standard_error_does_not_stop_the_node() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    scene.close_stderr();
    scene.signal("-USR1");
    kernel.expect_nothing(5);
    assert_eq!(&scene.gateway().health_check("").status[..3], "200");
}

#[test]
fn the_log_can_be_json_and_a_reload_changes_its_level_but_not_its_form() {
    let mut scene = Scene::with_script(Some("log(form = \"json\", level = \"info\")"), |_| ());
    scene.reload_script("log(form = \"json\", level = \"error\")");
    scene.await_log_line("\"message\":\"configuration: reloaded; the new configuration is in effect\"");
    for (text, counted) in
        [("log(form = \"text\")", "reloads_failed"), ("log(form = \"json\", level = \"error\")", "reloads")]
    {
        let before = scene.counter(counted);
        let began = Instant::now();
        scene.reload_script(text);
        // The log lines of both reloads are below the log level `error`; SIGUSR1 still prints the counters.
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
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "counter {counted} did not rise within 20 s of the reload"
            );
        }
    }
}

/// The process that reads the program's standard error stalls until the pipe and the node's queue of log
/// lines are full. The node must drop log lines rather than block.
#[test]
fn a_stalled_log_reader_loses_log_lines_but_no_requests() {
    let (mut scene, mut kernel) = Scene::with_kernel();
    let mut gateway = scene.gateway();
    // Each list of counters is about 2 KB: the pipe fills up, then the queue of log lines, and then the node
    // drops lines.
    for _ in 0..400 {
        scene.signal("-USR1");
        gateway.health_check("");
    }
    gateway.request(1, "quote", TXN_A, b"q");
    kernel.expect("SCHED", TXN_A);
    kernel.reap(TXN_A, "good", b"read");
    assert_eq!(status_and_body(&gateway.response()), (1, "200", &b"read"[..]));
    // The test reads standard error again; a later list of counters states the number of dropped lines.
    let mut dropped = 0;
    for _ in 0..500 {
        dropped = scene.counter("log_lines_dropped");
        if dropped > 0 {
            break;
        }
    }
    assert!(dropped > 0, "log_lines_dropped is 0 after the log reader stalled");
}
