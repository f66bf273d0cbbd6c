//! The queue of writes to the idempotency store. Writes are sent in order, one batch at a time.
//!
//! Guarantees: the writes of one key are made in the order in which they were queued; an outcome of any batch
//! but the one in flight is ignored; after a batch with an unknown outcome, the rows of its keys are looked
//! up in the store before anything else is written; while the circuit breaker is open no run begins, and an
//! attempt whose intent is not known to be durable is settled as one that never ran.
//!
//! The duration of a write is not bounded: the breaker opens when the oldest write is older than the stall
//! limit.

use super::circuit_breaker::{BreakerState, CircuitBreaker, MIN_PROBE_INTERVAL};
use super::state::{Entry, Phase};
use super::{KeyTable, LATE_READ_GRACE, Limits, MIN_RETRY_AFTER};
use crate::row::{Batch, Cause, Outcome, Recovery, Row, RowState, Work, Write};
use gaugestand_admission::RequestId;
use gaugestand_admission::idempotency::Settlement;
use gaugestand_admission::time::Moment;
use gaugestand_admission::time::{Micros, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::mem;
use std::rc::Rc;

/// Minimum number of removals that may be added to a batch of other writes. A batch with more writes than
/// this may have as many removals as other writes. Rows are thus removed as fast as they are added, and such
/// a batch at most doubles.
const MIN_REMOVALS: usize = 16;
/// Number of writes in a batch while the breaker is open: one write is enough to show whether the store works
/// again.
const PROBE_BATCH: usize = 1;
/// Number of low bits of a sequence number that count the intents of one incarnation; the bits above hold the
/// epoch. 2^40 intents in one incarnation would take centuries.
const SEQUENCE_BITS: u32 = 40;

/// A write that is not known to be durable, and the time at which it was queued.
#[derive(Debug)]
struct PendingWrite {
    since: Timestamp,
    write: Write,
}

/// The batch that was sent to the store and has no outcome yet.
#[derive(Debug)]
struct InFlight {
    number: u64,
    since: Timestamp,
    writes: Vec<PendingWrite>,
    /// Whether the batch only looks up the rows of the writes' keys, and writes nothing.
    is_lookup: bool,
}

impl InFlight {
    fn oldest(&self) -> Timestamp {
        self.writes.first().map_or(self.since, |pending| pending.since.min(self.since))
    }
}

/// The part of a key table that decides what is written to the store, and when.
#[derive(Debug)]
pub(super) struct Durability {
    pub(super) limits: Limits,
    /// Whether the rows of earlier incarnations have been loaded.
    is_loaded: bool,
    is_connected: bool,
    /// First attempts are rejected before this time: the store held more rows than fit in the table, and the
    /// keys of those that were not loaded may be in their window.
    reject_new_keys_until: Option<Timestamp>,
    /// Number of this incarnation of the node, as the store counts them.
    epoch: u64,
    /// Number of intents that this incarnation has queued.
    intents: u64,
    /// Writes that have not been sent, in the order in which they are to be made.
    queue: VecDeque<PendingWrite>,
    /// Removals of rows whose window is over; they are sent when a batch has room for them.
    removals: VecDeque<Write>,
    in_flight: Option<InFlight>,
    /// Writes of a batch whose outcome is unknown; their keys are looked up before anything else is written.
    unconfirmed: Vec<PendingWrite>,
    breaker: CircuitBreaker,
    /// When a batch last became durable; zero before the first.
    last_commit: Timestamp,
    /// Number of the last batch that was sent; zero before the first.
    last_batch: u64,
}

impl Durability {
    pub(super) fn new(limits: Limits, seed: u64) -> Self {
        Durability {
            limits,
            is_loaded: false,
            is_connected: false,
            reject_new_keys_until: None,
            epoch: 0,
            intents: 0,
            queue: VecDeque::new(),
            removals: VecDeque::new(),
            in_flight: None,
            unconfirmed: Vec::new(),
            breaker: CircuitBreaker::new(seed),
            last_commit: Timestamp(0),
            last_batch: 0,
        }
    }

    pub(super) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    pub(super) fn breaker_state(&self) -> BreakerState {
        self.breaker.state()
    }

    /// Whether intents can be queued; no run can begin otherwise.
    pub(super) fn accepts_intents(&self) -> bool {
        self.breaker.is_closed()
    }

    /// The number of writes that wait or are in flight.
    pub(super) fn writes(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, |batch| batch.writes.len());
        self.queue.len() + self.unconfirmed.len() + in_flight
    }

    /// The number of rows that wait to be removed.
    pub(super) fn removals(&self) -> usize {
        self.removals.len()
    }

    /// Whether the state of the store and of the queue allows one more first attempt.
    pub(super) fn has_room(&self) -> bool {
        self.breaker.is_closed()
            && self.is_loaded
            && self.reject_new_keys_until.is_none()
            && self.writes() < self.limits.waiting
    }

    pub(super) fn push(&mut self, now: Timestamp, write: Write) {
        self.queue.push_back(PendingWrite { since: now, write });
    }

    /// Queues the removal of a row that nothing depends on any more. It is sent when a batch has room for it.
    pub(super) fn push_removal(&mut self, write: Write) {
        self.removals.push_back(write);
    }

    /// Returns a sequence number greater than all others of this and of earlier incarnations.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.intents += 1;
        (self.epoch << SEQUENCE_BITS) | self.intents
    }

    /// Retry-after for an attempt that cannot be accepted now.
    pub(super) fn retry_after(&self, now: Timestamp) -> Micros {
        let until_keys_accepted = self.reject_new_keys_until.map_or(Micros(0), |until| until.since(now));
        let probe = if self.breaker.is_closed() {
            Micros(0)
        } else {
            self.breaker.retry_at().since(now).max(MIN_PROBE_INTERVAL)
        };
        // Twice the wait for the next probe, since that probe may fail as well.
        until_keys_accepted.max(Micros(2 * probe.0)).max(MIN_RETRY_AFTER)
    }

    /// Allows new keys again once `reject_new_keys_until` has passed, and returns whether the store has just
    /// stalled.
    fn update_stall(&mut self, now: Timestamp) -> bool {
        self.reject_new_keys_until = self.reject_new_keys_until.filter(|until| now < *until);
        let is_overdue = |since: Timestamp| now.since(since) >= self.limits.stall;
        self.oldest_write().is_some_and(is_overdue) && self.breaker.is_closed()
    }

    /// When the table must act although no event arrives: to detect a stall, and to retry or probe the store.
    pub(super) fn next_due(&self) -> [Option<Timestamp>; 2] {
        let oldest = self.oldest_write().filter(|_| self.breaker.is_closed());
        let stall = oldest.map(|since| since.plus(self.limits.stall));
        let has_work = !self.breaker.is_closed() || self.writes() > 0;
        let may_send = self.is_connected && self.in_flight.is_none() && has_work;
        [stall, Some(self.breaker.retry_at()).filter(|_| may_send)]
    }

    /// The time since which the oldest write has waited without any commit: a long queue is no stall while
    /// batches become durable.
    fn oldest_write(&self) -> Option<Timestamp> {
        let queued = self.queue.front().map(|pending| pending.since);
        let unconfirmed = self.unconfirmed.first().map(|pending| pending.since);
        let in_flight = self.in_flight.as_ref().map(InFlight::oldest);
        let oldest = [queued, unconfirmed, in_flight].into_iter().flatten().min()?;
        Some(oldest.max(self.last_commit))
    }

    /// Takes the next batch, unless one is in flight or the store must not be tried yet. An intent for which
    /// `is_current` is false was withdrawn before it was sent, and is left out.
    fn next_batch(&mut self, now: Timestamp, is_current: impl Fn(&Row) -> bool) -> Option<Batch> {
        let may_send = self.is_loaded && self.is_connected && self.in_flight.is_none();
        if !may_send || now < self.breaker.retry_at() {
            return None;
        }
        let is_lookup = !self.unconfirmed.is_empty();
        let writes =
            if is_lookup { mem::take(&mut self.unconfirmed) } else { self.next_commit(now, is_current) };
        if writes.is_empty() {
            return None;
        }
        let work = if is_lookup {
            let key = |pending: &PendingWrite| pending.write.key().map(str::to_string);
            Work::Lookup(writes.iter().filter_map(key).collect())
        } else {
            Work::Commit(writes.iter().map(|pending| pending.write.clone()).collect())
        };
        self.last_batch += 1;
        let number = self.last_batch;
        self.in_flight = Some(InFlight { number, since: now, writes, is_lookup });
        Some(Batch { number, work })
    }

    /// Takes the writes of the next commit: queued writes, and removals beside them. While the breaker is
    /// open, it takes one queued write, or a probe if none is queued.
    fn next_commit(&mut self, now: Timestamp, is_current: impl Fn(&Row) -> bool) -> Vec<PendingWrite> {
        let is_closed = self.breaker.is_closed();
        let max = if is_closed { self.limits.batch } else { PROBE_BATCH };
        let mut writes = self.take_queued(max, is_current);
        if is_closed {
            let max_removals = if writes.is_empty() { max } else { writes.len().max(MIN_REMOVALS) };
            let count = max_removals.min(self.removals.len());
            let removals = self.removals.drain(..count);
            writes.extend(removals.map(|write| PendingWrite { since: now, write }));
        } else if writes.is_empty() {
            writes.push(PendingWrite { since: now, write: Write::Probe });
        }
        writes
    }

    fn take_queued(&mut self, max: usize, is_current: impl Fn(&Row) -> bool) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        while writes.len() < max {
            let Some(pending) = self.queue.pop_front() else { break };
            let is_needed = match &pending.write {
                Write::Put(row) if row.state == RowState::Intent => is_current(row),
                _ => true,
            };
            if is_needed {
                writes.push(pending);
            }
        }
        writes
    }

    /// Puts writes back at the front of the queue, in their order.
    fn requeue(&mut self, writes: impl DoubleEndedIterator<Item = PendingWrite>) {
        writes.rev().for_each(|pending| self.queue.push_front(pending));
    }

    /// Keeps the writes of a failed batch: for a lookup if the store may have made them, otherwise to send
    /// them again.
    fn take_back(&mut self, batch: InFlight, is_unconfirmed: bool) {
        if is_unconfirmed || batch.is_lookup {
            self.unconfirmed = batch.writes;
        } else {
            self.requeue(batch.writes.into_iter().filter(|pending| pending.write != Write::Probe));
        }
    }

    /// Writes that were sent and whose outcome is not known: the store may have made them, or may still make
    /// them.
    fn sent_writes(&self) -> impl Iterator<Item = &Write> {
        let in_flight = self.in_flight.iter().flat_map(|batch| &batch.writes);
        self.unconfirmed.iter().chain(in_flight).map(|pending| &pending.write)
    }

    /// The intents that are not known to be durable, by key and sequence number.
    fn pending_intents(&self) -> Vec<(String, u64)> {
        let intent = |write: &Write| match write {
            Write::Put(row) if row.state == RowState::Intent => Some((row.key.clone(), row.sequence)),
            _ => None,
        };
        self.queue.iter().map(|pending| &pending.write).chain(self.sent_writes()).filter_map(intent).collect()
    }
}

