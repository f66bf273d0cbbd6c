//! The sub-command `gaugestand fleet`: operators look at and change what the cluster has committed.
//!
//! Each task is one or a few calls to one node, at its second address; that node forwards a proposal to the leader. A task
//! changes nothing on its own: if a call fails for want of an answer, it may be done yet, and the message says so.

mod admin_client;
mod report;

use crate::Failure;
use admin_client::AdminClient;
use gaugestand_cluster::diff::{self, Content};
use gaugestand_cluster::wire::MAX_CONTENT_BYTES;
use serde_json::{Value, json};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long a node that was asked may lag behind the leader after a join; far longer than a link to it takes.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(8);
/// From one look at the membership to the next.
const MEMBERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Task {
    /// Print the state of the cluster, as the node sees it.
    Status,
    /// Print which versions are kept.
    History,
    /// Print one version's content.
    Show(u64),
    /// Print how two versions differ, and what that means.
    Diff {
        /// The older version.
        old: u64,
        /// The newer version.
        new: u64,
    },
    /// Propose a file as the next version.
    Propose {
        /// Its content: JSON with `settings` and `lists`.
        file: PathBuf,
        /// Only if this is the last version.
        expect: Option<u64>,
        /// Even if it starves a keyed class.
        force: bool,
    },
    /// Let a node join.
    Join {
        /// Its name and address, as in `n4=10.0.0.4:7000`.
        member: String,
    },
    /// Remove a node.
    Remove {
        /// Its name.
        name: String,
        /// Even if the rest could not outlast its next loss.
        force: bool,
    },
    /// Propose the content of an earlier version as the next one.
    Rollback {
        /// Which.
        version: u64,
        /// Even if it starves a keyed class.
        force: bool,
    },
}

/// Which node to ask, and how to print.
#[derive(Clone, Debug)]
pub struct Target {
    /// The node's second address; else BALANCER_ADMIN_ADDR, else the configuration's.
    pub admin: Option<SocketAddr>,
    /// Print JSON, for programs.
    pub json: bool,
}

/// Why a task failed.
#[derive(Debug, thiserror::Error)]
enum ClusterCommandError {
    #[error("give --admin ADDRESS, a node's second address")]
    NoAddress,
    #[error("{0}: is not an address and a port")]
    InvalidAddress(String),
    #[error("{address}: {error}; is the node up, and its second address on?")]
    Connection { address: SocketAddr, error: std::io::Error },
    #[error("{0}: no answer in time; it may be done yet: see 'gaugestand fleet status'")]
    NoAnswer(SocketAddr),
    /// The node's own words.
    #[error("{0}")]
    Rejected(String),
    #[error("the answer cannot be read: {0}")]
    MalformedAnswer(serde_json::Error),
    #[error("version {version} cannot be read: {error}")]
    MalformedVersion { version: u64, error: serde_json::Error },
    #[error("{}: {error}", file.display())]
    ContentFile { file: PathBuf, error: ContentFileError },
}

/// What is wrong with a file that is to be proposed.
#[derive(Debug, thiserror::Error)]
enum ContentFileError {
    #[error(transparent)]
    Read(#[from] std::io::Error),
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("{0} bytes, {max} at most", max = MAX_CONTENT_BYTES)]
    TooLong(usize),
}

impl From<ClusterCommandError> for Failure {
    fn from(error: ClusterCommandError) -> Self {
        Failure::Start(error.to_string())
    }
}

/// Carries out a task, and prints what came of it.
pub fn run(task: &Task, target: &Target) -> Result<(), Failure> {
    Ok(carry_out(task, target)?)
}

