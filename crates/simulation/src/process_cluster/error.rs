//! Errors of starting, calling and measuring a cluster of processes.

use serde_json::Value;
use std::time::Duration;

/// Why an operation on a cluster of processes failed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessClusterError {
    /// An operation of the system failed.
    #[error("{operation} failed: {error}")]
    Io {
        /// The operation, as in "connecting the gateway".
        operation: &'static str,
        /// The error that the system returned.
        error: std::io::Error,
    },
    /// The process is not running.
    #[error("the process is not running")]
    NotRunning,
    /// The process was started without a pipe for its log.
    #[error("the process has no pipe for its standard error")]
    NoStandardError,
    /// The process ended, or its start timed out, before it reported where it listens. The field holds the
    /// log of the process.
    #[error("the process did not report where it listens; its log: {0}")]
    NotListening(String),
    /// A process did not start.
    #[error("process {name} did not start: {error}")]
    Start {
        /// Name of the process.
        name: String,
        /// The cause.
        error: Box<ProcessClusterError>,
    },
    /// A process rejected an operator's call. The field holds the answer of the process.
    #[error("{0}")]
    Rejected(String),
    /// The answer of a process is not JSON.
    #[error(transparent)]
    MalformedAnswer(#[from] serde_json::Error),
    /// The answer to an accepted proposal has no version.
    #[error("the answer to an accepted proposal has no version")]
    NoVersion,
    /// A version was not in effect in time at all processes that were awaited.
    #[error("version {version} is not in effect at all processes: {statuses:?}")]
    NotActive {
        /// Number of the version.
        version: u64,
        /// The status that each awaited process reports, or why it reports none.
        statuses: Vec<Result<String, String>>,
    },
    /// A metric did not reach the expected value in time. The field holds all metrics of the process.
    #[error(
        "a metric of the process did not reach the expected value in time; all metrics of the process: {0}"
    )]
    MetricNotReached(String),
    /// The processes did not come to act on the same, last version in time.
    #[error("the processes do not act on the same version after {} s: {statuses:?}", timeout.as_secs())]
    NotConverged {
        /// How long the processes had to converge.
        timeout: Duration,
        /// The status that each process reports; `None` if the process does not answer.
        statuses: Vec<Option<Value>>,
    },
}

impl ProcessClusterError {
    /// Returns a function for `map_err` that makes the error of a failed operation of the system.
    pub(super) fn io(operation: &'static str) -> impl Fn(std::io::Error) -> Self {
        move |error| ProcessClusterError::Io { operation, error }
    }
}
