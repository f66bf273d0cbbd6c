//! The way to the idempotency store: passes the batches of the key table to its backend, and the outcomes back.
//!
//! It decides nothing about keys, and never blocks after the start: a file is written on a thread of its own
//! (`gaugestand_idempotency::worker`), a database is reached over a connection of the event loop (`postgres_link`).

mod password;
mod postgres_link;

pub use password::{PasswordError, password};

use crate::counters::Counters;
use crate::io::{System, Worker};
use gaugestand_admission::time::Moment;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_idempotency::postgres::Login;
use gaugestand_idempotency::row::{Cause, Outcome};
use gaugestand_idempotency::sqlite::Options;
use gaugestand_idempotency::{BreakerState, KeyTable, Limits, OpenError};
use gaugestand_settings::{Backend, IdempotencyStoreSettings as Settings, SyncMode};
use postgres_link::PostgresLink;
use std::path::Path;
use thiserror::Error;

/// Descriptors that a store needs: its file, log, index and lock, two ends of the waking socket, and some to spare; or
/// one connection.
pub const SOCKETS: usize = 8;
/// Shortest time between two log lines about the breaker: a store that goes to and fro gets a line a second, the
/// counters tell the rest.
const BREAKER_LOG_INTERVAL: Micros = Micros::millis(1_000);

/// Why a store cannot be used from the start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Its file cannot be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// There is no password for the database.
    #[error(transparent)]
    Password(#[from] PasswordError),
}

/// Whose store it is.
#[derive(Clone, Copy, Debug)]
pub struct Owner<'a> {
    /// The node's name, under which rows are kept in a database.
    pub name: &'a str,
    /// For the jitter of probes and reconnects.
    pub seed: u64,
    /// The longest deduplication window of any class.
    pub window: Micros,
}

/// The idempotency store, as far as this node reaches it.
#[derive(Debug)]
pub struct IdempotencyStore<S: System> {
    backend: StoreBackend<S>,
    /// The breaker's state that was last logged, and when.
    last_logged: Option<(BreakerState, Timestamp)>,
}

#[derive(Debug)]
enum StoreBackend<S: System> {
    /// There is none.
    None,
    Sqlite(S::Worker),
    Postgres(Box<PostgresLink<S>>),
}

/// The bounds that the settings give a key table.
pub fn limits(settings: &Settings, window: Micros) -> Limits {
    Limits {
        entries: settings.entries,
        bytes: settings.memory_mb << 20,
        waiting: settings.waiting,
        batch: settings.batch,
        stall: Micros::millis(settings.stall_ms),
        window,
    }
}

impl<S: System> IdempotencyStore<S> {
    /// Opens what the settings name, and makes the key table that goes with it. A file is read at once; a database is
    /// connected to by the event loop. `key` is the poller's for the store.
    ///
    /// # Errors
    /// [`StartError::Open`] if the file cannot be opened, and [`StartError::Password`] if the password file
    /// cannot be used. A database that cannot be reached is no error here: the event loop keeps trying.
    pub fn start(
        settings: Option<&Settings>,
        owner: Owner<'_>,
        key: usize,
        system: &S,
        now: Moment,
    ) -> Result<(Self, KeyTable), StartError> {
        let Some(settings) = settings else {
            let store = IdempotencyStore { backend: StoreBackend::None, last_logged: None };
            return Ok((store, KeyTable::volatile()));
        };
        let mut key_table = KeyTable::durable(limits(settings, owner.window), owner.seed);
        let backend = match &settings.backend {
            Backend::Sqlite { path, sync } => {
                let options = Options { synchronous_extra: *sync == SyncMode::Extra, ..Options::default() };
                let worker = open_file(path, &options, settings.entries, key, system, now, &mut key_table)?;
                StoreBackend::Sqlite(worker)
            }
            Backend::Postgres { address, database, user, password_file } => {
                let login = Login {
                    user: user.clone(),
                    password: password(password_file)?,
                    database: database.clone(),
                    node: owner.name.to_string(),
                };
                let link = PostgresLink::new(*address, login, settings.entries, owner.seed, key, system);
                StoreBackend::Postgres(Box::new(link))
            }
        };
        Ok((IdempotencyStore { backend, last_logged: None }, key_table))
    }

