//! Transactions on an SQLite file, and what an error of one proves about its outcome.

use crate::row::{Cause, Outcome};
use rusqlite::{Connection, ErrorCode};

/// Runs `change` as one transaction: all that it does becomes durable, or nothing.
pub(crate) fn transaction(connection: &Connection, change: impl FnOnce() -> rusqlite::Result<()>) -> Outcome {
    // An immediate transaction takes the lock first, so one that fails as busy has changed nothing.
    if let Err(error) = connection.execute_batch("BEGIN IMMEDIATE") {
        return Outcome::NotDone(cause(&error));
    }
    let outcome = match change() {
        Err(error) => Outcome::NotDone(cause(&error)),
        Ok(()) => match connection.execute_batch("COMMIT") {
            Ok(()) => return Outcome::Done,
            Err(error) => failed_commit(cause(&error)),
        },
    };
    // After some errors SQLite has rolled back already and rejects this statement; no transaction is open in
    // either case.
    let _ = connection.execute_batch("ROLLBACK");
    outcome
}

/// An error during the commit may come after the changes became durable, so the outcome is unknown, save for
/// a busy file.
fn failed_commit(cause: Cause) -> Outcome {
    if cause == Cause::Busy { Outcome::NotDone(cause) } else { Outcome::Unknown(cause) }
}

/// The cause that an error of SQLite stands for.
pub(crate) fn cause(error: &rusqlite::Error) -> Cause {
    match error.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => Cause::Busy,
        Some(ErrorCode::DiskFull) => Cause::Full,
        Some(ErrorCode::ReadOnly | ErrorCode::PermissionDenied) => Cause::ReadOnly,
        _ => Cause::Other,
    }
}
