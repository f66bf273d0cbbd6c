//! The ledger by itself: windows on both clocks, bounds, the breaker and its probes, recovery.

use gaugestand_admission::RequestId;
use gaugestand_admission::idempotency::*;
use gaugestand_admission::time::Micros;
use gaugestand_admission::time::Moment;
use gaugestand_idempotency::row::{Cause, Outcome, Recovery, Row, RowState, Work, Write};
use gaugestand_idempotency::{BreakerState, KeyTable, Limits};
use std::rc::Rc;

/// The window of the class: 29,220 ms, as the site has it.
const WINDOW: Micros = Micros::millis(29_220);

/// A ledger with its clocks.
struct Book {
    key_table: KeyTable,
    now: Moment,
}

fn start() -> Moment {
    Moment { mono: Micros::millis(3_600_000), wall: Micros::millis(1_700_000_000_000) }
}

fn id(n: u128) -> RequestId {
    RequestId(n)
}

impl Book {
    fn new(limits: Limits, rows: Vec<Row>) -> Self {
        let mut book = Book { key_table: KeyTable::durable(limits, 3), now: start() };
        let found = rows.len() as u64;
        book.key_table.load(book.now, Recovery { rows, found, epoch: 1 });
        book
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now.plus(Micros::millis(ms));
    }

    fn find(&mut self, key: &str, at: Moment) -> Lookup {
        self.key_table.lookup(self.now, key, 1, at)
    }

    /// A first try of a key comes and is to be run.
    fn begin(&mut self, key: &str, n: u128) -> RunPermit {
        assert_eq!(self.find(key, self.now), Lookup::Vacant, "{key}");
        let (key, until): (Rc<str>, _) = (key.into(), self.now.plus(WINDOW));
        self.key_table.reserve(&key, id(n), 1, until);
        self.key_table.begin_run(self.now, &key, id(n), self.now, until)
    }

    fn end(&mut self, key: &str, n: u128, result: &[u8]) -> Completion {
        self.key_table.complete_run(self.now, &key.into(), id(n), RunResult::Succeeded(Rc::from(result)))
    }

    fn settled(&mut self) -> Vec<Settlement> {
        let mut out = Vec::new();
        self.key_table.drain_settled(self.now, &mut out);
        out
    }

    /// The store does what it is asked; returns the writes.
    fn commit(&mut self) -> Vec<Write> {
        let Some(batch) = self.key_table.next_batch(self.now.mono) else { return vec![] };
        self.key_table.on_outcome(self.now.mono, batch.number, Outcome::Done);
        let Work::Commit(writes) = batch.work else { panic!("asked {:?}", batch.work) };
        writes
    }

    /// A whole booking, durable at once.
    fn book(&mut self, key: &str, n: u128) {
        assert_eq!(self.begin(key, n), RunPermit::Pending);
        self.commit();
        assert_eq!(self.settled(), [Settlement::IntentDurable(id(n))]);
        assert_eq!(self.end(key, n, b"r"), Completion::AwaitingDurable);
        self.commit();
        assert_eq!(self.settled(), [Settlement::ResultDurable(id(n), vec![], Rc::from(*b"r"))]);
    }

    fn fail(&mut self, cause: Cause) {
        let batch = self.key_table.next_batch(self.now.mono).expect("work");
        self.key_table.on_outcome(self.now.mono, batch.number, Outcome::NotDone(cause));
    }
}

fn limits() -> Limits {
    Limits { window: WINDOW, ..Limits::default() }
}

fn row(key: &str, n: u128, state: RowState) -> Row {
    let (ingress, expires) = (start().wall.0 - 5_000_000, start().wall.plus(WINDOW).0 - 5_000_000);
    Row { key: key.into(), holder: n, fingerprint: 1, ingress, expires, sequence: 7, state }
}

/// Hard case 5: what a repeat finds, by how long after the first one it came, and how the wall clock was set.
#[test]
fn a_repeat_at_the_edge_of_the_window_finds_it_whichever_way_the_clock_was_set() {
    // Milliseconds since the run's ingress; by how much the wall clock was set meanwhile; whether it binds.
    let cases: [(u64, i64, bool); 8] = [
        (29_219, 0, true),
        (29_220, 0, false),
        // Forward: the wall clock says that the window is over, and it is not.
        (10_000, 3_600_000, true),
        (29_219, 1, true),
        // Back: the window may be longer, never shorter.
        (29_219, -20_000, true),
        (29_221, -20_000, true),
        (39_000, -20_000, true),
        (10_000, -3_600_000, true),
    ];
    for (ms, set, binds) in cases {
        let mut book = Book::new(limits(), vec![]);
        book.book("k", 1);
        book.pass(ms);
        let wall = book.now.wall.0.saturating_add_signed(set * 1000);
        book.now.wall = Micros(wall);
        let found = book.find("k", book.now);
        assert_eq!(
            found,
            if binds { Lookup::Original(id(1)) } else { Lookup::Vacant },
            "{ms} ms, set by {set} ms"
        );
    }
}

