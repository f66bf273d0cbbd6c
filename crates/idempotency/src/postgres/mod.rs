//! A session on one connection to PostgreSQL, as a state machine: bytes go in, bytes and events come out.
//!
//! The session logs in (with SCRAM-SHA-256, or without a password if the server asks for none), finds or
//! creates its tables, takes this node's name with a new epoch and reads the rows of earlier incarnations. It
//! then does one piece of work at a time: pipelined prepared statements up to one Sync, which the server
//! carries out as one transaction. It owns no socket and no clock.
//!
//! Two rules make a delayed or second writer harmless. Each batch of writes begins with a fence that fails
//! unless this incarnation's epoch still holds the node's name; and a row only ever replaces one with a lower
//! sequence number or an earlier state.
//!
//! The time that the server takes is not bounded here. After any [`SessionError`] the connection must not be
//! used any more.

mod codec;
mod server_error;
pub mod sql;
mod startup;

pub use crate::error::SessionError;
pub use server_error::ServerError;

use crate::error::StartStep;
use crate::row::{Batch, Cause, Outcome, Recovery, Row, Work, Write};
use bytes::BytesMut;
use codec::{Param, decode_int8, decode_row, write_call};
use fallible_iterator::FallibleIterator;
use gaugestand_admission::time::UnixTime;
use postgres_protocol::authentication::sasl::ScramSha256;
use postgres_protocol::message::backend::{CommandCompleteBody, DataRowBody, Header, Message};
use postgres_protocol::message::frontend;
use sql::Statement;
use startup::refused;
use std::fmt;
use std::mem;
use std::rc::Rc;

/// Longest accepted message of the server, in bytes: a row takes under 6 KiB; a notice may be long.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Maximum number of rows that one query at the start reads, so that no answer takes much memory.
const PAGE_ROWS: usize = 1_000;
/// The version of the tables that this program creates and uses.
pub const SCHEMA_VERSION: i32 = 1;
/// The server's command tag if the fence found the node's row and changed it.
const FENCE_PASSED: &str = "UPDATE 1";

/// Credentials for the database, and the node whose rows are used.
#[derive(Clone)]
pub struct Login {
    /// Name of the database role.
    pub user: String,
    /// Password of the role.
    pub password: Vec<u8>,
    /// Name of the database.
    pub database: String,
    /// Name of the node, under which its rows are kept.
    pub node: String,
}

impl fmt::Debug for Login {
    /// Leaves out the password, so that the password appears in no log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Login({}@{} as {})", self.user, self.database, self.node)
    }
}

/// What the session reports after it has received bytes.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// The start is over, and work can be submitted. The field holds the rows found in the store; `None` if
    /// the session continues an earlier connection of this incarnation, which has reported the rows already.
    Ready(Option<Recovery>),
    /// The batch with this number has ended.
    Outcome(u64, Outcome),
}

/// The step that a session has reached.
enum Step {
    /// The server has not chosen the method of authentication yet.
    AwaitingAuthentication,
    /// The SCRAM exchange that proves the password is under way.
    ProvingPassword(Box<ScramSha256>),
    /// The server proved that it knows the password, or asked for none.
    Authenticated,
    /// The version of the tables is being read. The field holds the version once the server has sent it.
    ReadingVersion(Option<i32>),
    /// The tables are being created.
    CreatingTables,
    /// Statements are being prepared.
    Preparing,
    /// The node's name is being taken. The field holds the new epoch once the server has sent it.
    TakingName(Option<u64>),
    /// The rows of earlier incarnations are being read, page by page.
    Loading {
        recovery: Recovery,
        /// Number of rows received of the present page.
        page_rows: usize,
        last_key: String,
    },
    /// Nothing is in flight.
    Idle,
    /// A batch is in flight.
    Executing(BatchProgress),
}

/// A batch in flight, and what the server has answered so far.
struct BatchProgress {
    number: u64,
    is_lookup: bool,
    /// Rows that a lookup has returned.
    rows: Vec<Row>,
    /// Whether the server has not confirmed yet that the fence passed. Until then, no work of the batch is
    /// known to be done.
    is_unfenced: bool,
}

