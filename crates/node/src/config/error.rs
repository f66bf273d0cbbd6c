//! What is wrong with a configuration: one line, for the operator.

use crate::idempotency_store::PasswordError;
use gaugestand_admission::SettingsError;
use std::io;
use std::path::PathBuf;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable or a key of the JSON file.
    #[error("configuration: {key}: {problem}")]
    Invalid {
        /// Its name, with the path to it.
        key: String,
        /// What is wrong with it.
        problem: Problem,
    },
    /// The engine's settings contradict each other or are out of range.
    #[error("configuration: {0}")]
    Settings(#[from] SettingsError),
    /// The operators' script.
    #[error("{0}")]
    Script(#[from] gaugestand_settings::SettingsError),
    /// The password file that the script names cannot be used.
    #[error(transparent)]
    PasswordFile(#[from] PasswordError),
    /// A setting of the script that cannot change without a restart.
    #[error("{}{setting} cannot change while the node serves, as {reason}; restart it", prefix(.script))]
    FixedSetting {
        /// The script.
        script: Option<PathBuf>,
        /// The setting.
        setting: &'static str,
        /// Why it cannot change.
        reason: &'static str,
    },
}

/// What is wrong with a key.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// A variable that has to be set is not.
    #[error("is not set")]
    NotSet,
    /// A file cannot be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// A file is not JSON of the right form.
    #[error("{0}")]
    Malformed(#[source] serde_json::Error),
    /// A key that has to be there is not.
    #[error("is missing")]
    Missing,
    /// A key that was there before a reload is not: the file was cut short or spoilt.
    #[error("is missing, and was there before")]
    Removed,
    /// A value that cannot change in service has.
    #[error("cannot change while the node serves")]
    FixedInService,
    /// A number or a length of time that makes no sense.
    #[error("is out of range")]
    OutOfRange,
    /// A length of time that must not be zero is.
    #[error("must be above 0")]
    Zero,
    /// Descriptors do not suffice for anything.
    #[error("must be at least {0}")]
    TooFewDescriptors(usize),
    /// Descriptors do not suffice beside an idempotency store.
    #[error("must be at least {0} with a store of record")]
    TooFewDescriptorsForStore(usize),
    /// Descriptors do not suffice beside the links of a cluster.
    #[error("must be at least {0} with a fleet")]
    TooFewDescriptorsForCluster(usize),
    /// A name is empty or has spaces in it.
    #[error("must be one word")]
    NotOneWord,
    /// A seed is not a hexadecimal number.
    #[error("must be hexadecimal")]
    NotHexadecimal,
    /// An address cannot be read.
    #[error("is not an address and a port")]
    NotAnAddress,
    /// A class has no name, or that of another one.
    #[error("must be there once")]
    NotUnique,
    /// The effect of a class is unknown.
    #[error("is none of pure, token, side_effect")]
    UnknownEffect,
}

impl ConfigError {
    /// Whether the operators' script is at fault, or what it names, and not the JSON file or the environment.
    pub fn is_in_script(&self) -> bool {
        match self {
            ConfigError::Invalid { .. } | ConfigError::Settings(_) => false,
            ConfigError::Script(_) | ConfigError::PasswordFile(_) | ConfigError::FixedSetting { .. } => true,
        }
    }
}

/// An error of one key.
pub(super) fn invalid<T>(key: &str, problem: Problem) -> Result<T, ConfigError> {
    Err(ConfigError::Invalid { key: key.to_string(), problem })
}

fn prefix(script: &Option<PathBuf>) -> String {
    script.as_deref().map_or(String::new(), |script| format!("{}: ", script.display()))
}
