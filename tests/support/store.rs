//! The store's end of one connection from the node. It reads calls and sends replies as the test directs.

use super::with_read_timeout;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The store's end of one connection from the node.
pub struct StoreConnection {
    lines: BufReader<TcpStream>,
}

impl StoreConnection {
    /// Takes over a connection from the node that was just accepted.
    pub fn new(stream: TcpStream) -> Self {
        StoreConnection { lines: BufReader::new(with_read_timeout(stream)) }
    }

    /// Reads the next line, and the body that follows it if the line is a call.
    pub fn next_line(&mut self) -> (String, Vec<u8>) {
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("a line from the node");
        let line = line.trim_end().to_string();
        let mut body = Vec::new();
        if line.starts_with("CALL ") {
            let len: usize = line
                .rsplit(' ')
                .next()
                .and_then(|l| l.parse().ok())
                .expect("the length of the body at the end of the line");
            body = vec![0; len + 2];
            self.lines.read_exact(&mut body).expect("the body of the call");
            assert_eq!(body.split_off(len), b"\r\n");
        }
        (line, body)
    }

    /// Reads the next line, which must be a call of the request `id`, and returns the body of the call.
    pub fn expect_call(&mut self, id: &str) -> Vec<u8> {
        let (line, body) = self.next_line();
        assert!(line.starts_with(&format!("CALL {id} ")), "{line}");
        body
    }

    /// Reads the next line; true if it is a call of the request `id`, false if it is another line or the
    /// connection ends.
    pub fn receives_call(&mut self, id: &str) -> bool {
        let mut line = String::new();
        let read = self.lines.read_line(&mut line).unwrap_or(0);
        read > 0 && line.starts_with(&format!("CALL {id} "))
    }

    /// Sends `bytes` to the node; they need not be a valid reply.
    pub fn reply(&mut self, bytes: &[u8]) {
        self.lines.get_mut().write_all(bytes).expect("sending to the node");
    }
}
