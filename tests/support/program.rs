//! Starts the program's sub-commands as child processes, sends them signals and waits for their exit.

use super::{TEST_TIMEOUT, temporary_path};
use serde_json::Value;
use std::ffi::{OsStr, OsString};
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two checks whether a child process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Path of another build that [`start_serving`] starts instead of the build under test.
static PROGRAM_OVERRIDE: Mutex<Option<OsString>> = Mutex::new(None);

/// Makes later calls of [`start_serving`] in this process start the build at this path, so that benches can
/// compare with an earlier build. `None` restores the build under test.
pub fn override_program(other: Option<&OsStr>) {
    *PROGRAM_OVERRIDE.lock().expect("PROGRAM_OVERRIDE is not poisoned") = other.map(OsStr::to_os_string);
}

/// Writes the configuration to a file. Returns a command that runs the sub-command of the build under test on
/// this file, and the path of the file. The caller removes the file.
pub fn program(configuration: &Value, subcommand: &str) -> (Command, PathBuf) {
    let path = temporary_path("json");
    std::fs::write(&path, configuration.to_string()).expect("writing the configuration file");
    (command(&path, subcommand), path)
}

/// Returns a command that runs the sub-command of the build under test on the configuration file at this
/// path. The output is piped.
fn command(configuration: &Path, subcommand: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestand"));
    command.arg(subcommand).env("BALANCER_CONFIG", configuration);
    command.env_remove("BALANCER_NAME").env_remove("BALANCER_LISTEN").env_remove("BALANCER_ADMIN_ADDR");
    // The processes of a node find each other in the folder TMPDIR. Processes of different tests must not
    // find each other.
    command.env_remove("TMPDIR");
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Returns a command that runs the sub-command `serve` of the build under test, or of the build that
/// [`override_program`] set.
fn serve_command(configuration: &Path) -> Command {
    match PROGRAM_OVERRIDE.lock().expect("PROGRAM_OVERRIDE is not poisoned").clone() {
        None => command(configuration, "serve"),
        Some(other) => {
            let mut command = Command::new(other);
            command.arg("serve").env("BALANCER_CONFIG", configuration);
            command.stdout(Stdio::piped()).stderr(Stdio::piped());
            command
        }
    }
}

/// A running program that listens for gateways. The holder must wait for the exit of the child process.
pub struct ServingProgram {
    pub child: Child,
    /// The program's log, after the line that states the address.
    pub stderr: BufReader<Box<dyn Read>>,
    /// Address (host and port) on which the program listens for gateways.
    pub address: String,
    /// The second address (host and port); empty if the configuration has none.
    pub admin: String,
}

/// Starts `serve` and waits until it listens for gateways. `script` is the file of the operators' settings;
/// `handover_dir` is the folder in which processes of the node find each other.
#[allow(clippy::zombie_processes)]
pub fn start_serving(
    configuration: &Path,
    script: Option<&Path>,
    handover_dir: Option<&Path>,
) -> ServingProgram {
    let mut command = serve_command(configuration);
    command.envs(handover_dir.iter().map(|dir| ("TMPDIR", dir)));
    command.args(script.iter().flat_map(|path| [OsStr::new("--settings"), path.as_os_str()]));
    let mut child = command.spawn().expect("starting the program");
    let stderr: Box<dyn Read> = Box::new(child.stderr.take().expect("standard error is piped"));
    let mut stderr = BufReader::new(stderr);
    let mut admin = String::new();
    loop {
        let mut line = String::new();
        if stderr.read_line(&mut line).expect("reading standard error") == 0 {
            panic!("the program exited before it listened: {:?}", child.wait());
        }
        // The text before the listening address in the text log, in the JSON log, and in the log of earlier
        // builds.
        let listening =
            ["address=", "address\":\"", "listens on "].iter().find_map(|key| line.split_once(key));
        if let Some((_, address)) = listening {
            return ServingProgram { child, stderr, address: first_word(address), admin };
        }
        if let Some((_, address)) = line.split_once("admin=") {
            admin = first_word(address);
        }
    }
}

/// Starts `serve`, waits until its log states the second address, and returns that address. The rest of the
/// log is copied to the standard error of the test.
#[allow(clippy::zombie_processes)]
pub fn start_in_background(configuration: &Path, handover_dir: Option<&Path>) -> (Child, String) {
    let mut command = command(configuration, "serve");
    command.envs(handover_dir.iter().map(|dir| ("TMPDIR", dir)));
    let mut child = command.spawn().expect("starting the program");
    let mut stderr = BufReader::new(child.stderr.take().expect("standard error is piped"));
    let mut line = String::new();
    while !line.contains("admin=") {
        line.clear();
        assert_ne!(
            stderr.read_line(&mut line).expect("reading standard error"),
            0,
            "the program exited at its start"
        );
    }
    let admin = line
        .split_once("admin=")
        .map(|(_, admin)| first_word(admin))
        .expect("the second address in the log line");
    thread::spawn(move || io::copy(&mut stderr, &mut io::stderr()));
    (child, admin)
}

/// The text up to the first space or quotation mark.
fn first_word(text: &str) -> String {
    text.trim().split(['"', ' ']).next().unwrap_or_default().to_string()
}

/// Sends a signal to a child process. `option` is the option of `kill` for the signal, such as `-TERM`.
pub fn send_signal(child: &Child, option: &str) {
    let status = Command::new("kill").args([option, &child.id().to_string()]).status();
    assert!(status.expect("kill runs").success());
}

/// Waits for the exit of a child process; true if its status is success.
pub fn exits_successfully(child: &mut Child) -> bool {
    let began = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("the status of the child process") {
            return status.success();
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "the program did not exit within {TEST_TIMEOUT:?}");
        thread::sleep(EXIT_POLL_INTERVAL);
    }
}
