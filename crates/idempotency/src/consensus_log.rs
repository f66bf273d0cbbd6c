//! The consensus log of a cluster in one SQLite file. Each log record becomes durable as a whole, and the
//! next incarnation recovers what was written.
//!
//! A file belongs to one node of one cluster and stores the name of that owner. A file that belongs to
//! another node, is damaged or was made by a newer program is reported in one line, and nothing in it is
//! altered or deleted. This module knows nothing of consensus: all values are opaque bytes.

use crate::error::OpenError;
use crate::row::{Cause, Outcome, Work};
use crate::sqlite::file::{Checksum, FileFormat, checksum_of, disable_busy_wait, open_exclusive};
use crate::sqlite::{Options, transaction};
use gaugestand_admission::log_record::{LogRecord, RecoveredLog};
use rusqlite::{Connection, params};
use std::fs::File;
use std::path::Path;

/// Name of this kind of file in messages to operators.
pub const KIND: &str = "consensus log";

/// Format of a consensus log's file; its application id is "gsfl" in ASCII.
const LOG_FORMAT: FileFormat = FileFormat {
    kind: KIND,
    application_id: 0x6773_666c,
    migrations: &["
    CREATE TABLE life(one INTEGER PRIMARY KEY CHECK(one = 1), life INTEGER NOT NULL, owner TEXT NOT NULL) STRICT;
    INSERT INTO life VALUES(1, 0, '');
    CREATE TABLE cell(name TEXT PRIMARY KEY, value BLOB NOT NULL, sum BLOB NOT NULL) STRICT;
    CREATE TABLE entry(place INTEGER PRIMARY KEY, value BLOB NOT NULL, sum BLOB NOT NULL) STRICT;
    PRAGMA application_id = 0x6773666c;
"],
};

/// Name under which the table `cell` holds the hard state of consensus.
const HARD_STATE: &str = "state";
/// Name under which the table `cell` holds the snapshot.
const SNAPSHOT: &str = "base";

/// A consensus log whose file this process has locked.
#[derive(Debug)]
pub struct ConsensusLog {
    connection: Connection,
    /// Holds the lock that keeps other processes from opening the log.
    _lock: File,
}

/// A value as read from the file, the place of the value (the name of a cell or the index of an entry), and
/// the checksum that was written with the value.
struct Stored<K> {
    place: K,
    value: Vec<u8>,
    checksum: Checksum,
}

/// Name of a value that does not match its checksum.
struct DamagedValue(String);

/// Checksum of a value and of the value's place. A match shows that the value is unchanged and in the place
/// where it was written.
fn checksum(place: &str, value: &[u8]) -> Checksum {
    let mut hasher = blake3::Hasher::new();
    hasher.update(place.as_bytes()).update(&[0]).update(value);
    checksum_of(&hasher)
}

impl ConsensusLog {
    /// Opens the log of `owner`, a text that names the node, the cluster and its members. Creates the log if
    /// there is none, and increments the number of incarnations that the log stores.
    ///
    /// # Errors
    /// [`OpenError::Owned`] if another process uses the file, [`OpenError::OtherOwner`] if it is the log of
    /// another node, and [`OpenError::DamagedLog`] if a checksum does not match. Any other error says that
    /// the file cannot be opened or read. The node must not take part in the consensus without its log.
    pub fn open(path: &Path, owner: &str, options: &Options) -> Result<(Self, RecoveredLog), OpenError> {
        let open_error = |error: rusqlite::Error| LOG_FORMAT.open_error(path, &error);
        let (connection, lock) = open_exclusive(&LOG_FORMAT, path, options)?;
        let old_owner: String =
            connection.query_row("SELECT owner FROM life", [], |row| row.get(0)).map_err(open_error)?;
        if !old_owner.is_empty() && old_owner != owner {
            let file = LOG_FORMAT.file(path);
            return Err(OpenError::OtherOwner { file, owner: old_owner, node: owner.to_string() });
        }
        let cells = read_cells(&connection);
        let entries = cells.and_then(|cells| Ok((cells, read_entries(&connection)?)));
        let (cells, entries) = entries.map_err(open_error)?;
        let mut recovered = verify(cells, entries)
            .map_err(|DamagedValue(value)| OpenError::DamagedLog { file: LOG_FORMAT.file(path), value })?;
        let incarnation: i64 = connection
            .query_row("UPDATE life SET life = life + 1, owner = ?1 RETURNING life", [owner], |row| {
                row.get(0)
            })
            .map_err(open_error)?;
        recovered.incarnation = incarnation as u64;
        disable_busy_wait(&LOG_FORMAT, path, &connection)?;
        Ok((ConsensusLog { connection, _lock: lock }, recovered))
    }

    /// Makes a log record durable as a whole.
    pub fn write(&mut self, record: &LogRecord) -> Outcome {
        transaction(&self.connection, || self.apply(record))
    }

    /// Writes a log record; any other work fails.
    pub fn execute(&mut self, work: &Work) -> Outcome {
        match work {
            Work::LogRecord(record) => self.write(record),
            // Rows belong to the idempotency store, which is another file.
            Work::Commit(_) | Work::Lookup(_) => Outcome::NotDone(Cause::Other),
        }
    }

    fn apply(&self, record: &LogRecord) -> rusqlite::Result<()> {
        if let Some(from) = record.truncate_from {
            let mut truncate = self.connection.prepare_cached("DELETE FROM entry WHERE place >= ?1")?;
            truncate.execute([from as i64])?;
        }
        for (index, value) in &record.entries {
            let mut put =
                self.connection.prepare_cached("INSERT OR REPLACE INTO entry VALUES(?1, ?2, ?3)")?;
            let checksum = checksum(&index.to_string(), value);
            put.execute(params![*index as i64, value, checksum.as_slice()])?;
        }
        if let Some(through) = record.compact_through {
            let mut compact = self.connection.prepare_cached("DELETE FROM entry WHERE place <= ?1")?;
            compact.execute([through as i64])?;
        }
        for (name, value) in [(HARD_STATE, &record.hard_state), (SNAPSHOT, &record.snapshot)] {
            let Some(value) = value else { continue };
            let mut put = self.connection.prepare_cached("INSERT OR REPLACE INTO cell VALUES(?1, ?2, ?3)")?;
            put.execute(params![name, value, checksum(name, value).as_slice()])?;
        }
        Ok(())
    }
}

fn read_cells(connection: &Connection) -> rusqlite::Result<Vec<Stored<String>>> {
    let mut statement = connection.prepare("SELECT name, value, sum FROM cell")?;
    statement.query_map([], decode_stored)?.collect()
}

fn read_entries(connection: &Connection) -> rusqlite::Result<Vec<Stored<i64>>> {
    let mut statement = connection.prepare("SELECT place, value, sum FROM entry ORDER BY place")?;
    statement.query_map([], decode_stored)?.collect()
}

fn decode_stored<K: rusqlite::types::FromSql>(columns: &rusqlite::Row<'_>) -> rusqlite::Result<Stored<K>> {
    Ok(Stored { place: columns.get(0)?, value: columns.get(1)?, checksum: columns.get(2)? })
}

/// Returns the recovered log if every value matches its checksum; otherwise the name of the first value that
/// does not.
fn verify(cells: Vec<Stored<String>>, entries: Vec<Stored<i64>>) -> Result<RecoveredLog, DamagedValue> {
    let mut recovered = RecoveredLog::default();
    for cell in cells {
        if cell.checksum != checksum(&cell.place, &cell.value) {
            return Err(DamagedValue(cell.place));
        }
        match cell.place.as_str() {
            HARD_STATE => recovered.hard_state = Some(cell.value),
            SNAPSHOT => recovered.snapshot = Some(cell.value),
            _ => return Err(DamagedValue(cell.place)),
        }
    }
    for entry in entries {
        if entry.checksum != checksum(&entry.place.to_string(), &entry.value) {
            return Err(DamagedValue(format!("entry {}", entry.place)));
        }
        recovered.entries.push((entry.place as u64, entry.value));
    }
    Ok(recovered)
}
