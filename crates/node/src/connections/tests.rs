//! The table of connections over loopback sockets, with both events of a crossing there before it looks.

use super::*;
use crate::io::real::Real;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;

/// A connection with one open request, taken at the time given, and its other side.
fn table(now: Micros) -> (ConnectionTable<Real>, ConnectionId, TcpStream) {
    let system = Real::new().expect("a poller");
    let mut table: ConnectionTable<Real> = ConnectionTable::new(1, 64);
    table.listen(system.listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0).expect("a port"));
    let client = TcpStream::connect(table.address().expect("it listens")).expect("accepted");
    let mut counters = Counters::default();
    while table.open_count() == 0 {
        table.accept(now, &mut counters);
    }
    let id = table.at_key(1).expect("the first place");
    let conn = table.get(id).expect("it is there");
    conn.note_asked();
    conn.open.insert(1, OpenRequest::Admitted(RequestId(1), true));
    (table, id, client)
}

// Guards against an answer that ends its connection instead of going out on it: nothing had passed there for longer
// than a reader may stall, since its request took that long, and the look for stalled ones came before the write.
#[test]
fn an_answer_after_a_long_wait_is_written_and_does_not_count_as_stalled() {
    let began = Micros::millis(1_000);
    for wait in [STALLED, STALLED.plus(STALLED), Micros::millis(17_000)] {
        let (mut table, id, mut client) = table(began);
        let (now, mut counters) = (began.plus(wait), Counters::default());
        table.get(id).expect("it is there").output.push(b"answer".to_vec());
        table.touch(id);
        let look = table.on_timer(now, &mut counters);
        assert!(look.gone.is_empty(), "cut off with its answer unwritten after {wait:?}");
        assert!(table.flush(now, &mut counters).is_empty());
        let mut read = [0; 6];
        client.read_exact(&mut read).expect("the answer");
        assert_eq!((&read, counters.connections_cut), (b"answer", 0));
    }
}

// Guards against a reader that never reads and is kept for ever.
#[test]
fn what_is_not_read_is_cut_off_after_its_time() {
    let (mut table, id, _client) = table(Micros(0));
    let (now, mut counters) = (Micros::millis(30_000), Counters::default());
    // More than the system takes for the other side, in pieces under the bound on what waits.
    while table.get(id).expect("it is there").output.is_empty() {
        table.get(id).expect("it is there").output.push(vec![0; MOST_OUT - 1]);
        table.touch(id);
        table.flush(now, &mut counters);
    }
    let just_before = Micros(now.plus(STALLED).0 - 1);
    assert!(table.on_timer(just_before, &mut counters).gone.is_empty());
    table.touch(id);
    table.flush(just_before, &mut counters);
    assert_eq!(table.on_timer(now.plus(STALLED).plus(LOOK), &mut counters).gone, [RequestId(1)]);
}

