//! A client for calls to a node's second address. Each connection carries one line and one answer.

use super::ClusterCommandError;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use std::{env, fs};

/// Longest wait for a connection and for an answer: longer than the leader takes to validate and commit a
/// proposal, or to give up on it.
const TIMEOUT: Duration = Duration::from_secs(8);
/// Longest answer that is read, in bytes; larger than the content of any version, and than the answer to
/// `HISTORY`.
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// A client that calls one node at the node's second address.
pub struct AdminClient {
    address: SocketAddr,
}

impl AdminClient {
    /// Creates a client that calls the node at `address`, or else at BALANCER_ADMIN_ADDR, or else at
    /// `admin_addr` of the file that BALANCER_CONFIG names.
    pub fn new(address: Option<SocketAddr>) -> Result<Self, ClusterCommandError> {
        if let Some(address) = address {
            return Ok(AdminClient { address });
        }
        let configured = env::var("BALANCER_ADMIN_ADDR").ok().or_else(configured_address);
        let configured = configured.ok_or(ClusterCommandError::NoAddress)?;
        match configured.parse() {
            Ok(address) => Ok(AdminClient { address }),
            Err(_) => Err(ClusterCommandError::InvalidAddress(configured)),
        }
    }

    /// Makes a `FLEET` call; returns the node's answer without the leading `done`.
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

fn configured_address() -> Option<String> {
    let text = fs::read_to_string(env::var("BALANCER_CONFIG").ok()?).ok()?;
    serde_json::from_str::<Value>(&text).ok()?["admin_addr"].as_str().map(String::from)
}
