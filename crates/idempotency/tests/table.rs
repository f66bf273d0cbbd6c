//! Tests of the key table by itself: windows on both clocks, limits, the circuit breaker and its probes,
//! recovery.

use gaugestand_admission::RequestId;
use gaugestand_admission::idempotency::*;
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};
use gaugestand_idempotency::row::{Cause, Outcome, Recovery, Row, RowState, Work, Write};
use gaugestand_idempotency::{BreakerState, KeyTable, Limits};
use std::rc::Rc;

/// Deduplication window of the tests' class: 29,220 ms, as a site uses.
const WINDOW: Micros = Micros::millis(29_220);

/// A key table and the present time on both clocks.
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

    /// Reports the arrival of the first attempt of a key, and asks whether its run may begin.
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
        let mut settlements = Vec::new();
        self.key_table.drain_settled(self.now, &mut settlements);
        settlements
    }

    /// Lets the store make the next batch durable, and returns the writes of the batch.
    fn commit(&mut self) -> Vec<Write> {
        let Some(batch) = self.key_table.next_batch(self.now.mono) else { return vec![] };
        self.key_table.on_outcome(self.now.mono, batch.number, Outcome::Done);
        let Work::Commit(writes) = batch.work else { panic!("expected a commit, got {:?}", batch.work) };
        writes
    }

    /// Runs a whole booking whose writes become durable at once.
    fn complete_booking(&mut self, key: &str, n: u128) {
        assert_eq!(self.begin(key, n), RunPermit::Pending);
        self.commit();
        assert_eq!(self.settled(), [Settlement::IntentDurable(id(n))]);
        assert_eq!(self.end(key, n, b"r"), Completion::AwaitingDurable);
        self.commit();
        assert_eq!(self.settled(), [Settlement::ResultDurable(id(n), vec![], Rc::from(*b"r"))]);
    }

    fn fail_batch(&mut self, cause: Cause) {
        let batch = self.key_table.next_batch(self.now.mono).expect("a batch to send");
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

/// Hard case 5 of the design: the wall clock is set between two attempts of a key. Within the window, the
/// second attempt must nevertheless count as a repeat.
#[test]
fn a_repeat_within_the_window_is_recognised_whichever_way_the_clock_was_set() {
    // Milliseconds since the run's ingress; milliseconds by which the wall clock was set in that time;
    // whether the attempt is a repeat.
    let cases: [(u64, i64, bool); 8] = [
        (29_219, 0, true),
        (29_220, 0, false),
        // Set forward: by the wall clock the window is over, by the monotonic clock it is not.
        (10_000, 3_600_000, true),
        (29_219, 1, true),
        // Set back: the window may be longer, never shorter.
        (29_219, -20_000, true),
        (29_221, -20_000, true),
        (39_000, -20_000, true),
        (10_000, -3_600_000, true),
    ];
    for (ms, clock_set_ms, is_repeat) in cases {
        let mut harness = Harness::new(limits(), vec![]);
        harness.complete_booking("k", 1);
        harness.advance(ms);
        let wall = harness.now.wall.0.saturating_add_signed(clock_set_ms * 1000);
        harness.now.wall = UnixTime(wall);
        let found = harness.find("k", harness.now);
        assert_eq!(
            found,
            if is_repeat { Lookup::Original(id(1)) } else { Lookup::Vacant },
            "{ms} ms after the run, wall clock set by {clock_set_ms} ms"
        );
    }
}

/// A node is restarted while its wall clock is wrong by a day. If rows expired by that clock, a repeat would
/// run a booking a second time.
#[test]
fn after_a_restart_every_row_applies_for_a_whole_window_whatever_the_clock_says() {
    for (ms, is_repeat) in [(0, true), (29_219, true), (29_221, false)] {
        for clock_set_ms in [-86_400_000i64, 0, 86_400_000] {
            let rows =
                vec![row("good", 1, RowState::Completed(b"r".to_vec())), row("doubt", 2, RowState::Intent)];
            let mut harness = Harness { key_table: KeyTable::durable(limits(), 3), now: start() };
            harness.now.wall = UnixTime(harness.now.wall.0.saturating_add_signed(clock_set_ms * 1000));
            harness.key_table.load(harness.now, Recovery { rows, row_count: 2, epoch: 2 });
            assert_eq!(harness.key_table.metrics().in_doubt, 1);
            harness.advance(ms);
            // By a clock that was set back a day, the row's own window ends far in the future: it is longer,
            // not shorter.
            let is_repeat = is_repeat || clock_set_ms < 0;
            for (key, n) in [("good", 1), ("doubt", 2)] {
                let found = harness.find(key, harness.now);
                assert_eq!(
                    found,
                    if is_repeat { Lookup::Original(id(n)) } else { Lookup::Vacant },
                    "{ms} ms after the restart, wall clock set by {clock_set_ms} ms"
                );
            }
            if is_repeat {
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

/// A node is restarted with a limit below the number of stored rows. Keys that are not loaded may have run,
/// so the table accepts no new keys until a whole window has passed.
#[test]
fn more_rows_than_the_limit_make_the_table_reject_new_keys_for_a_whole_window() {
    let mut harness = Harness { key_table: KeyTable::durable(limits(), 3), now: start() };
    harness.key_table.load(harness.now, Recovery { rows: vec![], row_count: 200_000, epoch: 2 });
    for (ms, open) in [(0, false), (29_000, false), (15_000, true)] {
        harness.advance(ms);
        harness.settled();
        assert_eq!(harness.find("k", harness.now) == Lookup::Vacant, open, "after a step of {ms} ms");
    }
}

/// A burst ends, and all its rows expire together. If one transaction removed them all, it would delay the
/// bookings that come next.
#[test]
fn rows_past_their_window_are_removed_in_small_batches_beside_other_writes() {
    let mut harness = Harness::new(limits(), vec![]);
    for n in 0..300 {
        harness.complete_booking(&format!("k{n}"), n + 1);
    }
    harness.advance(29_220 + 10_001);
    assert_eq!(harness.settled(), []);
    assert_eq!((harness.key_table.metrics().entries, harness.key_table.metrics().removals), (0, 300));
    // A batch with one write has few removals; one without other writes has as many as fit.
    assert_eq!(harness.begin("new", 1_000), RunPermit::Pending);
    let writes = harness.commit();
    assert!(matches!(writes[0], Write::Put(_)) && writes.len() == 17, "{} writes", writes.len());
    assert_eq!(harness.commit().len(), 284);
    assert_eq!((harness.key_table.metrics().removals, harness.key_table.metrics().bytes > 0), (0, true));
}

/// More keys arrive than the table has room for. If an old key were dropped, its repeats would run again, so
/// the new key is rejected with a retry-after.
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
            matches!(harness.find("c", harness.now), Lookup::Unavailable(retry_after) if retry_after.0 > 0),
            "{limits:?}"
        );
        assert_eq!(harness.find("a", harness.now), Lookup::Original(id(1)));
        assert_eq!(harness.commit().len(), 2);
        assert_eq!(harness.settled().len(), 2);
    }
}

/// A disk stops answering while one run's intent is in flight, another's is queued and a result is to be
/// written. The attempts that have not begun to run are rejected at once, and do not run when the disk
/// answers after all.
#[test]
fn a_stall_opens_the_breaker_and_rejects_attempts_whose_intents_are_not_durable() {
    let mut harness = Harness::new(limits(), vec![]);
    // One intent is durable and its run has begun; one is in flight; one waits in the queue.
    harness.begin("ran", 1);
    harness.commit();
    harness.settled();
    harness.begin("out", 2);
    let in_flight = harness.key_table.next_batch(harness.now.mono).expect("a batch to send");
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
            Settlement::IntentFailed(id, waiting, retry_after) => (id.0, waiting.len(), retry_after.0 > 0),
            other => panic!("expected a failed intent, got {other:?}"),
        })
        .collect();
    assert_eq!(unwritten, [(3, 1, true), (2, 0, true)]);
    assert_eq!(
        harness.key_table.breaker_state(),
        BreakerState::Open { cause: Cause::Stalled, since: harness.now.mono }
    );
    assert!(matches!(harness.find("new", harness.now), Lookup::Unavailable(_)));
    // No batch is sent to a store that has not answered the one before.
    assert_eq!(harness.key_table.next_batch(harness.now.mono), None);
    // The store answers after all: the withdrawn attempt does not begin to run, and its row is removed.
    harness.key_table.on_outcome(harness.now.mono, in_flight.number, Outcome::Done);
    assert_eq!((harness.settled(), harness.key_table.breaker_state()), (vec![], BreakerState::Closed));
    let writes = harness.commit();
    assert!(
        matches!(&writes[0], Write::Put(r) if r.key == "ran" && r.state == RowState::Completed(b"r".to_vec()))
    );
    assert!(matches!(&writes[1], Write::Remove { key, .. } if key == "out"));
    assert_eq!(writes.len(), 2, "{writes:?}");
    assert_eq!(harness.settled(), [Settlement::ResultDurable(id(1), vec![], Rc::from(*b"r"))]);
    // The key of an attempt that never ran can be used again.
    assert_eq!(harness.begin("out", 5), RunPermit::Pending);
}

