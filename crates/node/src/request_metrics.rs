//! Counts of requests by class and outcome, which operators compare with what the gateways saw.
//!
//! Guarantees that every admitted request is counted once at its admission and once at its end
//! ([`RequestMetrics::is_consistent`]).

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// The outcome of a request as its gateway saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The request was answered with a result.
    Success,
    /// The request was rejected: it never ran.
    Overload,
    /// The request ended in any other way, also if its gateway no longer waited for the answer.
    Error,
}

/// How many requests of one class have ended, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// Requests that ended as [`ReplyOutcome::Success`].
    pub success: u64,
    /// Requests that ended as [`ReplyOutcome::Overload`].
    pub overload: u64,
    /// Requests that ended as [`ReplyOutcome::Error`].
    pub error: u64,
}

/// Counts of requests since the start of the process, without admitted requests that were handed over to
/// another process.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    /// Counts of ended requests by class name. A class that is removed from the settings keeps its counts.
    replies: BTreeMap<String, ReplyCounts>,
    /// Requests that were admitted and not handed over.
    admitted: u64,
    /// Admitted requests that have ended.
    ended: u64,
}

impl RequestMetrics {
    /// Adds classes to the printed counts, with 0 for each outcome; called with the classes of each new
    /// configuration. Classes that are already there keep their counts.
    pub fn register_classes(&mut self, classes: &[String]) {
        for class in classes {
            if !self.replies.contains_key(class) {
                self.replies.insert(class.clone(), ReplyCounts::default());
            }
        }
    }

    /// Counts a request that was admitted.
    pub fn record_admitted(&mut self) {
        self.admitted += 1;
    }

    /// Counts the end of a request that was admitted; has to be called exactly once for each.
    pub fn record_end(&mut self, class: &str, outcome: ReplyOutcome) {
        self.ended += 1;
        self.record_reply(class, outcome);
    }

    /// Counts the outcome of a request of this class; for a request that was admitted,
    /// [`RequestMetrics::record_end`] does this.
    pub fn record_reply(&mut self, class: &str, outcome: ReplyOutcome) {
        // Classes that were not registered are ignored, so that a client cannot add entries.
        let Some(counts) = self.replies.get_mut(class) else { return };
        match outcome {
            ReplyOutcome::Success => counts.success += 1,
            ReplyOutcome::Overload => counts.overload += 1,
            ReplyOutcome::Error => counts.error += 1,
        }
    }

    /// Subtracts `open` admitted requests, which were handed over to another process and end there.
    pub fn record_handed_over(&mut self, open: usize) {
        self.admitted -= (open as u64).min(self.admitted);
    }

    /// The counts of a class; all 0 for a class that was never registered.
    pub fn replies(&self, class: &str) -> ReplyCounts {
        self.replies.get(class).copied().unwrap_or_default()
    }

    /// Whether the number of admitted requests equals those that have ended plus the `open` ones.
    pub fn is_consistent(&self, open: usize) -> bool {
        self.admitted == self.ended + open as u64
    }

    /// Renders one line for each count, in the statsd format. `open` is the number of admitted requests that
    /// are open now; `others` are the names and values of counts that are kept elsewhere.
    pub fn render(&self, open: usize, others: &[(&str, u64)]) -> String {
        let mut text = String::new();
        // Writing to a String cannot fail.
        for (class, counts) in &self.replies {
            let by_outcome =
                [("success", counts.success), ("overload", counts.overload), ("error", counts.error)];
            for (outcome, count) in by_outcome {
                let _ = writeln!(text, "balancer.replies.{class}.{outcome}:{count}|c");
            }
        }
        for (name, count) in others {
            let _ = writeln!(text, "balancer.{name}:{count}|c");
        }
        let _ = writeln!(text, "balancer.concurrent:{open}|g");
        text
    }
}
