//! Deep health checks: what the kernel has shown of late, or will show, answers all of them.
//!
//! The work of one check costs the cores as much as a request does, and each gateway asks on its own: with many of them the
//! checks alone would fill the cores. So one is done at a time, everyone who asks meanwhile waits for it, and what it
//! showed holds for [`FRESH`].

use super::connections::RequestRef;
use super::counters::Counters;
use super::io::System;
use super::kernel::Kernel;
use gaugestand_admission::time::Micros;
use std::collections::VecDeque;

/// A check that the kernel has not answered by then has failed.
const CHECK: Micros = Micros::millis(3_000);
/// What a check has shown holds for so long. Gateways ask every second or two, so none hears much later than from a check of
/// its own that the work no longer gets done.
pub const FRESH: Micros = Micros::millis(1_000);

/// Most of those that were given up whose end still counts.
const MOST_GIVEN_UP: usize = 8;

/// A check that waits.
#[derive(Debug)]
struct Waiting {
    request: RequestRef,
    since: Micros,
}

/// The one that the kernel is asked to do: its ticket, since when, and the number of the link that it was asked on.
#[derive(Clone, Copy, Debug)]
struct Asked {
    ticket: u64,
    since: Micros,
    link: u64,
}

/// The checks that wait, and what the last one has shown.
#[derive(Debug, Default)]
pub struct Checks {
    open: Vec<Waiting>,
    /// The kernel is at it.
    asked: Option<Asked>,
    /// Tickets of those that were given up and may end after all.
    given_up: VecDeque<u64>,
    /// What it has shown, and when.
    shown: Option<(bool, Micros)>,
}

impl Checks {
    /// One more. Tells how it ends if that is known; otherwise it waits, and the kernel is asked with the next
    /// [`Checks::request`].
    pub fn add(&mut self, now: Micros, request: RequestRef) -> Option<bool> {
        if let Some((good, _)) = self.shown.filter(|(_, at)| now.since(*at) < FRESH) {
            return Some(good);
        }
        self.open.push(Waiting { request, since: now });
        None
    }

    /// The kernel has done the work of the one with this ticket, well or not; returns those that it answers. One that was
    /// given up shows as much when it ends after all; one that was never asked for shows nothing.
    pub fn posted(&mut self, now: Micros, ticket: u64, good: bool) -> Vec<RequestRef> {
        let late = self.given_up.iter().position(|t| *t == ticket);
        if late.and_then(|at| self.given_up.remove(at)).is_none() {
            if self.asked.is_none_or(|asked| asked.ticket != ticket) {
                return Vec::new();
            }
            self.asked = None;
        }
        self.shown = Some((good, now));
        self.open.drain(..).map(|w| w.request).collect()
    }

    /// Asks the kernel for the work of a check if any waits and none is being done, again after a new link; returns
    /// those that it did not answer.
    pub fn request<S: System>(
        &mut self,
        now: Micros,
        kernel: &mut Kernel<S>,
        counters: &mut Counters,
    ) -> Vec<RequestRef> {
        let late = |w: &Waiting| now.since(w.since) >= CHECK;
        let over = self.open.iter().filter(|w| late(w)).map(|w| w.request).collect();
        self.open.retain(|w| !late(w));
        let link = kernel.link_number();
        // Guards against a question that was lost: without this nothing would ever be asked again.
        let lost = |asked: &mut Asked| asked.link != link || now.since(asked.since) >= CHECK;
        if let Some(asked) = self.asked.take_if(lost) {
            self.given_up.push_back(asked.ticket);
            if self.given_up.len() > MOST_GIVEN_UP {
                self.given_up.pop_front();
            }
        }
        // Guards against a check that fails as the link breaks for a moment: the work still gets done.
        if self.asked.is_none() && !self.open.is_empty() && kernel.is_linked() {
            self.asked = Some(Asked { ticket: kernel.request_deep_check(), since: now, link });
            counters.posts_sent += 1;
        }
        over
    }

    /// When to call [`Checks::request`] again although nothing comes.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let asked = self.asked.map(|asked| asked.since).filter(|_| !self.open.is_empty());
        self.open.iter().map(|w| w.since).chain(asked).min().map(|since| since.plus(CHECK))
    }
}
