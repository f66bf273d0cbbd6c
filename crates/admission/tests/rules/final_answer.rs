//! Tests of the rules for the final answers that the controller itself gives, and for the runs of these
//! requests.

use crate::common::{Host, request, settings};
use crate::{id, is_rejected};
use gaugestand_admission::*;

// A run hangs. The caller must get an answer by the deadline, whether or not the run ends.
#[test]
fn a_running_request_is_answered_by_its_deadline() {
    for preemption in [Preemption::Never, Preemption::Discard, Preemption::Freeze] {
        for class in 0..3 {
            let mut config = settings();
            config.preemption = preemption;
            let mut host = Host::new(config);
            assert!(host.arrive(request(1, class)).contains(&Action::Run(id(1))));
            host.advance(3060);
            host.assert_none_overdue();
            assert_eq!(host.seen[&id(1)].answers, 1, "{preemption:?} class {class}");
        }
    }
}

// A caller has stopped waiting. A run for this caller would be useless, and a queued request of this caller
// would take a place in the queue.
#[test]
fn a_caller_that_is_gone_is_not_served() {
    let mut host = Host::new(settings());
    for n in 1..=3 {
        host.arrive(request(n, 0));
    }
    let actions = host.step(vec![Event::CallerGone(id(1)), Event::CallerGone(id(3))]);
    assert!(actions.contains(&Action::Preempt(id(1))), "the run of a caller that is gone must be stopped");
    let actions = host.step(vec![Event::RunEnded(id(1), Outcome::Cancelled)]);
    assert!(!actions.contains(&Action::Run(id(3))) && !host.advance(50).contains(&Action::Run(id(3))));
}

// A run with an effect is stopped. A second run could repeat the effect, and a rejection would invite a
// retry.
#[test]
fn a_stopped_run_with_an_effect_is_neither_repeated_nor_rejected() {
    let mut host = Host::new(settings());
    host.arrive(request(1, 2));
    host.advance(3000);
    host.step(vec![Event::RunEnded(id(1), Outcome::Cancelled)]);
    host.advance(500);
    assert_eq!((host.seen[&id(1)].runs, host.seen[&id(1)].is_rejected), (1, false));
    host.assert_none_overdue();
}

// A run hangs and cannot be stopped. Its caller can still go elsewhere if it gets an answer at the objective.
#[test]
fn a_run_that_cannot_be_stopped_is_answered_at_its_objective() {
    let mut config = settings();
    config.preemption = Preemption::Never;
    let mut host = Host::new(config);
    assert!(host.arrive(request(1, 0)).contains(&Action::Run(id(1))));
    let answered =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)));
    assert!(!answered(&host.advance(960)));
    assert!(answered(&host.advance(60)));
}

// A repeat waits for a run that hangs. The repeat has an objective of its own, and the effect of the run may
// have happened.
#[test]
fn a_repeat_that_waits_for_another_run_is_answered_at_its_objective() {
    let mut host = Host::new(settings());
    host.arrive(request(1, 1));
    let mut arrival = request(2, 1);
    arrival.original = Some(id(1));
    assert!(host.arrive(arrival).contains(&Action::Coalesce(id(2))));
    assert!(host.advance(1020).contains(&Action::Fail(id(2))));
}

// A read misses its objective while another caller waits for its result. Stopping the read would fail both
// callers.
#[test]
fn a_read_that_others_wait_for_is_not_stopped_when_it_misses_its_objective() {
    for has_waiters in [false, true] {
        let mut config = settings();
        config.cache_ttl = Span::millis(600);
        let mut host = Host::new(config);
        let mut arrival = request(1, 0);
        arrival.resource_key = Some(7);
        assert!(host.arrive(arrival.clone()).contains(&Action::Run(id(1))));
        host.advance(500);
        if has_waiters {
            let repeat = Request { id: id(2), original: Some(id(1)), ..arrival };
            assert!(host.arrive(repeat).contains(&Action::Coalesce(id(2))));
        }
        let actions = host.advance(520);
        assert!(is_rejected(&actions, 1));
        assert_eq!(actions.contains(&Action::Preempt(id(1))), !has_waiters);
    }
}
