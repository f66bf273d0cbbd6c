//! Logs: lines with fields, written by a thread of their own so that a reader that stalls costs lines, not turns.

use gaugestand_settings::{Form, Level, Log};
use std::fmt;
use std::io::Write;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::prelude::*;
use tracing_subscriber::{Registry, reload};

/// Most lines that wait for a reader.
const MOST_LINES: usize = 256;
/// Longest wait at the end for what is still to be written.
const LAST_WAIT: Duration = Duration::from_millis(50);

/// The way to standard error, for as long as this lives; or nowhere.
#[derive(Default)]
pub struct Logs(Option<Lines>);

struct Lines {
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

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
    }
}

impl Logs {
    /// Starts the thread; all lines of this process go through it from now on.
    pub fn start(settings: Log) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MOST_LINES);
        let (writer, guard) = builder.finish(std::io::stderr());
        let dropped = writer.error_counter();
        let (level, handle) = reload::Layer::new(filter(settings.level));
        let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_target(false);
        let lines = lines.with_writer({
            let writer = writer.clone();
            move || writer.clone()
        });
        let registry = tracing_subscriber::registry().with(level);
        // A second start in one process would keep the first one's lines; there is none.
        let _ = match settings.form {
            Form::Text => registry.with(lines).try_init(),
            Form::Json => registry.with(lines.json().flatten_event(true)).try_init(),
        };
        Logs(Some(Lines { writer, dropped, guard: Some(guard), level: handle }))
    }

    /// From now on lines of this level and above are written.
    pub fn set_level(&self, level: Level) {
        if let Some(lines) = &self.0 {
            // It can only fail once the subscriber is gone, and then nothing is written anyway.
            let _ = lines.level.reload(filter(level));
        }
    }

    /// Lines that nobody read in time.
    pub fn dropped(&self) -> u64 {
        self.0.as_ref().map_or(0, |lines| lines.dropped.dropped_lines() as u64)
    }

    /// Text that is no line of the log, such as the counters: it goes the same way.
    pub fn print(&mut self, text: &str) {
        if let Some(lines) = &mut self.0 {
            let _ = lines.writer.write_all(text.as_bytes());
        }
    }
}

impl Drop for Lines {
    /// Writes what waits. Guards against a reader that stalls: the end of a drain does not wait for it.
    fn drop(&mut self) {
        let Some(guard) = self.guard.take() else { return };
        let (done, wait) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            let _ = done.send(());
        });
        let _ = wait.recv_timeout(LAST_WAIT);
    }
}
