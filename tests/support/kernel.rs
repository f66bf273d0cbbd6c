//! The kernel's end of its connection to the node. It reads commands and sends notices as the test directs.
//!
//! It acts only when a test calls a method, and these methods answer the polls for gauges (`SYSINFO`) that
//! arrive while they wait.

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
    /// Number of polls for gauges that were answered on this connection.
    pub gauge_replies: u64,
    /// Values that answer a poll for gauges, in the order of the configuration's `gauges`.
    pub gauge_values: [f64; 4],
}

impl Kernel {
    /// Takes over a connection from the node that was just accepted.
    pub fn new(stream: TcpStream) -> Self {
        Kernel {
            lines: BufReader::new(with_read_timeout(stream)),
            cursor: 0,
            gauge_replies: 0,
            gauge_values: [0.1, 0.0, 0.1, 3.0],
        }
    }

    /// Sends a notice. If `numbered`, increments the cursor and sends it as the notice's number.
    pub fn notify(&mut self, mut notice: Value, numbered: bool) {
        if numbered {
            self.cursor += 1;
            notice["cursor"] = json!(self.cursor);
        }
        self.lines.get_mut().write_all(format!("{notice}\n").as_bytes()).expect("sending to the node");
    }

    /// Sends `text` as the beginning of a notice, without a line end.
    pub fn notify_partially(&mut self, text: &str) {
        self.lines.get_mut().write_all(text.as_bytes()).expect("sending to the node");
    }

    /// Sends the notice that the kernel is up.
    pub fn boot(&mut self) {
        self.notify(json!({"event": "BOOTED", "fate": "old", "lasted": 5}), false);
    }

    /// Reads the next command, which may be a poll for gauges.
    pub fn next_message(&mut self) -> Value {
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("a command from the node");
        serde_json::from_str(&line).expect("a command as one line of JSON")
    }

    /// Reads the next command that is not a poll for gauges, and answers the polls before it.
    pub fn command(&mut self) -> Value {
        let began = Instant::now();
        loop {
            let command = self.next_message();
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "the node sent only polls for gauges, and no other command"
            );
            if command["event"] != "SYSINFO" {
                return command;
            }
            self.answer_gauges(&command);
        }
    }

    /// Answers polls for gauges until the connection ends. Panics if the node sends any other command.
    pub fn expect_only_gauges_until_end(&mut self) {
        let mut line = String::new();
        while self.lines.read_line(&mut line).is_ok_and(|n| n > 0) {
            let command: Value = serde_json::from_str(&line).expect("a command as one line of JSON");
            assert_eq!(command["event"], "SYSINFO", "{command}");
            // The write may fail, as the node may close the connection at any time.
            let answer = json!({"event": "INFO", "ticket": command["ticket"], "figures": self.gauge_values});
            let _ = self.lines.get_mut().write_all(format!("{answer}\n").as_bytes());
            line.clear();
        }
    }

    /// Answers a poll for gauges.
    pub fn answer_gauges(&mut self, poll: &Value) {
        self.gauge_replies += 1;
        self.notify(json!({"event": "INFO", "ticket": poll["ticket"], "figures": self.gauge_values}), false);
    }

    /// Reads the next command, which must be `event` for the request `id`, and returns its body. Answers the
    /// polls for gauges before it.
    pub fn expect(&mut self, event: &str, id: &str) -> Vec<u8> {
        let command = self.command();
        assert_eq!((&command["event"], &command["handle"]), (&json!(event), &json!(id)), "{command}");
        STANDARD.decode(command["arg"].as_str().unwrap_or("")).expect("a command body in base64")
    }

    /// Reads the next command that is not a poll for gauges, and leaves the polls before it without an
    /// answer: the node cannot know that the kernel has read the command. Returns the event and the request.
    pub fn next_command_without_answers(&mut self) -> (String, String) {
        let began = Instant::now();
        loop {
            let message = self.next_message();
            assert!(began.elapsed() < TEST_TIMEOUT, "the node sent only polls for gauges");
            if message["event"] != "SYSINFO" {
                let text = |key: &str| message[key].as_str().unwrap_or_default().to_string();
                return (text("event"), text("handle"));
            }
        }
    }

    /// Answers the next `polls` polls for gauges. Panics if the node sends any other command.
    pub fn expect_nothing(&mut self, polls: u64) {
        for _ in 0..polls {
            let command = self.next_message();
            assert_eq!(command["event"], "SYSINFO", "{command}");
            self.answer_gauges(&command);
        }
    }

    /// Sends the notice that the run of the request `id` has ended with this fate and result.
    pub fn reap(&mut self, id: &str, fate: &str, result: &[u8]) {
        let arg = STANDARD.encode(result);
        self.notify(json!({"event": "REAP", "handle": id, "fate": fate, "lasted": 7, "arg": arg}), true);
    }

    /// Sends the notice that the run of the request `id` requests an outbound call with this body.
    pub fn request_call(&mut self, id: &str, body: &[u8]) {
        self.notify(json!({"event": "IOREQ", "handle": id, "arg": STANDARD.encode(body)}), true);
    }
}
