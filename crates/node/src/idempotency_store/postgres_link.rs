//! The connection to a PostgreSQL database: connects, logs in, submits one batch at a time and reconnects.
//!
//! The time to establish a connection and the time to an answer are bounded. The outcome of a batch on a
//! connection that broke is unknown. Reconnects have a random delay, so that nodes that lost the same server
//! do not reconnect to it at the same time.

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

/// Delay before the first reconnect to a server; up to half as much again is added at random.
const MIN_RECONNECT: Micros = Micros::millis(50);
/// Longest delay before a reconnect, without jitter: a server that is available again is used after a few
/// seconds at most.
const MAX_RECONNECT: Micros = Micros::millis(2_000);
/// Time after which a connection on which the server has not answered is closed; the outcome of its batch is
/// unknown.
const ANSWER_TIMEOUT: Micros = Micros::millis(5_000);
/// Time after which an incomplete first login is given up. This time is longer than [`ANSWER_TIMEOUT`], as
/// the first login also reads the rows of an earlier incarnation.
const LOGIN_TIMEOUT: Micros = Micros::millis(30_000);
/// Shortest time between two log lines with the same error.
const REPEAT_LOG_INTERVAL: Micros = Micros::millis(10_000);
/// XORed with the node's seed, so that this link's random numbers differ from others of the same seed
/// ("record" in ASCII).
const JITTER_SEED_MASK: u64 = 0x7265_636f_7264;

/// What was sent to the server and is not answered yet: a login or a batch.
#[derive(Debug)]
struct PendingAnswer {
    since: Timestamp,
    /// Number of the batch; none for a login.
    batch: Option<u64>,
}

/// The connection of this node to its database.
#[derive(Debug)]
pub(super) struct PostgresLink<S: System> {
    link: Link<S>,
    login: Rc<Login>,
    session: Option<Session>,
    /// Epoch of this incarnation; none before the first login, which claims the node's name in the database.
    epoch: Option<u64>,
    max_rows: usize,
    pending: Option<PendingAnswer>,
    retry_at: Timestamp,
    backoff: Micros,
    rng: fastrand::Rng,
    /// The error that was last logged, and when; none after a successful login.
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
            rng: fastrand::Rng::with_seed(seed ^ JITTER_SEED_MASK),
            last_error: None,
        }
    }

    /// Sets the password that is used from the next login on.
    pub(super) fn set_password(&mut self, password: Vec<u8>) {
        self.login = Rc::new(Login { password, ..(*self.login).clone() });
    }

    /// Handles a readiness event of the connection.
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

    /// Gives up the connection after an error; the next flush closes it.
    fn give_up(&mut self, now: Timestamp, error: SessionError) {
        let is_logged = self
            .last_error
            .as_ref()
            .is_some_and(|(last, at)| *last == error && now.since(*at) < REPEAT_LOG_INTERVAL);
        if !is_logged {
            tracing::error!(
                fault = %error,
                "idempotency store: closing the database connection after a fault; connecting again"
            );
            self.last_error = Some((error, now));
        }
        self.session = None;
        self.link.sever();
    }

    /// Handles the loss of the connection. Whether a batch that was in flight on it was committed is unknown.
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

    /// When the pending answer is overdue; none if no answer is pending.
    fn answer_due(&self) -> Option<Timestamp> {
        let timeout = if self.epoch.is_none() { LOGIN_TIMEOUT } else { ANSWER_TIMEOUT };
        self.pending.as_ref().map(|pending| pending.since.plus(timeout))
    }

    /// Gives up a connection whose answer is overdue, connects if that is due, and sends the next batch.
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

    /// Writes queued bytes as far as the socket accepts them, and closes a connection that was given up.
    pub(super) fn flush(&mut self, now: Timestamp, key_table: &mut KeyTable) {
        if self.link.flush(now).is_some() {
            self.on_down(now, key_table);
        }
    }

    /// When to call [`PostgresLink::pump`] again if no event comes before; none if it need not be called.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        let retry = self.link.next_wakeup(true).map(|at| at.max(self.retry_at));
        [self.answer_due(), retry].into_iter().flatten().min()
    }
}

/// Submits a batch. The error is the outcome of a batch that could not be submitted.
fn submit(session: &mut Session, batch: &Batch) -> Result<(), Outcome> {
    match session.submit(batch) {
        Ok(true) => Ok(()),
        Ok(false) => Err(Outcome::NotDone(Cause::Busy)),
        // Part of the batch may be sent with later output, so the outcome is the same as for a batch that was
        // sent: unknown.
        Err(_) if matches!(batch.work, Work::Commit(_)) => Err(Outcome::Unknown(Cause::Other)),
        Err(_) => Err(Outcome::NotDone(Cause::Other)),
    }
}
