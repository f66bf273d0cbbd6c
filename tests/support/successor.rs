//! A second process of the same node, which takes over from the one that runs.

use super::admin::admin_call;
use super::program::{exits_successfully, send_signal, start_in_background};
use super::{TEST_TIMEOUT, temporary_path};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::time::{Duration, Instant};

/// A process that was started after another one of the same node. It is killed when this is dropped.
pub struct Successor {
    child: Child,
    configuration_path: PathBuf,
    /// Where it connects to its own kernel.
    pub kernel: TcpListener,
    /// Its second address.
    pub admin: String,
}

impl Successor {
    /// Starts it on the first process's configuration, except for a kernel of its own.
    pub(super) fn start(first: &Value, handover_dir: Option<&Path>) -> Self {
        let kernel = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut configuration = first.clone();
        configuration["kernel"] = json!(kernel.local_addr().expect("bound").to_string());
        let configuration_path = temporary_path("json");
        std::fs::write(&configuration_path, configuration.to_string()).expect("a configuration file");
        let (child, admin) = start_in_background(&configuration_path, handover_dir);
        Successor { child, configuration_path, kernel, admin }
    }

    /// Waits until it answers that it takes requests.
    pub fn await_ready(&self) {
        let began = Instant::now();
        while admin_call(&self.admin, "PING\n") != "done\n" {
            assert!(
                began.elapsed() < TEST_TIMEOUT,
                "it never said yes: {}",
                admin_call(&self.admin, "PING\n")
            );
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Sends a signal by its option of `kill`, such as `-TERM`.
    pub fn signal(&self, option: &str) {
        send_signal(&self.child, option);
    }

    /// Waits for its end; true if its status is success.
    pub fn exits_successfully(&mut self) -> bool {
        exits_successfully(&mut self.child)
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        self.child.kill().expect("it can be killed");
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
