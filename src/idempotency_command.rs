//! The sub-command `gaugestand record`: inspects and prunes the idempotency store.
//!
//! `check`, `list` and `stats` only read, and also work while a node uses the store. `prune` changes a SQLite
//! file only while no node uses the file; in PostgreSQL it removes rows of one node, also while that node
//! runs. A problem with a store is reported in one line.

use crate::Failure;
use gaugestand_admission::time::{Micros, UnixTime};
use gaugestand_idempotency::blocking_client::BlockingClient;
use gaugestand_idempotency::postgres::Login;
use gaugestand_idempotency::row::{Outcome, Row, RowState};
use gaugestand_idempotency::sqlite::{self, Options, Sqlite};
use gaugestand_node::idempotency_store::password;
use gaugestand_settings::Backend;
use serde::Serialize;
use std::env;
use std::fmt::Display;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// An operator's task on an idempotency store.
#[derive(Clone, Debug)]
pub enum Task {
    /// Reads the whole store and reports whether it is intact.
    Check,
    /// Prints every row.
    List,
    /// Counts the rows by state.
    Stats,
    /// Removes rows whose window ended at least this many seconds ago.
    Prune(u64),
}

/// Which store is used, and how the result is printed.
#[derive(Clone, Debug)]
pub struct Target {
    /// Path of the operators' script, which names the store.
    pub settings: PathBuf,
    /// Name of the node whose rows in PostgreSQL are used; `None` for the name in BALANCER_NAME.
    pub node: Option<String>,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// The printed form of a row; the field names are those of the JSON output.
#[derive(Serialize)]
struct PrintedRow {
    key: String,
    state: &'static str,
    txn: String,
    /// Unix time at which the run's request reached its machine, in milliseconds.
    ran_ms: u64,
    /// Unix time at which the row's window ends, in milliseconds.
    until_ms: u64,
    /// Whether the row's window has not ended yet, by this machine's clock.
    live: bool,
    result_bytes: usize,
}

impl PrintedRow {
    fn new(row: &Row, now: UnixTime) -> Self {
        let state = match &row.state {
            RowState::Intent => "intent",
            RowState::Completed(_) => "good",
            RowState::Failed => "failed",
        };
        PrintedRow {
            key: row.key.clone(),
            state,
            txn: format!("{:016x}", row.holder),
            ran_ms: row.ingress.0 / MICROS_PER_MILLI,
            until_ms: row.expires.0 / MICROS_PER_MILLI,
            live: row.expires > now,
            result_bytes: row.state.result().map_or(0, <[u8]>::len),
        }
    }

    fn line(&self, json: bool) -> Result<String, Failure> {
        if json {
            return to_json(self);
        }
        Ok(format!(
            "{} {:6} txn {} ran_ms {} until_ms {} {} result {} bytes",
            self.key,
            self.state,
            self.txn,
            self.ran_ms,
            self.until_ms,
            if self.live { "live" } else { "over" },
            self.result_bytes
        ))
    }
}

/// Numbers of rows by state, and sums over all rows; the field names are those of the JSON output.
#[derive(Default, Serialize)]
struct Stats {
    backend: &'static str,
    rows: u64,
    intents: u64,
    good: u64,
    failed: u64,
    live: u64,
    result_bytes: u64,
    /// The lowest `ran_ms` of all rows; `None` if there are no rows.
    oldest_ms: Option<u64>,
    /// The highest `ran_ms` of all rows; `None` if there are no rows.
    newest_ms: Option<u64>,
}

impl Stats {
    fn add(&mut self, row: &PrintedRow) {
        self.rows += 1;
        match row.state {
            "intent" => self.intents += 1,
            "good" => self.good += 1,
            _ => self.failed += 1,
        }
        self.live += u64::from(row.live);
        self.result_bytes += row.result_bytes as u64;
        self.oldest_ms = Some(self.oldest_ms.map_or(row.ran_ms, |oldest| oldest.min(row.ran_ms)));
        self.newest_ms = Some(self.newest_ms.map_or(row.ran_ms, |newest| newest.max(row.ran_ms)));
    }

