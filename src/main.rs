//! The command line of the booking node: what to do, and the exit status.
//!
//! Status 0 is success, 1 a fault of the configuration or the system, 2 a fault of the operators' script.
#![deny(unsafe_code)]

mod cluster_command;
mod idempotency_command;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use gaugestand_node as node;
use gaugestand_node::config::ConfigError;
use gaugestand_node::io::real::OsSystem;
use gaugestand_node::log::Logs;
use idempotency_command::{Target, Task};
use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;

/// What the program is to do.
#[derive(Clone, Debug)]
enum Command {
    /// Serve until SIGTERM and the end of the drain.
    Serve {
        /// The operators' script.
        settings: Option<PathBuf>,
    },
    /// Check the configuration.
    CheckConfig {
        /// The operators' script.
        settings: Option<PathBuf>,
        /// Whether to print JSON.
        json: bool,
    },
    /// Inspect or prune an idempotency store.
    Record(Task, Target),
    /// Inspect or change what the cluster has committed.
    Cluster(cluster_command::Task, cluster_command::Target),
    /// Print the version.
    Version,
}

/// Why the program ends, and with which status.
enum Failure {
    /// Status 1: the configuration or the system.
    Start(String),
    /// Status 2: the operators' script.
    Script(String),
}

impl From<ConfigError> for Failure {
    fn from(error: ConfigError) -> Self {
        let problem = error.to_string();
        if error.is_in_script() { Failure::Script(problem) } else { Failure::Start(problem) }
    }
}

fn commands() -> OptionParser<Command> {
    let settings = || long("settings").help("The operators' script").argument::<PathBuf>("FILE").optional();
    let json = long("json").help("Print JSON, for programs").switch();
    let serve = {
        let settings = settings();
        construct!(Command::Serve { settings })
            .to_options()
            .descr("Serve as one booking node, until SIGTERM and the drain that follows")
            .command("serve")
    };
    let check = {
        let settings = settings();
        construct!(Command::CheckConfig { settings, json })
            .to_options()
            .descr("Read the configuration as 'serve' does, say whether it is sound and what is in effect")
            .command("check-config")
    };
    let target = || {
        let settings = long("settings").help("The operators' script").argument::<PathBuf>("FILE");
        let settings = settings.fallback("deploy/operator.star".into());
        let node =
            long("node").help("Whose rows, in a database; else BALANCER_NAME").argument("NAME").optional();
        let json = long("json").help("Print JSON, for programs").switch();
        construct!(Target { settings, node, json })
    };
    let task = |name: &'static str, task: Task, descr: &'static str| {
        let task = pure(task);
        let target = target();
        construct!(Command::Record(task, target)).to_options().descr(descr).command(name)
    };
    let look = task("check", Task::Check, "Read all of it and say whether it is sound");
    let list = task("list", Task::List, "Show every row");
    let stats = task("stats", Task::Stats, "Count rows");
    let prune = {
        let seconds =
            long("older-than").help("Seconds since the end of the window (3600)").argument("SECONDS");
        let task = seconds.fallback(3600).map(Task::Prune);
        let target = target();
        construct!(Command::Record(task, target))
            .to_options()
            .descr("Remove rows whose window is long over; a file must not be in use")
            .command("prune")
    };
    let record = construct!([look, list, stats, prune])
        .to_options()
        .descr("Look after a store of record, beside a running node where it only reads")
        .command("record");
    let fleet = cluster_commands();
    let version = pure(Command::Version).to_options().descr("Print the version").command("version");
    construct!([serve, check, record, fleet, version])
        .to_options()
        .descr("A booking node: FastCGI requests in, admission decided, work done by the kernel")
}

