//! Drives the binary over a pipe.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = "extra.cores=2 extra.heap-kb=8000 extra.run-factor=8 tick=5000000 fleet-size=2 classes.count=1 \
    classes.0.goal-time=1000000000 classes.0.hard-limit=3000000000 classes.0.effect=pure classes.0.worth=1 \
    rules.fall-multiple=6 rules.fall=2000000000 caps.retry-after=true caps.max-retry-after=1000000000 new.key=x";

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gaugestand-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // The binary may stop reading at a bad line; the pipe then breaks, which is no fault of the test.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the binary ends")
}

fn up(who: u32) -> String {
    format!("up who={who} nonce64={who} {SETUP}\n")
}

fn demand(who: u32, n: u32) -> String {
    format!(
        "demand who={who} handle=00000000-0000-4000-8000-{n:012x} lane=0 held-kb=20 unread-for=0 novel=1\n"
    )
}

#[test]
fn batches_get_one_reply_each_and_the_end_of_input_ends_it() {
    let input = format!("frame t=5\ncommit\nframe t=9\n{}{}commit\n", up(0), demand(0, 1));
    let out = run(&input);
    let text = String::from_utf8(out.stdout).expect("text");
    assert!(out.status.success());
    assert_eq!(text.lines().filter(|l| *l == "next").count(), 2);
    assert!(text.contains("process who=0 handle=00000000-0000-4000-8000-000000000001"));
}

#[test]
fn unknown_events_are_skipped_and_malformed_lines_are_named() {
    let ok = format!("frame t=5\nnovelty who=0 odd\n{}commit\n", up(0));
    assert!(run(&ok).status.success());
    for (line, field) in [
        ("demand who=0 lane=0", "handle"),
        ("demand who=0 handle=short lane=0", "handle"),
        ("completed who=0 handle=00000000-0000-4000-8000-000000000001 rc=77", "rc"),
        ("demand who=0 handle=00000000-0000-4000-8000-000000000001 lane=0 src-peer=-1", "src-peer"),
        ("wind_down who=x drop-dead=3", "who"),
        ("client_gone who=0 nonsense", "nonsense"),
    ] {
        let out = run(&format!("frame t=5\n{}{line}\ncommit\n", up(0)));
        let said = String::from_utf8(out.stderr).expect("text");
        assert!(!out.status.success() && said.contains("line 3") && said.contains(field), "{line}: {said}");
    }
}

#[test]
fn settings_that_make_no_sense_are_declared_broken() {
    for (from, to, key) in [
        ("extra.cores=2", "extra.cores=0", "cores"),
        ("classes.count=1", "classes.count=0", "classes"),
        ("tick=5000000", "tick=-5", "tick"),
    ] {
        let out = run(&format!("frame t=5\n{}commit\n", up(0).replace(from, to)));
        let text = String::from_utf8(out.stdout).expect("text");
        assert!(text.contains("broken who=0") && text.contains(key), "{text}");
    }
}

#[test]
fn a_setting_of_unknown_wording_is_named() {
    let out = run(&format!("frame t=5\n{} extra.list-follows=perhaps\ncommit\n", up(0).trim_end()));
    let said = String::from_utf8(out.stderr).expect("text");
    assert!(!out.status.success() && said.contains("extra.list-follows"), "{said}");
}

#[test]
fn a_read_is_kept_for_others_where_it_says_what_it_concerns() {
    for (key, kept) in [(" affinity=k:one", true), (" affinity=", false), ("", false)] {
        let (up, demand) = (up(0), demand(0, 1));
        let (up, demand) = (up.trim_end(), demand.trim_end());
        let out = run(&format!("frame t=5\n{up} extra.fresh-for=600000000\n{demand}{key}\ncommit\n"));
        let text = String::from_utf8(out.stdout).expect("text");
        assert_eq!(text.contains("keep who=0"), kept, "{key}: {text}");
    }
}

#[test]
fn one_process_acts_as_three() {
    let events = |who: u32| (1..9).map(|n| demand(who, who * 100 + n)).collect::<String>();
    let lines = |who: Option<u32>| {
        let whos: Vec<u32> = who.map_or(vec![0, 1, 2], |w| vec![w]);
        let mut text = String::from("frame t=5\n");
        text.extend(whos.iter().map(|w| up(*w)));
        text.push_str("commit\nframe t=20000005\n");
        for w in &whos {
            text.push_str(&events(*w));
            text.push_str(&format!("elapsed who={w} name=1 telemetry=cpu_busy:1.0,runnable:9,odd:1\n"));
        }
        text.push_str("commit\n");
        let out = String::from_utf8(run(&text).stdout).expect("text");
        let mut acts: Vec<String> = out.lines().filter(|l| *l != "next").map(String::from).collect();
        acts.sort();
        acts
    };
    let mut apart: Vec<String> = (0..3).flat_map(|w| lines(Some(w))).collect();
    apart.sort();
    assert!(!apart.is_empty());
    assert_eq!(lines(None), apart);
}
