//! What each fault does to a world.

use super::{Event, SIGTERM, STOP, World};
use crate::faults::Fault;
use crate::network::Side;
use gaugestand_admission::time::Micros;

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        let now = self.now();
        self.note(|| format!("fault: {fault:?}"));
        match fault {
            Fault::KernelLink => {
                if let Some(side) = self.kernel_side.take() {
                    self.kernel.link(false);
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
            Fault::Burst(long) => {
                self.rate = self.site.rate * 3.0;
                self.schedule(now.plus(long), Event::Over(fault));
            }
            Fault::Slow(long) => {
                self.kernel.speed = 0.25;
                self.schedule(now.plus(long), Event::Over(fault));
            }
            Fault::Death(long) => {
                if self.node.is_some() {
                    self.kill();
                    self.restart_after(long);
                }
            }
            Fault::Drain => {
                if self.node.is_some() && !self.leaving {
                    self.leaving = true;
                    self.rules.on_drain(now);
                    self.net.borrow_mut().signal(SIGTERM);
                    self.schedule(now.plus(STOP), Event::Stop(self.incarnation));
                }
            }
            Fault::Below => {
                let all: Vec<Side> = std::mem::take(&mut self.downstream).into_keys().collect();
                all.into_iter().for_each(|side| self.net.borrow_mut().close(side, true));
            }
            Fault::Clock(ms) => self.net.borrow_mut().step_clock(ms * 1000),
        }
    }

    pub(super) fn restart_after(&mut self, after: Micros) {
        let at = self.now().plus(after);
        self.schedule(at, Event::Over(Fault::Death(after)));
    }

    /// The process is gone; gateways see their connections end.
    pub(super) fn kill(&mut self) {
        self.node = None;
        self.net.borrow_mut().kill_node();
        self.rules.on_killed();
    }
}