#[test]
fn after_a_restart_every_row_binds_for_a_whole_window_whatever_the_clock_says() {
    for (ms, binds) in [(0, true), (29_219, true), (29_221, false)] {
        for set in [-86_400_000i64, 0, 86_400_000] {
            let rows =
                vec![row("good", 1, RowState::Completed(b"r".to_vec())), row("doubt", 2, RowState::Intent)];
            let mut book = Book { key_table: KeyTable::durable(limits(), 3), now: start() };
            book.now.wall = Micros(book.now.wall.0.saturating_add_signed(set * 1000));
            book.key_table.load(book.now, Recovery { rows, found: 2, epoch: 2 });
            assert_eq!(book.key_table.metrics().in_doubt, 1);
            book.pass(ms);
            // A clock that was set back a day has the row's own end far ahead: longer, not shorter.
            let binds = binds || set < 0;
            for (key, n) in [("good", 1), ("doubt", 2)] {
                let found = book.find(key, book.now);
                assert_eq!(found, if binds { Lookup::Original(id(n)) } else { Lookup::Vacant }, "{ms} {set}");
            }
            if binds {
                assert_eq!(book.key_table.join("good", id(9)), JoinOutcome::Replay(Rc::from(*b"r")));
                assert_eq!(book.key_table.join("doubt", id(9)), JoinOutcome::Failed);
                assert_eq!(book.key_table.lookup(book.now, "good", 2, book.now), Lookup::BodyMismatch);
            }
        }
    }
}

#[test]
fn more_rows_than_there_is_room_for_shut_the_door_until_none_of_them_can_bind() {
    let mut book = Book { key_table: KeyTable::durable(limits(), 3), now: start() };
    book.key_table.load(book.now, Recovery { rows: vec![], found: 200_000, epoch: 2 });
    for (ms, open) in [(0, false), (29_000, false), (15_000, true)] {
        book.pass(ms);
        book.settled();
        assert_eq!(book.find("k", book.now) == Lookup::Vacant, open, "{ms}");
    }
}

#[test]
fn rows_past_their_window_are_removed_in_small_batches_beside_other_writes() {
    let mut book = Book::new(limits(), vec![]);
    for n in 0..300 {
        book.book(&format!("k{n}"), n + 1);
    }
    book.pass(29_220 + 10_001);
    assert_eq!(book.settled(), []);
    assert_eq!((book.key_table.metrics().entries, book.key_table.metrics().removals), (0, 300));
    // One write takes few removals along; with none, they go by the batch.
    assert_eq!(book.begin("new", 1_000), RunPermit::Pending);
    let writes = book.commit();
    assert!(matches!(writes[0], Write::Put(_)) && writes.len() == 17, "{}", writes.len());
    assert_eq!(book.commit().len(), 284);
    assert_eq!((book.key_table.metrics().removals, book.key_table.metrics().bytes > 0), (0, true));
}

#[test]
fn what_has_no_room_is_turned_away_and_nothing_is_dropped() {
    let cases = [
        Limits { entries: 2, ..limits() },
        Limits { bytes: 800, ..limits() },
        Limits { waiting: 2, ..limits() },
    ];
    for limits in cases {
        let mut book = Book::new(limits.clone(), vec![]);
        assert_eq!((book.begin("a", 1), book.begin("b", 2)), (RunPermit::Pending, RunPermit::Pending));
        assert!(
            matches!(book.find("c", book.now), Lookup::Unavailable(advice) if advice.0 > 0),
            "{limits:?}"
        );
        assert_eq!(book.find("a", book.now), Lookup::Original(id(1)));
        assert_eq!(book.commit().len(), 2);
        assert_eq!(book.settled().len(), 2);
    }
}

