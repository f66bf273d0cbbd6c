//! The replicated log in memory: what the raft library reads, and the records that make its changes durable.
//!
//! Guarantees: each change of the log is either in a [`LogRecord`] that was filled in the same call, or was read from disk;
//! compaction keeps the last compacted version, so that there is always a content to act on. It does not write by itself.

use crate::Version;
use crate::membership::{Membership, Role};
use crate::wire::{LogBase, VersionEntry};
use gaugestand_admission::log_record::{LogRecord, RecoveredLog};
use prost::Message as _;
use raft::prelude::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::collections::VecDeque;

/// Most versions that are kept, for `gaugestand fleet history` and roll-back.
pub const MAX_RETAINED_VERSIONS: usize = 64;
/// Most bytes of versions that are kept: bounds the memory and the file of the log.
pub const MAX_RETAINED_BYTES: usize = 4 << 20;
/// Most entries that are kept, with the empty ones that the library appends at each election.
const MAX_RETAINED_ENTRIES: usize = 1024;

/// Why a stored log or a snapshot cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogStorageError {
    /// An entry or the hard state is malformed.
    #[error("an entry or the vote cannot be read")]
    MalformedEntry,
    /// The base of the log is malformed.
    #[error("what stands for the forgotten entries cannot be read")]
    MalformedBase,
    /// The membership in the base is malformed.
    #[error("the members cannot be read")]
    MalformedMembership,
    /// A snapshot of another node is malformed.
    #[error("a snapshot cannot be read")]
    MalformedSnapshot,
    /// The entries are not consecutive.
    #[error("an entry is missing")]
    MissingEntry,
    /// The log ends before its commit index.
    #[error("what was committed is missing")]
    MissingCommitted,
}

/// The log and the hard state of the library, as they are or will be on disk.
#[derive(Debug)]
pub struct LogStorage {
    hard_state: HardState,
    /// The membership of version 0.
    initial_membership: Membership,
    /// Stands for all entries before `entries`.
    base: LogBase,
    entries: VecDeque<Entry>,
}

/// The version that an entry holds, if it holds one.
pub fn version_entry(entry: &Entry) -> Option<VersionEntry> {
    let bytes = match entry.get_entry_type() {
        EntryType::EntryNormal => entry.get_data(),
        // The data of a membership change is the library's; the version is in its context.
        EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => entry.get_context(),
    };
    if bytes.is_empty() { None } else { VersionEntry::decode(bytes).ok() }
}

/// The library's number of a node: it does not allow 0.
pub fn raft_id(id: crate::NodeId) -> u64 {
    u64::from(id) + 1
}

/// The library's form of a membership.
fn conf_state(membership: &Membership) -> ConfState {
    let ids = |role: Role| {
        let members = membership.members().iter().filter(move |member| member.role == role);
        members.map(|member| raft_id(member.id)).collect()
    };
    ConfState { voters: ids(Role::Voter), learners: ids(Role::Learner), ..ConfState::default() }
}

fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    // Encoding fails only for a missing required field; the library's messages have none.
    message.write_to_bytes().unwrap_or_default()
}

fn decode<M: protobuf::Message>(bytes: &[u8]) -> Result<M, LogStorageError> {
    let mut message = M::new();
    message.merge_from_bytes(bytes).map_err(|_| LogStorageError::MalformedEntry)?;
    Ok(message)
}

/// What an entry adds to the bounds of the log.
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
    /// The log that was found on disk, of a cluster that began with this membership.
    ///
    /// # Errors
    /// A record of the log is malformed, entries are not consecutive, or committed entries are missing
    /// ([`LogStorageError::MissingCommitted`]). The node may have lost what it acknowledged and must not use
    /// this log.
    pub fn open(found: &RecoveredLog, initial_membership: Membership) -> Result<Self, LogStorageError> {
        let hard_state = found.hard_state.as_deref().map_or(Ok(HardState::default()), decode)?;
        let base = found.snapshot.as_deref().map_or(Ok(LogBase::default()), LogBase::decode);
        let base = base.map_err(|_| LogStorageError::MalformedBase)?;
        let mut storage = LogStorage { hard_state, initial_membership, base, entries: VecDeque::new() };
        storage.decode_membership()?;
        for (index, entry) in &found.entries {
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

    /// The membership under the version that the base stands for.
    pub fn base_membership(&self) -> Membership {
        // It was decoded once before it was accepted.
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

    /// The last compacted version.
    pub fn base_version(&self) -> Option<&VersionEntry> {
        self.base.last.as_ref().filter(|entry| entry.version > 0)
    }

    /// The index of the last compacted entry.
    pub fn base_index(&self) -> u64 {
        self.base.index
    }

    /// Appends entries; they replace those at their indices and all after them.
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

    /// Takes over the library's hard state: term, vote and commit index.
    pub fn set_hard_state(&mut self, hard_state: &HardState, record: &mut LogRecord) {
        self.hard_state = hard_state.clone();
        record.hard_state = Some(encode(hard_state));
    }

    /// Replaces the log by a snapshot; a malformed one changes nothing.
    ///
    /// # Errors
    /// [`LogStorageError::MalformedSnapshot`] or [`LogStorageError::MalformedMembership`] if the sender's
    /// snapshot cannot be decoded; the log and `record` are as before.
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

    /// Compacts applied entries while the log is over its bounds.
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

    /// Lets the base stand for this entry as well.
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
