//! The version in effect on this node, and how it decides on requests.

use super::{Peers, VersionError};
use crate::io::System;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::Version;
use gaugestand_cluster::diff::Content;
use gaugestand_cluster::lease::ActiveVersion;
use gaugestand_cluster::version_gate::{self, EnabledLists, GateDecision};
use serde_json::Value;
use std::rc::Rc;

/// A version that is active in the cluster but that this node cannot put into effect.
#[derive(Debug)]
pub(super) struct UnusableVersion {
    pub version: Version,
    pub reason: String,
}

/// The version that this node has put into effect, and the last one that it could not put into effect.
#[derive(Debug, Default)]
pub(super) struct AppliedVersion {
    /// The version in effect; none until the first lease since the start, 0 if a quorum knows of no version.
    pub version: Option<Version>,
    /// The content of the version in effect; none for version 0.
    pub content: Option<Content>,
    /// The last version that could not be put into effect, if none was put into effect after it.
    pub unusable: Option<UnusableVersion>,
}

/// A version that this node has to put into effect now.
#[derive(Debug)]
pub struct DueVersion {
    /// The version's number; 0 if the cluster has no version yet.
    pub version: Version,
    /// The version's content, as JSON text; none for version 0.
    pub content: Option<Rc<[u8]>>,
}

impl<S: System> Peers<S> {
    /// Whether this node has put a version into effect since its start, or knows from a quorum that there is
    /// none, and has not been removed from the cluster.
    pub fn is_ready(&self) -> bool {
        self.applied.version.is_some() && self.removed_by.is_none()
    }

    /// The version that this node holds a lease for and has to put into effect; none if that version is
    /// already in effect or could not be put into effect.
    pub fn due_version(&self, now: Timestamp) -> Option<DueVersion> {
        let ActiveVersion::Leased(version) = self.consensus.active_version(now) else { return None };
        let unusable = self.applied.unusable.as_ref();
        let is_known = self.applied.version == Some(version)
            || unusable.is_some_and(|unusable| unusable.version == version);
        if is_known {
            return None;
        }
        Some(DueVersion { version, content: self.consensus.content(version) })
    }

    /// Handles the result of putting a version into effect.
    pub fn on_applied(&mut self, version: Version, result: Result<Option<Content>, VersionError>) {
        match result {
            Ok(content) => {
                self.applied = AppliedVersion { version: Some(version), content, unusable: None };
                tracing::info!(version, "cluster: a version is in effect on this node");
            }
            Err(error) => {
                let problem = error.to_string();
                tracing::error!(
                    version,
                    problem,
                    "cluster: the active version cannot be put into effect; acting as if this node held no \
                     lease"
                );
                self.applied.unusable = Some(UnusableVersion { version, reason: problem });
            }
        }
    }

    /// The settings in the version in effect; none if it has no settings or there is no version.
    pub fn settings(&self) -> Option<&Value> {
        let settings = self.applied.content.as_ref().map(|content| &content.settings);
        settings.filter(|settings| !settings.is_null())
    }

    /// The kinds of lists that versions may contain, as configured.
    pub fn enabled_lists(&self) -> EnabledLists {
        self.enabled_lists
    }

    /// Decides whether an attempt may go on to admission under the active version. `keyed` tells whether the
    /// attempt carries an idempotency key; `subject` is its resource key. `now` has to be read for each
    /// attempt: a lease may have expired since the iteration of the event loop began.
    pub fn check_request(
        &self,
        now: Timestamp,
        keyed: bool,
        subject: Option<u64>,
        gateway: u64,
    ) -> GateDecision {
        let active = match self.consensus.active_version(now) {
            // The leased version is not in effect yet or cannot be put into effect. Until it is in effect,
            // this node acts as if it held no lease.
            ActiveVersion::Leased(version) if self.applied.version != Some(version) => {
                ActiveVersion::Unleased(self.applied.version.unwrap_or(0))
            }
            active => active,
        };
        let subject = subject.filter(|_| self.enabled_lists.blocked);
        let subject = subject.map(|subject| format!("{subject:016x}"));
        let open = self.attempts.of_gateway(gateway);
        let request = version_gate::Request { keyed, subject: subject.as_deref(), gateway, open };
        version_gate::check(active, self.applied.content.as_ref(), self.enabled_lists, request)
    }

    /// The time after which a client may retry an attempt that was rejected because this node held no lease
    /// or because its gateway is over its limit: half the duration of a lease, in which a node that reaches a
    /// quorum renews its lease twice.
    pub fn retry_after(&self) -> Micros {
        Micros(self.lease_duration.0 / 2)
    }
}
