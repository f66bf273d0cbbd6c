//! Access to the idempotency store: passes batches of the key table to the store's backend, and outcomes back
//! to the table.
//!
//! This module takes no decision about keys, and after the start it never blocks: a file is written on a
//! thread of its own (`gaugestand_idempotency::worker`), a database is reached over a connection of the event
//! loop (`postgres_link`).

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

/// Descriptors that are reserved for a store: for SQLite its file, log, index and lock, two ends of the
/// socket that wakes the event loop, and some spare ones; for PostgreSQL one connection.
pub const RESERVED_DESCRIPTORS: usize = 8;
/// Shortest time between two log lines about the circuit breaker. A store that alternates between working and
/// failing gets one line a second; the counters show the rest.
const BREAKER_LOG_INTERVAL: Micros = Micros::millis(1_000);

/// Why the idempotency store cannot be started. The error ends the start of the process.
#[derive(Debug, Error)]
pub enum StartError {
    /// The SQLite file cannot be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The password file of the database cannot be used.
    #[error(transparent)]
    Password(#[from] PasswordError),
}

/// The node that uses the store, and values that the connection to the store and the key table are created
/// with.
#[derive(Clone, Copy, Debug)]
pub struct Owner<'a> {
    /// The node's name, under which its rows are stored in a database.
    pub name: &'a str,
    /// Seed of the random numbers for the jitter of probes and reconnects.
    pub seed: u64,
    /// The longest deduplication window of any class, which is passed to the key table's limits.
    pub window: Micros,
}

/// This node's access to the idempotency store.
#[derive(Debug)]
pub struct IdempotencyStore<S: System> {
    backend: StoreBackend<S>,
    /// The state of the circuit breaker that was last logged, and when; none before the first log line.
    last_logged: Option<(BreakerState, Timestamp)>,
}

#[derive(Debug)]
enum StoreBackend<S: System> {
    /// No store is configured; keys are held in memory only.
    None,
    Sqlite(S::Worker),
    Postgres(Box<PostgresLink<S>>),
}

/// The bounds of a key table, from the settings of the store; `window` is the longest deduplication window of
/// any class.
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
    /// Opens the configured store, and creates the key table that uses it. A file is read at once; a database
    /// is connected to later by the event loop. `key` is the poller key of the store.
    ///
    /// # Errors
    /// [`StartError::Open`] if the file cannot be opened, and [`StartError::Password`] if the password file
    /// cannot be used. A database that cannot be reached is not an error here: the event loop keeps trying.
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

    /// Sets the password that is used from the next login to the database on; has no effect on other
    /// backends.
    pub fn set_password(&mut self, password: Vec<u8>) {
        if let StoreBackend::Postgres(link) = &mut self.backend {
            link.set_password(password);
        }
    }

    /// Handles a readiness event of the store: passes outcomes of batches to the key table.
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

    /// Passes the next batch to the backend, and gives up a database connection whose answer is overdue.
    pub fn pump(&mut self, now: Moment, key_table: &mut KeyTable) {
        match &mut self.backend {
            StoreBackend::None => return,
            StoreBackend::Sqlite(worker) => submit(worker, now.mono, key_table),
            StoreBackend::Postgres(link) => link.pump(now, key_table),
        }
        self.log_breaker(now.mono, key_table.breaker_state());
    }

    /// Logs when the circuit breaker opens and when it closes again.
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
                "idempotency store: circuit breaker opened; rejecting new requests with an idempotency key"
            ),
            BreakerState::Closed => {
                tracing::info!("idempotency store: circuit breaker closed; the store takes writes again")
            }
        }
        self.last_logged = Some((state, now));
    }

    /// Writes queued bytes to the database connection as far as the socket accepts them.
    pub fn flush(&mut self, now: Moment, key_table: &mut KeyTable) {
        if let StoreBackend::Postgres(link) = &mut self.backend {
            link.flush(now.mono, key_table);
        }
    }

    /// When to call [`IdempotencyStore::pump`] again if no event comes before; none if it need not be called.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        match &self.backend {
            StoreBackend::None | StoreBackend::Sqlite(_) => None,
            StoreBackend::Postgres(link) => link.next_wakeup(),
        }
    }
}

/// Opens the SQLite file and loads the rows of an earlier incarnation from it into the key table.
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
    let rows = found.row_count;
    let epoch = found.epoch;
    key_table.load(now, found);
    log_recovered(rows, epoch, key_table, system.moment().mono.since(began));
    Ok(worker)
}

fn log_recovered(rows: u64, epoch: u64, key_table: &KeyTable, took: Micros) {
    // The log field `in_doubt` counts the rows of runs whose outcome is unknown; `us` is the time in
    // microseconds that reading all rows took; for PostgreSQL it includes the login.
    let in_doubt = key_table.metrics().in_doubt;
    tracing::info!(
        rows,
        epoch,
        in_doubt,
        us = took.0,
        "idempotency store: read the rows of earlier processes into the key table; if the table cannot hold \
         all of them, new idempotency keys are rejected until the deduplication window is over"
    );
}

/// Submits the key table's next batch, if it has one, to the worker.
fn submit(worker: &mut impl Worker, now: Timestamp, key_table: &mut KeyTable) {
    let Some(batch) = key_table.next_batch(now) else { return };
    // If the worker's thread has ended, the outcome of its batches is unknown, and it takes no further batch.
    // Such a batch stays unanswered, and the circuit breaker opens once the batch counts as stalled.
    let is_dead = worker.is_dead();
    if let Err(batch) = worker.submit(batch)
        && !is_dead
    {
        key_table.on_outcome(now, batch.number, Outcome::NotDone(Cause::Other));
    }
}