fn cluster_commands() -> impl Parser<Command> {
    let target = || {
        let admin =
            long("admin").help("A node's second address; else BALANCER_ADMIN_ADDR, else the configuration's");
        let admin = admin.argument("ADDRESS").optional();
        let json = long("json").help("Print JSON, for programs").switch();
        construct!(cluster_command::Target { admin, json })
    };
    let force = || long("force").help("Even if it starves a keyed class").switch();
    let number = |name: &'static str| positional::<u64>(name);
    let command = |task: Box<dyn Parser<cluster_command::Task>>, descr: &'static str, name: &'static str| {
        let target = target();
        // What stands without a name goes last: help cannot be printed otherwise.
        let both = construct!(target, task).map(|(target, task)| Command::Cluster(task, target));
        both.to_options().descr(descr).command(name)
    };
    let status = command(
        pure(cluster_command::Task::Status).boxed(),
        "How the fleet stands, as this node sees it",
        "status",
    );
    let history = command(pure(cluster_command::Task::History).boxed(), "Versions that are kept", "history");
    let show =
        command(number("VERSION").map(cluster_command::Task::Show).boxed(), "A version's content", "show");
    let diff = {
        let old = number("A");
        let new = number("B");
        let task = construct!(cluster_command::Task::Diff { old, new }).boxed();
        command(task, "How two versions differ, and whether they contradict each other", "diff")
    };
    let propose = {
        let expect = long("expect").help("Only if this is the last version").argument("VERSION").optional();
        let (force, file) = (force(), positional("FILE").help("JSON with settings and lists"));
        let task = construct!(cluster_command::Task::Propose { expect, force, file }).boxed();
        command(task, "Make a file the next version", "propose")
    };
    let rollback = {
        let (force, version) = (force(), number("VERSION"));
        let task = construct!(cluster_command::Task::Rollback { force, version }).boxed();
        command(task, "Make an old content the next version", "rollback")
    };
    let join = {
        let member =
            positional::<String>("NAME=ADDRESS").help("The node, and where it listens for the others");
        let task = construct!(cluster_command::Task::Join { member }).boxed();
        command(task, "Let a node in: as a learner, then with a vote", "join")
    };
    let remove = {
        let (force, name) = (force(), positional::<String>("NAME").help("The node"));
        let task = construct!(cluster_command::Task::Remove { force, name }).boxed();
        command(task, "Take a node out", "remove")
    };
    construct!([status, history, show, diff, propose, rollback, join, remove])
        .to_options()
        .descr("What the fleet agrees on: ask any of its nodes")
        .command("fleet")
}

fn serve(settings: Option<PathBuf>) -> Result<(), Failure> {
    let config = node::config::load(settings.as_deref())?;
    let name = config.name.clone();
    let system = OsSystem::new().map_err(|error| Failure::Start(format!("poller: {error}")))?;
    let logs = Logs::start(config.operators.log);
    let mut node = node::event_loop::Node::start(system, config, logs)
        .map_err(|error| Failure::Start(error.to_string()))?;
    if let Some(address) = node.admin_address() {
        tracing::info!(node = name, admin = %address, "answering operators");
    }
    if let Some(address) = node.peers_address() {
        tracing::info!(node = name, fellows = %address, "listening for its fellows");
    }
    if let Some(address) = node.address() {
        tracing::info!(node = name, %address, "listening");
    }
    node.run().map_err(|error| Failure::Start(error.to_string()))
}

fn check(settings: Option<PathBuf>, json: bool) -> Result<(), Failure> {
    let config = node::config::load(settings.as_deref())?;
    let operators =
        serde_json::to_value(&config.operators).map_err(|error| Failure::Start(error.to_string()))?;
    let name = &config.name;
    let classes = config.classes.len();
    let sockets = config.max_descriptors;
    if json {
        let all = serde_json::json!({"name": name, "classes": config.classes, "sockets": sockets,
            "settings": operators});
        println!("{all}");
        return Ok(());
    }
    println!("{name}: sound, {classes} classes, {sockets} sockets");
    for (setting, fields) in operators.as_object().into_iter().flatten() {
        match fields.as_object() {
            None => println!("{setting}: off"),
            Some(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(name, value)| format!("{name} = {value}")).collect();
                println!("{setting}({})", fields.join(", "));
            }
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    let done = match commands().run() {
        Command::Version => {
            println!("gaugestand {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig { settings, json } => check(settings, json),
        Command::Record(task, target) => idempotency_command::run(&task, target),
        Command::Cluster(task, target) => cluster_command::run(&task, &target),
        Command::Serve { settings } => serve(settings),
    };
    let (problem, status) = match done {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Start(problem)) => (problem, 1),
        Err(Failure::Script(problem)) => (problem, 2),
    };
    // `eprintln` would panic if standard error was closed.
    let _ = writeln!(std::io::stderr(), "gaugestand: {problem}");
    ExitCode::from(status)
}