/// Waits until a connection lies in the listener's queue.
fn await_connection(system: &Real) {
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

// Guards against a last answer that is lost: a close over bytes that were not read is a reset.
#[test]
fn a_last_answer_is_read_whole_although_more_came_behind_its_request() {
    let (mut table, id, mut client) = table(Micros(0));
    let mut counters = Counters::default();
    client.write_all(&[9; 100]).expect("the system takes it");
    let conn = table.get(id).expect("it is there");
    conn.open.clear();
    conn.output.push(b"answer".to_vec());
    conn.last = true;
    table.touch(id);
    assert!(table.flush(Micros(0), &mut counters).is_empty());
    client.write_all(&[9; 100]).expect("the system takes it");
    assert_eq!(rest(&mut client).expect("an end and no reset"), b"answer");
    // It is closed as soon as the other side has ended too, and what came until then was dropped.
    let mut buffer = buffer();
    client.shutdown(std::net::Shutdown::Write).expect("still there");
    while table.get(id).is_some() {
        table.drop_input(id, &mut buffer);
    }
    assert_eq!(table.open_count(), 0);
}

// Guards against a connection that is kept, or read, for as long as its other side goes on sending.
#[test]
fn a_lingering_close_is_bounded_in_bytes_and_in_time() {
    let (mut table, id, mut client) = table(Micros(0));
    let mut counters = Counters::default();
    table.get(id).expect("it is there").open.clear();
    table.get(id).expect("it is there").last = true;
    table.touch(id);
    table.flush(Micros(0), &mut counters);
    let mut buffer = buffer();
    for _ in 0..MOST_DROPPED / CHUNK {
        client.write_all(&[9; CHUNK]).expect("the system takes it");
        let mut left = table.get(id).and_then(|c| c.closing).map_or(0, |c| c.left);
        while left > 0 && table.get(id).is_some_and(|c| c.has_unread()) {
            table.drop_input(id, &mut buffer);
            left = table.get(id).and_then(|c| c.closing).map_or(0, |c| c.left);
        }
    }
    assert!(table.get(id).is_some_and(|c| !c.reads()), "it reads no more than that");
    table.on_timer(Micros(LINGERING_CLOSE.0 - 1), &mut counters);
    assert_eq!(table.open_count(), 1);
    table.on_timer(LINGERING_CLOSE.plus(LOOK), &mut counters);
    assert_eq!(table.open_count(), 0);
}

// Guards against requests on connections that the system has accepted and the node has not: closing the listener resets them.
#[test]
fn what_the_system_has_accepted_is_taken_in_before_the_listener_goes() {
    let system = Real::new().expect("a poller");
    let mut table: ConnectionTable<Real> = ConnectionTable::new(1, 64);
    table.listen(system.listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0).expect("a port"));
    let mut late = TcpStream::connect(table.address().expect("it listens")).expect("accepted by the system");
    late.write_all(b"a request").expect("the system takes it");
    await_connection(&system);
    table.stop_listening(Micros(0), &mut Counters::default());
    assert_eq!((table.open_count(), table.address()), (1, None));
    let id = table.at_key(1).expect("the first place");
    let mut buffer = buffer();
    let read = table.get(id).expect("it is there").read(Micros(0), &mut buffer).expect("not reset");
    assert_eq!(&buffer[..read], b"a request");
}

// Guards against closing on a request that came in the very moment in which its connection had rested for long enough, and
// against a reset for one that comes a moment later.
#[test]
fn an_idle_close_spares_what_has_come_and_ends_what_has_not_without_a_reset() {
    for comes in [true, false] {
        let (mut table, id, mut client) = table(Micros(0));
        let (idle, mut counters) = (Micros::millis(200), Counters::default());
        table.get(id).expect("it is there").open.clear();
        table.set_idle_timeout(idle);
        if comes {
            client.write_all(&[1]).expect("the system takes it");
        }
        table.on_timer(idle, &mut counters);
        let conn = table.get(id).expect("it is there");
        assert_eq!((conn.is_closing(), counters.connections_idle_closed), (!comes, u64::from(!comes)));
        if !comes {
            client.write_all(&[1]).expect("the system takes it");
            assert_eq!(rest(&mut client).expect("an end and no reset"), b"");
        }
    }
}

// Guards against new connections that wait for those that are only being closed.
#[test]
fn a_connection_that_is_being_closed_makes_room_first() {
    let system = Real::new().expect("a poller");
    let mut table: ConnectionTable<Real> = ConnectionTable::new(1, OWN + 3);
    table.listen(system.listen(SocketAddr::from(([127, 0, 0, 1], 0)), 0).expect("a port"));
    let (at, mut counters) = (table.address().expect("it listens"), Counters::default());
    let connect = |table: &mut ConnectionTable<Real>, now, counters: &mut Counters| {
        let client = TcpStream::connect(at).expect("accepted");
        await_connection(&system);
        table.accept(now, counters);
        client
    };
    let _idle = connect(&mut table, Micros(0), &mut counters);
    let _closing = connect(&mut table, Micros(1), &mut counters);
    let (first, second) = (table.at_key(1).expect("one"), table.at_key(2).expect("another"));
    table.get(second).expect("it is there").last = true;
    table.touch(second);
    table.flush(Micros(1), &mut counters);
    let _late = connect(&mut table, Micros::millis(200), &mut counters);
    assert!(table.get(first).is_some() && table.get(second).is_none());
    assert_eq!((table.open_count(), counters.connections_idle_closed), (2, 0));
}
