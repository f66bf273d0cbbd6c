//! Injects the faults of a plan that concern links between processes.

use super::{Fault, ProcessCluster};
use gaugestand_fakes::relay::{Delivery, Relay};

impl ProcessCluster {
    /// Injects a fault of links and returns at once. Faults of processes and proposals, which take time, are
    /// left to the caller and ignored here.
    pub fn inject(&self, fault: Fault) {
        match fault {
            Fault::Link { from, to, forward, backward } => self.set_link(from, to, forward, backward),
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

    fn set_link(&self, from: usize, to: usize, forward: Delivery, backward: Delivery) {
        self.with_relay(from, to, |relay| {
            // The process with the lower number connects through the relay, so the relay's forward direction
            // starts there.
            if from < to {
                relay.set_delivery(forward, backward)
            } else {
                relay.set_delivery(backward, forward)
            }
        });
    }

    fn with_relay(&self, from: usize, to: usize, action: impl FnOnce(&Relay)) {
        if let Some(relay) = self.relays.get(&(from.min(to), from.max(to))) {
            action(relay);
        }
    }
}
