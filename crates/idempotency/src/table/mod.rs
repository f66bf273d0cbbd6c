//! The table of idempotency keys. It decides which attempt of a key may run, what repeats of that attempt
//! get, and what must be durable before a run begins or an answer is sent.
//!
//! Guarantees, whatever the idempotency store does and in whatever order events arrive:
//!
//! - at most one run of a key within its deduplication window, over any number of restarts;
//! - no result is sent before it is durable, and no result is sent to an attempt whose body differs from that
//!   of the run;
//! - an attempt whose intent could not be written is settled as one that never ran, and it does not run
//!   later;
//! - no entry is evicted to make room: an attempt whose key does not fit is rejected on arrival.
//!
//! Not guaranteed: that a result can be sent. A result that does not become durable by the deadline of an
//! attempt is not sent to that attempt, and a run of which only the intent is found after a restart counts as
//! failed.
//!
//! The code follows the decision table *event × state → outcome* in `docs/design/record.md` row by row. Each
//! call passes the time, and a seed determines the random jitter; the table owns no socket, file or thread.
//!
//! Modules: `state` holds the state of one key; `durability` queues the writes for the idempotency store,
//! behind the `circuit_breaker`; `expiry` drops entries whose window is over; `replication` copies the table
//! to the successor process.

mod circuit_breaker;
mod durability;
mod expiry;
mod replication;
mod state;

pub use circuit_breaker::BreakerState;
pub use replication::ReplicatedEntry;

use crate::row::{RowState, Write};
use durability::Durability;
use gaugestand_admission::RequestId;
use gaugestand_admission::idempotency::*;
use gaugestand_admission::time::Moment;
use gaugestand_admission::time::{Micros, Timestamp};
use replication::ReplicationQueue;
use state::{Entry, Phase, entry_bytes};
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::mem;
use std::rc::Rc;

/// Time for which an entry is kept after the end of its window, for attempts that reached the machine within
/// the window and are read after its end.
const LATE_READ_GRACE: Micros = Micros::millis(10_000);
/// Memory of an entry besides its key and its result, in bytes: the slot in the hash map, the entry itself
/// and its place in the expiry queue. In a table of a million entries, one with a key of 32 bytes and a
/// result of 100 bytes takes 477 bytes in all.
const ENTRY_BYTES: usize = 350;
/// Longest result that the protocol allows, in bytes.
const MAX_RESULT_BYTES: usize = 4096;
/// Shortest retry-after for an attempt that cannot be accepted: two of the shortest probe intervals.
const MIN_RETRY_AFTER: Micros = Micros::millis(200);
/// Length of the secret for the fingerprints of bodies, in bytes.
const SECRET_BYTES: usize = 32;

/// Limits of a key table that is backed by a store. The node's settings determine them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of keys in the table plus rows that wait to be removed from the store.
    pub entries: usize,
    /// Maximum memory of the entries, in bytes.
    pub bytes: usize,
    /// Maximum number of writes that wait or are in flight. At this number, first attempts are rejected.
    pub waiting: usize,
    /// Maximum number of writes in one batch, not counting the removals that are added to them.
    pub batch: usize,
    /// Age of the oldest pending write at which the store counts as stalled.
    pub stall: Micros,
    /// Longest deduplication window of any class.
    pub window: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            entries: 100_000,
            bytes: 16 << 20,
            waiting: 4_096,
            batch: 512,
            stall: Micros::millis(250),
            window: Micros::millis(60_000),
        }
    }
}

/// Metrics of a key table, for the node's counters and log lines. The last six count since the table was
/// created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableMetrics {
    /// Keys in the table.
    pub entries: usize,
    /// Memory of the entries, in bytes.
    pub bytes: usize,
    /// Writes to the store that wait or are in flight.
    pub writes: usize,
    /// Rows that wait to be removed from the store.
    pub removals: usize,
    /// Batches that became durable.
    pub commits: u64,
    /// Writes in the batches that became durable.
    pub committed: u64,
    /// Batches that failed or have an unknown outcome.
    pub failures: u64,
    /// Number of times that the circuit breaker opened.
    pub opened: u64,
    /// Attempts rejected because a limit was reached, the store did not work, or the keys of an earlier
    /// process were not all known.
    pub rejected: u64,
    /// Runs of earlier incarnations of which only the intent was found at the start.
    pub in_doubt: u64,
}

