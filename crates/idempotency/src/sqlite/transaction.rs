//! Transactions on an SQLite file, and what their errors prove.

use crate::row::{Cause, Outcome};
use rusqlite::{Connection, ErrorCode};

/// Makes changes durable, all of them or none.
pub(crate) fn transaction(connection: &Connection, change: impl FnOnce() -> rusqlite::Result<()>) -> Outcome {
    // An immediate transaction takes the lock first: one that is busy has done nothing.
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
    // Some errors have rolled back already; then this one is refused, and nothing is open either way.
    let _ = connection.execute_batch("ROLLBACK");
    outcome
}

/// What went wrong while the commit was under way may have come after the point of no return.
fn failed_commit(cause: Cause) -> Outcome {
    if cause == Cause::Busy { Outcome::NotDone(cause) } else { Outcome::Unknown(cause) }
}

/// What stands in the way of a write.
pub(crate) fn cause(error: &rusqlite::Error) -> Cause {
    match error.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => Cause::Busy,
        Some(ErrorCode::DiskFull) => Cause::Full,
        Some(ErrorCode::ReadOnly | ErrorCode::PermissionDenied) => Cause::ReadOnly,
        _ => Cause::Other,
    }
}
