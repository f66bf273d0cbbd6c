//! Idle connections: how long the worker keeps one that no request comes on.
//!
//! Guarantees a timeout between a fiftieth of the time after which callers close idle connections themselves
//! and that time. Says nothing of connections with a request on them.

use super::Controller;
use crate::interface::Action;
use crate::time::Span;

/// Mean read delay, as a share of the mean latency objective, over which connections are kept longer: reading
/// lags, and handshakes would add to it.
const LAGGING_READ_FRACTION: f64 = 0.08;
/// Mean read delay, as a share of the mean latency objective, under which connections are closed sooner.
const PROMPT_READ_FRACTION: f64 = 0.04;
/// Factor of the timeout in a control period in which connections are to be kept longer.
const LENGTHENING: f64 = 1.5;
/// Share of the timeout that is taken off in a period with idle cores; less while they are busy, as
/// handshakes take their time.
const SHORTENING: f64 = 0.3;
/// Share of busy cores from which the shortening is no further reduced: the table of connections must not
/// fill up while the cores are always busy.
const MAX_BUSY_FRACTION: f64 = 0.9;
/// Least timeout, as a share of the time after which callers close idle connections: less would close those
/// that are about to be used.
const MIN_TIMEOUT_FRACTION: f64 = 0.02;
/// Least timeout that is announced.
const MIN_TIMEOUT: Span = Span::millis(10);
/// The timeout before anything is known, as a part of the time after which callers close idle connections.
const INITIAL_PARTS: f64 = 10.0;
/// Requests from each caller within its idle time under which a kept connection is seldom used again.
const REUSING_REQUESTS: f64 = 2.0;
/// The timeout is announced anew when it has changed by more than this share.
const MIN_CHANGE_FRACTION: f64 = 0.05;

/// The timeout's state, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleConnections {
    pub(super) timeout_s: f64,
    /// The timeout last announced; at first the callers' own, which holds without one.
    pub(super) announced_s: f64,
}

impl IdleConnections {
    /// `caller_idle`: the time after which callers close idle connections.
    pub(super) fn new(caller_idle: Span) -> Self {
        let timeout_s = caller_idle.secs() / INITIAL_PARTS;
        IdleConnections { timeout_s, announced_s: caller_idle.secs() }
    }
}

impl Controller {
    /// Sets the timeout at the end of a control period.
    ///
    /// Guard for a table full of idle connections, which takes cores and shuts callers out unheard: where
    /// they are seldom used again they are closed early. While reading lags they stay, as then a full table
    /// costs less than a flood of handshakes and reading. Its cost: handshakes, where few of many callers
    /// send nearly all.
    pub(super) fn adjust_idle_timeout(&mut self, actions: &mut Vec<Action>) {
        let caller_idle_s = self.settings.caller_idle.secs();
        let requests_in_idle_time = self.estimators.arrival_rate * caller_idle_s;
        let are_reused = requests_in_idle_time > REUSING_REQUESTS * f64::from(self.settings.callers);
        let read_delay_fraction = self.backpressure.read_delay_s / self.estimators.latency_objective_s;
        let idle = &mut self.idle_connections;
        if are_reused || read_delay_fraction > LAGGING_READ_FRACTION {
            idle.timeout_s *= LENGTHENING;
        } else if read_delay_fraction < PROMPT_READ_FRACTION {
            idle.timeout_s *= 1.0 - SHORTENING * (1.0 - self.estimators.cores.busy.min(MAX_BUSY_FRACTION));
        }
        idle.timeout_s = idle.timeout_s.clamp(MIN_TIMEOUT_FRACTION * caller_idle_s, caller_idle_s);
        if (idle.timeout_s / idle.announced_s - 1.0).abs() > MIN_CHANGE_FRACTION {
            idle.announced_s = idle.timeout_s;
            actions.push(Action::SetIdleTimeout(Span::from_secs(idle.timeout_s).max(MIN_TIMEOUT)));
        }
    }
}
