//! Calls over loopback connections that are never accepted.

use super::*;
use crate::io::real::OsSystem;
use socket2::{Domain, Socket, Type};

/// A listener whose queue is full: a connection to it is neither made nor refused. The sockets keep it so.
fn listener_with_full_queue() -> (SocketAddr, Vec<Socket>) {
    let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let listener = socket();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    listener.listen(0).expect("listening");
    let at = listener.local_addr().ok().and_then(|a| a.as_socket()).expect("bound");
    let mut kept = vec![listener];
    // Each connection that is made fills a place of the queue; the first that is not shows that none is left.
    while kept.len() < 64 {
        let connecting = socket();
        let made = connecting.connect_timeout(&at.into(), std::time::Duration::from_millis(200)).is_ok();
        kept.push(connecting);
        if !made {
            return (at, kept);
        }
    }
    panic!("its queue has no end");
}

// The store's host does not answer at all: connecting takes all the time of a call. It was never sent, and must not count as one
// that may have had its effect.
#[test]
fn a_call_that_timed_out_while_connecting_counts_as_never_run() {
    let (at, _kept) = listener_with_full_queue();
    let system = OsSystem::new().expect("a poller");
    let mut store = Store::new(Some(at), 1, 2, &system);
    let mut counters = Counters::default();
    let timeout = Micros::millis(100);
    let id = RequestId(7);
    store.call(Timestamp(0), id, timeout, b"c".to_vec(), &mut counters);
    assert!(store.flush(Timestamp(0)).is_empty());
    let expiry = Timestamp(0).plus(timeout).plus(REPLY_GRACE);
    assert!(store.on_timer(Timestamp(expiry.0 - 1), &mut counters).is_empty());
    let ended = store.on_timer(expiry, &mut counters);
    assert_eq!(
        ended.iter().map(|call| (call.id, call.outcome)).collect::<Vec<_>>(),
        [(id, CallOutcome::Unreachable)]
    );
    assert_eq!((counters.calls_sent, store.outstanding().len()), (0, 0));
}