#[test]
fn a_stall_opens_the_breaker_by_the_age_of_the_oldest_write_and_settles_what_waits() {
    let mut book = Book::new(limits(), vec![]);
    // One is durable and running; one is out with the store; one waits in line.
    book.begin("ran", 1);
    book.commit();
    book.settled();
    book.begin("out", 2);
    let out = book.key_table.next_batch(book.now.mono).expect("work");
    book.pass(100);
    book.begin("waits", 3);
    assert_eq!(book.key_table.join("waits", id(4)), JoinOutcome::Pending);
    assert_eq!(book.end("ran", 1, b"r"), Completion::AwaitingDurable);
    book.pass(149);
    assert_eq!((book.settled(), book.key_table.breaker_state()), (vec![], BreakerState::Closed));
    assert_eq!(book.key_table.next_wakeup(), Some(book.now.mono.plus(Micros::millis(1))));
    book.pass(1);
    let settled = book.settled();
    let unwritten: Vec<_> = settled
        .iter()
        .map(|s| match s {
            Settlement::IntentFailed(id, waiting, advice) => (id.0, waiting.len(), advice.0 > 0),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(unwritten, [(3, 1, true), (2, 0, true)]);
    assert_eq!(
        book.key_table.breaker_state(),
        BreakerState::Open { cause: Cause::Stalled, since: book.now.mono }
    );
    assert!(matches!(book.find("new", book.now), Lookup::Unavailable(_)));
    // Nothing more is asked of a store that has not answered yet.
    assert_eq!(book.key_table.next_batch(book.now.mono), None);
    // It comes through after all: what was withdrawn never begins, and its row goes.
    book.key_table.on_outcome(book.now.mono, out.number, Outcome::Done);
    assert_eq!((book.settled(), book.key_table.breaker_state()), (vec![], BreakerState::Closed));
    let writes = book.commit();
    assert!(
        matches!(&writes[0], Write::Put(r) if r.key == "ran" && r.state == RowState::Completed(b"r".to_vec()))
    );
    assert!(matches!(&writes[1], Write::Remove { key, .. } if key == "out"));
    assert_eq!(writes.len(), 2, "{writes:?}");
    assert_eq!(book.settled(), [Settlement::ResultDurable(id(1), vec![], Rc::from(*b"r"))]);
    // The key of one that never ran is free.
    assert_eq!(book.begin("out", 5), RunPermit::Pending);
}

#[test]
fn a_store_that_fails_is_probed_with_one_write_at_growing_intervals() {
    let mut book = Book::new(limits(), vec![]);
    book.begin("a", 1);
    book.commit();
    book.settled();
    book.end("a", 1, b"r");
    book.fail(Cause::Full);
    assert!(matches!(book.key_table.breaker_state(), BreakerState::Open { cause: Cause::Full, .. }));
    let mut waits = Vec::new();
    for _ in 0..7 {
        let at = book.key_table.next_wakeup().expect("a probe").max(book.now.mono);
        waits.push(at.since(book.now.mono).0 / 1000);
        assert_eq!(book.key_table.next_batch(Micros(at.0 - 1)), None);
        book.now = book.now.plus(at.since(book.now.mono));
        book.fail(Cause::Full);
    }
    for (i, ms) in waits.iter().enumerate() {
        let least = (100u64 << i).min(2_000);
        assert!((least..=least * 3 / 2).contains(ms), "{waits:?}");
    }
    book.pass(10_000);
    assert_eq!(book.commit().len(), 1, "a probe is one write");
    assert_eq!(book.key_table.breaker_state(), BreakerState::Closed);
    assert_eq!(book.settled().len(), 1);
}

#[test]
fn a_busy_store_is_tried_again_soon_and_counts_as_stalled_only_by_age() {
    let mut book = Book::new(limits(), vec![]);
    book.begin("a", 1);
    while book.key_table.breaker_state() == BreakerState::Closed {
        book.fail(Cause::Busy);
        let wait = book.key_table.next_wakeup().expect("another try").since(book.now.mono).0 / 1000;
        assert!((1..=100).contains(&wait), "{wait} ms");
        book.pass(wait);
        book.settled();
    }
    assert_eq!(book.now.mono.since(start().mono), Micros::millis(250));
}

#[test]
fn after_a_break_each_key_is_asked_for_before_anything_is_written_again() {
    let mut book = Book::new(limits(), vec![]);
    book.begin("a", 1);
    book.begin("b", 2);
    book.commit();
    book.settled();
    book.end("a", 1, b"ra");
    book.end("b", 2, b"rb");
    let out = book.key_table.next_batch(book.now.mono).expect("work");
    let Work::Commit(writes) = &out.work else { panic!("a commit") };
    let Write::Put(first) = writes[0].clone() else { panic!("a row") };
    book.key_table.on_outcome(book.now.mono, out.number, Outcome::Unknown(Cause::Link));
    book.key_table.on_link(book.now.mono, false);
    assert_eq!(
        book.key_table.next_batch(book.now.mono.plus(Micros::millis(60_000))),
        None,
        "there is no link"
    );
    book.key_table.on_link(book.now.mono, true);
    let ask = book.key_table.next_batch(book.now.mono).expect("work");
    assert_eq!(ask.work, Work::Lookup(vec!["a".into(), "b".into()]));
    // An answer to the batch before is none to this one.
    book.key_table.on_outcome(book.now.mono, out.number, Outcome::Done);
    assert_eq!(book.settled(), []);
    // The first one is in, the second is not and is written again, alone, as a probe.
    book.key_table.on_outcome(book.now.mono, ask.number, Outcome::Rows(vec![first]));
    assert_eq!(book.settled(), [Settlement::ResultDurable(id(1), vec![], Rc::from(*b"ra"))]);
    assert_eq!(book.commit(), writes[1..]);
    assert_eq!(book.settled(), [Settlement::ResultDurable(id(2), vec![], Rc::from(*b"rb"))]);
}

#[test]
fn a_caller_that_leaves_before_its_run_has_begun_takes_the_intent_back() {
    let mut book = Book::new(limits(), vec![]);
    book.begin("a", 1);
    book.key_table.join("a", id(2));
    let left = book.key_table.release(book.now, &"a".into(), id(1));
    assert_eq!(left, Released { waiters: vec![id(2)], intent_withdrawn: true });
    // It was never out, so that nothing need be written at all.
    assert_eq!(book.commit(), []);
    book.begin("a", 3);
    let out = book.key_table.next_batch(book.now.mono).expect("work");
    assert!(book.key_table.release(book.now, &"a".into(), id(3)).intent_withdrawn);
    book.key_table.on_outcome(book.now.mono, out.number, Outcome::Done);
    assert_eq!(book.settled(), [], "it never begins");
    assert!(matches!(&book.commit()[..], [Write::Remove { .. }]));
}

#[test]
fn bounds_can_change_while_it_serves() {
    let mut book = Book::new(limits(), vec![]);
    book.begin("a", 1);
    book.key_table.set_limits(Limits { entries: 1, stall: Micros::millis(1_000), ..limits() });
    assert!(matches!(book.find("b", book.now), Lookup::Unavailable(_)));
    book.pass(999);
    assert_eq!(book.settled(), []);
    book.pass(1);
    assert_eq!(book.settled().len(), 1);
}

// Guards against a process that outgrows its memory where a window holds more results than fit: results count by their
// bytes, and what is known already is still answered.
#[test]
fn without_a_store_results_are_kept_within_their_bytes_for_a_window_longer_than_the_room_lasts() {
    let mut book = Book { key_table: KeyTable::volatile(), now: start() };
    book.key_table.set_max_bytes(64 << 10);
    let book_one = |book: &mut Book, n: u128, len: usize| {
        let key = format!("k{n}");
        match book.find(&key, book.now) {
            Lookup::Unavailable(advice) => return Some(advice),
            found => assert_eq!(found, Lookup::Vacant),
        }
        assert_eq!(book.begin(&key, n), RunPermit::Granted);
        book.end(&key, n, &vec![7; len]);
        None
    };
    let (mut long, mut short) = (0, 1_000);
    while book_one(&mut book, long, 4096).is_none() {
        long += 1;
        book.pass(10);
    }
    assert!((8..16).contains(&long), "{long} results of 4 KiB in 64 KiB");
    assert!(book.key_table.metrics().bytes <= 64 << 10);
    // What has run is still known, and the advice says when there is room again: with the end of the first window.
    assert_eq!(book.find("k0", book.now), Lookup::Original(id(0)));
    let advice = book_one(&mut book, 500, 1).expect("no room");
    assert!(advice > Micros::millis(20_000), "{advice:?}");
    book.pass(advice.0 / 1000 + 5_000);
    book.settled();
    while book_one(&mut book, short, 16).is_none() {
        short += 1;
    }
    assert!(short - 1_000 > 2 * long, "short results take less: {}", short - 1_000);
}
