//! A gateway on a real socket: one connection, one request at a time. It sends no more than the node needs, and knows no
//! retries: what a node answers is what a test sees.

use super::fastcgi::{self, Answer, Reader};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What an attempt was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It ran, with this result.
    Served(Vec<u8>),
    /// It never ran; another node may take it.
    Rejected,
    /// It never ran, and no node takes it.
    Blocked,
    /// It failed, with this status.
    Failed(u16),
}

/// Bytes that are read at a time: more than an answer has.
const READ_BYTES: usize = 8 * 1024;

/// A connection to a node.
#[derive(Debug)]
pub struct Gateway {
    stream: TcpStream,
    reader: Reader,
}

impl Gateway {
    /// Connects. An answer that takes longer than `timeout` is an error.
    ///
    /// # Errors
    /// Nothing listens at the address, or the system refuses a socket option.
    pub fn connect(to: &str, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Gateway { stream, reader: Reader::default() })
    }

    /// A read without a subject.
    ///
    /// # Errors
    /// No answer came within the timeout, the node closed the connection, or its answer cannot be read. A
    /// late answer may still arrive, so the connection should not be used again.
    pub fn read(&mut self, txn: u64) -> io::Result<Reply> {
        self.exchange(txn, "quote", ("HTTP_X_SHED_ORDER", "0.5".into()), b"q")
    }

    /// A read about a subject.
    ///
    /// # Errors
    /// As for [`Gateway::read`].
    pub fn read_about(&mut self, txn: u64, subject: u64) -> io::Result<Reply> {
        self.exchange(txn, "quote", ("HTTP_X_ROW", format!("{subject:016x}")), b"q")
    }

    /// An attempt of a keyed request.
    ///
    /// # Errors
    /// As for [`Gateway::read`]; it is unknown whether the request ran, and only a retry with the same key is
    /// safe.
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
