//! What the engine makes of requests, reports and time: verdicts, with no socket.

mod common;

use common::settings;
use gaugestand_admission::engine::{Arrival, CallEnd, Engine, Micros, Report, RunEnd, Unfit, Verdict};
use gaugestand_admission::idempotency::Moment;
use gaugestand_admission::{Downstream, RequestId, Settings};
use gaugestand_idempotency::KeyTable;
use std::rc::Rc;

const PURE: usize = 0;
const KEYED: usize = 1;

/// A engine whose work is up, and its clock.
struct Desk {
    engine: Engine<KeyTable>,
    now: Micros,
}

impl Desk {
    fn new() -> Self {
        Desk::with(|_| ())
    }

    fn with(change: impl FnOnce(&mut Settings)) -> Self {
        let mut settings = Settings { downstream: Downstream::Tier, ..settings() };
        change(&mut settings);
        let engine = Engine::new(settings, 1, KeyTable::volatile()).expect("sound settings");
        let mut desk = Desk { engine, now: Micros::millis(3_600_000) };
        desk.report(Report::Booted { cold: false, age: Micros(0) });
        desk
    }

    fn pick(&mut self, id: u128, class: usize, age_ms: u64) -> Vec<Verdict> {
        self.pick_body(id, class, age_ms, b"body").expect("it is taken in")
    }

    fn pick_body(&mut self, id: u128, class: usize, age: u64, body: &[u8]) -> Result<Vec<Verdict>, Unfit> {
        self.pick_try(id, class, age, |a| a.body = body)
    }

    /// The same with whatever `change` makes of it.
    fn pick_try<'a>(
        &mut self,
        id: u128,
        class: usize,
        age: u64,
        change: impl FnOnce(&mut Arrival<'a>),
    ) -> Result<Vec<Verdict>, Unfit> {
        let mut arrival = Arrival {
            id: RequestId(id),
            class,
            repeat_key: Some("k".to_string()),
            body: b"body",
            age: Micros::millis(age),
            ingress: self.moment().wall.since(Micros::millis(age)),
            work_hint: None,
            queued_kb: 20.0,
            shed_order: 0.5,
            caller: 1,
            patience: None,
            again: false,
            subject: None,
        };
        change(&mut arrival);
        let mut out = Vec::new();
        self.engine.pick(self.moment(), arrival, &mut out).map(|()| out)
    }

    fn report(&mut self, report: Report) -> Vec<Verdict> {
        let mut out = Vec::new();
        self.engine.report(self.moment(), report, &mut out);
        out
    }

    fn moment(&self) -> Moment {
        Moment { mono: self.now, wall: self.now.plus(Micros::millis(1_700_000_000_000)) }
    }

    /// Lets time pass in steps of 4 ms; nobody answers questions for gauges.
    fn pass(&mut self, ms: u64) -> Vec<Verdict> {
        let mut out = Vec::new();
        for _ in 0..ms / 4 {
            self.now = self.now.plus(Micros::millis(4));
            let wake = self.engine.tick(self.moment(), &mut out);
            assert!(wake.is_some_and(|w| w > self.now), "it wakes again, and not at once");
        }
        out.retain(|v| !matches!(v, Verdict::Gauge | Verdict::IdleLimit(_)));
        out
    }
}

fn id(n: u128) -> RequestId {
    RequestId(n)
}

fn result() -> Rc<[u8]> {
    Rc::from(*b"result")
}

#[test]
fn a_run_that_is_given_up_is_failed_at_once_with_when_to_come_back_and_not_refused() {
    let mut desk = Desk::new();
    assert_eq!(desk.pick(1, PURE, 0), [Verdict::Run(id(1))]);
    // The aim is a second; the due time, two more.
    let out = desk.pass(1100);
    let fails =
        |v: &Verdict| matches!(v, Verdict::Fail { id: RequestId(1), retry_after, .. } if retry_after.0 > 0);
    assert!(out.iter().any(fails) && out.contains(&Verdict::Stop(id(1))), "{out:?}");
    assert!(!out.iter().any(|v| matches!(v, Verdict::Reject { .. })), "{out:?}");
    assert_eq!(desk.engine.owed(), 0);
    assert_eq!(desk.report(Report::Ended(id(1), RunEnd::Cut)), [Verdict::Forget(id(1))]);
}

#[test]
fn what_comes_too_late_to_be_run_is_refused_at_once() {
    let mut desk = Desk::new();
    let out = desk.pick(1, PURE, 990);
    let refused = |v: &Verdict| matches!(v, Verdict::Reject { retry_after, .. } if retry_after.0 > 0);
    // With idle cores one run is tried; with busy ones the aim is out of reach.
    assert_eq!(out, [Verdict::Run(id(1))]);
    let out = desk.pick(2, PURE, 990);
    assert!(out.iter().any(refused), "{out:?}");
}

