//! Tests of the engine without sockets: they pass attempts, events and the time in, and check the commands
//! that come out.

mod common;

use ciborium::Value;
use common::settings;
use gaugestand_admission::engine::{
    AdmitError, Arrival, CallOutcome, Engine, EngineCommand, EngineEvent, RunOutcome,
};
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};
use gaugestand_admission::{Downstream, Gauges, RequestId, Settings};
use gaugestand_idempotency::KeyTable;
use std::rc::Rc;

const PURE: usize = 0;
const KEYED: usize = 1;

/// An engine whose backend has started, and the monotonic time that is passed to it.
struct Harness {
    engine: Engine<KeyTable>,
    now: Timestamp,
}

impl Harness {
    fn new() -> Self {
        Harness::with(|_| ())
    }

    fn with(change: impl FnOnce(&mut Settings)) -> Self {
        let mut settings = Settings { downstream: Downstream::Tier, ..settings() };
        change(&mut settings);
        let engine = Engine::new(settings, 1, KeyTable::volatile()).expect("the settings are valid");
        let mut harness = Harness { engine, now: Timestamp::millis(3_600_000) };
        harness.on_event(EngineEvent::BackendStarted { cold: false, age: Micros(0) });
        harness
    }

    fn admit(&mut self, id: u128, class: usize, age_ms: u64) -> Vec<EngineCommand> {
        self.try_admit(id, class, age_ms, b"body").expect("the attempt is admitted")
    }

    fn try_admit(
        &mut self,
        id: u128,
        class: usize,
        age: u64,
        body: &[u8],
    ) -> Result<Vec<EngineCommand>, AdmitError> {
        self.try_admit_with(id, class, age, |a| a.body = body)
    }

    /// Admits an attempt after `change` has adjusted its arrival.
    fn try_admit_with<'a>(
        &mut self,
        id: u128,
        class: usize,
        age: u64,
        change: impl FnOnce(&mut Arrival<'a>),
    ) -> Result<Vec<EngineCommand>, AdmitError> {
        let mut arrival = Arrival {
            id: RequestId(id),
            class,
            idempotency_key: Some("k".to_string()),
            body: b"body",
            age: Micros::millis(age),
            ingress: self.moment().wall.minus(Micros::millis(age)),
            work_hint: None,
            queued_kb: 20.0,
            shed_order: 0.5,
            caller: 1,
            caller_timeout: None,
            is_retry: false,
            resource_key: None,
        };
        change(&mut arrival);
        let mut commands = Vec::new();
        self.engine.admit(self.moment(), arrival, &mut commands).map(|()| commands)
    }

    fn on_event(&mut self, event: EngineEvent) -> Vec<EngineCommand> {
        let mut commands = Vec::new();
        self.engine.on_event(self.moment(), event, &mut commands);
        commands
    }

    fn moment(&self) -> Moment {
        Moment { mono: self.now, wall: UnixTime(self.now.0).plus(Micros::millis(1_700_000_000_000)) }
    }

    /// Advances the time in steps of 4 ms and returns the commands; requests for gauges are not answered.
    fn advance(&mut self, ms: u64) -> Vec<EngineCommand> {
        let mut commands = Vec::new();
        for _ in 0..ms / 4 {
            self.now = self.now.plus(Micros::millis(4));
            let wake = self.engine.on_timer(self.moment(), &mut commands);
            assert!(wake.is_some_and(|w| w > self.now), "on_timer returns a later time, not {wake:?}");
        }
        commands.retain(|v| !matches!(v, EngineCommand::ReadGauges | EngineCommand::SetIdleTimeout(_)));
        commands
    }
}

fn id(number: u128) -> RequestId {
    RequestId(number)
}

fn result() -> Rc<[u8]> {
    Rc::from(*b"result")
}

#[test]
fn a_preempted_run_fails_at_once_with_retry_advice_and_is_not_rejected() {
    let mut harness = Harness::new();
    assert_eq!(harness.admit(1, PURE, 0), [EngineCommand::Run(id(1))]);
    // The class has a latency objective of 1 s and a deadline of 3 s.
    let commands = harness.advance(1100);
    let fails = |command: &EngineCommand| matches!(command, EngineCommand::Fail { id: RequestId(1), retry_after, .. } if retry_after.0 > 0);
    assert!(commands.iter().any(fails) && commands.contains(&EngineCommand::Preempt(id(1))), "{commands:?}");
    assert!(!commands.iter().any(|v| matches!(v, EngineCommand::Reject { .. })), "{commands:?}");
    assert_eq!(harness.engine.pending_answers(), 0);
    assert_eq!(
        harness.on_event(EngineEvent::RunEnded(id(1), RunOutcome::Cancelled)),
        [EngineCommand::Forget(id(1))]
    );
}

