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

/// The gateway waits no longer.
pub fn abort(id: u16) -> Vec<u8> {
    record(2, id, &[])
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Of which request of the connection.
    pub id: u16,
    /// The number of its status; 0 if the protocol itself ended it.
    pub status: u16,
    /// It asks that no other node be tried.
    pub no_retry_elsewhere: bool,
    /// Its body.
    pub body: Vec<u8>,
}

/// What comes on one connection.
#[derive(Debug, Default)]
pub struct Reader {
    input: Vec<u8>,
    parts: BTreeMap<u16, Vec<u8>>,
}

impl Reader {
    /// Takes in bytes; an error names what cannot be read.
    ///
    /// # Errors
    /// A record of another protocol version or of an unexpected type, or a response without a readable
    /// status. The node under test violates the protocol, and nothing more can be read.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Answer>, &'static str> {
        self.input.extend(bytes);
        let mut answers = Vec::new();
        while self.input.len() >= 8 {
            let head = &self.input[..8];
            let (kind, id) = (head[1], u16::from_be_bytes([head[2], head[3]]));
            let len = usize::from(u16::from_be_bytes([head[4], head[5]]));
            let whole = 8 + len + usize::from(head[6]);
            if head[0] != 1 {
                return Err("a record of another version");
            }
            if self.input.len() < whole {
                break;
            }
            let content = self.input[8..8 + len].to_vec();
            self.input.drain(..whole);
            match kind {
                6 => self.parts.entry(id).or_default().extend(content),
                3 => answers.push(answer(id, &self.parts.remove(&id).unwrap_or_default(), &content)?),
                _ => return Err("a record that nobody asked for"),
            }
        }
        Ok(answers)
    }
}

fn answer(id: u16, out: &[u8], end: &[u8]) -> Result<Answer, &'static str> {
    if end.get(4) != Some(&0) {
        return Ok(Answer { id, status: 0, no_retry_elsewhere: false, body: Vec::new() });
    }
    let at = out.windows(4).position(|w| w == b"\r\n\r\n").ok_or("a response without a head")?;
    let head = String::from_utf8_lossy(&out[..at]);
    let status =
        head.lines().find_map(|l| l.strip_prefix("Status: ")).ok_or("a response without a status")?;
    let status = status.get(..3).and_then(|s| s.parse().ok()).ok_or("a status that is no number")?;
    let no_retry_elsewhere = head.lines().any(|l| l == "X-Give-Up: 1");
    Ok(Answer { id, status, no_retry_elsewhere, body: out[at + 4..].to_vec() })
}
