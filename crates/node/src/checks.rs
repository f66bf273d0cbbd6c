//! Deep health checks that wait for the kernel to show that work gets done.

use super::accept::ConnId;
use super::counters::Counters;
use super::io::System;
use super::kernel::Kernel;
use gaugestand_core::facade::Micros;

/// A check that the kernel has not answered by then has failed.
const CHECK: Micros = Micros::millis(3_000);

/// One check.
#[derive(Debug)]
struct Check {
    conn: ConnId,
    fcgi: u16,
    since: Micros,
    /// The kernel's ticket for it, and the number of the link that it was asked on.
    asked: Option<(u64, u64)>,
}

/// The checks that wait.
#[derive(Debug, Default)]
pub struct Checks {
    open: Vec<Check>,
}

impl Checks {
    /// One more, which is asked with the next [`Checks::post`].
    pub fn add(&mut self, now: Micros, conn: ConnId, fcgi: u16) {
        self.open.push(Check { conn, fcgi, since: now, asked: None });
    }

    /// The kernel has answered the one with this ticket.
    pub fn posted(&mut self, ticket: u64) -> Option<(ConnId, u16)> {
        let at = self.open.iter().position(|c| c.asked.is_some_and(|a| a.0 == ticket))?;
        let check = self.open.swap_remove(at);
        Some((check.conn, check.fcgi))
    }

    /// Asks the kernel for the work of checks, again after a new link; returns those that it did not answer.
    pub fn post<S: System>(
        &mut self,
        now: Micros,
        kernel: &mut Kernel<S>,
        counters: &mut Counters,
    ) -> Vec<(ConnId, u16)> {
        let late = |c: &Check| now.since(c.since) >= CHECK;
        let over = self.open.iter().filter(|c| late(c)).map(|c| (c.conn, c.fcgi)).collect();
        self.open.retain(|c| !late(c));
        let link = kernel.link_number();
        // Guards against a check that fails as the link breaks for a moment: the work still gets done.
        let linked = kernel.is_linked();
        for check in self.open.iter_mut().filter(|c| linked && c.asked.is_none_or(|a| a.1 != link)) {
            check.asked = Some((kernel.post(), link));
            counters.posts_sent += 1;
        }
        over
    }

    /// When the next one is over.
    pub fn wake(&self) -> Option<Micros> {
        self.open.iter().map(|c| c.since.plus(CHECK)).min()
    }
}
