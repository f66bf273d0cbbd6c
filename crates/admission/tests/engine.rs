//! What the engine makes of requests, reports and time: verdicts, with no socket.

mod common;

use common::settings;
use gaugestand_admission::engine::{
    AdmitError, Arrival, CallOutcome, Engine, EngineCommand, EngineEvent, RunOutcome,
};
use gaugestand_admission::time::Micros;
use gaugestand_admission::time::Moment;
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
        desk.report(EngineEvent::BackendStarted { cold: false, age: Micros(0) });
        desk
    }

    fn admit(&mut self, id: u128, class: usize, age_ms: u64) -> Vec<EngineCommand> {
        self.pick_body(id, class, age_ms, b"body").expect("it is taken in")
    }

    fn pick_body(
        &mut self,
        id: u128,
        class: usize,
        age: u64,
        body: &[u8],
    ) -> Result<Vec<EngineCommand>, AdmitError> {
        self.pick_try(id, class, age, |a| a.body = body)
    }

    /// The same with whatever `change` makes of it.
    fn pick_try<'a>(
        &mut self,
        id: u128,
        class: usize,
        age: u64,
        change: impl FnOnce(&mut Arrival<'a>),
    ) -> Result<Vec<EngineCommand>, AdmitError> {
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
            caller_timeout: None,
            is_retry: false,
            resource_key: None,
        };
        change(&mut arrival);
        let mut out = Vec::new();
        self.engine.admit(self.moment(), arrival, &mut out).map(|()| out)
    }

    fn report(&mut self, report: EngineEvent) -> Vec<EngineCommand> {
        let mut out = Vec::new();
        self.engine.on_event(self.moment(), report, &mut out);
        out
    }

    fn moment(&self) -> Moment {
        Moment { mono: self.now, wall: self.now.plus(Micros::millis(1_700_000_000_000)) }
    }

    /// Lets time pass in steps of 4 ms; nobody answers questions for gauges.
    fn pass(&mut self, ms: u64) -> Vec<EngineCommand> {
        let mut out = Vec::new();
        for _ in 0..ms / 4 {
            self.now = self.now.plus(Micros::millis(4));
            let wake = self.engine.on_timer(self.moment(), &mut out);
            assert!(wake.is_some_and(|w| w > self.now), "it wakes again, and not at once");
        }
        out.retain(|v| !matches!(v, EngineCommand::ReadGauges | EngineCommand::SetIdleTimeout(_)));
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
    assert_eq!(desk.admit(1, PURE, 0), [EngineCommand::Run(id(1))]);
    // The aim is a second; the due time, two more.
    let out = desk.pass(1100);
    let fails = |v: &EngineCommand| matches!(v, EngineCommand::Fail { id: RequestId(1), retry_after, .. } if retry_after.0 > 0);
    assert!(out.iter().any(fails) && out.contains(&EngineCommand::Preempt(id(1))), "{out:?}");
    assert!(!out.iter().any(|v| matches!(v, EngineCommand::Reject { .. })), "{out:?}");
    assert_eq!(desk.engine.pending_answers(), 0);
    assert_eq!(
        desk.report(EngineEvent::RunEnded(id(1), RunOutcome::Cancelled)),
        [EngineCommand::Forget(id(1))]
    );
}

#[test]
fn what_comes_too_late_to_be_run_is_refused_at_once() {
    let mut desk = Desk::new();
    let out = desk.admit(1, PURE, 990);
    let refused =
        |v: &EngineCommand| matches!(v, EngineCommand::Reject { retry_after, .. } if retry_after.0 > 0);
    // With idle cores one run is tried; with busy ones the aim is out of reach.
    assert_eq!(out, [EngineCommand::Run(id(1))]);
    let out = desk.admit(2, PURE, 990);
    assert!(out.iter().any(refused), "{out:?}");
}

#[test]
fn a_window_counts_from_the_ingress_of_the_try_that_ran_and_outlives_no_further_one() {
    let mut desk = Desk::new();
    assert_eq!(desk.admit(1, KEYED, 0), [EngineCommand::Run(id(1))]);
    let served = desk.report(EngineEvent::RunEnded(id(1), RunOutcome::Succeeded(result())));
    assert_eq!(served, [EngineCommand::Serve(id(1), result()), EngineCommand::Forget(id(1))]);
    desk.pass(4900);
    let replayed = desk.admit(2, KEYED, 0);
    assert_eq!(replayed, [EngineCommand::Replay(id(2), result()), EngineCommand::Forget(id(2))]);
    desk.pass(400);
    // Read after the window of 5 s, but come to the machine in it.
    assert_eq!(desk.admit(3, KEYED, 350)[0], EngineCommand::Replay(id(3), result()));
    // Replays do not lengthen it: this one is a first again.
    assert_eq!(desk.admit(4, KEYED, 0), [EngineCommand::Run(id(4))]);
}

