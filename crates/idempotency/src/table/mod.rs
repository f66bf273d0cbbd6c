//! The ledger: the one table of keys, and what must be durable before a run begins or an answer goes out.
//!
//! It guarantees, whatever a store does and in whatever order things happen:
//!
//! - at most one run of a key in its window, over any number of restarts;
//! - no result is shown before it is durable, and none is shown that another body's run made;
//! - a try whose intent could not be written is settled as one that never ran, and it never will;
//! - nothing is dropped: what has no room is turned away at the door.
//!
//! It does not guarantee that a result can be shown: one whose write does not come through by the due time of
//! its tries is not, and a run of which only the intent is known after a restart counts as failed.
//!
//! The table *event × state → outcome* that this follows row by row is in `docs/design/record.md`. Time comes
//! with each call, randomness from a seed; it owns no socket, file or thread.

use crate::row::{Batch, Cause, Outcome, Recovery, Row, State, Work, Write};
use gaugestand_admission::RequestId;
use gaugestand_admission::idempotency::*;
use gaugestand_admission::time::Micros;
use gaugestand_admission::time::Moment;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::mem;
use std::rc::Rc;

/// How long past its end an entry is kept for tries that reached the machine before and are read after it.
const READ_LATE: Micros = Micros::millis(10_000);
/// What an entry takes besides its key and its result: the table's place, the entry and its expiry, in bytes.
/// Measured at a million entries: 477 with a key of 32 bytes and a result of 100.
const ENTRY_BYTES: usize = 350;
/// From one try at a busy store to the next: first, and at most.
const BUSY_RETRY: (Micros, Micros) = (Micros::millis(5), Micros::millis(100));
/// From one probe of a store that is given up for now to the next: first, and at most; each is up to half as
/// long again, by chance, so that several nodes do not probe one store together.
const PROBE: (Micros, Micros) = (Micros::millis(100), Micros::millis(2_000));
/// Removals that go along with other writes: as many as those, and at least this. As many rows as are made can
/// so be removed, and no commit more than doubles.
const LEAST_REMOVALS: usize = 16;
/// Expired entries dropped in one go, so that no turn is long: 20 goes a second drop more than a node can take in.
const SWEEP: usize = 2_000;
/// Time between two goes.
const SWEEP_EVERY: Micros = Micros::millis(50);

/// Bounds of a ledger with a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most keys in the table.
    pub entries: usize,
    /// Most bytes that the table takes.
    pub bytes: usize,
    /// Most writes that wait.
    pub waiting: usize,
    /// Most writes in one batch.
    pub batch: usize,
    /// A write older than this means that the store stalls.
    pub stall: Micros,
    /// The longest window of any class.
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

/// How far a key has come.
#[derive(Debug, PartialEq)]
enum Phase {
    /// Its first try is held; nothing of it is in the store.
    Held,
    /// The intent is being written.
    Intending,
    /// Its run has begun and is not over.
    Running,
    /// It is over, and the result is being written.
    Ending(Rc<[u8]>),
    /// The result may be shown.
    Good(Rc<[u8]>),
    /// It ran, or may have run before a restart, and has no result.
    Failed,
}

#[derive(Debug)]
struct Entry {
    holder: RequestId,
    fingerprint: u128,
    /// Wall clock at which the try that ran reached the machine.
    ran: Micros,
    until: Moment,
    stamp: u64,
    phase: Phase,
    waiting: Vec<RequestId>,
}

impl Entry {
    /// Something is still to come of it, so that it must stay whatever its window.
    fn is_open(&self) -> bool {
        !matches!(self.phase, Phase::Good(_) | Phase::Failed)
    }

    fn row(&self, key: &str, state: State) -> Row {
        let (holder, fingerprint, stamp) = (self.holder.0, self.fingerprint, self.stamp);
        Row {
            key: key.to_string(),
            holder,
            fingerprint,
            ran: self.ran.0,
            until: self.until.wall.0,
            stamp,
            state,
        }
    }
}

/// A write with the time since which it waits.
type Waiting = (Micros, Write);

#[derive(Debug)]
struct Out {
    number: u64,
    since: Micros,
    writes: Vec<Waiting>,
    asks: bool,
}

