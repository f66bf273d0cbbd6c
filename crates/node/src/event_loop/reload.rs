//! SIGHUP: a new configuration takes effect whole, or the old one stays.
//!
//! Everything that can fail (reading and checking the files, listening at another admin address, opening a socket to another
//! membership service) happens before the first change. A reload that fails is counted and logged, and changes nothing.

use super::cluster::ReadError;
use super::{Micros, Node};
use crate::config::Config;
use crate::idempotency_store;
use crate::io::System;
use gaugestand_admission::Effect;
use gaugestand_admission::engine::EngineEvent;
use gaugestand_settings::Backend;
use std::io;

/// The longest deduplication window of any keyed class; zero if there is none.
pub(super) fn longest_dedup_window(config: &Config) -> Micros {
    let keyed = config.settings.classes.iter().filter(|class| class.effect == Effect::Keyed);
    keyed.map(|class| class.dedup_window).max().unwrap_or_default().into()
}

/// Why the present configuration stays.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The files cannot be read, make no sense, or ask for what cannot change in service.
    #[error(transparent)]
    Configuration(#[from] ReadError),
    /// The new admin address cannot be listened at.
    #[error("admin_addr: {0}")]
    AdminAddress(#[source] io::Error),
    /// No socket to the new membership service can be opened.
    #[error("members: {0}")]
    Membership(#[source] io::Error),
}

impl<S: System> Node<S> {
    pub(super) fn reload_configuration(&mut self) {
        match self.prepare_reload() {
            Ok(config) => self.complete_reload(config),
            Err(error) => {
                self.counters.reloads_failed += 1;
                let problem = error.to_string();
                tracing::warn!(problem, "the old configuration stays");
            }
        }
    }

    /// The steps that can fail. They come first, and the last of them is the first to take effect.
    fn prepare_reload(&mut self) -> Result<Config, ReloadError> {
        let config = self.read_configuration()?;
        let admin = self.admin.prepare(config.admin).map_err(ReloadError::AdminAddress)?;
        self.membership.move_to(config.membership).map_err(ReloadError::Membership)?;
        self.admin.move_to(admin);
        Ok(config)
    }

    fn complete_reload(&mut self, config: Config) {
        self.counters.reloads += 1;
        if self.kernel.move_to(config.kernel) {
            self.notify_engine(EngineEvent::BackendLink(false));
        }
        self.store.move_to(config.store);
        self.apply_operator_settings(&config);
        self.config = config;
        self.apply_settings();
        tracing::info!("the new configuration is in effect");
        // After that line, so that it is logged whatever the new level is.
        self.logs.set_level(self.config.operators.log.level);
    }

    /// Puts the settings of the present configuration into effect; requests that are open keep their class.
    pub(super) fn apply_settings(&mut self) {
        let names = &self.config.classes;
        let settings = &self.config.settings;
        let used = self.engine.classes_in_use();
        let plan = self.class_slots.plan(self.engine.classes(), names, &settings.classes, &used);
        self.engine.update_settings(settings.clone(), &plan);
        self.request_metrics.register_classes(names);
        self.kernel.set_gauges(&self.config.gauge_names);
        self.class_slots = plan.slots;
        self.keyed_classes = self.engine.keyed_classes();
    }

    /// Those of the operators' own settings that can change while the node serves. None of this can fail: a password file
    /// that cannot be read leaves the password as it was.
    fn apply_operator_settings(&mut self, config: &Config) {
        self.engine.idempotency().set_max_bytes(config.max_volatile_bytes);
        let Some(stored) = &config.operators.record else { return };
        if let Backend::Postgres { password_file, .. } = &stored.backend
            && let Ok(password) = idempotency_store::password(password_file)
        {
            self.idempotency_store.set_password(password);
        }
        let limits = idempotency_store::limits(stored, longest_dedup_window(config));
        self.engine.idempotency().set_limits(limits);
    }
}
