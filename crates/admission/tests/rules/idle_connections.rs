//! Tests of the rules for the timeout of idle connections.

use crate::common::{Host, request, settings};
use crate::id;
use gaugestand_admission::*;

/// The last announced idle timeout while `callers` together send ten requests a second, each read
/// `read_delay` ms late.
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

// A thousand callers each leave a connection open. A full connection table shuts out other callers; closing
// connections while requests are read late causes many handshakes.
#[test]
fn seldom_reused_connections_are_closed_early_unless_requests_are_read_late() {
    assert!(
        idle_timeout(1000, 0).is_some_and(|t| t < Span::millis(3000)),
        "connections that are seldom reused must be closed early"
    );
    assert_eq!(
        idle_timeout(1000, 200),
        Some(Span::millis(30000)),
        "connections must be kept while requests are read late"
    );
    assert_eq!(
        idle_timeout(4, 0),
        Some(Span::millis(30000)),
        "connections of a few active callers must be kept"
    );
}
