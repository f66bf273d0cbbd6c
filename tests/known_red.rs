//! Tests of `.ci/known-red`, the script with which CI skips tests that are known to fail: it skips exactly
//! the tests that `KNOWN-RED.txt` lists, and rejects a malformed list.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Runs `.ci/known-red` with this list (`None`: the file does not exist) and these names of tests, one a
/// line, on its standard input. Returns its standard output, or its standard error if it fails.
fn known_red(list: Option<&str>, tests: &str) -> Result<String, String> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("known-red-{}-{n}.txt", std::process::id()));
    if let Some(list) = list {
        std::fs::write(&path, list).expect("the list is written");
    }
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let mut command = Command::new("bash");
    command.arg(script).arg(&path).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("bash starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(tests.as_bytes())
        .expect("the script reads");
    let out = child.wait_with_output().expect("the script exits");
    let _ = std::fs::remove_file(path);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if out.status.success() { Ok(text(&out.stdout)) } else { Err(text(&out.stderr)) }
}

/// Names of tests, one a line, as CI passes them to the script. Two tests are named `two`, and `one` is also
/// the end of another test's name.
const TESTS: &str = "one\nother::one\ntwo\ntwo\nthree\nfour\n";

/// A valid entry of the list for the test of this name.
fn entry(test: &str) -> String {
    format!("test: {test}\ncommand: cargo test --locked {test}\nseed: 7\nseen: a race, at close\nissue: 26\n")
}

#[test]
fn listed_tests_are_skipped_by_their_full_names() {
    for none in [None, Some(""), Some("\n\n")] {
        assert_eq!(known_red(none, TESTS), Ok(String::new()));
    }
    let several_lines = "\
test: other::one
command: cargo test --locked --test other
    one -- --exact
seed: none
seen: a slow dial,
    then a reset: 3 of 20 runs
issue: issue #27
";
    let list = format!("{}\n{several_lines}\n\n{}", entry("one"), entry("three").trim_end());
    assert_eq!(known_red(Some(&list), TESTS), Ok("one\nother::one\nthree\n".into()));
}

#[test]
fn a_malformed_list_is_an_error() {
    let four = ["one", "other::one", "three", "four"].map(entry).join("\n");
    let twice = [entry("one"), entry("one")].join("\n");
    let no_blank_line = [entry("one"), entry("three")].concat();
    let without = |field: &str| {
        let whole = entry("one");
        let lines = whole.lines().filter(|line| !line.starts_with(field));
        lines.collect::<Vec<_>>().join("\n")
    };
    let with = |field: &str, text: &str| {
        let whole = entry("one");
        let lines = whole.lines().map(|line| if line.starts_with(field) { text } else { line });
        lines.collect::<Vec<_>>().join("\n")
    };
    for (list, why) in [
        (four, "over 3 entries"),
        (twice, "twice: one"),
        (no_blank_line, "not a blank line after an entry"),
        ("one, a race at close, 26\n".into(), "not 'test:'"),
        ("  one\n".into(), "not a field"),
        ("test: one\n".into(), "has no 'command:'"),
        (without("test"), "not 'test:'"),
        (without("command"), "not 'command:'"),
        (without("seed"), "not 'seed:'"),
        (without("seen"), "not 'seen:'"),
        (without("issue"), "has no 'issue:'"),
        (with("test", "test:"), "has an empty 'test:'"),
        (with("command", "command: "), "has an empty 'command:'"),
        (with("seed", "seed:"), "has an empty 'seed:'"),
        (with("seen", "seen:\n   "), "has no 'issue:'"),
        (with("seen", "seen:"), "has an empty 'seen:'"),
        (with("issue", "issue:"), "has an empty 'issue:'"),
        (with("issue", "issue: soon"), "has no issue number"),
        (entry("five"), "0 tests are named five"),
        (entry("on"), "0 tests are named on"),
        (entry("two"), "2 tests are named two"),
    ] {
        let message = known_red(Some(&list), TESTS).expect_err(&list);
        assert!(message.contains(why), "{list:?}: {message}");
    }
}
