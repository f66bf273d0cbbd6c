//! The data of the fake server, the faults of its next transactions, and its counters.

use super::Fault;
use gaugestand_idempotency::postgres::sql;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::TcpStream;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A parameter of a statement or a column of a row, in binary form; `None` for NULL.
pub(super) type Param = Option<Vec<u8>>;

/// Value of the state column of an intent: the run has started and has no result yet.
const INTENT: i16 = 0;

/// A row of the table of idempotency keys, without the columns node and key. The fields are in the order of
/// the columns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Id of the attempt whose run holds the key, 16 bytes.
    pub holder: Vec<u8>,
    /// Fingerprint of the request body, 16 bytes (column `print`).
    pub fingerprint: Vec<u8>,
    /// Ingress time of the holder, in microseconds of Unix time (column `ran`).
    pub ingress: i64,
    /// End of the key's deduplication window, in microseconds of Unix time (column `until`).
    pub expires: i64,
    /// Sequence number of the write of this row: a later write has a higher number (column `stamp`).
    pub sequence: i64,
    /// State of the run: 0 is an intent, 1 completed, 2 failed.
    pub state: i16,
    /// Result of the run, if the run has completed.
    pub result: Option<Vec<u8>>,
}

impl StoredRow {
    /// Reads a row from the parameters of a PUT statement.
    fn from_params(params: &[Param]) -> Self {
        let bytes = |index: usize| param(params, index).clone().unwrap_or_default();
        StoredRow {
            holder: bytes(2),
            fingerprint: bytes(3),
            ingress: int(param(params, 4)),
            expires: int(param(params, 5)),
            sequence: int(param(params, 6)),
            state: int(param(params, 7)) as i16,
            result: param(params, 8).clone(),
        }
    }

    /// Whether this row replaces `old` in a PUT: its sequence number is higher, or it is equal and `old` is
    /// an intent.
    fn replaces(&self, old: &StoredRow) -> bool {
        self.sequence > old.sequence || self.sequence == old.sequence && old.state == INTENT
    }

    /// Columns that a SELECT returns for this row: the key, then the fields of the row.
    pub(super) fn columns(&self, key: &str) -> Vec<Param> {
        vec![
            Some(key.as_bytes().to_vec()),
            Some(self.holder.clone()),
            Some(self.fingerprint.clone()),
            Some(self.ingress.to_be_bytes().to_vec()),
            Some(self.expires.to_be_bytes().to_vec()),
            Some(self.sequence.to_be_bytes().to_vec()),
            Some(self.state.to_be_bytes().to_vec()),
            self.result.clone(),
        ]
    }
}

/// A prepared statement with the parameters bound to it.
#[derive(Clone)]
pub(super) struct BoundStatement {
    pub(super) query: String,
    pub(super) params: Vec<Param>,
}

impl BoundStatement {
    pub(super) fn param(&self, index: usize) -> &Param {
        param(&self.params, index)
    }

    pub(super) fn text(&self, index: usize) -> String {
        String::from_utf8_lossy(self.param(index).as_deref().unwrap_or_default()).into_owned()
    }

    pub(super) fn int(&self, index: usize) -> i64 {
        int(self.param(index))
    }
}

fn param(params: &[Param], index: usize) -> &Param {
    params.get(index).unwrap_or(&None)
}

fn int(param: &Param) -> i64 {
    match param.as_deref() {
        Some(bytes) if bytes.len() == 8 => i64::from_be_bytes(bytes.try_into().unwrap_or_default()),
        Some(bytes) if bytes.len() == 2 => i16::from_be_bytes(bytes.try_into().unwrap_or_default()).into(),
        _ => 0,
    }
}

#[derive(Default)]
pub(super) struct Database {
    /// Whether the tables exist.
    pub(super) has_tables: bool,
    /// Version that the schema table reports.
    pub(super) version: i32,
    /// Epoch of each node, by node name.
    pub(super) epochs: BTreeMap<String, i64>,
    /// Rows of the table of idempotency keys, by node name and key.
    pub(super) rows: BTreeMap<(String, String), StoredRow>,
    /// Faults of the next transactions that write, one for each transaction.
    pub(super) faults: VecDeque<Fault>,
    /// SQLSTATE code with which every transaction that writes fails; `None` if they do not fail.
    pub(super) forced_error: Option<&'static str>,
    /// Whether replies are written to the socket one byte at a time.
    pub(super) sends_single_bytes: bool,
    /// How long a commit takes.
    pub(super) commit_time: Duration,
    /// Number of transactions that wrote and were committed.
    pub(super) commits: u64,
    /// Number of times that the test has released stalled transactions.
    pub(super) released: u64,
    /// Number of transactions that are stalled at the moment.
    pub(super) stalled: u64,
    /// Id of the client whose transaction holds the lock on a node's epoch row, by node name.
    pub(super) locks: HashMap<String, u64>,
    /// Number of clients that have connected so far; the next client gets the next number as its id.
    pub(super) clients: u64,
    /// Handles of the open connections, with which a stop of the server closes them.
    pub(super) connections: Vec<TcpStream>,
    /// Number of times that the server was stopped; clients that connected before the latest stop are
    /// disconnected.
    pub(super) stops: u64,
    pub(super) logins: u64,
    pub(super) rejected_logins: u64,
}

impl Database {
    /// Executes one write of a transaction that commits.
    pub(super) fn apply(&mut self, statement: &BoundStatement) {
        let key = (statement.text(0), statement.text(1));
        match statement.query.as_str() {
            sql::PUT => {
                let row = StoredRow::from_params(&statement.params);
                if self.rows.get(&key).is_none_or(|old| row.replaces(old)) {
                    self.rows.insert(key, row);
                }
            }
            sql::REMOVE if self.rows.get(&key).is_some_and(|old| old.sequence <= statement.int(2)) => {
                self.rows.remove(&key);
            }
            sql::PRUNE => {
                let now = statement.int(1);
                self.rows.retain(|(node, _), row| *node != key.0 || row.expires > now);
            }
            _ => {}
        }
    }
}

/// State that all threads of the server share.
pub(super) struct Shared {
    pub(super) database: Mutex<Database>,
    /// Notified whenever the database may have changed.
    pub(super) changed: Condvar,
    pub(super) password: Vec<u8>,
}

impl Shared {
    pub(super) fn database(&self) -> MutexGuard<'_, Database> {
        self.database.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the database may have changed; releases the lock on the database meanwhile.
    pub(super) fn wait<'a>(&self, database: MutexGuard<'a, Database>) -> MutexGuard<'a, Database> {
        self.changed.wait(database).unwrap_or_else(PoisonError::into_inner)
    }
}
