//! The sub-commands that look after a store of record.

use crate::Failure;
use gaugestand_idempotency::blocking_client::BlockingClient;
use gaugestand_idempotency::postgres::Login;
use gaugestand_idempotency::row::{Outcome, Row, RowState};
use gaugestand_idempotency::sqlite::{self, Options, Sqlite};
use gaugestand_node::idempotency_store::password;
use gaugestand_settings::Backend;
use serde::Serialize;
use std::env;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Task {
    /// Read all of it and say whether it is sound.
    Check,
    /// Show every row.
    List,
    /// Count rows.
    Stats,
    /// Remove rows whose window ended at least so many seconds ago.
    Prune(u64),
}

/// Which store, and how to print.
#[derive(Clone, Debug)]
pub struct Which {
    /// The operators' script.
    pub settings: PathBuf,
    /// Whose rows, in a database.
    pub node: Option<String>,
    /// For programs.
    pub json: bool,
}

/// A row as it is shown.
#[derive(Serialize)]
struct Shown {
    key: String,
    state: &'static str,
    txn: String,
    /// Milliseconds of Unix time.
    ran_ms: u64,
    until_ms: u64,
    /// Its window is not over by this machine's clock.
    live: bool,
    result_bytes: usize,
}

impl Shown {
    fn of(row: &Row, now: u64) -> Self {
        let (state, result_bytes) = match &row.state {
            RowState::Intent => ("intent", 0),
            RowState::Completed(result) => ("good", result.len()),
            RowState::Failed => ("failed", 0),
        };
        Shown {
            key: row.key.clone(),
            state,
            txn: format!("{:016x}", row.holder),
            ran_ms: row.ingress / 1000,
            until_ms: row.expires / 1000,
            live: row.expires > now,
            result_bytes,
        }
    }
}

/// Counts of rows.
#[derive(Default, Serialize)]
struct Stats {
    backend: &'static str,
    rows: u64,
    intents: u64,
    good: u64,
    failed: u64,
    live: u64,
    result_bytes: u64,
    /// Milliseconds of Unix time at which the run of the oldest and the newest row reached its machine.
    oldest_ms: Option<u64>,
    newest_ms: Option<u64>,
}

impl Stats {
    fn add(&mut self, row: &Shown) {
        self.rows += 1;
        match row.state {
            "intent" => self.intents += 1,
            "good" => self.good += 1,
            _ => self.failed += 1,
        }
        self.live += u64::from(row.live);
        self.result_bytes += row.result_bytes as u64;
        self.oldest_ms = Some(self.oldest_ms.map_or(row.ran_ms, |t| t.min(row.ran_ms)));
        self.newest_ms = Some(self.newest_ms.map_or(row.ran_ms, |t| t.max(row.ran_ms)));
    }
}

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn login(backend: &Backend, node: Option<String>) -> Result<Login, Failure> {
    let Backend::Postgres { database, user, password_file, .. } = backend else {
        return Err(Failure::Start("a file has no login".into()));
    };
    let Some(node) = node.or_else(|| env::var("BALANCER_NAME").ok()) else {
        return Err(Failure::Start("whose rows? give --node NAME or set BALANCER_NAME".into()));
    };
    let password = password(password_file).map_err(|error| Failure::Script(error.to_string()))?;
    Ok(Login { user: user.clone(), password, database: database.clone(), node })
}

/// Shows every row to `each`.
fn rows(backend: &Backend, node: Option<String>, mut each: impl FnMut(Row)) -> Result<(), Failure> {
    let failed = |e: &dyn std::fmt::Display| Failure::Start(e.to_string());
    match backend {
        Backend::Sqlite { path, .. } => {
            let store = sqlite::open_read_only(path).map_err(|e| failed(&e))?;
            sqlite::for_each_row(&store, each).map_err(|e| unread(path, &e))
        }
        Backend::Postgres { address, .. } => {
            let (_, rows) =
                BlockingClient::read_only(*address, login(backend, node)?).map_err(|e| failed(&e))?;
            rows.into_iter().for_each(&mut each);
            Ok(())
        }
    }
}

