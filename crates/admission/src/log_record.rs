//! What a replicated log asks its storage to make durable, in plain types: consensus and the storage that writes the
//! log know nothing of each other.
//!
//! All values are opaque bytes here; only consensus encodes and decodes them. Indices count from one.

/// Changes to the log that become durable together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRecord {
    /// The hard state of consensus: its term, vote and commit index.
    pub hard_state: Option<Vec<u8>>,
    /// The snapshot that replaces all compacted entries.
    pub snapshot: Option<Vec<u8>>,
    /// Entries from this index on are removed before `entries` are appended: a new leader has overruled them.
    pub truncate_from: Option<u64>,
    /// Entries to append, each with its index.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Entries up to and including this index are removed, as the snapshot covers them.
    pub compact_through: Option<u64>,
}

impl LogRecord {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == LogRecord::default()
    }
}

/// What a node found in its log storage when it started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// As in [`LogRecord::hard_state`].
    pub hard_state: Option<Vec<u8>>,
    /// As in [`LogRecord::snapshot`].
    pub snapshot: Option<Vec<u8>>,
    /// Entries after the snapshot with their indices, in ascending order.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// The number of times that this storage was opened, this time included.
    pub incarnation: u64,
}
