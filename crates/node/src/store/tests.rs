//! Tests of outbound calls over loopback connections that are never established.

use super::*;
use crate::io::real::OsSystem;
use socket2::{Domain, Socket, Type};

/// Creates a listener whose accept queue is full: a connection to it is neither established nor refused. The
/// queue stays full as long as the returned sockets exist.
fn listener_with_full_queue() -> (SocketAddr, Vec<Socket>) {
    let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    let listener = socket();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind to a free port");
    listener.listen(0).expect("listen");
    let address =
        listener.local_addr().ok().and_then(|local| local.as_socket()).expect("the listener's address");
    let mut sockets = vec![listener];
    // Each established connection takes a place in the queue; the first one that times out shows that it is
    // full.
    while sockets.len() < 64 {
        let client = socket();
        let is_connected =
            client.connect_timeout(&address.into(), std::time::Duration::from_millis(200)).is_ok();
        sockets.push(client);
        if !is_connected {
            return (address, sockets);
        }
    }
    panic!("the listener's queue still has room after 63 connections");
}

// The store's host does not answer at all, so that a call times out while its connection is still being made.
// The call was never sent, and must not count as one that may have had its effect.
#[test]
fn a_call_that_timed_out_while_connecting_counts_as_never_run() {
    let (address, _sockets) = listener_with_full_queue();
    let system = OsSystem::new().expect("create a poller");
    let mut store = Store::new(Some(address), 1, 2, &system);
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
