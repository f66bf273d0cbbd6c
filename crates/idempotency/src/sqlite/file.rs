//! Opening an SQLite file with care: one owner, a known format and version, and no change before it was found sound.

use crate::error::{OpenError, StoreFile};
use rusqlite::{Connection, ErrorCode, OpenFlags};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long the start waits for a lock that another connection holds: longer than a backup of a small file takes.
const OPEN_BUSY_TIMEOUT: Duration = Duration::from_millis(500);
/// Memory for pages, in KiB: half of what a node of 32 MB can spare.
const PAGE_CACHE_KIB: i64 = 2_048;
/// The write-ahead log is cut back to this many bytes after a checkpoint, so that a burst does not fill the disk for good.
const MAX_WAL_BYTES: i64 = 4 << 20;

/// Length of a stored checksum, in bytes: enough against damage, which is not aimed.
const CHECKSUM_BYTES: usize = 8;

/// What shows that a stored value is as it was written.
pub(crate) type Checksum = [u8; CHECKSUM_BYTES];

/// The checksum of what a hasher has taken in.
pub(crate) fn checksum_of(hasher: &blake3::Hasher) -> Checksum {
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// What a kind of file is known by, and how it is made.
pub(crate) struct FileFormat {
    /// What operators call this kind of file.
    pub(crate) kind: &'static str,
    /// SQLite's application id of its files.
    pub(crate) application_id: i64,
    /// The steps from an empty file to the present version; a file's version says how many it has taken.
    pub(crate) migrations: &'static [&'static str],
}

impl FileFormat {
    /// The name of a file of this kind in messages.
    pub(crate) fn file(&self, path: &Path) -> StoreFile {
        StoreFile::new(self.kind, path)
    }

    /// What an error of SQLite means for the start.
    pub(crate) fn open_error(&self, path: &Path, error: &rusqlite::Error) -> OpenError {
        let file = self.file(path);
        match error.sqlite_error_code() {
            Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => OpenError::Locked(file),
            Some(ErrorCode::NotADatabase | ErrorCode::DatabaseCorrupt) => {
                OpenError::Damaged { file, damage: one_line(error) }
            }
            Some(ErrorCode::CannotOpen | ErrorCode::ReadOnly | ErrorCode::PermissionDenied) => {
                OpenError::Path { file, error: io::Error::other(error.to_string()) }
            }
            _ => OpenError::Other { file, error: one_line(error) },
        }
    }
}

fn one_line(error: &rusqlite::Error) -> String {
    error.to_string().replace('\n', " ")
}

/// How far a commit goes before it counts, and bounds that tests set.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// SQLite's `synchronous=EXTRA`: folders are synced too. Otherwise `FULL`.
    pub synchronous_extra: bool,
    /// Most pages of the file; 0 for as many as there are.
    pub max_pages: u32,
}

/// The path of a file's lock file.
fn lock_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".lock");
    name.into()
}

/// Locks a file for this process alone, for as long as the result lives; the system releases it when the process ends,
/// however it ends.
fn lock_exclusive(format: &FileFormat, path: &Path) -> Result<File, OpenError> {
    let path_error = |error: io::Error| OpenError::Path { file: format.file(path), error };
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(lock_path(path));
    let file = file.map_err(path_error)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(OpenError::Owned(format.file(path))),
        Err(TryLockError::Error(error)) => Err(path_error(error)),
    }
}

/// The number of migrations that a file has taken; changes nothing.
fn schema_version(format: &FileFormat, path: &Path, connection: &Connection) -> Result<i64, OpenError> {
    let open_error = |error: rusqlite::Error| format.open_error(path, &error);
    let pragma = |name: &str| {
        connection.pragma_query_value(None, name, |row| row.get::<_, i64>(0)).map_err(open_error)
    };
    let application_id = pragma("application_id")?;
    let version = pragma("user_version")?;
    let tables: i64 = connection
        .query_row("SELECT count(*) FROM sqlite_schema", [], |row| row.get(0))
        .map_err(open_error)?;
    if application_id != format.application_id && (tables > 0 || version != 0) {
        return Err(OpenError::Foreign(format.file(path)));
    }
    let known = format.migrations.len();
    if version > known as i64 {
        return Err(OpenError::Newer { file: format.file(path), version, known });
    }
    Ok(version)
}