/// What another process of this node is told of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    key: String,
    /// Nothing if the key is remembered no more.
    known: Option<Known>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Known {
    holder: RequestId,
    #[serde(rename = "print")]
    fingerprint: u128,
    ran: Micros,
    until: Moment,
    phase: Stage,
    waiting: Vec<RequestId>,
}

/// How far a key has come, without a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Stage {
    Held,
    Running,
    Good(Vec<u8>),
    Failed,
}

/// Keys that have changed since the other process was last told of them.
#[derive(Debug, Default)]
struct Mirror {
    todo: VecDeque<Rc<str>>,
    marked: HashSet<Rc<str>>,
}

/// What the store is held to be like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breaker {
    /// It takes writes.
    Closed,
    /// It does not, for this reason, since then; it is probed.
    Open(Cause, Micros),
}

/// The part of a ledger that has a store behind it.
#[derive(Debug)]
struct Durable {
    limits: Limits,
    loaded: bool,
    linked: bool,
    /// No first try before this: more rows were found than there is room for, and any of them may bind.
    shut_until: Option<Micros>,
    epoch: u64,
    stamps: u64,
    /// In the order in which they are to be made.
    queue: VecDeque<Waiting>,
    /// Rows that are past their window.
    removals: VecDeque<Write>,
    out: Option<Out>,
    /// Writes of which it isn't known whether they were made; asked before anything else is written.
    unclear: Vec<Waiting>,
    breaker: Breaker,
    /// The next wait after a failure, and when it is over.
    backoff: Micros,
    not_before: Micros,
    /// When a batch was last durable.
    progress: Micros,
    number: u64,
    rng: fastrand::Rng,
}

/// Figures of a ledger, for counters and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Keys in the table.
    pub entries: usize,
    /// Bytes that they take.
    pub bytes: usize,
    /// Writes that wait or are out.
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
    /// First tries turned away for the store's sake.
    pub turned_away: u64,
    /// Runs in doubt found at the start.
    pub in_doubt: u64,
}

/// The ledger; see the module's page.
#[derive(Debug)]
pub struct KeyTable {
    keys: HashMap<Rc<str>, Entry>,
    /// Keys by the time at which they are to be looked at, roughly in order.
    expiry: VecDeque<(Micros, Rc<str>)>,
    next_sweep: Micros,
    /// Takes fingerprints where nothing survives a restart; drawn anew for each node, so that nobody can make two
    /// bodies look alike, and the same in all processes that follow each other.
    secret: [u8; 32],
    mirror: Option<Mirror>,
    /// No first try before this: keys may bind that are not known here.
    closed_until: Option<Micros>,
    settled: Vec<Settled>,
    durable: Option<Durable>,
    /// Most bytes that the table takes where there is no store.
    most: usize,
    figures: Figures,
}

/// The longest result that the protocol knows, in bytes.
const LONGEST_RESULT: usize = 4096;

impl KeyTable {
    /// A ledger that forgets with the process, as a node without a store of record has it.
    pub fn volatile() -> Self {
        KeyTable {
            keys: HashMap::new(),
            expiry: VecDeque::new(),
            next_sweep: Micros(0),
            secret: secret(),
            mirror: None,
            closed_until: None,
            settled: Vec::new(),
            durable: None,
            most: usize::MAX,
            figures: Figures::default(),
        }
    }

