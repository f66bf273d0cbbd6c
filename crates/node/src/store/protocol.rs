//! The store's protocol: lines with bodies, in both directions.
//!
//! This is the only place where the words of the protocol (`CALL`, `BUSY`, ...) become the code's terms. An
//! invalid reply means that the framing of its connection is lost.

use crate::request::{format_request_id, parse_request_id};
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::CallOutcome;

/// Maximum length of the first line of a reply, in bytes, including CR and LF.
pub const MAX_LINE_BYTES: usize = 128;
/// Maximum size of the body of a reply, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// How a call ended, as the store reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyStatus {
    /// OK: the call succeeded. Contains the body of the reply.
    Succeeded(Vec<u8>),
    /// BUSY: the store rejected the call, which never ran.
    Overloaded,
    /// ERR: the call failed, and may have had its effect.
    Failed,
    /// LATE: the call timed out, and may have had its effect.
    TimedOut,
    /// VOID: the call never ran, as no run waits for its reply.
    NoRun,
}

impl ReplyStatus {
    /// Returns the outcome for the engine and the body for the run. Returns `None` for
    /// [`ReplyStatus::NoRun`], since the kernel itself reports that the run has ended.
    pub(super) fn into_outcome(self) -> Option<(CallOutcome, Option<Vec<u8>>)> {
        match self {
            ReplyStatus::Succeeded(body) => Some((CallOutcome::Succeeded, Some(body))),
            ReplyStatus::Overloaded => Some((CallOutcome::Overloaded, None)),
            ReplyStatus::Failed => Some((CallOutcome::Failed, None)),
            ReplyStatus::TimedOut => Some((CallOutcome::TimedOut, None)),
            ReplyStatus::NoRun => None,
        }
    }
}

/// Result of parsing the start of a buffer as a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The reply is not complete yet.
    Incomplete,
    /// The bytes cannot be a reply: the framing is lost.
    Invalid,
    /// A complete reply: its length in bytes, the id of the request that made the call, and how the call
    /// ended.
    Complete(usize, RequestId, ReplyStatus),
}

/// Parses the reply at the start of `buffer`.
pub fn parse_reply(buffer: &[u8]) -> Reply {
    let Some(line_end) = buffer.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if buffer.len() >= MAX_LINE_BYTES { Reply::Invalid } else { Reply::Incomplete };
    };
    let Some(line) = buffer[..line_end].strip_suffix(b"\r") else { return Reply::Invalid };
    let mut words = line.split(|byte| *byte == b' ');
    let Some(id) = words.next().and_then(parse_request_id) else { return Reply::Invalid };
    let status = words.next().unwrap_or_default();
    let body_length = words.next();
    let excess = words.next();
    let status = match (status, body_length, excess) {
        (b"OK", Some(length), None) => return parse_body(buffer, line_end + 1, id, length),
        (b"BUSY", None, _) => ReplyStatus::Overloaded,
        (b"ERR", None, _) => ReplyStatus::Failed,
        (b"LATE", None, _) => ReplyStatus::TimedOut,
        (b"VOID", None, _) => ReplyStatus::NoRun,
        _ => return Reply::Invalid,
    };
    Reply::Complete(line_end + 1, id, status)
}

fn parse_body(buffer: &[u8], start: usize, id: RequestId, length: &[u8]) -> Reply {
    let length = std::str::from_utf8(length).ok().and_then(|length| length.parse::<usize>().ok());
    let Some(length) = length.filter(|length| *length <= MAX_BODY_BYTES) else { return Reply::Invalid };
    let end = start + length;
    let Some(rest) = buffer.get(end..) else { return Reply::Incomplete };
    match rest {
        [b'\r', b'\n', ..] => {
            let body = buffer[start..end].to_vec();
            Reply::Complete(end + 2, id, ReplyStatus::Succeeded(body))
        }
        [] | [b'\r'] => Reply::Incomplete,
        _ => Reply::Invalid,
    }
}

/// Encodes a call with its body. The store is to reply within `timeout_ms` milliseconds.
pub(super) fn call(id: RequestId, timeout_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut call = format!("CALL {} {timeout_ms} {}\r\n", format_request_id(id), body.len()).into_bytes();
    call.extend(body);
    call.extend(b"\r\n");
    call
}

/// Encodes the message that gives up a call: the node no longer waits for the reply.
pub(super) fn drop_call(id: RequestId) -> Vec<u8> {
    format!("DROP {}\r\n", format_request_id(id)).into_bytes()
}
