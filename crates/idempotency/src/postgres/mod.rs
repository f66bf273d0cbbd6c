//! One connection to PostgreSQL as a state machine: bytes in, bytes and events out.
//!
//! It logs in (SCRAM-SHA-256, or whatever asks for no password), finds or makes its tables, takes this node's name
//! with a new epoch, reads what an earlier life left, and then does one piece of work at a time: pipelined prepared
//! statements up to one Sync, which the server carries out as one transaction. It owns no socket and no clock.
//!
//! Two things make a late or second writer harmless. Each batch begins with a guard that fails unless this life's
//! epoch still holds the name; and a row only ever replaces one of an earlier stamp or state.

use crate::row::{Batch, Cause, Outcome, Recovery, Row, State, Work, Write};
use bytes::BytesMut;
use fallible_iterator::FallibleIterator;
use postgres_protocol::IsNull;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use postgres_protocol::message::backend::{DataRowBody, ErrorResponseBody, Header, Message};
use postgres_protocol::message::frontend;
use std::fmt;
use std::rc::Rc;

/// Longest message of the server: a row takes under 6 KiB; a notice may be long.
const MOST_MESSAGE: usize = 256 * 1024;
/// Rows read in one go at the start.
const PAGE: usize = 1_000;
/// The version of the tables.
pub const VERSION: i32 = 1;

/// The statements, as they are sent.
pub mod sql {
    /// The version of the tables that there are.
    pub const VERSION: &str = "SELECT version FROM gaugestand_schema";
    /// Makes the tables; two nodes that start at once wait for each other.
    pub const SCHEMA: &str = "\
SELECT pg_advisory_xact_lock(1735619684);
CREATE TABLE IF NOT EXISTS gaugestand_schema(version int NOT NULL);
INSERT INTO gaugestand_schema SELECT 1 WHERE NOT EXISTS (SELECT 1 FROM gaugestand_schema);
CREATE TABLE IF NOT EXISTS gaugestand_node(node text PRIMARY KEY, epoch bigint NOT NULL, beat bigint NOT NULL);
CREATE TABLE IF NOT EXISTS gaugestand_record(
    node text, key text, holder bytea NOT NULL, print bytea NOT NULL, ran bigint NOT NULL, until bigint NOT NULL,
    stamp bigint NOT NULL, state smallint NOT NULL, result bytea, PRIMARY KEY(node, key));";
    /// Takes the name: node.
    pub const ADOPT: &str = "INSERT INTO gaugestand_node VALUES($1, 1, 0) \
ON CONFLICT (node) DO UPDATE SET epoch = gaugestand_node.epoch + 1 RETURNING epoch";
    /// One page of a node's rows: node, last key before them, how many.
    pub const LOAD: &str = "SELECT key, holder, print, ran, until, stamp, state, result FROM gaugestand_record \
WHERE node = $1 AND key > $2 ORDER BY key LIMIT $3";
    /// Fails, by a division by zero, unless the name is still held in this epoch: node, epoch.
    pub const GUARD: &str = "UPDATE gaugestand_node SET beat = beat + 1 / (CASE WHEN epoch = $2 THEN 1 ELSE 0 END) \
WHERE node = $1";
    /// A row: node, key, holder, print, ran, until, stamp, state, result.
    pub const PUT: &str = "INSERT INTO gaugestand_record VALUES($1, $2, $3, $4, $5, $6, $7, $8, $9) \
ON CONFLICT (node, key) DO UPDATE SET holder = excluded.holder, print = excluded.print, ran = excluded.ran, \
until = excluded.until, stamp = excluded.stamp, state = excluded.state, result = excluded.result \
WHERE excluded.stamp > gaugestand_record.stamp \
OR excluded.stamp = gaugestand_record.stamp AND gaugestand_record.state = 0";
    /// Removes a row: node, key, its latest stamp.
    pub const REMOVE: &str = "DELETE FROM gaugestand_record WHERE node = $1 AND key = $2 AND stamp <= $3";
    /// The row of a key: node, key.
    pub const ASK: &str = "SELECT key, holder, print, ran, until, stamp, state, result FROM gaugestand_record \
WHERE node = $1 AND key = $2";
    /// Removes rows past their window: node, now.
    pub const PRUNE: &str = "DELETE FROM gaugestand_record WHERE node = $1 AND until <= $2";
    /// Names of the prepared statements, and their texts.
    pub const PREPARED: &[(&str, &str)] = &[
        ("adopt", ADOPT),
        ("load", LOAD),
        ("guard", GUARD),
        ("put", PUT),
        ("remove", REMOVE),
        ("ask", ASK),
        ("prune", PRUNE),
    ];
}

