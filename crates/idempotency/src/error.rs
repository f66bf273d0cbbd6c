//! Errors at the edge of this crate: why a file cannot be opened, and why a session with a database is of no use.

use crate::postgres::ServerError;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A file by its kind and path, as messages name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreFile {
    /// What operators call this kind of file.
    pub kind: &'static str,
    /// Where it is.
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

/// Why a file cannot be opened, on one line that says what to do. The file is as it was.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The folder or the file cannot be used.
    #[error("{file}: {error}; its folder must be there and writable")]
    Path {
        /// Which file.
        file: StoreFile,
        /// What the system said.
        error: io::Error,
    },
    /// Another process serves from it.
    #[error("{0}: another process serves from it; stop that one first")]
    Owned(StoreFile),
    /// Another connection holds its lock.
    #[error("{0}: locked by another program; end that one, nothing was changed")]
    Locked(StoreFile),
    /// It is of another program.
    #[error("{0}: is a file of another program; give another path, nothing was changed")]
    Foreign(StoreFile),
    /// It was made by a newer version of this program.
    #[error(
        "{file}: is of version {version}, this program knows up to {known}; use the newer program, nothing was changed"
    )]
    Newer {
        /// Which file.
        file: StoreFile,
        /// Its version.
        version: i64,
        /// The newest version that this program can read.
        known: usize,
    },
    /// It cannot be read.
    #[error(
        "{file}: is damaged ({damage}); restore it, or move it away to start with none, nothing was changed"
    )]
    Damaged {
        /// Which file.
        file: StoreFile,
        /// What SQLite found.
        damage: String,
    },
    /// It is the log of another node.
    #[error("{file}: belongs to {owner}, this is {node}; give each node its own path, nothing was changed")]
    OtherOwner {
        /// Which file.
        file: StoreFile,
        /// Whose it is.
        owner: String,
        /// Who wants it.
        node: String,
    },
    /// A value of a consensus log has another checksum than when it was written.
    #[error(
        "{file}: is damaged ({value} is not as it was written); the others can do without this node: see \
         docs/operators/fleet.md before you move the file away, nothing was changed"
    )]
    DamagedLog {
        /// Which file.
        file: StoreFile,
        /// Which value of it.
        value: String,
    },
    /// The thread that does the work cannot be started.
    #[error("{kind}: {error}")]
    Thread {
        /// What operators call this kind of file.
        kind: &'static str,
        /// What the system said.
        error: io::Error,
    },
    /// The system has no disk, as in a simulation.
    #[error("{}: there is no disk in this world yet", .0.display())]
    NoDisk(PathBuf),
    /// Anything else that SQLite said.
    #[error("{file}: {error}")]
    Other {
        /// Which file.
        file: StoreFile,
        /// What SQLite said.
        error: String,
    },
}

/// Why a session with PostgreSQL is of no use; the outcome of what is in flight on it is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SessionError {
    /// The server cannot be connected to.
    #[error("{address}: {error}")]
    Connect {
        /// Where it was looked for.
        address: SocketAddr,
        /// What the system said.
        error: String,
    },
    /// The connection cannot be read or written.
    #[error("{0}")]
    Io(String),
    /// The server closed the connection.
    #[error("the server closed the connection")]
    Closed,
    /// The server has not answered in time.
    #[error("no answer in time")]
    Timeout,
    /// The login cannot be sent, or the server's proof is wrong.
    #[error("login: {0}")]
    Login(String),
    /// The server refused the login.
    #[error("login: {0}")]
    LoginRefused(ServerError),
    /// The server knows no method of authentication that this program uses.
    #[error("login: the server offers no SCRAM-SHA-256")]
    NoScram,
    /// The server would have the password sent in a form that shows it.
    #[error("login: the server asks for a password in a weak form; set scram-sha-256 for this role")]
    WeakPassword,
    /// The server ended the session while nothing was in flight.
    #[error("{0}")]
    Ended(ServerError),
    /// The server refused a step of the start.
    #[error("{step}: {error}")]
    Refused {
        /// What could not be done.
        step: StartStep,
        /// What the server said.
        error: ServerError,
    },
    /// The tables were made by a newer version of this program.
    #[error("its tables are of version {version}, this program knows {known}; use the newer program")]
    NewerTables {
        /// Their version.
        version: i32,
        /// The version that this program can use.
        known: i32,
    },
    /// There are no tables to look at.
    #[error("there are no tables of a store of record")]
    NoTables,
    /// The table that says which version the tables have is empty.
    #[error("its table of versions is empty; it is no store of record")]
    NoVersion,
    /// The server returned no epoch for the node's name.
    #[error("no epoch came back")]
    NoEpoch,
    /// A message cannot be read.
    #[error("a reply that cannot be read: {0}")]
    Unreadable(String),
    /// A message is longer than any that is expected.
    #[error("a reply that is too long")]
    TooLong,
    /// A message that does not belong to the present step.
    #[error("a reply out of turn")]
    OutOfTurn,
    /// The server was ready while nothing was in flight.
    #[error("ready out of turn")]
    ReadyOutOfTurn,
    /// A batch ended before there was one.
    #[error("an outcome before there was work")]
    OutcomeOutOfTurn,
    /// A row came for a statement that returns none.
    #[error("a row that nobody asked for")]
    UnexpectedRow,
    /// A row has other columns or other values than the tables allow.
    #[error("a row of another form")]
    MalformedRow,
    /// A statement cannot be put into the protocol's form.
    #[error("a statement that cannot be sent")]
    Unsendable,
}

/// A step of a session's start that the server can refuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartStep {
    /// Reading the version of the tables.
    #[error("its tables cannot be read")]
    ReadVersion,
    /// Making the tables.
    #[error("its tables cannot be made")]
    CreateTables,
    /// Preparing the statements.
    #[error("its tables are not as they should be")]
    Prepare,
    /// Taking the node's name with a new epoch.
    #[error("the node's name cannot be taken")]
    TakeName,
    /// Reading the rows of an earlier incarnation.
    #[error("its rows cannot be read")]
    LoadRows,
}