#[test]
fn a_held_try_that_is_aborted_leaves_its_key_free_and_fails_those_that_wait_for_it() {
    let mut desk = Desk::new();
    // Two cores are taken, and two more wait: the keyed one is held.
    for n in 10..20 {
        desk.admit(n, PURE, 0);
    }
    let held = desk.admit(1, KEYED, 0);
    assert!(!held.contains(&EngineCommand::Run(id(1))), "{held:?}");
    assert_eq!(desk.admit(2, KEYED, 0), []);
    let out = desk.report(EngineEvent::CallerGone(id(1)));
    assert!(out.iter().any(|v| matches!(v, EngineCommand::Fail { id: RequestId(2), .. })), "{out:?}");
    assert!(
        out.contains(&EngineCommand::Forget(id(1))) && out.contains(&EngineCommand::Forget(id(2))),
        "{out:?}"
    );
}

#[test]
fn an_end_that_is_told_twice_counts_once() {
    let mut desk = Desk::new();
    desk.admit(1, KEYED, 0);
    assert_eq!(desk.report(EngineEvent::RunEnded(id(1), RunOutcome::Succeeded(result()))).len(), 2);
    assert_eq!(desk.report(EngineEvent::RunEnded(id(1), RunOutcome::Failed)), []);
    assert_eq!(desk.admit(2, KEYED, 0)[0], EngineCommand::Replay(id(2), result()));
}

#[test]
fn the_call_of_a_run_that_ended_is_dropped_and_its_late_reply_ignored() {
    let mut desk = Desk::new();
    desk.admit(1, PURE, 0);
    let called = desk.report(EngineEvent::CallRequested(id(1)));
    assert!(matches!(called[..], [EngineCommand::Call(RequestId(1), wait)] if wait.0 > 0), "{called:?}");
    let out = desk.report(EngineEvent::RunEnded(id(1), RunOutcome::Cancelled));
    assert_eq!(out[0], EngineCommand::DropCall(id(1)));
    assert_eq!(desk.report(EngineEvent::CallEnded(id(1), CallOutcome::TimedOut, Micros(5))), []);
}

#[test]
fn an_id_that_is_known_gets_no_second_verdict() {
    let mut desk = Desk::new();
    desk.admit(1, PURE, 0);
    assert_eq!(desk.pick_body(1, PURE, 0, b"body"), Err(AdmitError::DuplicateId));
}

// Guards against a stored result, or a place in the line for it, that goes to a request which only names its
// key: before the run, while it runs and after it.
#[test]
fn a_key_with_another_body_is_another_request_and_gets_nothing_of_the_first() {
    let mut desk = Desk::new();
    for n in 10..20 {
        desk.admit(n, PURE, 0);
    }
    desk.admit(1, KEYED, 0);
    assert_eq!(desk.pick_body(2, KEYED, 0, b"other"), Err(AdmitError::KeyConflict));
    let mut desk = Desk::new();
    assert_eq!(desk.admit(1, KEYED, 0), [EngineCommand::Run(id(1))]);
    assert_eq!(desk.pick_body(2, KEYED, 0, b"other"), Err(AdmitError::KeyConflict));
    assert_eq!(
        desk.report(EngineEvent::RunEnded(id(1), RunOutcome::Succeeded(result())))[0],
        EngineCommand::Serve(id(1), result())
    );
    assert_eq!(desk.pick_body(3, KEYED, 0, b"other"), Err(AdmitError::KeyConflict));
    assert_eq!(desk.admit(4, KEYED, 0)[0], EngineCommand::Replay(id(4), result()));
}

#[test]
fn after_the_notice_to_leave_nothing_late_runs_and_all_is_answered_before_the_stop() {
    let mut desk = Desk::new();
    assert_eq!(desk.admit(1, KEYED, 0), [EngineCommand::Run(id(1))]);
    assert!(desk.engine.is_healthy());
    let stop = desk.now.plus(Micros::millis(1900));
    // The notice came 300 ms ago, and the grace is a second.
    let notice = desk.now.since(Micros::millis(300));
    desk.report(EngineEvent::Drain { notice, stop });
    assert!(!desk.engine.is_healthy());
    desk.pass(740);
    let out = desk.admit(2, PURE, 0);
    assert!(out.iter().any(|v| matches!(v, EngineCommand::Reject { id: RequestId(2), .. })), "{out:?}");
    desk.pass(1140);
    assert!(desk.now < stop);
    assert_eq!(desk.engine.pending_answers(), 0);
}

