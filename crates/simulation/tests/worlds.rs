//! Worlds from fixed seeds: the rules hold, a seed is a world, and the rules can fail.

use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_simulation::faults::{Fault, draw_faults};
use gaugestand_simulation::rules::Rules;
use gaugestand_simulation::world::play;
use rayon::prelude::*;
use std::collections::BTreeSet;

const SECS: Micros = Micros::millis(15_000);

#[test]
fn forty_worlds_keep_every_rule() {
    let outcomes: Vec<_> =
        (0..40u64).into_par_iter().map(|seed| play(seed, SECS, &BTreeSet::new(), false)).collect();
    let broken: Vec<_> = outcomes.iter().filter(|o| !o.violations.is_empty()).collect();
    assert!(broken.is_empty(), "{broken:?}");
    // They saw something: requests of all endings, and faults of every kind.
    let sum = |of: fn(&gaugestand_simulation::world::Outcome) -> u64| outcomes.iter().map(of).sum::<u64>();
    assert!(sum(|o| o.served) > 10_000 && sum(|o| o.rejected) > 100 && sum(|o| o.failed) > 0);
    assert!(sum(|o| o.skipped) > 20, "{} calls left out", sum(|o| o.skipped));
    let fault_kinds: BTreeSet<_> = outcomes
        .iter()
        .flat_map(|o| &o.plan)
        .map(|(_, f)| std::mem::discriminant(f))
        .map(|d| format!("{d:?}"))
        .collect();
    assert_eq!(fault_kinds.len(), 8, "{fault_kinds:?}");
}

#[test]
fn a_seed_is_a_world_and_another_seed_another() {
    let busy = (0..50).find(|s| draw_faults(*s, SECS).iter().any(|(_, f)| matches!(f, Fault::Death(_))));
    let seed = busy.expect("a world with a death");
    let (a, b) = (play(seed, SECS, &BTreeSet::new(), false), play(seed, SECS, &BTreeSet::new(), true));
    assert_eq!((&a.digest, a.attempts, a.served), (&b.digest, b.attempts, b.served));
    assert!(b.trace.iter().any(|l| l.contains("fault: Death")), "{:?}", b.plan);
    assert_ne!(a.digest, play(seed + 1, SECS, &BTreeSet::new(), false).digest);
    // Leaving a fault out makes another world.
    assert_ne!(a.digest, play(seed, SECS, &(0..9).collect(), false).digest);
}

fn ms(n: u64) -> Timestamp {
    Timestamp::millis(n)
}

/// What is told to the rules, and the rule that it breaks.
#[test]
fn each_rule_can_be_broken() {
    let key = || Some(("k".to_string(), b"b".to_vec()));
    let rules = || {
        let mut rules = Rules::new(Micros::millis(9_000), Micros::millis(600));
        rules.on_sent("a", key(), ms(1_000), ms(5_000), 1);
        rules.on_sent("b", key(), ms(9_999), ms(14_000), 1);
        rules.on_sent("c", key(), ms(10_000), ms(14_000), 1);
        rules
    };
    type Story = fn(&mut Rules);
    let cases: [(Option<&str>, Story); 18] = [
        (None, |r| {
            r.on_run_started(ms(1_001), "a");
            r.on_result("a", b"r".to_vec());
            r.on_answer(ms(1_100), "a", 200, b"r");
            r.on_answer(ms(10_001), "b", 200, b"r");
            // Its window is over: it may run again.
            r.on_run_started(ms(10_002), "c");
        }),
        (Some("duplicate"), |r| {
            r.on_run_started(ms(1_001), "a");
            r.on_run_started(ms(10_000), "b");
        }),
        (Some("duplicate"), |r| {
            r.on_answer(ms(1_100), "a", 500, b"");
            r.on_answer(ms(1_101), "a", 500, b"");
        }),
        (Some("served"), |r| r.on_answer(ms(1_100), "a", 200, b"r")),
        (Some("served"), |r| {
            r.on_sent("d", Some(("other".into(), b"b".to_vec())), ms(1_000), ms(5_000), 1);
            r.on_result("d", b"r".to_vec());
            r.on_answer(ms(1_100), "a", 200, b"r");
        }),
        (Some("refused"), |r| {
            r.on_run_started(ms(1_001), "a");
            r.on_answer(ms(1_100), "a", 503, b"");
        }),
        (None, |r| r.on_answer(ms(5_130), "a", 500, b"")),
        (Some("lost"), |r| r.on_answer(ms(5_131), "a", 500, b"")),
        (None, |r| r.check_overdue(ms(5_130))),
        (Some("lost"), |r| r.check_overdue(ms(5_131))),
        (None, |r| {
            r.waive_answer("a");
            r.check_overdue(ms(6_000));
        }),
        (None, |r| r.on_closed(ms(1_050), "a")),
        (Some("lost"), |r| r.on_closed(ms(1_051), "a")),
        (Some("drain"), |r| {
            r.on_drain(ms(300));
            r.on_run_started(ms(1_001), "a");
        }),
        (Some("drain"), |r| r.on_stopped(ms(1_100))),
        // One that crosses the close is sent again by its gateway.
        (None, |r| r.on_stopped(ms(1_050))),
        (Some("drain"), |r| r.on_stopped(ms(1_051))),
        (Some("run"), |r| r.on_run_started(ms(1_100), "nobody")),
    ];
    for (i, (rule, story)) in cases.into_iter().enumerate() {
        let mut rules = rules();
        story(&mut rules);
        assert_eq!(rules.violations.first().map(|v| v.rule), rule, "case {i}: {:?}", rules.violations);
    }
}