/// A disk is full. A node that sent its whole queue again and again would keep the disk busy; a node that
/// stopped trying would need a restart.
#[test]
fn a_store_that_fails_is_probed_with_one_write_at_growing_intervals() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    harness.commit();
    harness.settled();
    harness.end("a", 1, b"r");
    harness.fail_batch(Cause::Full);
    assert!(matches!(harness.key_table.breaker_state(), BreakerState::Open { cause: Cause::Full, .. }));
    let mut waits = Vec::new();
    for _ in 0..7 {
        let at = harness.key_table.next_wakeup().expect("the next probe is scheduled").max(harness.now.mono);
        waits.push(at.since(harness.now.mono).0 / 1000);
        assert_eq!(harness.key_table.next_batch(Timestamp(at.0 - 1)), None);
        harness.now = harness.now.plus(at.since(harness.now.mono));
        harness.fail_batch(Cause::Full);
    }
    for (i, ms) in waits.iter().enumerate() {
        let min_wait = (100u64 << i).min(2_000);
        assert!((min_wait..=min_wait * 3 / 2).contains(ms), "{waits:?}");
    }
    harness.advance(10_000);
    assert_eq!(harness.commit().len(), 1, "a probe is one write");
    assert_eq!(harness.key_table.breaker_state(), BreakerState::Closed);
    assert_eq!(harness.settled().len(), 1);
}

