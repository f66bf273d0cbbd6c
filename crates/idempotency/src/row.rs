//! What the ledger and the backends say to each other: rows, writes, batches and how they ended.

use gaugestand_admission::log_record::LogRecord;
use std::fmt;

/// What a row says of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// A run was about to begin; whether it did is not known from this row.
    Intent,
    /// It ran to this result.
    Good(Vec<u8>),
    /// It ran and has no result.
    Failed,
}

impl State {
    /// The number that stands for it in a store.
    pub fn code(&self) -> i16 {
        match self {
            State::Intent => 0,
            State::Good(_) => 1,
            State::Failed => 2,
        }
    }

    /// From its number and the stored bytes; `None` for a number that is not known.
    pub fn of(code: i64, result: Option<Vec<u8>>) -> Option<State> {
        match code {
            0 => Some(State::Intent),
            1 => Some(State::Good(result.unwrap_or_default())),
            2 => Some(State::Failed),
            _ => None,
        }
    }
}

/// One row: all that is kept of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The try that ran, or was about to.
    pub holder: u128,
    /// Fingerprint of the body.
    pub fingerprint: u128,
    /// Unix time, in microseconds, at which that try reached the machine.
    pub ran: u64,
    /// Unix time, in microseconds, of the end of its window.
    pub until: u64,
    /// Grows with every intent of a node's name, over restarts: a late one never replaces a later one.
    pub stamp: u64,
    /// What is known.
    pub state: State,
}

impl Row {
    /// What decides which of two rows of one key stays: stamp, then whether the run is over.
    pub fn order(&self) -> (u64, bool) {
        (self.stamp, self.state != State::Intent)
    }
}

/// One change to the rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The row of its key from now on, unless the one that is there has a later stamp, or the same and a later
    /// state: a write that a stalled store carries out long after it was given up must not undo anything.
    Put(Row),
    /// Of this key nothing is kept any more, unless it has a later stamp: the try never ran, or its window is over.
    Remove {
        /// The key.
        key: String,
        /// The stamp of the row that goes.
        stamp: u64,
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

    /// Whether a store in which this is the row of its key has taken this write in.
    pub fn is_in(&self, row: Option<&Row>) -> bool {
        match self {
            Write::Put(new) => row.is_some_and(|r| r.order() >= new.order()),
            Write::Remove { stamp, .. } => row.is_none_or(|r| r.stamp > *stamp),
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
    Ask(Vec<String>),
    /// Make this durable, whole; of an agreed log.
    LogRecord(LogRecord),
}

/// Work with its number, so that an answer to an earlier one is not taken for its own.
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
    /// Somebody else has it locked, or a deadlock was resolved against us: worth trying again soon.
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
    /// A word for logs and counters.
    pub fn word(self) -> &'static str {
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
        f.write_str(self.word())
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
    pub found: u64,
    /// Counts the lives of this node's name.
    pub epoch: u64,
}
