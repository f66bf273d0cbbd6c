//! Rows in one SQLite file: opening it with care, batches as transactions, reading it beside a running node.
//!
//! A file is only ever changed by the one process that holds its lock file, and only after it was found to be a
//! sound store of a version that this program knows. Whatever is wrong is one clear line, and nothing is
//! altered or deleted then.

use crate::row::{Cause, Outcome, Recovery, Row, State, Work, Write};
use rusqlite::{Connection, ErrorCode, OpenFlags, OptionalExtension, params};
use std::fmt;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What a kind of file is known by, and how it is made.
pub(crate) struct Form {
    /// The number that its files carry.
    pub(crate) application: i64,
    /// The steps from an empty file to the present version; a file's version says how many it has taken.
    pub(crate) migrations: &'static [&'static str],
}

/// "gstd": a store of record.
const RECORD: Form = Form {
    application: 0x6773_7464,
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
/// How long the start waits for a lock that another connection holds.
const START_WAIT: Duration = Duration::from_millis(500);
/// Memory for pages, in KiB: half of what a node of 32 MB can spare.
const CACHE_KIB: i64 = 2_048;
/// The log is cut back to this many bytes when it is done with.
const LOG_BYTES: i64 = 4 << 20;

/// Why a store cannot be opened, on one line that says what to do.
#[derive(Debug)]
pub enum OpenError {
    /// The folder or the file cannot be used.
    Path(PathBuf, io::Error),
    /// Another process serves from it.
    Owned(PathBuf),
    /// Another connection holds its lock.
    Locked(PathBuf),
    /// It is of another program.
    Foreign(PathBuf),
    /// It was made by a newer version; this program knows so many.
    Newer(PathBuf, i64, usize),
    /// It cannot be read.
    Damaged(PathBuf, String),
    /// Anything else.
    Other(PathBuf, String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unchanged = "nothing was changed";
        match self {
            OpenError::Path(path, e) => {
                write!(f, "store of record {}: {e}; its folder must be there and writable", path.display())
            }
            OpenError::Owned(path) => {
                write!(
                    f,
                    "store of record {}: another process serves from it; stop that one first",
                    path.display()
                )
            }
            OpenError::Locked(path) => write!(
                f,
                "store of record {}: locked by another program; end that one, {unchanged}",
                path.display()
            ),
            OpenError::Foreign(path) => write!(
                f,
                "store of record {}: is a file of another program; give another path, {unchanged}",
                path.display()
            ),
            OpenError::Newer(path, version, known) => write!(
                f,
                "store of record {}: is of version {version}, this program knows up to {known}; use the newer program, \
                 {unchanged}",
                path.display()
            ),
            OpenError::Damaged(path, what) => write!(
                f,
                "store of record {}: is damaged ({what}); restore it, or move it away to start with none, {unchanged}",
                path.display()
            ),
            OpenError::Other(path, what) => write!(f, "store of record {}: {what}", path.display()),
        }
    }
}

impl std::error::Error for OpenError {}

pub(crate) fn open_error(path: &Path, e: &rusqlite::Error) -> OpenError {
    let path = path.to_path_buf();
    match e.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => OpenError::Locked(path),
        Some(ErrorCode::NotADatabase | ErrorCode::DatabaseCorrupt) => {
            OpenError::Damaged(path, e.to_string().replace('\n', " "))
        }
        Some(ErrorCode::CannotOpen | ErrorCode::ReadOnly | ErrorCode::PermissionDenied) => {
            OpenError::Path(path, io::Error::other(e.to_string()))
        }
        _ => OpenError::Other(path, e.to_string().replace('\n', " ")),
    }
}

/// What stands in the way of a write.
pub fn cause(e: &rusqlite::Error) -> Cause {
    match e.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => Cause::Busy,
        Some(ErrorCode::DiskFull) => Cause::Full,
        Some(ErrorCode::ReadOnly | ErrorCode::PermissionDenied) => Cause::ReadOnly,
        _ => Cause::Other,
    }
}

