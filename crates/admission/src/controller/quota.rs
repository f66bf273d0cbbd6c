//! Tenants' quotas: a token bucket for each tenant, refilled at this worker's share of the tenant's quota.
//!
//! A request that finds a token is within the quota. A request that finds none is not rejected for that
//! reason, but has a lower priority. Quotas are split evenly over the workers of the cluster, which share no
//! state.

use crate::interface::Tenant;

/// Capacity of a tenant's bucket, in seconds of quota: the variation of arrivals over a second is no excess.
const BURST_S: f64 = 1.5;
/// Least capacity of a tenant's bucket, in requests. With a quota split over hundreds of workers, the share
/// of one is well below one request per second, and the variation of its arrivals is no excess either.
const MIN_BURST_REQUESTS: f64 = 10.0;
/// Largest debt of a tenant, in requests: what is served beyond a quota uses up part of the tokens that
/// follow, but a tenant that was served from idle cores must not be shut out for long.
const MAX_DEBT_REQUESTS: f64 = 2.0;
/// Number of tokens that a request within the quota takes.
const REQUEST_TOKENS: f64 = 1.0;

/// Token buckets of the tenants, by tenant index.
#[derive(Clone, Debug)]
pub(super) struct Quota {
    /// Tokens of each tenant, in requests; negative for a tenant in debt.
    pub(super) tokens: Vec<f64>,
}

impl Quota {
    pub(super) fn new(tenants: usize) -> Self {
        Quota { tokens: vec![MIN_BURST_REQUESTS; tenants] }
    }

    /// Changes the number of tenants. The tenant at each index keeps its bucket; a new tenant starts with
    /// `MIN_BURST_REQUESTS` tokens.
    pub(super) fn resize(&mut self, tenants: usize) {
        self.tokens.resize(tenants, MIN_BURST_REQUESTS);
    }

    /// Returns whether a request of this tenant is within the tenant's quota; if so, takes a token. Without
    /// tenants, every request is within its quota.
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

    /// Returns the token of a request within the quota that was rejected without being served.
    pub(super) fn refund(&mut self, tenant: usize) {
        if let Some(tokens) = self.tokens.get_mut(tenant) {
            *tokens += REQUEST_TOKENS;
        }
    }

    /// Charges a tenant for a request that is served beyond its quota: requests of other tenants then have
    /// priority.
    pub(super) fn charge_over_quota(&mut self, tenant: usize) {
        if let Some(tokens) = self.tokens.get_mut(tenant) {
            *tokens = (*tokens - REQUEST_TOKENS).max(-MAX_DEBT_REQUESTS);
        }
    }

    /// Adds the tokens earned in the last `elapsed_s` seconds.
    pub(super) fn refill(&mut self, tenants: &[Tenant], cluster_size: u32, elapsed_s: f64) {
        for (tokens, tenant) in self.tokens.iter_mut().zip(tenants) {
            let quota_per_s = tenant.quota_per_s / f64::from(cluster_size.max(1));
            let capacity = (quota_per_s * BURST_S).max(MIN_BURST_REQUESTS);
            *tokens = (*tokens + quota_per_s * elapsed_s).min(capacity);
        }
    }
}
