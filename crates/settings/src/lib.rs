//! The operators' settings: one Starlark script that calls builtins, each at most once.
//!
//! Guarantees: a script can only compute and call the builtins (no I/O, no `load`); its size, steps, call
//! depth and memory are bounded; an error is one line with file, line, column and a hint; and the interpreter
//! keeps nothing in memory once [`load`] has returned. This crate does not check that a file or server which
//! a setting names exists: the part of the node that uses the setting reports that.
//!
//! A builtin is one entry of the table `BUILTINS`, which holds its fields with their types and ranges. The
//! checks, the hints and the list that `gaugestand check-config --settings FILE` prints are made from this
//! table.
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