/// Fails unless the file is consistent in itself; reads all of it.
pub(crate) fn check_integrity(
    format: &FileFormat,
    path: &Path,
    connection: &Connection,
) -> Result<(), OpenError> {
    let report: String = connection
        .query_row("PRAGMA integrity_check(1)", [], |row| row.get(0))
        .map_err(|error| format.open_error(path, &error))?;
    if report == "ok" {
        return Ok(());
    }
    Err(OpenError::Damaged { file: format.file(path), damage: report.replace('\n', " ") })
}

/// Opens a file to read it: nothing of it can be changed, and a node may serve from it meanwhile.
pub(crate) fn open_read_only(format: &FileFormat, path: &Path) -> Result<Connection, OpenError> {
    if !path.exists() {
        return Err(OpenError::Path { file: format.file(path), error: io::ErrorKind::NotFound.into() });
    }
    let open_error = |error: rusqlite::Error| format.open_error(path, &error);
    let flags = OpenFlags::SQLITE_OPEN_READ_ONLY | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let connection = Connection::open_with_flags(path, flags).map_err(open_error)?;
    connection.busy_timeout(OPEN_BUSY_TIMEOUT).map_err(open_error)?;
    schema_version(format, path, &connection)?;
    Ok(connection)
}

/// Opens a file for this process alone, makes it if there is none, and brings it to the present version. The lock on it
/// holds for as long as the second value lives.
pub(crate) fn open_exclusive(
    format: &FileFormat,
    path: &Path,
    options: &Options,
) -> Result<(Connection, File), OpenError> {
    let lock = lock_exclusive(format, path)?;
    if std::fs::metadata(path).is_ok_and(|metadata| metadata.len() > 0) {
        // All that can be wrong with a file is found out while it cannot be changed.
        check_integrity(format, path, &open_read_only(format, path)?)?;
    }
    let open_error = |error: rusqlite::Error| format.open_error(path, &error);
    let flags =
        OpenFlags::SQLITE_OPEN_READ_WRITE | OpenFlags::SQLITE_OPEN_CREATE | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let mut connection = Connection::open_with_flags(path, flags).map_err(open_error)?;
    configure(&connection, options).map_err(open_error)?;
    let version = schema_version(format, path, &connection)?;
    migrate(format, &mut connection, version as usize).map_err(open_error)?;
    Ok((connection, lock))
}

fn configure(connection: &Connection, options: &Options) -> rusqlite::Result<()> {
    connection.busy_timeout(OPEN_BUSY_TIMEOUT)?;
    connection.pragma_update(None, "journal_mode", "WAL")?;
    let synchronous = if options.synchronous_extra { "EXTRA" } else { "FULL" };
    connection.pragma_update(None, "synchronous", synchronous)?;
    // A negative size is in KiB, not in pages.
    connection.pragma_update(None, "cache_size", -PAGE_CACHE_KIB)?;
    connection.pragma_update(None, "journal_size_limit", MAX_WAL_BYTES)?;
    connection.pragma_update(None, "temp_store", "MEMORY")?;
    if options.max_pages > 0 {
        connection.pragma_update(None, "max_page_count", options.max_pages)?;
    }
    Ok(())
}

/// Takes the migrations after the first `taken`, each whole or not at all.
fn migrate(format: &FileFormat, connection: &mut Connection, taken: usize) -> rusqlite::Result<()> {
    for (i, migration) in format.migrations.iter().enumerate().skip(taken) {
        let transaction = connection.transaction()?;
        transaction.execute_batch(migration)?;
        transaction.pragma_update(None, "user_version", i as i64 + 1)?;
        transaction.commit()?;
    }
    Ok(())
}

/// Ends the waiting for locks: from here on the file's user retries a busy file without holding its thread.
pub(crate) fn disable_busy_wait(
    format: &FileFormat,
    path: &Path,
    connection: &Connection,
) -> Result<(), OpenError> {
    connection.busy_timeout(Duration::ZERO).map_err(|error| format.open_error(path, &error))
}