    /// A ledger with a store behind it, which takes no key before [`KeyTable::load`].
    pub fn durable(limits: Limits, seed: u64) -> Self {
        let durable = Durable {
            limits,
            loaded: false,
            linked: false,
            shut_until: None,
            epoch: 0,
            stamps: 0,
            queue: VecDeque::new(),
            removals: VecDeque::new(),
            out: None,
            unclear: Vec::new(),
            breaker: Breaker::Closed,
            backoff: Micros(0),
            not_before: Micros(0),
            progress: Micros(0),
            number: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        KeyTable { durable: Some(durable), ..KeyTable::volatile() }
    }

    /// Without a store: first tries of keys are taken while the table, with one more result of the longest kind, takes
    /// so many bytes at most. Guards the process's memory where a window holds more results than fit in it.
    pub fn set_most(&mut self, bytes: usize) {
        self.most = bytes;
    }

    /// Other bounds from now on; what is over them already stays.
    pub fn set_limits(&mut self, limits: Limits) {
        if let Some(d) = &mut self.durable {
            d.limits = limits;
        }
    }

    /// Whether there is a store.
    pub fn is_durable(&self) -> bool {
        self.durable.is_some()
    }

    /// What the store is held to be like.
    pub fn breaker(&self) -> Breaker {
        self.durable.as_ref().map_or(Breaker::Closed, |d| d.breaker)
    }

    /// Its figures.
    pub fn figures(&self) -> Figures {
        let d = self.durable.as_ref();
        let writes = d.map_or(0, Durable::writes);
        let removals = d.map_or(0, |d| d.removals.len());
        Figures { entries: self.keys.len(), writes, removals, ..self.figures }
    }

    /// Takes in what an earlier life of this node left. Each row binds for a whole window from now on: how long
    /// ago it was made cannot be known by a clock that may have been set meanwhile.
    pub fn load(&mut self, now: Moment, found: Recovery) {
        let Some(d) = &mut self.durable else { return };
        if d.loaded {
            return;
        }
        (d.loaded, d.linked) = (true, true);
        d.epoch = found.epoch;
        let until = now.plus(d.limits.window);
        let whole = found.found <= found.rows.len() as u64 && found.rows.len() <= d.limits.entries;
        // Guards against a second run of a key that there was no room to remember.
        d.shut_until = Some(until.mono.plus(READ_LATE)).filter(|_| !whole);
        let room = d.limits.entries;
        for row in found.rows.into_iter().take(room) {
            let key: Rc<str> = row.key.into();
            let phase = match row.state {
                State::Intent => {
                    self.figures.in_doubt += 1;
                    Phase::Failed
                }
                State::Good(result) => Phase::Good(result.into()),
                State::Failed => Phase::Failed,
            };
            self.figures.bytes += bytes(&key, &phase);
            // The window that it was made with may have been longer than today's.
            let window = d.limits.window.max(Micros(row.until.saturating_sub(row.ran)));
            let until = now.plus(window);
            let wall = until.wall.max(Micros(row.until));
            let entry = Entry {
                holder: RequestId(row.holder),
                fingerprint: row.fingerprint,
                ran: Micros(row.ran),
                until: Moment { mono: until.mono, wall },
                stamp: row.stamp,
                phase,
                waiting: Vec::new(),
            };
            self.expiry.push_back((until.mono.plus(READ_LATE), key.clone()));
            self.keys.insert(key, entry);
        }
    }

    /// The link to the store is up or down. What was out on it is told by [`KeyTable::outcome`].
    pub fn link(&mut self, now: Micros, up: bool) {
        let Some(d) = &mut self.durable else { return };
        d.linked = up;
        if up {
            d.not_before = now;
        } else if d.loaded {
            self.open(now, Cause::Link);
        }
    }

    /// The next work for the store, if there is any and the one before is over.
    pub fn work(&mut self, now: Micros) -> Option<Batch> {
        let d = self.durable.as_mut()?;
        if !d.loaded || !d.linked || d.out.is_some() || now < d.not_before {
            return None;
        }
        let closed = d.breaker == Breaker::Closed;
        let asks = !d.unclear.is_empty();
        let (writes, work) = if asks {
            let writes = mem::take(&mut d.unclear);
            let keys = writes.iter().filter_map(|(_, w)| w.key().map(str::to_string)).collect();
            (writes, Work::Ask(keys))
        } else {
            let most = if closed { d.limits.batch } else { 1 };
            let mut writes: Vec<Waiting> = Vec::new();
            while let Some(waiting) = (writes.len() < most).then(|| d.queue.pop_front()).flatten() {
                // An intent that was withdrawn before it was ever out need not be made.
                let live = match &waiting.1 {
                    Write::Put(row) if row.state == State::Intent => {
                        self.keys.get(row.key.as_str()).is_some_and(|e| e.stamp == row.stamp)
                    }
                    _ => true,
                };
                writes.extend(Some(waiting).filter(|_| live));
            }
            let spare = if writes.is_empty() { most } else { writes.len().max(LEAST_REMOVALS) };
            if closed {
                let spare = spare.min(d.removals.len());
                writes.extend(d.removals.drain(..spare).map(|w| (now, w)));
            } else if writes.is_empty() {
                writes.push((now, Write::Probe));
            }
            if writes.is_empty() {
                return None;
            }
            let work = Work::Commit(writes.iter().map(|(_, w)| w.clone()).collect());
            (writes, work)
        };
        d.number += 1;
        let number = d.number;
        d.out = Some(Out { number, since: now, writes, asks });
        Some(Batch { number, work })
    }

    /// How a batch ended. An answer to any but the one that is out is passed over.
    pub fn outcome(&mut self, now: Micros, number: u64, outcome: Outcome) {
        let Some(d) = &mut self.durable else { return };
        let Some(out) = d.out.take_if(|o| o.number == number) else { return };
        match outcome {
            Outcome::Done if !out.asks => {
                self.figures.commits += 1;
                self.figures.committed += out.writes.len() as u64;
                self.close(now);
                out.writes.into_iter().for_each(|(_, w)| self.made(w));
            }
            Outcome::Rows(rows) if out.asks => {
                let rows: HashMap<&str, &Row> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
                let is_in = |w: &Waiting| w.1.is_in(w.1.key().and_then(|k| rows.get(k).copied()));
                let (made, again): (Vec<_>, Vec<_>) = out.writes.into_iter().partition(is_in);
                again.into_iter().rev().for_each(|w| d.queue.push_front(w));
                made.into_iter().for_each(|(_, w)| self.made(w));
            }
            // An answer that is none to what was asked proves as little as a broken link.
            Outcome::Done | Outcome::Rows(_) => self.failed(now, out, Cause::Other, true),
            Outcome::NotDone(cause) => self.failed(now, out, cause, false),
            Outcome::Unknown(cause) => self.failed(now, out, cause, true),
        }
    }

    fn failed(&mut self, now: Micros, out: Out, cause: Cause, unclear: bool) {
        let Some(d) = &mut self.durable else { return };
        self.figures.failures += 1;
        if unclear || out.asks {
            d.unclear = out.writes;
        } else {
            let again = out.writes.into_iter().filter(|(_, w)| *w != Write::Probe);
            again.rev().for_each(|w| d.queue.push_front(w));
        }
        if cause == Cause::Busy && d.breaker == Breaker::Closed {
            d.backoff = Micros((d.backoff.0 * 2).clamp(BUSY_RETRY.0.0, BUSY_RETRY.1.0));
            d.not_before = now.plus(d.backoff);
            return;
        }
        self.open(now, cause);
        let Some(d) = &mut self.durable else { return };
        d.backoff = Micros((d.backoff.0 * 2).clamp(PROBE.0.0, PROBE.1.0));
        d.not_before = now.plus(Micros(d.backoff.0 + d.rng.u64(..=d.backoff.0 / 2)));
    }

    fn close(&mut self, now: Micros) {
        let Some(d) = &mut self.durable else { return };
        (d.breaker, d.backoff, d.not_before) = (Breaker::Closed, Micros(0), Micros(0));
        d.progress = now;
    }

    /// The store is given up for now: no run that waits for its intent will begin.
    fn open(&mut self, now: Micros, cause: Cause) {
        let Some(d) = &mut self.durable else { return };
        if let Breaker::Open(was, _) = &mut d.breaker {
            *was = cause;
            return;
        }
        d.breaker = Breaker::Open(cause, now);
        self.figures.opened += 1;
        let waiting = d.queue.iter().chain(&d.unclear).chain(d.out.iter().flat_map(|o| &o.writes));
        let intents: Vec<(String, u64)> = waiting
            .filter_map(|(_, w)| match w {
                Write::Put(row) if row.state == State::Intent => Some((row.key.clone(), row.stamp)),
                _ => None,
            })
            .collect();
        let advice = self.advice(now);
        for (key, stamp) in intents {
            let ours = |e: &Entry| e.stamp == stamp && e.phase == Phase::Intending;
            if let Some((holder, waiting)) = self.withdraw(now, &key, ours) {
                self.figures.turned_away += 1;
                self.settled.push(Settled::Unwritten(holder, waiting, advice));
            }
        }
    }

    /// Takes back an intent that is not known to be written: nothing of the key is remembered, and its row, if it
    /// may have been made or be made yet, is removed after it.
    fn withdraw(
        &mut self,
        now: Micros,
        key: &str,
        which: impl Fn(&Entry) -> bool,
    ) -> Option<(RequestId, Vec<RequestId>)> {
        let entry = self.keys.get(key).filter(|e| which(e))?;
        let stamp = entry.stamp;
        let (key, entry) = self.keys.remove_entry(key)?;
        self.figures.bytes -= bytes(&key, &entry.phase).min(self.figures.bytes);
        if let Some(d) = &mut self.durable {
            let out = d.unclear.iter().chain(d.out.iter().flat_map(|o| &o.writes));
            if out.into_iter().any(|(_, w)| matches!(w, Write::Put(row) if row.stamp == stamp)) {
                d.queue.push_back((now, Write::Remove { key: key.to_string(), stamp }));
            }
        }
        Some((entry.holder, entry.waiting))
    }

    /// A write is durable.
    fn made(&mut self, write: Write) {
        let Write::Put(row) = write else { return };
        // Guards against an answer to what was withdrawn, or replaced after its window.
        let Some(e) = self.keys.get_mut(row.key.as_str()).filter(|e| e.stamp == row.stamp) else { return };
        match (&row.state, &e.phase) {
            (State::Intent, Phase::Intending) => {
                e.phase = Phase::Running;
                self.settled.push(Settled::Begun(e.holder));
            }
            (State::Good(_), Phase::Ending(result)) => {
                let result = result.clone();
                e.phase = Phase::Good(result.clone());
                self.settled.push(Settled::Stored(e.holder, mem::take(&mut e.waiting), result));
            }
            _ => {}
        }
    }

    /// How long those should stay away that cannot be taken now.
    fn advice(&self, now: Micros) -> Micros {
        let least = Micros::millis(200);
        let Some(d) = &self.durable else {
            // There is room when the next window is over.
            let next = self.expiry.front().map_or(Micros(0), |(t, _)| t.since(now));
            return next.max(least);
        };
        let shut = d.shut_until.map_or(Micros(0), |t| t.since(now));
        let probe =
            if d.breaker == Breaker::Closed { Micros(0) } else { d.not_before.since(now).max(PROBE.0) };
        shut.max(Micros(2 * probe.0)).max(least)
    }

    fn room_for(&self, key: &str) -> bool {
        let more = key.len() + ENTRY_BYTES;
        let Some(d) = &self.durable else { return self.figures.bytes + more + LONGEST_RESULT <= self.most };
        let open = d.breaker != Breaker::Closed || !d.loaded || d.shut_until.is_some();
        !open
            && self.keys.len() + d.removals.len() < d.limits.entries
            && self.figures.bytes + more <= d.limits.bytes
            && d.writes() < d.limits.waiting
    }

    fn sweep(&mut self, now: Micros) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now.plus(SWEEP_EVERY);
        for _ in 0..SWEEP {
            let Some((_, key)) = self.expiry.pop_front_if(|(t, _)| *t <= now) else { break };
            let Some(e) = self.keys.get(&key) else { continue };
            let end = e.until.mono.plus(READ_LATE);
            // One that is open outlasts its window; it is looked at again a while later.
            if e.is_open() || end > now {
                self.expiry.push_back((end.max(now.plus(READ_LATE)), key));
                continue;
            }
            let stamp = e.stamp;
            self.figures.bytes -= bytes(&key, &e.phase).min(self.figures.bytes);
            self.keys.remove(&key);
            self.mark(&key);
            if let Some(d) = &mut self.durable {
                d.removals.push_back(Write::Remove { key: key.to_string(), stamp });
            }
        }
    }
}