/// The table of idempotency keys; the [module documentation](self) says what it guarantees.
#[derive(Debug)]
pub struct KeyTable {
    keys: HashMap<Rc<str>, Entry>,
    /// Keys with the time at which a sweep is to examine them, roughly in ascending order of that time.
    expiry: VecDeque<(Timestamp, Rc<str>)>,
    next_sweep: Timestamp,
    /// Secret that keys the fingerprints of a table without a store. It is random for each node, so that
    /// nobody can construct two bodies with equal fingerprints, and a successor takes it over from its
    /// predecessor.
    secret: [u8; SECRET_BYTES],
    replication: Option<ReplicationQueue>,
    /// First attempts are rejected before this time: keys that a lost predecessor did not replicate may be in
    /// their window.
    reject_new_keys_until: Option<Timestamp>,
    settled: Vec<Settlement>,
    durability: Option<Durability>,
    /// Maximum memory of a table without a store, in bytes.
    max_bytes: usize,
    metrics: TableMetrics,
}

impl KeyTable {
    /// Creates a table without a store, whose entries are kept in memory only.
    pub fn volatile() -> Self {
        KeyTable {
            keys: HashMap::new(),
            expiry: VecDeque::new(),
            next_sweep: Timestamp(0),
            secret: random_secret(),
            replication: None,
            reject_new_keys_until: None,
            settled: Vec::new(),
            durability: None,
            max_bytes: usize::MAX,
            metrics: TableMetrics::default(),
        }
    }

    /// Creates a table that is backed by a store. It accepts no key before [`KeyTable::load`]. `seed`
    /// determines the jitter of the circuit breaker's probes.
    pub fn durable(limits: Limits, seed: u64) -> Self {
        KeyTable { durability: Some(Durability::new(limits, seed)), ..KeyTable::volatile() }
    }

    /// Sets the memory limit of a table without a store: first attempts are accepted only while the entries
    /// and one more result of maximum length take at most this many bytes. Bounds the memory of the process
    /// even if one window holds more results than fit in memory.
    pub fn set_max_bytes(&mut self, bytes: usize) {
        self.max_bytes = bytes;
    }

    /// Replaces the limits of a table that is backed by a store. Entries and writes that exceed the new
    /// limits stay.
    pub fn set_limits(&mut self, limits: Limits) {
        if let Some(durability) = &mut self.durability {
            durability.limits = limits;
        }
    }

    /// Whether the table is backed by a store.
    pub fn is_durable(&self) -> bool {
        self.durability.is_some()
    }

    /// The state of the circuit breaker in front of the store; closed if there is no store.
    pub fn breaker_state(&self) -> BreakerState {
        self.durability.as_ref().map_or(BreakerState::Closed, Durability::breaker_state)
    }

    /// The present metrics of the table.
    pub fn metrics(&self) -> TableMetrics {
        let durability = self.durability.as_ref();
        TableMetrics {
            entries: self.keys.len(),
            writes: durability.map_or(0, Durability::writes),
            removals: durability.map_or(0, Durability::removals),
            ..self.metrics
        }
    }

    /// Inserts an entry under a key that has none, and counts the memory of the entry.
    fn insert(&mut self, key: Rc<str>, entry: Entry) {
        self.metrics.bytes += entry.bytes(&key);
        self.keys.insert(key, entry);
    }

    /// Removes the entry of a key and no longer counts its memory. The calling function decides what happens
    /// to the row of the key in the store.
    fn remove(&mut self, key: &str) -> Option<Entry> {
        let entry = self.keys.remove(key)?;
        self.metrics.bytes = self.metrics.bytes.saturating_sub(entry.bytes(key));
        Some(entry)
    }

    /// Retry-after for an attempt that cannot be accepted now.
    fn retry_after(&self, now: Timestamp) -> Micros {
        if let Some(durability) = &self.durability {
            return durability.retry_after(now);
        }
        // The next entry that expires makes room.
        let next_expiry = self.expiry.front().map_or(Micros(0), |(due, _)| due.since(now));
        next_expiry.max(MIN_RETRY_AFTER)
    }

    fn has_room_for(&self, key: &str) -> bool {
        let bytes = self.metrics.bytes + key.len() + ENTRY_BYTES;
        let Some(durability) = &self.durability else { return bytes + MAX_RESULT_BYTES <= self.max_bytes };
        durability.has_room()
            && self.keys.len() + durability.removals() < durability.limits.entries
            && bytes <= durability.limits.bytes
    }
}

