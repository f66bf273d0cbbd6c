//! The budget of memory for what gateways' clients send: connections, incomplete requests, the bodies of open
//! requests, and answers that wait to be written.
//!
//! Each of these has a bound of its own, but a client can open as many connections as the node has
//! descriptors, with as many requests on each as the protocol allows. The budget bounds the sum. Counting
//! every buffer for every request would be expensive, so the budget adds up an upper estimate of the growth,
//! and asks for an exact count only when the estimate reaches the limit.

/// Bytes by which the memory that open requests take may exceed the bytes that were read for them: the state
/// of a request, and the unused part of a buffer that has grown. The estimate adds it for each read.
const GROWTH_FACTOR: usize = 4;
/// Share of the limit down to which memory is freed once the limit is reached: freeing to just below the
/// limit would need an exact count for each further read.
const TARGET_SHARE: f64 = 0.75;

/// The memory that may be used, and an upper estimate of the memory that is used.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    estimate: usize,
    peak: usize,
}

impl MemoryBudget {
    /// A budget of `limit` bytes of which nothing is used.
    pub fn new(limit: usize) -> Self {
        MemoryBudget { limit, estimate: 0, peak: 0 }
    }

    /// Bytes that may be used.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Records that this many bytes were read from gateways.
    pub fn note_read(&mut self, bytes: usize) {
        self.note_growth(bytes.saturating_mul(GROWTH_FACTOR));
    }

    /// Records that this many bytes of memory were allocated.
    pub fn note_growth(&mut self, bytes: usize) {
        self.estimate = self.estimate.saturating_add(bytes);
    }

    /// Replaces the estimate by an exact count.
    pub fn set_counted(&mut self, bytes: usize) {
        self.estimate = bytes;
        self.peak = self.peak.max(bytes);
    }

    /// Whether the last count, with the growth since then, exceeds the limit.
    pub fn is_exceeded(&self) -> bool {
        self.estimate > self.limit
    }

    /// Bytes down to which memory is freed once the limit is reached.
    pub fn target(&self) -> usize {
        (self.limit as f64 * TARGET_SHARE) as usize
    }

    /// The highest exact count since the start.
    pub fn peak(&self) -> usize {
        self.peak
    }
}

#[cfg(test)]
mod tests;
