//! Fake of a gateway on a real socket: one connection with one request at a time. It sends only the fields
//! that the node needs and never retries, so that a test sees every answer of the node.

use super::fastcgi::{self, Answer, Reader};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The answer to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The attempt ran, or its key had run before; this is the result.
    Served(Vec<u8>),
    /// The attempt never ran; another node may run a retry.
    Rejected,
    /// The attempt never ran, and the node asked the gateway not to retry it at another node.
    Blocked,
    /// The attempt failed with this HTTP status.
    Failed(u16),
}

/// Most bytes read from the socket at once; an answer is shorter.
const READ_BYTES: usize = 8 * 1024;

/// A connection from a gateway to a node.
#[derive(Debug)]
pub struct Gateway {
    stream: TcpStream,
    reader: Reader,
}

impl Gateway {
    /// Connects to the node at `to`. An answer that takes longer than `timeout` is an error.
    ///
    /// # Errors
    /// The connection to the address fails, or the system rejects a socket option.
    pub fn connect(to: &str, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Gateway { stream, reader: Reader::default() })
    }

    /// Sends a read (class `quote`) without a resource key and waits for its answer. `txn` is the request id.
    ///
    /// # Errors
    /// No answer came within the timeout, the node closed the connection, or its answer cannot be read. A
    /// late answer may still arrive, so the connection should not be used again.
    pub fn read(&mut self, txn: u64) -> io::Result<Reply> {
        self.exchange(txn, "quote", ("HTTP_X_SHED_ORDER", "0.5".into()), b"q")
    }

    /// Sends a read (class `quote`) with the resource key `resource` and waits for its answer.
    ///
    /// # Errors
    /// The errors of [`Gateway::read`].
    pub fn read_about(&mut self, txn: u64, resource: u64) -> io::Result<Reply> {
        self.exchange(txn, "quote", ("HTTP_X_ROW", format!("{resource:016x}")), b"q")
    }

    /// Sends an attempt of a request of class `booking` with an idempotency key and waits for its answer.
    ///
    /// # Errors
    /// The errors of [`Gateway::read`]. After an error it is unknown whether the request ran, and only a
    /// retry with the same key is safe.
    pub fn book(&mut self, txn: u64, key: &str, body: &[u8]) -> io::Result<Reply> {
        self.exchange(txn, "booking", ("HTTP_X_TXN_KEY", key.to_string()), body)
    }

    fn exchange(&mut self, txn: u64, class: &str, field: (&str, String), body: &[u8]) -> io::Result<Reply> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let params = [
            ("REQUEST_METHOD", "POST".to_string()),
            ("SCRIPT_NAME", format!("/svc/{class}")),
            ("HTTP_X_TXN", format!("{txn:016x}")),
            ("HTTP_X_INGRESS_TIME", now.to_string()),
            ("HTTP_X_ROUTER", "1".into()),
            ("HTTP_X_WORKING_SET_KB", "2.5".into()),
            field,
        ];
        self.stream.write_all(&fastcgi::request(1, &params, body))?;
        let mut chunk = [0; READ_BYTES];
        loop {
            let length = self.stream.read(&mut chunk)?;
            if length == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let read = self.reader.take(&chunk[..length]).map_err(io::Error::other)?;
            if let Some(answer) = read.into_iter().next() {
                return Ok(reply(answer));
            }
        }
    }
}

fn reply(answer: Answer) -> Reply {
    match answer.status {
        200 => Reply::Served(answer.body),
        429 | 503 if answer.no_retry_elsewhere => Reply::Blocked,
        429 | 503 | 0 => Reply::Rejected,
        other => Reply::Failed(other),
    }
}
