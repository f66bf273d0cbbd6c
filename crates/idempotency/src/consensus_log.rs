//! A fleet's agreed log in one SQLite file: pages made durable whole, and what an earlier life left.
//!
//! A file belongs to one node of one fleet, and says so. One that is another's, damaged or of a newer program is one clear line,
//! and nothing is altered or deleted then.

use crate::row::{Cause, Outcome, Work};
use crate::sqlite::{Form, OpenError, Options, open_error, serve, take, transaction};
use gaugestand_admission::log_record::{LogRecord, RecoveredLog};
use rusqlite::{Connection, params};
use std::fs::File;
use std::path::Path;

/// "gsfl": a fleet's log.
const CONSENSUS_LOG: Form = Form {
    application: 0x6773_666c,
    migrations: &["
    CREATE TABLE life(one INTEGER PRIMARY KEY CHECK(one = 1), life INTEGER NOT NULL, owner TEXT NOT NULL) STRICT;
    INSERT INTO life VALUES(1, 0, '');
    CREATE TABLE cell(name TEXT PRIMARY KEY, value BLOB NOT NULL, sum BLOB NOT NULL) STRICT;
    CREATE TABLE entry(place INTEGER PRIMARY KEY, value BLOB NOT NULL, sum BLOB NOT NULL) STRICT;
    PRAGMA application_id = 0x6773666c;
"],
};

/// A log that this process owns.
#[derive(Debug)]
pub struct ConsensusLog {
    connection: Connection,
    /// Held for as long as this lives.
    _lock: File,
}

/// What shows that a value is as it was written, and where.
fn sum(place: &str, value: &[u8]) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(place.as_bytes()).update(&[0]).update(value);
    let mut sum = [0; 8];
    sum.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    sum
}

impl ConsensusLog {
    /// Opens the log of this owner (fleet, members and node in words), makes it if there is none, and counts one more life.
    pub fn open(path: &Path, owner: &str, options: &Options) -> Result<(Self, RecoveredLog), String> {
        let told = |e: OpenError| e.to_string().replacen("store of record", "agreed log", 1);
        let (connection, lock) = take(&CONSENSUS_LOG, path, options).map_err(told)?;
        let err = |e: rusqlite::Error| told(open_error(path, &e));
        let whose: String = connection.query_row("SELECT owner FROM life", [], |r| r.get(0)).map_err(err)?;
        if !whose.is_empty() && whose != owner {
            let path = path.display();
            return Err(format!(
                "agreed log {path}: belongs to {whose}, this is {owner}; give each node its own path, nothing was changed"
            ));
        }
        let found = read(&connection).map_err(err)?;
        let damaged = |place: String| {
            format!(
                "agreed log {}: is damaged ({place} is not as it was written); the others can do without this node: \
                 see docs/operators/fleet.md before you move the file away, nothing was changed",
                path.display()
            )
        };
        let (cells, entries) = found;
        let mut found = RecoveredLog::default();
        for (name, value, was) in cells {
            if was != sum(&name, &value) {
                return Err(damaged(name));
            }
            match name.as_str() {
                "state" => found.hard_state = Some(value),
                "base" => found.snapshot = Some(value),
                _ => return Err(damaged(name)),
            }
        }
        for (place, value, was) in entries {
            if was != sum(&place.to_string(), &value) {
                return Err(damaged(format!("entry {place}")));
            }
            found.entries.push((place as u64, value));
        }
        let life: i64 = connection
            .query_row("UPDATE life SET life = life + 1, owner = ?1 RETURNING life", [owner], |r| r.get(0))
            .map_err(err)?;
        found.incarnation = life as u64;
        serve(path, &connection).map_err(told)?;
        Ok((ConsensusLog { connection, _lock: lock }, found))
    }

    /// Makes a page durable.
    pub fn write(&mut self, page: &LogRecord) -> Outcome {
        transaction(&self.connection, || self.make(page))
    }

    fn make(&self, page: &LogRecord) -> rusqlite::Result<()> {
        let c = &self.connection;
        if let Some(from) = page.truncate_from {
            c.prepare_cached("DELETE FROM entry WHERE place >= ?1")?.execute([from as i64])?;
        }
        for (place, value) in &page.entries {
            let sum = sum(&place.to_string(), value);
            c.prepare_cached("INSERT OR REPLACE INTO entry VALUES(?1, ?2, ?3)")?.execute(params![
                *place as i64,
                value,
                sum.as_slice()
            ])?;
        }
        if let Some(to) = page.compact_through {
            c.prepare_cached("DELETE FROM entry WHERE place <= ?1")?.execute([to as i64])?;
        }
        for (name, value) in [("state", &page.hard_state), ("base", &page.snapshot)] {
            let Some(value) = value else { continue };
            let sum = sum(name, value);
            let mut put = c.prepare_cached("INSERT OR REPLACE INTO cell VALUES(?1, ?2, ?3)")?;
            put.execute(params![name, value, sum.as_slice()])?;
        }
        Ok(())
    }
}

impl crate::worker::Backend for ConsensusLog {
    fn work(&mut self, work: &Work) -> Outcome {
        match work {
            Work::LogRecord(page) => self.write(page),
            // Rows are another file's.
            Work::Commit(_) | Work::Ask(_) => Outcome::NotDone(Cause::Other),
        }
    }
}

type Cells = Vec<(String, Vec<u8>, [u8; 8])>;
type Entries = Vec<(i64, Vec<u8>, [u8; 8])>;

fn read(connection: &Connection) -> rusqlite::Result<(Cells, Entries)> {
    let mut cells = connection.prepare("SELECT name, value, sum FROM cell")?;
    let cells = cells.query_map([], |r| Ok((r.get(0)?, r.get(1)?, r.get(2)?)))?.collect::<Result<_, _>>()?;
    let mut entries = connection.prepare("SELECT place, value, sum FROM entry ORDER BY place")?;
    let entries =
        entries.query_map([], |r| Ok((r.get(0)?, r.get(1)?, r.get(2)?)))?.collect::<Result<_, _>>()?;
    Ok((cells, entries))
}
