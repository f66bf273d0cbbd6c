//! Parses the lines of the simulator's protocol into messages: events, outcomes and gauges.
//!
//! A line with an unknown name is skipped, whatever its fields, so that the protocol can be extended. A line
//! with a known name that cannot be parsed ends the adapter, because the batch would be incomplete without it.

use crate::error::WireError;
use crate::fields::{Fields, boolean, request_id};
use crate::settings;
use gaugestand_admission::{Event, Gauges, Outcome, Request, Settings, SettingsError, Span, Time};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The content of one line.
pub enum Message {
    /// A batch begins, at this time of the simulation.
    Frame(Time),
    /// A worker has started.
    WorkerStarted {
        /// Number of the worker.
        worker: u64,
        /// Seed for the random choices of the worker's controller.
        seed: u64,
        /// Settings of the worker, or why a controller cannot be built from them.
        settings: Result<Settings, SettingsError>,
    },
    /// A worker has ended.
    WorkerDied {
        /// Number of the worker.
        worker: u64,
    },
    /// An event for the controller of a worker.
    Event {
        /// Number of the worker.
        worker: u64,
        /// The event.
        event: Event,
    },
    /// The batch is complete and is to be answered.
    Commit,
    /// A line with an unknown name, which is skipped.
    Unknown,
}

/// The known names of lines that concern one worker.
#[derive(Clone, Copy)]
enum WorkerLine {
    Up,
    Exit,
    Demand,
    ClientGone,
    WindDown,
    Completed,
    Called,
    AtCall,
    Elapsed,
}

fn worker_line(name: &str) -> Option<WorkerLine> {
    Some(match name {
        "up" => WorkerLine::Up,
        "exit" => WorkerLine::Exit,
        "demand" => WorkerLine::Demand,
        "client_gone" => WorkerLine::ClientGone,
        "wind_down" => WorkerLine::WindDown,
        "completed" => WorkerLine::Completed,
        "called" => WorkerLine::Called,
        "at_call" => WorkerLine::AtCall,
        "elapsed" => WorkerLine::Elapsed,
        _ => return None,
    })
}

/// Parses one line, without its line ending.
pub fn parse(line: &str) -> Result<Message, WireError> {
    let mut parts = line.split(' ');
    match parts.next().unwrap_or("") {
        "commit" => Ok(Message::Commit),
        "frame" => Ok(Message::Frame(Time(Fields::split(parts)?.require_integer("t")?))),
        name => match worker_line(name) {
            Some(name) => worker_message(name, &Fields::split(parts)?),
            None => Ok(Message::Unknown),
        },
    }
}

fn worker_message(name: WorkerLine, fields: &Fields) -> Result<Message, WireError> {
    let worker = fields.require_integer("who")?;
    let event = match name {
        WorkerLine::Up => {
            let seed = fields.require_integer("nonce64")?;
            return Ok(Message::WorkerStarted { worker, seed, settings: settings::parse(fields)? });
        }
        WorkerLine::Exit => return Ok(Message::WorkerDied { worker }),
        WorkerLine::Demand => Event::Request(request(fields)?),
        WorkerLine::ClientGone => Event::CallerGone(fields.require_handle()?),
        WorkerLine::WindDown => Event::Drain(Time(fields.require_integer("drop-dead")?)),
        WorkerLine::Completed => Event::RunEnded(fields.require_handle()?, outcome(fields.require("rc")?)?),
        WorkerLine::Called => {
            let id = fields.require_handle()?;
            let outcome = outcome(fields.require("rc")?)?;
            Event::CallEnded(id, outcome, Span(fields.integer_or_zero("lag")?))
        }
        WorkerLine::AtCall => Event::CallRequested(fields.require_handle()?),
        WorkerLine::Elapsed => {
            let timer = fields.require_integer("name")?;
            Event::Timer(timer, gauges(fields.get("telemetry").unwrap_or(""))?)
        }
    };
    Ok(Message::Event { worker, event })
}

/// Parses a request. A deadline or work hint that is absent or 0 becomes `None`.
fn request(fields: &Fields) -> Result<Request, WireError> {
    let deadline = fields.integer_or_zero("drop-dead")?;
    let work_hint = fields.integer_or_zero("effort")?;
    let original = match fields.get("prior") {
        None | Some("0" | "") => None,
        Some(value) => Some(request_id("prior", value)?),
    };
    Ok(Request {
        id: fields.require_handle()?,
        class: fields.require_integer("lane")? as usize,
        tenant: fields.integer_or_zero("party")? as usize,
        resource_key: fields.get("affinity").filter(|value| !value.is_empty()).map(hash),
        deadline: (deadline > 0).then_some(Time(deadline)),
        work_hint: (work_hint > 0).then_some(Span(work_hint)),
        queued_kb: fields.number_or_zero("held-kb")?,
        shed_order: fields.number_or_zero("rank")?,
        caller: fields.integer_or_zero("src-peer")?,
        is_retry: fields.get("is-retry").map_or(Ok(false), |value| boolean("is-retry", value))?,
        read_delay: Span(fields.integer_or_zero("unread-for")?),
        original,
    })
}

/// Hashes a resource key; equal texts give equal numbers.
fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

fn outcome(code: &str) -> Result<Outcome, WireError> {
    Ok(match code {
        "0" => Outcome::Ok,
        "5" => Outcome::Error,
        "11" => Outcome::Overloaded,
        "110" => Outcome::TimedOut,
        "111" => Outcome::Unreachable,
        "104" => Outcome::Reset,
        "125" => Outcome::Cancelled,
        "114" => Outcome::NeverStarted,
        _ => return Err(WireError::UnknownOutcome),
    })
}

/// Parses gauges, `name:value` separated by commas; unknown names are skipped.
fn gauges(text: &str) -> Result<Gauges, WireError> {
    let mut gauges = Gauges::default();
    for pair in text.split(',').filter(|pair| !pair.is_empty()) {
        let Some((name, value)) = pair.split_once(':') else {
            return Err(WireError::NoGaugeValue);
        };
        let gauge = match name {
            "cpu_busy" => &mut gauges.cpu_busy,
            "runnable" => &mut gauges.runnable,
            "mem_used" => &mut gauges.mem_used,
            "sockets" => &mut gauges.sockets,
            _ => continue,
        };
        // A value that is not a finite number counts as absent: one bad gauge must not end the adapter.
        *gauge = value.parse().ok().filter(|value: &f64| value.is_finite());
    }
    Ok(gauges)
}
