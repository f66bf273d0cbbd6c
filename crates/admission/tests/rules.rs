//! The four rules, branch by branch, and each failure found, through the public interface.
mod common;

use common::{Host, request, settings};
use gaugestand_admission::*;

fn id(n: u128) -> RequestId {
    RequestId(n)
}

fn refused(out: &[Action], n: u128) -> bool {
    out.iter().any(|a| matches!(a, Action::Reject { id, .. } if *id == RequestId(n)))
}

#[test]
fn a_running_request_is_answered_by_its_due_time() {
    for halt in [Preemption::Never, Preemption::Discard, Preemption::Freeze] {
        for class in 0..3 {
            let mut s = settings();
            s.preemption = halt;
            let mut h = Host::new(s);
            assert!(h.arrive(request(1, class)).contains(&Action::Run(id(1))));
            h.pass(3060);
            h.check_due();
            assert_eq!(h.seen[&id(1)].answers, 1, "{halt:?} class {class}");
        }
    }
}

#[test]
fn a_held_request_is_refused_when_it_cannot_make_its_time() {
    let mut h = Host::new(settings());
    for n in 1..=6 {
        h.arrive(request(n, 0));
    }
    assert_eq!(h.on_cores(), 2, "the cap starts at the core count");
    h.pass(3100);
    h.check_due();
    assert!(h.seen[&id(6)].refused);
}

#[test]
fn a_deadline_told_in_the_request_counts() {
    let mut h = Host::new(settings());
    let mut r = request(1, 0);
    r.deadline = Some(h.now + Span::millis(300));
    h.arrive(r);
    h.pass(365);
    h.check_due();
}

#[test]
fn a_request_read_after_its_due_time_is_answered_at_once() {
    let mut h = Host::new(settings());
    let mut r = request(1, 0);
    r.read_delay = Span::millis(4000);
    assert!(refused(&h.arrive(r), 1));
}

#[test]
fn a_caller_that_left_is_not_served() {
    let mut h = Host::new(settings());
    for n in 1..=3 {
        h.arrive(request(n, 0));
    }
    let out = h.step(vec![Event::CallerGone(id(1)), Event::CallerGone(id(3))]);
    assert!(out.contains(&Action::Preempt(id(1))), "work for nobody is stopped");
    let out = h.step(vec![Event::RunEnded(id(1), Outcome::Cancelled)]);
    assert!(!out.contains(&Action::Run(id(3))) && !h.pass(50).contains(&Action::Run(id(3))));
}

#[test]
fn a_keyed_repeat_is_answered_from_the_first_run() {
    let mut h = Host::new(settings());
    let mut repeat = request(2, 1);
    repeat.original = Some(id(1));
    let out = h.step(vec![Event::Request(request(1, 1)), Event::Request(repeat)]);
    assert!(
        out.iter().any(|a| matches!(a, Action::Remember(k, w) if *k == id(1) && *w >= Span::millis(5000)))
    );
    assert!(out.contains(&Action::Run(id(1))) && out.contains(&Action::Coalesce(id(2))));
    h.step(vec![Event::RunEnded(id(1), Outcome::Ok), Event::RunEnded(id(2), Outcome::Ok)]);
    let mut late = request(3, 1);
    late.original = Some(id(1));
    let out = h.arrive(late);
    assert!(out.contains(&Action::Coalesce(id(3))) && !out.contains(&Action::Run(id(3))));
}

#[test]
fn a_discarded_effect_is_neither_run_again_nor_refused() {
    let mut h = Host::new(settings());
    h.arrive(request(1, 2));
    h.pass(3000);
    h.step(vec![Event::RunEnded(id(1), Outcome::Cancelled)]);
    h.pass(500);
    assert_eq!((h.seen[&id(1)].runs, h.seen[&id(1)].refused), (1, false));
    h.check_due();
}

#[test]
fn an_effectful_call_is_repeated_only_after_proof_that_it_never_ran() {
    for (outcome, again) in [
        (Outcome::Overloaded, true),
        (Outcome::Unreachable, true),
        (Outcome::Error, false),
        (Outcome::TimedOut, false),
        (Outcome::Reset, false),
    ] {
        let mut h = Host::new(settings());
        h.arrive(request(1, 2));
        h.step(vec![Event::CallRequested(id(1))]);
        let mut out = h.step(vec![Event::CallEnded(id(1), outcome, Span::millis(10))]);
        // The repeat follows a pause.
        out.extend(h.pass(50));
        assert_eq!(out.iter().any(|a| matches!(a, Action::Call(..))), again, "{outcome:?}");
    }
}

#[test]
fn a_drain_runs_nothing_late_and_answers_everything_before_the_stop() {
    let mut h = Host::new(settings());
    for n in 1..=5 {
        h.arrive(request(n, (n % 3) as usize));
    }
    let stop = h.now + Span::millis(1500);
    let out = h.step(vec![Event::Drain(stop)]);
    assert!(out.iter().any(|a| matches!(a, Action::Health { good: false, .. })));
    h.pass(1100);
    let out = h.arrive(request(9, 0));
    assert!(refused(&out, 9));
    h.pass(390);
    assert!(h.seen.values().all(|e| e.answers == 1), "unanswered at the stop");
}

#[test]
fn memory_is_never_overrun_by_arrivals_or_runs() {
    let mut s = settings();
    s.memory_kb = 1000.0;
    let mut h = Host::new(s);
    for n in 1..=200 {
        h.arrive(request(n, 0));
        let kb: f64 = h
            .seen
            .values()
            .map(|e| match (e.on_cores, e.answers) {
                (true, _) => 160.0,
                (false, 0) => 20.0,
                _ => 0.0,
            })
            .sum();
        assert!(kb <= 1000.0, "{kb} kB after {n}");
    }
}

