//! Durability: the writes that the store is to make, in order, one batch at a time.
//!
//! Guarantees: writes of one key are made in the order in which they were queued; an answer to any batch but the one in
//! flight is passed over; a batch of which it is not known whether it was made is looked up in the store, key by key,
//! before anything else is written; while the breaker is open no run begins, and an attempt whose intent is not known to
//! be durable is settled as one that never ran.
//!
//! It does not bound how long a write takes: the breaker opens when the oldest one is older than the stall limit.

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

/// Least number of removals that go along with other writes; else as many as those. As many rows as are made can so be
/// removed, and no commit more than doubles.
const MIN_REMOVALS: usize = 16;
/// Writes in a batch while the breaker is open: one shows whether the store works again.
const PROBE_BATCH: usize = 1;
/// The epoch stands above this many bits of a sequence number; 2^40 runs in one incarnation would take centuries.
const SEQUENCE_BITS: u32 = 40;

/// A write and the time since which it waits.
#[derive(Debug)]
struct PendingWrite {
    since: Timestamp,
    write: Write,
}

/// The batch that the store has.
#[derive(Debug)]
struct InFlight {
    number: u64,
    since: Timestamp,
    writes: Vec<PendingWrite>,
    /// The rows of the writes' keys are looked up; nothing is written.
    is_lookup: bool,
}

impl InFlight {
    fn oldest(&self) -> Timestamp {
        self.writes.first().map_or(self.since, |pending| pending.since.min(self.since))
    }
}

/// The part of a table that has a store behind it.
#[derive(Debug)]
pub(super) struct Durability {
    pub(super) limits: Limits,
    /// What an earlier incarnation left has been read.
    is_loaded: bool,
    is_connected: bool,
    /// No first attempt before this: there were more rows than there is room for, and any of them may bind.
    unread_rows_bind_until: Option<Timestamp>,
    /// Number of this incarnation.
    epoch: u64,
    /// Intents of this incarnation so far.
    intents: u64,
    /// In the order in which they are to be made.
    queue: VecDeque<PendingWrite>,
    /// Rows that are past their window.
    removals: VecDeque<Write>,
    in_flight: Option<InFlight>,
    /// Writes of which it isn't known whether they were made; looked up before anything else is written.
    unconfirmed: Vec<PendingWrite>,
    breaker: CircuitBreaker,
    /// When a batch was last durable.
    last_commit: Timestamp,
    /// Number of the last batch.
    batches: u64,
}

impl Durability {
    pub(super) fn new(limits: Limits, seed: u64) -> Self {
        Durability {
            limits,
            is_loaded: false,
            is_connected: false,
            unread_rows_bind_until: None,
            epoch: 0,
            intents: 0,
            queue: VecDeque::new(),
            removals: VecDeque::new(),
            in_flight: None,
            unconfirmed: Vec::new(),
            breaker: CircuitBreaker::new(seed),
            last_commit: Timestamp(0),
            batches: 0,
        }
    }

    pub(super) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    pub(super) fn breaker_state(&self) -> BreakerState {
        self.breaker.state()
    }

    /// Whether a run may begin.
    pub(super) fn takes_intents(&self) -> bool {
        self.breaker.is_closed()
    }