impl BatchProgress {
    /// The outcome of the batch, if the server reported no error.
    fn outcome(self) -> Outcome {
        if self.is_lookup {
            Outcome::Rows(self.rows)
        } else if self.is_unfenced {
            Outcome::Unknown(Cause::Fenced)
        } else {
            Outcome::Done
        }
    }
}

/// A session on one connection.
pub struct Session {
    login: Rc<Login>,
    /// The epoch of this incarnation; `None` until the node's name is taken.
    epoch: Option<u64>,
    max_rows: usize,
    /// Whether the session does not take the node's name, so that a running node is not disturbed. Such a
    /// session only reads rows or removes old ones.
    is_read_only: bool,
    step: Step,
    /// The first error that the server reported in the present step.
    step_error: Option<ServerError>,
    input: BytesMut,
    output: BytesMut,
}

impl fmt::Debug for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Session({:?}, epoch {:?})", self.login, self.epoch)
    }
}

/// The error for a message that cannot be decoded or encoded.
fn unreadable(error: impl fmt::Display) -> SessionError {
    SessionError::Unreadable(error.to_string())
}

fn login_error(error: impl fmt::Display) -> SessionError {
    SessionError::Login(error.to_string())
}

impl Session {
    /// Creates a session for a connection that was just made. `epoch` is that of an earlier connection of
    /// this incarnation, if there was one; otherwise the session takes the node's name and reads up to
    /// `max_rows` rows.
    ///
    /// # Errors
    /// [`SessionError::Login`] if the user or the database name cannot be sent, as it contains a zero byte.
    pub fn new(login: Rc<Login>, epoch: Option<u64>, max_rows: usize) -> Result<Self, SessionError> {
        let mut output = BytesMut::new();
        let parameters = [
            ("user", login.user.as_str()),
            ("database", login.database.as_str()),
            ("application_name", "gaugestand"),
            ("client_encoding", "UTF8"),
        ];
        frontend::startup_message(parameters, &mut output).map_err(login_error)?;
        Ok(Session {
            login,
            epoch,
            max_rows,
            is_read_only: false,
            step: Step::AwaitingAuthentication,
            step_error: None,
            input: BytesMut::new(),
            output,
        })
    }

    /// Creates a session that reads a node's rows while the node may be running, or removes old rows. It must
    /// not be given a batch of writes.
    ///
    /// # Errors
    /// [`SessionError::Login`] if the user or the database name cannot be sent, as it contains a zero byte.
    pub fn read_only(login: Rc<Login>) -> Result<Self, SessionError> {
        Ok(Session { is_read_only: true, ..Session::new(login, None, usize::MAX)? })
    }

    /// The epoch of this incarnation; `None` until the node's name is taken.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Takes the bytes that the session has produced since the last call; the caller has to send them to the
    /// server.
    pub fn output(&mut self) -> Vec<u8> {
        self.output.split().to_vec()
    }