/// When a try is answered that came with this patience, in ms after it came to the machine; nothing ever ends its run.
fn answered_after(age: u64, caller_timeout: Option<u64>) -> u64 {
    let mut desk = Desk::new();
    let began = desk.now;
    let told = |a: &mut Arrival<'_>| a.caller_timeout = caller_timeout.map(Micros::millis);
    let mut out = desk.pick_try(1, PURE, age, told).expect("it is taken in");
    while !out.iter().any(|v| matches!(v, EngineCommand::Reject { .. } | EngineCommand::Fail { .. })) {
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
    for (age, caller_timeout, least, most) in table {
        let after = answered_after(age, caller_timeout);
        // The slack that the rules allow.
        assert!(
            (least..=most + 60).contains(&after),
            "{caller_timeout:?} at {age}: answered after {after} ms"
        );
    }
}

#[test]
fn a_keyed_try_whose_patience_is_spent_never_runs_and_leaves_its_key_free() {
    let mut desk = Desk::new();
    let out =
        desk.pick_try(1, KEYED, 500, |a| a.caller_timeout = Some(Micros::millis(400))).expect("taken in");
    assert!(matches!(out[0], EngineCommand::Reject { id: RequestId(1), .. }), "{out:?}");
    assert_eq!(desk.admit(2, KEYED, 0), [EngineCommand::Run(id(2))]);
}

#[test]
fn a_marked_further_try_goes_behind_first_ones_of_equal_worth() {
    let mut desk = Desk::new();
    for n in 10..12 {
        desk.admit(n, PURE, 0);
    }
    desk.pick_try(1, PURE, 0, |a| a.is_retry = true).expect("taken in");
    desk.admit(2, PURE, 0);
    let out = desk.report(EngineEvent::RunEnded(id(10), RunOutcome::Succeeded(result())));
    assert!(out.contains(&EngineCommand::Run(id(2))) && !out.contains(&EngineCommand::Run(id(1))), "{out:?}");
}

// Guards against the loss of what an answer without its call still earns.
#[test]
fn a_run_goes_on_without_a_call_that_came_to_nothing_where_that_earns_something() {
    for (end, skips) in [
        (CallOutcome::Overloaded, true),
        (CallOutcome::TimedOut, true),
        (CallOutcome::Broken, true),
        (CallOutcome::Failed, true),
        (CallOutcome::Unreachable, true),
        (CallOutcome::Succeeded, false),
    ] {
        let mut desk = Desk::with(|s| s.classes[PURE].skipped_call_weight = 0.3);
        desk.admit(1, PURE, 0);
        desk.report(EngineEvent::CallRequested(id(1)));
        let out = desk.report(EngineEvent::CallEnded(id(1), end, Micros(900)));
        assert_eq!(out.contains(&EngineCommand::SkipCall(id(1))), skips, "{end:?}: {out:?}");
        assert!(!out.iter().any(|v| matches!(v, EngineCommand::Fail { .. })), "{end:?}: {out:?}");
        // A reply that comes all the same changes nothing.
        assert_eq!(desk.report(EngineEvent::CallEnded(id(1), CallOutcome::Succeeded, Micros(950))), []);
        let served = desk.report(EngineEvent::RunEnded(id(1), RunOutcome::Succeeded(result())));
        assert_eq!(served, [EngineCommand::Serve(id(1), result()), EngineCommand::Forget(id(1))]);
    }
    // Where the kernel will not have it the try is failed at once, and only once.
    let mut desk = Desk::with(|s| s.classes[PURE].skipped_call_weight = 0.3);
    desk.admit(1, PURE, 0);
    desk.report(EngineEvent::CallRequested(id(1)));
    desk.report(EngineEvent::CallEnded(id(1), CallOutcome::Overloaded, Micros(900)));
    let out = desk.report(EngineEvent::CallNotSkippable(id(1)));
    assert!(matches!(out[0], EngineCommand::Fail { id: RequestId(1), .. }), "{out:?}");
    assert_eq!(desk.report(EngineEvent::CallNotSkippable(id(1))), []);
    assert_eq!(
        desk.report(EngineEvent::RunEnded(id(1), RunOutcome::Cancelled)),
        [EngineCommand::Forget(id(1))]
    );
}
