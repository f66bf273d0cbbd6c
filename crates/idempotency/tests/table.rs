//! The key table by itself: windows on both clocks, limits, the circuit breaker and its probes, recovery.

use gaugestand_admission::RequestId;
use gaugestand_admission::idempotency::*;
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};
use gaugestand_idempotency::row::{Cause, Outcome, Recovery, Row, RowState, Work, Write};
use gaugestand_idempotency::{BreakerState, KeyTable, Limits};
use std::rc::Rc;

/// The window of the class: 29,220 ms, as the site has it.
const WINDOW: Micros = Micros::millis(29_220);

/// A key table with its clocks.
struct Harness {
    key_table: KeyTable,
    now: Moment,
}

fn start() -> Moment {
    Moment { mono: Timestamp::millis(3_600_000), wall: UnixTime::millis(1_700_000_000_000) }
}

fn id(n: u128) -> RequestId {
    RequestId(n)
}

impl Harness {
    fn new(limits: Limits, rows: Vec<Row>) -> Self {
        let mut harness = Harness { key_table: KeyTable::durable(limits, 3), now: start() };
        let row_count = rows.len() as u64;
        harness.key_table.load(harness.now, Recovery { rows, row_count, epoch: 1 });
        harness
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.plus(Micros::millis(ms));
    }

    fn find(&mut self, key: &str, at: Moment) -> Lookup {
        self.key_table.lookup(self.now, key, 1, at)
    }

    /// A first attempt of a key comes and is to be run.
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
    fn complete_booking(&mut self, key: &str, n: u128) {
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
    let ingress = start().wall.minus(Micros(5_000_000));
    let expires = ingress.plus(WINDOW);
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
        let mut harness = Harness::new(limits(), vec![]);
        harness.complete_booking("k", 1);
        harness.advance(ms);
        let wall = harness.now.wall.0.saturating_add_signed(set * 1000);
        harness.now.wall = UnixTime(wall);
        let found = harness.find("k", harness.now);
        assert_eq!(
            found,
            if binds { Lookup::Original(id(1)) } else { Lookup::Vacant },
            "{ms} ms, set by {set} ms"
        );
    }
}

/// A node is restarted while its wall clock is wrong by a day. If rows expired by that clock, a repeat would run a booking
/// a second time.
#[test]
fn after_a_restart_every_row_binds_for_a_whole_window_whatever_the_clock_says() {
    for (ms, binds) in [(0, true), (29_219, true), (29_221, false)] {
        for set in [-86_400_000i64, 0, 86_400_000] {
            let rows =
                vec![row("good", 1, RowState::Completed(b"r".to_vec())), row("doubt", 2, RowState::Intent)];
            let mut harness = Harness { key_table: KeyTable::durable(limits(), 3), now: start() };
            harness.now.wall = UnixTime(harness.now.wall.0.saturating_add_signed(set * 1000));
            harness.key_table.load(harness.now, Recovery { rows, row_count: 2, epoch: 2 });
            assert_eq!(harness.key_table.metrics().in_doubt, 1);
            harness.advance(ms);
            // A clock that was set back a day has the row's own end far ahead: longer, not shorter.
            let binds = binds || set < 0;
            for (key, n) in [("good", 1), ("doubt", 2)] {
                let found = harness.find(key, harness.now);
                assert_eq!(found, if binds { Lookup::Original(id(n)) } else { Lookup::Vacant }, "{ms} {set}");
            }
            if binds {
                assert_eq!(harness.key_table.join("good", id(9)), JoinOutcome::Replay(Rc::from(*b"r")));
                assert_eq!(harness.key_table.join("doubt", id(9)), JoinOutcome::Failed);
                assert_eq!(
                    harness.key_table.lookup(harness.now, "good", 2, harness.now),
                    Lookup::BodyMismatch
                );
            }
        }
    }
}

