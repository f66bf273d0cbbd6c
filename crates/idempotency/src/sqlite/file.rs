//! Opens SQLite files safely: one owner, a known format and version, and no change to a file before a check
//! found the file intact.

use crate::error::{OpenError, StoreFile};
use rusqlite::{Connection, ErrorCode, OpenFlags};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Longest wait at the start for a lock that another connection holds; a backup of a small file takes less.
const OPEN_BUSY_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of SQLite's page cache, in KiB: half of the memory that a node with 32 MB in total has to spare.
const PAGE_CACHE_KIB: i64 = 2_048;
/// Size to which the write-ahead log is truncated after a checkpoint, in bytes, so that it does not keep the
/// disk space that a burst of writes took.
const MAX_WAL_BYTES: i64 = 4 << 20;

/// Length of a stored checksum, in bytes: enough to detect accidental damage; forgery is not a concern.
const CHECKSUM_BYTES: usize = 8;

/// Checksum by which a change of a stored value since it was written is detected.
pub(crate) type Checksum = [u8; CHECKSUM_BYTES];

/// The checksum of all data that `hasher` has been given.
pub(crate) fn checksum_of(hasher: &blake3::Hasher) -> Checksum {
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&hasher.finalize().as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// How to identify, create and migrate one kind of file.
pub(crate) struct FileFormat {
    /// Name of this kind of file in messages to operators.
    pub(crate) kind: &'static str,
    /// SQLite's application id of this kind of file.
    pub(crate) application_id: i64,
    /// SQL of the steps from an empty file to the present version. The version of a file is the number of
    /// steps that it has been through.
    pub(crate) migrations: &'static [&'static str],
}

impl FileFormat {
    /// The kind and path by which error messages name the file at `path`.
    pub(crate) fn file(&self, path: &Path) -> StoreFile {
        StoreFile::new(self.kind, path)
    }

    /// Converts an error of SQLite into the reason why the file cannot be opened.
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

/// Options for opening a file: when a commit counts as durable, and a maximum size, which tests set.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Whether to use SQLite's `synchronous=EXTRA`, which syncs folders too, in place of `FULL`.
    pub synchronous_extra: bool,
    /// Maximum size of the file, in pages; 0 for no limit set by this program.
    pub max_pages: u32,
}

/// Path of the lock file that belongs to a database file.
fn lock_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".lock");
    name.into()
}

/// Locks a file for this process alone, for as long as the returned handle lives; the operating system
/// releases the lock when the process ends, even if the process is killed.
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

/// Returns the number of migrations that a file has been through. Fails if the file was made by another
/// program or by a newer version of this one; changes nothing.
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

/// Runs SQLite's integrity check, which reads the whole file, and fails if it reports damage.
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

/// Opens a file read-only; a node may use the file at the same time.
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

/// Opens a file for this process alone, creates it if there is none, and migrates it to the present version.
/// The file is locked for as long as the returned [`File`] lives.
pub(crate) fn open_exclusive(
    format: &FileFormat,
    path: &Path,
    options: &Options,
) -> Result<(Connection, File), OpenError> {
    let lock = lock_exclusive(format, path)?;
    if std::fs::metadata(path).is_ok_and(|metadata| metadata.len() > 0) {
        // The file is checked through a read-only connection, so that a file with a fault is not changed.
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
    // SQLite reads a negative size as KiB, a positive one as pages.
    connection.pragma_update(None, "cache_size", -PAGE_CACHE_KIB)?;
    connection.pragma_update(None, "journal_size_limit", MAX_WAL_BYTES)?;
    connection.pragma_update(None, "temp_store", "MEMORY")?;
    if options.max_pages > 0 {
        connection.pragma_update(None, "max_page_count", options.max_pages)?;
    }
    Ok(())
}

/// Applies all migrations but the first `applied`, each as one transaction.
fn migrate(format: &FileFormat, connection: &mut Connection, applied: usize) -> rusqlite::Result<()> {
    for (i, migration) in format.migrations.iter().enumerate().skip(applied) {
        let transaction = connection.transaction()?;
        transaction.execute_batch(migration)?;
        transaction.pragma_update(None, "user_version", i as i64 + 1)?;
        transaction.commit()?;
    }
    Ok(())
}

/// Stops SQLite from waiting for locks: from now on an operation on a locked file fails at once, and the
/// caller retries later without blocking the thread.
pub(crate) fn disable_busy_wait(
    format: &FileFormat,
    path: &Path,
    connection: &Connection,
) -> Result<(), OpenError> {
    connection.busy_timeout(Duration::ZERO).map_err(|error| format.open_error(path, &error))
}
