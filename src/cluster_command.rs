//! The sub-commands about what the fleet agrees on: each asks one node, at its second address.

use crate::Failure;
use gaugestand_cluster::diff::{self, Compatibility, Content};
use gaugestand_cluster::wire::MAX_CONTENT_BYTES;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;
use std::{env, fs};

/// A node answers within this, however long others take.
const PATIENCE: Duration = Duration::from_secs(8);
/// Longest answer: a version, or a long history.
const MOST_ANSWER: u64 = 4 << 20;

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Task {
    /// How the fleet stands, as this node sees it.
    Status,
    /// Versions that are kept.
    History,
    /// One version's content.
    Show(u64),
    /// How two versions differ, and what that means.
    Diff(u64, u64),
    /// Make this file the next version.
    Propose {
        /// Its content: JSON with `settings` and `lists`.
        file: PathBuf,
        /// Only if this is the last version.
        expect: Option<u64>,
        /// Even if it starves a keyed class.
        force: bool,
    },
    /// Let a node in.
    Join {
        /// Its name and address, as in `n4=10.0.0.4:7000`.
        member: String,
    },
    /// Take a node out.
    Remove {
        /// Its name.
        name: String,
        /// Even if the rest could not outlast its next loss.
        force: bool,
    },
    /// Make an old content the next version.
    Rollback {
        /// Which.
        version: u64,
        /// Even if it starves a keyed class.
        force: bool,
    },
}

/// Whom to ask, and how to print.
#[derive(Clone, Debug)]
pub struct Whom {
    /// A node's second address; else BALANCER_ADMIN_ADDR, else the configuration's.
    pub admin: Option<SocketAddr>,
    /// For programs.
    pub json: bool,
}

fn failed(why: impl std::fmt::Display) -> Failure {
    Failure::Start(why.to_string())
}

fn address(whom: &Whom) -> Result<SocketAddr, Failure> {
    if let Some(admin) = whom.admin {
        return Ok(admin);
    }
    let told = env::var("BALANCER_ADMIN_ADDR").ok().or_else(|| {
        let text = fs::read_to_string(env::var("BALANCER_CONFIG").ok()?).ok()?;
        serde_json::from_str::<Value>(&text).ok()?["admin_addr"].as_str().map(String::from)
    });
    let told = told.ok_or_else(|| failed("give --admin ADDRESS, a node's second address"))?;
    told.parse().map_err(|_| failed(format!("{told}: is not an address and a port")))
}

/// Asks a node; what it answers after `done`.
fn ask(at: SocketAddr, call: &str) -> Result<String, Failure> {
    let talk = || {
        let mut stream = TcpStream::connect_timeout(&at, PATIENCE)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(format!("FLEET {call}\n").as_bytes())?;
        let mut answer = String::new();
        stream.take(MOST_ANSWER).read_to_string(&mut answer)?;
        Ok::<_, std::io::Error>(answer)
    };
    let answer =
        talk().map_err(|e| failed(format!("{at}: {e}; is the node up, and its second address on?")))?;
    match (answer.strip_prefix("done "), answer.strip_prefix("error ")) {
        (Some(done), _) => Ok(done.trim_end().to_string()),
        (None, Some(why)) => Err(failed(why.trim_end())),
        (None, None) => {
            Err(failed(format!("{at}: no answer in time; it may be done yet: see 'gaugestand fleet status'")))
        }
    }
}

fn json(text: &str) -> Result<Value, Failure> {
    serde_json::from_str(text).map_err(|e| failed(format!("the answer cannot be read: {e}")))
}

fn content(at: SocketAddr, version: u64) -> Result<Content, Failure> {
    let text = ask(at, &format!("SHOW {version}"))?;
    serde_json::from_str(&text).map_err(|e| failed(format!("version {version} cannot be read: {e}")))
}