/// A node is restarted with a lower limit than rows are stored. Keys that it does not remember may have run, so that it
/// takes no new ones until a whole window has passed.
#[test]
fn more_rows_than_the_limit_close_the_table_until_none_of_them_can_bind() {
    let mut harness = Harness { key_table: KeyTable::durable(limits(), 3), now: start() };
    harness.key_table.load(harness.now, Recovery { rows: vec![], row_count: 200_000, epoch: 2 });
    for (ms, open) in [(0, false), (29_000, false), (15_000, true)] {
        harness.advance(ms);
        harness.settled();
        assert_eq!(harness.find("k", harness.now) == Lookup::Vacant, open, "{ms}");
    }
}

/// A burst ends, and all its rows expire together. Removing them in one transaction would hold up the bookings that come
/// next.
#[test]
fn rows_past_their_window_are_removed_in_small_batches_beside_other_writes() {
    let mut harness = Harness::new(limits(), vec![]);
    for n in 0..300 {
        harness.complete_booking(&format!("k{n}"), n + 1);
    }
    harness.advance(29_220 + 10_001);
    assert_eq!(harness.settled(), []);
    assert_eq!((harness.key_table.metrics().entries, harness.key_table.metrics().removals), (0, 300));
    // One write takes few removals along; with none, they go by the batch.
    assert_eq!(harness.begin("new", 1_000), RunPermit::Pending);
    let writes = harness.commit();
    assert!(matches!(writes[0], Write::Put(_)) && writes.len() == 17, "{}", writes.len());
    assert_eq!(harness.commit().len(), 284);
    assert_eq!((harness.key_table.metrics().removals, harness.key_table.metrics().bytes > 0), (0, true));
}

/// More keys come than the table has room for. Dropping an old one would let its repeats run again, so that the new one is
/// rejected, with when to come back.
#[test]
fn an_attempt_over_a_limit_is_rejected_and_nothing_is_dropped() {
    let cases = [
        Limits { entries: 2, ..limits() },
        Limits { bytes: 800, ..limits() },
        Limits { waiting: 2, ..limits() },
    ];
    for limits in cases {
        let mut harness = Harness::new(limits.clone(), vec![]);
        assert_eq!((harness.begin("a", 1), harness.begin("b", 2)), (RunPermit::Pending, RunPermit::Pending));
        assert!(
            matches!(harness.find("c", harness.now), Lookup::Unavailable(advice) if advice.0 > 0),
            "{limits:?}"
        );
        assert_eq!(harness.find("a", harness.now), Lookup::Original(id(1)));
        assert_eq!(harness.commit().len(), 2);
        assert_eq!(harness.settled().len(), 2);
    }
}