/// Who logs in, and as which node.
#[derive(Clone)]
pub struct Login {
    /// The role.
    pub user: String,
    /// Its password.
    pub password: Vec<u8>,
    /// The database.
    pub database: String,
    /// Whose rows they are.
    pub node: String,
}

impl fmt::Debug for Login {
    /// Without the password, so that it gets into no log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Login({}@{} as {})", self.user, self.database, self.node)
    }
}

/// What came of the bytes.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// Work can be done; with what was found, if this is the first connection of this life.
    Ready(Option<Recovery>),
    /// A batch is over.
    Outcome(u64, Outcome),
}

/// Why a connection is of no use; what is out on it is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault(pub String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn fault<T>(text: impl Into<String>) -> Result<T, Fault> {
    Err(Fault(text.into()))
}

fn garbled(e: impl fmt::Display) -> Fault {
    Fault(format!("a reply that cannot be read: {e}"))
}

/// How far it has come.
enum Step {
    /// The server is to say how to log in.
    Hello,
    /// Password proof under way.
    Proof(Box<ScramSha256>),
    /// The proof of the server was good, or none was asked for.
    Welcome,
    /// Which tables there are is asked; the error that came, if any.
    Version(Option<i32>, Option<Refusal>),
    /// The tables are being made.
    Schema(Option<Refusal>),
    /// Statements are being prepared.
    Prepare(Option<Refusal>),
    /// The name is being taken.
    Adopt(Option<u64>, Option<Refusal>),
    /// Rows are being read.
    Load { recovery: Recovery, page: usize, last: String, refusal: Option<Refusal> },
    /// Nothing is out.
    Idle,
    /// A batch is out: its number, what was asked for and what has come of it.
    Work { number: u64, asks: bool, rows: Vec<Row>, refusal: Option<Refusal>, unguarded: bool },
}

/// An error response.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Refusal {
    code: String,
    text: String,
}

impl Refusal {
    fn of(body: &ErrorResponseBody) -> Result<Self, Fault> {
        let (mut code, mut text) = (String::new(), String::new());
        let mut fields = body.fields();
        while let Some(field) = fields.next().map_err(garbled)? {
            let value = || {
                String::from_utf8_lossy(field.value_bytes())
                    .chars()
                    .filter(|c| !c.is_control())
                    .take(200)
                    .collect()
            };
            match field.type_() {
                b'C' => code = value(),
                b'M' => text = value(),
                _ => {}
            }
        }
        Ok(Refusal { code, text })
    }

    /// What it says of a batch.
    fn outcome(&self) -> Outcome {
        let cause = match self.code.as_str() {
            "40001" | "40P01" | "55P03" => Cause::Busy,
            "53100" | "53200" | "53300" | "53400" => Cause::Full,
            "25006" => Cause::ReadOnly,
            // The division by zero of the guard.
            "22012" => Cause::Fenced,
            code if code.starts_with("08") || code.starts_with("57P") => Cause::Link,
            _ => Cause::Other,
        };
        match self.code.as_str() {
            // "Statement completion unknown", and a server that is going down: a commit may have gone through.
            "40003" => Outcome::Unknown(cause),
            _ if cause == Cause::Link => Outcome::Unknown(cause),
            _ => Outcome::NotDone(cause),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.text, self.code)
    }
}

