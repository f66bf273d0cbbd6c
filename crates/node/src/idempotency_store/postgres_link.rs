//! The connection to a PostgreSQL database: connects, logs in, carries one batch at a time and reconnects.
//!
//! It bounds how long a connection may take to be made or to answer; a batch on a connection that broke ends as unknown.
//! Reconnects are spread by chance, so that nodes that lost one server do not come back to it together.

use super::log_recovered;
use crate::counters::Counters;
use crate::io::System;
use crate::io::link::{Change, Link};
use gaugestand_admission::time::Moment;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_idempotency::KeyTable;
use gaugestand_idempotency::postgres::{Event, Login, Session, SessionError};
use gaugestand_idempotency::row::{Batch, Cause, Outcome, Work};
use std::net::SocketAddr;
use std::rc::Rc;

/// First wait before a lost server is connected to again; up to half as long again, by chance.
const MIN_RECONNECT: Micros = Micros::millis(50);
/// Longest wait, before jitter: a server that comes back is in use again after a few seconds at most.
const MAX_RECONNECT: Micros = Micros::millis(2_000);
/// A server that has not answered by then is not waited for: its connection proves nothing.
const ANSWER_TIMEOUT: Micros = Micros::millis(5_000);
/// The same for all of a first login, with the rows of an earlier incarnation.
const LOGIN_TIMEOUT: Micros = Micros::millis(30_000);
/// Time between two log lines that say the same.
const REPEAT_LOG_INTERVAL: Micros = Micros::millis(10_000);
/// Tells this link's random numbers from others that begin with the node's seed ("record" in ASCII).
const JITTER_STREAM: u64 = 0x7265_636f_7264;

/// What the server was asked and has not answered.
#[derive(Debug)]
struct PendingAnswer {
    since: Timestamp,
    /// The batch that it is to; nothing for a login.
    batch: Option<u64>,
}

/// The connection of a node to its database.
#[derive(Debug)]
pub(super) struct PostgresLink<S: System> {
    link: Link<S>,
    login: Rc<Login>,
    session: Option<Session>,
    /// The epoch of this incarnation, once the node's name is taken.
    epoch: Option<u64>,
    max_rows: usize,
    pending: Option<PendingAnswer>,
    retry_at: Timestamp,
    backoff: Micros,
    rng: fastrand::Rng,
    /// What was last logged, and when.
    last_error: Option<(SessionError, Timestamp)>,
}

impl<S: System> PostgresLink<S> {
    pub(super) fn new(
        address: SocketAddr,
        login: Login,
        max_rows: usize,
        seed: u64,
        key: usize,
        system: &S,
    ) -> Self {
        PostgresLink {
            link: Link::new(address, key, system),
            login: Rc::new(login),
            session: None,
            epoch: None,
            max_rows,
            pending: None,
            retry_at: Timestamp(0),
            backoff: MIN_RECONNECT,
            rng: fastrand::Rng::with_seed(seed ^ JITTER_STREAM),
            last_error: None,
        }
    }

    /// The password that is used from the next login on.
    pub(super) fn set_password(&mut self, password: Vec<u8>) {
        self.login = Rc::new(Login { password, ..(*self.login).clone() });
    }

    /// The poller has something for the connection.
    pub(super) fn ready(
        &mut self,
        now: Moment,
        readable: bool,
        writable: bool,
        key_table: &mut KeyTable,
        counters: &mut Counters,
    ) {
        match self.link.ready(now.mono, readable, writable) {
            Some(Change::Up) => {
                counters.idempotency_links += 1;
                self.log_in(now.mono);
            }
            Some(_) => return self.on_down(now.mono, key_table),
            None => {}
        }
        let Some(session) = &mut self.session else { return };
        let received = session.receive(self.link.input());
        self.link.consume(self.link.input().len());
        match received {
            Ok(events) => events.into_iter().for_each(|event| self.on_event(now, event, key_table)),
            Err(error) => self.give_up(now.mono, error),
        }
    }

    fn log_in(&mut self, now: Timestamp) {
        self.pending = Some(PendingAnswer { since: now, batch: None });
        match Session::new(self.login.clone(), self.epoch, self.max_rows) {
            Ok(session) => self.session = Some(session),
            Err(error) => self.give_up(now, error),
        }
    }