impl Durable {
    fn writes(&self) -> usize {
        self.queue.len() + self.unclear.len() + self.out.as_ref().map_or(0, |o| o.writes.len())
    }

    /// Since when the oldest write waits with nothing getting done: what has piled up is no stall once it moves.
    fn oldest(&self) -> Option<Micros> {
        let out = self.out.as_ref().map(|o| o.writes.first().map_or(o.since, |w| w.0.min(o.since)));
        [self.queue.front().map(|w| w.0), self.unclear.first().map(|w| w.0), out]
            .into_iter()
            .flatten()
            .min()
            .map(|t| t.max(self.progress))
    }
}

/// Random bytes, as the system gives them to each process.
fn secret() -> [u8; 32] {
    let mut secret = [0; 32];
    for (i, eight) in secret.chunks_exact_mut(8).enumerate() {
        eight.copy_from_slice(&RandomState::new().hash_one(i).to_be_bytes());
    }
    secret
}

/// What an entry takes.
fn bytes(key: &str, phase: &Phase) -> usize {
    let result = match phase {
        Phase::Ending(r) | Phase::Good(r) => r.len(),
        _ => 0,
    };
    key.len() + result + ENTRY_BYTES
}

impl IdempotencyTable for KeyTable {
    fn fingerprint(&self, body: &[u8]) -> u128 {
        // The same after a restart where there is a store; half as long as the hash: 2^64 tries for two alike.
        let hash = match self.durable {
            None => blake3::keyed_hash(&self.secret, body),
            Some(_) => blake3::hash(body),
        };
        let mut fingerprint = [0; 16];
        fingerprint.copy_from_slice(&hash.as_bytes()[..16]);
        u128::from_be_bytes(fingerprint)
    }