#[test]
fn an_attempt_too_late_to_run_is_rejected_at_once() {
    let mut harness = Harness::new();
    let commands = harness.admit(1, PURE, 990);
    let is_rejected = |command: &EngineCommand| matches!(command, EngineCommand::Reject { retry_after, .. } if retry_after.0 > 0);
    // While cores are idle, the attempt may still be useful and runs. While they are busy, an answer within
    // the latency objective of 1 s is impossible.
    assert_eq!(commands, [EngineCommand::Run(id(1))]);
    let commands = harness.admit(2, PURE, 990);
    assert!(commands.iter().any(is_rejected), "{commands:?}");
}

#[test]
fn the_dedup_window_counts_from_the_ingress_of_the_attempt_that_ran_and_replays_do_not_extend_it() {
    let mut harness = Harness::new();
    assert_eq!(harness.admit(1, KEYED, 0), [EngineCommand::Run(id(1))]);
    let served = harness.on_event(EngineEvent::RunEnded(id(1), RunOutcome::Succeeded(result())));
    assert_eq!(served, [EngineCommand::Serve(id(1), result()), EngineCommand::Forget(id(1))]);
    harness.advance(4900);
    let replayed = harness.admit(2, KEYED, 0);
    assert_eq!(replayed, [EngineCommand::Replay(id(2), result()), EngineCommand::Forget(id(2))]);
    harness.advance(400);
    // The attempt is read after the window of 5 s, but reached the machine within it.
    assert_eq!(harness.admit(3, KEYED, 350)[0], EngineCommand::Replay(id(3), result()));
    // The window is over, as replays do not extend it: this attempt is a first attempt again.
    assert_eq!(harness.admit(4, KEYED, 0), [EngineCommand::Run(id(4))]);
}

#[test]
fn a_queued_attempt_whose_caller_is_gone_frees_its_key_and_fails_its_waiters() {
    let mut harness = Harness::new();
    // Both cores are busy and other attempts wait, so the keyed attempt is queued.
    for n in 10..20 {
        harness.admit(n, PURE, 0);
    }
    let queued = harness.admit(1, KEYED, 0);
    assert!(!queued.contains(&EngineCommand::Run(id(1))), "{queued:?}");
    assert_eq!(harness.admit(2, KEYED, 0), []);
    let commands = harness.on_event(EngineEvent::CallerGone(id(1)));
    assert!(
        commands.iter().any(|v| matches!(v, EngineCommand::Fail { id: RequestId(2), .. })),
        "{commands:?}"
    );
    assert!(
        commands.contains(&EngineCommand::Forget(id(1))) && commands.contains(&EngineCommand::Forget(id(2))),
        "{commands:?}"
    );
}

#[test]
fn a_repeated_notice_of_a_run_end_counts_once() {
    let mut harness = Harness::new();
    harness.admit(1, KEYED, 0);
    assert_eq!(harness.on_event(EngineEvent::RunEnded(id(1), RunOutcome::Succeeded(result()))).len(), 2);
    assert_eq!(harness.on_event(EngineEvent::RunEnded(id(1), RunOutcome::Failed)), []);
    assert_eq!(harness.admit(2, KEYED, 0)[0], EngineCommand::Replay(id(2), result()));
}

#[test]
fn the_call_of_an_ended_run_is_dropped_and_its_late_reply_ignored() {
    let mut harness = Harness::new();
    harness.admit(1, PURE, 0);
    let called = harness.on_event(EngineEvent::CallRequested(id(1)));
    assert!(matches!(called[..], [EngineCommand::Call(RequestId(1), wait)] if wait.0 > 0), "{called:?}");
    let commands = harness.on_event(EngineEvent::RunEnded(id(1), RunOutcome::Cancelled));
    assert_eq!(commands[0], EngineCommand::DropCall(id(1)));
    assert_eq!(harness.on_event(EngineEvent::CallEnded(id(1), CallOutcome::TimedOut, Micros(5))), []);
}

