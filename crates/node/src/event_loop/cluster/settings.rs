//! The settings of a version: applying them, validating proposed settings, and reloading the configuration
//! while they are in effect.
//!
//! Settings of the cluster replace those of the node's own file, except for `extra`, which describes the
//! node's machine and always comes from its own file.

use super::super::{Config, Node, System, config};
use crate::config::ConfigError;
use crate::peers::VersionError;
use gaugestand_admission::{Class, Effect, Span};
use gaugestand_cluster::diff::Content;
use gaugestand_cluster::validation::{ClassSettings, KeyMemory, validate};
use gaugestand_cluster::version_gate;
use serde_json::Value;

/// Share of the memory for requests that idempotency keys may take, between 0 and 1. The admission controller
/// uses the same share.
const KEY_MEMORY_SHARE: f64 = 0.5;
const NANOS_PER_SECOND: f64 = 1e9;

/// Converts the classes of a configuration to the form that validation takes.
fn class_settings(config: &Config) -> Vec<ClassSettings> {
    let seconds = |span: Span| span.0 as f64 / NANOS_PER_SECOND;
    let settings = |(name, class): (&String, &Class)| ClassSettings {
        name: name.clone(),
        keyed: class.effect == Effect::Keyed,
        dedup_window_s: seconds(class.dedup_window),
        priority_weight: class.priority_weight,
    };
    config.classes.iter().zip(&config.settings.classes).map(settings).collect()
}

fn parse_content(bytes: &[u8]) -> Result<Content, VersionError> {
    serde_json::from_slice(bytes).map_err(VersionError::UnreadableContent)
}

/// The part of `settings` that is the same on all nodes of the cluster: all keys except for `extra`, which is
/// the node's own.
fn shared_settings(settings: &Value) -> Value {
    let mut shared = settings.clone();
    if let Some(fields) = shared.as_object_mut() {
        fields.remove("extra");
    }
    shared
}

/// Why a configuration that was read again on a reload cannot be used.
#[derive(Debug, thiserror::Error)]
pub(in super::super) enum ReadError {
    /// The file or the script is invalid, or changes a setting that cannot change while the node serves.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The file changes settings that the cluster has committed.
    #[error(
        "settings: the file changes settings that the cluster has committed; use 'gaugestand fleet propose' \
         instead"
    )]
    SettingsOfCluster,
}

impl<S: System> Node<S> {
    /// Replaces the current settings with those of a version's content, or with those of the node's own file
    /// if there is no content. On an error nothing has changed.
    pub(super) fn apply_version(&mut self, bytes: Option<&[u8]>) -> Result<Option<Content>, VersionError> {
        let content = bytes.map(parse_content).transpose()?;
        let settings = content.as_ref().map_or(&Value::Null, |content| &content.settings);
        let new = config::with_settings(&self.config, &self.local_settings, settings)?;
        if new.file["settings"] != self.config.file["settings"] {
            self.config = new;
            self.apply_settings();
        }
        Ok(content)
    }

    /// Checks whether this node could apply a proposed content; the error says why not.
    pub(super) fn validate_content(&mut self, bytes: &[u8], force: bool) -> Result<(), VersionError> {
        let content = parse_content(bytes)?;
        let enabled = self.peers.as_ref().map(|peers| peers.enabled_lists()).unwrap_or_default();
        if let Some(name) = version_gate::disabled_list(&content, enabled) {
            return Err(VersionError::DisabledList(name.to_string()));
        }
        let new = config::with_settings(&self.config, &self.local_settings, &content.settings)?;
        config::validate_change(&self.config, &new)?;
        let load = self.class_load(self.clock.now());
        let settings = &self.config.settings;
        let memory =
            KeyMemory { available_kb: KEY_MEMORY_SHARE * settings.memory_kb, entry_kb: settings.entry_kb };
        match validate(&class_settings(&self.config), &class_settings(&new), &load, memory) {
            Err(error) if error.can_be_forced() && force => Ok(()),
            Err(error) if error.can_be_forced() => Err(VersionError::NotForced(error)),
            result => result.map_err(VersionError::Invalid),
        }
    }

    /// Reads the configuration again from its file. While settings of the cluster are in effect, the file
    /// must not change them.
    pub(in super::super) fn read_configuration(&mut self) -> Result<Config, ReadError> {
        if self.peers.is_none() {
            return Ok(config::reload(&self.config)?);
        }
        let own = config::with_settings(&self.config, &self.local_settings, &Value::Null)?;
        let new = config::reload(&own)?;
        let new_settings = &new.file["settings"];
        let active = self.peers.as_ref().and_then(|peers| peers.settings()).cloned();
        let Some(active) = active else {
            self.local_settings = new_settings.clone();
            return Ok(new);
        };
        // A change of these settings in the file would have no effect, but would look as if it had one.
        if shared_settings(new_settings) != shared_settings(&self.local_settings) {
            return Err(ReadError::SettingsOfCluster);
        }
        self.local_settings = new_settings.clone();
        Ok(config::with_settings(&new, &self.local_settings, &active)?)
    }
}
