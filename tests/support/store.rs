//! The store's end of one connection: reads calls and replies as the test says.

use super::with_read_timeout;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The store's end of one connection.
pub struct StoreConnection {
    lines: BufReader<TcpStream>,
}

impl StoreConnection {
    /// A connection that the store has accepted.
    pub fn new(stream: TcpStream) -> Self {
        StoreConnection { lines: BufReader::new(with_read_timeout(stream)) }
    }

    /// The next line and, with a call, its body.
    pub fn next_line(&mut self) -> (String, Vec<u8>) {
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("a line");
        let line = line.trim_end().to_string();
        let mut body = Vec::new();
        if line.starts_with("CALL ") {
            let len: usize = line.rsplit(' ').next().and_then(|l| l.parse().ok()).expect("a length");
            body = vec![0; len + 2];
            self.lines.read_exact(&mut body).expect("a body");
            assert_eq!(body.split_off(len), b"\r\n");
        }
        (line, body)
    }

    /// Reads a call for this request; returns its body.
    pub fn expect_call(&mut self, id: &str) -> Vec<u8> {
        let (line, body) = self.next_line();
        assert!(line.starts_with(&format!("CALL {id} ")), "{line}");
        body
    }

    /// Whether a call for this request is the next thing to come, rather than the end of the connection.
    pub fn receives_call(&mut self, id: &str) -> bool {
        let mut line = String::new();
        let read = self.lines.read_line(&mut line).unwrap_or(0);
        read > 0 && line.starts_with(&format!("CALL {id} "))
    }

    /// Sends these bytes.
    pub fn reply(&mut self, bytes: &[u8]) {
        self.lines.get_mut().write_all(bytes).expect("the node reads");
    }
}
