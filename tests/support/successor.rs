//! A second process of a node, which takes over from the process that is already running.

use super::admin::admin_call;
use super::program::{exits_successfully, send_signal, start_in_background};
use super::{TEST_TIMEOUT, temporary_path};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::time::{Duration, Instant};

/// A process that takes over from its predecessor, an earlier process of the same node. The process is killed
/// when the value is dropped.
pub struct Successor {
    child: Child,
    configuration_path: PathBuf,
    /// Listener for the successor's connections to a kernel of its own.
    pub kernel: TcpListener,
    /// The successor's second address (host and port).
    pub admin: String,
}

impl Successor {
    /// Starts the process with the predecessor's configuration, but with another kernel address.
    /// `handover_dir` is the folder in which it looks for its predecessor.
    pub(super) fn start(predecessor_configuration: &Value, handover_dir: Option<&Path>) -> Self {
        let kernel = TcpListener::bind("127.0.0.1:0").expect("binding the kernel's port");
        let mut configuration = predecessor_configuration.clone();
        configuration["kernel"] = json!(kernel.local_addr().expect("the kernel's address").to_string());
        let configuration_path = temporary_path("json");
        std::fs::write(&configuration_path, configuration.to_string())
            .expect("writing the configuration file");
        let (child, admin) = start_in_background(&configuration_path, handover_dir);
        Successor { child, configuration_path, kernel, admin }
    }

    /// Waits until the successor answers `PING` with `done`: it is ready to serve requests.
    pub fn await_ready(&self) {
        let began = Instant::now();
        while admin_call(&self.admin, "PING\n") != "done\n" {
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "the successor was not ready within {TEST_TIMEOUT:?}; its last answer to PING: {}",
                admin_call(&self.admin, "PING\n")
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Sends a signal to the successor. `option` is the option of `kill` for the signal, such as `-TERM`.
    pub fn signal(&self, option: &str) {
        send_signal(&self.child, option);
    }

    /// Waits for the exit of the successor; true if its status is success.
    pub fn exits_successfully(&mut self) -> bool {
        exits_successfully(&mut self.child)
    }

    /// Kills the successor with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("killing the successor");
        let _ = self.child.wait();
    }
}

impl Drop for Successor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration_path);
    }
}
