//! Open attempts of this node, counted by gateway for the gateways' limits and by version for operators.

use super::Peers;
use crate::io::System;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::Timestamp;
use gaugestand_cluster::Version;
use std::collections::BTreeMap;

/// An attempt that has not ended, and when it arrived.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    /// The version that was in effect when the attempt arrived; 0 if there was none.
    version: Version,
    gateway: u64,
    since: Timestamp,
}

/// All open attempts of this node.
#[derive(Debug, Default)]
pub(super) struct OpenAttempts {
    by_id: BTreeMap<RequestId, OpenAttempt>,
    by_gateway: BTreeMap<u64, usize>,
}

/// The open attempts that arrived while one version was in effect: their number, and the age of the oldest in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OpenUnderVersion {
    pub count: usize,
    pub oldest_ms: u64,
}

impl OpenAttempts {
    fn start(&mut self, now: Timestamp, id: RequestId, gateway: u64, version: Version) {
        let attempt = OpenAttempt { version, gateway, since: now };
        if self.by_id.insert(id, attempt).is_none() {
            *self.by_gateway.entry(gateway).or_default() += 1;
        }
    }

    fn finish(&mut self, id: RequestId) {
        let Some(attempt) = self.by_id.remove(&id) else { return };
        if let Some(count) = self.by_gateway.get_mut(&attempt.gateway) {
            *count -= 1;
            if *count == 0 {
                self.by_gateway.remove(&attempt.gateway);
            }
        }
    }

    /// The number of open attempts of a gateway.
    pub fn of_gateway(&self, gateway: u64) -> usize {
        self.by_gateway.get(&gateway).copied().unwrap_or(0)
    }

    pub fn by_version(&self, now: Timestamp) -> BTreeMap<Version, OpenUnderVersion> {
        let mut versions: BTreeMap<Version, OpenUnderVersion> = BTreeMap::new();
        for attempt in self.by_id.values() {
            let open = versions.entry(attempt.version).or_default();
            open.count += 1;
            open.oldest_ms = open.oldest_ms.max(now.since(attempt.since).0 / 1_000);
        }
        versions
    }
}

impl<S: System> Peers<S> {
    /// Counts a new attempt, under the version that is in effect now.
    pub fn attempt_started(&mut self, now: Timestamp, id: RequestId, gateway: u64) {
        let version = self.applied.version.unwrap_or(0);
        self.attempts.start(now, id, gateway, version);
    }

    /// Removes an attempt that has ended completely: this node holds no more state of it.
    pub fn attempt_finished(&mut self, id: RequestId) {
        self.attempts.finish(id);
    }
}