impl KeyTable {
    /// Loads the rows that earlier incarnations of this node left in the store; only the first call has an
    /// effect. Each row is kept for a whole window from now on: the wall clock does not show the age of a
    /// row, as the clock may have been set since the row was written.
    pub fn load(&mut self, now: Moment, recovery: Recovery) {
        let Some(durability) = &mut self.durability else { return };
        if durability.is_loaded {
            return;
        }
        durability.is_loaded = true;
        durability.is_connected = true;
        durability.epoch = recovery.epoch;
        let window = durability.limits.window;
        let max_entries = durability.limits.entries;
        let is_complete =
            recovery.row_count <= recovery.rows.len() as u64 && recovery.rows.len() <= max_entries;
        // Guards against a second run of a key whose row did not fit in the table.
        let reject_until = now.plus(window).mono.plus(LATE_READ_GRACE);
        durability.reject_new_keys_until = Some(reject_until).filter(|_| !is_complete);
        for row in recovery.rows.into_iter().take(max_entries) {
            self.load_row(now, window, row);
        }
    }

    fn load_row(&mut self, now: Moment, window: Micros, row: Row) {
        let phase = match row.state {
            RowState::Intent => {
                self.metrics.in_doubt += 1;
                Phase::Failed
            }
            RowState::Completed(result) => Phase::Completed(result.into()),
            RowState::Failed => Phase::Failed,
        };
        // The row may have been written with a longer window than the present one.
        let window = window.max(row.expires.since(row.ingress));
        let whole_window = now.plus(window);
        let wall = whole_window.wall.max(row.expires);
        let entry = Entry {
            holder: RequestId(row.holder),
            fingerprint: row.fingerprint,
            ingress: row.ingress,
            expires: Moment { mono: whole_window.mono, wall },
            sequence: row.sequence,
            phase,
            waiters: Vec::new(),
        };
        let key: Rc<str> = row.key.into();
        self.expiry.push_back((whole_window.mono.plus(LATE_READ_GRACE), key.clone()));
        self.insert(key, entry);
    }

