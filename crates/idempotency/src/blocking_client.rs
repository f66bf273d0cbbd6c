//! PostgreSQL from a command line: the same session as the node's, on a connection that may block.

use crate::postgres::{Event, Fault, Login, Session};
use crate::row::{Batch, Outcome, Recovery};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for anything that the server has to say.
const PATIENCE: Duration = Duration::from_secs(10);

/// A connection.
#[derive(Debug)]
pub struct BlockingClient {
    stream: TcpStream,
    session: Session,
}

impl BlockingClient {
    /// Connects beside a node that may be running, and reads all of its rows.
    pub fn look(address: SocketAddr, login: Login) -> Result<(Self, Vec<crate::row::Row>), Fault> {
        let (remote, found) = BlockingClient::on(address, Session::look(Rc::new(login))?)?;
        Ok((remote, found.rows))
    }

    /// Connects as the node itself: whoever served under its name before does so no longer.
    pub fn adopt(address: SocketAddr, login: Login, most_rows: usize) -> Result<(Self, Recovery), Fault> {
        BlockingClient::on(address, Session::new(Rc::new(login), None, most_rows)?)
    }

    fn on(address: SocketAddr, session: Session) -> Result<(Self, Recovery), Fault> {
        let io = |e: std::io::Error| Fault(format!("{address}: {e}"));
        let stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(io)?;
        stream.set_read_timeout(Some(PATIENCE)).map_err(io)?;
        stream.set_nodelay(true).map_err(io)?;
        let mut remote = BlockingClient { stream, session };
        match remote.event()? {
            Event::Ready(found) => Ok((remote, found.unwrap_or_default())),
            Event::Outcome(..) => Err(Fault("an outcome before there was work".into())),
        }
    }

    /// Sends what is to be sent, and waits for what comes of it.
    fn event(&mut self) -> Result<Event, Fault> {
        let io = |e: std::io::Error| Fault(e.to_string());
        let mut chunk = vec![0; 16 * 1024];
        loop {
            self.stream.write_all(&self.session.output()).map_err(io)?;
            let n = self.stream.read(&mut chunk).map_err(io)?;
            if n == 0 {
                return Err(Fault("the server closed the connection".into()));
            }
            // One thing is asked at a time, so one comes.
            if let Some(event) = self.session.take(&chunk[..n])?.into_iter().next() {
                return Ok(event);
            }
        }
    }

    /// Does one batch.
    pub fn work(&mut self, batch: &Batch) -> Result<Outcome, Fault> {
        self.session.submit(batch)?;
        self.outcome()
    }

    /// Removes rows whose window ended before this moment of Unix time, in microseconds.
    pub fn prune(&mut self, before: u64) -> Result<Outcome, Fault> {
        self.session.prune(0, before)?;
        self.outcome()
    }

    fn outcome(&mut self) -> Result<Outcome, Fault> {
        match self.event()? {
            Event::Outcome(_, outcome) => Ok(outcome),
            Event::Ready(_) => Err(Fault("ready out of turn".into())),
        }
    }
}
