//! The figures that operators hold against what the node's peers saw.

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// How a request ended, as its client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a result.
    Success,
    /// Refused: it never ran.
    Overload,
    /// Otherwise; also if nobody waited any more.
    Error,
}

/// Requests of one class that have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// With a result.
    pub success: u64,
    /// Refused.
    pub overload: u64,
    /// Otherwise.
    pub error: u64,
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    /// By the name of the class, which keeps its totals while it is not among the settings.
    replies: BTreeMap<String, Ends>,
    /// Requests taken into the table.
    taken: u64,
    /// Ends of those.
    ended: u64,
}

impl RequestMetrics {
    /// These classes are listed from now on, also before a request of them ends.
    pub fn register_classes(&mut self, classes: &[String]) {
        for class in classes {
            if !self.replies.contains_key(class) {
                self.replies.insert(class.clone(), Ends::default());
            }
        }
    }

    /// A request was taken into the table.
    pub fn record_admitted(&mut self) {
        self.taken += 1;
    }

    /// A request that was taken ended. Call it once for each.
    pub fn record_end(&mut self, class: &str, end: End) {
        self.ended += 1;
        self.record_reply(class, end);
    }

    /// A request of this class was answered without being taken.
    pub fn record_reply(&mut self, class: &str, end: End) {
        // Only classes that were listed come here: a client cannot make new ones.
        let Some(ends) = self.replies.get_mut(class) else { return };
        match end {
            End::Success => ends.success += 1,
            End::Overload => ends.overload += 1,
            End::Error => ends.error += 1,
        }
    }

    /// So many that were taken are another process's from now on.
    pub fn record_handed_over(&mut self, open: usize) {
        self.taken -= (open as u64).min(self.taken);
    }

    /// How requests of a class have ended.
    pub fn replies(&self, class: &str) -> Ends {
        self.replies.get(class).copied().unwrap_or_default()
    }

    /// Whether all that was taken has ended or is among so many that are open.
    pub fn is_consistent(&self, open: usize) -> bool {
        self.taken == self.ended + open as u64
    }

    /// One line a figure; `others` are counts that are kept elsewhere.
    pub fn render(&self, open: usize, others: &[(&str, u64)]) -> String {
        let mut text = String::new();
        // Writing to a String cannot fail.
        for (class, ends) in &self.replies {
            let ends = [("success", ends.success), ("overload", ends.overload), ("error", ends.error)];
            for (end, n) in ends {
                let _ = writeln!(text, "balancer.replies.{class}.{end}:{n}|c");
            }
        }
        for (name, n) in others {
            let _ = writeln!(text, "balancer.{name}:{n}|c");
        }
        let _ = writeln!(text, "balancer.concurrent:{open}|g");
        text
    }
}
