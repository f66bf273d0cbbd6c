//! Why a cluster of processes cannot be run or used.

use serde_json::Value;
use std::time::Duration;

/// Why an action on a cluster of processes failed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessClusterError {
    /// The system refuses something.
    #[error("{what}: {error}")]
    Io {
        /// What was to be had.
        what: &'static str,
        /// The system's error.
        error: std::io::Error,
    },
    /// The process is not running.
    #[error("it is not there")]
    NotRunning,
    /// The process was started without a pipe for its log.
    #[error("no standard error")]
    NoStandardError,
    /// The process has not reported where it listens.
    #[error("it does not listen: {0}")]
    NotListening(String),
    /// A process cannot be started.
    #[error("{name}: {error}")]
    Start {
        /// Its name.
        name: String,
        /// Why.
        error: Box<ProcessClusterError>,
    },
    /// A process rejects an operator's call, in these words.
    #[error("{0}")]
    Rejected(String),
    /// An answer is not the JSON that was expected.
    #[error(transparent)]
    MalformedAnswer(#[from] serde_json::Error),
    /// An accepted proposal has no version.
    #[error("no number")]
    NoVersion,
    /// A version was not active in time; with the state of each process.
    #[error("version {version} is not in effect: {statuses:?}")]
    NotActive {
        /// The version.
        version: u64,
        /// What each process reports, or why it does not.
        statuses: Vec<Result<String, String>>,
    },
    /// A metric did not reach its value in time; with all metrics.
    #[error("{0}")]
    MetricNotReached(String),
    /// The processes do not act on one version; with the state of each.
    #[error("after {} s: {statuses:?}", timeout.as_secs())]
    NotConverged {
        /// How long they had.
        timeout: Duration,
        /// What each process reports, if it does.
        statuses: Vec<Option<Value>>,
    },
}

impl ProcessClusterError {
    /// Names what the system refused.
    pub(super) fn io(what: &'static str) -> impl Fn(std::io::Error) -> Self {
        move |error| ProcessClusterError::Io { what, error }
    }
}
