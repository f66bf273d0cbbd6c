//! A PostgreSQL server as far as the store of record needs one: protocol 3.0 with SCRAM-SHA-256 (RFC 5802, 7677),
//! prepared statements and one transaction up to each Sync. It knows the store's own statements by their text.
//!
//! What it has acknowledged it keeps, over its own restarts too; what it has not may be kept or lost, as its
//! script says. Faults wait for a test's word, not for time to pass; only a bench has commits take time.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gaugestand_idempotency::postgres::sql;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

const ROUNDS: u32 = 4096;
const SALT: &[u8] = b"gaugestand-salt!";
/// Longest message of a client.
const MOST: usize = 1 << 20;

/// What goes wrong with a transaction that writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It stands still before the commit, until [`Postgres::release`].
    StallBefore,
    /// It commits and says so only after [`Postgres::release`].
    StallAfter,
    /// The connection breaks before the commit.
    BreakBefore,
    /// It commits, and the connection breaks before the reply.
    BreakAfter,
    /// It fails with this code.
    Error(&'static str),
    /// It commits, and the reply is garbage.
    Garbage,
}

/// A row: holder, print, ran, until, stamp, state, result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept {
    /// What runs it: 16 bytes.
    pub holder: Vec<u8>,
    /// Fingerprint: 16 bytes.
    pub fingerprint: Vec<u8>,
    /// Microseconds of Unix time.
    pub ran: i64,
    /// Microseconds of Unix time.
    pub until: i64,
    /// Order among writes.
    pub stamp: i64,
    /// 0 intent, 1 good, 2 failed.
    pub state: i16,
    /// Of a good one.
    pub result: Option<Vec<u8>>,
}

#[derive(Default)]
struct Db {
    /// The tables were made.
    made: bool,
    version: i32,
    epochs: BTreeMap<String, i64>,
    rows: BTreeMap<(String, String), Kept>,
    faults: VecDeque<Fault>,
    /// Every transaction that writes fails with this while it is set.
    failing: Option<&'static str>,
    /// Replies go out a byte at a time.
    pieces: bool,
    /// What a commit takes, as a disk would make it.
    commit_time: Duration,
    commits: u64,
    /// Counts releases.
    released: u64,
    stalled: u64,
    /// Who has the row of a node locked: the transaction of which client.
    locks: HashMap<String, u64>,
    clients: u64,
    connections: Vec<TcpStream>,
    /// Counts restarts: a connection of an earlier run does nothing more.
    run: u64,
    logins: u64,
    refused_logins: u64,
}

struct Shared {
    db: Mutex<Db>,
    changed: Condvar,
    password: Vec<u8>,
}

impl Shared {
    fn db(&self) -> MutexGuard<'_, Db> {
        self.db.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, db: MutexGuard<'a, Db>) -> MutexGuard<'a, Db> {
        self.changed.wait(db).unwrap_or_else(PoisonError::into_inner)
    }
}

/// The server.
pub struct Postgres {
    shared: Arc<Shared>,
    address: SocketAddr,
    listener: Option<TcpListener>,
}

impl Postgres {
    /// A server with no tables yet, which asks everybody for this password.
    pub fn start(password: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let db = Db { version: gaugestand_idempotency::postgres::SCHEMA_VERSION, ..Db::default() };
        let shared = Shared { db: Mutex::new(db), changed: Condvar::new(), password: password.into() };
        let mut server = Postgres { shared: Arc::new(shared), address, listener: None };
        server.serve(listener)?;
        Ok(server)
    }

