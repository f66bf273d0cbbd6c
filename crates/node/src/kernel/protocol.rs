//! The kernel's protocol: JSON lines in both directions.
//!
//! This is the only place where the words of the protocol (`SCHED`, `REAP`, `fate`, ...) become the code's
//! terms. An invalid line is an error that does not affect other lines. A line that exceeds the maximum
//! length means that the framing is lost.

use crate::request::{format_request_id, parse_request_id};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::RunOutcome;
use gaugestand_admission::time::Micros;
use serde::Deserialize;
use std::borrow::Cow;

/// Maximum length of a line in bytes, including the line feed. The result of a run has at most 4 KiB, which
/// take less than 6 KiB in base64.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// A notice of the kernel: one valid line.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// BOOTED: the kernel is up.
    Booted {
        /// Whether the kernel has just started and is slow at first.
        cold: bool,
        /// Time since the kernel started; 0 if it does not state it.
        age: Micros,
    },
    /// REAP: the run of a request has ended with an outcome.
    RunEnded(RequestId, RunOutcome),
    /// IOREQ: a run waits for an outbound call.
    CallRequested {
        /// Request of the run.
        id: RequestId,
        /// Number of this notice, which distinguishes the calls of one run.
        cursor: u64,
        /// Body of the call, to be sent to the store.
        body: Vec<u8>,
    },
    /// INFO: the ticket of the question that this notice answers, and the values of the gauges in the order
    /// of the settings.
    Gauges(u64, Vec<f64>),
    /// POSTED: the work of the deep health check with this ticket has ended; `true` if it succeeded.
    DeepCheckEnded(u64, bool),
    /// EINVAL: the kernel did not carry out a command. Contains the request that the command was for, if
    /// known.
    CommandRejected(CommandKind, Option<RequestId>),
    /// DMESG: a remark for people, which the node ignores.
    Remark,
}

/// A command about a request's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// SCHED: run the request.
    Run {
        /// Whether a second run would have an effect that a caller can notice.
        has_effect: bool,
    },
    /// PREEMPT: stop the run.
    Preempt,
    /// IODONE: pass the reply to the call that the run waits for.
    CompleteCall,
    /// NOIO: continue the run without one call, which the command names by its number.
    SkipCall,
}

impl Command {
    /// Whether the kernel may read the command twice, whatever the run has done in between.
    pub(super) fn is_repeatable(self) -> bool {
        match self {
            Command::Run { has_effect } => !has_effect,
            Command::Preempt | Command::SkipCall => true,
            Command::CompleteCall => false,
        }
    }
}

/// A command as an earlier process wrote it. The serialised names are those of the protocol.
#[derive(Deserialize)]
struct RawCommand<'a> {
    #[serde(borrow)]
    event: Cow<'a, str>,
    #[serde(borrow, rename = "entry")]
    class: Option<Cow<'a, str>>,
}

/// Returns which command a text is; `has_effect` tells whether a run of the class with a name has an effect.
/// A text that is not known is one that may not be repeated.
pub(super) fn parse_command(text: &str, has_effect: impl Fn(&str) -> bool) -> Command {
    let Ok(raw) = serde_json::from_str::<RawCommand>(text) else { return Command::CompleteCall };
    match &*raw.event {
        "SCHED" => Command::Run { has_effect: raw.class.is_none_or(|class| has_effect(&class)) },
        "PREEMPT" => Command::Preempt,
        "NOIO" => Command::SkipCall,
        _ => Command::CompleteCall,
    }
}

/// Kind of a command that the kernel did not carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// SCHED: run a request.
    Run,
    /// NOIO: continue a run without its outbound call.
    SkipCall,
    /// Any other command.
    Other,
}

/// The line is not a valid notice: it is not JSON, its event is unknown, or a field is missing or malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line from the kernel is not a valid notice")]
pub struct BadLine;

/// Result of parsing the start of a buffer as a line.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// The line is not complete yet.
    Incomplete,
    /// The line exceeds [`MAX_LINE_BYTES`]: the framing is lost.
    TooLong,
    /// A complete line: its length in bytes including the line feed, the number of the notice if the line has
    /// one, and the notice.
    Complete(usize, Option<u64>, Result<Notice, BadLine>),
}

/// A notice as it is read, before its fields are checked. The serialised names are those of the protocol.
#[derive(Deserialize)]
struct RawNotice<'a> {
    #[serde(borrow)]
    event: Cow<'a, str>,
    cursor: Option<u64>,
    #[serde(borrow, rename = "handle")]
    request_id: Option<Cow<'a, str>>,
    #[serde(borrow)]
    fate: Option<Cow<'a, str>>,
    #[serde(rename = "lasted")]
    uptime_ms: Option<f64>,
    #[serde(borrow, rename = "arg")]
    payload: Option<Cow<'a, str>>,
    #[serde(borrow)]
    ticket: Option<Cow<'a, str>>,
    #[serde(rename = "figures")]
    gauges: Option<Vec<f64>>,
}

