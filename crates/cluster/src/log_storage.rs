//! The log in memory: what the consensus library reads, and what of it goes to the disk.

use crate::lease::Version;
use crate::membership::{Members, Role};
use crate::wire::{Base, Entry as Versioned};
use gaugestand_admission::log_record::{Found, LogRecord};
use prost::Message as _;
use raft::prelude::{ConfState, Entry, EntryType, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::collections::VecDeque;

/// Most versions that are kept.
pub const MOST_VERSIONS: usize = 64;
/// Most bytes of them.
pub const MOST_BYTES: usize = 4 << 20;
/// Most entries, those included that the library makes for itself.
const MOST_ENTRIES: usize = 1024;

/// The log and the library's state, as they are or will be on disk.
#[derive(Debug)]
pub struct LogStorage {
    hard: HardState,
    /// Those of the script: of version 0.
    first: Members,
    base: Base,
    entries: VecDeque<Entry>,
}

/// The version that an entry holds, if it holds one.
pub fn version_of(entry: &Entry) -> Option<Versioned> {
    let bytes = match entry.get_entry_type() {
        EntryType::EntryNormal => entry.get_data(),
        // A change of who votes has the version beside it.
        EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => entry.get_context(),
    };
    if bytes.is_empty() { None } else { Versioned::decode(bytes).ok() }
}

/// The library's number of a node: it wants none to be 0.
pub fn raft_id(number: u8) -> u64 {
    u64::from(number) + 1
}

/// The library's form of a list of members.
fn conf(members: &Members) -> ConfState {
    let of = |role: Role| {
        let all = members.nodes().iter().filter(move |n| n.role == role);
        all.map(|n| raft_id(n.number)).collect()
    };
    ConfState { voters: of(Role::Voter), learners: of(Role::Learner), ..ConfState::default() }
}

/// A message of the library's own form as bytes.
fn bytes(message: &impl protobuf::Message) -> Vec<u8> {
    // Fields of these messages are all optional, which is the one thing that writing can fail by.
    message.write_to_bytes().unwrap_or_default()
}

fn read<M: protobuf::Message>(bytes: &[u8]) -> Result<M, &'static str> {
    let mut message = M::new();
    message.merge_from_bytes(bytes).map_err(|_| "an entry or the vote cannot be read")?;
    Ok(message)
}

impl LogStorage {
    /// From what was found, for a fleet that began with these members.
    pub fn open(found: &Found, first: Members) -> Result<Self, &'static str> {
        let hard: HardState = found.state.as_deref().map_or(Ok(HardState::default()), read)?;
        let base = found.base.as_deref().map_or(Ok(Base::default()), Base::decode);
        let base = base.map_err(|_| "what stands for the forgotten entries cannot be read")?;
        let mut shelf = LogStorage { hard, first, base, entries: VecDeque::new() };
        shelf.read_members()?;
        for (index, entry) in &found.entries {
            let entry: Entry = read(entry)?;
            if entry.index != *index || entry.index != shelf.last() + 1 {
                return Err("an entry is missing");
            }
            shelf.entries.push_back(entry);
        }
        if shelf.hard.commit > shelf.last() || shelf.hard.commit < shelf.base.index {
            return Err("what was committed is missing");
        }
        Ok(shelf)
    }

    fn read_members(&self) -> Result<Members, &'static str> {
        if self.base.members.is_empty() {
            return Ok(self.first.clone());
        }
        serde_json::from_slice(&self.base.members).map_err(|_| "the members cannot be read")
    }

    /// The members of the version that the base stands for.
    pub fn base_members(&self) -> Members {
        // They were read once before they were taken in.
        self.read_members().unwrap_or_else(|_| self.first.clone())
    }

    /// The place of the last entry.
    fn last(&self) -> u64 {
        self.base.index + self.entries.len() as u64
    }

    /// The last version in the log, committed or not; 0 if there is none.
    pub fn last_version(&self) -> Version {
        let newest = self.entries.iter().rev().find_map(version_of);
        newest.map(|v| v.version).or(self.base_version().map(|v| v.version)).unwrap_or(0)
    }

    /// The version that the base holds.
    pub fn base_version(&self) -> Option<&Versioned> {
        self.base.last.as_ref().filter(|v| v.version > 0)
    }

    /// The place that the base stands for.
    pub fn base_index(&self) -> u64 {
        self.base.index
    }

    /// Takes entries in; those that stood in their places and after them go.
    pub fn append(&mut self, entries: Vec<Entry>, page: &mut LogRecord) {
        let Some(first) = entries.first().map(|e| e.index) else { return };
        if first <= self.last() {
            self.entries.truncate(first.saturating_sub(self.base.index + 1) as usize);
            page.cut = Some(first);
        }
        for entry in entries {
            page.put.push((entry.index, bytes(&entry)));
            self.entries.push_back(entry);
        }
    }

    /// Takes the library's state in.
    pub fn set_hard(&mut self, hard: &HardState, page: &mut LogRecord) {
        self.hard = hard.clone();
        page.state = Some(bytes(hard));
    }

    /// Takes the place of all with what a snapshot holds.
    pub fn restore(&mut self, snapshot: &Snapshot, page: &mut LogRecord) -> Result<(), &'static str> {
        let base = Base::decode(snapshot.get_data()).map_err(|_| "a snapshot cannot be read")?;
        let old = std::mem::replace(&mut self.base, base.clone());
        if let Err(why) = self.read_members() {
            self.base = old;
            return Err(why);
        }
        self.entries.clear();
        self.hard.commit = self.hard.commit.max(base.index);
        (page.cut, page.base, page.state) = (Some(0), Some(base.encode_to_vec()), Some(bytes(&self.hard)));
        Ok(())
    }

    /// Forgets what is over the bounds, of what was applied.
    pub fn trim(&mut self, applied: u64, page: &mut LogRecord) {
        let held = |e: &Entry| {
            let size = e.get_data().len() + e.get_context().len();
            (size, usize::from(size > 0))
        };
        let (mut size, mut versions) =
            self.entries.iter().map(held).fold((0, 0), |(a, b), (x, y)| (a + x, b + y));
        let mut forgotten = None;
        while size > MOST_BYTES || versions > MOST_VERSIONS || self.entries.len() > MOST_ENTRIES {
            if self.entries.front().is_none_or(|e| e.index >= applied) {
                break;
            }
            let Some(entry) = self.entries.pop_front() else { break };
            let (bytes, one) = held(&entry);
            (size, versions) = (size - bytes, versions - one);
            (self.base.index, self.base.term) = (entry.index, entry.term);
            if let Some(version) = version_of(&entry) {
                if !version.members.is_empty() {
                    self.base.members = version.members.clone();
                }
                self.base.last = Some(version);
            }
            forgotten = Some(entry.index);
        }
        if forgotten.is_some() {
            (page.forget, page.base) = (forgotten, Some(self.base.encode_to_vec()));
        }
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard.clone(), conf_state: conf(&self.base_members()) })
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
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let (from, to) = (low - self.base.index - 1, high - self.base.index - 1);
        let mut all: Vec<Entry> = self.entries.range(from as usize..to as usize).cloned().collect();
        raft::util::limit_size(&mut all, max_size.into());
        Ok(all)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.base.index {
            return Ok(self.base.term);
        }
        if index < self.base.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.base.index - 1) as usize);
        entry.map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.base.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.base.index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(self.base.encode_to_vec().into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.base.index, self.base.term);
        meta.set_conf_state(conf(&self.base_members()));
        Ok(snapshot)
    }
}