    /// Processes bytes that were read from the server, and returns the events that they complete.
    ///
    /// # Errors
    /// The server rejected the login or a step of the start, ended the session, or sent a message that cannot
    /// be decoded or does not belong to the present step. The connection has to be closed; the outcome of a
    /// batch in flight is unknown.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Vec<Event>, SessionError> {
        self.input.extend_from_slice(bytes);
        let mut events = Vec::new();
        loop {
            match Header::parse(&self.input).map_err(unreadable)? {
                // Guards the memory: without this limit, a false length would reserve memory for a message
                // that never arrives.
                Some(header) if header.len().max(0) as usize > MAX_MESSAGE_BYTES => {
                    return Err(SessionError::TooLong);
                }
                Some(_) => {}
                None => return Ok(events),
            }
            let Some(message) = Message::parse(&mut self.input).map_err(unreadable)? else {
                return Ok(events);
            };
            events.extend(self.on_message(message)?);
        }
    }

    /// Begins a batch. Returns false if another one is in flight, the session is not ready, or the work is a
    /// log record.
    ///
    /// # Errors
    /// [`SessionError::Unsendable`] if a value is longer than the protocol's length fields can say. A part of
    /// the batch may be in the output already, so the session has to be dropped.
    pub fn submit(&mut self, batch: &Batch) -> Result<bool, SessionError> {
        if !matches!(self.step, Step::Idle) {
            return Ok(false);
        }
        let is_lookup = match &batch.work {
            // A record of a consensus log is not accepted: consensus logs are kept in files, not in
            // PostgreSQL.
            Work::LogRecord(_) => return Ok(false),
            Work::Lookup(keys) => {
                self.send_lookup(keys)?;
                true
            }
            Work::Commit(writes) => {
                self.send_commit(writes)?;
                false
            }
        };
        self.begin_batch(batch.number, is_lookup, !is_lookup);
        Ok(true)
    }

    /// Begins the removal of rows whose window ended at or before `now`. The removal ends with an
    /// [`Event::Outcome`] that has this number, as a batch does.
    ///
    /// # Errors
    /// [`SessionError::Unsendable`] if the node's name is longer than the protocol's length fields can say.
    /// The session has to be dropped.
    pub fn prune(&mut self, number: u64, now: UnixTime) -> Result<(), SessionError> {
        let node = self.login.node.clone();
        self.call(Statement::Prune, &[Param::Text(&node), Param::Int8(now.0 as i64)])?;
        self.begin_batch(number, false, false);
        Ok(())
    }

    fn begin_batch(&mut self, number: u64, is_lookup: bool, is_unfenced: bool) {
        frontend::sync(&mut self.output);
        self.step_error = None;
        self.step = Step::Executing(BatchProgress { number, is_lookup, rows: Vec::new(), is_unfenced });
    }

    fn send_lookup(&mut self, keys: &[String]) -> Result<(), SessionError> {
        let node = self.login.node.clone();
        for key in keys {
            self.call(Statement::Lookup, &[Param::Text(&node), Param::Text(key)])?;
        }
        Ok(())
    }

    fn send_commit(&mut self, writes: &[Write]) -> Result<(), SessionError> {
        let node = self.login.node.clone();
        let epoch = self.epoch.unwrap_or_default() as i64;
        self.call(Statement::Fence, &[Param::Text(&node), Param::Int8(epoch)])?;
        writes.iter().try_for_each(|write| self.send_write(&node, write))
    }

    fn send_write(&mut self, node: &str, write: &Write) -> Result<(), SessionError> {
        match write {
            Write::Put(row) => self.send_put(node, row),
            Write::Remove { key, sequence } => {
                let params = [Param::Text(node), Param::Text(key), Param::Int8(*sequence as i64)];
                self.call(Statement::Remove, &params)
            }
            // A probe adds no statement: the fence at the start of the batch is itself a write.
            Write::Probe => Ok(()),
        }
    }

    fn send_put(&mut self, node: &str, row: &Row) -> Result<(), SessionError> {
        let params = [
            Param::Text(node),
            Param::Text(&row.key),
            Param::Bytes(&row.holder.to_be_bytes()),
            Param::Bytes(&row.fingerprint.to_be_bytes()),
            Param::Int8(row.ingress.0 as i64),
            Param::Int8(row.expires.0 as i64),
            Param::Int8(row.sequence as i64),
            Param::Int2(row.state.code()),
            row.state.result().map_or(Param::Null, Param::Bytes),
        ];
        self.call(Statement::Put, &params)
    }

    fn call(&mut self, statement: Statement, params: &[Param<'_>]) -> Result<(), SessionError> {
        write_call(statement, params, &mut self.output)
    }
}

/// Handling of the server's messages.
impl Session {
    fn on_message(&mut self, message: Message) -> Result<Option<Event>, SessionError> {
        match message {
            Message::ParameterStatus(_)
            | Message::NoticeResponse(_)
            | Message::NotificationResponse(_)
            | Message::BackendKeyData(_)
            | Message::ParseComplete
            | Message::BindComplete
            | Message::RowDescription(_)
            | Message::ParameterDescription(_)
            | Message::NoData
            | Message::EmptyQueryResponse => Ok(None),
            Message::ErrorResponse(body) => self.on_error(ServerError::parse(&body)?).map(|()| None),
            Message::DataRow(body) => self.on_row(&body).map(|()| None),
            Message::CommandComplete(body) => self.on_command_complete(&body).map(|()| None),
            Message::ReadyForQuery(_) => self.on_ready(),
            other => self.on_authentication(other).map(|()| None),
        }
    }

