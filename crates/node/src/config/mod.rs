//! The configuration of a node: the `BALANCER_*` environment variables, the JSON file that one of them names,
//! and the operators' script.
//!
//! [`load`] reads all three and returns a valid [`Config`], or the first error that it finds. The module
//! `raw` translates the keys of the JSON file into the code's terms, `validation` checks the values, and
//! `reload` defines what may change while the node serves.

mod error;
mod raw;
mod reload;
mod validation;

use super::{idempotency_store, peers};
use error::invalid;
use gaugestand_admission::Settings;
use gaugestand_admission::time::Micros;
use gaugestand_settings::{Backend, Settings as OperatorSettings};
use raw::RawConfig;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fs};

pub use error::{ConfigError, Problem};
pub use reload::{reload, validate_change, with_settings};

/// Environment variable with the path of the JSON file; errors about the JSON text of that file start with
/// the variable's name, too.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// Environment variables that override the name and the addresses of the JSON file.
const NAME_VARIABLE: &str = "BALANCER_NAME";
const LISTEN_VARIABLE: &str = "BALANCER_LISTEN";
const ADMIN_VARIABLE: &str = "BALANCER_ADMIN_ADDR";
/// Minimum number of file descriptors with which a node can serve anything: its own descriptors and a few
/// connections.
const MIN_DESCRIPTORS: usize = 32;

/// The configuration of a node, after validation.
#[derive(Debug)]
pub struct Config {
    /// Name of the node, without whitespace.
    pub name: String,
    /// Address at which the node listens for gateways.
    pub listen: SocketAddr,
    /// Address of the kernel, which executes the runs.
    pub kernel: SocketAddr,
    /// Address of the membership service to which the node reports; `None` for no reports.
    pub membership: Option<SocketAddr>,
    /// Address of the store, to which outbound calls go; `None` if there is none.
    pub store: Option<SocketAddr>,
    /// Address at which the node listens for operators' calls (the second address); `None` for no such calls.
    pub admin: Option<SocketAddr>,
    /// Seed of the random choices; 0 if the file has none.
    pub seed: u64,
    /// Time from SIGTERM until the process ends; above 0.
    pub stop_timeout: Micros,
    /// Maximum number of file descriptors that the process may have; at least `MIN_DESCRIPTORS`.
    pub max_descriptors: usize,
    /// Maximum size in bytes of idempotency keys and results that are kept without an idempotency store: a
    /// quarter of the node's memory, or unlimited if the file does not state the memory.
    pub max_volatile_bytes: usize,
    /// Maximum memory in bytes that gateways' connections and open requests may take: an eighth of the node's
    /// memory, or unlimited if the file does not state the memory.
    pub max_connection_bytes: usize,
    /// Names of the classes, by the index of the class in `settings`.
    pub classes: Vec<String>,
    /// Whether a class is keyed, by the index of the class.
    pub keyed: Vec<bool>,
    /// Names of the kernel's gauges, in the order in which the kernel sends their values.
    pub gauge_names: Vec<String>,
    /// Whether gateways state with each request how long they wait for the answer.
    pub gateways_send_timeout: bool,
    /// Settings of the engine.
    pub settings: Settings,
    /// Contents of the JSON file, with which the file is compared on a reload.
    pub file: Value,
    /// Path of the operators' script; `None` if there is no script.
    pub script: Option<PathBuf>,
    /// Settings that the operators' script makes; the defaults if there is no script.
    pub operators: OperatorSettings,
}

/// Loads the configuration that the environment names, together with the operators' script if there is one.
/// Both are valid, or the result is an error.
///
/// # Errors
/// The environment names no file, a file cannot be read, a key or setting is invalid
/// ([`ConfigError::Invalid`], [`ConfigError::Settings`], [`ConfigError::Script`]), or the password file
/// cannot be used. The error names the key or the file.
pub fn load(script: Option<&Path>) -> Result<Config, ConfigError> {
    let operators = script.map(gaugestand_settings::load).transpose()?.unwrap_or_default();
    if let Some(Backend::Postgres { password_file, .. }) =
        operators.record.as_ref().map(|settings| &settings.backend)
    {
        idempotency_store::password(password_file)?;
    }
    let config = load_environment()?;
    check_descriptors(config.max_descriptors, &operators)?;
    Ok(Config { operators, script: script.map(Path::to_path_buf), ..config })
}

fn load_environment() -> Result<Config, ConfigError> {
    let Ok(path) = env::var(CONFIG_VARIABLE) else { return invalid(CONFIG_VARIABLE, Problem::NotSet) };
    let text =
        fs::read_to_string(&path).or_else(|error| invalid(CONFIG_VARIABLE, Problem::Unreadable(error)))?;
    let variable = |name: &str| env::var(name).ok();
    parse(&text, variable(NAME_VARIABLE), variable(LISTEN_VARIABLE), variable(ADMIN_VARIABLE))
}

/// Checks that there are enough descriptors for the features that the operators' settings enable.
fn check_descriptors(descriptors: usize, operators: &OperatorSettings) -> Result<(), ConfigError> {
    let with_store = MIN_DESCRIPTORS + idempotency_store::RESERVED_DESCRIPTORS;
    if operators.record.is_some() && descriptors < with_store {
        return invalid("limits.sockets", Problem::TooFewDescriptorsForStore(with_store));
    }
    let with_cluster = MIN_DESCRIPTORS + peers::RESERVED_DESCRIPTORS;
    if operators.fleet.is_some() && descriptors < with_cluster {
        return invalid("limits.sockets", Problem::TooFewDescriptorsForCluster(with_cluster));
    }
    Ok(())
}

/// Parses and validates the JSON text of a configuration. The name and the addresses in the arguments
/// override those of the text.
///
/// # Errors
/// [`ConfigError::Invalid`] if the text is not JSON of the right form or a key is missing or out of range,
/// and [`ConfigError::Settings`] if the engine's settings contradict each other.
pub fn parse(
    text: &str,
    name: Option<String>,
    listen: Option<String>,
    admin: Option<String>,
) -> Result<Config, ConfigError> {
    let value: Value = from_json(text)?;
    let mut raw: RawConfig = from_json(text)?;
    raw.name = name.or(raw.name);
    raw.listen = listen.or(raw.listen);
    raw.admin = admin.or(raw.admin);
    Ok(Config { file: value, ..validation::validate(raw)? })
}

fn from_json<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    serde_json::from_str(text).or_else(|error| invalid(CONFIG_VARIABLE, Problem::Malformed(error)))
}
