//! Faults of links.

use super::{Fault, ProcessCluster};
use gaugestand_fakes::relay::{Delivery, Relay};

impl ProcessCluster {
    /// Injects a fault of links; those of processes, and proposals, are up to the caller, as they take their time.
    pub fn inject(&self, fault: Fault) {
        match fault {
            Fault::Link { from, to, forth, back } => self.set_link(from, to, forth, back),
            Fault::AllLinks { process, outbound, inbound } => {
                for other in (0..self.len()).filter(|other| *other != process) {
                    self.set_link(process, other, outbound, inbound);
                }
            }
            Fault::Close(from, to) => self.with_relay(from, to, |relay| relay.close_connections(false)),
            Fault::CloseMidMessage { from, to, after_bytes } => {
                self.with_relay(from, to, |relay| relay.close_after(after_bytes));
            }
            Fault::Heal => self.relays.values().for_each(Relay::heal),
            Fault::Kill { .. } | Fault::Pause { .. } | Fault::Propose(_) => {}
        }
    }

    fn set_link(&self, from: usize, to: usize, forth: Delivery, back: Delivery) {
        self.with_relay(from, to, |relay| {
            // The relay's directions are seen from the process with the lower number, which connects.
            if from < to { relay.set_delivery(forth, back) } else { relay.set_delivery(back, forth) }
        });
    }

    fn with_relay(&self, from: usize, to: usize, action: impl FnOnce(&Relay)) {
        if let Some(relay) = self.relays.get(&(from.min(to), from.max(to))) {
            action(relay);
        }
    }
}
