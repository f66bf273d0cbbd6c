//! Transactions on an SQLite file, and what an error proves about the outcome of a transaction.

use crate::row::{Cause, Outcome};
use rusqlite::{Connection, ErrorCode};

/// Runs `change` as one transaction: either all changes that `change` makes become durable, or none.
pub(crate) fn transaction(connection: &Connection, change: impl FnOnce() -> rusqlite::Result<()>) -> Outcome {
    // An immediate transaction takes the lock first, so a transaction that fails because the file is busy has
    // changed nothing.
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

/// An error during the commit may come after the changes became durable, so the outcome is unknown, unless
/// the error says that the file was busy.
fn failed_commit(cause: Cause) -> Outcome {
    if cause == Cause::Busy { Outcome::NotDone(cause) } else { Outcome::Unknown(cause) }
}

/// Converts an error of SQLite to the [`Cause`] that the key table acts on.
pub(crate) fn cause(error: &rusqlite::Error) -> Cause {
    match error.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => Cause::Busy,
        Some(ErrorCode::DiskFull) => Cause::Full,
        Some(ErrorCode::ReadOnly | ErrorCode::PermissionDenied) => Cause::ReadOnly,
        _ => Cause::Other,
    }
}
