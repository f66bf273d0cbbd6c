//! The operators' settings: one Starlark script that calls builtins, each at most once.
//!
//! Guarantees: the script can do nothing but compute and call the builtins (no I/O, no `load`); its size, steps, stack
//! depth and memory are bounded; an error is one line with file, line, column and a hint; and nothing of the
//! interpreter stays in memory once [`load`] has returned. It does not guarantee that what a setting names exists (a
//! file, a server): whoever uses the setting finds that out.
//!
//! A builtin is one entry of the table `BUILTINS`: its fields with their types and ranges, from which come the checks,
//! the hints and the list that `gaugestand check-config --settings FILE` prints.
#![forbid(unsafe_code)]

mod builtins;
mod error;
mod fields;
mod script;
mod settings;

pub use error::SettingsError;
pub use script::{evaluate, load};
pub use settings::{
    Backend, ClusterSettings, IdempotencyStoreSettings, Lists, LogFormat, LogLevel, LogSettings, Settings,
    SyncMode,
};
