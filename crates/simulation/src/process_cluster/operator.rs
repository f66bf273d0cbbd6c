//! Operators' calls to the second addresses of the processes.

use super::{ANSWER_TIMEOUT, CONVERGENCE_TIMEOUT, POLL_INTERVAL, ProcessCluster, ProcessClusterError};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Delay from a failed proposal to the next attempt.
const PROPOSAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sends a line to a second address and returns the whole answer.
pub(super) fn exchange(address: SocketAddr, line: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(line.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

impl ProcessCluster {
    /// Makes a `FLEET` call; returns the process's answer without the leading `done`.
    ///
    /// # Errors
    /// [`ProcessClusterError::NotRunning`] if the process is stopped, [`ProcessClusterError::Io`] if it does
    /// not answer, and [`ProcessClusterError::Rejected`] with the answer if it rejects the call.
    pub fn call(&self, process: usize, call: &str) -> Result<String, ProcessClusterError> {
        let admin = self.addresses(process)?.admin;
        let answer = exchange(admin, &format!("FLEET {call}\n"))
            .map_err(ProcessClusterError::io("a call to the second address"))?;
        match answer.strip_prefix("done ") {
            Some(done) => Ok(done.trim_end().to_string()),
            None => Err(ProcessClusterError::Rejected(answer.trim_end().to_string())),
        }
    }

    /// Proposes a content again and again until the content is committed, a node rejects the content as one
    /// that it could not act on (`unsound`), or the wait times out; returns the version.
    ///
    /// # Errors
    /// The last error, if a node rejects the content as `unsound` or no attempt succeeds in time;
    /// [`ProcessClusterError::NoVersion`] or [`ProcessClusterError::MalformedAnswer`] if it was accepted, but
    /// the answer has no version. If an answer was lost, the content may have been committed nevertheless.
    pub fn commit(&self, process: usize, content: &Value) -> Result<u64, ProcessClusterError> {
        let started = Instant::now();
        loop {
            match self.call(process, &format!("PROPOSE - - {content}")) {
                Ok(answer) => {
                    let answer: Value = serde_json::from_str(&answer)?;
                    return answer["version"].as_u64().ok_or(ProcessClusterError::NoVersion);
                }
                Err(error) if started.elapsed() > CONVERGENCE_TIMEOUT => return Err(error),
                Err(error) if error.to_string().contains("unsound") => return Err(error),
                // There is no leader yet, or the previous version is not in effect yet.
                Err(_) => thread::sleep(PROPOSAL_RETRY_DELAY),
            }
        }
    }

    /// Waits until the counter `balancer.NAME` of a process has this value.
    ///
    /// # Errors
    /// [`ProcessClusterError::MetricNotReached`] with all metrics if the wait times out,
    /// [`ProcessClusterError::NotRunning`] or [`ProcessClusterError::Io`] if the process is stopped or does not
    /// answer.
    pub fn await_metric(&self, process: usize, name: &str, value: u64) -> Result<(), ProcessClusterError> {
        let admin = self.addresses(process)?.admin;
        let started = Instant::now();
        let line = format!("balancer.{name}:{value}|c\n");
        loop {
            let metrics =
                exchange(admin, "INFO\n").map_err(ProcessClusterError::io("a call to the second address"))?;
            if metrics.contains(&line) {
                return Ok(());
            }
            if started.elapsed() > CONVERGENCE_TIMEOUT {
                return Err(ProcessClusterError::MetricNotReached(metrics));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until all of these processes act on this version.
    ///
    /// # Errors
    /// [`ProcessClusterError::NotActive`] with the status of each process if the wait times out.
    pub fn await_active(&self, processes: &[usize], version: u64) -> Result<(), ProcessClusterError> {
        let started = Instant::now();
        while !processes.iter().all(|process| self.acts_on(*process, version)) {
            if started.elapsed() > CONVERGENCE_TIMEOUT {
                let status =
                    |process: &usize| self.call(*process, "STATUS").map_err(|error| error.to_string());
                let statuses = processes.iter().map(status).collect();
                return Err(ProcessClusterError::NotActive { version, statuses });
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn acts_on(&self, process: usize, version: u64) -> bool {
        let status = self.status(process);
        status.is_some_and(|status| status["acts"] == true && status["in_effect"].as_u64() == Some(version))
    }

    /// The state of the cluster as a process reports it; `None` if the process does not answer.
    pub(super) fn status(&self, process: usize) -> Option<Value> {
        let status = self.call(process, "STATUS").ok()?;
        serde_json::from_str(&status).ok()
    }
}
