//! The data that the consensus log asks its storage to make durable, in plain types, so that the consensus
//! code and the storage code do not depend on each other.
//!
//! All values are opaque bytes here; only the consensus code encodes and decodes them. Log indices count from
//! one.

/// Changes to the consensus log that become durable together or not at all. The consensus code creates them
/// and the storage writes them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogRecord {
    /// The hard state of consensus (term, vote and commit index) to store in place of the previous one;
    /// `None` if it did not change.
    pub hard_state: Option<Vec<u8>>,
    /// The snapshot to store in place of the previous one and of all compacted entries; `None` if there is no
    /// new one.
    pub snapshot: Option<Vec<u8>>,
    /// The index from which entries are removed before `entries` are appended, because a new leader has other
    /// entries at these indices; `None` removes none.
    pub truncate_from: Option<u64>,
    /// Entries to append, each with its index, as encoded by the consensus code.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// The index up to which entries are removed, itself included, as the snapshot covers them; `None`
    /// removes none.
    pub compact_through: Option<u64>,
}

impl LogRecord {
    /// Whether the record holds no change, so that nothing needs to be written.
    pub fn is_empty(&self) -> bool {
        *self == LogRecord::default()
    }
}

/// The contents of the consensus log's storage, as a node reads them when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// The stored hard state, as in [`LogRecord::hard_state`]; `None` if none was stored.
    pub hard_state: Option<Vec<u8>>,
    /// The stored snapshot, as in [`LogRecord::snapshot`]; `None` if none was stored.
    pub snapshot: Option<Vec<u8>>,
    /// The stored entries after the snapshot, each with its index, in ascending order.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// How many times this storage has been opened, this time included.
    pub incarnation: u64,
}