/// Random bytes that differ in each process, made with the random keys of the standard library's hasher.
fn random_secret() -> [u8; SECRET_BYTES] {
    let mut secret = [0; SECRET_BYTES];
    for (i, eight_bytes) in secret.chunks_exact_mut(8).enumerate() {
        eight_bytes.copy_from_slice(&RandomState::new().hash_one(i).to_be_bytes());
    }
    secret
}

impl IdempotencyTable for KeyTable {
    fn fingerprint(&self, body: &[u8]) -> u128 {
        // With a store, the fingerprint of a body must be the same after a restart, so the fingerprint does
        // not depend on a secret.
        let hash = match self.durability {
            None => blake3::keyed_hash(&self.secret, body),
            Some(_) => blake3::hash(body),
        };
        // Half of the hash is enough: it takes 2^64 attempts to find two bodies with equal fingerprints.
        let mut fingerprint = [0; 16];
        fingerprint.copy_from_slice(&hash.as_bytes()[..16]);
        u128::from_be_bytes(fingerprint)
    }

    fn lookup(&mut self, now: Moment, key: &str, fingerprint: u128, ingress: Moment) -> Lookup {
        if let Some(entry) = self.keys.get(key).filter(|entry| entry.covers(ingress)) {
            // Guards against sending a result to a sender that knows the key of the request but not its body.
            if entry.fingerprint != fingerprint {
                return Lookup::BodyMismatch;
            }
            return Lookup::Original(entry.holder);
        }
        if let Some(until) = self.reject_new_keys_until.filter(|until| now.mono < *until) {
            self.metrics.rejected += 1;
            return Lookup::Unavailable(until.since(now.mono));
        }
        if self.has_room_for(key) {
            return Lookup::Vacant;
        }
        self.metrics.rejected += 1;
        Lookup::Unavailable(self.retry_after(now.mono))
    }

    fn contains(&self, key: &str, ingress: Moment) -> bool {
        self.keys.get(key).is_some_and(|entry| entry.covers(ingress))
    }

    fn reserve(&mut self, key: &Rc<str>, id: RequestId, fingerprint: u128, until: Moment) -> Vec<RequestId> {
        self.mark_changed(key);
        let old = self.remove(key);
        self.insert(key.clone(), Entry::queued(id, fingerprint, until));
        let Some(old) = old else {
            self.expiry.push_back((until.mono.plus(LATE_READ_GRACE), key.clone()));
            return Vec::new();
        };
        old.waiters
    }

    fn begin_run(
        &mut self,
        now: Moment,
        key: &Rc<str>,
        id: RequestId,
        ingress: Moment,
        until: Moment,
    ) -> RunPermit {
        self.mark_changed(key);
        let Some(entry) = self.keys.get_mut(key) else { return RunPermit::Denied };
        if entry.holder != id || entry.phase != Phase::Queued {
            return RunPermit::Denied;
        }
        entry.ingress = ingress.wall;
        entry.expires =
            Moment { mono: entry.expires.mono.max(until.mono), wall: entry.expires.wall.max(until.wall) };
        let Some(durability) = &mut self.durability else {
            entry.phase = Phase::Running;
            return RunPermit::Granted;
        };
        if durability.accepts_intents() {
            entry.sequence = durability.next_sequence();
            entry.phase = Phase::IntentPending;
            durability.push(now.mono, Write::Put(entry.row(key, RowState::Intent)));
            return RunPermit::Pending;
        }
        // The attempt was accepted before the breaker opened. It is settled like those whose intents were
        // pending at that time.
        let retry_after = durability.retry_after(now.mono);
        if let Some(entry) = self.remove(key) {
            self.settle_unwritten(entry, retry_after);
        }
        RunPermit::Pending
    }

    fn join(&mut self, key: &str, id: RequestId) -> JoinOutcome {
        self.mark_changed(key);
        let Some(entry) = self.keys.get_mut(key) else { return JoinOutcome::Failed };
        match &entry.phase {
            Phase::Completed(result) => JoinOutcome::Replay(result.clone()),
            Phase::Failed => JoinOutcome::Failed,
            Phase::Queued | Phase::IntentPending | Phase::Running | Phase::ResultPending(_) => {
                entry.waiters.push(id);
                JoinOutcome::Pending
            }
        }
    }

