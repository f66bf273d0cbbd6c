//! The password that a role logs in to the database with: the first line of a file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Longest password file, in bytes; a longer one is not what was meant.
const MAX_FILE_BYTES: u64 = 1_024;

/// Why there is no password.
#[derive(Debug, Error)]
pub enum PasswordError {
    /// The file cannot be read.
    #[error("password file {}: {error}", .path.display())]
    Unreadable {
        /// Which file.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// The file is longer than any password.
    #[error("password file {}: is too long", .0.display())]
    TooLong(PathBuf),
    /// There is nothing in the first line.
    #[error("password file {}: its first line is empty", .0.display())]
    Empty(PathBuf),
}

/// Reads the password that a role logs in with: the first line of a file.
///
/// # Errors
/// The file cannot be read, is longer than any password file may be, or its first line is empty.
pub fn password(path: &Path) -> Result<Vec<u8>, PasswordError> {
    let unreadable = |error: io::Error| PasswordError::Unreadable { path: path.to_path_buf(), error };
    let bytes = fs::metadata(path).map_err(unreadable)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(PasswordError::TooLong(path.to_path_buf()));
    }
    let text = fs::read(path).map_err(unreadable)?;
    let line = text.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.is_empty() {
        return Err(PasswordError::Empty(path.to_path_buf()));
    }
    Ok(line.to_vec())
}
