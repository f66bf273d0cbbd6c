//! Passes bytes between the simulated network and the fakes of a world, and observations of the kernel to the
//! rules.

use super::{DOWNSTREAM_PORT, Event, KERNEL_PORT, World, address};
use crate::fakes::downstream;
use crate::fakes::kernel::Observation;
use crate::network::Side;

impl World {
    /// Accepts the connections that wait at the actors' listeners, and passes the bytes that have arrived to
    /// the actors.
    pub(super) fn deliver_to_actors(&mut self) {
        self.accept_connections();
        let sides = self.net.borrow_mut().take_changed_sides();
        for side in sides {
            if self.kernel_side == Some(side) {
                self.deliver_to_kernel(side);
            } else if self.downstream.contains_key(&side) {
                self.deliver_to_downstream(side);
            } else if self.connections.contains_key(&side) {
                self.deliver_to_gateway(side);
            }
            // Any other side is the accepting side of a connection that the node has not accepted yet: no
            // actor reads it.
        }
    }

    /// Accepts the connections to the kernel and to the downstream tier. A new link to the kernel replaces
    /// the previous one.
    fn accept_connections(&mut self) {
        let accepted = self.net.borrow_mut().accept(address(KERNEL_PORT));
        for side in accepted {
            if let Some(old) = self.kernel_side.replace(side) {
                self.net.borrow_mut().close(old, true);
            }
            self.kernel.set_linked(true);
        }
        let accepted = self.net.borrow_mut().accept(address(DOWNSTREAM_PORT));
        self.downstream.extend(accepted.into_iter().map(|side| (side, Vec::new())));
    }

    fn deliver_to_kernel(&mut self, side: Side) {
        let bytes = self.net.borrow_mut().read_all(side);
        if let Some(bytes) = bytes {
            return self.kernel.receive(self.now(), &bytes);
        }
        self.kernel_side = None;
        self.kernel.set_linked(false);
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
            self.on_answer_bytes(now, side, &bytes);
            // The end may have arrived together with the last bytes.
            if !self.net.borrow().is_over(side) {
                return;
            }
        }
        if let Some(connection) = self.connections.get(&side) {
            connection.open_ids().iter().for_each(|id| self.rules.on_closed(now, id));
        }
        self.drop_connection(side);
        self.net.borrow_mut().close(side, false);
    }

    /// Reports the kernel's observations to the rules, and sends its lines to the node.
    pub(super) fn drain_kernel(&mut self) {
        let now = self.now();
        for observation in std::mem::take(&mut self.kernel.observed) {
            match observation {
                Observation::Started(id) => {
                    self.trace_event(|| format!("{id} runs"));
                    self.rules.on_run_started(now, &id);
                }
                Observation::Result(id, result) => self.rules.on_result(&id, result),
                Observation::ForbiddenCommand(observed) => self.rules.report(now, "barred", observed),
                Observation::WrongReply(id) => {
                    let text = format!("the run of {id} got another reply than that to its call");
                    self.rules.report(now, "changed", text);
                }
                Observation::AlteredRequest(id) => {
                    self.rules.report(
                        now,
                        "changed",
                        format!(
                            "the kernel was sent {id} with another class or body than the gateway had sent"
                        ),
                    );
                }
            }
        }
        if let Some(side) = self.kernel_side {
            let output = std::mem::take(&mut self.kernel.output);
            self.net.borrow_mut().write_all(side, &output);
        }
        // The reports to the membership service are discarded: no actor reads them.
        let _ = self.net.borrow_mut().take_datagrams();
    }
}
