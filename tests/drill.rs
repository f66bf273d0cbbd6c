//! Tests of `gaugestand-drill`, the simulator's adapter, which hosts one admission controller for each worker
//! of the simulator. The tests write events to its standard input and read its replies from its standard
//! output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Settings that each `up` event carries: those of a worker with 2 cores and one class. `new.key` is a
/// setting that the adapter does not know.
const SETTINGS: &str = "extra.cores=2 extra.heap-kb=8000 extra.run-factor=8 tick=5000000 fleet-size=2 classes.count=1 \
    classes.0.goal-time=1000000000 classes.0.hard-limit=3000000000 classes.0.effect=pure classes.0.worth=1 \
    rules.fall-multiple=6 rules.fall=2000000000 caps.retry-after=true caps.max-retry-after=1000000000 new.key=x";

/// Runs the adapter on this input until it exits.
fn run(input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_gaugestand-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter exits at a malformed line without reading the rest of its input. The write may then
    // fail with a broken pipe, which the tests ignore.
    let _ = adapter.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    adapter.wait_with_output().expect("the adapter exits")
}

fn stdout(output: Output) -> String {
    String::from_utf8(output.stdout).expect("standard output is UTF-8")
}

fn stderr(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).expect("standard error is UTF-8")
}

/// The event that starts this worker.
fn up(worker: u32) -> String {
    format!("up who={worker} nonce64={worker} {SETTINGS}\n")
}

/// The event of a request that arrives at this worker; `number` is the last part of the request's id.
fn demand(worker: u32, number: u32) -> String {
    format!(
        "demand who={worker} handle=00000000-0000-4000-8000-{number:012x} lane=0 held-kb=20 unread-for=0 novel=1\n"
    )
}

// The simulator waits for one reply to each batch. If the adapter omitted a reply, both processes would wait
// for ever.
#[test]
fn each_batch_gets_one_reply_and_the_end_of_input_ends_the_adapter() {
    let input = format!("frame t=5\ncommit\nframe t=9\n{}{}commit\n", up(0), demand(0, 1));
    let output = run(&input);
    assert!(output.status.success());
    let text = stdout(output);
    assert_eq!(text.lines().filter(|line| *line == "next").count(), 2);
    assert!(text.contains("process who=0 handle=00000000-0000-4000-8000-000000000001"));
}

// A newer simulator sends events that the adapter does not know, which it skips. A faulty simulator sends
// malformed lines, for which the adapter exits with an error that names the line and the field.
#[test]
fn unknown_events_are_skipped_and_malformed_lines_are_named_in_the_error() {
    let with_unknown = format!("frame t=5\nnovelty who=0 odd\n{}commit\n", up(0));
    assert!(run(&with_unknown).status.success());
    for (line, problem) in [
        ("demand who=0 lane=0", "handle: missing"),
        ("demand who=0 handle=short lane=0", "handle: not a request id of 36 characters"),
        ("completed who=0 handle=00000000-0000-4000-8000-000000000001 rc=77", "rc: not an outcome code"),
        (
            "demand who=0 handle=00000000-0000-4000-8000-000000000001 lane=0 src-peer=-1",
            "src-peer: not a whole number",
        ),
        ("wind_down who=x drop-dead=3", "who: not a whole number"),
        ("client_gone who=0 nonsense", "nonsense: no '=' in this field"),
    ] {
        let output = run(&format!("frame t=5\n{}{line}\ncommit\n", up(0)));
        assert!(!output.status.success(), "{line}");
        assert_eq!(stderr(&output), format!("gaugestand-drill: line 3: {problem}\n"), "{line}");
    }
}

// The simulator gives a worker invalid settings. The adapter reports this worker as broken, and does not
// exit, as it may host other workers.
#[test]
fn a_worker_with_invalid_settings_is_reported_as_broken() {
    for (valid, invalid, message) in [
        ("extra.cores=2", "extra.cores=0", "setting cores: must be at least 1"),
        ("classes.count=1", "classes.count=0", "setting classes: must not be empty"),
        ("tick=5000000", "tick=-5", "setting tick: must not be negative"),
    ] {
        let output = run(&format!("frame t=5\n{}commit\n", up(0).replace(valid, invalid)));
        assert!(output.status.success());
        let text = stdout(output);
        assert!(text.contains(&format!("broken who=0 message={message}\n")), "{text}");
    }
}

// A truth value in the settings is misspelt. If the adapter read it as `no`, it would switch a function off
// without notice.
#[test]
fn a_misspelt_truth_value_is_named_in_the_error() {
    let output = run(&format!("frame t=5\n{} extra.list-follows=perhaps\ncommit\n", up(0).trim_end()));
    assert!(!output.status.success());
    assert!(stderr(&output).contains("extra.list-follows"), "{}", stderr(&output));
}

// Reads with the same affinity key are answered from one run. Without a key the adapter cannot know which
// reads are the same.
#[test]
fn a_read_is_kept_for_reuse_only_if_it_has_an_affinity_key() {
    for (key, is_kept) in [(" affinity=k:one", true), (" affinity=", false), ("", false)] {
        let up = up(0);
        let demand = demand(0, 1);
        let up = up.trim_end();
        let demand = demand.trim_end();
        let input = format!("frame t=5\n{up} extra.fresh-for=600000000\n{demand}{key}\ncommit\n");
        let text = stdout(run(&input));
        assert_eq!(text.contains("keep who=0"), is_kept, "{key}: {text}");
    }
}

/// The actions that one adapter process prints over two batches when it hosts these workers, sorted.
fn actions_of(workers: &[u32]) -> Vec<String> {
    let mut input = String::from("frame t=5\n");
    input.extend(workers.iter().map(|worker| up(*worker)));
    input.push_str("commit\nframe t=20000005\n");
    for worker in workers {
        input.extend((1..9).map(|number| demand(*worker, worker * 100 + number)));
        let gauges = "cpu_busy:1.0,runnable:9,odd:1";
        input.push_str(&format!("elapsed who={worker} name=1 telemetry={gauges}\n"));
    }
    input.push_str("commit\n");
    let output = stdout(run(&input));
    let mut actions: Vec<String> = output.lines().filter(|line| *line != "next").map(String::from).collect();
    actions.sort();
    actions
}

// One adapter process hosts many workers. If they shared state, they would decide differently from real
// nodes, each of which runs in a process of its own.
#[test]
fn workers_in_one_process_act_as_in_separate_processes() {
    let mut separate: Vec<String> = (0..3).flat_map(|worker| actions_of(&[worker])).collect();
    separate.sort();
    assert!(!separate.is_empty());
    assert_eq!(actions_of(&[0, 1, 2]), separate);
}
