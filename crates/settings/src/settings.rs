//! What the operators can set, with the defaults that hold without a script.

use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings in effect; one that the script leaves out has its default.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Settings {
    /// The durable idempotency store; `None` keeps keys in memory alone.
    pub record: Option<IdempotencyStoreSettings>,
    /// The cluster that this node is a member of; `None` for a node on its own.
    pub fleet: Option<ClusterSettings>,
    /// The log.
    pub log: LogSettings,
}

/// A cluster of nodes that agree on settings and lists.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClusterSettings {
    /// The name of the cluster, the same at all its nodes.
    pub name: String,
    /// Name and address of each founding member, in the same order at all nodes.
    pub members: Vec<(String, SocketAddr)>,
    /// The number that `gaugestand fleet join` gave to a node that joined later and is not among `members`.
    pub number: Option<u8>,
    /// Where this node listens for its peers, if not at its own address among `members`.
    pub listen: Option<SocketAddr>,
    /// The file of the consensus log.
    pub path: PathBuf,
    /// The lease: how long a node may act on a version without hearing from a quorum, in milliseconds.
    pub contradict_ms: u64,
    /// Bound on the drift between the clocks of two nodes, in parts per million.
    pub drift_ppm: u64,
    /// Which lists a version may hold.
    pub lists: Lists,
}

/// Which lists a version may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Lists {
    /// None that affects requests.
    None,
    /// Subjects whose requests are rejected.
    Barred,
    /// Quotas of gateways.
    Shares,
    /// Both.
    Both,
}

/// The durable idempotency store.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct IdempotencyStoreSettings {
    /// Where rows are stored.
    #[serde(flatten)]
    pub backend: Backend,
    /// Most keys in the table.
    pub entries: usize,
    /// Most memory that the table takes, in megabytes.
    pub memory_mb: usize,
    /// A write that takes longer than this opens the circuit breaker, in milliseconds.
    pub stall_ms: u64,
    /// Most writes in one transaction.
    pub batch: usize,
    /// Most writes in the queue.
    pub waiting: usize,
}

/// Where rows are stored.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "backend", rename_all = "lowercase")]
pub enum Backend {
    /// In a SQLite file that belongs to this node alone.
    Sqlite {
        /// The file.
        path: PathBuf,
        /// When a commit counts as durable.
        sync: SyncMode,
    },
    /// In a PostgreSQL database that several nodes may share.
    Postgres {
        /// The server.
        address: SocketAddr,
        /// The database.
        database: String,
        /// The role.
        user: String,
        /// The file that holds the role's password on its first line.
        password_file: PathBuf,
    },
}

/// When a commit counts as durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum SyncMode {
    /// Once the write-ahead log is on disk.
    Full,
    /// Once the directory entry of the log is on disk too.
    Extra,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LogSettings {
    /// The format of a line.
    pub form: LogFormat,
    /// The least severe level that is written.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { form: LogFormat::Text, level: LogLevel::Info }
    }
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Something does not work.
    Error,
    /// Something may soon stop working.
    Warn,
    /// Events that concern operators.
    Info,
    /// Details for developers.
    Debug,
}