    /// Reports that the connection to the store has come up or gone down. A batch that was in flight on it
    /// ends with [`KeyTable::on_outcome`].
    pub fn on_link(&mut self, now: Timestamp, is_up: bool) {
        let Some(durability) = &mut self.durability else { return };
        durability.is_connected = is_up;
        if is_up {
            durability.breaker.retry_now(now);
        } else if durability.is_loaded {
            self.open_breaker(now, Cause::Link);
        }
    }

    /// Takes the next batch for the store, if there is work and no batch is in flight.
    pub fn next_batch(&mut self, now: Timestamp) -> Option<Batch> {
        let keys = &self.keys;
        let is_current =
            |row: &Row| keys.get(row.key.as_str()).is_some_and(|entry| entry.sequence == row.sequence);
        self.durability.as_mut()?.next_batch(now, is_current)
    }

    /// Reports how a batch ended. The outcome of any batch but the one in flight is ignored.
    pub fn on_outcome(&mut self, now: Timestamp, number: u64, outcome: Outcome) {
        let Some(durability) = &mut self.durability else { return };
        let Some(batch) = durability.in_flight.take_if(|batch| batch.number == number) else { return };
        match outcome {
            Outcome::Done if !batch.is_lookup => {
                self.metrics.commits += 1;
                self.metrics.committed += batch.writes.len() as u64;
                durability.breaker.close();
                durability.last_commit = now;
                batch.writes.into_iter().for_each(|pending| self.on_durable(pending.write));
            }
            Outcome::Rows(rows) if batch.is_lookup => self.on_looked_up(batch.writes, &rows),
            // An outcome of the wrong kind does not show whether the batch was done; neither does a broken
            // connection.
            Outcome::Done | Outcome::Rows(_) => self.on_failed(now, batch, Cause::Other, true),
            Outcome::NotDone(cause) => self.on_failed(now, batch, cause, false),
            Outcome::Unknown(cause) => self.on_failed(now, batch, cause, true),
        }
    }