    fn on_error(&mut self, error: ServerError) -> Result<(), SessionError> {
        match &self.step {
            // No statement is in flight that the error could answer, so the error ends the session.
            Step::Idle => Err(SessionError::Ended(error)),
            Step::AwaitingAuthentication | Step::ProvingPassword(_) | Step::Authenticated => {
                Err(SessionError::LoginRefused(error))
            }
            Step::ReadingVersion(_)
            | Step::CreatingTables
            | Step::Preparing
            | Step::TakingName(_)
            | Step::Loading { .. }
            | Step::Executing(_) => {
                self.step_error.get_or_insert(error);
                Ok(())
            }
        }
    }

    fn on_row(&mut self, body: &DataRowBody) -> Result<(), SessionError> {
        let column = |range: Option<std::ops::Range<usize>>| range.and_then(|range| body.buffer().get(range));
        let columns: Vec<Option<&[u8]>> =
            body.ranges().map(|range| Ok(column(range))).collect().map_err(unreadable)?;
        let first = columns.first().copied().flatten();
        match &mut self.step {
            Step::ReadingVersion(version) => {
                // The version was read with a simple query, whose results are text.
                let text = first.and_then(|text| std::str::from_utf8(text).ok());
                *version = text.and_then(|text| text.parse().ok());
            }
            // The advisory lock that is taken before the tables are created returns a row without a value.
            Step::CreatingTables => {}
            Step::TakingName(epoch) => *epoch = first.and_then(decode_int8).map(|number| number as u64),
            Step::Loading { recovery, page_rows, last_key } => {
                let row = decode_row(&columns)?;
                last_key.clone_from(&row.key);
                *page_rows += 1;
                recovery.row_count += 1;
                if recovery.row_count as usize > self.max_rows {
                    recovery.rows = Vec::new();
                } else {
                    recovery.rows.push(row);
                }
            }
            Step::Executing(batch) if batch.is_lookup => batch.rows.push(decode_row(&columns)?),
            _ => return Err(SessionError::UnexpectedRow),
        }
        Ok(())
    }

    fn on_command_complete(&mut self, body: &CommandCompleteBody) -> Result<(), SessionError> {
        if let Step::Executing(batch) = &mut self.step {
            // The fence is the first statement to complete; it must have changed the node's row.
            let tag = body.tag().map_err(unreadable)?;
            batch.is_unfenced &= tag != FENCE_PASSED;
        }
        Ok(())
    }

    /// Handles the server's message `ReadyForQuery`: everything that was in flight is complete.
    fn on_ready(&mut self) -> Result<Option<Event>, SessionError> {
        let step = mem::replace(&mut self.step, Step::Idle);
        let error = self.step_error.take();
        match step {
            Step::Authenticated => self.read_version()?,
            Step::ReadingVersion(version) => self.on_version(version, error)?,
            Step::CreatingTables => {
                refused(StartStep::CreateTables, error)?;
                self.read_version()?;
            }
            Step::Preparing => {
                refused(StartStep::Prepare, error)?;
                return self.on_prepared();
            }
            Step::TakingName(epoch) => {
                refused(StartStep::TakeName, error)?;
                let epoch = epoch.ok_or(SessionError::NoEpoch)?;
                self.load_page(Recovery { epoch, ..Recovery::default() }, String::new())?;
            }
            Step::Loading { recovery, page_rows, last_key } => {
                refused(StartStep::LoadRows, error)?;
                return self.on_page(recovery, page_rows, last_key);
            }
            Step::Executing(batch) => {
                let number = batch.number;
                let outcome = error.map_or_else(|| batch.outcome(), |error| error.outcome());
                return Ok(Some(Event::Outcome(number, outcome)));
            }
            Step::AwaitingAuthentication | Step::ProvingPassword(_) | Step::Idle => {
                return Err(SessionError::ReadyOutOfTurn);
            }
        }
        Ok(None)
    }
}
