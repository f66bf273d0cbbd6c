//! Dispatches each readiness event of the poller to the component that the event's key belongs to.

use super::keys::*;
use super::{Node, cluster};
use crate::io::{Ready, System};
use std::io::Read;

impl<S: System> Node<S> {
    pub(super) fn dispatch(&mut self, event: Ready) {
        match event.key {
            GATEWAY_LISTENER => self.on_gateway_listener_ready(),
            KERNEL => self.on_kernel_ready(event),
            HANDOVER_LISTENER => self.accept_successors(),
            PREDECESSOR => self.on_predecessor_ready(event),
            SUCCESSOR => self.on_successor_ready(event),
            key if is_inherited_kernel(key) => self.on_inherited_kernel_ready(event),
            TERMINATION => self.on_termination_signal(),
            PRINT_COUNTERS => {
                empty_signal_pipe(&mut self.counters_signal);
                self.print_counters();
            }
            RELOAD => {
                empty_signal_pipe(&mut self.reload_signal);
                self.reload_configuration();
            }
            IDEMPOTENCY_STORE => self.on_idempotency_store_ready(event),
            ADMIN_LISTENER => self.admin.accept(self.clock.now()),
            key if self.admin.has_key(key) => self.on_admin_caller_ready(event),
            key if cluster::is_key(key) => self.on_cluster_event(event),
            key if self.store.has_key(key) => self.on_store_ready(event),
            key => self.on_connection_key_ready(key, event),
        }
    }

    fn on_gateway_listener_ready(&mut self) {
        // After a hand-over, a connection accepted by this process would be lost when the process exits.
        if self.handover.machine.is_active() {
            self.connections.accept(self.clock.now(), &mut self.counters);
        }
    }

    fn on_termination_signal(&mut self) {
        empty_signal_pipe(&mut self.termination_signals);
        // A second signal during a drain is ignored. In particular, it must not start a hand-over.
        if !self.draining {
            self.terminate_once_settled();
        }
    }

    fn on_idempotency_store_ready(&mut self, event: Ready) {
        let now = self.clock.moment();
        let readiness = (event.readable, event.writable);
        self.idempotency_store.ready(now, readiness, self.engine.idempotency(), &mut self.counters);
    }

    fn on_store_ready(&mut self, event: Ready) {
        let ended = self.store.ready(self.clock.now(), event, &mut self.counters);
        self.on_calls_ended(ended);
    }

    fn on_connection_key_ready(&mut self, key: usize, event: Ready) {
        let connection = self.connections.at_key(key).filter(|_| self.handover.machine.is_active());
        let Some(connection) = connection else { return };
        if event.failed {
            // Guards against running requests that nobody waits for: on Linux, bytes that arrived before the
            // reset can still be read.
            self.counters.connections_reset += 1;
            return self.close_connection(connection);
        }
        self.on_connection_ready(connection, event.readable);
    }
}

/// Maximum number of reads that empty a signal pipe in one iteration, so that a process that signals without a
/// pause does not hold up the event loop. Bytes that are left report the signal once more.
const MAX_SIGNAL_READS: usize = 16;

/// Empties the pipe that reports a signal. The bytes carry no information: a signal is reported by the pipe
/// becoming readable.
fn empty_signal_pipe(pipe: &mut impl Read) {
    let mut reads = 0..MAX_SIGNAL_READS;
    reads.all(|_| matches!(pipe.read(&mut [0; 64]), Ok(length) if length > 0));
}
