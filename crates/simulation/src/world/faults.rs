//! Injects the faults of the plan into a world.

use super::{Event, SIGTERM, STOP_TIMEOUT, World};
use crate::faults::Fault;
use crate::network::Side;
use gaugestand_admission::time::Micros;

impl World {
    /// Starts the effect of a fault. Faults with a duration schedule the end of their effect.
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        let now = self.now();
        self.trace_event(|| format!("fault: {fault:?}"));
        match fault {
            Fault::KernelLink => {
                if let Some(side) = self.kernel_side.take() {
                    self.kernel.set_linked(false);
                    self.net.borrow_mut().close(side, true);
                }
            }
            Fault::Reset => {
                let open: Vec<Side> = self.connections.keys().copied().collect();
                if !open.is_empty() {
                    let side = open[self.rng.below(open.len() as u64) as usize];
                    self.drop_connection(side);
                    self.net.borrow_mut().close(side, true);
                }
            }
            Fault::Burst(duration) => {
                self.rate = self.site.rate * 3.0;
                self.schedule(now.plus(duration), Event::FaultEnd(fault));
            }
            Fault::Slow(duration) => {
                self.kernel.speed = 0.25;
                self.schedule(now.plus(duration), Event::FaultEnd(fault));
            }
            Fault::Death(downtime) => {
                if self.node.is_some() {
                    self.kill();
                    self.restart_after(downtime);
                }
            }
            Fault::Drain => {
                if self.node.is_some() && !self.is_draining {
                    self.is_draining = true;
                    self.rules.on_drain(now);
                    self.net.borrow_mut().signal(SIGTERM);
                    self.schedule(now.plus(STOP_TIMEOUT), Event::Kill(self.incarnation));
                }
            }
            Fault::Below => {
                let all: Vec<Side> = std::mem::take(&mut self.downstream).into_keys().collect();
                all.into_iter().for_each(|side| self.net.borrow_mut().close(side, true));
            }
            Fault::Clock(ms) => self.net.borrow_mut().step_clock(ms * 1000),
        }
    }

    /// Schedules the start of a new process of the node, with a new kernel, after `delay`.
    pub(super) fn restart_after(&mut self, delay: Micros) {
        let at = self.now().plus(delay);
        self.schedule(at, Event::FaultEnd(Fault::Death(delay)));
    }

    /// Kills the process of the node; its connections are reset.
    pub(super) fn kill(&mut self) {
        self.node = None;
        self.net.borrow_mut().kill_node();
        self.rules.on_killed();
    }
}
