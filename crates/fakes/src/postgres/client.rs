//! The connection of one client to the fake server: login, prepared statements and transactions.

use super::database::{BoundStatement, Database, Param, Shared};
use super::scram::ScramServer;
use super::{Fault, MAX_MESSAGE_BYTES};
use gaugestand_idempotency::postgres::sql;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::mem;
use std::net::{Shutdown, TcpStream};
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::{Arc, MutexGuard};
use std::thread;
use std::time::Duration;

/// Protocol version 3.0, as it is encoded in the startup message.
const PROTOCOL_VERSION: [u8; 4] = [0, 3, 0, 0];
/// Codes of the authentication messages (tag `R`) that the server sends.
const AUTHENTICATION_OK: [u8; 4] = [0, 0, 0, 0];
const AUTHENTICATION_SASL_CONTINUE: [u8; 4] = [0, 0, 0, 11];
const AUTHENTICATION_SASL_FINAL: [u8; 4] = [0, 0, 0, 12];

pub(super) struct Client {
    id: u64,
    shared: Arc<Shared>,
    stream: TcpStream,
    /// Value of [`Database::stops`] when the client connected. A later value means that the server was
    /// stopped since.
    stops: u64,
    /// Texts of the prepared statements, by name.
    prepared: HashMap<String, String>,
    /// The statement of the latest Bind message, which Execute executes.
    bound: Option<BoundStatement>,
    /// Writes of the open transaction; they are applied at its commit.
    writes: Vec<BoundStatement>,
    /// Whether a statement of the open transaction has failed; messages are then skipped up to the next Sync.
    has_failed: bool,
    /// Messages to the client that have not been written to the socket yet.
    output: Vec<u8>,
}

/// Returns the I/O error with which the server ends the connection.
fn connection_reset<T>() -> io::Result<T> {
    Err(io::ErrorKind::ConnectionReset.into())
}

/// Returns the strings of a message, each of which ends in a zero byte.
fn strings(body: &[u8]) -> Vec<String> {
    let mut strings: Vec<String> =
        body.split(|byte| *byte == 0).map(|text| String::from_utf8_lossy(text).into_owned()).collect();
    strings.pop();
    strings
}

impl Client {
    pub(super) fn new(shared: Arc<Shared>, stream: TcpStream, stops: u64) -> Self {
        let mut database = shared.database();
        database.clients += 1;
        let id = database.clients;
        drop(database);
        Client {
            id,
            shared,
            stream,
            stops,
            prepared: HashMap::new(),
            bound: None,
            writes: Vec::new(),
            has_failed: false,
            output: Vec::new(),
        }
    }

    /// Serves the client until the connection or the server ends, then releases the client's locks and closes
    /// the connection.
    pub(super) fn run(mut self) {
        let _ = self.serve();
        self.unlock();
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn serve(&mut self) -> io::Result<()> {
        let mut len = [0; 4];
        self.stream.read_exact(&mut len)?;
        let startup = self.read_body(len)?;
        if startup.get(..4) != Some(&PROTOCOL_VERSION[..]) {
            return connection_reset();
        }
        self.log_in()?;
        self.send(b'S', b"server_version\x0015.0 (stand-in)\0");
        self.send(b'K', &[0; 8]);
        self.send_ready()?;
        loop {
            let (tag, body) = self.read_message()?;
            match tag {
                b'Q' => self.query(&body)?,
                b'P' if !self.has_failed => self.parse(&body)?,
                b'B' if !self.has_failed => self.bind(&body)?,
                b'E' if !self.has_failed => self.execute()?,
                b'S' => self.sync()?,
                b'X' => return Ok(()),
                _ => {}
            }
        }
    }

    fn log_in(&mut self) -> io::Result<()> {
        self.send(b'R', b"\x00\x00\x00\x0aSCRAM-SHA-256\0\0");
        self.flush()?;
        let (_, client_first) = self.read_message()?;
        let Some(scram) = ScramServer::new(&client_first) else { return connection_reset() };
        self.send(b'R', &[&AUTHENTICATION_SASL_CONTINUE, scram.server_first()].concat());
        self.flush()?;
        let (_, client_final) = self.read_message()?;
        let Some(server_final) = scram.server_final(&self.shared.password, &client_final)? else {
            self.shared.database().rejected_logins += 1;
            self.send_error("28P01", "password authentication failed");
            self.flush()?;
            return connection_reset();
        };
        self.shared.database().logins += 1;
        self.send(b'R', &[&AUTHENTICATION_SASL_FINAL, server_final.as_bytes()].concat());
        self.send(b'R', &AUTHENTICATION_OK);
        Ok(())
    }
}

/// Reads and writes the messages of the protocol.
impl Client {
    /// Adds a message to the output; [`Client::flush`] writes it to the socket.
    fn send(&mut self, tag: u8, body: &[u8]) {
        self.output.push(tag);
        self.output.extend((body.len() as u32 + 4).to_be_bytes());
        self.output.extend(body);
    }