/// A disk stops answering with one run's intent in flight, one queued and one result to be written. The attempts that have
/// not begun are rejected at once, and never run when the disk comes through after all.
#[test]
fn a_stall_opens_the_breaker_by_the_age_of_the_oldest_write_and_settles_what_waits() {
    let mut harness = Harness::new(limits(), vec![]);
    // One is durable and running; one is out with the store; one waits in line.
    harness.begin("ran", 1);
    harness.commit();
    harness.settled();
    harness.begin("out", 2);
    let out = harness.key_table.next_batch(harness.now.mono).expect("work");
    harness.advance(100);
    harness.begin("waits", 3);
    assert_eq!(harness.key_table.join("waits", id(4)), JoinOutcome::Pending);
    assert_eq!(harness.end("ran", 1, b"r"), Completion::AwaitingDurable);
    harness.advance(149);
    assert_eq!((harness.settled(), harness.key_table.breaker_state()), (vec![], BreakerState::Closed));
    assert_eq!(harness.key_table.next_wakeup(), Some(harness.now.mono.plus(Micros::millis(1))));
    harness.advance(1);
    let settled = harness.settled();
    let unwritten: Vec<_> = settled
        .iter()
        .map(|s| match s {
            Settlement::IntentFailed(id, waiting, advice) => (id.0, waiting.len(), advice.0 > 0),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(unwritten, [(3, 1, true), (2, 0, true)]);
    assert_eq!(
        harness.key_table.breaker_state(),
        BreakerState::Open { cause: Cause::Stalled, since: harness.now.mono }
    );
    assert!(matches!(harness.find("new", harness.now), Lookup::Unavailable(_)));
    // Nothing more is asked of a store that has not answered yet.
    assert_eq!(harness.key_table.next_batch(harness.now.mono), None);
    // It comes through after all: what was withdrawn never begins, and its row goes.
    harness.key_table.on_outcome(harness.now.mono, out.number, Outcome::Done);
    assert_eq!((harness.settled(), harness.key_table.breaker_state()), (vec![], BreakerState::Closed));
    let writes = harness.commit();
    assert!(
        matches!(&writes[0], Write::Put(r) if r.key == "ran" && r.state == RowState::Completed(b"r".to_vec()))
    );
    assert!(matches!(&writes[1], Write::Remove { key, .. } if key == "out"));
    assert_eq!(writes.len(), 2, "{writes:?}");
    assert_eq!(harness.settled(), [Settlement::ResultDurable(id(1), vec![], Rc::from(*b"r"))]);
    // The key of one that never ran is free.
    assert_eq!(harness.begin("out", 5), RunPermit::Pending);
}

/// A disk is full. A node that retried its whole queue at every turn would keep it busy; one that gave up would need a
/// restart.
#[test]
fn a_store_that_fails_is_probed_with_one_write_at_growing_intervals() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    harness.commit();
    harness.settled();
    harness.end("a", 1, b"r");
    harness.fail(Cause::Full);
    assert!(matches!(harness.key_table.breaker_state(), BreakerState::Open { cause: Cause::Full, .. }));
    let mut waits = Vec::new();
    for _ in 0..7 {
        let at = harness.key_table.next_wakeup().expect("a probe").max(harness.now.mono);
        waits.push(at.since(harness.now.mono).0 / 1000);
        assert_eq!(harness.key_table.next_batch(Timestamp(at.0 - 1)), None);
        harness.now = harness.now.plus(at.since(harness.now.mono));
        harness.fail(Cause::Full);
    }
    for (i, ms) in waits.iter().enumerate() {
        let least = (100u64 << i).min(2_000);
        assert!((least..=least * 3 / 2).contains(ms), "{waits:?}");
    }
    harness.advance(10_000);
    assert_eq!(harness.commit().len(), 1, "a probe is one write");
    assert_eq!(harness.key_table.breaker_state(), BreakerState::Closed);
    assert_eq!(harness.settled().len(), 1);
}

/// An operator's backup holds the lock of the file for a moment. That alone must not have bookings rejected.
#[test]
fn a_busy_store_is_retried_soon_and_counts_as_stalled_only_by_age() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    while harness.key_table.breaker_state() == BreakerState::Closed {
        harness.fail(Cause::Busy);
        let wait = harness.key_table.next_wakeup().expect("another try").since(harness.now.mono).0 / 1000;
        assert!((1..=100).contains(&wait), "{wait} ms");
        harness.advance(wait);
        harness.settled();
    }
    assert_eq!(harness.now.mono.since(start().mono), Micros::millis(250));
}

/// The link to a database breaks while a commit is in flight. Nobody knows whether it was made, so that each key is looked
/// up: a result that is stored is served, one that is not is written again.
#[test]
fn after_a_broken_link_each_key_is_looked_up_before_anything_is_written() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    harness.begin("b", 2);
    harness.commit();
    harness.settled();
    harness.end("a", 1, b"ra");
    harness.end("b", 2, b"rb");
    let out = harness.key_table.next_batch(harness.now.mono).expect("work");
    let Work::Commit(writes) = &out.work else { panic!("a commit") };
    let Write::Put(first) = writes[0].clone() else { panic!("a row") };
    harness.key_table.on_outcome(harness.now.mono, out.number, Outcome::Unknown(Cause::Link));
    harness.key_table.on_link(harness.now.mono, false);
    assert_eq!(
        harness.key_table.next_batch(harness.now.mono.plus(Micros::millis(60_000))),
        None,
        "there is no link"
    );
    harness.key_table.on_link(harness.now.mono, true);
    let ask = harness.key_table.next_batch(harness.now.mono).expect("work");
    assert_eq!(ask.work, Work::Lookup(vec!["a".into(), "b".into()]));
    // An answer to the batch before is none to this one.
    harness.key_table.on_outcome(harness.now.mono, out.number, Outcome::Done);
    assert_eq!(harness.settled(), []);
    // The first one is in, the second is not and is written again, alone, as a probe.
    harness.key_table.on_outcome(harness.now.mono, ask.number, Outcome::Rows(vec![first]));
    assert_eq!(harness.settled(), [Settlement::ResultDurable(id(1), vec![], Rc::from(*b"ra"))]);
    assert_eq!(harness.commit(), writes[1..]);
    assert_eq!(harness.settled(), [Settlement::ResultDurable(id(2), vec![], Rc::from(*b"rb"))]);
}

