//! The replicated log in memory: the raft library reads it, and each change of it is put into a record that
//! the caller writes to disk.
//!
//! Guarantees: every change of the log was either read from disk or is in the [`LogRecord`] that the changing
//! call filled; compaction keeps the last compacted version, so that there is always a content to act on.
//! This module does not write to disk.

use crate::Version;
use crate::membership::{Membership, Role};
use crate::wire::{LogBase, VersionEntry};
use gaugestand_admission::log_record::{LogRecord, RecoveredLog};
use prost::Message as _;
use raft::prelude::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::collections::VecDeque;

/// Maximum number of versions that the log retains, for `gaugestand fleet history` and roll-back.
pub const MAX_RETAINED_VERSIONS: usize = 64;
/// Maximum size of the versions that the log retains, in bytes; bounds the memory and the file of the log.
pub const MAX_RETAINED_BYTES: usize = 4 << 20;
/// Maximum number of entries that the log retains, including the empty ones that the library appends at each
/// election.
const MAX_RETAINED_ENTRIES: usize = 1024;

/// Why a log on disk or a snapshot of another node cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogStorageError {
    /// An entry or the hard state (term, vote and commit index) is malformed.
    #[error("an entry or the hard state (term, vote and commit index) cannot be decoded")]
    MalformedEntry,
    /// The base of the log, which replaces the compacted entries, is malformed.
    #[error("the part of the log that replaces removed entries cannot be decoded")]
    MalformedBase,
    /// The membership in the base is malformed.
    #[error("the list of nodes in the part of the log that replaces removed entries cannot be decoded")]
    MalformedMembership,
    /// A snapshot of another node is malformed.
    #[error("a snapshot of another node cannot be decoded")]
    MalformedSnapshot,
    /// The entries after the base are not consecutive.
    #[error("an entry is missing: the indices are not consecutive")]
    MissingEntry,
    /// The commit index is after the last entry, or before the base.
    #[error("committed entries are missing: the commit index is outside the log")]
    MissingCommitted,
}

/// The raft library's log and hard state, including changes that are not on disk yet.
#[derive(Debug)]
pub struct LogStorage {
    hard_state: HardState,
    /// The membership of version 0.
    initial_membership: Membership,
    /// Replaces all compacted entries, which are those before `entries`.
    base: LogBase,
    entries: VecDeque<Entry>,
}

/// Decodes the version in an entry; `None` if the entry has none, like the empty entry after an election.
pub fn version_entry(entry: &Entry) -> Option<VersionEntry> {
    let bytes = match entry.get_entry_type() {
        EntryType::EntryNormal => entry.get_data(),
        // The data of a membership change belongs to the library; the version is in the entry's context.
        EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => entry.get_context(),
    };
    if bytes.is_empty() { None } else { VersionEntry::decode(bytes).ok() }
}

/// Converts a node number to the raft library's number, which may not be 0.
pub fn raft_id(id: crate::NodeId) -> u64 {
    u64::from(id) + 1
}

/// Converts a membership to the raft library's type.
fn conf_state(membership: &Membership) -> ConfState {
    let ids = |role: Role| {
        let members = membership.members().iter().filter(move |member| member.role == role);
        members.map(|member| raft_id(member.id)).collect()
    };
    ConfState { voters: ids(Role::Voter), learners: ids(Role::Learner), ..ConfState::default() }
}

fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    // Encoding fails only if a required field is missing, and the library's messages have no required fields.
    message.write_to_bytes().unwrap_or_default()
}

fn decode<M: protobuf::Message>(bytes: &[u8]) -> Result<M, LogStorageError> {
    let mut message = M::new();
    message.merge_from_bytes(bytes).map_err(|_| LogStorageError::MalformedEntry)?;
    Ok(message)
}

/// Size of one or several entries, as limited by [`MAX_RETAINED_BYTES`] and [`MAX_RETAINED_VERSIONS`].
#[derive(Clone, Copy, Default)]
struct EntrySize {
    bytes: usize,
    versions: usize,
}

impl EntrySize {
    fn of(entry: &Entry) -> Self {
        let bytes = entry.get_data().len() + entry.get_context().len();
        EntrySize { bytes, versions: usize::from(bytes > 0) }
    }

    fn plus(self, other: EntrySize) -> Self {
        EntrySize { bytes: self.bytes + other.bytes, versions: self.versions + other.versions }
    }

    fn minus(self, other: EntrySize) -> Self {
        EntrySize { bytes: self.bytes - other.bytes, versions: self.versions - other.versions }
    }
}

impl LogStorage {
    /// Opens the log that was read from disk, of a cluster whose membership of version 0 is
    /// `initial_membership`.
    ///
    /// # Errors
    /// A record of the log is malformed, entries are not consecutive, or committed entries are missing
    /// ([`LogStorageError::MissingCommitted`]). The node may have lost what it acknowledged and must not use
    /// this log.
    pub fn open(
        recovered_log: &RecoveredLog,
        initial_membership: Membership,
    ) -> Result<Self, LogStorageError> {
        let hard_state = recovered_log.hard_state.as_deref().map_or(Ok(HardState::default()), decode)?;
        let base = recovered_log.snapshot.as_deref().map_or(Ok(LogBase::default()), LogBase::decode);
        let base = base.map_err(|_| LogStorageError::MalformedBase)?;
        let mut storage = LogStorage { hard_state, initial_membership, base, entries: VecDeque::new() };
        storage.decode_membership()?;
        for (index, entry) in &recovered_log.entries {
            let entry: Entry = decode(entry)?;
            if entry.index != *index || entry.index != storage.last_entry_index() + 1 {
                return Err(LogStorageError::MissingEntry);
            }
            storage.entries.push_back(entry);
        }
        let committed = storage.hard_state.commit;
        if committed > storage.last_entry_index() || committed < storage.base.index {
            return Err(LogStorageError::MissingCommitted);
        }
        Ok(storage)
    }