    fn find(&mut self, now: Moment, key: &str, fingerprint: u128, at: Moment) -> Found {
        match self.keys.get(key).filter(|e| at.is_before(e.until)) {
            // Guards against a result that goes to whoever names its key: it is another request's.
            Some(e) if e.fingerprint != fingerprint => Found::BodyMismatch,
            Some(e) => Found::Prior(e.holder),
            None if self.closed_until.is_some_and(|t| now.mono < t) => {
                self.figures.turned_away += 1;
                Found::Closed(self.closed_until.unwrap_or_default().since(now.mono))
            }
            None if self.room_for(key) => Found::Nothing,
            None => {
                self.figures.turned_away += 1;
                Found::Closed(self.advice(now.mono))
            }
        }
    }

    fn knows(&self, key: &str, at: Moment) -> bool {
        self.keys.get(key).is_some_and(|e| at.is_before(e.until))
    }

    fn keep(&mut self, key: &Rc<str>, id: RequestId, fingerprint: u128, until: Moment) -> Vec<RequestId> {
        self.mark(key);
        let phase = Phase::Held;
        self.figures.bytes += bytes(key, &phase);
        let entry =
            Entry { holder: id, fingerprint, ran: Micros(0), until, stamp: 0, phase, waiting: Vec::new() };
        let old = self.keys.insert(key.clone(), entry);
        match old {
            Some(old) => {
                self.figures.bytes -= bytes(key, &old.phase).min(self.figures.bytes);
                old.waiting
            }
            None => {
                self.expiry.push_back((until.mono.plus(READ_LATE), key.clone()));
                Vec::new()
            }
        }
    }