/// One parameter of a statement, in the binary form of its type.
enum Param<'a> {
    Text(&'a str),
    Bytes(&'a [u8]),
    Null,
    Big(i64),
    Small(i16),
}

/// A connection.
pub struct Session {
    login: Rc<Login>,
    /// The epoch of this life, once it has one.
    epoch: Option<u64>,
    most_rows: usize,
    /// Only looks: the name is not taken, so that a node that has it goes on undisturbed.
    looks: bool,
    step: Step,
    input: BytesMut,
    output: BytesMut,
}

impl fmt::Debug for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Session({:?}, epoch {:?})", self.login, self.epoch)
    }
}

impl Session {
    /// A session on a connection that was just made. `epoch` is that of an earlier connection of this life, if
    /// there was one; else the name is taken, and up to `most_rows` rows are read.
    pub fn new(login: Rc<Login>, epoch: Option<u64>, most_rows: usize) -> Result<Self, Fault> {
        let mut output = BytesMut::new();
        let parameters = [
            ("user", login.user.as_str()),
            ("database", login.database.as_str()),
            ("application_name", "gaugestand"),
            ("client_encoding", "UTF8"),
        ];
        frontend::startup_message(parameters, &mut output).map_err(|e| Fault(format!("login: {e}")))?;
        let (step, input, looks) = (Step::Hello, BytesMut::new(), false);
        Ok(Session { login, epoch, most_rows, looks, step, input, output })
    }

    /// A session that reads a node's rows beside that node, or removes old ones; it can make no batch.
    pub fn look(login: Rc<Login>) -> Result<Self, Fault> {
        Ok(Session { looks: true, ..Session::new(login, None, usize::MAX)? })
    }

    /// The epoch of this life, once the name is taken.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// What is to be sent.
    pub fn output(&mut self) -> Vec<u8> {
        self.output.split().to_vec()
    }

