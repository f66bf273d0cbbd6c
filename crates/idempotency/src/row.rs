//! What the idempotency table and its backends exchange: rows, writes, batches and how they ended.

use gaugestand_admission::log_record::LogRecord;
use gaugestand_admission::time::UnixTime;
use std::fmt;

/// What a row says of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowState {
    /// A run was about to begin; whether it did is not known from this row.
    Intent,
    /// It ran to this result.
    Completed(Vec<u8>),
    /// It ran and has no result.
    Failed,
}

impl RowState {
    /// The number that stands for it in a store.
    pub fn code(&self) -> i16 {
        match self {
            RowState::Intent => 0,
            RowState::Completed(_) => 1,
            RowState::Failed => 2,
        }
    }

    /// From its number and the stored bytes; `None` for a number that is not known.
    pub fn from_code(code: i64, result: Option<Vec<u8>>) -> Option<RowState> {
        match code {
            0 => Some(RowState::Intent),
            1 => Some(RowState::Completed(result.unwrap_or_default())),
            2 => Some(RowState::Failed),
            _ => None,
        }
    }

    /// The result, if there is one.
    pub fn result(&self) -> Option<&[u8]> {
        match self {
            RowState::Completed(result) => Some(result),
            RowState::Intent | RowState::Failed => None,
        }
    }
}

/// One row: all that is kept of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The attempt that ran, or was about to.
    pub holder: u128,
    /// Fingerprint of its body.
    pub fingerprint: u128,
    /// When that attempt reached the machine (column `ran`).
    pub ingress: UnixTime,
    /// End of its deduplication window (column `until`).
    pub expires: UnixTime,
    /// Grows with every intent of a node's name, over restarts: a late write never replaces a later one (column
    /// `stamp`).
    pub sequence: u64,
    /// What is known of the run.
    pub state: RowState,
}

impl Row {
    /// What decides which of two rows of one key stays: the sequence number, then whether the run is over.
    pub fn precedence(&self) -> (u64, bool) {
        (self.sequence, self.state != RowState::Intent)
    }
}

/// One change to the rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The row of its key from now on, unless the one that is there takes precedence: a write that a stalled store
    /// carries out long after it was given up must not undo anything.
    Put(Row),
    /// Of this key nothing is kept any more, unless its row has a later sequence number: the attempt never ran, or its
    /// window is over.
    Remove {
        /// The key.
        key: String,
        /// The sequence number of the row that goes.
        sequence: u64,
    },
    /// Changes nothing, and shows that a change would be kept.
    Probe,
}

impl Write {
    /// The key that it is about, if it is about one.
    pub fn key(&self) -> Option<&str> {
        match self {
            Write::Put(row) => Some(&row.key),
            Write::Remove { key, .. } => Some(key),
            Write::Probe => None,
        }
    }

    /// Whether a store in which this is the row of its key has made this write.
    pub fn is_written(&self, row: Option<&Row>) -> bool {
        match self {
            Write::Put(new) => row.is_some_and(|row| row.precedence() >= new.precedence()),
            Write::Remove { sequence, .. } => row.is_none_or(|row| row.sequence > *sequence),
            Write::Probe => true,
        }
    }
}

/// What a backend is to do next; one at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Make all of these durable together, in this order, or none.
    Commit(Vec<Write>),
    /// Read the rows of these keys.
    Lookup(Vec<String>),
    /// Make this record of a consensus log durable, whole.
    LogRecord(LogRecord),
}

/// Work with its number, so that an answer to an earlier batch is not taken for its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Counts up.
    pub number: u64,
    /// What to do.
    pub work: Work,
}

/// Why a store did not do what it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Somebody else has it locked, or a deadlock was resolved against this transaction: worth a retry soon.
    Busy,
    /// No answer in the time allowed.
    Stalled,
    /// No room.
    Full,
    /// It can only be read.
    ReadOnly,
    /// The connection broke or could not be made.
    Link,
    /// Another process has taken this node's name.
    Fenced,
    /// Damaged, or anything else.
    Other,
}

impl Cause {
    /// The word for it in logs and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Busy => "busy",
            Cause::Stalled => "stalled",
            Cause::Full => "full",
            Cause::ReadOnly => "read-only",
            Cause::Link => "link",
            Cause::Fenced => "fenced",
            Cause::Other => "error",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How a batch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All of it is durable.
    Done,
    /// None of it happened.
    NotDone(Cause),
    /// It may have happened or not: a broken link proves nothing.
    Unknown(Cause),
    /// The rows that were asked for, as far as there are any.
    Rows(Vec<Row>),
}

/// What a backend found at its start.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Recovery {
    /// All rows of this node's name.
    pub rows: Vec<Row>,
    /// How many there are; more than `rows` holds if they were over the bound.
    pub row_count: u64,
    /// Counts the incarnations of this node's name, this one among them.
    pub epoch: u64,
}
