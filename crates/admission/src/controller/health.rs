//! Health: whether health checks report this worker as in service.
//!
//! Checks are answered from this state alone, without any work. A worker is out of service while it cannot
//! usefully serve new requests: it drains, is stalled, or reads requests too late.

use super::Controller;
use crate::interface::Action;

/// Arrivals, as a multiple of this worker's share of all quotas, from which the whole cluster counts as over
/// quota; a smaller excess is ordinary variation.
const OVER_QUOTA_FACTOR: f64 = 1.25;

impl Controller {
    /// Announces health and capacity if they have changed.
    pub(super) fn announce(&mut self, actions: &mut Vec<Action>) {
        self.announce_health(actions);
        self.announce_capacity(actions);
    }

    fn announce_health(&mut self, actions: &mut Vec<Action>) {
        let is_in_service = self.should_be_in_service();
        if self.is_in_service != is_in_service {
            self.is_in_service = is_in_service;
            actions.push(Action::Health { good: is_in_service, shallow: true });
        }
    }

    /// Whether health checks should report this worker as in service.
    ///
    /// Where every caller's list of workers follows health, a burst that overloads all workers would remove
    /// each worker from the lists, and its traffic would move to the others and back. With such lists, a read
    /// backlog takes this worker out of service only if the other workers have no backlog.
    fn should_be_in_service(&self) -> bool {
        let is_draining_or_stalled = self.drain.is_some() || self.is_stalled();
        let is_backlog_cluster_wide = self.settings.list_follows_health && self.is_cluster_over_quota();
        !is_draining_or_stalled && (!self.is_unavailable() || is_backlog_cluster_wide)
    }

    /// Whether more requests arrive than this worker's share of all quotas. Such a load overloads the other
    /// workers too; with a smaller load, only this worker is slow.
    fn is_cluster_over_quota(&self) -> bool {
        let quotas_per_s: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let cluster_arrival_rate = self.estimators.arrival_rate * f64::from(self.settings.cluster_size);
        cluster_arrival_rate > OVER_QUOTA_FACTOR * quotas_per_s
    }

    /// Whether this worker cannot usefully serve any new request. Within the grace after the drain notice it
    /// can still serve them: callers learn of the drain late, and the worker that replaces this one is not
    /// listed yet.
    pub(super) fn is_unavailable(&self) -> bool {
        let is_past_grace = self.drain.as_ref().is_some_and(|drain| self.now >= drain.last_arrival);
        is_past_grace || self.is_stalled() || self.backpressure.is_backlogged
    }
}
