//! The table of idempotency keys: which attempt of a key may run, what its repeats get, and what must be durable before
//! a run begins or an answer goes out.
//!
//! It guarantees, whatever a store does and in whatever order things happen:
//!
//! - at most one run of a key in its window, over any number of restarts;
//! - no result is shown before it is durable, and none is shown that another body's run made;
//! - an attempt whose intent could not be written is settled as one that never ran, and it never will;
//! - nothing is dropped: what has no room is rejected when it comes.
//!
//! It does not guarantee that a result can be shown: one whose write does not come through by the deadline of its
//! attempts is not, and a run of which only the intent is known after a restart counts as failed.
//!
//! The decision table *event × state → outcome* that this follows row by row is in `docs/design/record.md`. Time comes
//! with each call, randomness from a seed; it owns no socket, file or thread.
//!
//! `state` is one key; `durability` the writes for the store, with its `circuit_breaker`; `expiry` drops what is
//! past its window; `replication` copies the table to the process that takes the node over.

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

/// How long after its window an entry is kept, for attempts that reached the machine before its end and are read after.
const LATE_READ_GRACE: Micros = Micros::millis(10_000);
/// Memory that an entry takes besides its key and its result: the table's slot, the entry and its expiry, in bytes.
/// Measured at a million entries: 477 with a key of 32 bytes and a result of 100.
const ENTRY_BYTES: usize = 350;
/// The longest result that the protocol knows, in bytes.
const MAX_RESULT_BYTES: usize = 4096;
/// Shortest time that a caller is asked to stay away when there is no room: two of the shortest probe intervals.
const MIN_RETRY_AFTER: Micros = Micros::millis(200);
/// Length of the key of the fingerprints, in bytes.
const SECRET_BYTES: usize = 32;

/// Bounds of a table with a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most keys in the table, with rows that wait to be removed.
    pub entries: usize,
    /// Most memory that the table takes, in bytes.
    pub bytes: usize,
    /// Most writes that wait.
    pub waiting: usize,
    /// Most writes in one batch, without the removals that go along.
    pub batch: usize,
    /// A write older than this means that the store has stalled.
    pub stall: Micros,
    /// The longest deduplication window of any class.
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

/// Metrics of a table, for counters and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableMetrics {
    /// Keys in the table.
    pub entries: usize,
    /// Memory that they take, in bytes.
    pub bytes: usize,
    /// Writes that wait or are in flight.
    pub writes: usize,
    /// Rows that wait to be removed.
    pub removals: usize,
    /// Batches that were durable.
    pub commits: u64,
    /// Writes in them.
    pub committed: u64,
    /// Batches that failed or proved nothing.
    pub failures: u64,
    /// Times that the breaker opened.
    pub opened: u64,
    /// First attempts rejected for want of room or of a working store.
    pub rejected: u64,
    /// Runs found at the start of which only the intent is known.
    pub in_doubt: u64,
}

/// The table; see the module's page.
#[derive(Debug)]
pub struct KeyTable {
    keys: HashMap<Rc<str>, Entry>,
    /// Keys by the time at which they are to be looked at, roughly in order.
    expiry: VecDeque<(Timestamp, Rc<str>)>,
    next_sweep: Timestamp,
    /// Key of the fingerprints where nothing survives a restart; drawn anew for each node, so that nobody can make two
    /// bodies look alike, and the same in all processes that follow each other.
    secret: [u8; SECRET_BYTES],
    replication: Option<ReplicationQueue>,
    /// No first attempt before this: keys may bind that a predecessor did not replicate.
    missing_keys_bind_until: Option<Timestamp>,
    settled: Vec<Settlement>,
    durability: Option<Durability>,
    /// Most memory that the table takes where there is no store, in bytes.
    max_bytes: usize,
    metrics: TableMetrics,
}

impl KeyTable {
    /// A table that forgets with the process, as a node without a store has it.
    pub fn volatile() -> Self {
        KeyTable {
            keys: HashMap::new(),
            expiry: VecDeque::new(),
            next_sweep: Timestamp(0),
            secret: random_secret(),
            replication: None,
            missing_keys_bind_until: None,
            settled: Vec::new(),
            durability: None,
            max_bytes: usize::MAX,
            metrics: TableMetrics::default(),
        }
    }

