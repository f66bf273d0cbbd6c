//! The command line of the booking node: runs one sub-command and returns its exit status.
//!
//! Exit status 0 is success, 1 is an error of the configuration or the system, and 2 is an error in the
//! operators' script.
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

/// The sub-command that the program runs, with its arguments.
#[derive(Clone, Debug)]
enum Command {
    /// Serves as a booking node until SIGTERM and the end of the drain.
    Serve {
        /// Path of the operators' script, from `--settings`.
        settings: Option<PathBuf>,
    },
    /// Validates the configuration and prints the settings in effect.
    CheckConfig {
        /// Path of the operators' script, from `--settings`.
        settings: Option<PathBuf>,
        /// Whether to print JSON instead of text.
        json: bool,
    },
    /// Inspects or prunes an idempotency store.
    Record(Task, Target),
    /// Inspects or changes the settings and members that the cluster has committed.
    Cluster(cluster_command::Task, cluster_command::Target),
    /// Prints the version of the program.
    Version,
}

/// An error that ends the program, as the text for standard error. The variant decides the exit status.
enum Failure {
    /// Exit status 1: an error of the configuration, the system or a called node.
    Start(String),
    /// Exit status 2: an error in the operators' script.
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
    let json = long("json").help("Print JSON instead of text").switch();
    let serve = {
        let settings = settings();
        construct!(Command::Serve { settings })
            .to_options()
            .descr("Serve as a booking node until SIGTERM and the end of the drain")
            .command("serve")
    };
    let check = {
        let settings = settings();
        construct!(Command::CheckConfig { settings, json })
            .to_options()
            .descr("Validate the configuration as 'serve' does and print the settings in effect")
            .command("check-config")
    };
    let target = || {
        let settings = long("settings").help("The operators' script").argument::<PathBuf>("FILE");
        let settings = settings.fallback("deploy/operator.star".into());
        let node = long("node")
            .help("Node whose rows to use in PostgreSQL (else BALANCER_NAME)")
            .argument("NAME")
            .optional();
        let json = long("json").help("Print JSON instead of text").switch();
        construct!(Target { settings, node, json })
    };
    let task = |name: &'static str, task: Task, descr: &'static str| {
        let task = pure(task);
        let target = target();
        construct!(Command::Record(task, target)).to_options().descr(descr).command(name)
    };
    let record_check = task("check", Task::Check, "Read the whole store and report whether it is intact");
    let list = task("list", Task::List, "Print every row");
    let stats = task("stats", Task::Stats, "Count the rows by state");
    let prune = {
        let seconds =
            long("older-than").help("Seconds since the end of a row's window (3600)").argument("SECONDS");
        let task = seconds.fallback(3600).map(Task::Prune);
        let target = target();
        construct!(Command::Record(task, target))
            .to_options()
            .descr("Remove rows whose window ended long ago; a SQLite file must not be in use")
            .command("prune")
    };
    let record = construct!([record_check, list, stats, prune])
        .to_options()
        .descr("Inspect or prune the idempotency store; reading also works beside a running node")
        .command("record");
    let fleet = cluster_commands();
    let version = pure(Command::Version).to_options().descr("Print the version").command("version");
    construct!([serve, check, record, fleet, version])
        .to_options()
        .descr("A booking node: admits or rejects FastCGI requests; the kernel executes those admitted")
}

fn cluster_commands() -> impl Parser<Command> {
    let target = || {
        let admin = long("admin")
            .help("A node's second address; else BALANCER_ADMIN_ADDR, else admin_addr of the configuration");
        let admin = admin.argument("ADDRESS").optional();
        let json = long("json").help("Print JSON instead of text").switch();
        construct!(cluster_command::Target { admin, json })
    };
    let force =
        || long("force").help("Go on even if a keyed class starves or too few nodes are left").switch();
    let number = |name: &'static str| positional::<u64>(name);
    let command = |task: Box<dyn Parser<cluster_command::Task>>, descr: &'static str, name: &'static str| {
        let target = target();
        // Positional arguments come last: bpaf panics otherwise when it prints the help.
        let both = construct!(target, task).map(|(target, task)| Command::Cluster(task, target));
        both.to_options().descr(descr).command(name)
    };
    let status = command(
        pure(cluster_command::Task::Status).boxed(),
        "Print the cluster's state as the node sees it",
        "status",
    );
    let history = command(pure(cluster_command::Task::History).boxed(), "List the kept versions", "history");
    let show = command(
        number("VERSION").map(cluster_command::Task::Show).boxed(),
        "Print a version's content",
        "show",
    );
    let diff = {
        let old = number("A");
        let new = number("B");
        let task = construct!(cluster_command::Task::Diff { old, new }).boxed();
        command(task, "Compare two versions and report whether they conflict", "diff")
    };
    let propose = {
        let expect =
            long("expect").help("Propose only if this is the last version").argument("VERSION").optional();
        let (force, file) = (force(), positional("FILE").help("JSON file with settings and lists"));
        let task = construct!(cluster_command::Task::Propose { expect, force, file }).boxed();
        command(task, "Propose the content of a file as the next version", "propose")
    };
    let rollback = {
        let (force, version) = (force(), number("VERSION"));
        let task = construct!(cluster_command::Task::Rollback { force, version }).boxed();
        command(task, "Propose the content of an earlier version as the next version", "rollback")
    };
    let join = {
        let member = positional::<String>("NAME=ADDRESS")
            .help("Name of the node, and the address at which it listens for peers");
        let task = construct!(cluster_command::Task::Join { member }).boxed();
        command(task, "Add a node to the cluster: first as a learner, then as a voter", "join")
    };
    let remove = {
        let (force, name) = (force(), positional::<String>("NAME").help("Name of the node"));
        let task = construct!(cluster_command::Task::Remove { force, name }).boxed();
        command(task, "Remove a node from the cluster", "remove")
    };
    construct!([status, history, show, diff, propose, rollback, join, remove])
        .to_options()
        .descr("Inspect or change what the cluster has committed, through any of its nodes")
        .command("fleet")
}

fn serve(settings: Option<PathBuf>) -> Result<(), Failure> {
    let config = node::config::load(settings.as_deref())?;
    let name = config.name.clone();
    let system =
        OsSystem::new().map_err(|error| Failure::Start(format!("cannot set up the poller: {error}")))?;
    let logs = Logs::start(config.operators.log);
    let mut node = node::event_loop::Node::start(system, config, logs)
        .map_err(|error| Failure::Start(error.to_string()))?;
    if let Some(address) = node.admin_address() {
        tracing::info!(node = name, admin = %address, "node listening for operators");
    }
    if let Some(address) = node.peers_address() {
        tracing::info!(node = name, fellows = %address, "node listening for peers");
    }
    if let Some(address) = node.address() {
        tracing::info!(node = name, %address, "node listening for gateways");
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
    let result = match commands().run() {
        Command::Version => {
            println!("gaugestand {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig { settings, json } => check(settings, json),
        Command::Record(task, target) => idempotency_command::run(&task, target),
        Command::Cluster(task, target) => cluster_command::run(&task, &target),
        Command::Serve { settings } => serve(settings),
    };
    let (problem, status) = match result {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Start(problem)) => (problem, 1),
        Err(Failure::Script(problem)) => (problem, 2),
    };
    // `eprintln!` would panic if standard error is closed; `writeln!` returns an error instead.
    let _ = writeln!(std::io::stderr(), "gaugestand: {problem}");
    ExitCode::from(status)
}