#[test]
fn the_crowd_on_the_cores_stays_below_what_the_worker_survives_even_cold() {
    let mut s = settings();
    s.cold = true;
    s.warmup_duration = Span::millis(600_000);
    s.classes[0].latency_objective = Span::millis(20_000);
    s.classes[0].deadline = Span::millis(60_000);
    s.memory_kb = 1e6;
    let mut h = Host::new(s.clone());
    h.gauges.cpu_busy = Some(0.1);
    h.gauges.runnable = Some(0.0);
    let survives = f64::from(s.cores) * (1.0 + (s.survivable_runs_per_core - 1.0) * s.cold_speed_share);
    for n in 1..=2000 {
        h.arrive(request(n, 0));
        h.pass(20);
        assert!((h.on_cores() as f64) < survives, "{} on the cores", h.on_cores());
    }
}

#[test]
fn calls_stay_under_a_share_below_one() {
    let mut s = settings();
    s.downstream = Downstream::Shared;
    s.outbound_call_limit = 0.4;
    let mut h = Host::new(s);
    let (mut held, mut n, mut ms) = (0u64, 0, 0u64);
    for _ in 0..400 {
        n += 1;
        let mut events = vec![Event::Request(request(n, 0))];
        for (k, e) in &h.seen {
            if e.on_cores && e.answers == 0 {
                events.push(Event::CallRequested(*k));
            }
        }
        let out: Vec<u64> = h.seen.values().filter(|e| e.call_out).map(|_| 50).collect();
        held += out.iter().sum::<u64>();
        let ended: Vec<RequestId> = h.seen.iter().filter(|(_, e)| e.call_out).map(|(k, _)| *k).collect();
        events.extend(ended.iter().map(|k| Event::CallEnded(*k, Outcome::Ok, Span::millis(50))));
        h.step(events);
        h.pass(50);
        ms += 50;
    }
    assert!(held > 0, "some calls are made");
    assert!((held as f64 / ms as f64) < 0.4, "{held} of {ms} ms");
}

#[test]
fn over_cap_arrivals_are_refused_at_once_while_the_gauge_reads_busy() {
    let mut h = Host::new(settings());
    h.gauges.cpu_busy = Some(1.0);
    h.gauges.runnable = Some(4.0);
    h.step(vec![]);
    h.pass(40);
    let mut out = vec![];
    for n in 1..=30 {
        out.extend(h.arrive(request(n, 0)));
    }
    let refusals = out.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert!(refusals >= 24, "{refusals} refused");
    let advised = |a: &Action| match a {
        Action::Reject { retry_after, .. } => retry_after.0 > 0,
        _ => true,
    };
    assert!(out.iter().all(advised));
}

#[test]
fn a_worthy_arrival_takes_the_place_of_a_less_worthy_held_one() {
    let mut s = settings();
    s.classes[2].priority_weight = 10.0;
    let mut h = Host::new(s);
    h.gauges.cpu_busy = Some(1.0);
    h.step(vec![]);
    h.pass(40);
    for n in 1..=10 {
        h.arrive(request(n, 0));
    }
    let out = h.arrive(request(99, 2));
    assert!(!refused(&out, 99) && out.iter().any(|a| matches!(a, Action::Reject { .. })));
}