impl RawNotice<'_> {
    fn request_id(&self) -> Result<RequestId, BadLine> {
        self.request_id.as_ref().and_then(|id| parse_request_id(id.as_bytes())).ok_or(BadLine)
    }

    fn payload(&self) -> Result<Vec<u8>, BadLine> {
        STANDARD.decode(self.payload.as_deref().unwrap_or("")).or(Err(BadLine))
    }

    fn ticket(&self) -> Result<u64, BadLine> {
        self.ticket.as_ref().and_then(|ticket| ticket.parse().ok()).ok_or(BadLine)
    }

    fn notice(&self) -> Result<Notice, BadLine> {
        let fate = self.fate.as_deref();
        Ok(match (&*self.event, fate) {
            ("BOOTED", Some(state @ ("new" | "old"))) => {
                let uptime_ms = self.uptime_ms.filter(|ms| *ms >= 0.0).unwrap_or(0.0);
                Notice::Booted { cold: state == "new", age: Micros((uptime_ms * 1e3) as u64) }
            }
            ("REAP", Some(fate @ ("good" | "bad" | "cut" | "gone"))) => {
                let id = self.request_id()?;
                let outcome = match fate {
                    "good" => RunOutcome::Succeeded(self.payload()?.into()),
                    "bad" => RunOutcome::Failed,
                    "cut" => RunOutcome::Cancelled,
                    _ => RunOutcome::NeverRan,
                };
                Notice::RunEnded(id, outcome)
            }
            ("IOREQ", _) => Notice::CallRequested {
                id: self.request_id()?,
                cursor: self.cursor.ok_or(BadLine)?,
                body: self.payload()?,
            },
            ("INFO", _) => Notice::Gauges(self.ticket()?, self.gauges.clone().ok_or(BadLine)?),
            ("POSTED", Some(end @ ("good" | "bad"))) => Notice::DeepCheckEnded(self.ticket()?, end == "good"),
            ("EINVAL", rejected) => {
                let kind = match rejected {
                    Some("SCHED") => CommandKind::Run,
                    Some("NOIO") => CommandKind::SkipCall,
                    _ => CommandKind::Other,
                };
                Notice::CommandRejected(kind, self.request_id().ok())
            }
            ("DMESG", _) => Notice::Remark,
            _ => return Err(BadLine),
        })
    }
}

/// Parses the line at the start of `buffer`.
pub fn parse_line(buffer: &[u8]) -> Line {
    let Some(end) = buffer.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if buffer.len() >= MAX_LINE_BYTES { Line::TooLong } else { Line::Incomplete };
    };
    match serde_json::from_slice::<RawNotice>(&buffer[..end]) {
        Ok(raw) => Line::Complete(end + 1, raw.cursor, raw.notice()),
        Err(_) => Line::Complete(end + 1, None, Err(BadLine)),
    }
}

/// Encodes the first line on a link: the kernel is to send the notices after the one with the number
/// `last_cursor`.
pub(super) fn open(last_cursor: u64) -> String {
    format!(r#"{{"event":"OPEN","cursor":{last_cursor}}}"#)
}

/// Encodes the command to run a request of a class with this body.
pub(super) fn run(id: RequestId, class: &str, body: &[u8]) -> String {
    let handle = format_request_id(id);
    let entry = serde_json::Value::from(class);
    let arg = STANDARD.encode(body);
    format!(r#"{{"event":"SCHED","handle":"{handle}","entry":{entry},"arg":"{arg}"}}"#)
}

/// Encodes the command to stop the run of a request.
pub(super) fn preempt(id: RequestId) -> String {
    let handle = format_request_id(id);
    format!(r#"{{"event":"PREEMPT","handle":"{handle}"}}"#)
}

/// Encodes the command that passes the reply to an outbound call to the run that made the call.
pub(super) fn complete_call(id: RequestId, reply: &[u8]) -> String {
    let handle = format_request_id(id);
    let arg = STANDARD.encode(reply);
    format!(r#"{{"event":"IODONE","handle":"{handle}","arg":"{arg}"}}"#)
}

/// Encodes the command to continue a run without the outbound call that the notice with the number `cursor`
/// requested.
pub(super) fn skip_call(id: RequestId, cursor: u64) -> String {
    let handle = format_request_id(id);
    format!(r#"{{"event":"NOIO","handle":"{handle}","cursor":{cursor}}}"#)
}

/// Encodes the question for the values of the gauges; the answer repeats the ticket.
pub(super) fn read_gauges(ticket: u64) -> String {
    format!(r#"{{"event":"SYSINFO","ticket":"{ticket}"}}"#)
}

/// Encodes the question that has the kernel do the work of a deep health check; the answer repeats the
/// ticket.
pub(super) fn deep_check(ticket: u64) -> String {
    format!(r#"{{"event":"POST","ticket":"{ticket}"}}"#)
}
