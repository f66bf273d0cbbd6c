//! What can be wrong with a line of the simulator's wire, and what ends the adapter.

use std::io;
use thiserror::Error;

/// What is wrong with a line: the field at fault and why.
#[derive(Debug, Error)]
pub enum WireError {
    /// A field without a value.
    #[error("{field}: no '=' in this field")]
    NoValue {
        /// The whole field.
        field: String,
    },
    /// A field that this line must have.
    #[error("{field}: missing")]
    Missing {
        /// Its name.
        field: String,
    },
    /// Not a whole number of 64 bits.
    #[error("{field}: not a whole number")]
    NotAnInteger {
        /// The field's name.
        field: String,
    },
    /// Not a finite number.
    #[error("{field}: not a number")]
    NotANumber {
        /// The field's name.
        field: String,
    },
    /// Not a truth value.
    #[error("{field}: neither 1 nor 0")]
    NotABoolean {
        /// The field's name.
        field: String,
    },
    /// A request id of the wrong length.
    #[error("{field}: not a request id of 36 characters")]
    IdLength {
        /// The field's name.
        field: String,
    },
    /// A request id with characters that belong to none.
    #[error("{field}: not a request id")]
    IdDigits {
        /// The field's name.
        field: String,
    },
    /// An outcome that the wire does not have.
    #[error("rc: not an outcome code")]
    UnknownOutcome,
    /// A gauge without a value.
    #[error("telemetry: no ':' in a gauge")]
    NoGaugeValue,
    /// A time below zero. In the settings of a worker this is that worker's trouble, not the stream's.
    #[error("{field}: must not be negative")]
    NegativeTime {
        /// The field's name.
        field: String,
    },
}

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line that can't be read.
    #[error("line {line}: {error}")]
    Malformed {
        /// The line's number, from 1.
        line: u64,
        /// What is wrong with it.
        error: WireError,
    },
    /// A batch that closes without a time.
    #[error("line {line}: commit before any frame")]
    CommitBeforeFrame {
        /// The line's number, from 1.
        line: u64,
    },
}