/// How far a commit goes before it counts, and bounds that tests set.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Folders are synced too.
    pub extra: bool,
    /// Most pages of the file; 0 for as many as there are.
    pub most_pages: u32,
}

/// A store that this process owns.
#[derive(Debug)]
pub struct Sqlite {
    connection: Connection,
    /// Held for as long as this lives; the system lets go of it when the process ends, however it ends.
    _lock: File,
    epoch: u64,
}

/// What the lock file of a store is called.
fn lock_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".lock");
    name.into()
}

/// Looks at a file without changing it: the number of migrations that it has taken.
fn version(form: &Form, path: &Path, connection: &Connection) -> Result<i64, OpenError> {
    let err = |e: rusqlite::Error| open_error(path, &e);
    let get = |name: &str| connection.pragma_query_value(None, name, |r| r.get::<_, i64>(0)).map_err(err);
    let (application, version) = (get("application_id")?, get("user_version")?);
    let tables: i64 =
        connection.query_row("SELECT count(*) FROM sqlite_schema", [], |r| r.get(0)).map_err(err)?;
    if application != form.application && (tables > 0 || version != 0) {
        return Err(OpenError::Foreign(path.to_path_buf()));
    }
    if version > form.migrations.len() as i64 {
        return Err(OpenError::Newer(path.to_path_buf(), version, form.migrations.len()));
    }
    Ok(version)
}

/// Fails unless the file hangs together; reads all of it.
fn sound(path: &Path, connection: &Connection) -> Result<(), OpenError> {
    let said: String = connection
        .query_row("PRAGMA integrity_check(1)", [], |r| r.get(0))
        .map_err(|e| open_error(path, &e))?;
    if said == "ok" { Ok(()) } else { Err(OpenError::Damaged(path.to_path_buf(), said.replace('\n', " "))) }
}

/// Opens a store to look at it: nothing of it can be changed, and a node may serve from it meanwhile.
pub fn look(path: &Path) -> Result<Connection, OpenError> {
    look_at(&RECORD, path)
}

fn look_at(form: &Form, path: &Path) -> Result<Connection, OpenError> {
    if !path.exists() {
        return Err(OpenError::Path(path.to_path_buf(), io::ErrorKind::NotFound.into()));
    }
    let flags = OpenFlags::SQLITE_OPEN_READ_ONLY | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let connection = Connection::open_with_flags(path, flags).map_err(|e| open_error(path, &e))?;
    connection.busy_timeout(START_WAIT).map_err(|e| open_error(path, &e))?;
    version(form, path, &connection)?;
    Ok(connection)
}

/// Checks a store from end to end.
pub fn check(path: &Path) -> Result<(), OpenError> {
    sound(path, &look(path)?)
}

