//! What of an agreed log goes to a disk, in plain types: who decides it and who writes it know nothing of each other.

/// What is to be made durable, all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRecord {
    /// The state of the log's library: term, vote, what is committed.
    pub state: Option<Vec<u8>>,
    /// What stands for all that is forgotten.
    pub base: Option<Vec<u8>>,
    /// Entries from here on go, before the new ones come.
    pub cut: Option<u64>,
    /// Entries by place.
    pub put: Vec<(u64, Vec<u8>)>,
    /// Entries up to here go.
    pub forget: Option<u64>,
}

impl LogRecord {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == LogRecord::default()
    }
}

/// What a node found on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// As in [`Page::state`].
    pub state: Option<Vec<u8>>,
    /// As in [`Page::base`].
    pub base: Option<Vec<u8>>,
    /// Entries in the order of their places.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Counts the starts on this disk, this one among them.
    pub life: u64,
}