    /// A table with a store behind it, which takes no key before [`KeyTable::load`]. `seed` is for the jitter of probes.
    pub fn durable(limits: Limits, seed: u64) -> Self {
        KeyTable { durability: Some(Durability::new(limits, seed)), ..KeyTable::volatile() }
    }

    /// Without a store: first attempts are taken while the table, with one more result of the longest kind, takes so many
    /// bytes at most. Guards the process's memory where a window holds more results than fit in it.
    pub fn set_max_bytes(&mut self, bytes: usize) {
        self.max_bytes = bytes;
    }

    /// Other bounds from now on; what is over them already stays.
    pub fn set_limits(&mut self, limits: Limits) {
        if let Some(durability) = &mut self.durability {
            durability.limits = limits;
        }
    }

    /// Whether there is a store.
    pub fn is_durable(&self) -> bool {
        self.durability.is_some()
    }

    /// Whether the store is given writes; closed if there is none.
    pub fn breaker_state(&self) -> BreakerState {
        self.durability.as_ref().map_or(BreakerState::Closed, Durability::breaker_state)
    }

    /// Its metrics as they are now.
    pub fn metrics(&self) -> TableMetrics {
        let durability = self.durability.as_ref();
        TableMetrics {
            entries: self.keys.len(),
            writes: durability.map_or(0, Durability::writes),
            removals: durability.map_or(0, Durability::removals),
            ..self.metrics
        }
    }

    /// Puts an entry under its key, where there was none, and counts its memory.
    fn insert(&mut self, key: Rc<str>, entry: Entry) {
        self.metrics.bytes += entry.bytes(&key);
        self.keys.insert(key, entry);
    }

    /// Forgets a key, with the memory that it took. What is to become of its row is the caller's to say.
    fn remove(&mut self, key: &str) -> Option<Entry> {
        let entry = self.keys.remove(key)?;
        self.metrics.bytes = self.metrics.bytes.saturating_sub(entry.bytes(key));
        Some(entry)
    }

