//! The version in effect on this node, and what requests get under it.

use super::{Peers, VersionError};
use crate::io::System;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::Version;
use gaugestand_cluster::diff::Content;
use gaugestand_cluster::lease::ActiveVersion;
use gaugestand_cluster::version_gate::{self, EnabledLists, GateDecision};
use serde_json::Value;
use std::rc::Rc;

/// A version that is active in the cluster and that this node cannot act on.
#[derive(Debug)]
pub(super) struct UnusableVersion {
    pub version: Version,
    pub reason: String,
}

/// What the node has put into effect.
#[derive(Debug, Default)]
pub(super) struct AppliedVersion {
    /// None until the first lease since the start; 0 if a quorum knows of no version.
    pub version: Option<Version>,
    /// Its content, if it is a version.
    pub content: Option<Content>,
    pub unusable: Option<UnusableVersion>,
}

/// A version to be put into effect.
#[derive(Debug)]
pub struct DueVersion {
    /// Its number; 0 stands for none.
    pub version: Version,
    /// Its content; none for version 0.
    pub content: Option<Rc<[u8]>>,
}

impl<S: System> Peers<S> {
    /// Whether this node has had a lease since its start, for a version or for there being none, and is not removed.
    pub fn is_ready(&self) -> bool {
        self.applied.version.is_some() && self.removed_by.is_none()
    }

    /// The version that has become active, if it is not in effect yet.
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

    /// The node has put a version into effect, or cannot.
    pub fn on_applied(&mut self, version: Version, result: Result<Option<Content>, VersionError>) {
        match result {
            Ok(content) => {
                self.applied = AppliedVersion { version: Some(version), content, unusable: None };
                tracing::info!(version, "the fleet's version is in effect");
            }
            Err(error) => {
                let problem = error.to_string();
                tracing::error!(version, problem, "the fleet's version cannot be acted on here");
                self.applied.unusable = Some(UnusableVersion { version, reason: problem });
            }
        }
    }

    /// The settings in effect, if the version has any.
    pub fn settings(&self) -> Option<&Value> {
        let settings = self.applied.content.as_ref().map(|content| &content.settings);
        settings.filter(|settings| !settings.is_null())
    }

    /// Which lists versions may hold.
    pub fn enabled_lists(&self) -> EnabledLists {
        self.enabled_lists
    }

    /// What a request gets. `now` has to be read for it: a lease may have expired since this iteration began.
    pub fn check_request(
        &self,
        now: Timestamp,
        keyed: bool,
        subject: Option<u64>,
        gateway: u64,
    ) -> GateDecision {
        let active = match self.consensus.active_version(now) {
            // Not in effect yet, or unusable: until it is, this node acts as without a lease.
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

    /// After which time a client may retry a request that was rejected without a lease, or as its gateway is over its limit:
    /// half a lease, in which a node that reaches a quorum renews its lease twice.
    pub fn retry_after(&self) -> Micros {
        Micros(self.lease_duration.0 / 2)
    }
}