    /// Handles the rows that a lookup found. They show which writes were made; the others are sent again
    /// before all else.
    fn on_looked_up(&mut self, writes: Vec<PendingWrite>, rows: &[Row]) {
        let Some(durability) = &mut self.durability else { return };
        let rows: HashMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
        let is_written = |pending: &PendingWrite| {
            let row = pending.write.key().and_then(|key| rows.get(key).copied());
            pending.write.is_written(row)
        };
        let (written, unwritten): (Vec<_>, Vec<_>) = writes.into_iter().partition(is_written);
        durability.requeue(unwritten.into_iter());
        written.into_iter().for_each(|pending| self.on_durable(pending.write));
    }

    fn on_failed(&mut self, now: Timestamp, batch: InFlight, cause: Cause, is_unconfirmed: bool) {
        let Some(durability) = &mut self.durability else { return };
        self.metrics.failures += 1;
        durability.take_back(batch, is_unconfirmed);
        if cause == Cause::Busy && durability.breaker.is_closed() {
            durability.breaker.schedule_busy_retry(now);
            return;
        }
        self.open_breaker(now, cause);
        if let Some(durability) = &mut self.durability {
            durability.breaker.schedule_probe(now);
        }
    }

    /// Opens the breaker if the oldest write has waited for too long.
    pub(super) fn check_for_stall(&mut self, now: Timestamp) {
        let has_stalled = self.durability.as_mut().is_some_and(|durability| durability.update_stall(now));
        if has_stalled {
            self.open_breaker(now, Cause::Stalled);
        }
    }

