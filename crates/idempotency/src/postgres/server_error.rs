//! An error response of the server, and what it proves about a batch.

use super::unreadable;
use crate::error::SessionError;
use crate::row::{Cause, Outcome};
use fallible_iterator::FallibleIterator;
use postgres_protocol::message::backend::ErrorResponseBody;
use std::fmt;

/// SQLSTATE of "undefined table": the tables have not been created yet.
const UNDEFINED_TABLE: &str = "42P01";
/// Maximum number of characters kept of an error's text, so that a log line stays short.
const MAX_TEXT_CHARS: usize = 200;

/// An error response of the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerError {
    /// Five-character SQLSTATE code.
    code: String,
    /// The server's message, as readable text.
    text: String,
}

impl ServerError {
    pub(super) fn parse(body: &ErrorResponseBody) -> Result<Self, SessionError> {
        let mut error = ServerError { code: String::new(), text: String::new() };
        let mut fields = body.fields();
        while let Some(field) = fields.next().map_err(unreadable)? {
            match field.type_() {
                b'C' => error.code = printable(field.value_bytes()),
                b'M' => error.text = printable(field.value_bytes()),
                _ => {}
            }
        }
        Ok(error)
    }

    pub(super) fn is_undefined_table(&self) -> bool {
        self.code == UNDEFINED_TABLE
    }

    /// The outcome of a batch that ended with this error.
    pub(super) fn outcome(&self) -> Outcome {
        let cause = self.cause();
        // After "statement completion unknown" (40003), or on a server that is shutting down, the commit may
        // have succeeded.
        if self.code == "40003" || cause == Cause::Link {
            return Outcome::Unknown(cause);
        }
        Outcome::NotDone(cause)
    }

    fn cause(&self) -> Cause {
        match self.code.as_str() {
            // Serialization failure, deadlock, lock not available.
            "40001" | "40P01" | "55P03" => Cause::Busy,
            // Disk full, out of memory, too many connections, configuration limit exceeded.
            "53100" | "53200" | "53300" | "53400" => Cause::Full,
            // Read-only transaction.
            "25006" => Cause::ReadOnly,
            // Division by zero: the fence has failed.
            "22012" => Cause::Fenced,
            // Connection exceptions, and a server that is being shut down.
            code if code.starts_with("08") || code.starts_with("57P") => Cause::Link,
            _ => Cause::Other,
        }
    }
}

fn printable(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).chars().filter(|c| !c.is_control()).take(MAX_TEXT_CHARS).collect()
}

impl fmt::Display for ServerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.text, self.code)
    }
}