    fn begin(&mut self, now: Moment, key: &Rc<str>, id: RequestId, at: Moment, until: Moment) -> Begin {
        self.mark(key);
        let Some(e) = self.keys.get_mut(key) else { return Begin::Never };
        if e.holder != id || e.phase != Phase::Held {
            return Begin::Never;
        }
        e.ran = at.wall;
        let later = |a: Micros, b: Micros| a.max(b);
        e.until = Moment { mono: later(e.until.mono, until.mono), wall: later(e.until.wall, until.wall) };
        let Some(d) = &mut self.durable else {
            e.phase = Phase::Running;
            return Begin::Go;
        };
        if d.breaker != Breaker::Closed {
            // It was taken before the store was given up, and is settled as those that waited then.
            let advice = self.advice(now.mono);
            if let Some((holder, waiting)) = self.withdraw_held(key) {
                self.figures.turned_away += 1;
                self.settled.push(Settled::Unwritten(holder, waiting, advice));
            }
            return Begin::Wait;
        }
        d.stamps += 1;
        // Later than all of earlier lives; 2^40 runs in one life would take centuries.
        e.stamp = (d.epoch << 40) | d.stamps;
        e.phase = Phase::Intending;
        d.queue.push_back((now.mono, Write::Put(e.row(key, State::Intent))));
        Begin::Wait
    }

