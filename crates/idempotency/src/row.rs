//! The types that the key table and its backends exchange: rows, writes, batches and outcomes.

use gaugestand_admission::log_record::LogRecord;
use gaugestand_admission::time::UnixTime;
use std::fmt;

/// State of a key's run, as stored in the row of the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowState {
    /// The run was about to begin; the row does not tell whether it did.
    Intent,
    /// The attempt ran, and this is its result.
    Completed(Vec<u8>),
    /// The attempt ran, or may have run, and there is no result.
    Failed,
}

impl RowState {
    /// The number that represents the state in a store, from 0 to 2.
    pub fn code(&self) -> i16 {
        match self {
            RowState::Intent => 0,
            RowState::Completed(_) => 1,
            RowState::Failed => 2,
        }
    }

    /// The state for a number from a store and the stored bytes of the result; `None` for an unknown number.
    pub fn from_code(code: i64, result: Option<Vec<u8>>) -> Option<RowState> {
        match code {
            0 => Some(RowState::Intent),
            1 => Some(RowState::Completed(result.unwrap_or_default())),
            2 => Some(RowState::Failed),
            _ => None,
        }
    }

    /// The result of a completed run; `None` for other states.
    pub fn result(&self) -> Option<&[u8]> {
        match self {
            RowState::Completed(result) => Some(result),
            RowState::Intent | RowState::Failed => None,
        }
    }
}

/// One row of an idempotency store: all that is stored for one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The idempotency key.
    pub key: String,
    /// Request id of the attempt that ran or was about to run.
    pub holder: u128,
    /// Fingerprint of the body of that attempt (column `print`).
    pub fingerprint: u128,
    /// When that attempt reached the machine (column `ran`).
    pub ingress: UnixTime,
    /// End of the deduplication window of the key (column `until`).
    pub expires: UnixTime,
    /// Sequence number of the intent (column `stamp`). It grows with every intent under a node's name, over
    /// restarts, so that a late write never replaces a newer row.
    pub sequence: u64,
    /// State of the run.
    pub state: RowState,
}

impl Row {
    /// Precedence among rows of one key, of which a store keeps the one with the greatest: first the sequence
    /// number counts, then whether the run is over.
    pub fn precedence(&self) -> (u64, bool) {
        (self.sequence, self.state != RowState::Intent)
    }
}

/// One change to the rows of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Stores this row, unless the stored row of the same key takes precedence: a stalled store may carry out
    /// a write long after the node gave up on the write, and must not undo newer writes.
    Put(Row),
    /// Removes the row of this key, unless the row has a greater sequence number. The attempt never ran, or
    /// its window is over.
    Remove {
        /// Key of the row.
        key: String,
        /// Greatest sequence number of a row that is removed.
        sequence: u64,
    },
    /// Changes no row. If it becomes durable, the store accepts writes.
    Probe,
}

impl Write {
    /// The key whose row the write changes; `None` for a probe.
    pub fn key(&self) -> Option<&str> {
        match self {
            Write::Put(row) => Some(&row.key),
            Write::Remove { key, .. } => Some(key),
            Write::Probe => None,
        }
    }

    /// Whether a store has made this write, given the `row` that the store has for the key.
    pub fn is_written(&self, row: Option<&Row>) -> bool {
        match self {
            Write::Put(new) => row.is_some_and(|row| row.precedence() >= new.precedence()),
            Write::Remove { sequence, .. } => row.is_none_or(|row| row.sequence > *sequence),
            Write::Probe => true,
        }
    }
}

/// Work for a backend, which does one piece at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Make all of these writes durable together, in this order, or none of them.
    Commit(Vec<Write>),
    /// Read the rows of these keys.
    Lookup(Vec<String>),
    /// Make this record of a consensus log durable as a whole.
    LogRecord(LogRecord),
}

/// Work with a number, by which the table tells the outcome of this batch from the late outcome of an earlier
/// one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number of the batch; each batch has a greater one than the batch before.
    pub number: u64,
    /// The work to be done.
    pub work: Work,
}

/// Why a store did not do its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Another connection holds a lock, or a deadlock was resolved against this transaction: the work can be
    /// retried soon.
    Busy,
    /// The oldest write has waited for longer than the stall limit.
    Stalled,
    /// The store has no room, or has reached another limit of its resources.
    Full,
    /// The store is read-only.
    ReadOnly,
    /// The connection broke or could not be made.
    Link,
    /// Another process has taken this node's name.
    Fenced,
    /// The store is damaged, or has failed in another way.
    Other,
}

impl Cause {
    /// The word for the cause in log lines and messages.
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
    /// All of the batch is durable.
    Done,
    /// Nothing of the batch was done, for this cause.
    NotDone(Cause),
    /// It is not known whether the batch was done, for example because the connection broke.
    Unknown(Cause),
    /// The rows that were looked up; a key without a row is left out.
    Rows(Vec<Row>),
}

/// What a backend found when it was opened.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Recovery {
    /// All rows under this node's name; empty if the store has more rows than the limit that the node has
    /// set.
    pub rows: Vec<Row>,
    /// Number of rows that were found; greater than the length of `rows` if they exceed the limit. A backend
    /// may stop counting above the limit.
    pub row_count: u64,
    /// Number of incarnations of this node's name, including the present one.
    pub epoch: u64,
}
