//! Tenants' quotas: a token bucket for each tenant, filled at this worker's part of its quota.
//!
//! A request that finds a token is within the quota; one that finds none is not rejected for it, but has less
//! priority. Quotas are split evenly over the workers of the cluster; nothing is shared between them.

use crate::interface::Tenant;

/// Seconds of quota that a tenant may save up: scatter of arrivals over a second is no excess.
const MAX_SAVED_QUOTA_S: f64 = 1.5;
/// Requests that a tenant may save up at least: a quota split over hundreds of workers is well under one a
/// second, and scatter of its arrivals is no excess either.
const MIN_SAVED_REQUESTS: f64 = 10.0;
/// Requests that a tenant may owe: what is served beyond a quota uses up some of what comes next, but a
/// tenant that was served from idle cores is not shut out for long.
const MAX_OWED_REQUESTS: f64 = 2.0;
/// A request within the quota takes this many tokens.
const REQUEST_TOKENS: f64 = 1.0;

/// A bucket for each tenant, by index.
#[derive(Clone, Debug)]
pub(super) struct Quota {
    /// Requests; negative where a tenant owes.
    pub(super) tokens: Vec<f64>,
}

impl Quota {
    pub(super) fn new(tenants: usize) -> Self {
        Quota { tokens: vec![MIN_SAVED_REQUESTS; tenants] }
    }

    /// Tenants keep their bucket by index; new ones start with a full one.
    pub(super) fn resize(&mut self, tenants: usize) {
        self.tokens.resize(tenants, MIN_SAVED_REQUESTS);
    }

    /// Whether a request is within its tenant's quota; if so, takes its token. Where there are no tenants all
    /// requests are.
    pub(super) fn take(&mut self, tenant: usize) -> bool {
        match self.tokens.get_mut(tenant) {
            Some(tokens) if *tokens < REQUEST_TOKENS => false,
            Some(tokens) => {
                *tokens -= REQUEST_TOKENS;
                true
            }
            None => true,
        }
    }

    /// A request within the quota was rejected unserved.
    pub(super) fn give_back(&mut self, tenant: usize) {
        if let Some(tokens) = self.tokens.get_mut(tenant) {
            *tokens += REQUEST_TOKENS;
        }
    }

    /// A request beyond the quota is served: other tenants' requests come first after it.
    pub(super) fn charge_over_quota(&mut self, tenant: usize) {
        if let Some(tokens) = self.tokens.get_mut(tenant) {
            *tokens = (*tokens - REQUEST_TOKENS).max(-MAX_OWED_REQUESTS);
        }
    }

    /// Adds what was earned in the time that has passed, in seconds.
    pub(super) fn refill(&mut self, tenants: &[Tenant], cluster_size: u32, elapsed_s: f64) {
        for (tokens, tenant) in self.tokens.iter_mut().zip(tenants) {
            let quota_per_s = tenant.quota_per_s / f64::from(cluster_size.max(1));
            let capacity = (quota_per_s * MAX_SAVED_QUOTA_S).max(MIN_SAVED_REQUESTS);
            *tokens = (*tokens + quota_per_s * elapsed_s).min(capacity);
        }
    }
}
