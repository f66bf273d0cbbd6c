//! FastCGI 1.0 as a gateway speaks it.

use std::collections::BTreeMap;

fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let mut out = vec![1, kind];
    out.extend(id.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([0, 0]);
    out.extend(content);
    out
}

/// All records of a request.
pub fn request(id: u16, params: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    let mut pairs = Vec::new();
    for (name, value) in params {
        pairs.extend([name.len() as u8, value.len() as u8]);
        pairs.extend(name.bytes().chain(value.bytes()));
    }
    out.extend(record(4, id, &pairs));
    out.extend(record(4, id, &[]));
    if !body.is_empty() {
        out.extend(record(5, id, body));
    }
    out.extend(record(5, id, &[]));
    out
}

/// The record with which a gateway aborts a request.
pub fn abort(id: u16) -> Vec<u8> {
    record(2, id, &[])
}

/// Why the bytes of a node are no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedAnswer {
    /// A record is not of version 1.
    #[error("a record of another version")]
    Version,
    /// A record is of a kind that a gateway never asks for.
    #[error("a record that nobody asked for")]
    UnexpectedRecord,
    /// The response has no blank line after its header.
    #[error("a response without a head")]
    NoHead,
    /// The header has no status.
    #[error("a response without a status")]
    NoStatus,
    /// The status does not begin with a number.
    #[error("a status that is no number")]
    Status,
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request's number on the connection.
    pub id: u16,
    /// The status code; 0 if the protocol itself ended the request.
    pub status: u16,
    /// It asks the gateway not to retry elsewhere.
    pub no_retry_elsewhere: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// Parses what the node sends on one connection.
#[derive(Debug, Default)]
pub struct Reader {
    input: Vec<u8>,
    parts: BTreeMap<u16, Vec<u8>>,
}

impl Reader {
    /// Takes in bytes and returns the answers that are complete by now.
    ///
    /// # Errors
    /// The bytes are not what a FastCGI application may send.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Answer>, MalformedAnswer> {
        self.input.extend(bytes);
        let mut answers = Vec::new();
        while self.input.len() >= 8 {
            let head = &self.input[..8];
            let (kind, id) = (head[1], u16::from_be_bytes([head[2], head[3]]));
            let len = usize::from(u16::from_be_bytes([head[4], head[5]]));
            let whole = 8 + len + usize::from(head[6]);
            if head[0] != 1 {
                return Err(MalformedAnswer::Version);
            }
            if self.input.len() < whole {
                break;
            }
            let content = self.input[8..8 + len].to_vec();
            self.input.drain(..whole);
            match kind {
                6 => self.parts.entry(id).or_default().extend(content),
                3 => answers.push(answer(id, &self.parts.remove(&id).unwrap_or_default(), &content)?),
                _ => return Err(MalformedAnswer::UnexpectedRecord),
            }
        }
        Ok(answers)
    }
}

fn answer(id: u16, out: &[u8], end: &[u8]) -> Result<Answer, MalformedAnswer> {
    if end.get(4) != Some(&0) {
        return Ok(Answer { id, status: 0, no_retry_elsewhere: false, body: Vec::new() });
    }
    let at = out.windows(4).position(|w| w == b"\r\n\r\n").ok_or(MalformedAnswer::NoHead)?;
    let head = String::from_utf8_lossy(&out[..at]);
    let status = head.lines().find_map(|l| l.strip_prefix("Status: ")).ok_or(MalformedAnswer::NoStatus)?;
    let status = status.get(..3).and_then(|s| s.parse().ok()).ok_or(MalformedAnswer::Status)?;
    let no_retry_elsewhere = head.lines().any(|l| l == "X-Give-Up: 1");
    Ok(Answer { id, status, no_retry_elsewhere, body: out[at + 4..].to_vec() })
}