/// Does it.
pub fn run(task: &Task, whom: &Whom) -> Result<(), Failure> {
    let at = address(whom)?;
    match task {
        Task::Status => {
            let text = ask(at, "STATUS")?;
            if whom.json {
                println!("{text}");
            } else {
                print!("{}", status(&json(&text)?));
            }
        }
        Task::History => {
            let text = ask(at, "HISTORY")?;
            if whom.json {
                println!("{text}");
                return Ok(());
            }
            for version in json(&text)?.as_array().into_iter().flatten() {
                println!("{}  {} bytes", version["version"], version["bytes"]);
            }
        }
        Task::Show(version) => println!("{}", ask(at, &format!("SHOW {version}"))?),
        Task::Diff(a, b) => {
            let all = diff::differences(&content(at, *a)?, &content(at, *b)?);
            let verdict = diff::overall(&all);
            if whom.json {
                println!("{}", serde_json::json!({"verdict": verdict, "differences": all}));
                return Ok(());
            }
            all.iter().for_each(|d| println!("{}: {}", d.path, word(d.compatibility)));
            println!("together: {}", word(verdict));
        }
        Task::Propose { file, expect, force } => {
            let told = |why: &dyn std::fmt::Display| failed(format!("{}: {why}", file.display()));
            let text = fs::read_to_string(file).map_err(|e| told(&e))?;
            let content: Content = serde_json::from_str(&text).map_err(|e| told(&e))?;
            let one_line = serde_json::to_string(&content).map_err(|e| told(&e))?;
            if one_line.len() > MAX_CONTENT_BYTES {
                return Err(told(&format!("{} bytes, {MAX_CONTENT_BYTES} at most", one_line.len())));
            }
            let expect = expect.map_or("-".into(), |v| v.to_string());
            let force = if *force { "force" } else { "-" };
            println!("{}", agreed(whom, &ask(at, &format!("PROPOSE {expect} {force} {one_line}"))?)?);
        }
        Task::Join { member } => {
            let text = ask(at, &format!("JOIN {member}"))?;
            println!("{}", agreed(whom, &text)?);
            let name = member.split('=').next().unwrap_or_default();
            if !whom.json {
                println!("{}", joined(at, name, json(&text)?["version"].as_u64())?);
            }
        }
        Task::Remove { name, force } => {
            let force = if *force { " force" } else { "" };
            println!("{}", agreed(whom, &ask(at, &format!("REMOVE {name}{force}"))?)?);
        }
        Task::Rollback { version, force } => {
            let force = if *force { " force" } else { "" };
            println!("{}", agreed(whom, &ask(at, &format!("ROLLBACK {version}{force}"))?)?);
        }
    }
    Ok(())
}

/// What to do with a node that was let in: the one that is asked may hear of it a moment after the one that led.
fn joined(at: SocketAddr, name: &str, version: Option<u64>) -> Result<String, Failure> {
    let mut status = json(&ask(at, "STATUS")?)?;
    let began = std::time::Instant::now();
    while status["last"].as_u64() < version && began.elapsed() < PATIENCE {
        std::thread::sleep(Duration::from_millis(20));
        status = json(&ask(at, "STATUS")?)?;
    }
    let members = status["members"].as_array().into_iter().flatten();
    let number = members.into_iter().find(|m| m["name"] == name).map(|m| m["number"].clone());
    Ok(match number {
        Some(number) => format!(
            "{name} is node {number}: start it with the fleet(...) of the others, and number = {number} and its own listen and path"
        ),
        None => format!("{name}: see its number with 'gaugestand fleet status'"),
    })
}

fn agreed(whom: &Whom, text: &str) -> Result<String, Failure> {
    Ok(if whom.json { text.to_string() } else { format!("version {} is agreed", json(text)?["version"]) })
}

fn word(kind: Compatibility) -> &'static str {
    match kind {
        Compatibility::Compatible => "harmless",
        Compatibility::OlderStricter => "the older one is stricter",
        Compatibility::NewerStricter => "the newer one is stricter",
        Compatibility::Conflicting => "they contradict each other",
    }
}

/// A node's view in words.
fn status(s: &Value) -> String {
    let text = |v: &Value| v.as_str().unwrap_or("nobody").to_string();
    let mut out =
        format!("fleet {}, led by {} (term {})\n", text(&s["fleet"]), text(&s["leader"]), s["term"]);
    out += &format!(
        "heard: {} of {}, majority {}\n",
        s["heard"],
        s["members"].as_array().map_or(0, Vec::len),
        s["majority"]
    );
    for member in s["members"].as_array().into_iter().flatten() {
        let votes = if member["votes"] == false { ", has no vote yet" } else { "" };
        let how = match (member["me"].as_bool(), member["heard"].as_bool()) {
            (Some(true), _) => "this node",
            (_, Some(true)) => "heard",
            _ => "not heard",
        };
        out += &format!("  {} {} {how}{votes}\n", text(&member["name"]), text(&member["address"]));
    }
    if let Some(version) = s["removed"].as_u64() {
        out += &format!("this node is in the fleet no more, by version {version} at the latest\n");
    } else if s["in_fleet"] == false {
        out += "this node has not been let in: 'gaugestand fleet join' at one that is\n";
    }
    let acts = match (s["in_effect"].as_u64(), s["acts"].as_bool()) {
        (None, _) => "has had none since its start: keyed requests are refused".to_string(),
        (Some(0), Some(true)) => "there is none yet: each node's own file".to_string(),
        (Some(v), Some(true)) => format!("{v}, for {} ms unless renewed", s["lease_ms"]),
        (Some(v), _) => format!("{v}, without a lease: what a newer one may contradict is refused"),
    };
    out += &format!("version in effect: {acts}\nlast agreed: {}\n", s["last"]);
    if let Some(bad) = s["unusable"].as_object() {
        out += &format!("version {} cannot be acted on here: {}\n", bad["version"], text(&bad["why"]));
    }
    if s["unwritten"].as_u64().is_some_and(|n| n > 0) {
        out += &format!("{} pages of the agreed log wait to be written\n", s["unwritten"]);
    }
    for open in s["open"].as_array().into_iter().flatten() {
        out += &format!(
            "open under {}: {}, the oldest for {} ms\n",
            open["version"], open["open"], open["oldest_ms"]
        );
    }
    out
}
