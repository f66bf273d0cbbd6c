//! Slots: the indices under which open requests know their classes while the settings change.
//!
//! An operator may change, remove or add classes while requests are open. A request keeps the class that it arrived with:
//! its slot is not reused while any request refers to it.

use crate::interface::Class;
use std::collections::BTreeSet;

/// The names of the classes by slot, and which slots accept requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassSlots {
    names: Vec<String>,
    open: Vec<bool>,
}

/// The slots after a change of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotPlan {
    /// The slots from then on.
    pub slots: ClassSlots,
    /// The class in each slot.
    pub classes: Vec<Class>,
    /// The slot whose learned state (service times, retries) each slot inherits; none begins anew.
    pub inherits_from: Vec<Option<usize>>,
}

impl ClassSlots {
    /// The classes of the first settings, in their order.
    pub fn new(names: &[String]) -> Self {
        ClassSlots { names: names.to_vec(), open: vec![true; names.len()] }
    }

    /// The slots of another process that this one takes over from.
    pub fn from_parts(names: Vec<String>, open: Vec<bool>) -> Self {
        ClassSlots { names, open }
    }

    /// The slot of the class of this name: the one that accepts requests, else the last that did.
    pub fn find(&self, name: &str) -> Option<usize> {
        let has_name = |slot: &usize| self.names.get(*slot).is_some_and(|known| known == name);
        let open = (0..self.names.len()).filter(has_name).find(|slot| self.is_open(*slot));
        open.or_else(|| (0..self.names.len()).rfind(has_name))
    }

    /// The name of the class in a slot; empty for a slot that does not exist.
    pub fn name(&self, slot: usize) -> &str {
        self.names.get(slot).map_or("", String::as_str)
    }

    /// All names, by slot.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Which slots accept requests.
    pub fn open(&self) -> &[bool] {
        &self.open
    }

    fn is_open(&self, slot: usize) -> bool {
        self.open.get(slot).copied().unwrap_or(false)
    }

    /// The slots once the settings define the classes `new_classes` under `new_names`.
    ///
    /// `classes` are those in the slots now, and `in_use` the slots that open requests refer to. A class that did not change
    /// keeps its slot; each other one gets a slot that no request refers to, or a new one.
    pub fn plan(
        &self,
        classes: &[Class],
        new_names: &[String],
        new_classes: &[Class],
        in_use: &BTreeSet<usize>,
    ) -> SlotPlan {
        let mut plan = SlotPlan {
            slots: ClassSlots { names: self.names.clone(), open: vec![false; self.names.len()] },
            classes: classes.to_vec(),
            inherits_from: (0..classes.len()).map(Some).collect(),
        };
        // Unchanged classes come first, so that no changed one takes their slot.
        let mut changed = Vec::new();
        for (name, class) in new_names.iter().zip(new_classes) {
            match self.unchanged_slot(&plan.slots, classes, name, class) {
                Some(slot) => plan.slots.open[slot] = true,
                None => changed.push((name, class)),
            }
        }
        for (name, class) in changed {
            plan.place(name, class, self.find(name), in_use);
        }
        plan
    }

    /// The slot that holds exactly this class and is not taken in `planned`; one that accepts requests comes first.
    fn unchanged_slot(
        &self,
        planned: &ClassSlots,
        classes: &[Class],
        name: &str,
        class: &Class,
    ) -> Option<usize> {
        let is_same = |slot: &usize| {
            planned.names[*slot] == *name && classes.get(*slot) == Some(class) && !planned.open[*slot]
        };
        (0..classes.len()).filter(is_same).max_by_key(|slot| self.is_open(*slot))
    }
}

impl SlotPlan {
    /// Puts a class that is new or changed into a free slot.
    fn place(&mut self, name: &str, class: &Class, inherits_from: Option<usize>, in_use: &BTreeSet<usize>) {
        let is_free = |slot: &usize| !self.slots.open[*slot] && !in_use.contains(slot);
        match (0..self.slots.names.len()).find(is_free) {
            Some(slot) => {
                self.slots.names[slot] = name.to_string();
                self.slots.open[slot] = true;
                self.classes[slot] = class.clone();
                self.inherits_from[slot] = inherits_from;
            }
            None => {
                self.slots.names.push(name.to_string());
                self.slots.open.push(true);
                self.classes.push(class.clone());
                self.inherits_from.push(inherits_from);
            }
        }
    }
}