#[test]
fn a_window_counts_from_the_ingress_of_the_try_that_ran_and_outlives_no_further_one() {
    let mut desk = Desk::new();
    assert_eq!(desk.pick(1, KEYED, 0), [Verdict::Run(id(1))]);
    let served = desk.report(Report::Ended(id(1), RunEnd::Good(result())));
    assert_eq!(served, [Verdict::Serve(id(1), result()), Verdict::Forget(id(1))]);
    desk.pass(4900);
    let replayed = desk.pick(2, KEYED, 0);
    assert_eq!(replayed, [Verdict::Replay(id(2), result()), Verdict::Forget(id(2))]);
    desk.pass(400);
    // Read after the window of 5 s, but come to the machine in it.
    assert_eq!(desk.pick(3, KEYED, 350)[0], Verdict::Replay(id(3), result()));
    // Replays do not lengthen it: this one is a first again.
    assert_eq!(desk.pick(4, KEYED, 0), [Verdict::Run(id(4))]);
}

#[test]
fn a_held_try_that_is_aborted_leaves_its_key_free_and_fails_those_that_wait_for_it() {
    let mut desk = Desk::new();
    // Two cores are taken, and two more wait: the keyed one is held.
    for n in 10..20 {
        desk.pick(n, PURE, 0);
    }
    let held = desk.pick(1, KEYED, 0);
    assert!(!held.contains(&Verdict::Run(id(1))), "{held:?}");
    assert_eq!(desk.pick(2, KEYED, 0), []);
    let out = desk.report(Report::Aborted(id(1)));
    assert!(out.iter().any(|v| matches!(v, Verdict::Fail { id: RequestId(2), .. })), "{out:?}");
    assert!(out.contains(&Verdict::Forget(id(1))) && out.contains(&Verdict::Forget(id(2))), "{out:?}");
}

#[test]
fn an_end_that_is_told_twice_counts_once() {
    let mut desk = Desk::new();
    desk.pick(1, KEYED, 0);
    assert_eq!(desk.report(Report::Ended(id(1), RunEnd::Good(result()))).len(), 2);
    assert_eq!(desk.report(Report::Ended(id(1), RunEnd::Bad)), []);
    assert_eq!(desk.pick(2, KEYED, 0)[0], Verdict::Replay(id(2), result()));
}

#[test]
fn the_call_of_a_run_that_ended_is_dropped_and_its_late_reply_ignored() {
    let mut desk = Desk::new();
    desk.pick(1, PURE, 0);
    let called = desk.report(Report::WantsCall(id(1)));
    assert!(matches!(called[..], [Verdict::Call(RequestId(1), wait)] if wait.0 > 0), "{called:?}");
    let out = desk.report(Report::Ended(id(1), RunEnd::Cut));
    assert_eq!(out[0], Verdict::DropCall(id(1)));
    assert_eq!(desk.report(Report::Called(id(1), CallEnd::Late, Micros(5))), []);
}

#[test]
fn an_id_that_is_known_gets_no_second_verdict() {
    let mut desk = Desk::new();
    desk.pick(1, PURE, 0);
    assert_eq!(desk.pick_body(1, PURE, 0, b"body"), Err(Unfit::Known));
}

// Guards against a stored result, or a place in the line for it, that goes to a request which only names its
// key: before the run, while it runs and after it.
#[test]
fn a_key_with_another_body_is_another_request_and_gets_nothing_of_the_first() {
    let mut desk = Desk::new();
    for n in 10..20 {
        desk.pick(n, PURE, 0);
    }
    desk.pick(1, KEYED, 0);
    assert_eq!(desk.pick_body(2, KEYED, 0, b"other"), Err(Unfit::OtherBody));
    let mut desk = Desk::new();
    assert_eq!(desk.pick(1, KEYED, 0), [Verdict::Run(id(1))]);
    assert_eq!(desk.pick_body(2, KEYED, 0, b"other"), Err(Unfit::OtherBody));
    assert_eq!(desk.report(Report::Ended(id(1), RunEnd::Good(result())))[0], Verdict::Serve(id(1), result()));
    assert_eq!(desk.pick_body(3, KEYED, 0, b"other"), Err(Unfit::OtherBody));
    assert_eq!(desk.pick(4, KEYED, 0)[0], Verdict::Replay(id(4), result()));
}

#[test]
fn after_the_notice_to_leave_nothing_late_runs_and_all_is_answered_before_the_stop() {
    let mut desk = Desk::new();
    assert_eq!(desk.pick(1, KEYED, 0), [Verdict::Run(id(1))]);
    assert!(desk.engine.healthy());
    let stop = desk.now.plus(Micros::millis(1900));
    // The notice came 300 ms ago, and the grace is a second.
    let notice = desk.now.since(Micros::millis(300));
    desk.report(Report::Drain { notice, stop });
    assert!(!desk.engine.healthy());
    desk.pass(740);
    let out = desk.pick(2, PURE, 0);
    assert!(out.iter().any(|v| matches!(v, Verdict::Reject { id: RequestId(2), .. })), "{out:?}");
    desk.pass(1140);
    assert!(desk.now < stop);
    assert_eq!(desk.engine.owed(), 0);
}

