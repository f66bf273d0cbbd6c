//! The classes over changes of the settings: each has a slot, the index under which open requests know it.

use crate::interface::Class;
use std::collections::BTreeSet;

/// Names of the classes by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassSlots {
    names: Vec<String>,
    open: Vec<bool>,
}

/// What becomes of the slots with new settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotPlan {
    /// The slots from then on.
    pub slots: ClassSlots,
    /// The class of each.
    pub classes: Vec<Class>,
    /// Which slot's learnt state each goes on with.
    pub from: Vec<Option<usize>>,
}

impl ClassSlots {
    /// The classes of a first configuration, in their order.
    pub fn new(names: &[String]) -> Self {
        ClassSlots { names: names.to_vec(), open: vec![true; names.len()] }
    }

    /// Slots that another process had.
    pub fn with(names: Vec<String>, open: Vec<bool>) -> Self {
        ClassSlots { names, open }
    }

    /// The slot of the class of this name: the one that takes requests if there is one, else one that did.
    pub fn find(&self, name: &str) -> Option<usize> {
        let of_name = |i: &usize| self.names.get(*i).is_some_and(|n| n == name);
        let open = (0..self.names.len()).filter(of_name).find(|i| self.is_open(*i));
        open.or_else(|| (0..self.names.len()).rfind(of_name))
    }

    /// The name of the class in a slot.
    pub fn name(&self, slot: usize) -> &str {
        self.names.get(slot).map_or("", String::as_str)
    }

    /// All names, by slot.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Which slots take requests.
    pub fn open(&self) -> &[bool] {
        &self.open
    }

    fn is_open(&self, slot: usize) -> bool {
        self.open.get(slot).copied().unwrap_or(false)
    }

    /// What becomes of these slots, with the classes `old` in them and open requests in `used`, as the settings have
    /// the classes `new` under `names` from now on.
    pub fn plan(&self, old: &[Class], names: &[String], new: &[Class], used: &BTreeSet<usize>) -> SlotPlan {
        let mut slots = ClassSlots { names: self.names.clone(), open: vec![false; self.names.len()] };
        let (mut classes, mut from) = (old.to_vec(), (0..old.len()).map(Some).collect::<Vec<_>>());
        let all: Vec<(&String, &Class)> = names.iter().zip(new).collect();
        // Those that stay as they are come first: nobody takes their place.
        let mut placed = BTreeSet::new();
        for (n, (name, class)) in all.iter().enumerate() {
            let same =
                |i: &usize| slots.names[*i] == **name && old.get(*i) == Some(*class) && !slots.open[*i];
            let open_first = (0..old.len()).filter(same).max_by_key(|i| self.is_open(*i));
            if let Some(i) = open_first {
                slots.open[i] = true;
                placed.insert(n);
            }
        }
        for (n, (name, class)) in all.into_iter().enumerate() {
            if placed.contains(&n) {
                continue;
            }
            let before = self.find(name);
            let free = (0..slots.names.len()).find(|i| !slots.open[*i] && !used.contains(i));
            let i = free.unwrap_or(slots.names.len());
            if i == slots.names.len() {
                slots.names.push(name.clone());
                slots.open.push(true);
                classes.push(class.clone());
                from.push(before);
            } else {
                (slots.names[i], slots.open[i]) = (name.clone(), true);
                (classes[i], from[i]) = (class.clone(), before);
            }
        }
        SlotPlan { slots, classes, from }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::Effect;
    use crate::time::Span;

    fn class(deadline: u64) -> Class {
        let (latency_objective, priority_weight, late_weight) = (Span::millis(1), 1.0, 0.0);
        let (effect, dedup_window) = (Effect::Pure, Span(0));
        let (objective_stretch, calls, skipped_call_weight) = (0.0, false, 0.0);
        let deadline = Span::millis(deadline);
        Class {
            latency_objective,
            objective_stretch,
            deadline,
            priority_weight,
            late_weight,
            effect,
            dedup_window,
            calls,
            skipped_call_weight,
        }
    }

    fn names(names: &[&str]) -> Vec<String> {
        names.iter().map(|n| n.to_string()).collect()
    }

    #[test]
    fn open_requests_keep_their_class_whatever_the_settings_say() {
        let slots = ClassSlots::new(&names(&["a", "b"]));
        let old = [class(1), class(2)];
        // 'a' is changed while a request has it, 'b' goes, 'c' is new and takes the place that nobody has.
        let plan = slots.plan(&old, &names(&["c", "a"]), &[class(3), class(9)], &BTreeSet::from([0]));
        assert_eq!(plan.slots.names(), names(&["a", "c", "a"]));
        assert_eq!(plan.slots.open(), [false, true, true]);
        assert_eq!(plan.classes, [class(1), class(3), class(9)]);
        assert_eq!(plan.from, [Some(0), None, Some(0)]);
        assert_eq!(
            [plan.slots.find("a"), plan.slots.find("b"), plan.slots.find("c")],
            [Some(2), None, Some(1)]
        );
        // Back again: the slot of the first 'a' is taken up as it was.
        let back = plan.slots.plan(&plan.classes, &names(&["a", "b"]), &old, &BTreeSet::from([0, 2]));
        assert_eq!(back.slots.names(), names(&["a", "b", "a"]));
        assert_eq!(back.slots.open(), [true, true, false]);
        assert_eq!(back.from, [Some(0), None, Some(2)]);
    }

    // Guards against a table that grows with every change.
    #[test]
    fn slots_that_nobody_has_are_taken_again() {
        let (mut slots, mut classes) = (ClassSlots::new(&names(&["a"])), vec![class(1)]);
        for n in 0..100 {
            let plan = slots.plan(&classes, &names(&["a", "x"]), &[class(n), class(7)], &BTreeSet::from([0]));
            (slots, classes) = (plan.slots, plan.classes);
        }
        assert!(slots.names().len() <= 3, "{slots:?}");
    }
}
