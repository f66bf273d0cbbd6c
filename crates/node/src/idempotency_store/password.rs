//! The password file: its first line is the password with which the database role logs in.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Longest password file that is accepted, in bytes; a longer file is probably another one, given by mistake.
const MAX_FILE_BYTES: u64 = 1_024;

/// Why the password file cannot be used.
#[derive(Debug, Error)]
pub enum PasswordError {
    /// The password file cannot be read.
    #[error("password file {}: cannot be read: {error}", .path.display())]
    Unreadable {
        /// The password file.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The password file at this path is longer than any that is accepted.
    #[error(
        "password file {}: is longer than {max} bytes; its first line has to be the password",
        .0.display(),
        max = MAX_FILE_BYTES
    )]
    TooLong(PathBuf),
    /// The first line of the password file at this path is empty.
    #[error("password file {}: its first line is empty; it has to be the password", .0.display())]
    Empty(PathBuf),
}

/// Reads the password with which the database role logs in: the first line of the file.
///
/// # Errors
/// The file cannot be read, is longer than [`PasswordError::TooLong`] allows, or its first line is empty.
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