    fn serve(&mut self, listener: TcpListener) -> io::Result<()> {
        self.listener = Some(listener.try_clone()?);
        let shared = self.shared.clone();
        let run = shared.db().run;
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let mut db = shared.db();
                if db.run != run {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    db.connections.push(copy);
                }
                drop(db);
                let shared = shared.clone();
                thread::spawn(move || {
                    let mut client = Client::new(shared, stream, run);
                    // However it ends, the other side sees a connection that ends.
                    let _ = client.serve();
                    client.unlock();
                    let _ = client.stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(())
    }

    /// Where it listens, also after a restart.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends all connections and listens no more; what was not committed is lost.
    pub fn stop(&mut self) {
        let mut db = self.shared.db();
        db.run += 1;
        for c in db.connections.drain(..) {
            let _ = c.shutdown(Shutdown::Both);
        }
        drop(db);
        self.shared.changed.notify_all();
        if self.listener.take().is_some() {
            // Wakes the thread that accepts, so that it ends and lets go of the port.
            let _ = TcpStream::connect(self.address);
        }
    }

    /// Listens again at the same address, with all that it has acknowledged.
    pub fn resume(&mut self) -> io::Result<()> {
        // The thread that accepts may need a moment to let go of the port.
        let listener = (0..1_000).find_map(|_| {
            thread::yield_now();
            TcpListener::bind(self.address).ok().or_else(|| {
                thread::sleep(Duration::from_millis(1));
                None
            })
        });
        self.serve(listener.ok_or(io::ErrorKind::AddrInUse)?)
    }

    /// What goes wrong with the next transactions that write, one each.
    pub fn faults(&self, faults: &[Fault]) {
        self.shared.db().faults.extend(faults);
    }

    /// All transactions that write fail with this code, until it is taken back.
    pub fn failing(&self, code: Option<&'static str>) {
        self.shared.db().failing = code;
    }

    /// Replies go out in pieces of one byte.
    pub fn pieces(&self, pieces: bool) {
        self.shared.db().pieces = pieces;
    }

    /// What each commit takes from now on, as a disk would make it.
    pub fn commit_time(&self, time: Duration) {
        self.shared.db().commit_time = time;
    }

    /// The version that its tables are said to have.
    pub fn set_version(&self, version: i32) {
        let mut db = self.shared.db();
        (db.version, db.made) = (version, true);
    }

    /// Waits until a transaction stands still.
    pub fn await_stall(&self) {
        let mut db = self.shared.db();
        while db.stalled == 0 {
            db = self.shared.wait(db);
        }
    }

    /// Lets go of what stands still.
    pub fn release(&self) {
        self.shared.db().released += 1;
        self.shared.changed.notify_all();
    }

    /// Waits until this holds of the row of a key.
    pub fn await_row(&self, node: &str, key: &str, holds: impl Fn(Option<&Kept>) -> bool) {
        let mut db = self.shared.db();
        while !holds(db.rows.get(&(node.to_string(), key.to_string()))) {
            db = self.shared.wait(db);
        }
    }

    /// The row of a key.
    pub fn row(&self, node: &str, key: &str) -> Option<Kept> {
        self.shared.db().rows.get(&(node.to_string(), key.to_string())).cloned()
    }

    /// How many rows there are.
    pub fn rows(&self) -> usize {
        self.shared.db().rows.len()
    }

    /// Transactions that wrote and were committed.
    pub fn commits(&self) -> u64 {
        self.shared.db().commits
    }

    /// Logins that were good, and that were not.
    pub fn logins(&self) -> (u64, u64) {
        let db = self.shared.db();
        (db.logins, db.refused_logins)
    }
}

impl Drop for Postgres {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A statement with its parameters, bound and to be carried out.
type Call = (String, Vec<Option<Vec<u8>>>);

struct Client {
    id: u64,
    shared: Arc<Shared>,
    stream: TcpStream,
    run: u64,
    prepared: HashMap<String, String>,
    bound: Option<Call>,
    /// Writes of the transaction that is open.
    writes: Vec<Call>,
    /// An error came: all is skipped up to Sync.
    failed: bool,
    output: Vec<u8>,
}

fn broken<T>() -> io::Result<T> {
    Err(io::ErrorKind::ConnectionReset.into())
}

fn hmac(key: &[u8], parts: &[&[u8]]) -> io::Result<Vec<u8>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(io::Error::other)?;
    parts.iter().for_each(|p| mac.update(p));
    Ok(mac.finalize().into_bytes().to_vec())
}

/// The strings of a message, each with a zero at its end.
fn strings(body: &[u8]) -> Vec<String> {
    let mut all: Vec<String> =
        body.split(|b| *b == 0).map(|s| String::from_utf8_lossy(s).into_owned()).collect();
    all.pop();
    all
}

fn int(param: &Option<Vec<u8>>) -> i64 {
    match param.as_deref() {
        Some(b) if b.len() == 8 => i64::from_be_bytes(b.try_into().unwrap_or_default()),
        Some(b) if b.len() == 2 => i16::from_be_bytes(b.try_into().unwrap_or_default()).into(),
        _ => 0,
    }
}

fn text(param: &Option<Vec<u8>>) -> String {
    String::from_utf8_lossy(param.as_deref().unwrap_or_default()).into_owned()
}

impl Client {
    fn new(shared: Arc<Shared>, stream: TcpStream, run: u64) -> Self {
        let (prepared, writes, output) = (HashMap::new(), Vec::new(), Vec::new());
        let mut db = shared.db();
        db.clients += 1;
        let id = db.clients;
        drop(db);
        Client { id, shared, stream, run, prepared, bound: None, writes, failed: false, output }
    }

    /// Waits until no other transaction has the row of this node locked, as an update of it would.
    fn lock<'a>(&self, mut db: MutexGuard<'a, Db>, node: &str) -> io::Result<MutexGuard<'a, Db>> {
        while db.run == self.run && db.locks.get(node).is_some_and(|id| *id != self.id) {
            db = self.shared.changed.wait(db).unwrap_or_else(PoisonError::into_inner);
        }
        if db.run == self.run { Ok(db) } else { broken() }
    }

