//! Idle connections: how long the worker keeps a connection on which no request arrives.
//!
//! Guarantees that the timeout is at most the time after which callers close idle connections themselves, and
//! at least a fiftieth of that time. The timeout does not apply to connections with a request on them.

use super::Controller;
use crate::interface::Action;
use crate::time::Span;

/// Mean read delay, as a share of the mean latency objective, above which the timeout is increased: requests
/// are read late, and the handshakes of new connections would make them later.
const HIGH_READ_DELAY_FRACTION: f64 = 0.08;
/// Mean read delay, as a share of the mean latency objective, below which the timeout is decreased.
const LOW_READ_DELAY_FRACTION: f64 = 0.04;
/// Factor by which the timeout increases in a control period in which connections are to be kept longer.
const INCREASE_FACTOR: f64 = 1.5;
/// Share by which the timeout decreases in a control period with idle cores. The decrease is smaller while
/// cores are busy, as handshakes take core time.
const DECREASE_FRACTION: f64 = 0.3;
/// Share of busy cores above which the decrease becomes no smaller: even if the cores are always busy, the
/// connection table must not fill up.
const MAX_BUSY_FRACTION: f64 = 0.9;
/// Least timeout, as a share of the time after which callers close idle connections: a shorter one would
/// close connections that are about to be used.
const MIN_TIMEOUT_FRACTION: f64 = 0.02;
/// Least timeout that is announced.
const MIN_TIMEOUT: Span = Span::millis(10);
/// The initial timeout is the time after which callers close idle connections, divided by this number.
const INITIAL_DIVISOR: f64 = 10.0;
/// Connections count as reused if callers send more requests than this each, on average, within the time
/// after which they close idle connections.
const MIN_REQUESTS_FOR_REUSE: f64 = 2.0;
/// Relative change of the timeout above which it is announced again.
const MIN_CHANGE_FRACTION: f64 = 0.05;

/// State of the idle timeout; times are in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleConnections {
    pub(super) timeout_s: f64,
    /// The timeout that was last announced. Before the first announcement it is the time after which callers
    /// close idle connections.
    pub(super) announced_s: f64,
}

impl IdleConnections {
    /// `caller_idle` is the time after which callers close idle connections.
    pub(super) fn new(caller_idle: Span) -> Self {
        let timeout_s = caller_idle.secs() / INITIAL_DIVISOR;
        IdleConnections { timeout_s, announced_s: caller_idle.secs() }
    }
}

impl Controller {
    /// Adjusts the timeout at the end of a control period.
    ///
    /// A full table of idle connections takes core time and shuts out callers without a reply. Connections
    /// that are seldom reused are therefore closed early. While requests are read late, connections are kept,
    /// as a full table then costs less than the handshakes and reading of many new ones. Drawback: additional
    /// handshakes where few of many callers send nearly all requests.
    pub(super) fn adjust_idle_timeout(&mut self, actions: &mut Vec<Action>) {
        let caller_idle_s = self.settings.caller_idle.secs();
        let requests_in_idle_time = self.estimators.arrival_rate * caller_idle_s;
        let are_reused = requests_in_idle_time > MIN_REQUESTS_FOR_REUSE * f64::from(self.settings.callers);
        let read_delay_fraction = self.backpressure.read_delay_s / self.estimators.latency_objective_s;
        let idle = &mut self.idle_connections;
        if are_reused || read_delay_fraction > HIGH_READ_DELAY_FRACTION {
            idle.timeout_s *= INCREASE_FACTOR;
        } else if read_delay_fraction < LOW_READ_DELAY_FRACTION {
            idle.timeout_s *=
                1.0 - DECREASE_FRACTION * (1.0 - self.estimators.cores.busy.min(MAX_BUSY_FRACTION));
        }
        idle.timeout_s = idle.timeout_s.clamp(MIN_TIMEOUT_FRACTION * caller_idle_s, caller_idle_s);
        if (idle.timeout_s / idle.announced_s - 1.0).abs() > MIN_CHANGE_FRACTION {
            idle.announced_s = idle.timeout_s;
            actions.push(Action::SetIdleTimeout(Span::from_secs(idle.timeout_s).max(MIN_TIMEOUT)));
        }
    }
}
