//! The table of connections over loopback sockets: races between what a gateway sends and what a timeout closes.

use super::idle::{TIMEOUT_CHECK_INTERVAL, WRITE_STALL_TIMEOUT};
use super::lingering_close::{LINGERING_CLOSE_TIMEOUT, MAX_DROPPED_BYTES};
use super::listener::OWN_DESCRIPTORS;
use super::table::MAX_UNWRITTEN_BYTES;
use super::*;
use crate::counters::Counters;
use crate::io::real::OsSystem;
use crate::io::{Stream as _, System as _};
use gaugestand_admission::time::{Micros, Timestamp};
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

/// A table with one connection, accepted at the given time with one request open, and the gateway's side of it.
fn table_with_open_request(now: Timestamp) -> (ConnectionTable<OsSystem>, ConnectionId, TcpStream) {
    let system = OsSystem::new().expect("a poller");
    let mut table: ConnectionTable<OsSystem> = ConnectionTable::new(1, 64);
    table.listen(system.listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0).expect("a port"));
    let client = TcpStream::connect(table.address().expect("it listens")).expect("accepted");
    let mut counters = Counters::default();
    while table.open_count() == 0 {
        table.accept(now, &mut counters);
    }
    let id = table.at_key(1).expect("the first place");
    let conn = table.get(id).expect("it is there");
    conn.note_requested();
    conn.insert_request(1, OpenRequest::Admitted(RequestId(1), true));
    (table, id, client)
}

// A request takes longer than a reader may stall, so that nothing passes on its connection for that long. Its answer is queued,
// and the check of timeouts arrives before the write. Were the stall counted from the last activity, the connection would be cut
// off with its answer unwritten.
#[test]
fn an_answer_queued_after_a_long_run_is_written_and_not_taken_for_a_stall() {
    let began = Timestamp::millis(1_000);
    for wait in [WRITE_STALL_TIMEOUT, WRITE_STALL_TIMEOUT.plus(WRITE_STALL_TIMEOUT), Micros::millis(17_000)] {
        let (mut table, id, mut client) = table_with_open_request(began);
        let now = began.plus(wait);
        let mut counters = Counters::default();
        table.get(id).expect("it is there").queue(b"answer".to_vec());
        table.touch(id);
        let expired = table.on_timer(now, &mut counters);
        assert!(expired.gone.is_empty(), "cut off with its answer unwritten after {wait:?}");
        assert!(table.flush(now, &mut counters).is_empty());
        let mut read = [0; 6];
        client.read_exact(&mut read).expect("the answer");
        assert_eq!((&read, counters.connections_cut), (b"answer", 0));
    }
}

// A gateway stops reading its answers. They would wait in memory for ever.
#[test]
fn a_connection_whose_peer_does_not_read_is_cut_off_after_the_stall_timeout() {
    let (mut table, id, _client) = table_with_open_request(Timestamp(0));
    let now = Timestamp::millis(30_000);
    let mut counters = Counters::default();
    // More than the system takes for the other side, in pieces under the bound on what waits.
    while table.get(id).expect("it is there").state.output.is_empty() {
        table.get(id).expect("it is there").queue(vec![0; MAX_UNWRITTEN_BYTES - 1]);
        table.touch(id);
        table.flush(now, &mut counters);
    }
    let just_before = Timestamp(now.plus(WRITE_STALL_TIMEOUT).0 - 1);
    assert!(table.on_timer(just_before, &mut counters).gone.is_empty());
    table.touch(id);
    table.flush(just_before, &mut counters);
    assert_eq!(
        table.on_timer(now.plus(WRITE_STALL_TIMEOUT).plus(TIMEOUT_CHECK_INTERVAL), &mut counters).gone,
        [RequestId(1)]
    );
}

/// Waits until a connection lies in the listener's queue.
fn await_connection(system: &OsSystem) {
    let mut ready = Vec::new();
    while !ready.iter().any(|r: &crate::io::Ready| r.key == 0) {
        system.wait(Micros::millis(1_000), &mut ready).expect("the poller");
    }
}

/// What is left for the client to read, up to the end of the connection; an error if it was reset.
fn rest(client: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    client.set_read_timeout(Some(std::time::Duration::from_secs(20))).expect("a timeout");
    let mut read = Vec::new();
    client.read_to_end(&mut read).map(|_| read)
}

// A gateway sends more behind the request whose answer ends the connection. A close over bytes that were not read is a reset,
// which discards the answer on its way.
#[test]
fn the_last_answer_arrives_whole_although_more_came_behind_its_request() {
    let (mut table, id, mut client) = table_with_open_request(Timestamp(0));
    let mut counters = Counters::default();
    client.write_all(&[9; 100]).expect("the system takes it");
    let conn = table.get(id).expect("it is there");
    conn.state.open_requests.clear();
    conn.queue(b"answer".to_vec());
    conn.state.closes_after_write = true;
    table.touch(id);
    assert!(table.flush(Timestamp(0), &mut counters).is_empty());
    client.write_all(&[9; 100]).expect("the system takes it");
    assert_eq!(rest(&mut client).expect("an end and no reset"), b"answer");
    // It is closed as soon as the other side has ended too, and what came until then was dropped.
    let mut buffer = read_buffer();
    client.shutdown(std::net::Shutdown::Write).expect("still there");
    while table.get(id).is_some() {
        table.drop_input(id, &mut buffer);
    }
    assert_eq!(table.open_count(), 0);
}

