//! The errors that this crate returns: why a file cannot be opened, and why a session with a database cannot
//! be used.

use crate::postgres::ServerError;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Kind and path of a file, by which error messages name the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreFile {
    /// Name of this kind of file in messages to operators.
    pub kind: &'static str,
    /// Path of the file.
    pub path: PathBuf,
}

impl StoreFile {
    pub(crate) fn new(kind: &'static str, path: &Path) -> Self {
        StoreFile { kind, path: path.to_path_buf() }
    }
}

impl fmt::Display for StoreFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.path.display())
    }
}

/// Why a file cannot be opened. Each message is one line that also says what to do. The file is left
/// unchanged.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The file or its folder does not exist or cannot be read or written.
    #[error("{file}: {error}; its folder must exist and be writable")]
    Path {
        /// The file that was to be opened.
        file: StoreFile,
        /// The error of the operating system.
        error: io::Error,
    },
    /// Another process holds the lock of the file.
    #[error("{0}: in use by another process; end that process, nothing was changed")]
    Owned(StoreFile),
    /// Another connection has the database locked.
    #[error("{0}: locked by another program; end that program, nothing was changed")]
    Locked(StoreFile),
    /// The file was made by another program.
    #[error("{0}: is a file of another program; give another path, nothing was changed")]
    Foreign(StoreFile),
    /// The file was made by a newer version of this program.
    #[error(
        "{file}: has version {version}, this program supports up to {known}; use the newer program, \
         nothing was changed"
    )]
    Newer {
        /// The file that was to be opened.
        file: StoreFile,
        /// Version of the file.
        version: i64,
        /// The newest version that this program can read.
        known: usize,
    },
    /// The file is not an intact SQLite database, or a row in it does not match its checksum.
    #[error(
        "{file}: is damaged ({damage}); restore it, or move it away to start with an empty one, \
         nothing was changed"
    )]
    Damaged {
        /// The file that was to be opened.
        file: StoreFile,
        /// The damage, as SQLite reports it.
        damage: String,
    },
    /// The file is the consensus log of another node.
    #[error("{file}: belongs to {owner}, this is {node}; give each node its own path, nothing was changed")]
    OtherOwner {
        /// The file that was to be opened.
        file: StoreFile,
        /// Owner that is stored in the file.
        owner: String,
        /// Owner that this node would store in it.
        node: String,
    },
    /// A value in a consensus log does not match the checksum that was written with it, or has an unknown
    /// name.
    #[error(
        "{file}: is damaged ({value} differs from what was written); the cluster can go on without this \
         node: see docs/operators/fleet.md before you move the file away, nothing was changed"
    )]
    DamagedLog {
        /// The file that was to be opened.
        file: StoreFile,
        /// Name of the damaged value.
        value: String,
    },
    /// The thread that works on the file cannot be started.
    #[error("{kind}: the worker thread cannot be started: {error}")]
    Thread {
        /// Name of this kind of file in messages to operators.
        kind: &'static str,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The simulated system has no disk.
    #[error("{}: the simulated system has no disk", .0.display())]
    NoDisk(PathBuf),
    /// Any other error of SQLite.
    #[error("{file}: SQLite error: {error}")]
    Other {
        /// The file that was to be opened.
        file: StoreFile,
        /// The error of SQLite.
        error: String,
    },
}

/// Why a session with PostgreSQL cannot be used any more. The outcome of a batch in flight on it is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SessionError {
    /// The server cannot be connected to.
    #[error("cannot connect to {address}: {error}")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// The error of the operating system.
        error: String,
    },
    /// The connection cannot be read or written.
    #[error("cannot read from or write to the connection: {0}")]
    Io(String),
    /// The server closed the connection.
    #[error("the server closed the connection")]
    Closed,
    /// The server did not answer within the time limit that the node sets.
    #[error("the server did not answer within the time limit")]
    Timeout,
    /// The login cannot be sent, or the server failed to prove that it knows the password.
    #[error("login failed: {0}")]
    Login(String),
    /// The server refused the login.
    #[error("login rejected by the server: {0}")]
    LoginRefused(ServerError),
    /// The server offers no method of authentication that this program supports.
    #[error("login failed: the server does not offer SCRAM-SHA-256")]
    NoScram,
    /// The server asks for the password in clear text or as an MD5 hash, which would expose it.
    #[error(
        "login failed: the server asks for the password in clear text or as MD5; set scram-sha-256 for \
         this role"
    )]
    WeakPassword,
    /// The server ended the session while nothing was in flight.
    #[error("the server ended the session: {0}")]
    Ended(ServerError),
    /// The server rejected a step of the session's start.
    #[error("{step}: {error}")]
    Refused {
        /// The step that the server rejected.
        step: StartStep,
        /// The server's error response.
        error: ServerError,
    },
    /// The tables were made by a newer version of this program.
    #[error("the tables have version {version}, this program supports {known}; use the newer program")]
    NewerTables {
        /// Version of the tables.
        version: i32,
        /// The only version that this program can use.
        known: i32,
    },
    /// A read-only session found no tables.
    #[error("the database has no tables of an idempotency store")]
    NoTables,
    /// The table that holds the version of the tables is empty.
    #[error("the table gaugestand_schema is empty; the database is not an idempotency store")]
    NoVersion,
    /// The server returned no epoch for the node's name.
    #[error("the server returned no epoch for the node's name")]
    NoEpoch,
    /// A message of the server cannot be decoded, or one to the server cannot be encoded.
    #[error("malformed message: {0}")]
    Unreadable(String),
    /// A message of the server exceeds the size limit.
    #[error("the server sent a message longer than {max} bytes", max = crate::postgres::MAX_MESSAGE_BYTES)]
    TooLong,
    /// The server sent a message that the session does not expect in the step that it has reached.
    #[error("the server sent a message that the session does not expect at this point")]
    OutOfTurn,
    /// The server reported that it is ready although no work was in flight.
    #[error("the server reported that it is ready although no work was in flight")]
    ReadyOutOfTurn,
    /// A batch ended although none had been sent.
    #[error("a batch ended although none had been sent")]
    OutcomeOutOfTurn,
    /// The server sent a row for a statement that returns none.
    #[error("the server sent a row for a statement that returns none")]
    UnexpectedRow,
    /// A row has columns or values that the tables do not allow.
    #[error("the server sent a row with unexpected columns or values")]
    MalformedRow,
    /// A statement cannot be encoded, as a value is too long for the protocol.
    #[error("a statement cannot be encoded: a value is too long for the protocol")]
    Unsendable,
}

/// A step of a session's start that the server can reject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartStep {
    /// Reading the version of the tables.
    #[error("cannot read the version of the tables")]
    ReadVersion,
    /// Creating the tables.
    #[error("cannot create the tables")]
    CreateTables,
    /// Preparing the statements.
    #[error("cannot prepare the statements; the tables must be those that this program creates")]
    Prepare,
    /// Taking the node's name with a new epoch.
    #[error("cannot register the node's name with a new epoch")]
    TakeName,
    /// Reading the rows of earlier incarnations.
    #[error("cannot read the node's rows")]
    LoadRows,
}