#[test]
fn small_hints_do_not_make_everything_look_hopeless() {
    let mut h = Host::new(settings());
    for n in 1..=60 {
        let mut r = request(n, 0);
        r.work_hint = Some(if n % 4 == 0 { Span::millis(1) } else { Span::millis(200) });
        h.arrive(r);
        h.pass(100);
        h.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    let mut big = request(100, 0);
    big.work_hint = Some(Span::millis(300));
    h.arrive(request(99, 0));
    assert!(h.arrive(big).contains(&Action::Run(id(100))));
}

#[test]
fn slow_cores_are_noticed_though_no_run_ends() {
    let mut h = Host::new(settings());
    for n in 1..=20 {
        h.arrive(request(n, 0));
        h.pass(100);
        h.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    for n in 21..=60 {
        h.arrive(request(n, 0));
        h.pass(100);
    }
    let mut last = request(99, 0);
    last.read_delay = Span::millis(300);
    assert!(refused(&h.arrive(last), 99));
}

/// Guards against taking the time in which nothing ran for a hang: the first requests after a start or a pause
/// were refused, and their callers sent away for a second, as soon as the cores were full.
#[test]
fn silence_is_a_sign_of_a_hang_only_while_there_is_work() {
    let mut h = Host::new(settings());
    h.step(vec![]);
    h.pass(5000);
    let mut out = vec![];
    for n in 1..=3 {
        out.extend(h.arrive(request(n, 0)));
    }
    out.extend(h.pass(100));
    let ill = |a: &Action| matches!(a, Action::Reject { .. } | Action::Health { good: false, .. });
    assert!(!out.iter().any(ill), "{out:?}");
    assert!(h.pass(900).contains(&Action::Health { good: false, shallow: true }), "now it hangs");
    assert!(refused(&h.arrive(request(4, 0)), 4));
}

#[test]
fn unread_backlog_closes_the_floor_and_one_prompt_read_opens_it() {
    let mut s = settings();
    s.backpressure_signal = BackpressureSignal::Floor;
    let mut h = Host::new(s);
    h.step(vec![]);
    let mut said = vec![];
    for n in 1..=20 {
        let mut r = request(n, 0);
        r.read_delay = Span::millis(700);
        h.arrive(r);
        said.extend(h.pass(20));
    }
    assert!(said.contains(&Action::AnnounceCapacity(1.0)));
    h.arrive(request(50, 0));
    let said = h.pass(200);
    assert!(said.iter().any(|a| matches!(a, Action::AnnounceCapacity(x) if *x < 0.5)));
}

#[test]
fn over_share_traffic_goes_first() {
    let mut s = settings();
    let tenant = |q| Tenant { quota_per_s: q, share: 0.5 };
    s.tenants = vec![tenant(4.0), tenant(40.0)];
    let mut h = beyond_its_share(s);
    let mut small = request(99, 0);
    small.tenant = 1;
    assert!(!refused(&h.arrive(small), 99));
}

/// Busy, with what tenant 0 saved up spent and its further requests running and in line.
fn beyond_its_share(s: Settings) -> Host {
    let mut h = Host::new(s);
    h.gauges.cpu_busy = Some(1.0);
    h.step(vec![]);
    h.pass(40);
    for n in 1..=12 {
        h.arrive(request(n, 0));
        h.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    for n in 13..=20 {
        h.arrive(request(n, 0));
    }
    h
}

#[test]
fn nonsense_gauges_and_unknown_ids_are_survived() {
    let mut h = Host::new(settings());
    h.gauges =
        Gauges { cpu_busy: Some(f64::NAN), runnable: Some(-5.0), mem_used: None, sockets: Some(1e300) };
    h.arrive(request(1, 0));
    h.pass(200);
    let mut out = vec![];
    let events = [
        Event::CallerGone(id(77)),
        Event::RunEnded(id(78), Outcome::Ok),
        Event::CallRequested(id(79)),
        Event::CallEnded(id(80), Outcome::Reset, Span(1)),
    ];
    h.controller.step(h.now, &events, &mut out);
    assert!(out.is_empty());
}

#[test]
fn extreme_settings_serve_what_there_is_room_for() {
    type Extreme = (&'static str, fn(&mut Settings));
    let extremes: [Extreme; 6] = [
        ("a thousand callers", |s| s.callers = 1000),
        ("no caller told", |s| s.callers = 0),
        ("one core", |s| s.cores = 1),
        ("a fleet of one", |s| s.cluster_size = 1),
        ("a tenth of a call", |s| (s.downstream, s.outbound_call_limit) = (Downstream::Shared, 0.1)),
        ("no quota", |s| s.tenants = vec![Tenant { quota_per_s: 0.0, share: 0.0 }]),
    ];
    for (name, set) in extremes {
        let mut s = settings();
        set(&mut s);
        let mut h = Host::new(s);
        h.gauges = Gauges { cpu_busy: Some(0.1), runnable: Some(0.0), ..Gauges::default() };
        for n in 1..=30 {
            assert!(h.arrive(request(n, 0)).contains(&Action::Run(id(n))), "{name}: {n} is begun at once");
            h.pass(100);
            h.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
        }
        h.arrive(request(99, 0));
        let out = h.step(vec![Event::CallRequested(id(99))]);
        assert!(out.iter().any(|a| matches!(a, Action::Call(..))), "{name}: a first call is made");
    }
}

#[test]
fn settings_that_make_no_sense_are_named() {
    let error = |break_settings: fn(&mut Settings)| {
        let mut settings = settings();
        break_settings(&mut settings);
        Controller::new(settings, 1).expect_err("unsound")
    };
    let cases: [(SettingsError, &str); 5] = [
        (error(|s| s.cores = 0), "setting cores: must be at least 1"),
        (error(|s| s.classes.clear()), "setting classes: must not be empty"),
        (error(|s| s.tick = Span(0)), "setting tick: must be above 0"),
        (
            error(|s| s.classes[1].latency_objective = Span(0)),
            "setting classes.1: aim and deadline must be above 0",
        ),
        (error(|s| s.classes[2].deadline = Span(0)), "setting classes.2: aim and deadline must be above 0"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

/// A dependency that has become slow, with many runs standing at calls.
fn choked(calls_of_class_2: bool) -> Host {
    let mut s = settings();
    s.downstream = Downstream::Shared;
    s.outbound_call_limit = 1.0;
    s.cores = 8;
    s.classes[2].calls = calls_of_class_2;
    let mut h = Host::new(s);
    for n in 1..=7 {
        h.arrive(request(n, 0));
    }
    h.step(vec![Event::CallRequested(id(1))]);
    h.step(vec![Event::CallEnded(id(1), Outcome::Ok, Span::millis(400))]);
    h.step((1..=7).map(|n| Event::CallRequested(id(n))).collect());
    h.arrive(request(8, 2));
    h
}

#[test]
fn what_could_not_make_its_call_in_time_is_refused_before_it_runs() {
    let mut h = choked(true);
    assert!(refused(&h.arrive(request(9, 0)), 9));
    assert_eq!(h.seen[&id(9)].runs, 0);
}

#[test]
fn a_choked_dependency_leaves_the_cores_to_classes_that_do_not_call() {
    let h = choked(false);
    assert_eq!(h.seen[&id(8)].runs, 1);
}

#[test]
fn advice_is_short_for_a_few_refusals_and_long_in_a_wave() {
    let longest = |every: u128| {
        let mut h = Host::new(settings());
        h.gauges.cpu_busy = Some(1.0);
        h.gauges.runnable = Some(4.0);
        let mut longest = 0;
        for n in 1..=400 {
            let mut out = h.arrive(request(n, 0));
            out.extend(h.pass(10));
            if n % every == 0 {
                let ended: Vec<Event> = h
                    .seen
                    .iter()
                    .filter(|(_, e)| e.on_cores)
                    .map(|(k, _)| Event::RunEnded(*k, Outcome::Ok))
                    .collect();
                out.extend(h.step(ended));
            }
            for a in &out {
                if let Action::Reject { retry_after, .. } = a {
                    longest = longest.max(retry_after.0);
                }
            }
        }
        Span(longest)
    };
    assert!(longest(20) > Span::millis(300), "{:?}", longest(20));
    assert!(longest(3) < Span::millis(300), "{:?}", longest(3));
}

/// The last idle limit said while `callers` send ten requests a second, each unread for `unread` ms.
fn idle_limit(callers: u32, unread: u64) -> Option<Span> {
    let mut s = settings();
    s.callers = callers;
    let mut h = Host::new(s);
    let mut said = None;
    for n in 1..=100 {
        let mut r = request(n, 0);
        r.read_delay = Span::millis(unread);
        h.arrive(r);
        for a in h.pass(100) {
            if let Action::SetIdleTimeout(span) = a {
                said = Some(span);
            }
        }
        h.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    said
}

#[test]
fn connections_seldom_used_again_are_closed_early_but_kept_while_reading_lags() {
    assert!(idle_limit(1000, 0).is_some_and(|t| t < Span::millis(3000)), "most will not be used again");
    assert_eq!(idle_limit(1000, 200), Some(Span::millis(30000)), "reading lags");
    assert_eq!(idle_limit(4, 0), Some(Span::millis(30000)), "a few callers come back");
}

#[test]
fn scatter_within_a_small_quota_is_not_taken_for_excess() {
    let mut s = settings();
    s.cluster_size = 300;
    s.tenants = vec![Tenant { quota_per_s: 300.0, share: 0.7 }, Tenant { quota_per_s: 150.0, share: 0.3 }];
    let mut h = beyond_its_share(s);
    let small = |n| Request { tenant: 1, ..request(n, 0) };
    let out = h.step((21..=23).map(|n| Event::Request(small(n))).collect());
    assert!(!(21..=23).any(|n| refused(&out, n)), "three at once, half a request a second");
}

#[test]
fn a_keyed_repeat_read_just_before_the_stop_is_answered() {
    let mut h = Host::new(settings());
    h.arrive(request(1, 1));
    h.step(vec![Event::Drain(h.now + Span::millis(500))]);
    h.pass(490);
    h.arrive(Request { original: Some(id(1)), ..request(2, 1) });
    assert_eq!(h.seen[&id(2)].answers, 1);
}

#[test]
fn a_tenant_served_beyond_its_share_stands_back_for_a_while() {
    let mut s = settings();
    s.tenants = vec![Tenant { quota_per_s: 4.0, share: 0.7 }, Tenant { quota_per_s: 400.0, share: 0.3 }];
    let mut h = Host::new(s);
    h.step(vec![]);
    for n in 1..=13 {
        h.arrive(request(n, 0));
        h.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    h.gauges.cpu_busy = Some(1.0);
    h.pass(1500);
    let other = |n| Request { tenant: 1, ..request(n, 0) };
    h.arrive(other(19));
    h.step(vec![Event::RunEnded(id(19), Outcome::Ok)]);
    h.arrive(other(20));
    h.arrive(other(21));
    h.arrive(request(22, 0));
    for n in 23..=39 {
        h.arrive(other(n));
    }
    let turned_away: Vec<u128> = (20..=39).filter(|n| h.seen[&id(*n)].refused).collect();
    assert_eq!(turned_away, [22], "served three beyond ten saved up, it has only earned half back");
}

#[test]
fn a_run_that_would_overfill_the_memory_waits() {
    let mut s = settings();
    s.memory_kb = 300.0;
    let mut h = Host::new(s);
    h.arrive(request(1, 0));
    h.arrive(request(2, 0));
    assert_eq!(h.on_cores(), 1, "a run takes 160 of 300 kB");
    let out = h.step(vec![Event::RunEnded(id(1), Outcome::Ok)]);
    assert!(out.contains(&Action::Run(id(2))));
}

#[test]
fn a_first_try_takes_the_place_of_a_further_one_of_equal_worth() {
    let mut h = Host::new(settings());
    h.gauges.cpu_busy = Some(1.0);
    h.step(vec![]);
    h.pass(40);
    for n in 1..=10 {
        h.arrive(Request { is_retry: true, ..request(n, 0) });
    }
    assert!(!refused(&h.arrive(request(99, 0)), 99));
}

#[test]
fn a_call_given_up_with_its_request_still_counts_against_the_dependency() {
    let mut s = settings();
    s.downstream = Downstream::Shared;
    s.outbound_call_limit = 1.0;
    let mut h = Host::new(s);
    let calls = |out: &[Action]| out.iter().any(|a| matches!(a, Action::Call(..)));
    h.arrive(request(1, 0));
    h.arrive(request(2, 0));
    assert!(calls(&h.step(vec![Event::CallRequested(id(1))])));
    h.step(vec![Event::CallerGone(id(1)), Event::RunEnded(id(1), Outcome::Cancelled)]);
    assert!(!calls(&h.step(vec![Event::CallRequested(id(2))])), "the first may still be in its hands");
    assert!(calls(&h.pass(250)));
}

#[test]
fn a_few_wait_on_two_busy_cores() {
    let mut h = Host::new(settings());
    h.gauges.cpu_busy = Some(1.0);
    h.gauges.runnable = Some(2.0);
    h.step(vec![]);
    h.pass(40);
    let mut out = vec![];
    for n in 1..=6 {
        out.extend(h.arrive(request(n, 0)));
    }
    assert!(!out.iter().any(|a| matches!(a, Action::Reject { .. })));
}

#[test]
fn a_run_that_would_most_likely_end_late_is_not_begun() {
    let mut h = Host::new(settings());
    for n in 1..=60 {
        h.arrive(request(n, 0));
        h.pass(300);
        h.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    h.arrive(request(97, 0));
    let mut r = request(98, 0);
    r.read_delay = Span::millis(760);
    assert!(refused(&h.arrive(r.clone()), 98), "less than a mean run is left");
    r.id = id(99);
    r.read_delay = Span::millis(200);
    assert!(h.arrive(r).contains(&Action::Run(id(99))));
}

#[test]
fn refusals_ask_not_to_try_elsewhere_unless_rare_or_the_worker_speaks_for_itself_alone() {
    let mut h = Host::new(settings());
    h.gauges.cpu_busy = Some(1.0);
    h.gauges.runnable = Some(4.0);
    h.step(vec![]);
    h.pass(40);
    let asks = |out: &[Action]| -> Vec<bool> {
        let asked = out.iter().map(|a| match a {
            Action::Reject { no_retry_elsewhere, .. } => Some(*no_retry_elsewhere),
            _ => None,
        });
        asked.flatten().collect()
    };
    let mut said = vec![];
    for n in 1..=30 {
        said.extend(asks(&h.arrive(request(n, 0))));
    }
    assert_eq!((said.first(), said.last()), (Some(&false), Some(&true)), "one is bad luck, many are not");
    let out = h.step(vec![Event::Drain(h.now + Span::millis(3000)), Event::Request(request(99, 0))]);
    assert!(asks(&out).iter().all(|a| !a), "others have room while this one leaves");
}

#[test]
fn a_swamped_worker_that_nobody_calls_any_more_comes_back() {
    let mut s = settings();
    s.backpressure_signal = BackpressureSignal::Allowance;
    let mut h = Host::new(s);
    h.gauges.runnable = Some(5.0);
    h.step(vec![]);
    let mut said = vec![];
    for n in 1..=20 {
        let mut r = request(n, 0);
        r.read_delay = Span::millis(900);
        said.extend(h.arrive(r));
        said.extend(h.pass(20));
    }
    let off = Action::Health { good: false, shallow: true };
    assert!(said.contains(&off) && said.contains(&Action::AnnounceCapacity(0.0)));
    h.gauges.runnable = Some(0.0);
    let said = h.pass(1000);
    assert!(said.contains(&Action::Health { good: true, shallow: true }));
    assert!(said.iter().any(|a| matches!(a, Action::AnnounceCapacity(x) if *x > 0.5)));
}

/// Whether a worker that reads everything 0.9 s late goes off a list that follows health, at this quota; then
/// whether it does on a drain.
fn leaves_the_list(quota_per_s: f64) -> (bool, bool) {
    let mut s = settings();
    s.list_follows_health = true;
    s.tenants = vec![Tenant { quota_per_s, share: 1.0 }];
    let mut h = Host::new(s);
    h.gauges.runnable = Some(5.0);
    let off = Action::Health { good: false, shallow: true };
    let mut said = vec![];
    for n in 1..=40 {
        let mut r = request(n, 0);
        r.read_delay = Span::millis(900);
        said.extend(h.arrive(r));
        said.extend(h.pass(50));
    }
    let stop = h.now + Span::millis(5000);
    (said.contains(&off), h.step(vec![Event::Drain(stop)]).contains(&off))
}

#[test]
fn in_a_wave_a_swamped_worker_stays_on_a_list_that_follows_health() {
    assert_eq!(leaves_the_list(20.0), (false, true), "four workers of 20 a second each, quota 20");
}

#[test]
fn a_worker_swamped_by_less_than_its_part_of_the_quotas_leaves_a_list_that_follows_health() {
    assert!(leaves_the_list(200.0).0);
}

#[test]
fn the_last_in_line_is_refused_at_once_where_its_wait_would_miss_its_aim() {
    let mut h = Host::new(settings());
    h.gauges = Gauges { cpu_busy: Some(1.0), runnable: Some(2.0), ..Gauges::default() };
    h.step(vec![]);
    for n in 1..=20 {
        h.arrive(request(n, 0));
        h.pass(600);
        h.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    // Two run, for 0.6 s; of four in line the last would start after more than its aim of a second.
    let turned: Vec<bool> = (21..=26).map(|n| refused(&h.arrive(request(n, 0)), n)).collect();
    assert_eq!(turned, [false, false, false, false, true, true]);
}

/// The lowest allowance announced while each of the callers has one request in hand.
fn allowance(all: u32, senders: u64) -> f64 {
    let mut s = settings();
    s.backpressure_signal = BackpressureSignal::Allowance;
    s.callers = all;
    s.classes[0].latency_objective = Span::millis(10_000);
    s.classes[0].deadline = Span::millis(30_000);
    let mut h = Host::new(s);
    let mut lowest = f64::INFINITY;
    for n in 1..=400 {
        let mut r = request(n, 0);
        r.caller = n as u64 % senders;
        let mut out = h.arrive(r);
        h.gauges.runnable = Some(h.on_cores() as f64);
        out.extend(h.pass(150));
        let running: Vec<RequestId> = h.seen.iter().filter(|(_, e)| e.on_cores).map(|(k, _)| *k).collect();
        out.extend(h.step(running.iter().map(|k| Event::RunEnded(*k, Outcome::Ok)).collect()));
        for a in out {
            if let Action::AnnounceCapacity(x) = a {
                lowest = lowest.min(x);
            }
        }
    }
    lowest
}

#[test]
fn an_allowance_shuts_nobody_out_while_nothing_is_refused_however_many_callers_there_are() {
    for (all, senders) in [(1, 1), (4, 4), (1000, 3), (1000, 400)] {
        let lowest = allowance(all, senders);
        assert!(lowest >= 1.0, "{lowest} for {senders} of {all}");
    }
}

/// Without the room, callers turned away one request in ten that the cores had time for, and one in fifteen
/// that the hold had a place for.
#[test]
fn an_allowance_has_room_for_scatter_while_the_cores_have_time_or_the_hold_has_places() {
    for (busy, held, least, most) in [(0.5, 0, 8.0, 8.0), (1.0, 0, 8.0, 8.0), (1.0, 2, 4.1, 7.0)] {
        let mut h = Host::new(Settings { backpressure_signal: BackpressureSignal::Allowance, ..settings() });
        h.gauges = Gauges { cpu_busy: Some(busy), runnable: Some(2.0), ..Gauges::default() };
        h.pass(20);
        let taken = if held > 0 { held + 2 } else { 0 };
        for n in 1..=taken {
            assert!(!refused(&h.arrive(request(n, 0)), n));
        }
        let mut said = h.pass(150).into_iter().filter_map(|a| match a {
            Action::AnnounceCapacity(x) => Some(x),
            _ => None,
        });
        // Twice the cap, which is the two cores, for the one caller that there may be; and two deviations.
        let last = said.next_back().unwrap_or_default();
        assert!((least..=most).contains(&last), "{last} at {busy} with {held} held");
    }
}

/// Callers hear of the notice late, and who takes its place is not listed yet: until the grace is over what
/// comes is still run, so that nobody need be told to keep it away.
#[test]
fn a_worker_that_leaves_offers_its_room_until_the_grace_is_over() {
    let mut h = Host::new(Settings { backpressure_signal: BackpressureSignal::Allowance, ..settings() });
    h.gauges = Gauges { cpu_busy: Some(0.5), runnable: Some(1.0), ..Gauges::default() };
    h.pass(400);
    let out = h.step(vec![Event::Drain(h.now + Span::millis(4000))]);
    assert!(out.contains(&Action::Health { good: false, shallow: true }));
    let nothing_left = |out: &[Action]| out.contains(&Action::AnnounceCapacity(0.0));
    assert!(!nothing_left(&out) && !nothing_left(&h.pass(800)));
    assert!(h.arrive(request(1, 0)).contains(&Action::Run(id(1))));
    assert!(nothing_left(&h.pass(600)));
}

#[test]
fn a_run_that_cannot_be_stopped_is_answered_at_its_aim() {
    let mut s = settings();
    s.preemption = Preemption::Never;
    let mut h = Host::new(s);
    assert!(h.arrive(request(1, 0)).contains(&Action::Run(id(1))));
    let answered = |out: &[Action]| out.iter().any(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)));
    assert!(!answered(&h.pass(960)));
    assert!(answered(&h.pass(60)));
}

#[test]
fn a_repeat_that_waits_for_another_run_is_answered_at_its_aim() {
    let mut h = Host::new(settings());
    h.arrive(request(1, 1));
    let mut r = request(2, 1);
    r.original = Some(id(1));
    assert!(h.arrive(r).contains(&Action::Coalesce(id(2))));
    assert!(h.pass(1020).contains(&Action::Fail(id(2))));
}

#[test]
fn late_worth_keeps_a_request_only_while_cores_are_free() {
    for (busy, kept) in [(0.2, true), (1.0, false)] {
        let mut s = settings();
        s.classes[0].late_weight = 0.2;
        let mut h = Host::new(s);
        h.gauges.cpu_busy = Some(busy);
        h.gauges.runnable = Some(2.0);
        h.step(vec![]);
        h.pass(20);
        for n in 1..=2 {
            h.arrive(request(n, 2));
        }
        h.arrive(request(3, 0));
        h.pass(5);
        let out = h.pass(1100);
        assert_eq!(!refused(&out, 3), kept, "at {busy} busy");
    }
}

#[test]
fn an_idle_core_starts_a_held_request_while_runs_wait_for_disk() {
    let mut h = Host::new(settings());
    h.gauges.runnable = Some(2.0);
    for n in 1..=3 {
        h.arrive(request(n, 0));
    }
    h.pass(20);
    assert_eq!(h.on_cores(), 2);
    h.gauges.runnable = Some(0.0);
    h.pass(25);
    assert_eq!(h.on_cores(), 3);
}

/// The highest mean of calls in hand over any window, as a share of what the dependency survives, when calls
/// are quick for a while and then each hangs until it is given up, and a while longer.
fn highest_call_load(share: f64) -> (f64, usize) {
    let mut s = settings();
    (s.downstream, s.outbound_call_limit) = (Downstream::Shared, share);
    s.classes[0].latency_objective = Span::millis(3000);
    s.classes[0].deadline = Span::millis(9000);
    let (window, lingers) = (s.call_window, s.abandoned_call_duration);
    let mut h = Host::new(s);
    h.gauges = Gauges { cpu_busy: Some(0.1), runnable: Some(0.0), ..Gauges::default() };
    let (mut out, mut gone): (Vec<(RequestId, Time, Time)>, Vec<Time>) = (vec![], vec![]);
    let (mut load, mut highest, mut calls) = (std::collections::VecDeque::new(), 0.0f64, 0);
    for n in 1..=6000u128 {
        h.now = h.now + Span::millis(5);
        let quick = n < 2000;
        let mut events: Vec<Event> = h
            .seen
            .iter()
            .filter(|(_, e)| e.on_cores && e.last_call.is_none())
            .map(|(k, _)| Event::CallRequested(*k))
            .collect();
        let now = h.now;
        for (id, began, until) in out.extract_if(.., |c| c.2 <= now || quick && c.1 + Span::millis(20) <= now)
        {
            let outcome = if until <= now { Outcome::TimedOut } else { Outcome::Ok };
            if outcome == Outcome::TimedOut {
                gone.push(now + lingers);
            }
            if h.seen[&id].answers == 0 {
                events.push(Event::CallEnded(id, outcome, now - began));
            }
        }
        let ended: Vec<RequestId> = h
            .seen
            .iter()
            .filter(|(_, e)| e.on_cores && e.last_call == Some(Outcome::Ok))
            .map(|(k, _)| *k)
            .collect();
        events.extend(ended.iter().map(|k| Event::RunEnded(*k, Outcome::Ok)));
        if n % 20 == 0 {
            events.push(Event::Request(request(n, 0)));
        }
        for a in h.step(events) {
            if let Action::Call(id, until) = a {
                out.push((id, now, until));
                calls += 1;
            }
        }
        gone.retain(|t| *t > now);
        load.push_back(out.len() + gone.len());
        if load.len() as f64 * 0.005 > window.secs() {
            load.pop_front();
        }
        highest = highest.max(load.iter().sum::<usize>() as f64 * 0.005 / window.secs() / share);
        if n % 500 == 0 {
            h.seen.retain(|_, e| e.answers == 0);
        }
    }
    (highest, calls)
}

#[test]
fn the_dependency_never_gets_more_than_the_share_even_when_every_call_hangs() {
    for share in [0.15, 0.3, 0.6, 1.0, 3.0] {
        let (highest, calls) = highest_call_load(share);
        assert!(highest < 1.0, "{highest} of a share of {share}");
        assert!(calls > 20, "{calls} calls at a share of {share}");
    }
}

#[test]
fn the_wait_for_a_call_counts_with_the_mean_that_is_allowed_not_the_most_at_once() {
    let mut s = settings();
    (s.downstream, s.outbound_call_limit) = (Downstream::Shared, 0.5);
    s.preemption = Preemption::Never;
    s.classes[0].latency_objective = Span::millis(4000);
    s.classes[0].deadline = Span::millis(9000);
    let mut h = Host::new(s);
    h.gauges = Gauges { cpu_busy: Some(0.1), runnable: Some(0.0), ..Gauges::default() };
    for n in 1..=10 {
        h.arrive(request(n, 0));
        h.pass(50);
        h.step(vec![Event::CallRequested(id(n)), Event::CallEnded(id(n), Outcome::Ok, Span::millis(500))]);
        h.step(vec![Event::RunEnded(id(n), Outcome::Ok)]);
    }
    // Three wait; at a quarter of a call in hand, of half a second each, a fourth waits for over six seconds.
    for n in 11..=14 {
        h.arrive(request(n, 0));
        h.step(vec![Event::CallRequested(id(n))]);
    }
    assert!(refused(&h.arrive(request(15, 0)), 15));
}

/// A worker where one answer serves other reads of the same key, both cores taken and a line of four.
fn crowded_with_reads() -> (Host, Request) {
    let mut s = settings();
    s.cache_ttl = Span::millis(600);
    s.callers = 10;
    let mut h = Host::new(s);
    h.gauges = Gauges { cpu_busy: Some(1.0), runnable: Some(4.0), ..Gauges::default() };
    h.step(vec![]);
    h.pass(40);
    for n in 1..=6 {
        let mut r = request(n, 0);
        r.resource_key = Some(n as u64);
        h.arrive(r);
    }
    let mut popular = request(50, 0);
    popular.resource_key = Some(99);
    (h, popular)
}

#[test]
fn a_read_that_many_ask_for_takes_the_place_of_one_that_few_do() {
    let (mut h, mut popular) = crowded_with_reads();
    assert!(refused(&h.arrive(popular.clone()), 50));
    popular.id = id(51);
    assert!(!refused(&h.arrive(popular), 51));
}

#[test]
fn a_read_that_others_wait_for_is_not_stopped_when_its_own_time_is_over() {
    for waited in [false, true] {
        let mut s = settings();
        s.cache_ttl = Span::millis(600);
        let mut h = Host::new(s);
        let mut r = request(1, 0);
        r.resource_key = Some(7);
        assert!(h.arrive(r.clone()).contains(&Action::Run(id(1))));
        h.pass(500);
        if waited {
            (r.id, r.original) = (id(2), Some(id(1)));
            assert!(h.arrive(r).contains(&Action::Coalesce(id(2))));
        }
        let out = h.pass(520);
        assert!(refused(&out, 1));
        assert_eq!(out.contains(&Action::Preempt(id(1))), !waited);
    }
}

#[test]
fn repeats_that_wait_for_a_hung_run_do_not_fill_the_memory() {
    for class in [0, 1] {
        let mut s = settings();
        (s.memory_kb, s.cache_ttl) = (1000.0, Span::millis(600));
        s.classes[class].latency_objective = Span::millis(3000);
        let mut h = Host::new(s);
        let mut first = request(1, class);
        first.resource_key = Some(1);
        assert!(h.arrive(first.clone()).contains(&Action::Run(id(1))));
        for n in 2..=100 {
            (first.id, first.original) = (id(n), Some(id(1)));
            h.arrive(first.clone());
            let open = h.seen.values().filter(|e| e.answers == 0 && !e.on_cores).count();
            assert!(open as f64 * 20.0 + 160.0 <= 1000.0, "{open} wait");
            h.pass(5);
        }
    }
}

#[test]
fn keyed_requests_with_a_long_window_fill_neither_memory_nor_run_unkept() {
    let mut s = settings();
    (s.memory_kb, s.running_memory_factor, s.entry_kb) = (1000.0, 16.0, 10.0);
    s.classes[1].dedup_window = Span::millis(32_000);
    let mut h = Host::new(s);
    let mut kept: Vec<(RequestId, Time)> = vec![];
    let mut runs = 0;
    for n in 1..=600u128 {
        let mut events = vec![];
        for (k, _) in h.seen.iter().filter(|(_, e)| e.on_cores) {
            events.push(Event::RunEnded(*k, if n % 2 == 0 { Outcome::Ok } else { Outcome::Error }));
        }
        // A burst of three, one of them a second try in the same batch.
        for k in 0..3 {
            let mut r = request(10 * n + k, 1);
            r.original = (k == 2).then(|| id(10 * n));
            events.push(Event::Request(r));
        }
        let now = h.now;
        let mut out = h.step(events);
        out.extend(h.pass(100));
        for a in out {
            match a {
                Action::Remember(k, span) => kept.push((k, now + span)),
                Action::Forget(k) => kept.retain(|e| e.0 != k),
                Action::Run(k) => {
                    runs += 1;
                    let entry = kept.iter().find(|e| e.0 == k).expect("nothing runs that is not kept");
                    assert!(entry.1 >= h.seen[&k].reached + Span::millis(32_000), "for its whole window");
                }
                _ => {}
            }
        }
        let open = h.seen.values().filter(|e| e.answers == 0 && !e.on_cores).count();
        let entries = kept.iter().filter(|e| e.1 > h.now).count();
        let kb = open as f64 * 20.0 + h.on_cores() as f64 * 320.0 + entries as f64 * 10.0;
        assert!(kb <= 1000.0, "{kb} kB after {n}");
    }
    assert!(runs > 10, "{runs} runs");
}

/// Without the pause a dependency that answers at once is asked again on every answer: one crash below made
/// thousands of calls in seconds.
#[test]
fn a_call_that_came_to_nothing_is_made_again_after_a_pause_that_grows() {
    let mut host = Host::new(Settings { downstream: Downstream::Tier, ..settings() });
    host.arrive(request(1, 0));
    let mut made = 0;
    let called = |out: Vec<Action>| out.iter().any(|a| matches!(a, Action::Call(RequestId(1), _)));
    let mut waits = called(host.step(vec![Event::CallRequested(RequestId(1))]));
    assert!(waits, "the first call is made at once");
    for _ in 0..100 {
        if std::mem::take(&mut waits) {
            made += 1;
            let refused = Event::CallEnded(RequestId(1), Outcome::Unreachable, Span(0));
            assert!(!called(host.step(vec![refused])), "made again at once");
        }
        waits = called(host.pass(5));
    }
    assert!((4..=10).contains(&made), "{made} calls in half an aim");
}

/// Guards against a reply that never comes: a call that may be made again gave all its time to wait for it.
#[test]
fn a_call_that_may_be_made_again_waits_a_few_mean_calls_and_twice_as_long_the_next_time() {
    let mut host = Host::new(Settings { downstream: Downstream::Tier, ..settings() });
    let wait = |host: &mut Host, event| {
        let now = host.now;
        let until = |a: &Action| match a {
            Action::Call(_, until) => Some(*until - now),
            _ => None,
        };
        host.step(vec![event]).iter().find_map(until).expect("a call is made")
    };
    let (latency_objective, few) = (Span::millis(1000), Span::millis(80));
    host.arrive(request(1, 0));
    assert_eq!(wait(&mut host, Event::CallRequested(id(1))), latency_objective, "nothing is known yet");
    host.step(vec![
        Event::CallEnded(id(1), Outcome::Ok, Span::millis(10)),
        Event::RunEnded(id(1), Outcome::Ok),
    ]);
    host.arrive(request(2, 0));
    assert_eq!(wait(&mut host, Event::CallRequested(id(2))), few);
    host.step(vec![Event::CallEnded(id(2), Outcome::TimedOut, Span::millis(10))]);
    let again = host.pass(40).into_iter().find_map(|a| match a {
        Action::Call(_, until) => Some(until),
        _ => None,
    });
    assert!(again.expect("made again") - host.now > few, "{again:?}");
    host.arrive(request(3, 1));
    assert!(wait(&mut host, Event::CallRequested(id(3))) > few, "a keyed one is made once");
}

/// A tier below whose calls have taken 0.6 s of late, and a run that stands at one that is out.
fn slow_below() -> Host {
    let mut s = settings();
    (s.downstream, s.cores) = (Downstream::Tier, 8);
    let mut h = Host::new(s);
    h.arrive(request(1, 1));
    h.step(vec![Event::CallRequested(id(1))]);
    h.step(vec![Event::CallEnded(id(1), Outcome::Ok, Span::millis(600))]);
    h.step(vec![Event::CallRequested(id(1))]);
    h
}

/// Guards against runs begun for nothing while the tier below is short: the time of their calls did not count.
#[test]
fn what_could_not_have_its_reply_in_time_is_refused_before_it_runs() {
    let mut h = slow_below();
    let late = |n| Request { read_delay: Span::millis(350), ..request(n, 1) };
    assert!(h.arrive(request(2, 1)).contains(&Action::Run(id(2))), "all of its aim is left");
    assert!(refused(&h.arrive(late(3)), 3));
    // With no call out one is tried: it shows when they are quick again.
    h.step(vec![Event::CallEnded(id(1), Outcome::Ok, Span::millis(600))]);
    assert!(h.arrive(late(4)).contains(&Action::Run(id(4))));
}

/// Guards against work below for nobody: a call was made however little was left, and given up at the aim.
#[test]
fn a_call_that_cannot_be_back_in_time_is_not_made() {
    let mut h = slow_below();
    let calls = |out: &[Action]| out.iter().any(|a| matches!(a, Action::Call(..)));
    h.arrive(request(2, 0));
    h.arrive(request(3, 0));
    h.pass(600);
    assert!(calls(&h.step(vec![Event::CallRequested(id(2))])), "some calls are quicker than the mean");
    h.pass(150);
    let out = h.step(vec![Event::CallRequested(id(3))]);
    assert!(!calls(&out) && h.seen[&id(3)].answers == 1, "{out:?}");
}