/// When a try is answered that came with this patience, in ms after it came to the machine; nothing ever ends its run.
fn answered_after(age: u64, patience: Option<u64>) -> u64 {
    let mut desk = Desk::new();
    let began = desk.now;
    let told = |a: &mut Arrival<'_>| a.patience = patience.map(Micros::millis);
    let mut out = desk.pick_try(1, PURE, age, told).expect("it is taken in");
    while !out.iter().any(|v| matches!(v, Verdict::Reject { .. } | Verdict::Fail { .. })) {
        out = desk.pass(4);
    }
    age + desk.now.since(began).0 / 1000
}

// Guards against answers for callers that are gone: at sites that tell it, a further try has less time left than the
// deadline of its class.
#[test]
fn a_try_is_answered_within_the_patience_that_it_tells() {
    // The class: an aim of 1 s, a deadline of 3 s. Age, patience, answered from, answered by.
    let table = [
        (0, Some(400), 300, 400),
        (300, Some(400), 300, 400),
        // Spent when it is read, and spent from the start: at once.
        (500, Some(400), 500, 500),
        (0, Some(0), 0, 0),
        // Longer than the class lets anyone wait, or not told: as the class has it.
        (0, Some(60_000), 900, 1_000),
        (0, None, 900, 1_000),
    ];
    for (age, patience, least, most) in table {
        let after = answered_after(age, patience);
        // The slack that the rules allow.
        assert!((least..=most + 60).contains(&after), "{patience:?} at {age}: answered after {after} ms");
    }
}

#[test]
fn a_keyed_try_whose_patience_is_spent_never_runs_and_leaves_its_key_free() {
    let mut desk = Desk::new();
    let out = desk.pick_try(1, KEYED, 500, |a| a.patience = Some(Micros::millis(400))).expect("taken in");
    assert!(matches!(out[0], Verdict::Reject { id: RequestId(1), .. }), "{out:?}");
    assert_eq!(desk.pick(2, KEYED, 0), [Verdict::Run(id(2))]);
}

#[test]
fn a_marked_further_try_goes_behind_first_ones_of_equal_worth() {
    let mut desk = Desk::new();
    for n in 10..12 {
        desk.pick(n, PURE, 0);
    }
    desk.pick_try(1, PURE, 0, |a| a.again = true).expect("taken in");
    desk.pick(2, PURE, 0);
    let out = desk.report(Report::Ended(id(10), RunEnd::Good(result())));
    assert!(out.contains(&Verdict::Run(id(2))) && !out.contains(&Verdict::Run(id(1))), "{out:?}");
}

// Guards against the loss of what an answer without its call still earns.
#[test]
fn a_run_goes_on_without_a_call_that_came_to_nothing_where_that_earns_something() {
    for (end, skips) in [
        (CallEnd::Busy, true),
        (CallEnd::Late, true),
        (CallEnd::Broken, true),
        (CallEnd::Failed, true),
        (CallEnd::Unreachable, true),
        (CallEnd::Good, false),
    ] {
        let mut desk = Desk::with(|s| s.classes[PURE].skipped_call_weight = 0.3);
        desk.pick(1, PURE, 0);
        desk.report(Report::WantsCall(id(1)));
        let out = desk.report(Report::Called(id(1), end, Micros(900)));
        assert_eq!(out.contains(&Verdict::SkipCall(id(1))), skips, "{end:?}: {out:?}");
        assert!(!out.iter().any(|v| matches!(v, Verdict::Fail { .. })), "{end:?}: {out:?}");
        // A reply that comes all the same changes nothing.
        assert_eq!(desk.report(Report::Called(id(1), CallEnd::Good, Micros(950))), []);
        let served = desk.report(Report::Ended(id(1), RunEnd::Good(result())));
        assert_eq!(served, [Verdict::Serve(id(1), result()), Verdict::Forget(id(1))]);
    }
    // Where the kernel will not have it the try is failed at once, and only once.
    let mut desk = Desk::with(|s| s.classes[PURE].skipped_call_weight = 0.3);
    desk.pick(1, PURE, 0);
    desk.report(Report::WantsCall(id(1)));
    desk.report(Report::Called(id(1), CallEnd::Busy, Micros(900)));
    let out = desk.report(Report::CannotSkip(id(1)));
    assert!(matches!(out[0], Verdict::Fail { id: RequestId(1), .. }), "{out:?}");
    assert_eq!(desk.report(Report::CannotSkip(id(1))), []);
    assert_eq!(desk.report(Report::Ended(id(1), RunEnd::Cut)), [Verdict::Forget(id(1))]);
}
