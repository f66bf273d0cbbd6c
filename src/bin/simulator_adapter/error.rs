//! Errors in the lines of the simulator's protocol, and errors that end the adapter.

use std::io;
use thiserror::Error;

/// What is wrong with a line; every variant names the field at fault.
#[derive(Debug, Error)]
pub enum WireError {
    /// A part of the line has no `=` between name and value.
    #[error("{field}: no '=' in this field")]
    NoValue {
        /// The whole part of the line.
        field: String,
    },
    /// The line lacks a field that it must have.
    #[error("{field}: missing")]
    Missing {
        /// The field's name.
        field: String,
    },
    /// A value is not an unsigned 64-bit integer.
    #[error("{field}: not a whole number")]
    NotAnInteger {
        /// The field's name.
        field: String,
    },
    /// A value is not a finite number.
    #[error("{field}: not a number")]
    NotANumber {
        /// The field's name.
        field: String,
    },
    /// A value is not a boolean: neither `1` or `true` nor `0` or `false`.
    #[error("{field}: neither 1 nor 0")]
    NotABoolean {
        /// The field's name.
        field: String,
    },
    /// A request id does not have 36 characters.
    #[error("{field}: not a request id of 36 characters")]
    IdLength {
        /// The field's name.
        field: String,
    },
    /// A request id has a character other than a lower-case hexadecimal digit, or a hyphen out of place.
    #[error("{field}: not a request id")]
    IdDigits {
        /// The field's name.
        field: String,
    },
    /// The code in the field `rc` is not that of an outcome in the protocol.
    #[error("rc: not an outcome code")]
    UnknownOutcome,
    /// A gauge in the field `telemetry` has no `:` between name and value.
    #[error("telemetry: no ':' in a gauge")]
    NoGaugeValue,
    /// A time is below zero. In the settings of a worker this declares that worker broken and does not end the
    /// adapter.
    #[error("{field}: must not be negative")]
    NegativeTime {
        /// The field's name.
        field: String,
    },
}

/// Why the adapter ends before the end of its input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read or standard output cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line cannot be parsed.
    #[error("line {line}: {error}")]
    Malformed {
        /// Number of the line in the input, from 1.
        line: u64,
        /// What is wrong with the line.
        error: WireError,
    },
    /// A batch is closed by `commit` before any `frame` has set the time.
    #[error("line {line}: commit before any frame")]
    CommitBeforeFrame {
        /// Number of the line in the input, from 1.
        line: u64,
    },
}
