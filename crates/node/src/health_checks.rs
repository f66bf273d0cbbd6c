//! Deep health checks: what the kernel has shown of late, or will show, answers all of them.
//!
//! The work of one check costs the cores as much as a request does, and each gateway asks on its own: with many of them the
//! checks alone would fill the cores. So one check is out at a time, everyone who asks meanwhile waits for it, and its result
//! holds for [`RESULT_LIFETIME`]. A check that the kernel does not answer within `CHECK_TIMEOUT` has failed.

use super::connections::RequestRef;
use super::counters::Counters;
use super::io::System;
use super::kernel::Kernel;
use gaugestand_admission::time::{Micros, Timestamp};
use std::collections::VecDeque;

/// A check that the kernel has not answered by then has failed.
const CHECK_TIMEOUT: Micros = Micros::millis(3_000);
/// The result of a check holds for so long. Gateways ask every second or two, so none hears much later than from a check of
/// its own that work no longer gets done.
pub const RESULT_LIFETIME: Micros = Micros::millis(1_000);
/// Most abandoned checks whose result still counts.
const MAX_ABANDONED: usize = 8;

/// A health check that waits for its answer.
#[derive(Debug)]
struct Waiting {
    request: RequestRef,
    since: Timestamp,
}

/// The check that the kernel was asked for.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    ticket: u64,
    since: Timestamp,
    /// The number of the link that it was asked on.
    link: u64,
}

/// The result of a check.
#[derive(Clone, Copy, Debug)]
struct CheckResult {
    passed: bool,
    at: Timestamp,
}

/// The checks that wait, and the last result.
#[derive(Debug, Default)]
pub struct HealthChecks {
    waiting: Vec<Waiting>,
    outstanding: Option<Outstanding>,
    /// Tickets of checks that were given up and may end after all.
    abandoned: VecDeque<u64>,
    last_result: Option<CheckResult>,
}

impl HealthChecks {
    /// A check has come. Returns its result if that is known; otherwise it waits, and the kernel is asked with the next
    /// [`HealthChecks::request`].
    pub fn add(&mut self, now: Timestamp, request: RequestRef) -> Option<bool> {
        if let Some(result) = self.last_result.filter(|result| now.since(result.at) < RESULT_LIFETIME) {
            return Some(result.passed);
        }
        self.waiting.push(Waiting { request, since: now });
        None
    }

    /// The kernel has done the work of the check with this ticket, well or not; returns those that it answers. An abandoned
    /// check shows as much when it ends after all; one that was never asked for shows nothing.
    pub fn on_result(&mut self, now: Timestamp, ticket: u64, passed: bool) -> Vec<RequestRef> {
        let abandoned = self.abandoned.iter().position(|abandoned| *abandoned == ticket);
        if abandoned.and_then(|index| self.abandoned.remove(index)).is_none() {
            if self.outstanding.is_none_or(|outstanding| outstanding.ticket != ticket) {
                return Vec::new();
            }
            self.outstanding = None;
        }
        self.last_result = Some(CheckResult { passed, at: now });
        self.waiting.drain(..).map(|check| check.request).collect()
    }

    /// Asks the kernel for the work of a check if any waits and none is out, and again after a new link; returns the checks
    /// that it did not answer in time.
    pub fn request<S: System>(
        &mut self,
        now: Timestamp,
        kernel: &mut Kernel<S>,
        counters: &mut Counters,
    ) -> Vec<RequestRef> {
        let is_late = |check: &Waiting| now.since(check.since) >= CHECK_TIMEOUT;
        let late = self.waiting.iter().filter(|check| is_late(check)).map(|check| check.request).collect();
        self.waiting.retain(|check| !is_late(check));
        self.abandon_lost(now, kernel.link_number());
        // While the link is down the check waits: it is broken for a moment, and work may still get done.
        if self.outstanding.is_none() && !self.waiting.is_empty() && kernel.is_linked() {
            let ticket = kernel.request_deep_check();
            self.outstanding = Some(Outstanding { ticket, since: now, link: kernel.link_number() });
            counters.deep_checks_sent += 1;
        }
        late
    }

    /// Gives up a check whose request may have been lost with its link: without this none would ever be asked for again.
    fn abandon_lost(&mut self, now: Timestamp, link: u64) {
        let is_lost = |outstanding: &mut Outstanding| {
            outstanding.link != link || now.since(outstanding.since) >= CHECK_TIMEOUT
        };
        if let Some(lost) = self.outstanding.take_if(is_lost) {
            self.abandoned.push_back(lost.ticket);
            if self.abandoned.len() > MAX_ABANDONED {
                self.abandoned.pop_front();
            }
        }
    }

    /// When to call [`HealthChecks::request`] again although nothing comes.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let outstanding = self.outstanding.filter(|_| !self.waiting.is_empty());
        let waiting = self.waiting.iter().map(|check| check.since);
        let oldest = waiting.chain(outstanding.map(|outstanding| outstanding.since)).min();
        oldest.map(|since| since.plus(CHECK_TIMEOUT))
    }
}
