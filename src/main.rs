//! The command line of the booking node.
#![deny(unsafe_code)]

use bpaf::{OptionParser, Parser, construct, pure};
use std::net::TcpListener;
use std::process::ExitCode;

/// What the program is asked to do.
#[derive(Clone, Debug)]
enum Command {
    /// Serve until told to stop.
    Serve,
    /// Print the version.
    Version,
}

fn commands() -> OptionParser<Command> {
    let serve = pure(Command::Serve).to_options().descr("Serve as one booking node").command("serve");
    let version = pure(Command::Version).to_options().descr("Print the version").command("version");
    construct!([serve, version]).to_options().descr("A booking node")
}

fn main() -> ExitCode {
    match commands().run() {
        Command::Version => {
            println!("gaugestand {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Serve => match serve() {
            Ok(()) => ExitCode::SUCCESS,
            Err(problem) => {
                eprintln!("gaugestand: {problem}");
                ExitCode::FAILURE
            }
        },
    }
}

/// Listens and closes each connection: nothing is spoken yet.
fn serve() -> Result<(), String> {
    let address = std::env::var("BALANCER_LISTEN").map_err(|_| "BALANCER_LISTEN is not set")?;
    let listener = TcpListener::bind(&address).map_err(|e| format!("{address}: {e}"))?;
    for connection in listener.incoming() {
        drop(connection);
    }
    Ok(())
}