#[test]
fn an_attempt_with_a_known_id_is_refused_as_a_duplicate() {
    let mut harness = Harness::new();
    harness.admit(1, PURE, 0);
    assert_eq!(harness.try_admit(1, PURE, 0, b"body"), Err(AdmitError::DuplicateId));
}

// A caller uses an idempotency key that belongs to another request. The caller must neither get nor await the
// other request's result, whether the other request is queued, is running or has ended.
#[test]
fn an_attempt_that_reuses_a_key_with_another_body_is_refused_as_a_key_conflict() {
    let mut harness = Harness::new();
    for n in 10..20 {
        harness.admit(n, PURE, 0);
    }
    harness.admit(1, KEYED, 0);
    assert_eq!(harness.try_admit(2, KEYED, 0, b"other"), Err(AdmitError::KeyConflict));
    let mut harness = Harness::new();
    assert_eq!(harness.admit(1, KEYED, 0), [EngineCommand::Run(id(1))]);
    assert_eq!(harness.try_admit(2, KEYED, 0, b"other"), Err(AdmitError::KeyConflict));
    assert_eq!(
        harness.on_event(EngineEvent::RunEnded(id(1), RunOutcome::Succeeded(result())))[0],
        EngineCommand::Serve(id(1), result())
    );
    assert_eq!(harness.try_admit(3, KEYED, 0, b"other"), Err(AdmitError::KeyConflict));
    assert_eq!(harness.admit(4, KEYED, 0)[0], EngineCommand::Replay(id(4), result()));
}

#[test]
fn a_drain_rejects_arrivals_after_the_grace_period_and_answers_all_attempts_before_the_stop() {
    let mut harness = Harness::new();
    assert_eq!(harness.admit(1, KEYED, 0), [EngineCommand::Run(id(1))]);
    assert!(harness.engine.is_healthy());
    let stop = harness.now.plus(Micros::millis(1900));
    // The drain notice came 300 ms before it is reported; the grace period is 1 s.
    let notice = harness.now.minus(Micros::millis(300));
    harness.on_event(EngineEvent::Drain { notice, stop });
    assert!(!harness.engine.is_healthy());
    harness.advance(740);
    let commands = harness.admit(2, PURE, 0);
    assert!(
        commands.iter().any(|v| matches!(v, EngineCommand::Reject { id: RequestId(2), .. })),
        "{commands:?}"
    );
    harness.advance(1140);
    assert!(harness.now < stop);
    assert_eq!(harness.engine.pending_answers(), 0);
}

/// The time between the ingress of an attempt and its answer, in ms. The attempt is read `age` ms after its
/// ingress, and its run never ends.
fn answered_after(age: u64, caller_timeout: Option<u64>) -> u64 {
    let mut harness = Harness::new();
    let started_at = harness.now;
    let set_timeout = |arrival: &mut Arrival<'_>| arrival.caller_timeout = caller_timeout.map(Micros::millis);
    let mut commands = harness.try_admit_with(1, PURE, age, set_timeout).expect("the attempt is admitted");
    while !commands.iter().any(|v| matches!(v, EngineCommand::Reject { .. } | EngineCommand::Fail { .. })) {
        commands = harness.advance(4);
    }
    age + harness.now.since(started_at).0 / 1000
}

// A caller retries, and states the rest of its timeout, which is shorter than the class's deadline. An answer
// at the deadline would come after the caller has gone.
#[test]
fn an_attempt_is_answered_within_its_callers_timeout() {
    // The class has a latency objective of 1 s and a deadline of 3 s. The columns are, in ms: age when read,
    // caller timeout, earliest and latest permitted answer.
    let table = [
        (0, Some(400), 300, 400),
        (300, Some(400), 300, 400),
        // The timeout has passed when the attempt is read, or is zero: the attempt is answered at once.
        (500, Some(400), 500, 500),
        (0, Some(0), 0, 0),
        // The timeout is longer than the class's deadline, or is not stated: the limits of the class apply.
        (0, Some(60_000), 900, 1_000),
        (0, None, 900, 1_000),
    ];
    for (age, caller_timeout, earliest, latest) in table {
        let answered = answered_after(age, caller_timeout);
        // An answer may be up to 60 ms late (`answer_slack` in the settings of the tests).
        assert!(
            (earliest..=latest + 60).contains(&answered),
            "caller timeout {caller_timeout:?} ms, age {age} ms: answered after {answered} ms"
        );
    }
}

