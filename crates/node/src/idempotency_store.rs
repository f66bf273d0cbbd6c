//! The way to the store of record: carries out what the ledger wants done and tells it what came of it.
//!
//! It decides nothing about keys. It bounds how long a connection may take to be made or to answer, and spreads
//! its tries to connect by chance, so that nodes that lost one server do not come back to it together.

use super::counters::Counters;
use super::io::link::{Change, Link};
use super::io::{System, Worker};
use gaugestand_admission::time::Micros;
use gaugestand_admission::time::Moment;
use gaugestand_idempotency::postgres::{Event, Fault, Login, Session};
use gaugestand_idempotency::row::{Batch, Cause, Outcome, Work};
use gaugestand_idempotency::sqlite::Options;
use gaugestand_idempotency::{BreakerState, KeyTable, Limits};
use gaugestand_settings::{Backend, Record as Settings, Sync};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// Descriptors that a store of record needs: its file, log, index and lock, two ends of the waking socket, and
/// some to spare; or one connection.
pub const SOCKETS: usize = 8;
/// From one try to connect to the next: first, and at most; each is up to half as long again, by chance.
const RECONNECT: (Micros, Micros) = (Micros::millis(50), Micros::millis(2_000));
/// A server that has not answered what it was asked by then is not waited for: its connection proves nothing.
const SILENT: Micros = Micros::millis(5_000);
/// The same for all of a login, with the rows of an earlier life.
const LOGIN: Micros = Micros::millis(30_000);
/// Time between two lines that say the same.
const REPEAT: Micros = Micros::millis(10_000);
/// Longest password.
const MOST_PASSWORD: u64 = 1_024;

/// The store of record, as far as this node reaches it.
#[derive(Debug)]
pub struct Keeper<S: System> {
    way: Way<S>,
    /// What was last said of it, and when.
    said: Option<(BreakerState, Micros)>,
}

#[derive(Debug)]
enum Way<S: System> {
    /// There is none.
    None,
    Sqlite(S::Worker),
    Postgres(Box<Remote<S>>),
}

#[derive(Debug)]
struct Remote<S: System> {
    link: Link<S>,
    login: Rc<Login>,
    session: Option<Session>,
    /// Of this life, once the node's name is taken.
    epoch: Option<u64>,
    entries: usize,
    /// Since when an answer is waited for, and the batch that it is to.
    asked: Option<(Micros, Option<u64>)>,
    retry_at: Micros,
    retry_in: Micros,
    rng: fastrand::Rng,
    last_fault: Option<(Fault, Micros)>,
}

/// The bounds that the settings give a ledger.
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

/// Reads the password that a role logs in with: the first line of a file.
pub fn password(path: &Path) -> Result<Vec<u8>, String> {
    let problem = |e: &str| format!("password file {}: {e}", path.display());
    let size = fs::metadata(path).map_err(|e| problem(&e.to_string()))?.len();
    if size > MOST_PASSWORD {
        return Err(problem("is too long"));
    }
    let text = fs::read(path).map_err(|e| problem(&e.to_string()))?;
    let line = text.split(|b| *b == b'\n').next().unwrap_or_default();
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.is_empty() { Err(problem("its first line is empty")) } else { Ok(line.to_vec()) }
}

impl<S: System> Keeper<S> {
    /// Opens what the settings name, and makes the ledger that goes with it. A file is read at once; a database is
    /// connected to by the loop.
    pub fn start(
        settings: Option<&Settings>,
        (name, seed, window): (&str, u64, Micros),
        key: usize,
        system: &S,
        now: Moment,
    ) -> Result<(Self, KeyTable), String> {
        let Some(settings) = settings else {
            return Ok((Keeper { way: Way::None, said: None }, KeyTable::volatile()));
        };
        let mut key_table = KeyTable::durable(limits(settings, window), seed);
        let way = match &settings.backend {
            Backend::Sqlite { path, sync } => {
                let began = system.moment().mono;
                let options = Options { extra: *sync == Sync::Extra, ..Options::default() };
                let (worker, found) = system.store(path, &options, settings.entries, key)?;
                let (rows, epoch) = (found.found, found.epoch);
                key_table.load(now, found);
                let took = system.moment().mono.since(began);
                said_recovered(rows, epoch, key_table.metrics().in_doubt, took.0);
                Way::Sqlite(worker)
            }
            Backend::Postgres { address, database, user, password_file } => {
                let login = Login {
                    user: user.clone(),
                    password: password(password_file)?,
                    database: database.clone(),
                    node: name.to_string(),
                };
                Way::Postgres(Box::new(Remote::new(*address, login, settings.entries, seed, key, system)))
            }
        };
        Ok((Keeper { way, said: None }, key_table))
    }