/// Takes the file of a store for this process alone.
fn own(path: &Path) -> Result<File, OpenError> {
    let lock = lock_path(path);
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(&lock);
    let file = file.map_err(|e| OpenError::Path(path.to_path_buf(), e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(OpenError::Owned(path.to_path_buf())),
        Err(TryLockError::Error(e)) => Err(OpenError::Path(path.to_path_buf(), e)),
    }
}

/// From here on a lock is the file's user's matter: it waits and tries again without holding its thread.
pub(crate) fn serve(path: &Path, connection: &Connection) -> Result<(), OpenError> {
    connection.busy_timeout(Duration::ZERO).map_err(|e| open_error(path, &e))
}

/// Opens a file for this process alone, makes it if there is none, and brings it to the present version.
pub(crate) fn take(form: &Form, path: &Path, options: &Options) -> Result<(Connection, File), OpenError> {
    let lock = own(path)?;
    if std::fs::metadata(path).is_ok_and(|m| m.len() > 0) {
        // All that can be wrong with a file is found out while it cannot be changed.
        sound(path, &look_at(form, path)?)?;
    }
    let err = |e: rusqlite::Error| open_error(path, &e);
    let flags =
        OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_CREATE | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let mut connection = Connection::open_with_flags(path, flags).map_err(err)?;
    connection.busy_timeout(START_WAIT).map_err(err)?;
    let pragma = |c: &Connection, name: &str, value: &dyn rusqlite::ToSql| {
        c.pragma_update(None, name, value).map_err(err)
    };
    pragma(&connection, "journal_mode", &"WAL")?;
    pragma(&connection, "synchronous", &if options.extra { "EXTRA" } else { "FULL" })?;
    pragma(&connection, "cache_size", &(-CACHE_KIB))?;
    pragma(&connection, "journal_size_limit", &LOG_BYTES)?;
    pragma(&connection, "temp_store", &"MEMORY")?;
    if options.most_pages > 0 {
        pragma(&connection, "max_page_count", &options.most_pages)?;
    }
    let taken = version(form, path, &connection)?;
    for (i, step) in form.migrations.iter().enumerate().skip(taken as usize) {
        let t = connection.transaction().map_err(err)?;
        t.execute_batch(step).map_err(err)?;
        t.pragma_update(None, "user_version", i as i64 + 1).map_err(err)?;
        t.commit().map_err(err)?;
    }
    Ok((connection, lock))
}

impl Sqlite {
    /// Opens a store, makes it if there is none, and counts one more life of it.
    pub fn open(path: &Path, options: &Options) -> Result<Self, OpenError> {
        let (connection, lock) = take(&RECORD, path, options)?;
        let epoch: i64 = connection
            .query_row("UPDATE life SET epoch = epoch + 1 RETURNING epoch", [], |r| r.get(0))
            .map_err(|e| open_error(path, &e))?;
        serve(path, &connection)?;
        Ok(Sqlite { connection, _lock: lock, epoch: epoch as u64 })
    }

    /// What an earlier life has left; of more than `most` rows none but their number.
    pub fn recover(&self, path: &Path, most: usize) -> Result<Recovery, OpenError> {
        let err = |e: rusqlite::Error| open_error(path, &e);
        let found: i64 =
            self.connection.query_row("SELECT count(*) FROM record", [], |r| r.get(0)).map_err(err)?;
        let mut rows = Vec::new();
        if found as usize <= most {
            rows.reserve_exact(found as usize);
            each_row(&self.connection, |row| rows.push(row)).map_err(err)?;
        }
        Ok(Recovery { rows, found: found as u64, epoch: self.epoch })
    }

    /// Does one piece of work.
    pub fn work(&mut self, work: &Work) -> Outcome {
        match work {
            Work::Commit(writes) => self.commit(writes),
            Work::Ask(keys) => self.ask(keys).map_or_else(|e| Outcome::NotDone(cause(&e)), Outcome::Rows),
            // That is another file's.
            Work::LogRecord(_) => Outcome::NotDone(Cause::Other),
        }
    }

    fn commit(&mut self, writes: &[Write]) -> Outcome {
        transaction(&self.connection, || writes.iter().try_for_each(|w| self.make(w)))
    }

    fn make(&self, write: &Write) -> rusqlite::Result<()> {
        match write {
            Write::Put(row) => {
                let result =
                    if let State::Good(result) = &row.state { Some(result.as_slice()) } else { None };
                let mut put = self.connection.prepare_cached(
                    "INSERT INTO record(key, holder, print, ran, until, stamp, state, result, sum)
                     VALUES(?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8, ?9)
                     ON CONFLICT(key) DO UPDATE SET holder = excluded.holder, print = excluded.print,
                         ran = excluded.ran, until = excluded.until, stamp = excluded.stamp,
                         state = excluded.state, result = excluded.result, sum = excluded.sum
                     WHERE excluded.stamp > record.stamp
                         OR excluded.stamp = record.stamp AND record.state = 0",
                )?;
                put.execute(params![
                    row.key,
                    row.holder.to_be_bytes().as_slice(),
                    row.fingerprint.to_be_bytes().as_slice(),
                    row.ran as i64,
                    row.until as i64,
                    row.stamp as i64,
                    row.state.code(),
                    result,
                    sum(row).as_slice()
                ])?;
            }
            Write::Remove { key, stamp } => {
                let mut remove =
                    self.connection.prepare_cached("DELETE FROM record WHERE key = ?1 AND stamp <= ?2")?;
                remove.execute(params![key, *stamp as i64])?;
            }
            Write::Probe => {
                self.connection.prepare_cached("UPDATE life SET beat = beat + 1")?.execute([])?;
            }
        }
        Ok(())
    }

    fn ask(&self, keys: &[String]) -> rusqlite::Result<Vec<Row>> {
        let mut ask = self.connection.prepare_cached(&format!("{COLUMNS} WHERE key = ?1"))?;
        let mut rows = Vec::new();
        for key in keys {
            rows.extend(ask.query_row([key], row_of).optional()?);
        }
        Ok(rows)
    }

    /// Removes rows whose window is over by the wall clock; returns how many. Nothing serves from the store while
    /// this process owns it.
    pub fn prune(&self, now: u64) -> rusqlite::Result<usize> {
        self.connection.execute("DELETE FROM record WHERE until <= ?1", [now as i64])
    }
}

/// Makes changes durable, all of them or none.
pub(crate) fn transaction(connection: &Connection, make: impl FnOnce() -> rusqlite::Result<()>) -> Outcome {
    // An immediate transaction takes the lock first: one that is busy has done nothing.
    if let Err(e) = connection.execute_batch("BEGIN IMMEDIATE") {
        return Outcome::NotDone(cause(&e));
    }
    let made = make().map_err(|e| (e, false));
    let done = made.and_then(|()| connection.execute_batch("COMMIT").map_err(|e| (e, true)));
    let Err((e, at_commit)) = done else { return Outcome::Done };
    // Some errors have rolled back already; then this one is refused, and nothing is open either way.
    let _ = connection.execute_batch("ROLLBACK");
    match cause(&e) {
        // What went wrong while the commit was under way may have come after the point of no return.
        cause if at_commit && cause != Cause::Busy => Outcome::Unknown(cause),
        cause => Outcome::NotDone(cause),
    }
}

const COLUMNS: &str = "SELECT key, holder, print, ran, until, stamp, state, result, sum FROM record";

/// What shows that a row is as it was written: a damaged page can hold a value that SQLite finds nothing wrong with.
fn sum(row: &Row) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(row.key.as_bytes());
    hasher.update(&row.holder.to_be_bytes());
    hasher.update(&row.fingerprint.to_be_bytes());
    for n in [row.ran, row.until, row.stamp, row.state.code() as u64] {
        hasher.update(&n.to_be_bytes());
    }
    if let State::Good(result) = &row.state {
        hasher.update(result);
    }
    let mut sum = [0; 8];
    sum.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    sum
}