    /// Writes that wait or are in flight.
    pub(super) fn writes(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, |batch| batch.writes.len());
        self.queue.len() + self.unconfirmed.len() + in_flight
    }

    /// Rows that wait to be removed.
    pub(super) fn removals(&self) -> usize {
        self.removals.len()
    }

    /// Whether a first attempt can be taken, as far as the store and its queue are concerned.
    pub(super) fn has_room(&self) -> bool {
        self.breaker.is_closed()
            && self.is_loaded
            && self.unread_rows_bind_until.is_none()
            && self.writes() < self.limits.waiting
    }

    pub(super) fn push(&mut self, now: Timestamp, write: Write) {
        self.queue.push_back(PendingWrite { since: now, write });
    }

    /// Queues the removal of a row that nothing depends on any more; it goes when there is room for it.
    pub(super) fn push_removal(&mut self, write: Write) {
        self.removals.push_back(write);
    }

    /// A sequence number later than all of this and of earlier incarnations.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.intents += 1;
        (self.epoch << SEQUENCE_BITS) | self.intents
    }

    /// How long an attempt that cannot be taken now should stay away.
    pub(super) fn retry_after(&self, now: Timestamp) -> Micros {
        let rows_bind = self.unread_rows_bind_until.map_or(Micros(0), |until| until.since(now));
        let probe = if self.breaker.is_closed() {
            Micros(0)
        } else {
            self.breaker.retry_at().since(now).max(MIN_PROBE_INTERVAL)
        };
        // One probe more, since the next one may fail as well.
        rows_bind.max(Micros(2 * probe.0)).max(MIN_RETRY_AFTER)
    }

    /// Forgets that unread rows bind once none of them can, and returns whether the store has stalled.
    fn check(&mut self, now: Timestamp) -> bool {
        self.unread_rows_bind_until = self.unread_rows_bind_until.filter(|until| now < *until);
        let is_late = |since: Timestamp| now.since(since) >= self.limits.stall;
        self.oldest_write().is_some_and(is_late) && self.breaker.is_closed()
    }

    /// When to look again although nothing happens: for a stall, or to retry or probe.
    pub(super) fn next_due(&self) -> [Option<Timestamp>; 2] {
        let oldest = self.oldest_write().filter(|_| self.breaker.is_closed());
        let stall = oldest.map(|since| since.plus(self.limits.stall));
        let has_work = !self.breaker.is_closed() || self.writes() > 0;
        let may_send = self.is_connected && self.in_flight.is_none() && has_work;
        [stall, Some(self.breaker.retry_at()).filter(|_| may_send)]
    }

    /// Since when the oldest write waits with nothing getting done: a long queue is no stall while batches come through.
    fn oldest_write(&self) -> Option<Timestamp> {
        let queued = self.queue.front().map(|pending| pending.since);
        let unconfirmed = self.unconfirmed.first().map(|pending| pending.since);
        let in_flight = self.in_flight.as_ref().map(InFlight::oldest);
        let oldest = [queued, unconfirmed, in_flight].into_iter().flatten().min()?;
        Some(oldest.max(self.last_commit))
    }

    /// Takes the next batch, unless one is in flight or the store is not to be tried yet. An intent that is not
    /// `is_current` was withdrawn before it was ever sent, and need not be made.
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
        self.batches += 1;
        let number = self.batches;
        self.in_flight = Some(InFlight { number, since: now, writes, is_lookup });
        Some(Batch { number, work })
    }

    /// The writes of the next commit: those that are queued, and removals beside them; a probe if there is nothing else.
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
            let is_live = match &pending.write {
                Write::Put(row) if row.state == RowState::Intent => is_current(row),
                _ => true,
            };
            if is_live {
                writes.push(pending);
            }
        }
        writes
    }

    /// Puts writes back to the front of the queue, in their order.
    fn requeue(&mut self, writes: impl DoubleEndedIterator<Item = PendingWrite>) {
        writes.rev().for_each(|pending| self.queue.push_front(pending));
    }

    /// Takes back what was not made, or may not have been.
    fn take_back(&mut self, batch: InFlight, is_unconfirmed: bool) {
        if is_unconfirmed || batch.is_lookup {
            self.unconfirmed = batch.writes;
        } else {
            self.requeue(batch.writes.into_iter().filter(|pending| pending.write != Write::Probe));
        }
    }

    /// Writes that the store may have made already, or may make yet.
    fn sent(&self) -> impl Iterator<Item = &Write> {
        let in_flight = self.in_flight.iter().flat_map(|batch| &batch.writes);
        self.unconfirmed.iter().chain(in_flight).map(|pending| &pending.write)
    }

    /// The intents that are not known to be durable, by key and sequence number.
    fn open_intents(&self) -> Vec<(String, u64)> {
        let intent = |write: &Write| match write {
            Write::Put(row) if row.state == RowState::Intent => Some((row.key.clone(), row.sequence)),
            _ => None,
        };
        self.queue.iter().map(|pending| &pending.write).chain(self.sent()).filter_map(intent).collect()
    }
}

