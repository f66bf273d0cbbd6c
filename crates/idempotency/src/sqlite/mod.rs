//! The SQLite backend: the rows of one node in one file, with each batch as one transaction.
//!
//! A file is changed only by the process that holds its lock file, and only after a check found that the file
//! is an intact store of a version that this program supports. Any fault is reported in one line, and the
//! file is then neither altered nor deleted. Each call blocks for as long as the disk takes, so it belongs on
//! the thread of a [`crate::worker`].

pub(crate) mod file;
mod transaction;

pub use file::Options;
pub(crate) use transaction::transaction;

use crate::error::OpenError;
use crate::row::{Cause, Outcome, Recovery, Row, RowState, Work, Write};
use file::{Checksum, FileFormat, checksum_of};
use gaugestand_admission::time::UnixTime;
use rusqlite::{Connection, OptionalExtension, params};
use std::fs::File;
use std::path::Path;
use transaction::cause;

/// Name of this kind of file in messages to operators.
pub const KIND: &str = "idempotency store";

/// Format of the store's file; its application id is "gstd" in ASCII.
const STORE_FORMAT: FileFormat = FileFormat {
    kind: KIND,
    application_id: 0x6773_7464,
    migrations: &["
    CREATE TABLE life(one INTEGER PRIMARY KEY CHECK(one = 1), epoch INTEGER NOT NULL, beat INTEGER NOT NULL) STRICT;
    INSERT INTO life VALUES(1, 0, 0);
    CREATE TABLE record(
        key TEXT PRIMARY KEY,
        holder BLOB NOT NULL CHECK(length(holder) = 16),
        print BLOB NOT NULL CHECK(length(print) = 16),
        ran INTEGER NOT NULL,
        until INTEGER NOT NULL,
        stamp INTEGER NOT NULL,
        state INTEGER NOT NULL CHECK(state BETWEEN 0 AND 2),
        result BLOB,
        sum BLOB NOT NULL,
        CHECK((state = 1) = (result IS NOT NULL))
    ) STRICT;
    PRAGMA application_id = 0x67737464;
"],
};

const SELECT_ROWS: &str = "SELECT key, holder, print, ran, until, stamp, state, result, sum FROM record";
const PUT_ROW: &str = "INSERT INTO record(key, holder, print, ran, until, stamp, state, result, sum)
    VALUES(?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8, ?9)
    ON CONFLICT(key) DO UPDATE SET holder = excluded.holder, print = excluded.print,
        ran = excluded.ran, until = excluded.until, stamp = excluded.stamp,
        state = excluded.state, result = excluded.result, sum = excluded.sum
    WHERE excluded.stamp > record.stamp
        OR excluded.stamp = record.stamp AND record.state = 0";
const REMOVE_ROW: &str = "DELETE FROM record WHERE key = ?1 AND stamp <= ?2";
const PROBE: &str = "UPDATE life SET beat = beat + 1";
const PRUNE: &str = "DELETE FROM record WHERE until <= ?1";

/// An idempotency store whose file this process has locked.
#[derive(Debug)]
pub struct Sqlite {
    connection: Connection,
    /// Holds the lock that keeps other processes from opening the store.
    _lock: File,
    epoch: u64,
}

/// Opens a store read-only; a node may use the store at the same time.
///
/// # Errors
/// [`OpenError::Path`] if there is no such file, [`OpenError::Foreign`] or [`OpenError::Newer`] if it is not
/// a store that this version can read, or what SQLite reports.
pub fn open_read_only(path: &Path) -> Result<Connection, OpenError> {
    file::open_read_only(&STORE_FORMAT, path)
}

/// Checks the integrity of a whole store.
///
/// # Errors
/// [`OpenError::Damaged`] if the integrity check finds a fault; otherwise the store cannot be opened, as in
/// [`open_read_only`].
pub fn check(path: &Path) -> Result<(), OpenError> {
    file::check_integrity(&STORE_FORMAT, path, &open_read_only(path)?)
}

/// Passes all rows to `visit`, one at a time.
///
/// # Errors
/// The database cannot be read, or a row has values that the schema does not allow. Rows before it have been
/// passed to `visit` already.
pub fn for_each_row(connection: &Connection, mut visit: impl FnMut(Row)) -> rusqlite::Result<()> {
    let mut statement = connection.prepare(SELECT_ROWS)?;
    let mut rows = statement.query([])?;
    while let Some(row) = rows.next()? {
        visit(decode_row(row)?);
    }
    Ok(())
}

impl Sqlite {
    /// Opens a store, creates it if there is none, and increments the number of incarnations that the store
    /// keeps for its node.
    ///
    /// # Errors
    /// [`OpenError::Owned`] if another process serves from the store, and [`OpenError::Damaged`],
    /// [`OpenError::Foreign`] or [`OpenError::Newer`] if it cannot be used. Any other error says that the
    /// file cannot be opened or written. The node must not serve without the keys in it.
    pub fn open(path: &Path, options: &Options) -> Result<Self, OpenError> {
        let (connection, lock) = file::open_exclusive(&STORE_FORMAT, path, options)?;
        let epoch: i64 = connection
            .query_row("UPDATE life SET epoch = epoch + 1 RETURNING epoch", [], |row| row.get(0))
            .map_err(|error| STORE_FORMAT.open_error(path, &error))?;
        file::disable_busy_wait(&STORE_FORMAT, path, &connection)?;
        Ok(Sqlite { connection, _lock: lock, epoch: epoch as u64 })
    }

    /// Reads the rows that earlier incarnations have left. If there are more than `max_rows`, it returns only
    /// their number.
    ///
    /// # Errors
    /// The rows cannot be read. Without them a retry could run a second time, so the node must not serve.
    pub fn recover(&self, path: &Path, max_rows: usize) -> Result<Recovery, OpenError> {
        let (rows, row_count) =
            self.read_rows(max_rows).map_err(|error| STORE_FORMAT.open_error(path, &error))?;
        Ok(Recovery { rows, row_count, epoch: self.epoch })
    }

    fn read_rows(&self, max_rows: usize) -> rusqlite::Result<(Vec<Row>, u64)> {
        let count: i64 = self.connection.query_row("SELECT count(*) FROM record", [], |row| row.get(0))?;
        let mut rows = Vec::new();
        if count as usize <= max_rows {
            rows.reserve_exact(count as usize);
            for_each_row(&self.connection, |row| rows.push(row))?;
        }
        Ok((rows, count as u64))
    }

    /// Commits writes or looks up rows; a log record is not accepted.
    pub fn execute(&mut self, work: &Work) -> Outcome {
        match work {
            Work::Commit(writes) => {
                transaction(&self.connection, || writes.iter().try_for_each(|write| self.apply(write)))
            }
            Work::Lookup(keys) => match self.lookup(keys) {
                Ok(rows) => Outcome::Rows(rows),
                Err(error) => Outcome::NotDone(cause(&error)),
            },
            // Log records belong to the consensus log, which is another file.
            Work::LogRecord(_) => Outcome::NotDone(Cause::Other),
        }
    }

    fn apply(&self, write: &Write) -> rusqlite::Result<()> {
        match write {
            Write::Put(row) => self.put(row),
            Write::Remove { key, sequence } => {
                self.connection.prepare_cached(REMOVE_ROW)?.execute(params![key, *sequence as i64])?;
                Ok(())
            }
            Write::Probe => {
                self.connection.prepare_cached(PROBE)?.execute([])?;
                Ok(())
            }
        }
    }

    fn put(&self, row: &Row) -> rusqlite::Result<()> {
        self.connection.prepare_cached(PUT_ROW)?.execute(params![
            row.key,
            row.holder.to_be_bytes().as_slice(),
            row.fingerprint.to_be_bytes().as_slice(),
            row.ingress.0 as i64,
            row.expires.0 as i64,
            row.sequence as i64,
            row.state.code(),
            row.state.result(),
            checksum(row).as_slice()
        ])?;
        Ok(())
    }

    fn lookup(&self, keys: &[String]) -> rusqlite::Result<Vec<Row>> {
        let mut statement = self.connection.prepare_cached(&format!("{SELECT_ROWS} WHERE key = ?1"))?;
        let mut rows = Vec::new();
        for key in keys {
            rows.extend(statement.query_row([key], decode_row).optional()?);
        }
        Ok(rows)
    }

    /// Removes rows whose window ended at or before `now`, and returns their number. No node uses the store
    /// at the same time, as this process holds the store's lock.
    ///
    /// # Errors
    /// SQLite cannot write, for example as the disk is full; no row was removed.
    pub fn prune(&self, now: UnixTime) -> rusqlite::Result<usize> {
        self.connection.execute(PRUNE, [now.0 as i64])
    }
}

/// Checksum of a row. A match shows that the row is unchanged: a damaged page can hold values that SQLite
/// finds nothing wrong with.
fn checksum(row: &Row) -> Checksum {
    let mut hasher = blake3::Hasher::new();
    hasher.update(row.key.as_bytes());
    hasher.update(&row.holder.to_be_bytes());
    hasher.update(&row.fingerprint.to_be_bytes());
    for number in [row.ingress.0, row.expires.0, row.sequence, row.state.code() as u64] {
        hasher.update(&number.to_be_bytes());
    }
    if let Some(result) = row.state.result() {
        hasher.update(result);
    }
    checksum_of(&hasher)
}

/// Decodes a row of [`SELECT_ROWS`]; fails if the row does not match its checksum.
fn decode_row(columns: &rusqlite::Row<'_>) -> rusqlite::Result<Row> {
    let number = |i: usize| columns.get::<_, [u8; 16]>(i).map(u128::from_be_bytes);
    let state = RowState::from_code(columns.get(6)?, columns.get(7)?)
        .ok_or(rusqlite::Error::IntegralValueOutOfRange(6, columns.get(6)?))?;
    let row = Row {
        key: columns.get(0)?,
        holder: number(1)?,
        fingerprint: number(2)?,
        ingress: UnixTime(columns.get::<_, i64>(3)? as u64),
        expires: UnixTime(columns.get::<_, i64>(4)? as u64),
        sequence: columns.get::<_, i64>(5)? as u64,
        state,
    };
    if columns.get::<_, Checksum>(8)? == checksum(&row) {
        return Ok(row);
    }
    let corrupt = rusqlite::ffi::Error::new(rusqlite::ffi::SQLITE_CORRUPT);
    let message = format!("the row of key {} does not match its checksum", row.key);
    Err(rusqlite::Error::SqliteFailure(corrupt, Some(message)))
}