    fn decode_membership(&self) -> Result<Membership, LogStorageError> {
        if self.base.membership.is_empty() {
            return Ok(self.initial_membership.clone());
        }
        serde_json::from_slice(&self.base.membership).map_err(|_| LogStorageError::MalformedMembership)
    }

    /// The membership under the last compacted version.
    pub fn base_membership(&self) -> Membership {
        // Decoding cannot fail here: the base is accepted only after its membership was decoded.
        self.decode_membership().unwrap_or_else(|_| self.initial_membership.clone())
    }

    fn last_entry_index(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    /// The last version in the log, committed or not; 0 if there is none.
    pub fn last_version(&self) -> Version {
        let newest = self.entries.iter().rev().find_map(version_entry);
        let newest = newest.map(|entry| entry.version);
        newest.or(self.base_version().map(|entry| entry.version)).unwrap_or(0)
    }

    /// The last compacted version; `None` if no version was compacted.
    pub fn base_version(&self) -> Option<&VersionEntry> {
        self.base.last.as_ref().filter(|entry| entry.version > 0)
    }

    /// Index of the last compacted entry; 0 if none was compacted.
    pub fn base_index(&self) -> u64 {
        self.base.index
    }

    /// Appends entries. They replace existing entries from the first one's index on.
    pub fn append(&mut self, entries: Vec<Entry>, record: &mut LogRecord) {
        let Some(first) = entries.first().map(|entry| entry.index) else { return };
        if first <= self.last_entry_index() {
            self.entries.truncate(first.saturating_sub(self.base.index + 1) as usize);
            record.truncate_from = Some(first);
        }
        for entry in entries {
            record.entries.push((entry.index, encode(&entry)));
            self.entries.push_back(entry);
        }
    }

    /// Sets the library's hard state: term, vote and commit index.
    pub fn set_hard_state(&mut self, hard_state: &HardState, record: &mut LogRecord) {
        self.hard_state = hard_state.clone();
        record.hard_state = Some(encode(hard_state));
    }

    /// Replaces the log by a snapshot of another node.
    ///
    /// # Errors
    /// [`LogStorageError::MalformedSnapshot`] or [`LogStorageError::MalformedMembership`] if the sender's
    /// snapshot cannot be decoded; the log and `record` are unchanged.
    pub fn restore(&mut self, snapshot: &Snapshot, record: &mut LogRecord) -> Result<(), LogStorageError> {
        let base = LogBase::decode(snapshot.get_data()).map_err(|_| LogStorageError::MalformedSnapshot)?;
        let replaced = std::mem::replace(&mut self.base, base.clone());
        if let Err(error) = self.decode_membership() {
            self.base = replaced;
            return Err(error);
        }
        self.entries.clear();
        self.hard_state.commit = self.hard_state.commit.max(base.index);
        record.truncate_from = Some(0);
        record.snapshot = Some(base.encode_to_vec());
        record.hard_state = Some(encode(&self.hard_state));
        Ok(())
    }

    /// Compacts applied entries, oldest first, while the log exceeds a retention limit.
    pub fn compact(&mut self, applied_index: u64, record: &mut LogRecord) {
        let mut size = self.entries.iter().map(EntrySize::of).fold(EntrySize::default(), EntrySize::plus);
        let mut compacted_to = None;
        while size.bytes > MAX_RETAINED_BYTES
            || size.versions > MAX_RETAINED_VERSIONS
            || self.entries.len() > MAX_RETAINED_ENTRIES
        {
            if self.entries.front().is_none_or(|entry| entry.index >= applied_index) {
                break;
            }
            let Some(entry) = self.entries.pop_front() else { break };
            size = size.minus(EntrySize::of(&entry));
            self.extend_base(&entry);
            compacted_to = Some(entry.index);
        }
        if compacted_to.is_some() {
            record.compact_through = compacted_to;
            record.snapshot = Some(self.base.encode_to_vec());
        }
    }

    /// Extends the base by this entry, the first one after it.
    fn extend_base(&mut self, entry: &Entry) {
        self.base.index = entry.index;
        self.base.term = entry.term;
        if let Some(version) = version_entry(entry) {
            if !version.membership.is_empty() {
                self.base.membership = version.membership.clone();
            }
            self.base.last = Some(version);
        }
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf_state = conf_state(&self.base_membership());
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.base.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_entry_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let from = (low - self.base.index - 1) as usize;
        let to = (high - self.base.index - 1) as usize;
        let mut entries: Vec<Entry> = self.entries.range(from..to).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.base.index {
            return Ok(self.base.term);
        }
        if index < self.base.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.base.index - 1) as usize);
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.base.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.base.index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(self.base.encode_to_vec().into());
        let metadata = snapshot.mut_metadata();
        metadata.index = self.base.index;
        metadata.term = self.base.term;
        metadata.set_conf_state(conf_state(&self.base_membership()));
        Ok(snapshot)
    }
}