impl KeyTable {
    /// Takes in what an earlier incarnation of this node left. Each row binds for a whole window from now on: how long
    /// ago it was made cannot be known by a clock that may have been set meanwhile.
    pub fn load(&mut self, now: Moment, found: Recovery) {
        let Some(durability) = &mut self.durability else { return };
        if durability.is_loaded {
            return;
        }
        durability.is_loaded = true;
        durability.is_connected = true;
        durability.epoch = found.epoch;
        let window = durability.limits.window;
        let max_entries = durability.limits.entries;
        let is_whole = found.row_count <= found.rows.len() as u64 && found.rows.len() <= max_entries;
        // Guards against a second run of a key that there was no room to remember.
        let bind_until = now.plus(window).mono.plus(LATE_READ_GRACE);
        durability.unread_rows_bind_until = Some(bind_until).filter(|_| !is_whole);
        for row in found.rows.into_iter().take(max_entries) {
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
        // The window that it was made with may have been longer than today's.
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

    /// The connection to the store is up or down. What was in flight on it ends with [`KeyTable::on_outcome`].
    pub fn on_link(&mut self, now: Timestamp, is_up: bool) {
        let Some(durability) = &mut self.durability else { return };
        durability.is_connected = is_up;
        if is_up {
            durability.breaker.retry_now(now);
        } else if durability.is_loaded {
            self.open_breaker(now, Cause::Link);
        }
    }

    /// The next batch for the store, if there is any and the one before is over.
    pub fn next_batch(&mut self, now: Timestamp) -> Option<Batch> {
        let keys = &self.keys;
        let is_current =
            |row: &Row| keys.get(row.key.as_str()).is_some_and(|entry| entry.sequence == row.sequence);
        self.durability.as_mut()?.next_batch(now, is_current)
    }

    /// How a batch ended. An answer to any but the one in flight is passed over.
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
            // An answer that is none to what was asked proves as little as a broken link.
            Outcome::Done | Outcome::Rows(_) => self.on_failed(now, batch, Cause::Other, true),
            Outcome::NotDone(cause) => self.on_failed(now, batch, cause, false),
            Outcome::Unknown(cause) => self.on_failed(now, batch, cause, true),
        }
    }

    /// The rows show which writes were made; the others are made again, before all else.
    fn on_looked_up(&mut self, writes: Vec<PendingWrite>, rows: &[Row]) {
        let Some(durability) = &mut self.durability else { return };
        let rows: HashMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
        let is_written = |pending: &PendingWrite| {
            let row = pending.write.key().and_then(|key| rows.get(key).copied());
            pending.write.is_written(row)
        };
        let (made, missing): (Vec<_>, Vec<_>) = writes.into_iter().partition(is_written);
        durability.requeue(missing.into_iter());
        made.into_iter().for_each(|pending| self.on_durable(pending.write));
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
    pub(super) fn check_store(&mut self, now: Timestamp) {
        let has_stalled = self.durability.as_mut().is_some_and(|durability| durability.check(now));
        if has_stalled {
            self.open_breaker(now, Cause::Stalled);
        }
    }

    /// The store is given up for now: no run that waits for its intent will begin.
    fn open_breaker(&mut self, now: Timestamp, cause: Cause) {
        let Some(durability) = &mut self.durability else { return };
        if !durability.breaker.open(now, cause) {
            return;
        }
        self.metrics.opened += 1;
        let intents = durability.open_intents();
        let retry_after = durability.retry_after(now);
        for (key, sequence) in intents {
            if self.keys.get(key.as_str()).is_some_and(|entry| entry.awaits_intent(sequence))
                && let Some(entry) = self.withdraw(now, &key)
            {
                self.settle_unwritten(entry, retry_after);
            }
        }
    }

    /// Settles an attempt whose intent cannot be written as one that never ran, with the repeats that wait for it.
    pub(super) fn settle_unwritten(&mut self, entry: Entry, retry_after: Micros) {
        self.metrics.rejected += 1;
        self.settled.push(Settlement::IntentFailed(entry.holder, entry.waiters, retry_after));
    }

    /// Takes back an intent that is not known to be durable: nothing of the key is remembered, and its row, if it may
    /// have been made or be made yet, is removed after it.
    pub(super) fn withdraw(&mut self, now: Timestamp, key: &str) -> Option<Entry> {
        let entry = self.remove(key)?;
        if let Some(durability) = &mut self.durability {
            let is_intent =
                |write: &Write| matches!(write, Write::Put(row) if row.sequence == entry.sequence);
            if durability.sent().any(is_intent) {
                durability.push(now, Write::Remove { key: key.to_string(), sequence: entry.sequence });
            }
        }
        Some(entry)
    }

    /// A write is durable: a run may begin, or its result be shown.
    fn on_durable(&mut self, write: Write) {
        let Write::Put(row) = write else { return };
        let Some(entry) = self.keys.get_mut(row.key.as_str()) else { return };
        // Guards against an answer to what was withdrawn, or replaced after its window.
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