// A client goes on sending after its connection was ended. It must neither be read nor keep its descriptor for as long as it
// likes.
#[test]
fn a_lingering_close_is_bounded_in_bytes_and_in_time() {
    let (mut table, id, mut client) = table_with_open_request(Timestamp(0));
    let mut counters = Counters::default();
    table.get(id).expect("it is there").state.open_requests.clear();
    table.get(id).expect("it is there").state.closes_after_write = true;
    table.touch(id);
    table.flush(Timestamp(0), &mut counters);
    let mut buffer = read_buffer();
    for _ in 0..MAX_DROPPED_BYTES / READ_CHUNK_BYTES {
        client.write_all(&[9; READ_CHUNK_BYTES]).expect("the system takes it");
        let mut left = table.get(id).and_then(|c| c.state.lingering_close).map_or(0, |c| c.remaining_bytes);
        while left > 0 && table.get(id).is_some_and(|c| c.stream.has_unread()) {
            table.drop_input(id, &mut buffer);
            left = table.get(id).and_then(|c| c.state.lingering_close).map_or(0, |c| c.remaining_bytes);
        }
    }
    assert!(table.get(id).is_some_and(|c| !c.wants_input()), "it reads no more than that");
    table.on_timer(Timestamp(LINGERING_CLOSE_TIMEOUT.0 - 1), &mut counters);
    assert_eq!(table.open_count(), 1);
    table.on_timer(Timestamp(0).plus(LINGERING_CLOSE_TIMEOUT).plus(TIMEOUT_CHECK_INTERVAL), &mut counters);
    assert_eq!(table.open_count(), 0);
}

// In a drain the listener closes while a connection with a request waits in the system's queue. Closing the listener resets it.
#[test]
fn connections_in_the_system_s_queue_are_accepted_before_the_listener_closes() {
    let system = OsSystem::new().expect("a poller");
    let mut table: ConnectionTable<OsSystem> = ConnectionTable::new(1, 64);
    table.listen(system.listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0).expect("a port"));
    let mut late = TcpStream::connect(table.address().expect("it listens")).expect("accepted by the system");
    late.write_all(b"a request").expect("the system takes it");
    await_connection(&system);
    table.stop_listening(Timestamp(0), &mut Counters::default());
    assert_eq!((table.open_count(), table.address()), (1, None));
    let id = table.at_key(1).expect("the first place");
    let mut buffer = read_buffer();
    let read = table.get(id).expect("it is there").read(Timestamp(0), &mut buffer).expect("not reset");
    assert_eq!(&buffer[..read], b"a request");
}

// A request arrives in the moment in which its connection has been idle for the timeout: closed then, the request would be
// lost. One that arrives a moment later finds an end of the stream and no reset, which says that it never ran.
#[test]
fn an_idle_close_spares_a_request_that_has_arrived_and_never_resets() {
    for arrives in [true, false] {
        let (mut table, id, mut client) = table_with_open_request(Timestamp(0));
        let idle = Micros::millis(200);
        let mut counters = Counters::default();
        table.get(id).expect("it is there").state.open_requests.clear();
        table.set_idle_timeout(idle);
        if arrives {
            client.write_all(&[1]).expect("the system takes it");
        }
        table.on_timer(Timestamp(0).plus(idle), &mut counters);
        let conn = table.get(id).expect("it is there");
        assert_eq!((conn.is_closing(), counters.connections_idle_closed), (!arrives, u64::from(!arrives)));
        if !arrives {
            client.write_all(&[1]).expect("the system takes it");
            assert_eq!(rest(&mut client).expect("an end and no reset"), b"");
        }
    }
}

// The descriptors are used up, in part by connections that are only being closed. A newcomer must get the place of one of
// those, before any that may still be used.
#[test]
fn a_connection_in_its_lingering_close_makes_room_first() {
    let system = OsSystem::new().expect("a poller");
    let mut table: ConnectionTable<OsSystem> = ConnectionTable::new(1, OWN_DESCRIPTORS + 3);
    table.listen(system.listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0).expect("a port"));
    let at = table.address().expect("it listens");
    let mut counters = Counters::default();
    let connect = |table: &mut ConnectionTable<OsSystem>, now, counters: &mut Counters| {
        let client = TcpStream::connect(at).expect("accepted");
        await_connection(&system);
        table.accept(now, counters);
        client
    };
    let _idle = connect(&mut table, Timestamp(0), &mut counters);
    let _closing = connect(&mut table, Timestamp(1), &mut counters);
    let (first, second) = (table.at_key(1).expect("one"), table.at_key(2).expect("another"));
    table.get(second).expect("it is there").state.closes_after_write = true;
    table.touch(second);
    table.flush(Timestamp(1), &mut counters);
    let _late = connect(&mut table, Timestamp::millis(200), &mut counters);
    assert!(table.get(first).is_some() && table.get(second).is_none());
    assert_eq!((table.open_count(), counters.connections_idle_closed), (2, 0));
}
