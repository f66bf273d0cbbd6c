//! Why a script is not accepted, and what of a single field is wrong.

use std::io;

/// Why a script is not accepted, on one line: place, fault, hint.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file is larger than any script needs to be.
    #[error("{path}: is over {limit} bytes long; split off what is no setting")]
    TooLong {
        /// The file.
        path: String,
        /// The most bytes that a script may have.
        limit: u64,
    },
    /// The script does not evaluate, or sets something that is not valid.
    #[error("{place}: {fault}")]
    Script {
        /// File, and line and column where they are known.
        place: String,
        /// What is wrong, with a hint.
        fault: String,
    },
}

/// What is wrong with a call of a builtin or with one of its fields.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("{name}: is no setting")]
    UnknownBuiltin { name: &'static str },
    #[error("{name}: is set twice; keep one of the two calls")]
    SetTwice { name: &'static str },
    #[error("{builtin}: `{field}` is no field of it; {hint}")]
    UnknownField { builtin: &'static str, field: String, hint: String },
    #[error("{builtin}: `{field}` {problem}; {hint}")]
    BadField { builtin: &'static str, field: String, problem: String, hint: String },
    #[error("{builtin}: `{field}` is missing; add {field} = {example}")]
    MissingField { builtin: &'static str, field: String, example: &'static str },
    #[error("record: `{field}` belongs to backend = \"{backend}\"; leave it out")]
    FieldOfOtherBackend { field: &'static str, backend: &'static str },
    #[error("fleet: `members` has \"{member}\"; a name and an address, as in \"n1=10.0.0.7:7000\"")]
    MalformedMember { member: String },
    #[error("fleet: `members` has the name \"{name}\" twice or empty; each node once")]
    DuplicateMember { name: String },
    #[error("fleet: `members` is empty; name all nodes, this one too")]
    NoMembers,
}