    fn join(&mut self, key: &str, id: RequestId) -> Join {
        self.mark(key);
        match self.keys.get_mut(key) {
            None => Join::Fail,
            Some(Entry { phase: Phase::Good(result), .. }) => Join::Replay(result.clone()),
            Some(Entry { phase: Phase::Failed, .. }) => Join::Fail,
            Some(e) => {
                e.waiting.push(id);
                Join::Wait
            }
        }
    }

    fn end(&mut self, now: Moment, key: &Rc<str>, id: RequestId, end: RunResult) -> Ended {
        self.mark(key);
        let ours = |e: &&mut Entry| e.holder == id && e.phase == Phase::Running;
        let Some(e) = self.keys.get_mut(key).filter(ours) else {
            let result = match end {
                // Its window is over, and another try has the key; with no store its own result still holds.
                RunResult::Good(result) if self.durable.is_none() => Some(result),
                _ => None,
            };
            return Ended::Now(Vec::new(), result);
        };
        let (phase, result, state) = match (end, &self.durable) {
            (RunResult::NeverRan, _) => {
                let (stamp, waiting) = (e.stamp, mem::take(&mut e.waiting));
                self.figures.bytes -= bytes(key, &e.phase).min(self.figures.bytes);
                self.keys.remove(key);
                if let Some(d) = &mut self.durable {
                    d.queue.push_back((now.mono, Write::Remove { key: key.to_string(), stamp }));
                }
                return Ended::Now(waiting, None);
            }
            (RunResult::Good(result), None) => (Phase::Good(result.clone()), Some(result), None),
            (RunResult::Good(result), Some(_)) => {
                let state = State::Good(result.to_vec());
                (Phase::Ending(result), None, Some(state))
            }
            (RunResult::None, _) => (Phase::Failed, None, Some(State::Failed)),
        };
        let row = state.filter(|_| self.durable.is_some()).map(|state| e.row(key, state));
        self.figures.bytes += bytes(key, &phase) - bytes(key, &e.phase);
        e.phase = phase;
        let ended = match e.phase {
            Phase::Ending(_) => Ended::Wait,
            _ => Ended::Now(mem::take(&mut e.waiting), result),
        };
        if let (Some(d), Some(row)) = (&mut self.durable, row) {
            d.queue.push_back((now.mono, Write::Put(row)));
        }
        ended
    }

    fn leave(&mut self, now: Moment, key: &Rc<str>, id: RequestId) -> Left {
        self.mark(key);
        let Some(e) = self.keys.get_mut(key) else { return Left::default() };
        if e.holder != id {
            e.waiting.retain(|w| *w != id);
            return Left::default();
        }
        match e.phase {
            Phase::Held => {
                let waiting = self.withdraw_held(key).map(|(_, w)| w).unwrap_or_default();
                Left { waiting, withdrawn: false }
            }
            Phase::Intending => {
                let waiting = self.withdraw(now.mono, key, |_| true).map(|(_, w)| w).unwrap_or_default();
                Left { waiting, withdrawn: true }
            }
            _ => Left::default(),
        }
    }

    fn settled(&mut self, now: Moment, out: &mut Vec<Settled>) {
        self.sweep(now.mono);
        if let Some(d) = &mut self.durable {
            d.shut_until = d.shut_until.filter(|t| now.mono < *t);
            let stall = d.limits.stall;
            let stalled = d.oldest().is_some_and(|since| now.mono.since(since) >= stall);
            if stalled && d.breaker == Breaker::Closed {
                self.open(now.mono, Cause::Stalled);
            }
        }
        out.append(&mut self.settled);
    }

    fn is_ready(&self) -> bool {
        self.durable.as_ref().is_none_or(|d| d.loaded)
    }

    fn wake(&self) -> Option<Micros> {
        let d = self.durable.as_ref()?;
        let stall = d.oldest().filter(|_| d.breaker == Breaker::Closed).map(|t| t.plus(d.limits.stall));
        let waits = d.breaker != Breaker::Closed || d.writes() > 0;
        let retry = Some(d.not_before).filter(|_| d.linked && d.out.is_none() && waits);
        let sweep = self.expiry.front().map(|(t, _)| (*t).max(self.next_sweep));
        [stall, retry, sweep].into_iter().flatten().min()
    }
}