    /// The transaction is over, whichever way.
    fn unlock(&self) {
        self.shared.db().locks.retain(|_, id| *id != self.id);
        self.shared.changed.notify_all();
    }

    /// Queues a message.
    fn say(&mut self, tag: u8, body: &[u8]) {
        self.output.push(tag);
        self.output.extend((body.len() as u32 + 4).to_be_bytes());
        self.output.extend(body);
    }

    fn flush(&mut self) -> io::Result<()> {
        let pieces = self.shared.db().pieces;
        let output = std::mem::take(&mut self.output);
        let size = if pieces { 1 } else { output.len().max(1) };
        output.chunks(size).try_for_each(|c| self.stream.write_all(c))
    }

    fn error(&mut self, code: &str, text: &str) {
        let body = format!("SERROR\0VERROR\0C{code}\0M{text}\0\0");
        self.say(b'E', body.as_bytes());
    }

    fn ready(&mut self) -> io::Result<()> {
        self.say(b'Z', b"I");
        self.flush()
    }

    fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        Ok((head[0], self.body([head[1], head[2], head[3], head[4]])?))
    }

    fn body(&mut self, len: [u8; 4]) -> io::Result<Vec<u8>> {
        let len = (u32::from_be_bytes(len) as usize).saturating_sub(4);
        if len > MOST {
            return broken();
        }
        let mut body = vec![0; len];
        self.stream.read_exact(&mut body)?;
        Ok(body)
    }

    fn serve(&mut self) -> io::Result<()> {
        let mut len = [0; 4];
        self.stream.read_exact(&mut len)?;
        let startup = self.body(len)?;
        // Protocol 3.0.
        if startup.get(..4) != Some(&[0, 3, 0, 0][..]) {
            return broken();
        }
        self.login()?;
        self.say(b'S', b"server_version\x0015.0 (stand-in)\0");
        self.say(b'K', &[0; 8]);
        self.ready()?;
        loop {
            let (tag, body) = self.message()?;
            match tag {
                b'Q' => self.query(&body)?,
                b'P' if !self.failed => {
                    let s = strings(&body);
                    let [name, query, ..] = &s[..] else { return broken() };
                    self.prepared.insert(name.clone(), query.clone());
                    self.say(b'1', &[]);
                }
                b'B' if !self.failed => self.bind(&body)?,
                b'E' if !self.failed => self.execute()?,
                b'S' => self.sync()?,
                b'X' => return Ok(()),
                _ => {}
            }
        }
    }

    /// The server's side of RFC 5802, without channel binding.
    fn login(&mut self) -> io::Result<()> {
        self.say(b'R', b"\x00\x00\x00\x0aSCRAM-SHA-256\0\0");
        self.flush()?;
        let (_, first) = self.message()?;
        let bare = first.windows(3).position(|w| w == b"n,,").map(|at| first[at + 3..].to_vec());
        let Some(bare) = bare else { return broken() };
        let nonce = bare.windows(3).position(|w| w == b",r=").map(|at| &bare[at + 3..]).unwrap_or_default();
        let nonce = format!("{}standin", String::from_utf8_lossy(nonce));
        let server_first = format!("r={nonce},s={},i={ROUNDS}", STANDARD.encode(SALT));
        self.say(b'R', &[&[0, 0, 0, 11], server_first.as_bytes()].concat());
        self.flush()?;
        let (_, last) = self.message()?;
        let at = last.windows(3).position(|w| w == b",p=").unwrap_or(last.len());
        let (without, proof) = (last[..at].to_vec(), last.get(at + 3..).unwrap_or_default());
        let proof = STANDARD.decode(proof).unwrap_or_default();
        let mut salted = [0; 32];
        pbkdf2::pbkdf2_hmac::<Sha256>(&self.shared.password, SALT, ROUNDS, &mut salted);
        let client_key = hmac(&salted, &[b"Client Key"])?;
        let stored = Sha256::digest(&client_key);
        let signed: Vec<u8> = [&bare, server_first.as_bytes(), &without].join(&b","[..]);
        let signature = hmac(&stored, &[&signed])?;
        let key: Vec<u8> = proof.iter().zip(&signature).map(|(a, b)| a ^ b).collect();
        if key != client_key {
            self.shared.db().refused_logins += 1;
            self.error("28P01", "password authentication failed");
            self.flush()?;
            return broken();
        }
        self.shared.db().logins += 1;
        let server = hmac(&hmac(&salted, &[b"Server Key"])?, &[&signed])?;
        let server = format!("v={}", STANDARD.encode(server));
        self.say(b'R', &[&[0, 0, 0, 12], server.as_bytes()].concat());
        self.say(b'R', &[0, 0, 0, 0]);
        Ok(())
    }

    fn query(&mut self, body: &[u8]) -> io::Result<()> {
        let (made, version) = {
            let db = self.shared.db();
            (db.made, db.version)
        };
        match strings(body).first().map(String::as_str) {
            Some(sql::READ_VERSION) if made => {
                self.data(&[Some(version.to_string().into_bytes())]);
                self.say(b'C', b"SELECT 1\0");
            }
            Some(sql::READ_VERSION) => self.error("42P01", "relation \"gaugestand_schema\" does not exist"),
            Some(sql::CREATE_TABLES) => {
                self.shared.db().made = true;
                self.data(&[Some(Vec::new())]);
                for tag in [&b"SELECT 1\0"[..], b"CREATE TABLE\0", b"INSERT 0 1\0", b"CREATE TABLE\0"] {
                    self.say(b'C', tag);
                }
                self.say(b'C', b"CREATE TABLE\0");
            }
            _ => self.error("42601", "syntax error"),
        }
        self.ready()
    }

    fn data(&mut self, columns: &[Option<Vec<u8>>]) {
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
        self.say(b'D', &body);
    }

    fn bind(&mut self, body: &[u8]) -> io::Result<()> {
        let mut at = 0;
        let mut string = || {
            let end = body.get(at..)?.iter().position(|b| *b == 0)? + at;
            let s = String::from_utf8_lossy(&body[at..end]).into_owned();
            at = end + 1;
            Some(s)
        };
        let (Some(_), Some(statement)) = (string(), string()) else { return broken() };
        let mut rest = &body[at..];
        let mut number = |n: usize| -> io::Result<i64> {
            let (head, tail) = rest.split_at_checked(n).ok_or(io::ErrorKind::InvalidData)?;
            rest = tail;
            Ok(head.iter().fold(0i64, |x, b| x << 8 | i64::from(*b)))
        };
        let formats = number(2)?;
        for _ in 0..formats {
            number(2)?;
        }
        let count = number(2)?;
        let mut params = Vec::new();
        for _ in 0..count {
            let (len, tail) = rest.split_at_checked(4).ok_or(io::ErrorKind::InvalidData)?;
            let len = i32::from_be_bytes(len.try_into().unwrap_or_default());
            rest = tail;
            params.push(match usize::try_from(len) {
                Ok(len) => {
                    let (value, tail) = rest.split_at_checked(len).ok_or(io::ErrorKind::InvalidData)?;
                    rest = tail;
                    Some(value.to_vec())
                }
                Err(_) => None,
            });
        }
        let Some(query) = self.prepared.get(&statement).cloned() else { return broken() };
        self.bound = Some((query, params));
        self.say(b'2', &[]);
        Ok(())
    }

    fn execute(&mut self) -> io::Result<()> {
        let Some((query, params)) = self.bound.clone() else { return broken() };
        let null = None;
        let param = |i: usize| params.get(i).unwrap_or(&null);
        let columns = |key: &str, k: &Kept| {
            let big = |n: i64| Some(n.to_be_bytes().to_vec());
            let state = Some(k.state.to_be_bytes().to_vec());
            let (holder, fingerprint) = (Some(k.holder.clone()), Some(k.fingerprint.clone()));
            let key = Some(key.as_bytes().to_vec());
            vec![key, holder, fingerprint, big(k.ran), big(k.until), big(k.stamp), state, k.result.clone()]
        };
        let shared = self.shared.clone();
        let mut db = shared.db();
        if db.run != self.run {
            return broken();
        }
        match query.as_str() {
            sql::TAKE_NAME => {
                db = self.lock(db, &text(param(0)))?;
                let epoch = db.epochs.entry(text(param(0))).or_insert(0);
                *epoch += 1;
                let epoch = epoch.to_be_bytes().to_vec();
                self.data(&[Some(epoch)]);
                self.say(b'C', b"INSERT 0 1\0");
            }
            sql::LOAD_PAGE => {
                let (node, last, most) = (text(param(0)), text(param(1)), int(param(2)) as usize);
                let from = (Excluded((node.clone(), last)), Unbounded);
                let rows = db.rows.range(from).take_while(|((n, _), _)| *n == node).take(most);
                let rows: Vec<_> = rows.map(|((_, k), row)| columns(k, row)).collect();
                rows.iter().for_each(|r| self.data(r));
                self.say(b'C', format!("SELECT {}\0", rows.len()).as_bytes());
            }
            sql::LOOKUP => {
                let key = (text(param(0)), text(param(1)));
                let row = db.rows.get(&key).map(|row| columns(&key.1, row));
                row.iter().for_each(|r| self.data(r));
                self.say(b'C', b"SELECT 1\0");
            }
            sql::FENCE => {
                db = self.lock(db, &text(param(0)))?;
                if db.epochs.get(&text(param(0))) != Some(&int(param(1))) {
                    self.error("22012", "division by zero");
                    self.failed = true;
                    return Ok(());
                }
                db.locks.insert(text(param(0)), self.id);
                self.writes.push((query, params));
                self.say(b'C', b"UPDATE 1\0");
            }
            sql::PUT | sql::REMOVE | sql::PRUNE => {
                let tag: &[u8] = if query == sql::PUT { b"INSERT 0 1\0" } else { b"DELETE 1\0" };
                self.writes.push((query, params));
                self.say(b'C', tag);
            }
            _ => {
                self.error("42601", "syntax error");
                self.failed = true;
            }
        }
        Ok(())
    }

    /// Ends the transaction: all of it or nothing.
    fn sync(&mut self) -> io::Result<()> {
        let writes = std::mem::take(&mut self.writes);
        let done = match std::mem::take(&mut self.failed) || writes.is_empty() {
            true => Ok(()),
            false => self.commit(&writes),
        };
        self.unlock();
        done?;
        self.ready()
    }

    fn commit(&mut self, writes: &[Call]) -> io::Result<()> {
        let shared = self.shared.clone();
        let mut db = shared.db();
        let failing = db.failing.map(Fault::Error);
        let fault = failing.or_else(|| db.faults.pop_front()).unwrap_or(Fault::None);
        if fault == Fault::StallBefore {
            db = self.stall(db)?;
        }
        match fault {
            Fault::BreakBefore => return broken(),
            Fault::Error(code) => {
                self.output.clear();
                self.error(code, "as the script says");
                return Ok(());
            }
            _ => {}
        }
        if db.commit_time > Duration::ZERO {
            let time = db.commit_time;
            drop(db);
            thread::sleep(time);
            db = shared.db();
        }
        writes.iter().for_each(|w| apply(&mut db, w));
        db.commits += 1;
        shared.changed.notify_all();
        if fault == Fault::StallAfter {
            db = self.stall(db)?;
        }
        drop(db);
        match fault {
            Fault::BreakAfter => return broken(),
            Fault::Garbage => {
                self.output = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
                self.flush()?;
                return broken();
            }
            _ => {}
        }
        Ok(())
    }

    /// Stands still until it is released; a restart meanwhile loses what is not committed.
    fn stall<'a>(&self, mut db: MutexGuard<'a, Db>) -> io::Result<MutexGuard<'a, Db>> {
        let released = db.released;
        db.stalled += 1;
        self.shared.changed.notify_all();
        while db.released == released && db.run == self.run {
            db = self.shared.changed.wait(db).unwrap_or_else(PoisonError::into_inner);
        }
        db.stalled -= 1;
        if db.run == self.run { Ok(db) } else { broken() }
    }
}

fn apply(db: &mut Db, (query, params): &Call) {
    let null = None;
    let param = |i: usize| params.get(i).unwrap_or(&null);
    let key = (text(param(0)), text(param(1)));
    match query.as_str() {
        sql::PUT => {
            let bytes = |i: usize| param(i).clone().unwrap_or_default();
            let row = Kept {
                holder: bytes(2),
                fingerprint: bytes(3),
                ran: int(param(4)),
                until: int(param(5)),
                stamp: int(param(6)),
                state: int(param(7)) as i16,
                result: param(8).clone(),
            };
            let replaces = |old: &Kept| row.stamp > old.stamp || row.stamp == old.stamp && old.state == 0;
            if db.rows.get(&key).is_none_or(replaces) {
                db.rows.insert(key, row);
            }
        }
        sql::REMOVE if db.rows.get(&key).is_some_and(|old| old.stamp <= int(param(2))) => {
            db.rows.remove(&key);
        }
        sql::PRUNE => {
            let now = int(param(1));
            db.rows.retain(|(node, _), row| *node != key.0 || row.until > now);
        }
        _ => {}
    }
}
