//! What may change while the node serves: a new configuration replaces the present one whole, or not at all.
//!
//! Refused are changes of the name, the address and the descriptors, changes of those of the operators' settings that others
//! rely on, and a file that lacks a key of the present one.

use super::error::invalid;
use super::{Config, ConfigError, Problem, load, parse};
use serde_json::Value;

/// Keys of `settings.extra` that go by class, and so come with the classes.
const BY_CLASS_KEYS: [&str; 2] = ["class-calls", "class-skip-worth"];

/// Reads the configuration again, as at the start, and checks that it may replace the present one.
///
/// # Errors
/// The new configuration cannot be loaded, or may not replace the present one (see [`validate_change`]). The
/// node goes on with the present one.
pub fn reload(old: &Config) -> Result<Config, ConfigError> {
    let new = load(old.script.as_deref())?;
    validate_change(old, &new)?;
    Ok(new)
}

/// The same configuration under other settings, with the node's own part of them (`extra`: cores, memory, what calls go to)
/// but for what goes by class. `local` is what the node's file has; null settings mean those.
///
/// # Errors
/// The settings are invalid in this node's configuration, as in [`parse`]; the caller keeps the present
/// configuration.
pub fn with_settings(config: &Config, local: &Value, settings: &Value) -> Result<Config, ConfigError> {
    let mut merged = if settings.is_null() { local.clone() } else { settings.clone() };
    if let (Some(new), Some(own)) = (merged.as_object_mut(), local.get("extra")) {
        let mut extra = own.clone();
        for key in BY_CLASS_KEYS {
            if let Some(by_class) = settings.get("extra").and_then(|extra| extra.get(key)) {
                extra[key] = by_class.clone();
            }
        }
        new.insert("extra".into(), extra);
    }
    let mut file = config.file.clone();
    file["settings"] = merged;
    let listen = config.listen.to_string();
    let admin = config.admin.map(|address| address.to_string());
    let new = parse(&file.to_string(), Some(config.name.clone()), Some(listen), admin)?;
    Ok(Config { operators: config.operators.clone(), script: config.script.clone(), ..new })
}

/// Checks that a configuration may replace another while the node serves. Every key that the present file has must be there:
/// a file that lacks one was cut short or spoilt.
///
/// # Errors
/// [`ConfigError::Invalid`] if a key is gone or one that is fixed in service has changed, and
/// [`ConfigError::FixedSetting`] for a setting of the script that only a restart can change.
pub fn validate_change(old: &Config, new: &Config) -> Result<(), ConfigError> {
    if let Some(key) = find_removed_key(&old.file, &new.file, "") {
        return invalid(&key, Problem::Removed);
    }
    let fixed_keys = [
        ("name", old.name == new.name),
        ("listen", old.listen == new.listen),
        ("limits.sockets", old.max_descriptors == new.max_descriptors),
    ];
    if let Some((key, _)) = fixed_keys.into_iter().find(|(_, is_same)| !is_same) {
        return invalid(key, Problem::FixedInService);
    }
    let store = |config: &Config| {
        config.operators.record.as_ref().map(|settings| (settings.backend.clone(), settings.entries))
    };
    let same_log_form = old.operators.log.form == new.operators.log.form;
    let fixed_settings = [
        ("record", "another store would not know what this one holds", store(old) == store(new)),
        ("fleet", "the others would not know", old.operators.fleet == new.operators.fleet),
        ("log: `form`", "its reader expects one form", same_log_form),
    ];
    match fixed_settings.into_iter().find(|(_, _, is_same)| !is_same) {
        Some((setting, reason, _)) => {
            Err(ConfigError::FixedSetting { script: old.script.clone(), setting, reason })
        }
        None => Ok(()),
    }
}

/// A key that was there and is not. A class of a known name has to have all that it had, a new one what all others have.
fn find_removed_key(old: &Value, new: &Value, path: &str) -> Option<String> {
    let path_to = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, was)| match new.get(key) {
            None => Some(path_to(key)),
            Some(Value::Null) if !was.is_null() => Some(path_to(key)),
            Some(is) => find_removed_key(was, is, &path_to(key)),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let of_name = |name: &Value| old.iter().find(|c| c.get("name").is_some_and(|n| n == name));
            let shared = |key: &String| old.iter().all(|c| c.get(key).is_some());
            new.iter().enumerate().find_map(|(i, is)| {
                let (path, is) = (path_to(&i.to_string()), is.as_object()?);
                match (is.get("name").and_then(of_name), old.first()) {
                    (Some(was), _) => find_removed_key(was, &Value::Object(is.clone()), &path),
                    (None, Some(Value::Object(first))) => {
                        let lacks = |key: &&String| shared(key) && !is.contains_key(*key);
                        first.keys().find(lacks).map(|key| format!("{path}.{key}"))
                    }
                    _ => None,
                }
            })
        }
        _ => None,
    }
}