    /// The password that is used from the next login on.
    pub fn set_password(&mut self, password: Vec<u8>) {
        if let Way::Postgres(remote) = &mut self.way {
            remote.login = Rc::new(Login { password, ..(*remote.login).clone() });
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
        match &mut self.way {
            Way::None => {}
            Way::Sqlite(worker) => {
                worker.woken();
                while let Some((number, outcome)) = worker.outcome() {
                    key_table.on_outcome(now.mono, number, outcome);
                }
            }
            Way::Postgres(remote) => remote.ready(now, readable, writable, key_table, counters),
        }
    }

    /// Hands over what the ledger wants done, and ends what is overdue.
    pub fn pump(&mut self, now: Moment, key_table: &mut KeyTable) {
        match &mut self.way {
            Way::None => return,
            Way::Sqlite(worker) => {
                if let Some(batch) = key_table.next_batch(now.mono) {
                    // A thread that has ended proves nothing of what it had, and takes nothing more.
                    let dead = worker.is_dead();
                    if let Some(batch) = worker.submit(batch).err().filter(|_| !dead) {
                        key_table.on_outcome(now.mono, batch.number, Outcome::NotDone(Cause::Other));
                    }
                }
            }
            Way::Postgres(remote) => remote.pump(now, key_table),
        }
        self.say(now.mono, key_table.breaker_state());
    }

    /// Says when the store is given up and when it is back; never more than a line a while.
    fn say(&mut self, now: Micros, breaker: BreakerState) {
        let open = matches!(breaker, BreakerState::Open { .. });
        let (was, since) = self.said.unwrap_or((BreakerState::Closed, Micros(0)));
        if open == matches!(was, BreakerState::Open { .. }) {
            return;
        }
        // A store that goes to and fro gets a line a second; the counters tell the rest.
        if now.since(since) < Micros::millis(1_000) && self.said.is_some() {
            return;
        }
        match breaker {
            BreakerState::Open { cause, .. } => {
                tracing::error!(
                    cause = cause.word(),
                    "store of record given up for now, keyed requests refused"
                )
            }
            BreakerState::Closed => tracing::info!("store of record takes writes again"),
        }
        self.said = Some((breaker, now));
    }

    /// Writes what can be written.
    pub fn flush(&mut self, now: Moment, key_table: &mut KeyTable) {
        if let Way::Postgres(remote) = &mut self.way
            && remote.link.flush(now.mono).is_some()
        {
            remote.down(now.mono, key_table);
        }
    }

    /// When to call [`Keeper::pump`] again although nothing happens.
    pub fn wake(&self) -> Option<Micros> {
        let Way::Postgres(remote) = &self.way else { return None };
        let bound = if remote.session.is_some() && remote.epoch.is_none() { LOGIN } else { SILENT };
        let late = remote.asked.map(|(since, _)| since.plus(bound));
        let retry = remote.link.wake(true).map(|t| t.max(remote.retry_at));
        [late, retry].into_iter().flatten().min()
    }
}

fn said_recovered(rows: u64, epoch: u64, in_doubt: u64, us: u64) {
    tracing::info!(rows, epoch, in_doubt, us, "store of record read");
}

impl<S: System> Remote<S> {
    fn new(address: SocketAddr, login: Login, entries: usize, seed: u64, key: usize, system: &S) -> Self {
        Remote {
            link: Link::new(address, key, system),
            login: Rc::new(login),
            session: None,
            epoch: None,
            entries,
            asked: None,
            retry_at: Micros(0),
            retry_in: RECONNECT.0,
            rng: fastrand::Rng::with_seed(seed ^ 0x7265_636f_7264),
            last_fault: None,
        }
    }

