//! The gateway's side of FastCGI 1.0: writes requests and parses the answers of a node.

use std::collections::BTreeMap;

/// Encodes one record without padding. `id` is the FastCGI request id.
fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let mut out = vec![1, kind];
    out.extend(id.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([0, 0]);
    out.extend(content);
    out
}

/// Encodes all records of a request. The connection stays open after the answer. Names and values of `params`
/// are shorter than 128 bytes.
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

/// Encodes the record with which a gateway aborts a request.
pub fn abort(id: u16) -> Vec<u8> {
    record(2, id, &[])
}

/// Why the bytes that a node sent are no valid FastCGI response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedAnswer {
    /// The version of a record is not 1.
    #[error("FastCGI record has an unsupported version; expected 1")]
    Version,
    /// The type of a record is neither FCGI_STDOUT (6) nor FCGI_END_REQUEST (3).
    #[error("FastCGI record has an unexpected type; expected 6 (stdout) or 3 (end of request)")]
    UnexpectedRecord,
    /// The response has no blank line after its header.
    #[error("response has no blank line after its header")]
    NoHead,
    /// The header of the response has no `Status` line.
    #[error("response header has no Status line")]
    NoStatus,
    /// The `Status` line does not begin with a number of three digits.
    #[error("Status line of the response does not begin with a status code of three digits")]
    Status,
}

/// A complete answer to one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// FastCGI request id: the number of the request on its connection.
    pub id: u16,
    /// HTTP status code, or 0 if the node ended the request with a protocol status other than
    /// FCGI_REQUEST_COMPLETE.
    pub status: u16,
    /// Whether the answer asks the gateway not to retry at another node (`X-Give-Up: 1`).
    pub no_retry_elsewhere: bool,
    /// Body of the response; empty if the status is 0.
    pub body: Vec<u8>,
}

/// Parses the bytes that the node sends on one connection.
#[derive(Debug, Default)]
pub struct Reader {
    input: Vec<u8>,
    /// Contents of the stdout records of each request that has not ended, by FastCGI request id.
    partial: BTreeMap<u16, Vec<u8>>,
}

impl Reader {
    /// Adds received bytes and returns the answers that they complete.
    ///
    /// # Errors
    /// A record or a response is malformed; [`MalformedAnswer`] says how.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Answer>, MalformedAnswer> {
        self.input.extend(bytes);
        let mut answers = Vec::new();
        while self.input.len() >= 8 {
            let head = &self.input[..8];
            let (kind, id) = (head[1], u16::from_be_bytes([head[2], head[3]]));
            let len = usize::from(u16::from_be_bytes([head[4], head[5]]));
            let record_len = 8 + len + usize::from(head[6]);
            if head[0] != 1 {
                return Err(MalformedAnswer::Version);
            }
            if self.input.len() < record_len {
                break;
            }
            let content = self.input[8..8 + len].to_vec();
            self.input.drain(..record_len);
            match kind {
                6 => self.partial.entry(id).or_default().extend(content),
                3 => answers.push(answer(id, &self.partial.remove(&id).unwrap_or_default(), &content)?),
                _ => return Err(MalformedAnswer::UnexpectedRecord),
            }
        }
        Ok(answers)
    }
}

/// Parses the response of a request from its stdout content and the content of its end record.
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