/// A caller's deadline passes while the intent of its run is being written. If the intent stayed, later attempts of the key
/// would count as repeats of a run that never was.
#[test]
fn an_attempt_released_before_its_run_begins_withdraws_its_intent() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    harness.key_table.join("a", id(2));
    let left = harness.key_table.release(harness.now, &"a".into(), id(1));
    assert_eq!(left, Released { waiters: vec![id(2)], intent_withdrawn: true });
    // It was never out, so that nothing need be written at all.
    assert_eq!(harness.commit(), []);
    harness.begin("a", 3);
    let out = harness.key_table.next_batch(harness.now.mono).expect("work");
    assert!(harness.key_table.release(harness.now, &"a".into(), id(3)).intent_withdrawn);
    harness.key_table.on_outcome(harness.now.mono, out.number, Outcome::Done);
    assert_eq!(harness.settled(), [], "it never begins");
    assert!(matches!(&harness.commit()[..], [Write::Remove { .. }]));
}

/// An operator reloads other limits; what is over them already stays.
#[test]
fn limits_can_change_while_it_serves() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    harness.key_table.set_limits(Limits { entries: 1, stall: Micros::millis(1_000), ..limits() });
    assert!(matches!(harness.find("b", harness.now), Lookup::Unavailable(_)));
    harness.advance(999);
    assert_eq!(harness.settled(), []);
    harness.advance(1);
    assert_eq!(harness.settled().len(), 1);
}

// Guards against a process that outgrows its memory where a window holds more results than fit: results count by their
// bytes, and what is known already is still answered.
#[test]
fn without_a_store_results_stay_within_the_memory_limit() {
    let mut harness = Harness { key_table: KeyTable::volatile(), now: start() };
    harness.key_table.set_max_bytes(64 << 10);
    let book_one = |harness: &mut Harness, n: u128, len: usize| {
        let key = format!("k{n}");
        match harness.find(&key, harness.now) {
            Lookup::Unavailable(advice) => return Some(advice),
            found => assert_eq!(found, Lookup::Vacant),
        }
        assert_eq!(harness.begin(&key, n), RunPermit::Granted);
        harness.end(&key, n, &vec![7; len]);
        None
    };
    let (mut long, mut short) = (0, 1_000);
    while book_one(&mut harness, long, 4096).is_none() {
        long += 1;
        harness.advance(10);
    }
    assert!((8..16).contains(&long), "{long} results of 4 KiB in 64 KiB");
    assert!(harness.key_table.metrics().bytes <= 64 << 10);
    // What has run is still known, and the advice says when there is room again: with the end of the first window.
    assert_eq!(harness.find("k0", harness.now), Lookup::Original(id(0)));
    let advice = book_one(&mut harness, 500, 1).expect("no room");
    assert!(advice > Micros::millis(20_000), "{advice:?}");
    harness.advance(advice.0 / 1000 + 5_000);
    harness.settled();
    while book_one(&mut harness, short, 16).is_none() {
        short += 1;
    }
    assert!(short - 1_000 > 2 * long, "short results take less: {}", short - 1_000);
}