/// An operator's backup holds the lock of the file for a moment. That alone must not lead to rejected
/// bookings.
#[test]
fn a_busy_store_is_retried_soon_and_counts_as_stalled_only_by_age() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    while harness.key_table.breaker_state() == BreakerState::Closed {
        harness.fail_batch(Cause::Busy);
        let wait =
            harness.key_table.next_wakeup().expect("a retry is scheduled").since(harness.now.mono).0 / 1000;
        assert!((1..=100).contains(&wait), "{wait} ms");
        harness.advance(wait);
        harness.settled();
    }
    assert_eq!(harness.now.mono.since(start().mono), Micros::millis(250));
}

/// The connection to a database breaks while a commit is in flight, and its outcome is unknown. Each key is
/// looked up: a result that is stored is sent, one that is not is written again.
#[test]
fn after_a_broken_link_each_key_is_looked_up_before_anything_is_written() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    harness.begin("b", 2);
    harness.commit();
    harness.settled();
    harness.end("a", 1, b"ra");
    harness.end("b", 2, b"rb");
    let in_flight = harness.key_table.next_batch(harness.now.mono).expect("a batch to send");
    let Work::Commit(writes) = &in_flight.work else { panic!("expected a commit") };
    let Write::Put(first) = writes[0].clone() else { panic!("expected a row") };
    harness.key_table.on_outcome(harness.now.mono, in_flight.number, Outcome::Unknown(Cause::Link));
    harness.key_table.on_link(harness.now.mono, false);
    assert_eq!(
        harness.key_table.next_batch(harness.now.mono.plus(Micros::millis(60_000))),
        None,
        "no batch is sent without a connection"
    );
    harness.key_table.on_link(harness.now.mono, true);
    let lookup_batch = harness.key_table.next_batch(harness.now.mono).expect("a batch to send");
    assert_eq!(lookup_batch.work, Work::Lookup(vec!["a".into(), "b".into()]));
    // An outcome of the batch before must not count as one of this batch.
    harness.key_table.on_outcome(harness.now.mono, in_flight.number, Outcome::Done);
    assert_eq!(harness.settled(), []);
    // The first result is stored. The second is not, and is written again, alone, as a probe.
    harness.key_table.on_outcome(harness.now.mono, lookup_batch.number, Outcome::Rows(vec![first]));
    assert_eq!(harness.settled(), [Settlement::ResultDurable(id(1), vec![], Rc::from(*b"ra"))]);
    assert_eq!(harness.commit(), writes[1..]);
    assert_eq!(harness.settled(), [Settlement::ResultDurable(id(2), vec![], Rc::from(*b"rb"))]);
}

