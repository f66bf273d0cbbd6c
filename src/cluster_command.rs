//! The sub-command `gaugestand fleet`: lets operators inspect and change what the cluster has committed.
//!
//! Each task makes one or a few calls to one node, at its second address; that node forwards proposals to the
//! leader. The sub-command itself changes nothing. A call that got no answer may still be carried out by the
//! node, and the error text says so.

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

/// Longest time that the called node may lag behind the leader after a join; far longer than it takes to
/// connect the two nodes.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two status calls while the called node lags behind the leader.
const MEMBERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An operator's task on the cluster.
#[derive(Clone, Debug)]
pub enum Task {
    /// Prints the state of the cluster as the called node sees it.
    Status,
    /// Prints the numbers and sizes of the versions that are kept.
    History,
    /// Prints the content of the version with this number.
    Show(u64),
    /// Prints the differences between two versions and whether they conflict.
    Diff {
        /// Number of the older version.
        old: u64,
        /// Number of the newer version.
        new: u64,
    },
    /// Proposes the content of a file as the next version.
    Propose {
        /// Path of a JSON file with `settings` and `lists`.
        file: PathBuf,
        /// Number that the last version must have for the proposal to be accepted; `None` accepts any number.
        expect: Option<u64>,
        /// Whether to accept a version that starves a keyed class.
        force: bool,
    },
    /// Adds a node to the cluster.
    Join {
        /// Name of the node and its address for peers, as in `n4=10.0.0.4:7000`.
        member: String,
    },
    /// Removes a node from the cluster.
    Remove {
        /// Name of the node.
        name: String,
        /// Whether to remove the node even if the remaining voters that can be reached are no majority.
        force: bool,
    },
    /// Proposes the content of an earlier version as the next version.
    Rollback {
        /// Number of the earlier version.
        version: u64,
        /// Whether to accept a version that starves a keyed class.
        force: bool,
    },
}

/// Which node is called, and how its answers are printed.
#[derive(Clone, Debug)]
pub struct Target {
    /// The second address of the node, from `--admin`; if `None`, the address in BALANCER_ADMIN_ADDR is
    /// called, or else `admin_addr` of the configuration.
    pub admin: Option<SocketAddr>,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// Why a task on the cluster failed.
#[derive(Debug, thiserror::Error)]
enum ClusterCommandError {
    #[error(
        "no second address: give --admin ADDRESS, or set BALANCER_ADMIN_ADDR or the configuration's admin_addr"
    )]
    NoAddress,
    #[error("second address {0}: expected an IP address with a port, as in 10.0.0.4:7000")]
    InvalidAddress(String),
    #[error(
        "call to the second address {address} failed: {error}; check that the node listens there, and see 'gaugestand fleet status': the node may still carry out the call"
    )]
    Connection { address: SocketAddr, error: std::io::Error },
    #[error("{0}: no answer; the node may still carry out the call: see 'gaugestand fleet status'")]
    NoAnswer(SocketAddr),
    /// The node rejected the call; the text is the node's reason.
    #[error("{0}")]
    Rejected(String),
    #[error("the node's answer is not the expected JSON: {0}")]
    MalformedAnswer(serde_json::Error),
    #[error("the content of version {version} is not the expected JSON: {error}")]
    MalformedVersion { version: u64, error: serde_json::Error },
    #[error("{}: {error}", file.display())]
    ContentFile { file: PathBuf, error: ContentFileError },
}

/// Why the content of a file cannot be proposed.
#[derive(Debug, thiserror::Error)]
enum ContentFileError {
    #[error(transparent)]
    Read(#[from] std::io::Error),
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("the content has {0} bytes, at most {max} are allowed", max = MAX_CONTENT_BYTES)]
    TooLong(usize),
}

impl From<ClusterCommandError> for Failure {
    fn from(error: ClusterCommandError) -> Self {
        Failure::Start(error.to_string())
    }
}

/// Carries out an operator's task on the cluster and prints its result to standard output.
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
                println!("{}", start_instructions(&client, name, parse(&answer)?["version"].as_u64())?);
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
        println!("version {} is committed", parse(answer)?["version"]);
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

/// Reads a content from a file; returns it as one line of JSON, as the call `PROPOSE` takes it.
fn read_content(file: &Path) -> Result<String, ContentFileError> {
    let text = fs::read_to_string(file)?;
    let content: Content = serde_json::from_str(&text)?;
    let line = serde_json::to_string(&content)?;
    if line.len() > MAX_CONTENT_BYTES {
        return Err(ContentFileError::TooLong(line.len()));
    }
    Ok(line)
}

/// Tells the operator how to start a node that has joined. Waits until the called node has learned of the new
/// membership, which may be later than the leader.
fn start_instructions(
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
            "{name} is node {number}: start it with the fleet(...) of the other nodes, but with number = {number} and its own listen and path"
        ),
        None => {
            format!("{name}: the called node does not know its number yet; see 'gaugestand fleet status'")
        }
    })
}
