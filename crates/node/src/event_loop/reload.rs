//! Reload of the configuration on SIGHUP: either the new configuration takes effect completely, or the old
//! one stays.
//!
//! Everything that can fail (reading and checking the files, listening at another admin address, opening a
//! socket to another membership service) happens before the first change. A reload that fails is counted and
//! logged, and changes nothing.

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

/// Why a reload failed and the old configuration stays in effect.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The files cannot be read, are invalid, or change a setting that cannot change while the node serves.
    #[error(transparent)]
    Configuration(#[from] ReadError),
    /// The node cannot listen at the address that the new configuration sets as the second address.
    #[error("admin_addr: cannot listen at the new address: {0}")]
    AdminAddress(#[source] io::Error),
    /// No socket to the new membership service can be opened.
    #[error("members: cannot open a socket to the new membership service: {0}")]
    Membership(#[source] io::Error),
}

impl<S: System> Node<S> {
    pub(super) fn reload_configuration(&mut self) {
        match self.prepare_reload() {
            Ok(config) => self.complete_reload(config),
            Err(error) => {
                self.counters.reloads_failed += 1;
                let problem = error.to_string();
                tracing::warn!(
                    problem,
                    "configuration: reload failed; the old configuration stays in effect"
                );
            }
        }
    }

    /// Runs the steps of a reload that can fail. They come before all others, and only the last of them, the
    /// move to the new membership service, takes effect here if it succeeds.
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
        tracing::info!("configuration: reloaded; the new configuration is in effect");
        // The level is set after the line above is logged, so that this line appears whatever the new level
        // is.
        self.logs.set_level(self.config.operators.log.level);
    }

    /// Applies the settings of the current configuration. Open requests keep their class.
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

    /// Applies the operators' own settings that can change while the node serves. None of these steps fails
    /// the reload. The password file was checked when the new configuration was loaded; if it cannot be read
    /// any more, the old password stays in use.
    fn apply_operator_settings(&mut self, config: &Config) {
        self.engine.idempotency().set_max_bytes(config.max_volatile_bytes);
        self.memory_budget.set_limit(config.max_connection_bytes);
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
