//! PostgreSQL client for the command line: runs the session that the node uses too, on a blocking connection.
//!
//! A call waits no longer than `TIMEOUT` for each answer of the server.

use crate::error::SessionError;
use crate::postgres::{Event, Login, Session};
use crate::row::{Batch, Outcome, Recovery, Row};
use gaugestand_admission::time::UnixTime;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for a connection, and for each answer of the server: short, as an operator waits for the
/// command.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// A blocking connection and the session on it.
#[derive(Debug)]
pub struct BlockingClient {
    stream: TcpStream,
    session: Session,
}

impl BlockingClient {
    /// Connects without taking the node's name, so that a running node is not disturbed, and reads all of the
    /// node's rows.
    ///
    /// # Errors
    /// [`SessionError::Connect`] if the server cannot be reached; otherwise the login fails, or the tables
    /// are missing or of another version. Nothing in the database has changed.
    pub fn read_only(address: SocketAddr, login: Login) -> Result<(Self, Vec<Row>), SessionError> {
        let (client, found) = BlockingClient::connect(address, Session::read_only(Rc::new(login))?)?;
        Ok((client, found.rows))
    }

    /// Connects as the node itself and takes its name: an earlier process of the same name can write nothing
    /// from now on, as its writes fail at the fence. Up to `max_rows` rows are read.
    ///
    /// # Errors
    /// [`SessionError::Connect`] if the server cannot be reached; otherwise the login fails or the tables
    /// cannot be used. If the connection breaks after the statement that takes the name was sent, the name
    /// may have been taken nevertheless.
    pub fn take_name(
        address: SocketAddr,
        login: Login,
        max_rows: usize,
    ) -> Result<(Self, Recovery), SessionError> {
        BlockingClient::connect(address, Session::new(Rc::new(login), None, max_rows)?)
    }

    fn connect(address: SocketAddr, session: Session) -> Result<(Self, Recovery), SessionError> {
        let stream = open_stream(address)
            .map_err(|error| SessionError::Connect { address, error: error.to_string() })?;
        let mut client = BlockingClient { stream, session };
        match client.next_event()? {
            Event::Ready(found) => Ok((client, found.unwrap_or_default())),
            Event::Outcome(..) => Err(SessionError::OutcomeOutOfTurn),
        }
    }

    /// Sends the output of the session to the server and waits for the session's next event.
    fn next_event(&mut self) -> Result<Event, SessionError> {
        let io_error = |error: std::io::Error| SessionError::Io(error.to_string());
        let mut buffer = vec![0; READ_BYTES];
        loop {
            self.stream.write_all(&self.session.output()).map_err(io_error)?;
            let count = self.stream.read(&mut buffer).map_err(io_error)?;
            if count == 0 {
                return Err(SessionError::Closed);
            }
            // Either the start or one batch is in flight at a time, so there is at most one event.
            if let Some(event) = self.session.receive(&buffer[..count])?.into_iter().next() {
                return Ok(event);
            }
        }
    }

    /// Sends one batch and waits for its outcome.
    ///
    /// # Errors
    /// The connection broke, timed out or carried an unexpected message. It is unknown whether the batch was
    /// done, and the client cannot be used any more; a batch that the server rejected is an [`Outcome`], not
    /// an error.
    pub fn execute(&mut self, batch: &Batch) -> Result<Outcome, SessionError> {
        self.session.submit(batch)?;
        self.next_outcome()
    }

    /// Removes rows whose window ended at or before this point of Unix time.
    ///
    /// # Errors
    /// The connection broke, timed out or carried an unexpected message. It is unknown whether rows were
    /// removed, and the client cannot be used any more.
    pub fn prune(&mut self, before: UnixTime) -> Result<Outcome, SessionError> {
        self.session.prune(0, before)?;
        self.next_outcome()
    }

    fn next_outcome(&mut self) -> Result<Outcome, SessionError> {
        match self.next_event()? {
            Event::Outcome(_, outcome) => Ok(outcome),
            Event::Ready(_) => Err(SessionError::ReadyOutOfTurn),
        }
    }
}

fn open_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