fn row_of(r: &rusqlite::Row<'_>) -> rusqlite::Result<Row> {
    let number = |i: usize| r.get::<_, [u8; 16]>(i).map(u128::from_be_bytes);
    let state =
        State::of(r.get(6)?, r.get(7)?).ok_or(rusqlite::Error::IntegralValueOutOfRange(6, r.get(6)?))?;
    let row = Row {
        key: r.get(0)?,
        holder: number(1)?,
        fingerprint: number(2)?,
        ran: r.get::<_, i64>(3)? as u64,
        until: r.get::<_, i64>(4)? as u64,
        stamp: r.get::<_, i64>(5)? as u64,
        state,
    };
    if r.get::<_, [u8; 8]>(8)? == sum(&row) {
        return Ok(row);
    }
    let corrupt = rusqlite::ffi::Error::new(rusqlite::ffi::SQLITE_CORRUPT);
    Err(rusqlite::Error::SqliteFailure(
        corrupt,
        Some(format!("the row of {} is not as it was written", row.key)),
    ))
}

/// Shows all rows to `each`, one at a time.
pub fn each_row(connection: &Connection, mut each: impl FnMut(Row)) -> rusqlite::Result<()> {
    let mut all = connection.prepare(COLUMNS)?;
    let mut rows = all.query([])?;
    while let Some(row) = rows.next()? {
        each(row_of(row)?);
    }
    Ok(())
}
