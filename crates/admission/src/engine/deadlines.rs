//! The controller's timers, and the gauges that the controller needs when they fire.
//!
//! A timer fires with a fresh reading of the backend's gauges. The reading is requested once the timer is due; if it
//! does not arrive within [`GAUGE_TIMEOUT`], the timer fires without it.

use crate::interface::{Event, Gauges};
use crate::time::{Micros, Timestamp};
use std::collections::BTreeSet;

/// How long a due timer waits for the backend's gauges. Deadlines are checked when timers fire, so that a slow or
/// broken link to the backend must not hold them up.
pub(super) const GAUGE_TIMEOUT: Micros = Micros::millis(30);

/// How long past its due time an attempt may remain unanswered before the engine fails it by itself. The controller
/// answers in time; this guards against an attempt that it has lost. The protocol tolerates four times as much.
pub(super) const OVERDUE_GRACE: Micros = Micros::millis(20);

/// What the engine is to do about timers that are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DueTimers {
    /// None is due, or the gauges were requested and can still arrive.
    Wait,
    /// The gauges are to be requested.
    RequestGauges,
    /// They fire without gauges: the link is down, or the reading is late.
    FireWithoutGauges,
}

/// The controller's timers. Each has a number that the controller chose.
#[derive(Clone, Debug, Default)]
pub(super) struct ControllerTimers {
    pub scheduled: BTreeSet<(Timestamp, u64)>,
    /// Timers that are due and wait for the gauges.
    pub due: Vec<u64>,
    gauges_requested_at: Option<Timestamp>,
}

impl ControllerTimers {
    /// Timers as another process had them, with no reading of the gauges under way.
    pub fn restored(scheduled: BTreeSet<(Timestamp, u64)>, due: Vec<u64>) -> Self {
        ControllerTimers { scheduled, due, gauges_requested_at: None }
    }

    pub fn schedule(&mut self, at: Timestamp, timer: u64) {
        self.scheduled.insert((at, timer));
    }

    /// Moves the timers that are due by now to those that wait for the gauges.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((at, timer)) = self.scheduled.first().copied().filter(|(at, _)| *at <= now) {
            self.scheduled.remove(&(at, timer));
            self.due.push(timer);
        }
    }

    /// What to do about the timers that are due; remembers when the gauges were requested.
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

    /// The events of all timers that are due, with this reading.
    pub fn fire(&mut self, gauges: Gauges) -> impl Iterator<Item = Event> {
        self.gauges_requested_at = None;
        self.due.drain(..).map(move |timer| Event::Timer(timer, gauges))
    }

    /// The request for the gauges was lost with the link that it was sent on.
    pub fn forget_gauge_request(&mut self) {
        self.gauges_requested_at = None;
    }

    /// When to look again although nothing happens.
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
