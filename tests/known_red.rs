//! What `.ci/run` passes over: exactly what `KNOWN-RED.txt` lists, and no list that is wrong.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Runs the reader of the list on this list, with tests of these names; its output, or what it says is wrong.
fn known_red(list: Option<&str>, tests: &str) -> Result<String, String> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("known-red-{}-{n}.txt", std::process::id()));
    if let Some(list) = list {
        std::fs::write(&path, list).expect("written");
    }
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let mut command = Command::new("bash");
    command.arg(script).arg(&path).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("bash");
    child.stdin.take().expect("piped").write_all(tests.as_bytes()).expect("read");
    let out = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(path);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    if out.status.success() { Ok(text(&out.stdout)) } else { Err(text(&out.stderr)) }
}

const TESTS: &str = "one\nother::one\ntwo\ntwo\nthree\nfour\n";

#[test]
fn tests_that_are_listed_are_passed_over_by_their_full_names() {
    for none in [None, Some("")] {
        assert_eq!(known_red(none, TESTS), Ok(String::new()));
    }
    let list = "one, a race at close, with a comma, 26\nother::one, a slow dial, issue 27\nthree, x, #9";
    assert_eq!(known_red(Some(list), TESTS), Ok("one\nother::one\nthree\n".into()));
}

#[test]
fn a_list_that_is_wrong_is_an_error() {
    for (list, why) in [
        ("one, a, 1\nother::one, a, 1\nthree, a, 1\nfour, a, 1\n", "over 3 lines"),
        ("one, no issue\n", "not 'test, cause, issue'"),
        ("one\n", "not 'test, cause, issue'"),
        ("one, , 1\n", "not 'test, cause, issue'"),
        ("\n", "not 'test, cause, issue'"),
        ("five, a, 1\n", "0 tests are named five"),
        ("on, a part of a name, 1\n", "0 tests are named on"),
        ("two, a, 1\n", "2 tests are named two"),
        ("one, a, 1\none, a, 1\n", "twice"),
    ] {
        let said = known_red(Some(list), TESTS).expect_err(list);
        assert!(said.contains(why), "{list:?}: {said}");
    }
}
