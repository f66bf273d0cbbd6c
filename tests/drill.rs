//! Drives the simulator's adapter over a pipe.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "extra.cores=2 extra.heap-kb=8000 extra.run-factor=8 tick=5000000 fleet-size=2 classes.count=1 \
    classes.0.goal-time=1000000000 classes.0.hard-limit=3000000000 classes.0.effect=pure classes.0.worth=1 \
    rules.fall-multiple=6 rules.fall=2000000000 caps.retry-after=true caps.max-retry-after=1000000000 new.key=x";

fn run(input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_gaugestand-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // The program may stop reading at a bad line; the pipe then breaks, which is no fault of the test.
    let _ = adapter.stdin.take().expect("piped").write_all(input.as_bytes());
    adapter.wait_with_output().expect("the program ends")
}

fn stdout(output: Output) -> String {
    String::from_utf8(output.stdout).expect("text")
}

fn stderr(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).expect("text")
}

fn up(worker: u32) -> String {
    format!("up who={worker} nonce64={worker} {SETTINGS}\n")
}

fn demand(worker: u32, number: u32) -> String {
    format!(
        "demand who={worker} handle=00000000-0000-4000-8000-{number:012x} lane=0 held-kb=20 unread-for=0 novel=1\n"
    )
}

// The simulator waits for the reply to each batch. One too few, and both wait for ever.
#[test]
fn batches_get_one_reply_each_and_the_end_of_input_ends_it() {
    let input = format!("frame t=5\ncommit\nframe t=9\n{}{}commit\n", up(0), demand(0, 1));
    let output = run(&input);
    assert!(output.status.success());
    let text = stdout(output);
    assert_eq!(text.lines().filter(|line| *line == "next").count(), 2);
    assert!(text.contains("process who=0 handle=00000000-0000-4000-8000-000000000001"));
}

// A newer simulator sends events that this program does not know; a broken one sends lines that nobody can read.
#[test]
fn unknown_events_are_skipped_and_malformed_lines_are_named() {
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

// One worker of many is given settings without sense. It is declared broken; the others go on.
#[test]
fn settings_that_make_no_sense_are_declared_broken() {
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

// A truth value is misspelt. Read as no, it would switch something off unseen.
#[test]
fn a_setting_of_unknown_wording_is_named() {
    let output = run(&format!("frame t=5\n{} extra.list-follows=perhaps\ncommit\n", up(0).trim_end()));
    assert!(!output.status.success());
    assert!(stderr(&output).contains("extra.list-follows"), "{}", stderr(&output));
}

// Reads of the same thing are answered from one run. Without a key nobody knows which are the same.
#[test]
fn a_read_is_remembered_for_others_where_it_says_what_it_concerns() {
    for (key, is_remembered) in [(" affinity=k:one", true), (" affinity=", false), ("", false)] {
        let up = up(0);
        let demand = demand(0, 1);
        let up = up.trim_end();
        let demand = demand.trim_end();
        let input = format!("frame t=5\n{up} extra.fresh-for=600000000\n{demand}{key}\ncommit\n");
        let text = stdout(run(&input));
        assert_eq!(text.contains("keep who=0"), is_remembered, "{key}: {text}");
    }
}

/// The actions of these workers, hosted in one process, over two batches; sorted.
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

// One process hosts many workers. State that they shared would make them decide otherwise than real nodes do.
#[test]
fn one_process_acts_as_three() {
    let mut apart: Vec<String> = (0..3).flat_map(|worker| actions_of(&[worker])).collect();
    apart.sort();
    assert!(!apart.is_empty());
    assert_eq!(actions_of(&[0, 1, 2]), apart);
}