#[test]
fn a_keyed_attempt_past_its_callers_timeout_never_runs_and_frees_its_key() {
    let mut harness = Harness::new();
    let commands = harness
        .try_admit_with(1, KEYED, 500, |a| a.caller_timeout = Some(Micros::millis(400)))
        .expect("the attempt is admitted");
    assert!(matches!(commands[0], EngineCommand::Reject { id: RequestId(1), .. }), "{commands:?}");
    assert_eq!(harness.admit(2, KEYED, 0), [EngineCommand::Run(id(2))]);
}

#[test]
fn a_marked_retry_is_queued_behind_first_attempts_of_equal_priority() {
    let mut harness = Harness::new();
    for n in 10..12 {
        harness.admit(n, PURE, 0);
    }
    harness.try_admit_with(1, PURE, 0, |a| a.is_retry = true).expect("the attempt is admitted");
    harness.admit(2, PURE, 0);
    let commands = harness.on_event(EngineEvent::RunEnded(id(10), RunOutcome::Succeeded(result())));
    assert!(
        commands.contains(&EngineCommand::Run(id(2))) && !commands.contains(&EngineCommand::Run(id(1))),
        "{commands:?}"
    );
}

// An outbound call fails, and the class gives weight to an answer that was made without the call. That weight
// would be lost if the engine failed the attempt.
#[test]
fn a_run_continues_without_a_failed_call_if_its_class_has_a_skipped_call_weight() {
    for (end, is_skipped) in [
        (CallOutcome::Overloaded, true),
        (CallOutcome::TimedOut, true),
        (CallOutcome::Broken, true),
        (CallOutcome::Failed, true),
        (CallOutcome::Unreachable, true),
        (CallOutcome::Succeeded, false),
    ] {
        let mut harness = Harness::with(|s| s.classes[PURE].skipped_call_weight = 0.3);
        harness.admit(1, PURE, 0);
        harness.on_event(EngineEvent::CallRequested(id(1)));
        let commands = harness.on_event(EngineEvent::CallEnded(id(1), end, Micros(900)));
        assert_eq!(commands.contains(&EngineCommand::SkipCall(id(1))), is_skipped, "{end:?}: {commands:?}");
        assert!(!commands.iter().any(|v| matches!(v, EngineCommand::Fail { .. })), "{end:?}: {commands:?}");
        // A reply that arrives after the call has ended has no effect.
        assert_eq!(harness.on_event(EngineEvent::CallEnded(id(1), CallOutcome::Succeeded, Micros(950))), []);
        let served = harness.on_event(EngineEvent::RunEnded(id(1), RunOutcome::Succeeded(result())));
        assert_eq!(served, [EngineCommand::Serve(id(1), result()), EngineCommand::Forget(id(1))]);
    }
    // If the backend cannot skip the call, the attempt fails at once, and only once.
    let mut harness = Harness::with(|s| s.classes[PURE].skipped_call_weight = 0.3);
    harness.admit(1, PURE, 0);
    harness.on_event(EngineEvent::CallRequested(id(1)));
    harness.on_event(EngineEvent::CallEnded(id(1), CallOutcome::Overloaded, Micros(900)));
    let commands = harness.on_event(EngineEvent::CallNotSkippable(id(1)));
    assert!(matches!(commands[0], EngineCommand::Fail { id: RequestId(1), .. }), "{commands:?}");
    assert_eq!(harness.on_event(EngineEvent::CallNotSkippable(id(1))), []);
    assert_eq!(
        harness.on_event(EngineEvent::RunEnded(id(1), RunOutcome::Cancelled)),
        [EngineCommand::Forget(id(1))]
    );
}

/// The times between successive requests for gauges during 400 ms, in ms. `answers` states whether the
/// requests are answered.
fn gauge_request_gaps(answers: bool) -> Vec<u64> {
    let mut harness = Harness::new();
    harness.admit(1, PURE, 0);
    let mut requested_at = Vec::new();
    for _ in 0..400 {
        harness.now = harness.now.plus(Micros::millis(1));
        let mut commands = Vec::new();
        harness.engine.on_timer(harness.moment(), &mut commands);
        if commands.contains(&EngineCommand::ReadGauges) {
            requested_at.push(harness.now.0 / 1000);
            if answers {
                harness.on_event(EngineEvent::GaugesRead(Gauges::default()));
            }
        }
    }
    requested_at.windows(2).map(|pair| pair[1] - pair[0]).collect()
}