impl KeyTable {
    /// Forgets a key of which nothing was ever written.
    fn withdraw_held(&mut self, key: &str) -> Option<(RequestId, Vec<RequestId>)> {
        let (key, entry) = self.keys.remove_entry(key)?;
        self.figures.bytes -= bytes(&key, &entry.phase).min(self.figures.bytes);
        Some((entry.holder, entry.waiting))
    }

    // ---- Another process of this node -----------------------------------------------------------------

    fn mark(&mut self, key: &str) {
        let Some(mirror) = &mut self.mirror else { return };
        if !mirror.marked.contains(key) {
            let key: Rc<str> = key.into();
            mirror.marked.insert(key.clone());
            mirror.todo.push_back(key);
        }
    }

    /// From now on another process is told of all keys, or no more.
    pub fn mirror(&mut self, on: bool) {
        self.mirror = on.then(|| Mirror {
            todo: self.keys.keys().cloned().collect(),
            marked: self.keys.keys().cloned().collect(),
        });
    }

    /// What the other process needs to make the same fingerprints.
    pub fn secret(&self) -> [u8; 32] {
        self.secret
    }

    /// Copies of up to so many keys that have changed, each as it is now; empty once the other process knows all.
    pub fn copies(&mut self, most: usize) -> Vec<Copy> {
        let Some(mirror) = &mut self.mirror else { return Vec::new() };
        let n = most.min(mirror.todo.len());
        let todo: Vec<Rc<str>> = mirror.todo.drain(..n).collect();
        for key in &todo {
            mirror.marked.remove(key);
        }
        let known = |e: &Entry| Known {
            holder: e.holder,
            fingerprint: e.fingerprint,
            ran: e.ran,
            until: e.until,
            phase: match &e.phase {
                Phase::Held | Phase::Intending => Stage::Held,
                Phase::Running => Stage::Running,
                Phase::Ending(result) | Phase::Good(result) => Stage::Good(result.to_vec()),
                Phase::Failed => Stage::Failed,
            },
            waiting: e.waiting.clone(),
        };
        todo.iter().map(|key| Copy { key: key.to_string(), known: self.keys.get(key).map(known) }).collect()
    }

    /// Whether a key has changed of which the other process was not told.
    pub fn is_behind(&self) -> bool {
        self.mirror.as_ref().is_some_and(|mirror| !mirror.todo.is_empty())
    }

    /// Forgets all, and takes copies of another process's keys from now on.
    pub fn begin_copy(&mut self, secret: [u8; 32]) {
        self.keys.clear();
        self.expiry.clear();
        self.figures.bytes = 0;
        self.secret = secret;
    }

    /// Takes a copy in place of what was known of its key.
    pub fn adopt(&mut self, copy: Copy) {
        let key: Rc<str> = copy.key.into();
        if let Some(old) = self.keys.remove(&key) {
            self.figures.bytes -= bytes(&key, &old.phase).min(self.figures.bytes);
        }
        let Some(known) = copy.known else { return };
        let phase = match known.phase {
            Stage::Held => Phase::Held,
            Stage::Running => Phase::Running,
            Stage::Good(result) => Phase::Good(result.into()),
            Stage::Failed => Phase::Failed,
        };
        self.figures.bytes += bytes(&key, &phase);
        self.expiry.push_back((known.until.mono.plus(READ_LATE), key.clone()));
        let (holder, fingerprint, ran, until) = (known.holder, known.fingerprint, known.ran, known.until);
        let entry = Entry { holder, fingerprint, ran, until, stamp: 0, phase, waiting: known.waiting };
        self.keys.insert(key, entry);
    }

    /// The process that these copies are of is gone without a word: what ran there has no result to show, what was
    /// held there never ran. If not all copies came, no first try is taken for as long as one may bind.
    pub fn orphaned(&mut self, now: Moment, all: bool, window: Micros) {
        self.keys.retain(|_, e| e.phase != Phase::Held);
        for e in self.keys.values_mut() {
            e.waiting.clear();
            if e.phase == Phase::Running {
                e.phase = Phase::Failed;
            }
        }
        self.closed_until = Some(now.mono.plus(window).plus(READ_LATE)).filter(|_| !all);
    }
}
