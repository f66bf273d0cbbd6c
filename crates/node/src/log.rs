//! The log of the process on standard error. A thread of its own writes the lines, so that a stalled reader
//! of standard error causes lost lines but never delays the event loop.
//!
//! Lines that find the queue full are dropped and counted. At the end of the process, the queued lines are
//! written for a limited time.

use gaugestand_settings::{LogFormat, LogLevel, LogSettings};
use std::fmt;
use std::io::Write;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::prelude::*;
use tracing_subscriber::{Registry, reload};

/// Maximum number of lines that wait to be written: enough for a burst of warnings, in little memory.
const MAX_WAITING_LINES: usize = 256;
/// Longest time that the end of the process waits for queued lines to be written. A drain must not wait for a
/// stalled reader of standard error.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// The log of this process, which writes to standard error for as long as this value lives. The default value
/// writes nothing.
#[derive(Default)]
pub struct Logs(Option<LineWriter>);

struct LineWriter {
    writer: NonBlocking,
    dropped: ErrorCounter,
    guard: Option<WorkerGuard>,
    level: reload::Handle<LevelFilter, Registry>,
}

impl fmt::Debug for Logs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Logs")
    }
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
    }
}

impl Logs {
    /// Starts the writer thread. From then on, all log lines of this process go through it.
    pub fn start(settings: LogSettings) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING_LINES);
        let (writer, guard) = builder.finish(std::io::stderr());
        let dropped = writer.error_counter();
        let (level, handle) = reload::Layer::new(level_filter(settings.level));
        let line_writer = writer.clone();
        let lines = tracing_subscriber::fmt::layer()
            .with_ansi(false)
            .with_target(false)
            .with_writer(move || line_writer.clone());
        let registry = tracing_subscriber::registry().with(level);
        // `try_init` fails only if this process already has a subscriber, which then stays in use. A process
        // starts its log once.
        let _ = match settings.form {
            LogFormat::Text => registry.with(lines).try_init(),
            LogFormat::Json => registry.with(lines.json().flatten_event(true)).try_init(),
        };
        Logs(Some(LineWriter { writer, dropped, guard: Some(guard), level: handle }))
    }

    /// Sets the least severe level that is written from now on.
    pub fn set_level(&self, level: LogLevel) {
        if let Some(lines) = &self.0 {
            // The reload fails only if the subscriber no longer exists; no line is written then in any case.
            let _ = lines.level.reload(level_filter(level));
        }
    }

    /// Number of lines dropped since the start because the queue was full: nobody read standard error in
    /// time.
    pub fn dropped(&self) -> u64 {
        self.0.as_ref().map_or(0, |lines| lines.dropped.dropped_lines() as u64)
    }

    /// Writes text that is not a log line, such as the counters, through the writer thread.
    pub fn write(&mut self, text: &str) {
        if let Some(lines) = &mut self.0 {
            let _ = lines.writer.write_all(text.as_bytes());
        }
    }
}

impl Drop for LineWriter {
    /// Writes the queued lines, for [`FLUSH_TIMEOUT`] at most. Dropping the guard on this thread would delay
    /// the end of the process for as long as a reader of standard error stalls.
    fn drop(&mut self) {
        let Some(guard) = self.guard.take() else { return };
        let (flushed_sender, flushed) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            let _ = flushed_sender.send(());
        });
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}
