//! Class slots: stable indices by which open requests refer to their classes while the settings change.
//!
//! An operator may change, remove or add classes while requests are open. A request keeps the class with
//! which it arrived: the slot of that class is not reused while any request refers to it.

use crate::interface::Class;
use std::collections::BTreeSet;

/// The name of the class in each slot, and whether the slot accepts requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassSlots {
    names: Vec<String>,
    open: Vec<bool>,
}

/// The assignment of classes to slots after a change of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotPlan {
    /// The names of the classes by slot, and which slots accept requests, after the change.
    pub slots: ClassSlots,
    /// The settings of each class, indexed by slot.
    pub classes: Vec<Class>,
    /// For each slot, the slot before the change whose learned state (service times, retries) the new class
    /// inherits; `None` if the class starts without learned state.
    pub inherits_from: Vec<Option<usize>>,
}

impl ClassSlots {
    /// Creates one slot for each class of the first settings, in their order. All slots accept requests.
    pub fn new(names: &[String]) -> Self {
        ClassSlots { names: names.to_vec(), open: vec![true; names.len()] }
    }

    /// Restores the slots of the process that this one takes over from.
    pub fn from_parts(names: Vec<String>, open: Vec<bool>) -> Self {
        ClassSlots { names, open }
    }

    /// The slot of the class `name`: the slot that accepts requests if there is one, else the last slot of
    /// that name.
    pub fn find(&self, name: &str) -> Option<usize> {
        let has_name = |slot: &usize| self.names.get(*slot).is_some_and(|known| known == name);
        let open = (0..self.names.len()).filter(has_name).find(|slot| self.is_open(*slot));
        open.or_else(|| (0..self.names.len()).rfind(has_name))
    }

    /// The name of the class in a slot; empty for a slot that does not exist.
    pub fn name(&self, slot: usize) -> &str {
        self.names.get(slot).map_or("", String::as_str)
    }

    /// The name of the class in each slot.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Whether each slot accepts requests, indexed by slot.
    pub fn open(&self) -> &[bool] {
        &self.open
    }

    fn is_open(&self, slot: usize) -> bool {
        self.open.get(slot).copied().unwrap_or(false)
    }

    /// Assigns slots to the classes `new_classes` with the names `new_names`, as new settings define them.
    ///
    /// `classes` are the classes that are in the slots now, and `in_use` are the slots that open requests
    /// refer to. A class that did not change keeps its slot. Every other class gets a slot that no request
    /// refers to, or a new slot if there is none.
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
        // Assigns the unchanged classes first, so that no changed class takes the slot of an unchanged one.
        let mut changed = Vec::new();
        for (name, class) in new_names.iter().zip(new_classes) {
            match self.unchanged_slot(&plan.slots, classes, name, class) {
                Some(slot) => plan.slots.open[slot] = true,
                None => changed.push((name, class)),
            }
        }
        for (name, class) in changed {
            plan.assign_slot(name, class, self.find(name), in_use);
        }
        plan
    }

    /// Finds a slot that holds exactly this class and is not yet assigned in `planned`; slots that accept
    /// requests are preferred.
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
    /// Assigns a new or changed class to a free slot, or to a new slot if none is free.
    fn assign_slot(
        &mut self,
        name: &str,
        class: &Class,
        inherits_from: Option<usize>,
        in_use: &BTreeSet<usize>,
    ) {
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
