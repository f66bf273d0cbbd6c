//! Errors of a configuration. The text of each is one line, for the operator.

use crate::idempotency_store::PasswordError;
use gaugestand_admission::SettingsError;
use std::io;
use std::path::PathBuf;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable or a key of the JSON file is invalid.
    #[error("configuration: {key}: {problem}")]
    Invalid {
        /// Name of the variable, or path of the key in the JSON file, such as `limits.sockets`.
        key: String,
        /// What is wrong with the variable or the key.
        problem: Problem,
    },
    /// The engine's settings contradict each other or are out of range.
    #[error("configuration: {0}")]
    Settings(#[from] SettingsError),
    /// The operators' script cannot be loaded.
    #[error("{0}")]
    Script(#[from] gaugestand_settings::SettingsError),
    /// The password file that the script names cannot be used.
    #[error(transparent)]
    PasswordFile(#[from] PasswordError),
    /// A reload would change a setting of the script that cannot change without a restart.
    #[error(
        "{}{setting} cannot change while the node serves, as {reason}; restart the node",
        script_prefix(.script)
    )]
    FixedSetting {
        /// Path of the script; `None` if the node has no script.
        script: Option<PathBuf>,
        /// Name of the setting in the script.
        setting: &'static str,
        /// Why the setting cannot change; the text follows "as".
        reason: &'static str,
    },
}

/// What is wrong with a variable or a key; the text follows the name in the text of [`ConfigError::Invalid`].
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// A required environment variable is not set.
    #[error("is not set")]
    NotSet,
    /// The file that a variable names cannot be read.
    #[error("the file cannot be read: {0}")]
    Unreadable(#[source] io::Error),
    /// The file is not JSON, or a key of it is missing or has the wrong type.
    #[error("{0}")]
    Malformed(#[source] serde_json::Error),
    /// A required key is missing.
    #[error("is missing")]
    Missing,
    /// A reload would remove a key of the present configuration: the file was truncated or damaged.
    #[error("is missing, and was there before")]
    Removed,
    /// A reload would change a value that is fixed while the node serves.
    #[error("cannot change while the node serves")]
    FixedInService,
    /// A number or a duration is outside the accepted range.
    #[error("is out of range")]
    OutOfRange,
    /// A duration that must be above zero is zero.
    #[error("must be above 0")]
    Zero,
    /// There are too few descriptors to serve anything. Contains the minimum number.
    #[error("must be at least {0}")]
    TooFewDescriptors(usize),
    /// There are too few descriptors for a node with an idempotency store. Contains the minimum number.
    #[error("must be at least {0} with an idempotency store (`record` in the script)")]
    TooFewDescriptorsForStore(usize),
    /// There are too few descriptors for a node with links to the other nodes of a cluster. Contains the
    /// minimum number.
    #[error("must be at least {0} in a cluster (`fleet` in the script)")]
    TooFewDescriptorsForCluster(usize),
    /// A name is empty or contains whitespace.
    #[error("must be one word, without spaces")]
    NotOneWord,
    /// A seed is not a hexadecimal number of at most 64 bits.
    #[error("must be a hexadecimal number of at most 64 bits")]
    NotHexadecimal,
    /// An address is not an IP address with a port.
    #[error("must be an IP address and a port, such as 127.0.0.1:9000")]
    NotAnAddress,
    /// The name of a class is empty, or another class has the same name.
    #[error("must be there once")]
    NotUnique,
    /// The effect of a class is none of the known ones.
    #[error("is none of pure, token, side_effect")]
    UnknownEffect,
}

impl ConfigError {
    /// Whether the error is in the operators' script or in a file that the script names, rather than in the
    /// JSON file or the environment.
    pub fn is_in_script(&self) -> bool {
        match self {
            ConfigError::Invalid { .. } | ConfigError::Settings(_) => false,
            ConfigError::Script(_) | ConfigError::PasswordFile(_) | ConfigError::FixedSetting { .. } => true,
        }
    }
}

/// Returns the error for one variable or key.
pub(super) fn invalid<T>(key: &str, problem: Problem) -> Result<T, ConfigError> {
    Err(ConfigError::Invalid { key: key.to_string(), problem })
}

/// The path of the script and a colon; empty without a script.
fn script_prefix(script: &Option<PathBuf>) -> String {
    script.as_deref().map_or(String::new(), |script| format!("{}: ", script.display()))
}
