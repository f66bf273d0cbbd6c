//! The command line of the booking node.
#![deny(unsafe_code)]

mod node;

use bpaf::{OptionParser, Parser, construct, pure};
use node::say;
use std::process::ExitCode;

/// What the program is asked to do.
#[derive(Clone, Debug)]
enum Command {
    /// Serve until told to stop.
    Serve,
    /// Say whether the configuration is sound.
    CheckConfig,
    /// Print the version.
    Version,
}

fn commands() -> OptionParser<Command> {
    let serve = pure(Command::Serve)
        .to_options()
        .descr("Serve as one booking node, until SIGTERM and the drain that follows")
        .command("serve");
    let check = pure(Command::CheckConfig)
        .to_options()
        .descr("Read the configuration as 'serve' does and say whether it is sound")
        .command("check-config");
    let version = pure(Command::Version).to_options().descr("Print the version").command("version");
    construct!([serve, check, version])
        .to_options()
        .descr("A booking node: FastCGI requests in, admission decided, work done by the kernel")
}

fn serve() -> Result<(), String> {
    let config = node::config::load().map_err(|e| e.to_string())?;
    let name = config.name.clone();
    let mut node = node::turn::Node::start(config).map_err(|e| e.to_string())?;
    if let Some(address) = node.address() {
        say(&format!("{name} listens on {address}"));
    }
    node.run().map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    let done = match commands().run() {
        Command::Version => {
            println!("gaugestand {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig => node::config::load().map_err(|e| e.to_string()).map(|c| {
            println!("{}: sound, {} classes, {} sockets", c.name, c.classes.len(), c.sockets);
        }),
        Command::Serve => serve(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            say(&problem);
            ExitCode::FAILURE
        }
    }
}
