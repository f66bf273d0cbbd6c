//! How long idle connections are kept.

use crate::common::{Host, request, settings};
use crate::id;
use gaugestand_admission::*;

/// The last idle timeout announced while `callers` send ten requests a second, each read `read_delay` ms late.
fn idle_timeout(callers: u32, read_delay: u64) -> Option<Span> {
    let mut config = settings();
    config.callers = callers;
    let mut host = Host::new(config);
    let mut announced = None;
    for n in 1..=100 {
        let mut arrival = request(n, 0);
        arrival.read_delay = Span::millis(read_delay);
        host.arrive(arrival);
        for action in host.advance(100) {
            if let Action::SetIdleTimeout(timeout) = action {
                announced = Some(timeout);
            }
        }
        host.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    announced
}

// A thousand callers each leave a connection open. The full table shuts others out; closing it while reading lags
// brings a flood of handshakes.
#[test]
fn connections_seldom_used_again_are_closed_early_but_kept_while_reading_lags() {
    assert!(idle_timeout(1000, 0).is_some_and(|t| t < Span::millis(3000)), "most will not be used again");
    assert_eq!(idle_timeout(1000, 200), Some(Span::millis(30000)), "reading lags");
    assert_eq!(idle_timeout(4, 0), Some(Span::millis(30000)), "a few callers come back");
}
