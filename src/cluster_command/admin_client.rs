//! Calls to a node at its second address: one line and one answer for each connection.

use super::ClusterCommandError;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use std::{env, fs};

/// A node answers a call within this: longer than the leader takes to validate and commit a proposal, or to give up on it.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Longest answer, in bytes: a version's content, or the history, with room to spare.
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// A node to be called.
pub struct AdminClient {
    address: SocketAddr,
}

impl AdminClient {
    /// The node at this address; else that of the environment or of the configuration.
    pub fn new(address: Option<SocketAddr>) -> Result<Self, ClusterCommandError> {
        if let Some(address) = address {
            return Ok(AdminClient { address });
        }
        let configured = env::var("BALANCER_ADMIN_ADDR").ok().or_else(address_of_configuration);
        let configured = configured.ok_or(ClusterCommandError::NoAddress)?;
        match configured.parse() {
            Ok(address) => Ok(AdminClient { address }),
            Err(_) => Err(ClusterCommandError::InvalidAddress(configured)),
        }
    }

    /// Makes a call about the cluster; returns what the node answers after `done`.
    pub fn call(&self, call: &str) -> Result<String, ClusterCommandError> {
        let address = self.address;
        let answer =
            self.exchange(call).map_err(|error| ClusterCommandError::Connection { address, error })?;
        if let Some(done) = answer.strip_prefix("done ") {
            return Ok(done.trim_end().to_string());
        }
        match answer.strip_prefix("error ") {
            Some(reason) => Err(ClusterCommandError::Rejected(reason.trim_end().to_string())),
            None => Err(ClusterCommandError::NoAnswer(address)),
        }
    }

    fn exchange(&self, call: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.address, TIMEOUT)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.write_all(format!("FLEET {call}\n").as_bytes())?;
        let mut answer = String::new();
        stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
        Ok(answer)
    }
}

fn address_of_configuration() -> Option<String> {
    let text = fs::read_to_string(env::var("BALANCER_CONFIG").ok()?).ok()?;
    serde_json::from_str::<Value>(&text).ok()?["admin_addr"].as_str().map(String::from)
}
