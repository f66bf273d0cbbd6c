//! The settings that operators make in a script. Their ranges and most of their defaults are in the module
//! `builtins`.

use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// All settings that a script can make. A setting that the script leaves out has its default.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Settings {
    /// The durable idempotency store, set by `record(...)`; with `None`, idempotency keys are kept in memory
    /// only.
    pub record: Option<IdempotencyStoreSettings>,
    /// The cluster that this node is a member of, set by `fleet(...)`; `None` for a node on its own.
    pub fleet: Option<ClusterSettings>,
    /// Format and level of the log, set by `log(...)`.
    pub log: LogSettings,
}

/// The cluster that a node is a member of: nodes that agree on settings and lists.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClusterSettings {
    /// The name of the cluster, the same at all its nodes.
    pub name: String,
    /// Name and address of each founding member, in the same order at all nodes.
    pub members: Vec<(String, SocketAddr)>,
    /// The node number, from 0 to 255, that `gaugestand fleet join` gave to a node that joined later and is
    /// not among `members`; `None` for a founding member.
    pub number: Option<u8>,
    /// The address at which this node listens for its peers; `None` for its own address among `members`.
    pub listen: Option<SocketAddr>,
    /// Path of the file that holds the consensus log.
    pub path: PathBuf,
    /// Duration of the lease, in milliseconds: how long a node may act on a version without hearing from a
    /// quorum.
    pub contradict_ms: u64,
    /// Upper bound of the drift between the clocks of two nodes, in parts per million.
    pub drift_ppm: u64,
    /// Which kinds of lists that affect requests a version may hold.
    pub lists: Lists,
}

/// The kinds of lists that affect requests and that a version of the agreed settings may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Lists {
    /// No list that affects requests.
    None,
    /// Lists of subjects whose requests are rejected.
    Barred,
    /// Lists of quotas of gateways.
    Shares,
    /// Lists of subjects whose requests are rejected, and lists of quotas of gateways.
    Both,
}

/// Settings of the durable idempotency store, which is behind the idempotency table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct IdempotencyStoreSettings {
    /// Where the store keeps its rows.
    #[serde(flatten)]
    pub backend: Backend,
    /// Maximum number of idempotency keys in the table.
    pub entries: usize,
    /// Maximum memory of the idempotency table, in megabytes.
    pub memory_mb: usize,
    /// Longest time that a write may take, in milliseconds. A write that takes longer opens the store's
    /// circuit breaker.
    pub stall_ms: u64,
    /// Maximum number of writes in one transaction.
    pub batch: usize,
    /// Maximum number of writes that wait in the queue for a transaction.
    pub waiting: usize,
}

/// Where the idempotency store keeps its rows.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "backend", rename_all = "lowercase")]
pub enum Backend {
    /// In a SQLite file that belongs to this node alone.
    Sqlite {
        /// Path of the file.
        path: PathBuf,
        /// When a commit counts as durable.
        sync: SyncMode,
    },
    /// In a PostgreSQL database that several nodes may share.
    Postgres {
        /// Address of the server.
        address: SocketAddr,
        /// Name of the database.
        database: String,
        /// Name of the role that the node logs in with.
        user: String,
        /// Path of the file that holds the role's password on its first line.
        password_file: PathBuf,
    },
}

/// When a commit to a SQLite file counts as durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum SyncMode {
    /// A commit is durable once the write-ahead log is on disk.
    Full,
    /// A commit is durable once the write-ahead log and its directory entry are on disk.
    Extra,
}

/// Format and level of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LogSettings {
    /// The format of the log lines.
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
    /// Plain text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// A function of the node does not work.
    Error,
    /// A function of the node may soon stop working.
    Warn,
    /// Events that concern operators.
    Info,
    /// Details for developers.
    Debug,
}