    /// How long an attempt that cannot be taken now should stay away.
    fn retry_after(&self, now: Timestamp) -> Micros {
        if let Some(durability) = &self.durability {
            return durability.retry_after(now);
        }
        // There is room when the next window is over.
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

/// Random bytes, as the system gives them to each process.
fn random_secret() -> [u8; SECRET_BYTES] {
    let mut secret = [0; SECRET_BYTES];
    for (i, eight_bytes) in secret.chunks_exact_mut(8).enumerate() {
        eight_bytes.copy_from_slice(&RandomState::new().hash_one(i).to_be_bytes());
    }
    secret
}

impl IdempotencyTable for KeyTable {
    fn fingerprint(&self, body: &[u8]) -> u128 {
        // The same after a restart where there is a store.
        let hash = match self.durability {
            None => blake3::keyed_hash(&self.secret, body),
            Some(_) => blake3::hash(body),
        };
        // Half as long as the hash: it takes 2^64 attempts to find two bodies that look alike.
        let mut fingerprint = [0; 16];
        fingerprint.copy_from_slice(&hash.as_bytes()[..16]);
        u128::from_be_bytes(fingerprint)
    }

    fn lookup(&mut self, now: Moment, key: &str, fingerprint: u128, ingress: Moment) -> Lookup {
        if let Some(entry) = self.keys.get(key).filter(|entry| entry.binds(ingress)) {
            // Guards against a result that goes to whoever names its key: it is another request's.
            if entry.fingerprint != fingerprint {
                return Lookup::BodyMismatch;
            }
            return Lookup::Original(entry.holder);
        }
        if let Some(until) = self.missing_keys_bind_until.filter(|until| now.mono < *until) {
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
        self.keys.get(key).is_some_and(|entry| entry.binds(ingress))
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
        if durability.takes_intents() {
            entry.sequence = durability.next_sequence();
            entry.phase = Phase::IntentPending;
            durability.push(now.mono, Write::Put(entry.row(key, RowState::Intent)));
            return RunPermit::Pending;
        }
        // It was taken before the breaker opened, and is settled as those whose intents waited then.
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

    fn complete_run(&mut self, now: Moment, key: &Rc<str>, id: RequestId, end: RunResult) -> Completion {
        self.mark_changed(key);
        let is_run = |entry: &&Entry| entry.holder == id && entry.phase == Phase::Running;
        if self.keys.get(key).filter(is_run).is_none() {
            return self.end_without_entry(end);
        }
        match end {
            RunResult::NeverRan => self.end_never_ran(now.mono, key),
            RunResult::Succeeded(result) => self.end_with_result(now.mono, key, result),
            RunResult::NoResult => {
                self.push_end(now.mono, key, RowState::Failed);
                Completion::Settled(self.set_ended(key, Phase::Failed), None)
            }
        }
    }

    fn release(&mut self, now: Moment, key: &Rc<str>, id: RequestId) -> Released {
        self.mark_changed(key);
        let Some(entry) = self.keys.get_mut(key) else { return Released::default() };
        if entry.holder != id {
            entry.waiters.retain(|waiters| *waiters != id);
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

    fn drain_settled(&mut self, now: Moment, out: &mut Vec<Settlement>) {
        self.sweep(now.mono);
        self.check_store(now.mono);
        out.append(&mut self.settled);
    }

    fn is_ready(&self) -> bool {
        self.durability.as_ref().is_none_or(Durability::is_loaded)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let [stall, retry] = self.durability.as_ref()?.next_due();
        [stall, retry, self.next_sweep_due()].into_iter().flatten().min()
    }
}

/// The ways in which a run ends.
impl KeyTable {
    /// The window of the run is over and another attempt has the key; with no store its own result still holds.
    fn end_without_entry(&self, end: RunResult) -> Completion {
        let result = match end {
            RunResult::Succeeded(result) if self.durability.is_none() => Some(result),
            RunResult::Succeeded(_) | RunResult::NoResult | RunResult::NeverRan => None,
        };
        Completion::Settled(Vec::new(), result)
    }

    /// Nothing is remembered of a run that never began, and its intent is removed.
    fn end_never_ran(&mut self, now: Timestamp, key: &Rc<str>) -> Completion {
        let Some(entry) = self.remove(key) else { return Completion::Settled(Vec::new(), None) };
        if let Some(durability) = &mut self.durability {
            durability.push(now, Write::Remove { key: key.to_string(), sequence: entry.sequence });
        }
        Completion::Settled(entry.waiters, None)
    }

    /// With a store, the result may be shown once it is durable; without one, at once.
    fn end_with_result(&mut self, now: Timestamp, key: &Rc<str>, result: Rc<[u8]>) -> Completion {
        if self.durability.is_none() {
            let waiters = self.set_ended(key, Phase::Completed(result.clone()));
            return Completion::Settled(waiters, Some(result));
        }
        self.push_end(now, key, RowState::Completed(result.to_vec()));
        self.set_phase(key, Phase::ResultPending(result));
        Completion::AwaitingDurable
    }

    /// Queues the row of a run that is over, if there is a store.
    fn push_end(&mut self, now: Timestamp, key: &Rc<str>, state: RowState) {
        if let (Some(durability), Some(entry)) = (&mut self.durability, self.keys.get(key)) {
            durability.push(now, Write::Put(entry.row(key, state)));
        }
    }

    /// Sets the phase of an entry, with the memory that it takes.
    fn set_phase(&mut self, key: &Rc<str>, phase: Phase) -> Option<&mut Entry> {
        let entry = self.keys.get_mut(key)?;
        self.metrics.bytes += entry_bytes(key, &phase) - entry.bytes(key);
        entry.phase = phase;
        Some(entry)
    }

    /// Sets the last phase of an entry, and returns the repeats that waited for it.
    fn set_ended(&mut self, key: &Rc<str>, phase: Phase) -> Vec<RequestId> {
        self.set_phase(key, phase).map(|entry| mem::take(&mut entry.waiters)).unwrap_or_default()
    }
}