    /// Opens the circuit breaker, unless it is open. Attempts whose intents are not known to be durable are
    /// settled as ones that never ran.
    fn open_breaker(&mut self, now: Timestamp, cause: Cause) {
        let Some(durability) = &mut self.durability else { return };
        if !durability.breaker.open(now, cause) {
            return;
        }
        self.metrics.opened += 1;
        let intents = durability.pending_intents();
        let retry_after = durability.retry_after(now);
        for (key, sequence) in intents {
            if self.keys.get(key.as_str()).is_some_and(|entry| entry.awaits_intent(sequence))
                && let Some(entry) = self.withdraw(now, &key)
            {
                self.settle_unwritten(entry, retry_after);
            }
        }
    }

    /// Settles an attempt whose intent cannot be written, and the repeats that wait for the attempt, as
    /// attempts that never ran.
    pub(super) fn settle_unwritten(&mut self, entry: Entry, retry_after: Micros) {
        self.metrics.rejected += 1;
        self.settled.push(Settlement::IntentFailed(entry.holder, entry.waiters, retry_after));
    }

    /// Withdraws an intent that is not known to be durable, and removes the entry of its key. If the intent
    /// was sent, the store may write its row, so the removal of that row is queued behind the intent.
    pub(super) fn withdraw(&mut self, now: Timestamp, key: &str) -> Option<Entry> {
        let entry = self.remove(key)?;
        if let Some(durability) = &mut self.durability {
            let is_intent =
                |write: &Write| matches!(write, Write::Put(row) if row.sequence == entry.sequence);
            if durability.sent_writes().any(is_intent) {
                durability.push(now, Write::Remove { key: key.to_string(), sequence: entry.sequence });
            }
        }
        Some(entry)
    }

    /// Handles a write that has become durable: its run may begin, or its result may be sent.
    fn on_durable(&mut self, write: Write) {
        let Write::Put(row) = write else { return };
        let Some(entry) = self.keys.get_mut(row.key.as_str()) else { return };
        // The entry of this write may have been withdrawn, or replaced after the end of its window; then the
        // write decides nothing.
        if entry.sequence != row.sequence {
            return;
        }
        match (&row.state, &entry.phase) {
            (RowState::Intent, Phase::IntentPending) => {
                entry.phase = Phase::Running;
                self.settled.push(Settlement::IntentDurable(entry.holder));
            }
            (RowState::Completed(_), Phase::ResultPending(result)) => {
                let result = result.clone();
                entry.phase = Phase::Completed(result.clone());
                let waiters = mem::take(&mut entry.waiters);
                self.settled.push(Settlement::ResultDurable(entry.holder, waiters, result));
            }
            _ => {}
        }
    }
}
