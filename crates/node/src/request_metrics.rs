//! Requests by class and outcome, as operators compare them with what the gateways saw.
//!
//! Guarantees that every admitted request is counted once, at its admission and at its end ([`RequestMetrics::is_consistent`]).

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// With a result.
    Success,
    /// Rejected: it never ran.
    Overload,
    /// Anything else; also if nobody waited any more.
    Error,
}

/// Requests of one class that have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// With a result.
    pub success: u64,
    /// Rejected.
    pub overload: u64,
    /// Anything else.
    pub error: u64,
}

/// Counts since the start of the process, but for what was handed over.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    /// By the name of the class, which keeps its totals while it is not among the settings.
    replies: BTreeMap<String, ReplyCounts>,
    /// Requests admitted.
    admitted: u64,
    /// Those of them that have ended.
    ended: u64,
}

impl RequestMetrics {
    /// These classes are listed from now on, also before a request of them ends.
    pub fn register_classes(&mut self, classes: &[String]) {
        for class in classes {
            if !self.replies.contains_key(class) {
                self.replies.insert(class.clone(), ReplyCounts::default());
            }
        }
    }

    /// A request was admitted.
    pub fn record_admitted(&mut self) {
        self.admitted += 1;
    }

    /// A request that was admitted has ended. To be called once for each.
    pub fn record_end(&mut self, class: &str, outcome: ReplyOutcome) {
        self.ended += 1;
        self.record_reply(class, outcome);
    }

    /// A request of this class was answered, admitted or not.
    pub fn record_reply(&mut self, class: &str, outcome: ReplyOutcome) {
        // Only classes that were listed come here: a client cannot make new ones.
        let Some(counts) = self.replies.get_mut(class) else { return };
        match outcome {
            ReplyOutcome::Success => counts.success += 1,
            ReplyOutcome::Overload => counts.overload += 1,
            ReplyOutcome::Error => counts.error += 1,
        }
    }

    /// So many admitted requests are another process's from now on.
    pub fn record_handed_over(&mut self, open: usize) {
        self.admitted -= (open as u64).min(self.admitted);
    }

    /// How requests of a class have ended.
    pub fn replies(&self, class: &str) -> ReplyCounts {
        self.replies.get(class).copied().unwrap_or_default()
    }

    /// Whether all that was admitted has ended or is among so many that are open.
    pub fn is_consistent(&self, open: usize) -> bool {
        self.admitted == self.ended + open as u64
    }

    /// One line a count, in the form of statsd; `others` are counts that are kept elsewhere.
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
