//! A client of the second address, where operators send commands and read counters.

use super::with_read_timeout;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Sends one line to the second address `admin` (host and port) and returns all that is received until the
/// node closes the connection.
pub fn admin_call(admin: &str, line: &str) -> String {
    let mut caller = with_read_timeout(TcpStream::connect(admin).expect("connecting to the second address"));
    caller.write_all(line.as_bytes()).expect("sending the line to the second address");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("an answer in UTF-8 and the end of the connection");
    answer
}

/// The value of the counter or gauge `name` in the answer to `INFO`. Panics if the answer is incomplete or
/// lacks the name.
pub fn info_value(answer: &str, name: &str) -> u64 {
    assert!(answer.ends_with("\nend\n"), "{answer}");
    let line =
        answer.lines().find_map(|line| line.strip_prefix("balancer.")?.strip_prefix(name)?.strip_prefix(':'));
    let (value, kind) = line
        .and_then(|l| l.split_once('|'))
        .unwrap_or_else(|| panic!("no value `{name}` in the answer to INFO: {answer}"));
    assert_eq!(kind, if name == "concurrent" { "g" } else { "c" }, "{name}");
    value.parse().expect("the value in the answer to INFO is a number")
}
