//! Deep health checks: the result of one check by the kernel answers all health checks that wait, and those
//! that arrive while it is recent.
//!
//! The work of one check costs the cores as much as a request does, and each gateway sends its own health
//! checks: with many gateways the checks alone would fill the cores. So only one check is in flight at a
//! time, all health checks that arrive meanwhile wait for its result, and the result is valid for
//! [`RESULT_LIFETIME`]. A check that the kernel does not answer within `CHECK_TIMEOUT` has failed.

use super::connections::RequestRef;
use super::counters::Counters;
use super::io::System;
use super::kernel::Kernel;
use gaugestand_admission::time::{Micros, Timestamp};
use std::collections::VecDeque;

/// Time after which a check that the kernel has not answered counts as failed.
const CHECK_TIMEOUT: Micros = Micros::millis(3_000);
/// How long the result of a check answers further health checks. Each gateway sends a health check every
/// second or two. With a shared result, the gateway therefore learns that the kernel has stopped working only
/// a little later than with a check of its own.
pub const RESULT_LIFETIME: Micros = Micros::millis(1_000);
/// Maximum number of abandoned checks whose late result is still accepted; the oldest are forgotten first.
const MAX_ABANDONED: usize = 8;

/// A gateway's health check that waits for a result, and when it arrived.
#[derive(Debug)]
struct Waiting {
    request: RequestRef,
    since: Timestamp,
}

/// The check that is in flight: the kernel was asked for it at `since` and has not answered.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    ticket: u64,
    since: Timestamp,
    /// Number of the kernel link on which the check was requested.
    link: u64,
}

/// The result of a check, and when it arrived.
#[derive(Clone, Copy, Debug)]
struct CheckResult {
    passed: bool,
    at: Timestamp,
}

/// The health checks that wait, the check in flight, and the last result.
#[derive(Debug, Default)]
pub struct HealthChecks {
    waiting: Vec<Waiting>,
    outstanding: Option<Outstanding>,
    /// Tickets of checks that were given up but may still be answered, oldest first.
    abandoned: VecDeque<u64>,
    last_result: Option<CheckResult>,
}

impl HealthChecks {
    /// Handles a new health check. Returns its result if a recent one is known. Otherwise the health check
    /// waits, and the next [`HealthChecks::request`] asks the kernel.
    pub fn add(&mut self, now: Timestamp, request: RequestRef) -> Option<bool> {
        if let Some(result) = self.last_result.filter(|result| now.since(result.at) < RESULT_LIFETIME) {
            return Some(result.passed);
        }
        self.waiting.push(Waiting { request, since: now });
        None
    }

    /// Forgets the health checks for which `is_open` returns false.
    pub fn retain(&mut self, mut is_open: impl FnMut(RequestRef) -> bool) {
        self.waiting.retain(|check| is_open(check.request));
    }

    /// Handles the kernel's result for the check with this ticket; returns the health checks that it answers.
    /// The late result of an abandoned check is as good as any other; a ticket that is unknown is ignored.
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

    /// Asks the kernel for a check if any health check waits and no check is in flight; a check whose link
    /// was replaced is requested again. Returns the health checks that were not answered in time.
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
        // While the link is down the health checks wait: the interruption may be short, and the kernel may
        // still be doing work.
        if self.outstanding.is_none() && !self.waiting.is_empty() && kernel.is_linked() {
            let ticket = kernel.request_deep_check();
            self.outstanding = Some(Outstanding { ticket, since: now, link: kernel.link_number() });
            counters.deep_checks_sent += 1;
        }
        late
    }

    /// Abandons the check in flight if its request may have been lost with its link, or if it was not
    /// answered in time: otherwise no further check would ever be requested.
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

    /// When to call [`HealthChecks::request`] again if no event leads to a call before; none if no health
    /// check waits.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let outstanding = self.outstanding.filter(|_| !self.waiting.is_empty());
        let waiting = self.waiting.iter().map(|check| check.since);
        let oldest = waiting.chain(outstanding.map(|outstanding| outstanding.since)).min();
        oldest.map(|since| since.plus(CHECK_TIMEOUT))
    }
}