    fn send_error(&mut self, code: &str, text: &str) {
        let body = format!("SERROR\0VERROR\0C{code}\0M{text}\0\0");
        self.send(b'E', body.as_bytes());
    }

    fn send_row(&mut self, columns: &[Param]) {
        let mut body = (columns.len() as u16).to_be_bytes().to_vec();
        for column in columns {
            match column {
                Some(bytes) => {
                    body.extend((bytes.len() as u32).to_be_bytes());
                    body.extend(bytes);
                }
                None => body.extend((-1i32).to_be_bytes()),
            }
        }
        self.send(b'D', &body);
    }

    fn send_ready(&mut self) -> io::Result<()> {
        self.send(b'Z', b"I");
        self.flush()
    }

    fn flush(&mut self) -> io::Result<()> {
        let sends_single_bytes = self.shared.database().sends_single_bytes;
        let output = mem::take(&mut self.output);
        let size = if sends_single_bytes { 1 } else { output.len().max(1) };
        output.chunks(size).try_for_each(|chunk| self.stream.write_all(chunk))
    }

    fn read_message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut header = [0; 5];
        self.stream.read_exact(&mut header)?;
        let [tag, len @ ..] = header;
        Ok((tag, self.read_body(len)?))
    }

    fn read_body(&mut self, len: [u8; 4]) -> io::Result<Vec<u8>> {
        let len = (u32::from_be_bytes(len) as usize).saturating_sub(4);
        if len > MAX_MESSAGE_BYTES {
            return connection_reset();
        }
        let mut body = vec![0; len];
        self.stream.read_exact(&mut body)?;
        Ok(body)
    }
}

/// Executes the client's statements.
impl Client {
    fn query(&mut self, body: &[u8]) -> io::Result<()> {
        let database = self.shared.database();
        let has_tables = database.has_tables;
        let version = database.version;
        drop(database);
        match strings(body).first().map(String::as_str) {
            Some(sql::READ_VERSION) if has_tables => {
                self.send_row(&[Some(version.to_string().into_bytes())]);
                self.send(b'C', b"SELECT 1\0");
            }
            Some(sql::READ_VERSION) => {
                self.send_error("42P01", "relation \"gaugestand_schema\" does not exist");
            }
            Some(sql::CREATE_TABLES) => self.create_tables(),
            _ => self.send_error("42601", "syntax error"),
        }
        self.send_ready()
    }

    fn create_tables(&mut self) {
        self.shared.database().has_tables = true;
        self.send_row(&[Some(Vec::new())]);
        for tag in [&b"SELECT 1\0"[..], b"CREATE TABLE\0", b"INSERT 0 1\0", b"CREATE TABLE\0"] {
            self.send(b'C', tag);
        }
        self.send(b'C', b"CREATE TABLE\0");
    }

