//! Errors of settings scripts: why a script is rejected, and what is wrong with a call or one of its fields.

use std::io;

/// Why a settings script is rejected. The text is one line for the operator: place, fault and hint.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: cannot read the settings script: {source}")]
    Unreadable {
        /// Path of the script.
        path: String,
        /// The error that the operating system returned.
        source: io::Error,
    },
    /// The file is longer than a script may be.
    #[error("{path}: is longer than {limit} bytes; remove what is not a setting")]
    TooLong {
        /// Path of the script.
        path: String,
        /// Maximum size of a script, in bytes.
        limit: u64,
    },
    /// The script does not evaluate, or a value that it sets is not valid.
    #[error("{place}: {fault}")]
    Script {
        /// Name of the file, followed by line and column where they are known.
        place: String,
        /// What is wrong, with a hint.
        fault: String,
    },
}

/// What is wrong with a call of a builtin or with one of its fields. The text becomes the
/// `fault` of [`SettingsError::Script`].
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("{name}: is not a setting")]
    UnknownBuiltin { name: &'static str },
    #[error("{name}: is set twice; keep one of the two calls")]
    SetTwice { name: &'static str },
    #[error("{builtin}: `{field}` is not a field of this setting; {hint}")]
    UnknownField { builtin: &'static str, field: String, hint: String },
    #[error("{builtin}: `{field}` {problem}; {hint}")]
    BadField { builtin: &'static str, field: String, problem: String, hint: String },
    #[error("{builtin}: `{field}` is missing; add {field} = {example}")]
    MissingField { builtin: &'static str, field: String, example: &'static str },
    #[error("record: `{field}` belongs to backend = \"{backend}\"; leave it out")]
    FieldOfOtherBackend { field: &'static str, backend: &'static str },
    #[error("fleet: `members` has \"{member}\"; expected a name and an address, as in \"n1=10.0.0.7:7000\"")]
    MalformedMember { member: String },
    #[error("fleet: `members` has the name \"{name}\" twice or empty; expected each node once, with a name")]
    DuplicateMember { name: String },
    #[error("fleet: `members` is empty; name all nodes, this node included")]
    NoMembers,
}
