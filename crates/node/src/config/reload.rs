//! Changes of the configuration while the node serves. A new configuration replaces the present one as a
//! whole, or not at all.
//!
//! Not accepted are a change of the node's name, of the address at which it listens or of the number of
//! descriptors, a change of operators' settings that other processes rely on, and a file that lacks a key of
//! the present one.

use super::error::invalid;
use super::{Config, ConfigError, Problem, load, parse};
use serde_json::Value;

/// Keys of `settings.extra` with one value per class. They are taken from the same settings as the classes.
const BY_CLASS_KEYS: [&str; 2] = ["class-calls", "class-skip-worth"];

/// Loads the configuration again, as at the start, and checks that it may replace the present one.
///
/// # Errors
/// The new configuration cannot be loaded, or may not replace the present one (see [`validate_change`]). The
/// present configuration stays in effect.
pub fn reload(old: &Config) -> Result<Config, ConfigError> {
    let new = load(old.script.as_deref())?;
    validate_change(old, &new)?;
    Ok(new)
}

/// Returns the configuration with other settings of the engine. The node keeps its own `extra` part (cores,
/// memory and the name of the tier that outbound calls go to, for example) except for the keys with one value
/// per class. `local` are the settings of the node's own file, which also apply if `settings` is null.
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

/// Checks that the configuration `new` may replace `old` while the node serves. Every key of the present file
/// must be in the new one: a file that lacks a key was truncated or damaged.
///
/// # Errors
/// [`ConfigError::Invalid`] if a key was removed, or if the value of a key that is fixed while the node
/// serves has changed, and [`ConfigError::FixedSetting`] for a setting of the script that only a restart can
/// change.
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
        ("record", "another store does not hold the entries of the present one", store(old) == store(new)),
        (
            "fleet",
            "the other nodes would not learn of the change",
            old.operators.fleet == new.operators.fleet,
        ),
        ("log: `form`", "readers of the log expect a single format", same_log_form),
    ];
    match fixed_settings.into_iter().find(|(_, _, is_same)| !is_same) {
        Some((setting, reason, _)) => {
            Err(ConfigError::FixedSetting { script: old.script.clone(), setting, reason })
        }
        None => Ok(()),
    }
}

/// Returns the path of the first key of `old` that is missing in `new`, or that is null in `new` but not in
/// `old`. Elements of arrays are matched by their `name`: an element whose name is in both arrays must have
/// all keys that it has in `old`, and an element with a new name must have the keys that all elements of
/// `old` have.
fn find_removed_key(old: &Value, new: &Value, path: &str) -> Option<String> {
    let path_to = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| match new.get(key) {
            None => Some(path_to(key)),
            Some(Value::Null) if !value.is_null() => Some(path_to(key)),
            Some(new_value) => find_removed_key(value, new_value, &path_to(key)),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let with_name =
                |name: &Value| old.iter().find(|element| element.get("name").is_some_and(|n| n == name));
            let is_in_all = |key: &String| old.iter().all(|element| element.get(key).is_some());
            new.iter().enumerate().find_map(|(index, element)| {
                let (path, element) = (path_to(&index.to_string()), element.as_object()?);
                match (element.get("name").and_then(with_name), old.first()) {
                    (Some(same), _) => find_removed_key(same, &Value::Object(element.clone()), &path),
                    (None, Some(Value::Object(first))) => {
                        let lacks = |key: &&String| is_in_all(key) && !element.contains_key(*key);
                        first.keys().find(lacks).map(|key| format!("{path}.{key}"))
                    }
                    _ => None,
                }
            })
        }
        _ => None,
    }
}