    fn parse(&mut self, body: &[u8]) -> io::Result<()> {
        let strings = strings(body);
        let [name, query, ..] = &strings[..] else { return connection_reset() };
        self.prepared.insert(name.clone(), query.clone());
        self.send(b'1', &[]);
        Ok(())
    }

    fn bind(&mut self, body: &[u8]) -> io::Result<()> {
        let mut reader = Reader { rest: body };
        let _portal = reader.string()?;
        let statement = reader.string()?;
        let formats = reader.int2()?;
        for _ in 0..formats {
            reader.int2()?;
        }
        let count = reader.int2()?;
        let params = (0..count).map(|_| reader.param()).collect::<io::Result<_>>()?;
        let Some(query) = self.prepared.get(&statement).cloned() else { return connection_reset() };
        self.bound = Some(BoundStatement { query, params });
        self.send(b'2', &[]);
        Ok(())
    }

    fn execute(&mut self) -> io::Result<()> {
        let Some(statement) = self.bound.clone() else { return connection_reset() };
        let shared = self.shared.clone();
        let mut database = shared.database();
        if database.stops != self.stops {
            return connection_reset();
        }
        match statement.query.as_str() {
            sql::TAKE_NAME => {
                database = self.lock(database, &statement.text(0))?;
                let epoch = database.epochs.entry(statement.text(0)).or_insert(0);
                *epoch += 1;
                self.send_row(&[Some(epoch.to_be_bytes().to_vec())]);
                self.send(b'C', b"INSERT 0 1\0");
            }
            sql::LOAD_PAGE => self.load_page(&database, &statement),
            sql::LOOKUP => {
                let key = (statement.text(0), statement.text(1));
                if let Some(row) = database.rows.get(&key) {
                    self.send_row(&row.columns(&key.1));
                }
                self.send(b'C', b"SELECT 1\0");
            }
            sql::FENCE => {
                database = self.lock(database, &statement.text(0))?;
                if database.epochs.get(&statement.text(0)) != Some(&statement.int(1)) {
                    self.fail("22012", "division by zero");
                    return Ok(());
                }
                database.locks.insert(statement.text(0), self.id);
                self.writes.push(statement);
                self.send(b'C', b"UPDATE 1\0");
            }
            sql::PUT => self.write(statement, b"INSERT 0 1\0"),
            sql::REMOVE | sql::PRUNE => self.write(statement, b"DELETE 1\0"),
            _ => self.fail("42601", "syntax error"),
        }
        Ok(())
    }

    fn load_page(&mut self, database: &Database, statement: &BoundStatement) {
        let node = statement.text(0);
        let last_key = statement.text(1);
        let max_rows = statement.int(2) as usize;
        let from = (Excluded((node.clone(), last_key)), Unbounded);
        let rows = database.rows.range(from).take_while(|((owner, _), _)| *owner == node).take(max_rows);
        let mut count = 0;
        for ((_, key), row) in rows {
            self.send_row(&row.columns(key));
            count += 1;
        }
        self.send(b'C', format!("SELECT {count}\0").as_bytes());
    }

    /// Adds a write to the open transaction and reports the command tag `tag` to the client.
    fn write(&mut self, statement: BoundStatement, tag: &[u8]) {
        self.writes.push(statement);
        self.send(b'C', tag);
    }

    /// Reports an error to the client and fails the open transaction.
    fn fail(&mut self, code: &str, text: &str) {
        self.send_error(code, text);
        self.has_failed = true;
    }
}

