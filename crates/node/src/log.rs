//! Log lines to standard error, written by a thread of their own: a reader that stalls costs lines and not the loop's time.
//!
//! Lines that find no room are dropped and counted. At the end of the process what waits is written for a moment, no longer.

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

/// Most lines that wait for a reader: a burst of warnings, in little memory.
const MAX_WAITING_LINES: usize = 256;
/// Longest wait at the end of the process for lines that are still to be written. A drain must not wait for a reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// The writer to standard error, for as long as this lives. The default writes nowhere.
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
    /// Starts the thread; all lines of this process go through it from now on.
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
        // A second start in one process would keep the first one's subscriber; there is none.
        let _ = match settings.form {
            LogFormat::Text => registry.with(lines).try_init(),
            LogFormat::Json => registry.with(lines.json().flatten_event(true)).try_init(),
        };
        Logs(Some(LineWriter { writer, dropped, guard: Some(guard), level: handle }))
    }

    /// From now on lines of this level and above are written.
    pub fn set_level(&self, level: LogLevel) {
        if let Some(lines) = &self.0 {
            // It can only fail once the subscriber is gone, and then nothing is written anyway.
            let _ = lines.level.reload(level_filter(level));
        }
    }

    /// Lines that were dropped as nobody read them in time.
    pub fn dropped(&self) -> u64 {
        self.0.as_ref().map_or(0, |lines| lines.dropped.dropped_lines() as u64)
    }

    /// Writes text that is no line of the log, such as the counters, the same way.
    pub fn write(&mut self, text: &str) {
        if let Some(lines) = &mut self.0 {
            let _ = lines.writer.write_all(text.as_bytes());
        }
    }
}

impl Drop for LineWriter {
    /// Writes what waits, for [`FLUSH_TIMEOUT`] at most. The guard itself would wait for a reader that stalls, and with it the end
    /// of the process.
    fn drop(&mut self) {
        let Some(guard) = self.guard.take() else { return };
        let (flushed, wait) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            let _ = flushed.send(());
        });
        let _ = wait.recv_timeout(FLUSH_TIMEOUT);
    }
}