// The kernel stalls and does not answer requests for gauges. If timers waited for the gauges without a limit,
// no deadline would be checked and all answers would be late.
#[test]
fn a_due_timer_fires_without_gauges_if_they_do_not_arrive_within_30_ms() {
    let gaps = gauge_request_gaps(true);
    assert!(
        gaps.len() > 10 && gaps.iter().all(|gap| *gap < 30),
        "gauge requests answered: gaps of {gaps:?} ms"
    );
    let gaps = gauge_request_gaps(false);
    assert!(
        gaps.len() > 5 && gaps.iter().all(|gap| (30..60).contains(gap)),
        "gauge requests unanswered: gaps of {gaps:?} ms"
    );
}

// The link to the kernel is down, so no gauges can be requested. Deadlines must still be checked.
#[test]
fn timers_fire_without_gauges_while_the_backend_link_is_down() {
    let mut harness = Harness::new();
    harness.admit(1, PURE, 0);
    harness.on_event(EngineEvent::BackendLink(false));
    let mut commands = Vec::new();
    for _ in 0..1100 {
        harness.now = harness.now.plus(Micros::millis(1));
        harness.engine.on_timer(harness.moment(), &mut commands);
    }
    assert!(!commands.contains(&EngineCommand::ReadGauges), "{commands:?}");
    let is_failed = |command: &EngineCommand| matches!(command, EngineCommand::Fail { id: RequestId(1), .. });
    assert!(commands.iter().any(is_failed), "{commands:?}");
}

// The clocks of two machines differ by some milliseconds, and a retry arrives just after the end of the
// window on this machine's clock. Without a margin the request would run again, although the window is still
// open on the caller's clock.
#[test]
fn a_key_outlives_its_window_by_a_margin_of_100_ms() {
    let mut harness = Harness::new();
    assert_eq!(harness.admit(1, KEYED, 0), [EngineCommand::Run(id(1))]);
    harness.on_event(EngineEvent::RunEnded(id(1), RunOutcome::Succeeded(result())));
    // The window is 5 s, so this time is 8 ms before the end of the margin.
    harness.advance(5_092);
    assert_eq!(harness.admit(2, KEYED, 0)[0], EngineCommand::Replay(id(2), result()));
    harness.advance(8);
    assert_eq!(harness.admit(3, KEYED, 0), [EngineCommand::Run(id(3))]);
}

/// The entries of the engine's snapshot, as the hand-over link carries it.
fn snapshot_map(harness: &Harness) -> Vec<(Value, Value)> {
    let mut bytes = Vec::new();
    ciborium::into_writer(&harness.engine.snapshot(), &mut bytes).expect("the snapshot is encoded as CBOR");
    let snapshot: Value = ciborium::from_reader(&bytes[..]).expect("the encoded snapshot is decoded");
    snapshot.into_map().expect("the snapshot is a map")
}

// A defect of the controller loses an attempt, so its caller would wait for ever. The engine must fail such
// an attempt exactly once, at most 20 ms after its due time.
#[test]
fn an_attempt_that_is_unknown_to_the_controller_fails_within_20_ms_of_its_due_time() {
    let mut harness = Harness::new();
    harness.admit(1, PURE, 0);
    let due = harness.now.plus(Micros::millis(3_000));
    // Combines the snapshot of this engine with a controller that does not know the attempt.
    let fresh = snapshot_map(&Harness::new());
    let is_controller = |entry: &&(Value, Value)| entry.0.as_text() == Some("controller");
    let controller = fresh.iter().find(is_controller).expect("the snapshot has a controller").clone();
    let mut snapshot = snapshot_map(&harness);
    snapshot.retain(|entry| !is_controller(&entry));
    snapshot.push(controller);
    let snapshot = Value::Map(snapshot).deserialized().expect("the map is decoded as an engine snapshot");
    harness.engine.restore(snapshot);
    let mut failed_at = Vec::new();
    for _ in 0..4_000 {
        let commands = harness.advance(4);
        let is_failed =
            |command: &EngineCommand| matches!(command, EngineCommand::Fail { id: RequestId(1), .. });
        failed_at.extend(commands.iter().filter(|command| is_failed(command)).map(|_| harness.now));
    }
    assert_eq!(failed_at.len(), 1, "times of failure answers: {failed_at:?}");
    let late = failed_at[0].since(due);
    assert!(
        failed_at[0] >= due && (16..=24).contains(&(late.0 / 1000)),
        "failed {late:?} after the due time"
    );
}
