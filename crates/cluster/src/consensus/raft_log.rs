//! Drives the raft library: sends its messages, writes its records and applies committed entries.
//!
//! Messages that depend on a write are held back until the write is durable. The lease rules also learn of a
//! new end of the log only then: otherwise a node that lost the write in a crash could break what it had
//! granted or acknowledged before.

use super::{Command, Consensus, ProposalError, node_id};
use crate::Version;
use crate::diff;
use crate::lease;
use crate::log_storage::version_entry;
use crate::wire::{Payload, VersionEntry};
use gaugestand_admission::log_record::LogRecord;
use gaugestand_admission::time::Timestamp;
use protobuf::Message as _;
use raft::prelude::{ConfChange, Entry, EntryType, Message, Snapshot};
use std::rc::Rc;

/// A record that may not be durable yet, and the messages that wait for it.
#[derive(Debug)]
pub(super) struct PendingWrite {
    /// Sequence number of the record.
    sequence: u64,
    /// The library's number of the `Ready` that the record belongs to.
    ready_number: u64,
    /// Messages that may be sent only after the record is durable.
    messages: Vec<Message>,
    /// The last version in the log after this record.
    log_tail: Version,
    is_durable: bool,
}

impl Consensus {
    /// Processes everything that the library has prepared since the last call (its `Ready`s). Has to be
    /// called after each event.
    pub(super) fn process_ready(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        while self.raft.has_ready() {
            self.process_one_ready(now, commands);
        }
        self.fail_proposals_of_old_leader(commands);
    }

    fn process_one_ready(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        let mut ready = self.raft.ready();
        self.send_raft_messages(ready.take_messages(), commands);
        let mut record = LogRecord::default();
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            self.restore_snapshot(now, &snapshot, &mut record, commands);
        }
        self.raft.mut_store().append(ready.take_entries(), &mut record);
        if let Some(hard_state) = ready.hs() {
            self.raft.mut_store().set_hard_state(hard_state, &mut record);
        }
        let committed = ready.take_committed_entries();
        let messages = ready.take_persisted_messages();
        let ready_number = ready.number();
        self.raft.advance_append_async(ready);
        self.apply_entries(now, committed, commands);
        self.raft.mut_store().compact(self.applied_index, &mut record);
        self.drop_compacted_versions();
        self.queue_write(ready_number, messages, record, commands);
        self.release_durable(now, commands);
    }

    fn restore_snapshot(
        &mut self,
        now: Timestamp,
        snapshot: &Snapshot,
        record: &mut LogRecord,
        commands: &mut Vec<Command>,
    ) {
        if self.raft.mut_store().restore(snapshot, record).is_err() {
            return;
        }
        self.applied_index = snapshot.get_metadata().index;
        self.membership = self.raft.store().base_membership();
        if let Some(version) = self.raft.store().base_version().cloned() {
            self.commit(now, version, commands);
        }
    }

    fn queue_write(
        &mut self,
        ready_number: u64,
        messages: Vec<Message>,
        record: LogRecord,
        commands: &mut Vec<Command>,
    ) {
        let is_durable = record.is_empty();
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if !is_durable {
            commands.push(Command::Persist { sequence, record });
        }
        let log_tail = self.raft.store().last_version();
        let write = PendingWrite { sequence, ready_number, messages, log_tail, is_durable };
        self.pending_writes.push_back(write);
    }

    pub(super) fn on_persisted(&mut self, now: Timestamp, sequence: u64, commands: &mut Vec<Command>) {
        if let Some(write) = self.pending_writes.iter_mut().find(|write| write.sequence == sequence) {
            write.is_durable = true;
        }
        self.release_durable(now, commands);
    }

    /// Reports to the library the writes that are durable together with all earlier ones, and sends the
    /// messages that waited for them.
    fn release_durable(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        while let Some(write) = self.pending_writes.pop_front_if(|write| write.is_durable) {
            self.raft.on_persist_ready(write.ready_number);
            self.send_raft_messages(write.messages, commands);
            self.on_lease_event(now, lease::Event::LogTail(write.log_tail), commands);
        }
    }

    fn send_raft_messages(&self, messages: Vec<Message>, commands: &mut Vec<Command>) {
        for message in messages {
            let to = node_id(message.to).filter(|to| self.linked.contains(to));
            if let (Some(to), Ok(bytes)) = (to, message.write_to_bytes()) {
                commands.push(Command::Send { to, payload: Payload::Raft(bytes) });
            }
        }
    }

    fn apply_entries(&mut self, now: Timestamp, entries: Vec<Entry>, commands: &mut Vec<Command>) {
        for entry in entries {
            self.applied_index = entry.index;
            if entry.get_entry_type() == EntryType::EntryConfChange {
                let mut change = ConfChange::default();
                // Every node applies the same entries, so a change that the library rejects is ignored on
                // every node alike.
                if change.merge_from_bytes(entry.get_data()).is_ok() {
                    let _ = self.raft.apply_conf_change(&change);
                }
            }
            if let Some(version) = version_entry(&entry) {
                self.commit(now, version, commands);
            }
        }
        self.raft.advance_apply_to(self.applied_index);
    }

    /// Records that a version is committed: reports it to the caller, starts its activation, and answers the
    /// proposal that it came from.
    pub(super) fn commit(&mut self, now: Timestamp, entry: VersionEntry, commands: &mut Vec<Command>) {
        let version = entry.version;
        let content = Rc::<[u8]>::from(entry.content);
        let immediate = entry.membership.is_empty() && self.is_compatible_successor(version, &content);
        if let Ok(membership) = serde_json::from_slice(&entry.membership) {
            self.membership = membership;
        }
        let voters = self.membership.voter_set();
        self.committed.insert(version, content.clone());
        commands.push(Command::Committed { version, content });
        self.on_lease_event(now, lease::Event::Committed { version, immediate, voters }, commands);
        if self.pending_proposal.as_ref().is_some_and(|pending| pending.appended_as == Some(version)) {
            self.finish_proposal(Ok(version), commands);
        }
    }

    /// Whether this version may be activated while other nodes still act on its predecessor; false if the
    /// predecessor's content is not known.
    fn is_compatible_successor(&self, version: Version, content: &[u8]) -> bool {
        let predecessor = version.checked_sub(1).and_then(|before| self.committed.get(&before));
        predecessor.is_some_and(|predecessor| diff::is_immediate(predecessor, content))
    }

    /// Drops the contents of versions that the log has compacted, except for the last compacted one.
    fn drop_compacted_versions(&mut self) {
        let first = self.raft.store().base_version().map_or(0, |entry| entry.version);
        self.committed = self.committed.split_off(&first);
    }

    /// Answers proposals with an unknown result after a change of the leader: they may or may not be
    /// committed.
    fn fail_proposals_of_old_leader(&mut self, commands: &mut Vec<Command>) {
        let changed = |leader| self.forwarded_to.is_some_and(|to| to != leader);
        if self.leader().is_some_and(changed) {
            let unanswered = std::mem::take(&mut self.forwarded);
            commands.extend(unanswered.into_keys().map(Command::unknown_result));
            self.forwarded_to = None;
        }
        if !self.is_leader() && self.pending_proposal.is_some() {
            self.finish_proposal(Err(ProposalError::Unknown), commands);
        }
    }
}

impl Command {
    /// The answer to a proposal that may or may not be committed later.
    pub(super) fn unknown_result(ticket: u64) -> Self {
        Command::Answer { ticket, result: Err(ProposalError::Unknown) }
    }
}