    fn ready(
        &mut self,
        now: Moment,
        readable: bool,
        writable: bool,
        key_table: &mut KeyTable,
        counters: &mut Counters,
    ) {
        match self.link.ready(now.mono, readable, writable) {
            Some(Change::Up) => {
                counters.record_links += 1;
                self.asked = Some((now.mono, None));
                match Session::new(self.login.clone(), self.epoch, self.entries) {
                    Ok(session) => self.session = Some(session),
                    Err(fault) => self.no_retry_elsewhere(now.mono, fault),
                }
            }
            Some(_) => return self.down(now.mono, key_table),
            None => {}
        }
        let Some(session) = &mut self.session else { return };
        let taken = session.take(self.link.input());
        self.link.consume(self.link.input().len());
        match taken {
            Ok(events) => events.into_iter().for_each(|event| self.event(now, event, key_table)),
            Err(fault) => self.no_retry_elsewhere(now.mono, fault),
        }
    }

    fn event(&mut self, now: Moment, event: Event, key_table: &mut KeyTable) {
        let since = self.asked.take().map_or(now.mono, |(since, _)| since);
        match event {
            Event::Ready(found) => {
                self.retry_in = RECONNECT.0;
                self.epoch = self.session.as_ref().and_then(Session::epoch);
                self.last_fault = None;
                if let Some(found) = found {
                    let (rows, epoch) = (found.found, found.epoch);
                    key_table.load(now, found);
                    said_recovered(rows, epoch, key_table.metrics().in_doubt, now.mono.since(since).0);
                }
                key_table.on_link(now.mono, true);
            }
            Event::Outcome(number, outcome) => key_table.on_outcome(now.mono, number, outcome),
        }
    }

    /// The connection is of no use; it is let go of with the end of the turn.
    fn no_retry_elsewhere(&mut self, now: Micros, fault: Fault) {
        let told = self.last_fault.as_ref().is_some_and(|(f, t)| *f == fault && now.since(*t) < REPEAT);
        if !told {
            tracing::error!(fault = %fault, "store of record: connection given up");
            self.last_fault = Some((fault, now));
        }
        self.session = None;
        self.link.sever();
    }

    /// The link is down. What was out on it is not known to have happened, nor not to have.
    fn down(&mut self, now: Micros, key_table: &mut KeyTable) {
        self.session = None;
        if let Some((_, Some(number))) = self.asked.take() {
            key_table.on_outcome(now, number, Outcome::Unknown(Cause::Link));
        }
        key_table.on_link(now, false);
        self.retry_at = now.plus(Micros(self.retry_in.0 + self.rng.u64(..=self.retry_in.0 / 2)));
        self.retry_in = Micros((self.retry_in.0 * 2).min(RECONNECT.1.0));
    }

    fn pump(&mut self, now: Moment, key_table: &mut KeyTable) {
        let bound = if self.epoch.is_none() { LOGIN } else { SILENT };
        if self.asked.is_some_and(|(since, _)| now.mono.since(since) >= bound) {
            self.no_retry_elsewhere(now.mono, Fault("no answer in time".to_string()));
        }
        if self.link.tick(now.mono).is_some() {
            self.down(now.mono, key_table);
        }
        if self.link.is_down() && now.mono >= self.retry_at && self.link.connect(now.mono).is_some() {
            self.down(now.mono, key_table);
        }
        if let Some(session) = &mut self.session {
            if self.asked.is_none()
                && let Some(batch) = key_table.next_batch(now.mono)
            {
                match submitted(session, &batch) {
                    Ok(()) => self.asked = Some((now.mono, Some(batch.number))),
                    Err(outcome) => key_table.on_outcome(now.mono, batch.number, outcome),
                }
            }
            let output = session.output();
            if !output.is_empty() {
                self.link.send(output);
            }
        }
    }
}

fn submitted(session: &mut Session, batch: &Batch) -> Result<(), Outcome> {
    match session.submit(batch) {
        Ok(true) => Ok(()),
        Ok(false) => Err(Outcome::NotDone(Cause::Busy)),
        // Part of it may be on its way with what follows: as good as sent.
        Err(_) if matches!(batch.work, Work::Commit(_)) => Err(Outcome::Unknown(Cause::Other)),
        Err(_) => Err(Outcome::NotDone(Cause::Other)),
    }
}