fn unread(path: &Path, e: &dyn std::fmt::Display) -> Failure {
    Failure::Start(format!("store of record {}: is damaged ({e}); restore it", path.display()))
}

/// Prints to standard output; a reader that has gone ends it quietly.
fn print(line: &str) -> Result<(), Failure> {
    match writeln!(io::stdout(), "{line}") {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(Failure::Start(e.to_string())),
        _ => Ok(()),
    }
}

fn json(value: &impl Serialize) -> Result<String, Failure> {
    serde_json::to_string(value).map_err(|e| Failure::Start(e.to_string()))
}

/// Does a task.
pub fn run(task: &Task, which: Which) -> Result<(), Failure> {
    let settings = gaugestand_settings::load(&which.settings).map_err(|e| Failure::Script(e.to_string()))?;
    let Some(record) = settings.record else {
        let problem = "sets no store of record; add record(...)";
        return Err(Failure::Script(format!("{}: {problem}", which.settings.display())));
    };
    let (backend, now) = (record.backend, unix());
    match task {
        Task::List => {
            let mut done = Ok(());
            rows(&backend, which.node, |row| {
                let row = Shown::of(&row, now);
                if done.is_ok() {
                    done = match which.json {
                        true => json(&row).and_then(|line| print(&line)),
                        false => print(&format!(
                            "{} {:6} txn {} ran_ms {} until_ms {} {} result {} bytes",
                            row.key,
                            row.state,
                            row.txn,
                            row.ran_ms,
                            row.until_ms,
                            if row.live { "live" } else { "over" },
                            row.result_bytes
                        )),
                    };
                }
            })?;
            done
        }
        Task::Check | Task::Stats => {
            if let (Task::Check, Backend::Sqlite { path, .. }) = (task, &backend) {
                sqlite::check(path).map_err(|e| Failure::Start(e.to_string()))?;
            }
            let backend_name = if matches!(backend, Backend::Sqlite { .. }) { "sqlite" } else { "postgres" };
            let mut stats = Stats { backend: backend_name, ..Stats::default() };
            rows(&backend, which.node, |row| stats.add(&Shown::of(&row, now)))?;
            if which.json {
                return print(&json(&stats)?);
            }
            let Stats { rows, intents, good, failed, live, result_bytes, .. } = stats;
            let sound = if matches!(task, Task::Check) { "sound: " } else { "" };
            print(&format!(
                "{sound}{rows} rows ({good} good, {failed} failed, {intents} intents), {live} live, \
                 {result_bytes} bytes of results"
            ))
        }
        Task::Prune(seconds) => {
            let before = now.saturating_sub(seconds.saturating_mul(1_000_000));
            let removed = match &backend {
                Backend::Sqlite { path, .. } => {
                    if !path.exists() {
                        return Err(Failure::Start(format!(
                            "store of record {}: is not there",
                            path.display()
                        )));
                    }
                    let store = Sqlite::open(path, &Options::default());
                    let store = store.map_err(|e| Failure::Start(e.to_string()))?;
                    Some(store.prune(before).map_err(|e| unread(path, &e))? as u64)
                }
                Backend::Postgres { address, .. } => {
                    let login = login(&backend, which.node)?;
                    let (mut remote, found) = BlockingClient::read_only(*address, login)
                        .map_err(|e| Failure::Start(e.to_string()))?;
                    match remote.prune(before).map_err(|e| Failure::Start(e.to_string()))? {
                        Outcome::Done => Some(found.iter().filter(|r| r.expires <= before).count() as u64),
                        Outcome::NotDone(cause) | Outcome::Unknown(cause) => {
                            return Err(Failure::Start(format!("store of record: nothing removed, {cause}")));
                        }
                        Outcome::Rows(_) => None,
                    }
                }
            };
            let removed = removed.unwrap_or_default();
            match which.json {
                true => print(&format!("{{\"removed\":{removed}}}")),
                false => print(&format!("{removed} rows removed")),
            }
        }
    }
}
