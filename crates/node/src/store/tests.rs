//! Calls over loopback connections that are never taken up.

use super::*;
use crate::io::real::Real;
use socket2::{Domain, Socket, Type};

/// A listener whose queue is full: whoever dials it now gets no word. The sockets keep it so.
fn deaf_listener() -> (SocketAddr, Vec<Socket>) {
    let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let listener = socket();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    listener.listen(0).expect("listening");
    let at = listener.local_addr().ok().and_then(|a| a.as_socket()).expect("bound");
    let mut kept = vec![listener];
    // Each that is taken up fills a place; the first that is not shows that none is left.
    while kept.len() < 64 {
        let dial = socket();
        let made = dial.connect_timeout(&at.into(), std::time::Duration::from_millis(200)).is_ok();
        kept.push(dial);
        if !made {
            return (at, kept);
        }
    }
    panic!("its queue has no end");
}

// Guards against a call that counts as one that may have had its effect though it was never sent.
#[test]
fn a_call_that_the_dial_took_all_the_time_of_never_ran() {
    let (at, _kept) = deaf_listener();
    let system = Real::new().expect("a poller");
    let (mut store, mut counters) = (Store::new(Some(at), 1, 2, &system), Counters::default());
    let (wait, id) = (Micros::millis(100), RequestId(7));
    store.call(Micros(0), id, wait, b"c".to_vec(), &mut counters);
    assert!(store.flush(Micros(0)).is_empty());
    let over = wait.plus(OVERTIME);
    assert!(store.on_timer(Micros(over.0 - 1), &mut counters).is_empty());
    let ended = store.on_timer(over, &mut counters);
    assert_eq!(ended.iter().map(|e| (e.id, e.outcome)).collect::<Vec<_>>(), [(id, CallOutcome::Unreachable)]);
    assert_eq!((counters.calls_sent, store.outstanding().len()), (0, 0));
}