    fn complete_run(
        &mut self,
        now: Moment,
        key: &Rc<str>,
        id: RequestId,
        run_result: RunResult,
    ) -> Completion {
        self.mark_changed(key);
        let is_run = |entry: &&Entry| entry.holder == id && entry.phase == Phase::Running;
        if self.keys.get(key).filter(is_run).is_none() {
            return self.end_without_entry(run_result);
        }
        match run_result {
            RunResult::NeverRan => self.end_never_ran(now.mono, key),
            RunResult::Succeeded(result) => self.end_with_result(now.mono, key, result),
            RunResult::NoResult => {
                self.push_final_row(now.mono, key, RowState::Failed);
                Completion::Settled(self.set_final_phase(key, Phase::Failed), None)
            }
        }
    }

    fn release(&mut self, now: Moment, key: &Rc<str>, id: RequestId) -> Released {
        self.mark_changed(key);
        let Some(entry) = self.keys.get_mut(key) else { return Released::default() };
        if entry.holder != id {
            entry.waiters.retain(|waiter| *waiter != id);
            return Released::default();
        }
        match entry.phase {
            Phase::Queued => {
                let waiters = self.remove(key).map(|entry| entry.waiters).unwrap_or_default();
                Released { waiters, intent_withdrawn: false }
            }
            Phase::IntentPending => {
                let waiters = self.withdraw(now.mono, key).map(|entry| entry.waiters).unwrap_or_default();
                Released { waiters, intent_withdrawn: true }
            }
            Phase::Running | Phase::ResultPending(_) | Phase::Completed(_) | Phase::Failed => {
                Released::default()
            }
        }
    }

    fn drain_settled(&mut self, now: Moment, settlements: &mut Vec<Settlement>) {
        self.sweep(now.mono);
        self.check_for_stall(now.mono);
        settlements.append(&mut self.settled);
    }

    fn is_ready(&self) -> bool {
        self.durability.as_ref().is_none_or(Durability::is_loaded)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let [stall, retry] = self.durability.as_ref()?.next_due();
        [stall, retry, self.next_sweep_due()].into_iter().flatten().min()
    }
}

/// Handling of the end of a run.
impl KeyTable {
    /// Ends a run that no longer holds its key, as its window is over and the entry was dropped or replaced.
    /// Without a store, the result still answers the attempt that ran.
    fn end_without_entry(&self, run_result: RunResult) -> Completion {
        let result = match run_result {
            RunResult::Succeeded(result) if self.durability.is_none() => Some(result),
            RunResult::Succeeded(_) | RunResult::NoResult | RunResult::NeverRan => None,
        };
        Completion::Settled(Vec::new(), result)
    }

    /// Removes the entry of a run that never began, and queues the removal of its intent.
    fn end_never_ran(&mut self, now: Timestamp, key: &Rc<str>) -> Completion {
        let Some(entry) = self.remove(key) else { return Completion::Settled(Vec::new(), None) };
        if let Some(durability) = &mut self.durability {
            durability.push(now, Write::Remove { key: key.to_string(), sequence: entry.sequence });
        }
        Completion::Settled(entry.waiters, None)
    }

    /// Ends a run that has a result. With a store, the result may be sent once it is durable; without one, at
    /// once.
    fn end_with_result(&mut self, now: Timestamp, key: &Rc<str>, result: Rc<[u8]>) -> Completion {
        if self.durability.is_none() {
            let waiters = self.set_final_phase(key, Phase::Completed(result.clone()));
            return Completion::Settled(waiters, Some(result));
        }
        self.push_final_row(now, key, RowState::Completed(result.to_vec()));
        self.set_phase(key, Phase::ResultPending(result));
        Completion::AwaitingDurable
    }

    /// Queues the row with the final state of a run, if there is a store.
    fn push_final_row(&mut self, now: Timestamp, key: &Rc<str>, state: RowState) {
        if let (Some(durability), Some(entry)) = (&mut self.durability, self.keys.get(key)) {
            durability.push(now, Write::Put(entry.row(key, state)));
        }
    }

    /// Sets the phase of an entry, and updates the counted memory.
    fn set_phase(&mut self, key: &Rc<str>, phase: Phase) -> Option<&mut Entry> {
        let entry = self.keys.get_mut(key)?;
        self.metrics.bytes += entry_bytes(key, &phase) - entry.bytes(key);
        entry.phase = phase;
        Some(entry)
    }

    /// Sets the final phase of an entry, and returns the repeats that waited for the result.
    fn set_final_phase(&mut self, key: &Rc<str>, phase: Phase) -> Vec<RequestId> {
        self.set_phase(key, phase).map(|entry| mem::take(&mut entry.waiters)).unwrap_or_default()
    }
}
