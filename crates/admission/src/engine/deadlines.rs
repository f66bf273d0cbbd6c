//! The controller's timers, and the backend gauges that the controller reads when they fire.
//!
//! A timer fires with a fresh reading of the backend's gauges. The engine requests the reading when the timer
//! is due; if the reading does not arrive within [`GAUGE_TIMEOUT`], the timer fires without gauges.

use crate::interface::{Event, Gauges};
use crate::time::{Micros, Timestamp};
use std::collections::BTreeSet;

/// How long a timer that is due waits for the backend's gauges. The controller checks deadlines when timers
/// fire, so a slow or broken link to the backend must not delay these checks for longer.
pub(super) const GAUGE_TIMEOUT: Micros = Micros::millis(30);

/// How long past its due time an attempt may remain unanswered before the engine fails it. The controller
/// normally answers in time; this limit guards against an attempt that the controller has lost. The protocol
/// tolerates four times this delay.
pub(super) const OVERDUE_GRACE: Micros = Micros::millis(20);

/// What the engine has to do about timers that are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DueTimers {
    /// No timer is due, or the gauges were requested and can still arrive in time.
    Wait,
    /// The engine has to request the gauges.
    RequestGauges,
    /// The timers have to fire without gauges: the link to the backend is down, or the reading is late.
    FireWithoutGauges,
}

/// The controller's timers, each with the id that the controller gave it.
#[derive(Clone, Debug, Default)]
pub(super) struct ControllerTimers {
    pub scheduled: BTreeSet<(Timestamp, u64)>,
    /// Ids of the timers that are due and wait for the gauges.
    pub due: Vec<u64>,
    gauges_requested_at: Option<Timestamp>,
}

impl ControllerTimers {
    /// Restores the timers of another process. The request for gauges is not restored, as the other process
    /// made it on a link of its own.
    pub fn restored(scheduled: BTreeSet<(Timestamp, u64)>, due: Vec<u64>) -> Self {
        ControllerTimers { scheduled, due, gauges_requested_at: None }
    }

    pub fn schedule(&mut self, at: Timestamp, timer: u64) {
        self.scheduled.insert((at, timer));
    }

    /// Moves the timers that are due at `now` to the list of timers that wait for the gauges.
    pub fn collect_due(&mut self, now: Timestamp) {
        while let Some((at, timer)) = self.scheduled.first().copied().filter(|(at, _)| *at <= now) {
            self.scheduled.remove(&(at, timer));
            self.due.push(timer);
        }
    }

    /// Returns what to do about the timers that are due. If the gauges are to be requested, records `now` as
    /// the time of the request.
    pub fn poll(&mut self, now: Timestamp, backend_linked: bool) -> DueTimers {
        if self.due.is_empty() {
            return DueTimers::Wait;
        }
        match self.gauges_requested_at {
            None if backend_linked => {
                self.gauges_requested_at = Some(now);
                DueTimers::RequestGauges
            }
            Some(since) if now.since(since) < GAUGE_TIMEOUT => DueTimers::Wait,
            _ => DueTimers::FireWithoutGauges,
        }
    }

    /// Removes all timers that are due and returns their events, each with the reading `gauges`.
    pub fn fire(&mut self, gauges: Gauges) -> impl Iterator<Item = Event> {
        self.gauges_requested_at = None;
        self.due.drain(..).map(move |timer| Event::Timer(timer, gauges))
    }

    /// Forgets the request for gauges: it was lost with the link on which it was sent.
    pub fn forget_gauge_request(&mut self) {
        self.gauges_requested_at = None;
    }

    /// The earliest time at which a timer is due or the request for gauges times out.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let scheduled = self.scheduled.first().map(|(at, _)| *at);
        let gauge_timeout = self.gauges_requested_at.map(|since| since.plus(GAUGE_TIMEOUT));
        let gauge_timeout = gauge_timeout.filter(|_| !self.due.is_empty());
        [scheduled, gauge_timeout].into_iter().flatten().min()
    }

    pub fn clear(&mut self) {
        self.scheduled.clear();
        self.due.clear();
    }
}
