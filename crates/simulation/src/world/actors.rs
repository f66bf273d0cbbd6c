//! What the fakes of a world take in from the network, and what the kernel says.

use super::{DOWNSTREAM_PORT, Event, KERNEL_PORT, World, address};
use crate::fakes::downstream;
use crate::fakes::kernel::Observation;
use crate::network::Side;

impl World {
    /// Has each actor accept connections and take in what has arrived for it.
    pub(super) fn deliver_to_actors(&mut self) {
        self.accept_connections();
        let news = self.net.borrow_mut().take_news();
        for side in news {
            if self.kernel_side == Some(side) {
                self.deliver_to_kernel(side);
            } else if self.downstream.contains_key(&side) {
                self.deliver_to_downstream(side);
            } else if self.connections.contains_key(&side) {
                self.deliver_to_gateway(side);
            }
            // Anything else is a connection that the node has not accepted yet: nobody reads it.
        }
    }

    fn accept_connections(&mut self) {
        let accepted = self.net.borrow_mut().accept(address(KERNEL_PORT));
        for side in accepted {
            if let Some(old) = self.kernel_side.replace(side) {
                self.net.borrow_mut().close(old, true);
            }
            self.kernel.link(true);
        }
        let accepted = self.net.borrow_mut().accept(address(DOWNSTREAM_PORT));
        self.downstream.extend(accepted.into_iter().map(|side| (side, Vec::new())));
    }

    fn deliver_to_kernel(&mut self, side: Side) {
        let bytes = self.net.borrow_mut().read_all(side);
        if let Some(bytes) = bytes {
            return self.kernel.take(self.now(), &bytes);
        }
        self.kernel_side = None;
        self.kernel.link(false);
        self.net.borrow_mut().close(side, false);
    }

    fn deliver_to_downstream(&mut self, side: Side) {
        let bytes = self.net.borrow_mut().read_all(side);
        let Some(input) = self.downstream.get_mut(&side) else { return };
        let Some(bytes) = bytes else {
            self.downstream.remove(&side);
            return self.net.borrow_mut().close(side, false);
        };
        input.extend(bytes);
        for (id, body) in downstream::calls(input) {
            let (delay, reply) = downstream::reply(&mut self.rng, &id, &body);
            let at = self.now().plus(delay);
            self.schedule(at, Event::Reply(side, reply));
        }
    }

    fn deliver_to_gateway(&mut self, side: Side) {
        let now = self.now();
        let bytes = self.net.borrow_mut().read_all(side);
        if let Some(bytes) = bytes {
            return self.on_answer_bytes(now, side, &bytes);
        }
        if let Some(connection) = self.connections.get(&side) {
            connection.open_ids().iter().for_each(|id| self.rules.on_closed(now, id));
        }
        self.drop_connection(side);
        self.net.borrow_mut().close(side, false);
    }

    /// Reports what the kernel has observed to the rules, and sends its lines to the node.
    pub(super) fn drain_kernel(&mut self) {
        let now = self.now();
        for observation in std::mem::take(&mut self.kernel.observed) {
            match observation {
                Observation::Started(id) => {
                    self.note(|| format!("{id} runs"));
                    self.rules.on_run_started(now, &id);
                }
                Observation::Result(id, result) => self.rules.on_result(&id, result),
                Observation::NotAllowed(what) => self.rules.report(now, "barred", what),
                Observation::ChangedOnTheWay(id) => {
                    self.rules.report(now, "changed", format!("{id} reached the kernel changed"));
                }
            }
        }
        if let Some(side) = self.kernel_side {
            let output = std::mem::take(&mut self.kernel.output);
            self.net.borrow_mut().write_all(side, &output);
        }
        // Nobody reads the reports to the membership service.
        let _ = self.net.borrow_mut().take_datagrams();
    }
}
