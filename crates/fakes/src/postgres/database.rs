//! What the server stores, and the faults of its next transactions.

use super::Fault;
use gaugestand_idempotency::postgres::sql;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::TcpStream;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A parameter of a statement, in binary form; nothing for NULL.
pub(super) type Param = Option<Vec<u8>>;

/// State of a row whose run has begun and has no result yet.
const INTENT: i16 = 0;

/// A row of the table of keys, in the order of its columns after node and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The attempt that runs it: 16 bytes.
    pub holder: Vec<u8>,
    /// Fingerprint of the body: 16 bytes (column `print`).
    pub fingerprint: Vec<u8>,
    /// Ingress of that attempt, in microseconds of Unix time (column `ran`).
    pub ingress: i64,
    /// End of its window, in microseconds of Unix time (column `until`).
    pub expires: i64,
    /// Order among writes (column `stamp`).
    pub sequence: i64,
    /// 0 intent, 1 completed, 2 failed.
    pub state: i16,
    /// Of a completed one.
    pub result: Option<Vec<u8>>,
}

impl StoredRow {
    /// From the parameters of a put.
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

    fn replaces(&self, old: &StoredRow) -> bool {
        self.sequence > old.sequence || self.sequence == old.sequence && old.state == INTENT
    }

    /// The columns of a select, with the key before them.
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

/// A prepared statement with its bound parameters.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) query: String,
    pub(super) params: Vec<Param>,
}

impl Call {
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
    /// The tables were created.
    pub(super) has_tables: bool,
    /// What the schema table reports as its version.
    pub(super) version: i32,
    /// By node.
    pub(super) epochs: BTreeMap<String, i64>,
    /// By node and key.
    pub(super) rows: BTreeMap<(String, String), StoredRow>,
    /// Faults of the next transactions that write, one each.
    pub(super) faults: VecDeque<Fault>,
    /// Every transaction that writes fails with this code while it is set.
    pub(super) failing: Option<&'static str>,
    /// Replies go out a byte at a time.
    pub(super) sends_single_bytes: bool,
    /// How long a commit takes.
    pub(super) commit_time: Duration,
    /// Number of transactions that wrote and were committed.
    pub(super) commits: u64,
    /// Number of releases.
    pub(super) released: u64,
    /// Number of transactions that stall now.
    pub(super) stalled: u64,
    /// The client whose transaction has the row of a node locked, by node.
    pub(super) locks: HashMap<String, u64>,
    /// Number of clients so far.
    pub(super) clients: u64,
    pub(super) connections: Vec<TcpStream>,
    /// Number of restarts: connections of an earlier run are closed.
    pub(super) run: u64,
    pub(super) logins: u64,
    pub(super) rejected_logins: u64,
}

impl Database {
    /// Executes a write of a transaction that commits.
    pub(super) fn apply(&mut self, call: &Call) {
        let key = (call.text(0), call.text(1));
        match call.query.as_str() {
            sql::PUT => {
                let row = StoredRow::from_params(&call.params);
                if self.rows.get(&key).is_none_or(|old| row.replaces(old)) {
                    self.rows.insert(key, row);
                }
            }
            sql::REMOVE if self.rows.get(&key).is_some_and(|old| old.sequence <= call.int(2)) => {
                self.rows.remove(&key);
            }
            sql::PRUNE => {
                let now = call.int(1);
                self.rows.retain(|(node, _), row| *node != key.0 || row.expires > now);
            }
            _ => {}
        }
    }
}

/// What all threads of the server share.
pub(super) struct Shared {
    pub(super) database: Mutex<Database>,
    /// Notified when anything in the database may have changed.
    pub(super) changed: Condvar,
    pub(super) password: Vec<u8>,
}

impl Shared {
    pub(super) fn database(&self) -> MutexGuard<'_, Database> {
        self.database.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change.
    pub(super) fn wait<'a>(&self, database: MutexGuard<'a, Database>) -> MutexGuard<'a, Database> {
        self.changed.wait(database).unwrap_or_else(PoisonError::into_inner)
    }
}
