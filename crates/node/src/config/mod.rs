//! The configuration: the `BALANCER_*` variables, the JSON file that one of them names, and the operators' script.
//!
//! [`load`] reads all of it and returns a [`Config`] that is sound as a whole, or the first thing that is wrong. The keys of the
//! JSON file become the code's terms in `raw`, once; `validation` checks them; `reload` says what may change in service.

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

/// The variable that names the JSON file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// Variables that go before the JSON file's own name and addresses.
const NAME_VARIABLE: &str = "BALANCER_NAME";
const LISTEN_VARIABLE: &str = "BALANCER_LISTEN";
const ADMIN_VARIABLE: &str = "BALANCER_ADMIN_ADDR";
/// Fewest descriptors with which anything can be served: the node's own and a few connections.
const MIN_DESCRIPTORS: usize = 32;

/// The configuration of a node, checked.
#[derive(Debug)]
pub struct Config {
    /// The node's name, one word.
    pub name: String,
    /// Where gateways connect.
    pub listen: SocketAddr,
    /// Where the kernel listens, which does the work.
    pub kernel: SocketAddr,
    /// Where the node reports to the membership service.
    pub membership: Option<SocketAddr>,
    /// Where outbound calls go.
    pub store: Option<SocketAddr>,
    /// Where operators' calls come in.
    pub admin: Option<SocketAddr>,
    /// Seeds random choices.
    pub seed: u64,
    /// From SIGTERM to the end of the process.
    pub stop_timeout: Micros,
    /// Most descriptors that the process may have.
    pub max_descriptors: usize,
    /// Most bytes that keys and results may take without an idempotency store: half of the process's memory, where that is
    /// known.
    pub max_volatile_bytes: usize,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Which of them are keyed.
    pub keyed: Vec<bool>,
    /// Names of the kernel's gauges, in their order.
    pub gauge_names: Vec<String>,
    /// Whether gateways send with each request how long they wait.
    pub gateways_send_timeout: bool,
    /// The engine's settings.
    pub settings: Settings,
    /// The JSON file as it was read, to compare a later one with.
    pub file: Value,
    /// The operators' script, where there is one.
    pub script: Option<PathBuf>,
    /// The operators' own settings, which the script makes.
    pub operators: OperatorSettings,
}

/// Reads the configuration that the environment names, and the operators' script if there is one: they count as one.
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

/// Whether the descriptors suffice for what the operators' settings add.
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

/// Reads a configuration from its JSON; a name and addresses given beside it go before its own.
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
