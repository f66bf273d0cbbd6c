//! The kernel's end of its connection: reads commands and sends notices as the test says.
//!
//! Of itself it answers only questions for gauges (`SYSINFO`), which come all the time.

use super::{TEST_TIMEOUT, with_read_timeout};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Instant;

/// The kernel's end of a connection.
pub struct Kernel {
    lines: BufReader<TcpStream>,
    /// Number of the last numbered notice that was sent.
    pub cursor: u64,
    /// Number of questions for gauges that were answered.
    pub gauge_replies: u64,
    /// What they are answered with, in the order of the configuration's `gauges`.
    pub gauge_values: [f64; 4],
}

impl Kernel {
    /// The node's connection to the kernel, just accepted.
    pub fn new(stream: TcpStream) -> Self {
        Kernel {
            lines: BufReader::new(with_read_timeout(stream)),
            cursor: 0,
            gauge_replies: 0,
            gauge_values: [0.1, 0.0, 0.1, 3.0],
        }
    }

    /// Sends a notice; a numbered one counts up the cursor.
    pub fn notify(&mut self, mut notice: Value, numbered: bool) {
        if numbered {
            self.cursor += 1;
            notice["cursor"] = json!(self.cursor);
        }
        self.lines.get_mut().write_all(format!("{notice}\n").as_bytes()).expect("the node reads");
    }

    /// Sends the beginning of a notice.
    pub fn notify_partially(&mut self, text: &str) {
        self.lines.get_mut().write_all(text.as_bytes()).expect("the node reads");
    }

    /// Reports that the kernel is up.
    pub fn boot(&mut self) {
        self.notify(json!({"event": "BOOTED", "fate": "old", "lasted": 5}), false);
    }

    /// The next command, be it a question for gauges.
    pub fn next_message(&mut self) -> Value {
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("a command");
        serde_json::from_str(&line).expect("one JSON object a line")
    }

    /// The next command that is not a question for gauges; those are answered.
    pub fn command(&mut self) -> Value {
        let began = Instant::now();
        loop {
            let command = self.next_message();
            assert!(began.elapsed() < TEST_TIMEOUT, "nothing but questions for gauges");
            if command["event"] != "SYSINFO" {
                return command;
            }
            self.answer_gauges(&command);
        }
    }

    /// Answers questions for gauges until the connection ends, and fails if any other command comes.
    pub fn expect_only_gauges_until_end(&mut self) {
        let mut line = String::new();
        while self.lines.read_line(&mut line).is_ok_and(|n| n > 0) {
            let command: Value = serde_json::from_str(&line).expect("one JSON object a line");
            assert_eq!(command["event"], "SYSINFO", "{command}");
            // The connection may end meanwhile.
            let answer = json!({"event": "INFO", "ticket": command["ticket"], "figures": self.gauge_values});
            let _ = self.lines.get_mut().write_all(format!("{answer}\n").as_bytes());
            line.clear();
        }
    }

    /// Answers a question for gauges.
    pub fn answer_gauges(&mut self, question: &Value) {
        self.gauge_replies += 1;
        self.notify(
            json!({"event": "INFO", "ticket": question["ticket"], "figures": self.gauge_values}),
            false,
        );
    }

    /// Reads a command for this request, and its body.
    pub fn expect(&mut self, event: &str, id: &str) -> Vec<u8> {
        let command = self.command();
        assert_eq!((&command["event"], &command["handle"]), (&json!(event), &json!(id)), "{command}");
        STANDARD.decode(command["arg"].as_str().unwrap_or("")).expect("base64")
    }

    /// Answers so many questions for gauges, and fails if any other command comes.
    pub fn expect_nothing(&mut self, questions: u64) {
        for _ in 0..questions {
            let command = self.next_message();
            assert_eq!(command["event"], "SYSINFO", "{command}");
            self.answer_gauges(&command);
        }
    }

    /// Reports that the run of this request has ended.
    pub fn reap(&mut self, id: &str, fate: &str, result: &[u8]) {
        let arg = STANDARD.encode(result);
        self.notify(json!({"event": "REAP", "handle": id, "fate": fate, "lasted": 7, "arg": arg}), true);
    }

    /// Asks, for the run of this request, for a call of the store.
    pub fn request_call(&mut self, id: &str, body: &[u8]) {
        self.notify(json!({"event": "IOREQ", "handle": id, "arg": STANDARD.encode(body)}), true);
    }
}