    /// The password that is used from the next login on.
    pub fn set_password(&mut self, password: Vec<u8>) {
        if let StoreBackend::Postgres(link) = &mut self.backend {
            link.set_password(password);
        }
    }

    /// The poller has something for the store.
    pub fn ready(
        &mut self,
        now: Moment,
        (readable, writable): (bool, bool),
        key_table: &mut KeyTable,
        counters: &mut Counters,
    ) {
        match &mut self.backend {
            StoreBackend::None => {}
            StoreBackend::Sqlite(worker) => {
                worker.drain_wakeups();
                while let Some((number, outcome)) = worker.outcome() {
                    key_table.on_outcome(now.mono, number, outcome);
                }
            }
            StoreBackend::Postgres(link) => link.ready(now, readable, writable, key_table, counters),
        }
    }

    /// Passes on the next batch, and ends what is overdue.
    pub fn pump(&mut self, now: Moment, key_table: &mut KeyTable) {
        match &mut self.backend {
            StoreBackend::None => return,
            StoreBackend::Sqlite(worker) => submit(worker, now.mono, key_table),
            StoreBackend::Postgres(link) => link.pump(now, key_table),
        }
        self.log_breaker(now.mono, key_table.breaker_state());
    }

    /// Logs when the breaker opens and when it closes again.
    fn log_breaker(&mut self, now: Timestamp, state: BreakerState) {
        let is_open = matches!(state, BreakerState::Open { .. });
        let (last, at) = self.last_logged.unwrap_or((BreakerState::Closed, Timestamp(0)));
        if is_open == matches!(last, BreakerState::Open { .. }) {
            return;
        }
        if now.since(at) < BREAKER_LOG_INTERVAL && self.last_logged.is_some() {
            return;
        }
        match state {
            BreakerState::Open { cause, .. } => tracing::error!(
                cause = cause.as_str(),
                "store of record given up for now, keyed requests refused"
            ),
            BreakerState::Closed => tracing::info!("store of record takes writes again"),
        }
        self.last_logged = Some((state, now));
    }

    /// Writes what can be written.
    pub fn flush(&mut self, now: Moment, key_table: &mut KeyTable) {
        if let StoreBackend::Postgres(link) = &mut self.backend {
            link.flush(now.mono, key_table);
        }
    }

    /// When to call [`IdempotencyStore::pump`] again although nothing happens.
    pub fn wake(&self) -> Option<Timestamp> {
        match &self.backend {
            StoreBackend::None | StoreBackend::Sqlite(_) => None,
            StoreBackend::Postgres(link) => link.wake(),
        }
    }
}

/// Opens a file, and loads what an earlier incarnation left in it.
fn open_file<S: System>(
    path: &Path,
    options: &Options,
    max_rows: usize,
    key: usize,
    system: &S,
    now: Moment,
    key_table: &mut KeyTable,
) -> Result<S::Worker, StartError> {
    let began = system.moment().mono;
    let (worker, found) = system.open_idempotency_store(path, options, max_rows, key)?;
    let rows = found.found;
    let epoch = found.epoch;
    key_table.load(now, found);
    log_recovered(rows, epoch, key_table, system.moment().mono.since(began));
    Ok(worker)
}

fn log_recovered(rows: u64, epoch: u64, key_table: &KeyTable, took: Micros) {
    let in_doubt = key_table.metrics().in_doubt;
    tracing::info!(rows, epoch, in_doubt, us = took.0, "store of record read");
}

/// Submits the next batch, if there is one.
fn submit(worker: &mut impl Worker, now: Timestamp, key_table: &mut KeyTable) {
    let Some(batch) = key_table.next_batch(now) else { return };
    // A thread that has ended proves nothing of what it had, and takes nothing more: its batch stays unanswered, and
    // the breaker opens once that has stalled.
    let is_dead = worker.is_dead();
    if let Err(batch) = worker.submit(batch)
        && !is_dead
    {
        key_table.on_outcome(now, batch.number, Outcome::NotDone(Cause::Other));
    }
}