/// A caller's deadline passes while the intent of its run is being written. If the intent stayed, later
/// attempts of the key would count as repeats of a run that never began.
#[test]
fn an_attempt_released_before_its_run_begins_withdraws_its_intent() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    harness.key_table.join("a", id(2));
    let released = harness.key_table.release(harness.now, &"a".into(), id(1));
    assert_eq!(released, Released { waiters: vec![id(2)], intent_withdrawn: true });
    // The intent was never sent, so nothing has to be written.
    assert_eq!(harness.commit(), []);
    harness.begin("a", 3);
    let in_flight = harness.key_table.next_batch(harness.now.mono).expect("a batch to send");
    assert!(harness.key_table.release(harness.now, &"a".into(), id(3)).intent_withdrawn);
    harness.key_table.on_outcome(harness.now.mono, in_flight.number, Outcome::Done);
    assert_eq!(harness.settled(), [], "a withdrawn attempt must not begin to run");
    assert!(matches!(&harness.commit()[..], [Write::Remove { .. }]));
}

/// An operator reloads other limits. Entries and writes that already exceed them stay.
#[test]
fn limits_can_change_while_the_table_is_in_use() {
    let mut harness = Harness::new(limits(), vec![]);
    harness.begin("a", 1);
    harness.key_table.set_limits(Limits { entries: 1, stall: Micros::millis(1_000), ..limits() });
    assert!(matches!(harness.find("b", harness.now), Lookup::Unavailable(_)));
    harness.advance(999);
    assert_eq!(harness.settled(), []);
    harness.advance(1);
    assert_eq!(harness.settled().len(), 1);
}

// Guards against a process that runs out of memory where a window holds more results than fit in it: results
// count by their bytes, and repeats of known keys are still answered.
#[test]
fn without_a_store_results_stay_within_the_memory_limit() {
    let mut harness = Harness { key_table: KeyTable::volatile(), now: start() };
    harness.key_table.set_max_bytes(64 << 10);
    let book_one = |harness: &mut Harness, n: u128, len: usize| {
        let key = format!("k{n}");
        match harness.find(&key, harness.now) {
            Lookup::Unavailable(retry_after) => return Some(retry_after),
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
    assert!((8..16).contains(&long), "{long} results of 4 KiB fit in 64 KiB");
    assert!(harness.key_table.metrics().bytes <= 64 << 10);
    // The keys of completed runs are still known, and the retry-after ends when there is room again, at the
    // end of the first window.
    assert_eq!(harness.find("k0", harness.now), Lookup::Original(id(0)));
    let retry_after = book_one(&mut harness, 500, 1).expect("the memory limit is reached");
    assert!(retry_after > Micros::millis(20_000), "{retry_after:?}");
    harness.advance(retry_after.0 / 1000 + 5_000);
    harness.settled();
    while book_one(&mut harness, short, 16).is_none() {
        short += 1;
    }
    assert!(short - 1_000 > 2 * long, "more short results must fit: {}", short - 1_000);
}