/// Locks and ends transactions.
impl Client {
    /// Waits until no other client's transaction holds the lock on the node's epoch row, as an UPDATE of the
    /// row does in PostgreSQL.
    fn lock<'a>(
        &self,
        mut database: MutexGuard<'a, Database>,
        node: &str,
    ) -> io::Result<MutexGuard<'a, Database>> {
        while database.stops == self.stops && database.locks.get(node).is_some_and(|id| *id != self.id) {
            database = self.shared.wait(database);
        }
        if database.stops == self.stops { Ok(database) } else { connection_reset() }
    }

    /// Releases the locks of the client's transaction, which has ended.
    fn unlock(&self) {
        self.shared.database().locks.retain(|_, id| *id != self.id);
        self.shared.changed.notify_all();
    }

    /// Ends the open transaction at a Sync message: commits all of its writes, or none if a statement has
    /// failed.
    fn sync(&mut self) -> io::Result<()> {
        let writes = mem::take(&mut self.writes);
        let has_failed = mem::take(&mut self.has_failed);
        let done = if has_failed || writes.is_empty() { Ok(()) } else { self.commit(&writes) };
        self.unlock();
        done?;
        self.send_ready()
    }

    /// Commits the writes of the open transaction, with the fault that was injected for it.
    fn commit(&mut self, writes: &[BoundStatement]) -> io::Result<()> {
        let shared = self.shared.clone();
        let mut database = shared.database();
        let forced_error = database.forced_error.map(Fault::Error);
        let fault = forced_error.or_else(|| database.faults.pop_front()).unwrap_or(Fault::None);
        match fault {
            Fault::StallBefore => database = self.stall(database)?,
            Fault::BreakBefore => return connection_reset(),
            Fault::Error(code) => {
                drop(database);
                self.output.clear();
                self.send_error(code, "injected error");
                return Ok(());
            }
            Fault::None | Fault::StallAfter | Fault::BreakAfter | Fault::Garbage => {}
        }
        if database.commit_time > Duration::ZERO {
            let time = database.commit_time;
            drop(database);
            thread::sleep(time);
            database = shared.database();
        }
        writes.iter().for_each(|write| database.apply(write));
        database.commits += 1;
        shared.changed.notify_all();
        match fault {
            Fault::StallAfter => drop(self.stall(database)?),
            Fault::BreakAfter => return connection_reset(),
            Fault::Garbage => {
                drop(database);
                self.output = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
                self.flush()?;
                return connection_reset();
            }
            Fault::None | Fault::StallBefore | Fault::BreakBefore | Fault::Error(_) => {}
        }
        Ok(())
    }

    /// Stalls the transaction until the test releases it. If the server is stopped meanwhile, returns an
    /// error, and a transaction that is not committed is lost.
    fn stall<'a>(&self, mut database: MutexGuard<'a, Database>) -> io::Result<MutexGuard<'a, Database>> {
        let released = database.released;
        database.stalled += 1;
        self.shared.changed.notify_all();
        while database.released == released && database.stops == self.stops {
            database = self.shared.wait(database);
        }
        database.stalled -= 1;
        if database.stops == self.stops { Ok(database) } else { connection_reset() }
    }
}

/// Reads the fields of a Bind message.
struct Reader<'a> {
    rest: &'a [u8],
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> io::Result<&[u8]> {
        let (head, tail) = self.rest.split_at_checked(count).ok_or(io::ErrorKind::InvalidData)?;
        self.rest = tail;
        Ok(head)
    }

    /// Reads a string that ends in a zero byte.
    fn string(&mut self) -> io::Result<String> {
        let Some(len) = self.rest.iter().position(|byte| *byte == 0) else { return connection_reset() };
        let text = String::from_utf8_lossy(&self.rest[..len]).into_owned();
        self.rest = &self.rest[len + 1..];
        Ok(text)
    }

    fn int2(&mut self) -> io::Result<u16> {
        let bytes = self.take(2)?.try_into().map_err(io::Error::other)?;
        Ok(u16::from_be_bytes(bytes))
    }

    /// Reads the length of a parameter, then the parameter; a negative length stands for NULL.
    fn param(&mut self) -> io::Result<Param> {
        let bytes = self.take(4)?.try_into().map_err(io::Error::other)?;
        match usize::try_from(i32::from_be_bytes(bytes)) {
            Ok(len) => Ok(Some(self.take(len)?.to_vec())),
            Err(_) => Ok(None),
        }
    }
}
