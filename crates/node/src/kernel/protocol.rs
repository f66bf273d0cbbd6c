//! The kernel's protocol: JSON lines in both directions.
//!
//! The one place where its words (`SCHED`, `REAP`, `fate`, ...) become the code's terms. A line that is no notice is an error
//! of its own and harms no other; a line without an end in bounds means that the framing is lost.

use crate::request::{format_request_id, parse_request_id};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::RunOutcome;
use gaugestand_admission::time::Micros;
use serde::Deserialize;
use std::borrow::Cow;

/// Most bytes of a line, with its end. The result of a run has at most 4 KiB, which take under 6 KiB in base64.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// A notice of the kernel.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// BOOTED: it is up since so long ago.
    Booted {
        /// It is slow at first.
        cold: bool,
        /// How long ago it started.
        age: Micros,
    },
    /// REAP: a run is over.
    RunEnded(RequestId, RunOutcome),
    /// IOREQ: a run waits for an outbound call.
    CallRequested {
        /// The run's request.
        id: RequestId,
        /// The number of this notice, which distinguishes the calls of one run.
        cursor: u64,
        /// The body of the call.
        body: Vec<u8>,
    },
    /// INFO: the gauges, in the order of the settings, with the ticket of the question.
    Gauges(u64, Vec<f64>),
    /// POSTED: the work of the deep check with this ticket ended, well or not.
    DeepCheckEnded(u64, bool),
    /// EINVAL: a command was not carried out.
    CommandRejected(CommandKind, Option<RequestId>),
    /// DMESG: a remark for people.
    Remark,
}

/// Which command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// SCHED: run a request.
    Run,
    /// NOIO: go on without a call.
    SkipCall,
    /// Any other.
    Other,
}

/// A line that is no notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of the kernel that is no notice")]
pub struct BadLine;

/// What the front of a buffer holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// No complete line yet.
    Incomplete,
    /// More than a line may have, without its end: the framing is lost.
    TooLong,
    /// A line of that many bytes, its number if it has one, and its notice.
    Complete(usize, Option<u64>, Result<Notice, BadLine>),
}

/// A notice as it comes, under the protocol's names.
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

/// Reads the line at the start of `buffer`.
pub fn parse_line(buffer: &[u8]) -> Line {
    let Some(end) = buffer.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') else {
        return if buffer.len() >= MAX_LINE_BYTES { Line::TooLong } else { Line::Incomplete };
    };
    match serde_json::from_slice::<RawNotice>(&buffer[..end]) {
        Ok(raw) => Line::Complete(end + 1, raw.cursor, raw.notice()),
        Err(_) => Line::Complete(end + 1, None, Err(BadLine)),
    }
}

/// The first line on a link: notices after this one are wanted.
pub(super) fn open(last_cursor: u64) -> String {
    format!(r#"{{"event":"OPEN","cursor":{last_cursor}}}"#)
}

/// Run a request.
pub(super) fn run(id: RequestId, class: &str, body: &[u8]) -> String {
    let handle = format_request_id(id);
    let entry = serde_json::Value::from(class);
    let arg = STANDARD.encode(body);
    format!(r#"{{"event":"SCHED","handle":"{handle}","entry":{entry},"arg":"{arg}"}}"#)
}

/// Stop a run.
pub(super) fn preempt(id: RequestId) -> String {
    let handle = format_request_id(id);
    format!(r#"{{"event":"PREEMPT","handle":"{handle}"}}"#)
}

/// Hand a run the reply to its call.
pub(super) fn complete_call(id: RequestId, reply: &[u8]) -> String {
    let handle = format_request_id(id);
    let arg = STANDARD.encode(reply);
    format!(r#"{{"event":"IODONE","handle":"{handle}","arg":"{arg}"}}"#)
}

/// Have a run go on without the call that the notice of this number asked for.
pub(super) fn skip_call(id: RequestId, cursor: u64) -> String {
    let handle = format_request_id(id);
    format!(r#"{{"event":"NOIO","handle":"{handle}","cursor":{cursor}}}"#)
}

/// Ask for the gauges.
pub(super) fn read_gauges(ticket: u64) -> String {
    format!(r#"{{"event":"SYSINFO","ticket":"{ticket}"}}"#)
}

/// Ask for the work of a deep check.
pub(super) fn deep_check(ticket: u64) -> String {
    format!(r#"{{"event":"POST","ticket":"{ticket}"}}"#)
}