    /// Takes in what was read.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Event>, Fault> {
        self.input.extend_from_slice(bytes);
        let mut events = Vec::new();
        loop {
            match Header::parse(&self.input).map_err(garbled)? {
                // Guards against a length that would have memory set aside for what never comes.
                Some(header) if header.len().max(0) as usize > MOST_MESSAGE => {
                    return fault("a reply that is too long");
                }
                Some(_) => {}
                None => return Ok(events),
            }
            let Some(message) = Message::parse(&mut self.input).map_err(garbled)? else { return Ok(events) };
            events.extend(self.message(message)?);
        }
    }

    /// Begins a batch; false if another is out or the session is not ready.
    pub fn submit(&mut self, batch: &Batch) -> Result<bool, Fault> {
        if !matches!(self.step, Step::Idle) {
            return Ok(false);
        }
        let node = self.login.node.clone();
        let (mut asks, mut unguarded) = (false, false);
        match &batch.work {
            // An agreed log is a file's alone.
            Work::LogRecord(_) => return Ok(false),
            Work::Ask(keys) => {
                asks = true;
                for key in keys {
                    self.call("ask", &[Param::Text(&node), Param::Text(key)])?;
                }
            }
            Work::Commit(writes) => {
                unguarded = true;
                let epoch = self.epoch.unwrap_or_default() as i64;
                self.call("guard", &[Param::Text(&node), Param::Big(epoch)])?;
                for write in writes {
                    self.write(&node, write)?;
                }
            }
        }
        frontend::sync(&mut self.output);
        self.step = Step::Work { number: batch.number, asks, rows: Vec::new(), refusal: None, unguarded };
        Ok(true)
    }

    /// Begins the removal of rows that are past their window at `now`; ends as a batch of this number.
    pub fn prune(&mut self, number: u64, now: u64) -> Result<(), Fault> {
        let node = self.login.node.clone();
        self.call("prune", &[Param::Text(&node), Param::Big(now as i64)])?;
        frontend::sync(&mut self.output);
        self.step = Step::Work { number, asks: false, rows: Vec::new(), refusal: None, unguarded: false };
        Ok(())
    }

    fn write(&mut self, node: &str, write: &Write) -> Result<(), Fault> {
        match write {
            Write::Put(row) => {
                let result = match &row.state {
                    State::Good(result) => Param::Bytes(result),
                    _ => Param::Null,
                };
                self.call(
                    "put",
                    &[
                        Param::Text(node),
                        Param::Text(&row.key),
                        Param::Bytes(&row.holder.to_be_bytes()),
                        Param::Bytes(&row.fingerprint.to_be_bytes()),
                        Param::Big(row.ran as i64),
                        Param::Big(row.until as i64),
                        Param::Big(row.stamp as i64),
                        Param::Small(row.state.code()),
                        result,
                    ],
                )
            }
            Write::Remove { key, stamp } => {
                self.call("remove", &[Param::Text(node), Param::Text(key), Param::Big(*stamp as i64)])
            }
            // The guard is a write, and all that a probe needs.
            Write::Probe => Ok(()),
        }
    }

    fn call(&mut self, statement: &str, params: &[Param<'_>]) -> Result<(), Fault> {
        let serialize = |param: &Param<'_>, buf: &mut BytesMut| {
            match param {
                Param::Text(text) => buf.extend_from_slice(text.as_bytes()),
                Param::Bytes(bytes) => buf.extend_from_slice(bytes),
                Param::Big(n) => buf.extend_from_slice(&n.to_be_bytes()),
                Param::Small(n) => buf.extend_from_slice(&n.to_be_bytes()),
                Param::Null => return Ok(IsNull::Yes),
            }
            Ok(IsNull::No)
        };
        frontend::bind("", statement, [1], params, serialize, [1], &mut self.output)
            .map_err(|_| Fault("a statement that cannot be sent".to_string()))?;
        frontend::execute("", 0, &mut self.output).map_err(garbled)
    }

    fn message(&mut self, message: Message) -> Result<Option<Event>, Fault> {
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
            Message::ErrorResponse(body) => self.refused(Refusal::of(&body)?).map(|()| None),
            Message::DataRow(body) => self.row(&body).map(|()| None),
            Message::CommandComplete(body) => {
                if let Step::Work { unguarded, .. } = &mut self.step {
                    // The first to complete is the guard; it must have found the node's row.
                    let tag = body.tag().map_err(garbled)?;
                    *unguarded &= tag != "UPDATE 1";
                }
                Ok(None)
            }
            Message::ReadyForQuery(_) => self.ready(),
            other => self.login_message(other).map(|()| None),
        }
    }

    fn login_message(&mut self, message: Message) -> Result<(), Fault> {
        let step = std::mem::replace(&mut self.step, Step::Hello);
        self.step = match (step, message) {
            (Step::Hello, Message::AuthenticationOk) => Step::Welcome,
            (Step::Hello, Message::AuthenticationSasl(body)) => {
                let mut mechanisms = body.mechanisms();
                let mut known = false;
                while let Some(m) = mechanisms.next().map_err(garbled)? {
                    known |= m == SCRAM_SHA_256;
                }
                if !known {
                    return fault("login: the server offers no SCRAM-SHA-256");
                }
                let scram = ScramSha256::new(&self.login.password, ChannelBinding::unsupported());
                frontend::sasl_initial_response(SCRAM_SHA_256, scram.message(), &mut self.output)
                    .map_err(garbled)?;
                Step::Proof(Box::new(scram))
            }
            (Step::Proof(mut scram), Message::AuthenticationSaslContinue(body)) => {
                scram.update(body.data()).map_err(|e| Fault(format!("login: {e}")))?;
                frontend::sasl_response(scram.message(), &mut self.output).map_err(garbled)?;
                Step::Proof(scram)
            }
            // Guards against a server that does not know the password either.
            (Step::Proof(mut scram), Message::AuthenticationSaslFinal(body)) => {
                scram.finish(body.data()).map_err(|e| Fault(format!("login: {e}")))?;
                Step::Welcome
            }
            (Step::Welcome, Message::AuthenticationOk) => Step::Welcome,
            (
                Step::Hello,
                Message::AuthenticationMd5Password(_) | Message::AuthenticationCleartextPassword,
            ) => {
                return fault(
                    "login: the server asks for a password in a weak form; set scram-sha-256 for this role",
                );
            }
            _ => return fault("a reply out of turn"),
        };
        Ok(())
    }

    fn refused(&mut self, refusal: Refusal) -> Result<(), Fault> {
        let place = match &mut self.step {
            Step::Version(_, place)
            | Step::Schema(place)
            | Step::Prepare(place)
            | Step::Adopt(_, place)
            | Step::Load { refusal: place, .. }
            | Step::Work { refusal: place, .. } => place,
            // Nothing is out, so the server ends the connection for a reason of its own.
            Step::Hello | Step::Proof(_) | Step::Welcome => return fault(format!("login: {refusal}")),
            Step::Idle => return fault(refusal.to_string()),
        };
        place.get_or_insert(refusal);
        Ok(())
    }

    fn row(&mut self, body: &DataRowBody) -> Result<(), Fault> {
        let columns: Vec<Option<&[u8]>> =
            body.ranges().map(|r| Ok(r.and_then(|r| body.buffer().get(r)))).collect().map_err(garbled)?;
        let most = self.most_rows;
        match &mut self.step {
            Step::Version(version, _) => {
                // This one comes as text: it was asked for with a simple query.
                let text = columns.first().copied().flatten().and_then(|t| std::str::from_utf8(t).ok());
                *version = text.and_then(|t| t.parse().ok());
            }
            // The lock of the schema query gives a row with nothing in it.
            Step::Schema(_) => {}
            Step::Adopt(epoch, _) => {
                *epoch = columns.first().copied().flatten().and_then(big).map(|n| n as u64)
            }
            Step::Load { recovery, page, last, .. } => {
                let row = record(&columns)?;
                last.clone_from(&row.key);
                *page += 1;
                recovery.found += 1;
                if recovery.found as usize > most {
                    recovery.rows = Vec::new();
                } else {
                    recovery.rows.push(row);
                }
            }
            Step::Work { rows, asks: true, .. } => rows.push(record(&columns)?),
            _ => return fault("a row that nobody asked for"),
        }
        Ok(())
    }

    /// The server is through with what was out.
    fn ready(&mut self) -> Result<Option<Event>, Fault> {
        let step = std::mem::replace(&mut self.step, Step::Idle);
        let refused = |what: &str, r: Refusal| fault(format!("{what}: {r}"));
        match step {
            Step::Welcome => {
                self.ask_version()?;
            }
            Step::Version(Some(VERSION), _) => self.prepare()?,
            Step::Version(Some(version), _) => {
                return fault(format!(
                    "its tables are of version {version}, this program knows {VERSION}; use the newer program"
                ));
            }
            // "Undefined table": there is nothing yet.
            Step::Version(None, Some(r)) if r.code == "42P01" && self.looks => {
                return fault("there are no tables of a store of record");
            }
            Step::Version(None, Some(r)) if r.code == "42P01" => {
                frontend::query(sql::SCHEMA, &mut self.output).map_err(garbled)?;
                self.step = Step::Schema(None);
            }
            Step::Version(None, Some(r)) => return refused("its tables cannot be read", r),
            Step::Version(None, None) => {
                return fault("its table of versions is empty; it is no store of record");
            }
            Step::Schema(Some(r)) => return refused("its tables cannot be made", r),
            Step::Schema(None) => self.ask_version()?,
            Step::Prepare(Some(r)) => return refused("its tables are not as they should be", r),
            Step::Prepare(None) if self.looks => self.load(Recovery::default(), String::new())?,
            Step::Prepare(None) if self.epoch.is_some() => return Ok(Some(Event::Ready(None))),
            Step::Prepare(None) => {
                let login = self.login.clone();
                self.call("adopt", &[Param::Text(&login.node)])?;
                frontend::sync(&mut self.output);
                self.step = Step::Adopt(None, None);
            }
            Step::Adopt(_, Some(r)) => return refused("the node's name cannot be taken", r),
            Step::Adopt(Some(epoch), None) => {
                self.load(Recovery { epoch, ..Recovery::default() }, String::new())?;
            }
            Step::Adopt(None, None) => return fault("no epoch came back"),
            Step::Load { refusal: Some(r), .. } => return refused("its rows cannot be read", r),
            Step::Load { recovery, page, last, .. } => {
                let over = recovery.found as usize > self.most_rows;
                if page == PAGE && !over {
                    self.load(recovery, last)?;
                } else {
                    self.epoch = Some(recovery.epoch).filter(|_| !self.looks);
                    return Ok(Some(Event::Ready(Some(recovery))));
                }
            }
            Step::Work { number, refusal: Some(r), .. } => {
                return Ok(Some(Event::Outcome(number, r.outcome())));
            }
            Step::Work { number, asks: true, rows, .. } => {
                return Ok(Some(Event::Outcome(number, Outcome::Rows(rows))));
            }
            Step::Work { number, unguarded: true, .. } => {
                return Ok(Some(Event::Outcome(number, Outcome::Unknown(Cause::Fenced))));
            }
            Step::Work { number, .. } => return Ok(Some(Event::Outcome(number, Outcome::Done))),
            Step::Hello | Step::Proof(_) | Step::Idle => return fault("ready out of turn"),
        }
        Ok(None)
    }

    fn ask_version(&mut self) -> Result<(), Fault> {
        frontend::query(sql::VERSION, &mut self.output).map_err(garbled)?;
        self.step = Step::Version(None, None);
        Ok(())
    }

    fn prepare(&mut self) -> Result<(), Fault> {
        for (name, text) in sql::PREPARED {
            frontend::parse(name, text, [], &mut self.output).map_err(garbled)?;
        }
        frontend::sync(&mut self.output);
        self.step = Step::Prepare(None);
        Ok(())
    }

    fn load(&mut self, recovery: Recovery, last: String) -> Result<(), Fault> {
        let login = self.login.clone();
        self.call("load", &[Param::Text(&login.node), Param::Text(&last), Param::Big(PAGE as i64)])?;
        frontend::sync(&mut self.output);
        self.step = Step::Load { recovery, page: 0, last, refusal: None };
        Ok(())
    }
}

fn big(bytes: &[u8]) -> Option<i64> {
    Some(i64::from_be_bytes(bytes.try_into().ok()?))
}

/// A row of the table, in binary.
fn record(columns: &[Option<&[u8]>]) -> Result<Row, Fault> {
    let [
        Some(key),
        Some(holder),
        Some(fingerprint),
        Some(ran),
        Some(until),
        Some(stamp),
        Some(state),
        result,
    ] = columns
    else {
        return fault("a row of another form");
    };
    let number = |b: &[u8]| Some(u128::from_be_bytes(b.try_into().ok()?));
    let time = |b: &[u8]| big(b).map(|n| n as u64);
    let row = || {
        let code = i16::from_be_bytes((*state).try_into().ok()?);
        Some(Row {
            key: String::from_utf8(key.to_vec()).ok()?,
            holder: number(holder)?,
            fingerprint: number(fingerprint)?,
            ran: time(ran)?,
            until: time(until)?,
            stamp: time(stamp)?,
            state: State::of(code.into(), result.map(<[u8]>::to_vec))?,
        })
    };
    row().ok_or_else(|| Fault("a row of another form".to_string()))
}
