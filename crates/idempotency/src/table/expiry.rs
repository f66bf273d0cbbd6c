//! Expiry: entries are dropped some time after their deduplication window, and their rows are removed from the store.
//!
//! An entry whose run is not over stays, however long that takes. A clock that was set back makes entries stay longer,
//! never shorter, since the monotonic clock decides here.

use super::{KeyTable, LATE_READ_GRACE};
use crate::row::Write;
use gaugestand_admission::time::{Micros, Timestamp};

/// Most entries looked at in one sweep, so that no iteration of the event loop is long. Twenty sweeps a second drop
/// more entries than a node can take in.
const MAX_SWEPT: usize = 2_000;
/// Shortest time between two sweeps.
const SWEEP_INTERVAL: Micros = Micros::millis(50);

impl KeyTable {
    /// When the next sweep has something to look at.
    pub(super) fn next_sweep_due(&self) -> Option<Timestamp> {
        self.expiry.front().map(|(due, _)| (*due).max(self.next_sweep))
    }

    /// Drops entries that are past their window.
    pub(super) fn sweep(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now.plus(SWEEP_INTERVAL);
        for _ in 0..MAX_SWEPT {
            let Some((_, key)) = self.expiry.pop_front_if(|(due, _)| *due <= now) else { break };
            let Some(entry) = self.keys.get(&key) else { continue };
            let end = entry.expires.mono.plus(LATE_READ_GRACE);
            // One that is open outlasts its window; it is looked at again a while later.
            if entry.is_open() || end > now {
                self.expiry.push_back((end.max(now.plus(LATE_READ_GRACE)), key));
                continue;
            }
            let sequence = entry.sequence;
            self.remove(&key);
            self.mark_changed(&key);
            if let Some(durability) = &mut self.durability {
                durability.push_removal(Write::Remove { key: key.to_string(), sequence });
            }
        }
    }
}
