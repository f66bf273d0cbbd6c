//! Starts the program and its sub-commands as child processes, and waits for their end.

use super::{TEST_TIMEOUT, temporary_path};
use serde_json::Value;
use std::ffi::{OsStr, OsString};
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two looks at whether a child has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Another build to start instead of the one under test.
static PROGRAM_OVERRIDE: Mutex<Option<OsString>> = Mutex::new(None);

/// Has every later [`start_serving`] start another build: benches compare with an earlier one. `None` undoes it.
pub fn override_program(other: Option<&OsStr>) {
    *PROGRAM_OVERRIDE.lock().expect("no thread has panicked") = other.map(OsStr::to_os_string);
}

/// A sub-command that is ready to be started on a configuration, and the file that this was written to.
pub fn program(configuration: &Value, subcommand: &str) -> (Command, PathBuf) {
    let path = temporary_path("json");
    std::fs::write(&path, configuration.to_string()).expect("a configuration file");
    (command(&path, subcommand), path)
}

fn command(configuration: &Path, subcommand: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestand"));
    command.arg(subcommand).env("BALANCER_CONFIG", configuration);
    command.env_remove("BALANCER_NAME").env_remove("BALANCER_LISTEN").env_remove("BALANCER_ADMIN_ADDR");
    // Processes of a node find each other in this folder: those of one test must not find those of another.
    command.env_remove("TMPDIR");
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// `serve` of the build under test, or of the one that was put in its place.
fn serve_command(configuration: &Path) -> Command {
    match PROGRAM_OVERRIDE.lock().expect("no thread has panicked").clone() {
        None => command(configuration, "serve"),
        Some(other) => {
            let mut command = Command::new(other);
            command.arg("serve").env("BALANCER_CONFIG", configuration);
            command.stdout(Stdio::piped()).stderr(Stdio::piped());
            command
        }
    }
}

/// The program after it has begun to listen. Whoever holds it waits for the end of the child.
pub struct ServingProgram {
    pub child: Child,
    /// The log, after the line that names the address.
    pub stderr: BufReader<Box<dyn Read>>,
    /// Where gateways connect.
    pub address: String,
    /// The second address; empty unless the configuration has one.
    pub admin: String,
}

/// Starts the program and waits until it listens.
#[allow(clippy::zombie_processes)]
pub fn start_serving(
    configuration: &Path,
    script: Option<&Path>,
    handover_dir: Option<&Path>,
) -> ServingProgram {
    let mut command = serve_command(configuration);
    command.envs(handover_dir.iter().map(|dir| ("TMPDIR", dir)));
    command.args(script.iter().flat_map(|path| [OsStr::new("--settings"), path.as_os_str()]));
    let mut child = command.spawn().expect("the program starts");
    let stderr: Box<dyn Read> = Box::new(child.stderr.take().expect("piped"));
    let mut stderr = BufReader::new(stderr);
    let mut admin = String::new();
    loop {
        let mut line = String::new();
        if stderr.read_line(&mut line).expect("a first line") == 0 {
            panic!("it ended at once: {:?}", child.wait());
        }
        // The forms of the line in the text log, in the JSON log, and in that of earlier builds.
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

/// Starts the program and waits until its second address answers; its log goes to the test's standard error.
#[allow(clippy::zombie_processes)]
pub fn start_in_background(configuration: &Path, handover_dir: Option<&Path>) -> (Child, String) {
    let mut command = command(configuration, "serve");
    command.envs(handover_dir.iter().map(|dir| ("TMPDIR", dir)));
    let mut child = command.spawn().expect("the program starts");
    let mut stderr = BufReader::new(child.stderr.take().expect("piped"));
    let mut line = String::new();
    while !line.contains("admin=") {
        line.clear();
        assert_ne!(stderr.read_line(&mut line).expect("a line"), 0, "it ended at once");
    }
    let admin = line.split_once("admin=").map(|(_, admin)| first_word(admin)).expect("an address");
    thread::spawn(move || io::copy(&mut stderr, &mut io::stderr()));
    (child, admin)
}

fn first_word(text: &str) -> String {
    text.trim().split(['"', ' ']).next().unwrap_or_default().to_string()
}

/// Sends a signal by its option of `kill`, such as `-TERM`.
pub fn send_signal(child: &Child, option: &str) {
    let status = Command::new("kill").args([option, &child.id().to_string()]).status();
    assert!(status.expect("kill runs").success());
}

/// Waits for the end of a process; true if its status is success.
pub fn exits_successfully(child: &mut Child) -> bool {
    let began = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("a child") {
            return status.success();
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "it does not end");
        thread::sleep(EXIT_POLL_INTERVAL);
    }
}