    fn summary(&self) -> String {
        let Stats { rows, intents, good, failed, live, result_bytes, .. } = self;
        format!(
            "{rows} rows ({good} good, {failed} failed, {intents} intents), {live} live, \
             {result_bytes} bytes of results"
        )
    }
}

/// Carries out a task on the store that the operators' script names.
pub fn run(task: &Task, target: Target) -> Result<(), Failure> {
    let settings =
        gaugestand_settings::load(&target.settings).map_err(|error| Failure::Script(error.to_string()))?;
    let Some(record) = settings.record else {
        let problem = "no idempotency store is set; add record(...) to the script";
        return Err(Failure::Script(format!("{}: {problem}", target.settings.display())));
    };
    let backend = record.backend;
    let now = unix_time();
    match task {
        Task::List => list(&backend, target, now),
        Task::Check => check(&backend, target, now),
        Task::Stats => {
            let json = target.json;
            let stats = stats(&backend, target, now)?;
            print_stats(&stats, json, "")
        }
        Task::Prune(seconds) => {
            let before = now.minus(Micros(seconds.saturating_mul(MICROS_PER_SECOND)));
            prune(&backend, target, before)
        }
    }
}

fn list(backend: &Backend, target: Target, now: UnixTime) -> Result<(), Failure> {
    let mut printed = Ok(());
    for_each_row(backend, target.node, |row| {
        if printed.is_ok() {
            printed = PrintedRow::new(&row, now).line(target.json).and_then(|line| print(&line));
        }
    })?;
    printed
}

fn check(backend: &Backend, target: Target, now: UnixTime) -> Result<(), Failure> {
    if let Backend::Sqlite { path, .. } = backend {
        sqlite::check(path).map_err(start_failure)?;
    }
    let json = target.json;
    let stats = stats(backend, target, now)?;
    print_stats(&stats, json, "sound: ")
}

fn stats(backend: &Backend, target: Target, now: UnixTime) -> Result<Stats, Failure> {
    let name = if matches!(backend, Backend::Sqlite { .. }) { "sqlite" } else { "postgres" };
    let mut stats = Stats { backend: name, ..Stats::default() };
    for_each_row(backend, target.node, |row| stats.add(&PrintedRow::new(&row, now)))?;
    Ok(stats)
}

fn print_stats(stats: &Stats, json: bool, prefix: &str) -> Result<(), Failure> {
    if json {
        return print(&to_json(stats)?);
    }
    print(&format!("{prefix}{}", stats.summary()))
}

/// Removes the rows whose window ended at or before this Unix time; prints their number.
fn prune(backend: &Backend, target: Target, before: UnixTime) -> Result<(), Failure> {
    let removed = match backend {
        Backend::Sqlite { path, .. } => prune_file(path, before)?,
        Backend::Postgres { address, .. } => prune_database(*address, login(backend, target.node)?, before)?,
    };
    if target.json {
        return print(&format!("{{\"removed\":{removed}}}"));
    }
    print(&format!("{removed} rows removed"))
}

fn prune_file(path: &Path, before: UnixTime) -> Result<u64, Failure> {
    // Opening the store would create an empty one if the path is mistyped.
    if !path.exists() {
        return Err(Failure::Start(format!("idempotency store {}: the file does not exist", path.display())));
    }
    let store = Sqlite::open(path, &Options::default()).map_err(start_failure)?;
    let removed = store.prune(before).map_err(|error| unusable(path, &error))?;
    Ok(removed as u64)
}

fn prune_database(address: SocketAddr, login: Login, before: UnixTime) -> Result<u64, Failure> {
    let (mut client, found) = BlockingClient::read_only(address, login).map_err(start_failure)?;
    match client.prune(before).map_err(start_failure)? {
        Outcome::Done => Ok(found.iter().filter(|row| row.expires <= before).count() as u64),
        Outcome::NotDone(cause) | Outcome::Unknown(cause) => Err(Failure::Start(format!(
            "idempotency store: no rows were removed, or their removal was not confirmed: {cause}"
        ))),
        Outcome::Rows(_) => Ok(0),
    }
}

/// Reads the store without changing it and passes every row to `visit`.
fn for_each_row(backend: &Backend, node: Option<String>, mut visit: impl FnMut(Row)) -> Result<(), Failure> {
    match backend {
        Backend::Sqlite { path, .. } => {
            let store = sqlite::open_read_only(path).map_err(start_failure)?;
            sqlite::for_each_row(&store, visit).map_err(|error| unusable(path, &error))
        }
        Backend::Postgres { address, .. } => {
            let login = login(backend, node)?;
            let (_, rows) = BlockingClient::read_only(*address, login).map_err(start_failure)?;
            rows.into_iter().for_each(&mut visit);
            Ok(())
        }
    }
}

fn login(backend: &Backend, node: Option<String>) -> Result<Login, Failure> {
    let Backend::Postgres { database, user, password_file, .. } = backend else {
        return Err(Failure::Start("a SQLite file needs no login; expected a PostgreSQL store".into()));
    };
    let Some(node) = node.or_else(|| env::var("BALANCER_NAME").ok()) else {
        return Err(Failure::Start("no node is named: give --node NAME or set BALANCER_NAME".into()));
    };
    let password = password(password_file).map_err(|error| Failure::Script(error.to_string()))?;
    Ok(Login { user: user.clone(), password, database: database.clone(), node })
}

fn start_failure(error: impl Display) -> Failure {
    Failure::Start(error.to_string())
}

fn unusable(path: &Path, error: &dyn Display) -> Failure {
    Failure::Start(format!("idempotency store {}: cannot be read or changed: {error}", path.display()))
}

fn unix_time() -> UnixTime {
    UnixTime(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64)
}

fn to_json(value: &impl Serialize) -> Result<String, Failure> {
    serde_json::to_string(value).map_err(start_failure)
}

/// Prints a line to standard output. A closed pipe counts as success, as the program that reads the output
/// needs no more lines.
fn print(line: &str) -> Result<(), Failure> {
    match writeln!(io::stdout(), "{line}") {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(start_failure(error)),
        _ => Ok(()),
    }
}
