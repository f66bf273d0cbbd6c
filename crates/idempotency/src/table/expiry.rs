//! Expiry: entries are dropped some time after the end of their deduplication window, and their rows are
//! removed from the store.
//!
//! An entry whose run is not over stays, however long the run takes. The monotonic clock alone decides when
//! an entry is dropped, so a wall clock that was set back can make the entry apply longer, never shorter.

use super::{KeyTable, LATE_READ_GRACE};
use crate::row::Write;
use gaugestand_admission::time::{Micros, Timestamp};

/// Maximum number of entries that one sweep examines, so that no iteration of the event loop takes long.
/// Twenty sweeps a second drop more entries than a node can add in that time.
const MAX_SWEEP_ENTRIES: usize = 2_000;
/// Shortest time between two sweeps.
const SWEEP_INTERVAL: Micros = Micros::millis(50);

impl KeyTable {
    /// When the next sweep has an entry to examine; `None` if there is no entry.
    pub(super) fn next_sweep_due(&self) -> Option<Timestamp> {
        self.expiry.front().map(|(due, _)| (*due).max(self.next_sweep))
    }

    /// Drops entries whose window and late-read grace are over. Does nothing within `SWEEP_INTERVAL` of the
    /// last sweep.
    pub(super) fn sweep(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now.plus(SWEEP_INTERVAL);
        for _ in 0..MAX_SWEEP_ENTRIES {
            let Some((_, key)) = self.expiry.pop_front_if(|(due, _)| *due <= now) else { break };
            let Some(entry) = self.keys.get(&key) else { continue };
            let end = entry.expires.mono.plus(LATE_READ_GRACE);
            // An entry stays while its run is open or after its window was extended; it is examined again
            // later.
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
