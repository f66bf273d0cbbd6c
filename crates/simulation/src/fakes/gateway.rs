//! A gateway on a real socket: one connection, one request at a time.

use super::fastcgi::{self, Answer, Reader};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a try came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// With this result.
    Served(Vec<u8>),
    /// It never ran; another node may take it.
    Refused,
    /// It never ran, and no node takes it.
    Barred,
    /// It failed.
    Failed(u16),
}

/// A connection to a node.
#[derive(Debug)]
pub struct Gateway {
    stream: TcpStream,
    reader: Reader,
}

impl Gateway {
    /// Connects; an answer that takes longer than this is an error.
    pub fn connect(to: &str, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        Ok(Gateway { stream, reader: Reader::default() })
    }

    /// A read about nothing in particular.
    pub fn read(&mut self, txn: u64) -> io::Result<Verdict> {
        self.ask(txn, "quote", ("HTTP_X_SHED_ORDER", "0.5".into()), b"q")
    }

    /// A read about a subject.
    pub fn read_about(&mut self, txn: u64, subject: u64) -> io::Result<Verdict> {
        self.ask(txn, "quote", ("HTTP_X_ROW", format!("{subject:016x}")), b"q")
    }

    /// A try of a keyed request.
    pub fn book(&mut self, txn: u64, key: &str, body: &[u8]) -> io::Result<Verdict> {
        self.ask(txn, "booking", ("HTTP_X_TXN_KEY", key.to_string()), body)
    }

    fn ask(&mut self, txn: u64, class: &str, field: (&str, String), body: &[u8]) -> io::Result<Verdict> {
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
        let mut chunk = [0; 8 * 1024];
        loop {
            let n = self.stream.read(&mut chunk)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let read = self.reader.take(&chunk[..n]).map_err(io::Error::other)?;
            if let Some(answer) = read.into_iter().next() {
                return Ok(verdict(answer));
            }
        }
    }
}

fn verdict(answer: Answer) -> Verdict {
    match answer.status {
        200 => Verdict::Served(answer.body),
        429 | 503 if answer.no_retry_elsewhere => Verdict::Barred,
        429 | 503 | 0 => Verdict::Refused,
        other => Verdict::Failed(other),
    }
}
