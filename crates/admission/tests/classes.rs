//! Tests of the assignment of classes to slots over changes of the settings.

use gaugestand_admission::classes::ClassSlots;
use gaugestand_admission::{Class, Effect, Span};
use std::collections::BTreeSet;

fn class(deadline_ms: u64) -> Class {
    Class {
        latency_objective: Span::millis(1),
        objective_stretch: 0.0,
        deadline: Span::millis(deadline_ms),
        priority_weight: 1.0,
        late_weight: 0.0,
        effect: Effect::Pure,
        dedup_window: Span(0),
        calls: false,
        skipped_call_weight: 0.0,
    }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn open_requests_keep_their_class_when_the_settings_change() {
    let slots = ClassSlots::new(&names(&["a", "b"]));
    let old = [class(1), class(2)];
    // Class 'a' changes while a request refers to it, 'b' is removed, and 'c' is new and gets the free slot
    // of 'b'.
    let plan = slots.plan(&old, &names(&["c", "a"]), &[class(3), class(9)], &BTreeSet::from([0]));
    assert_eq!(plan.slots.names(), names(&["a", "c", "a"]));
    assert_eq!(plan.slots.open(), [false, true, true]);
    assert_eq!(plan.classes, [class(1), class(3), class(9)]);
    assert_eq!(plan.inherits_from, [Some(0), None, Some(0)]);
    assert_eq!([plan.slots.find("a"), plan.slots.find("b"), plan.slots.find("c")], [Some(2), None, Some(1)]);
    // The first settings return: the first version of 'a' still has its slot, which accepts requests again.
    let restored = plan.slots.plan(&plan.classes, &names(&["a", "b"]), &old, &BTreeSet::from([0, 2]));
    assert_eq!(restored.slots.names(), names(&["a", "b", "a"]));
    assert_eq!(restored.slots.open(), [true, true, false]);
    assert_eq!(restored.inherits_from, [Some(0), None, Some(2)]);
}

// An operator changes the settings every minute for a month. If slots were not reused, the table of slots and
// all data that are kept for each slot would grow with every change.
#[test]
fn slots_without_open_requests_are_reused() {
    let (mut slots, mut classes) = (ClassSlots::new(&names(&["a"])), vec![class(1)]);
    for change in 0..100 {
        let plan =
            slots.plan(&classes, &names(&["a", "x"]), &[class(change), class(7)], &BTreeSet::from([0]));
        (slots, classes) = (plan.slots, plan.classes);
    }
    assert!(slots.names().len() <= 3, "more than 3 slots: {slots:?}");
}
