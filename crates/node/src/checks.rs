//! Deep health checks: what the kernel has shown of late, or will show, answers all of them.
//!
//! The work of one check costs the cores as much as a request does, and each gateway asks on its own: with many of them the
//! checks alone would fill the cores. So one is done at a time, everyone who asks meanwhile waits for it, and what it
//! showed holds for [`FRESH`].

use super::accept::ConnId;
use super::counters::Counters;
use super::io::System;
use super::kernel::Kernel;
use gaugestand_core::facade::Micros;

/// A check that the kernel has not answered by then has failed.
const CHECK: Micros = Micros::millis(3_000);
/// What a check has shown holds for so long. Gateways ask every second or two, so none hears much later than from a check of
/// its own that the work no longer gets done.
pub const FRESH: Micros = Micros::millis(1_000);

/// A check that waits.
#[derive(Debug)]
struct Waiting {
    conn: ConnId,
    fcgi: u16,
    since: Micros,
}

/// The checks that wait, and what the last one has shown.
#[derive(Debug, Default)]
pub struct Checks {
    open: Vec<Waiting>,
    /// The kernel is at it: since when, and the number of the link that it was asked on.
    asked: Option<(Micros, u64)>,
    /// What it has shown, and when.
    shown: Option<(bool, Micros)>,
}

impl Checks {
    /// One more. Tells how it ends if that is known; otherwise it waits, and the kernel is asked with the next
    /// [`Checks::post`].
    pub fn add(&mut self, now: Micros, conn: ConnId, fcgi: u16) -> Option<bool> {
        if let Some((good, _)) = self.shown.filter(|(_, at)| now.since(*at) < FRESH) {
            return Some(good);
        }
        self.open.push(Waiting { conn, fcgi, since: now });
        None
    }

    /// The kernel has done the work of one, well or not; returns those that it answers. One that was given up shows as much
    /// when it ends after all.
    pub fn posted(&mut self, now: Micros, good: bool) -> Vec<(ConnId, u16)> {
        (self.asked, self.shown) = (None, Some((good, now)));
        self.open.drain(..).map(|w| (w.conn, w.fcgi)).collect()
    }

    /// Asks the kernel for the work of a check if any waits and none is being done, again after a new link; returns
    /// those that it did not answer.
    pub fn post<S: System>(
        &mut self,
        now: Micros,
        kernel: &mut Kernel<S>,
        counters: &mut Counters,
    ) -> Vec<(ConnId, u16)> {
        let late = |w: &Waiting| now.since(w.since) >= CHECK;
        let over = self.open.iter().filter(|w| late(w)).map(|w| (w.conn, w.fcgi)).collect();
        self.open.retain(|w| !late(w));
        let link = kernel.link_number();
        // Guards against a question that was lost: without this nothing would ever be asked again.
        self.asked = self.asked.filter(|(since, on)| *on == link && now.since(*since) < CHECK);
        // Guards against a check that fails as the link breaks for a moment: the work still gets done.
        if self.asked.is_none() && !self.open.is_empty() && kernel.is_linked() {
            kernel.post();
            self.asked = Some((now, link));
            counters.posts_sent += 1;
        }
        over
    }

    /// When to call [`Checks::post`] again although nothing comes.
    pub fn wake(&self) -> Option<Micros> {
        let asked = self.asked.map(|(since, _)| since).filter(|_| !self.open.is_empty());
        self.open.iter().map(|w| w.since).chain(asked).min().map(|since| since.plus(CHECK))
    }
}
