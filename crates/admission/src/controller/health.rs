//! Health: whether checks find this worker in service.
//!
//! A check is answered from this setting alone, without work. A worker is out of service while what arrives
//! is of no use here: it drains, is stalled, or reads too late.

use super::Controller;
use crate::interface::Action;

/// Arrivals, as a multiple of this worker's part of all quotas, from which the whole cluster has too much;
/// below, it is scatter.
const OVER_QUOTA_FACTOR: f64 = 1.25;

impl Controller {
    /// Announces health and capacity where they have changed.
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

    /// Where every caller's list of workers follows health, a wave that overruns all workers would take each
    /// off the list and send its traffic to the rest and back: there a read backlog counts only while it is
    /// this worker's own.
    fn should_be_in_service(&self) -> bool {
        let is_failing_alone = self.drain.is_some() || self.is_stalled();
        let is_backlog_shared = self.settings.list_follows_health && self.is_cluster_over_quota();
        !is_failing_alone && (!self.is_unavailable() || is_backlog_shared)
    }

    /// Whether more arrives than this worker's part of all quotas: what overruns it overruns the others too.
    /// With less, it is the one that is slow.
    fn is_cluster_over_quota(&self) -> bool {
        let quotas_per_s: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        let cluster_arrival_rate = self.estimators.arrival_rate * f64::from(self.settings.cluster_size);
        cluster_arrival_rate > OVER_QUOTA_FACTOR * quotas_per_s
    }

    /// Whether nothing that arrives is of use here. Within the grace after the notice to stop it still is:
    /// callers hear of the notice late, and the worker that takes this one's place is not listed yet.
    pub(super) fn is_unavailable(&self) -> bool {
        let is_past_grace = self.drain.as_ref().is_some_and(|drain| self.now >= drain.last_arrival);
        is_past_grace || self.is_stalled() || self.backpressure.is_backlogged
    }
}