    fn on_event(&mut self, now: Moment, event: Event, key_table: &mut KeyTable) {
        let since = self.pending.take().map_or(now.mono, |pending| pending.since);
        match event {
            Event::Ready(found) => {
                self.backoff = MIN_RECONNECT;
                self.epoch = self.session.as_ref().and_then(Session::epoch);
                self.last_error = None;
                if let Some(found) = found {
                    let rows = found.row_count;
                    let epoch = found.epoch;
                    key_table.load(now, found);
                    log_recovered(rows, epoch, key_table, now.mono.since(since));
                }
                key_table.on_link(now.mono, true);
            }
            Event::Outcome(number, outcome) => key_table.on_outcome(now.mono, number, outcome),
        }
    }

    /// The connection is of no use; it is closed with the next flush.
    fn give_up(&mut self, now: Timestamp, error: SessionError) {
        let is_logged = self
            .last_error
            .as_ref()
            .is_some_and(|(last, at)| *last == error && now.since(*at) < REPEAT_LOG_INTERVAL);
        if !is_logged {
            tracing::error!(fault = %error, "store of record: connection given up");
            self.last_error = Some((error, now));
        }
        self.session = None;
        self.link.sever();
    }

    /// The connection is down. What was in flight on it is not known to have happened, nor not to have.
    fn on_down(&mut self, now: Timestamp, key_table: &mut KeyTable) {
        self.session = None;
        if let Some(PendingAnswer { batch: Some(number), .. }) = self.pending.take() {
            key_table.on_outcome(now, number, Outcome::Unknown(Cause::Link));
        }
        key_table.on_link(now, false);
        let jitter = self.rng.u64(..=self.backoff.0 / 2);
        self.retry_at = now.plus(Micros(self.backoff.0 + jitter));
        self.backoff = Micros((self.backoff.0 * 2).min(MAX_RECONNECT.0));
    }

    /// When the answer that is waited for is overdue.
    fn answer_due(&self) -> Option<Timestamp> {
        let timeout = if self.epoch.is_none() { LOGIN_TIMEOUT } else { ANSWER_TIMEOUT };
        self.pending.as_ref().map(|pending| pending.since.plus(timeout))
    }

    /// Ends what is overdue, connects, and sends the next batch.
    pub(super) fn pump(&mut self, now: Moment, key_table: &mut KeyTable) {
        if self.answer_due().is_some_and(|due| now.mono >= due) {
            self.give_up(now.mono, SessionError::Timeout);
        }
        if self.link.on_timer(now.mono).is_some() {
            self.on_down(now.mono, key_table);
        }
        if self.link.is_down() && now.mono >= self.retry_at && self.link.connect(now.mono).is_some() {
            self.on_down(now.mono, key_table);
        }
        self.send(now.mono, key_table);
    }

    fn send(&mut self, now: Timestamp, key_table: &mut KeyTable) {
        let Some(session) = &mut self.session else { return };
        if self.pending.is_none()
            && let Some(batch) = key_table.next_batch(now)
        {
            match submit(session, &batch) {
                Ok(()) => self.pending = Some(PendingAnswer { since: now, batch: Some(batch.number) }),
                Err(outcome) => key_table.on_outcome(now, batch.number, outcome),
            }
        }
        let output = session.output();
        if !output.is_empty() {
            self.link.send(output);
        }
    }

    /// Writes what can be written, and closes a connection that is of no use.
    pub(super) fn flush(&mut self, now: Timestamp, key_table: &mut KeyTable) {
        if self.link.flush(now).is_some() {
            self.on_down(now, key_table);
        }
    }

    /// When to call [`PostgresLink::pump`] again although nothing happens.
    pub(super) fn wake(&self) -> Option<Timestamp> {
        let retry = self.link.next_wakeup(true).map(|at| at.max(self.retry_at));
        [self.answer_due(), retry].into_iter().flatten().min()
    }
}

/// Submits a batch; otherwise says how it ended.
fn submit(session: &mut Session, batch: &Batch) -> Result<(), Outcome> {
    match session.submit(batch) {
        Ok(true) => Ok(()),
        Ok(false) => Err(Outcome::NotDone(Cause::Busy)),
        // Part of it may be on its way with what follows: as good as sent.
        Err(_) if matches!(batch.work, Work::Commit(_)) => Err(Outcome::Unknown(Cause::Other)),
        Err(_) => Err(Outcome::NotDone(Cause::Other)),
    }
}