fn carry_out(task: &Task, target: &Target) -> Result<(), ClusterCommandError> {
    let client = AdminClient::new(target.admin)?;
    match task {
        Task::Status => {
            let status = client.call("STATUS")?;
            if target.json {
                println!("{status}");
            } else {
                print!("{}", report::status(&parse(&status)?));
            }
        }
        Task::History => {
            let history = client.call("HISTORY")?;
            if target.json {
                println!("{history}");
            } else {
                print!("{}", report::history(&parse(&history)?));
            }
        }
        Task::Show(version) => println!("{}", client.call(&format!("SHOW {version}"))?),
        Task::Diff { old, new } => print_diff(&client, target, *old, *new)?,
        Task::Propose { file, expect, force } => {
            let content = read_content(file)
                .map_err(|error| ClusterCommandError::ContentFile { file: file.clone(), error })?;
            let expected = expect.map_or("-".to_string(), |version| version.to_string());
            let force = if *force { "force" } else { "-" };
            print_committed(target, &client.call(&format!("PROPOSE {expected} {force} {content}"))?)?;
        }
        Task::Join { member } => {
            let answer = client.call(&format!("JOIN {member}"))?;
            print_committed(target, &answer)?;
            if !target.json {
                let name = member.split('=').next().unwrap_or_default();
                println!("{}", how_to_start(&client, name, parse(&answer)?["version"].as_u64())?);
            }
        }
        Task::Remove { name, force } => {
            let force = if *force { " force" } else { "" };
            print_committed(target, &client.call(&format!("REMOVE {name}{force}"))?)?;
        }
        Task::Rollback { version, force } => {
            let force = if *force { " force" } else { "" };
            print_committed(target, &client.call(&format!("ROLLBACK {version}{force}"))?)?;
        }
    }
    Ok(())
}

fn parse(answer: &str) -> Result<Value, ClusterCommandError> {
    serde_json::from_str(answer).map_err(ClusterCommandError::MalformedAnswer)
}

fn print_committed(target: &Target, answer: &str) -> Result<(), ClusterCommandError> {
    if target.json {
        println!("{answer}");
    } else {
        println!("version {} is agreed", parse(answer)?["version"]);
    }
    Ok(())
}

fn print_diff(client: &AdminClient, target: &Target, old: u64, new: u64) -> Result<(), ClusterCommandError> {
    let old = fetch_content(client, old)?;
    let new = fetch_content(client, new)?;
    let differences = diff::differences(&old, &new);
    let overall = diff::overall(&differences);
    if target.json {
        println!("{}", json!({"verdict": overall, "differences": differences}));
    } else {
        print!("{}", report::differences(&differences, overall));
    }
    Ok(())
}

fn fetch_content(client: &AdminClient, version: u64) -> Result<Content, ClusterCommandError> {
    let content = client.call(&format!("SHOW {version}"))?;
    serde_json::from_str(&content).map_err(|error| ClusterCommandError::MalformedVersion { version, error })
}

/// The content of a file in one line, as a call takes it.
fn read_content(file: &Path) -> Result<String, ContentFileError> {
    let text = fs::read_to_string(file)?;
    let content: Content = serde_json::from_str(&text)?;
    let line = serde_json::to_string(&content)?;
    if line.len() > MAX_CONTENT_BYTES {
        return Err(ContentFileError::TooLong(line.len()));
    }
    Ok(line)
}

/// How to start a node that has joined. The node that is called may learn of the new membership after the leader.
fn how_to_start(
    client: &AdminClient,
    name: &str,
    version: Option<u64>,
) -> Result<String, ClusterCommandError> {
    let mut status = parse(&client.call("STATUS")?)?;
    let started = Instant::now();
    while status["last"].as_u64() < version && started.elapsed() < MEMBERSHIP_TIMEOUT {
        std::thread::sleep(MEMBERSHIP_POLL_INTERVAL);
        status = parse(&client.call("STATUS")?)?;
    }
    let mut members = status["members"].as_array().into_iter().flatten();
    let number = members.find(|member| member["name"] == name).map(|member| &member["number"]);
    Ok(match number {
        Some(number) => format!(
            "{name} is node {number}: start it with the fleet(...) of the others, and number = {number} and its own listen and path"
        ),
        None => format!("{name}: see its number with 'gaugestand fleet status'"),
    })
}
