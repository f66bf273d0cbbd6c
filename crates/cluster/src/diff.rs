//! How two versions differ, and whether nodes that act on both at a time contradict each other.
//!
//! By a table of rules, one for each setting and form of list. What no rule names counts as contradicting: a setting that
//! a later program adds is safe until somebody has thought about it.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// What it means that one node acts on the older and another one on the newer of two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Nothing: no promise to a client depends on it.
    Harmless,
    /// The older one refuses what the newer one allows.
    OlderStricter,
    /// The newer one refuses what the older one allows.
    NewerStricter,
    /// Each allows, or does, what the other must not.
    Contradicting,
}

impl Kind {
    /// Both differences together: stricter in both ways is a contradiction.
    pub fn and(self, other: Kind) -> Kind {
        match (self, other) {
            (a, b) if a == b => a,
            (Kind::Harmless, b) => b,
            (a, Kind::Harmless) => a,
            _ => Kind::Contradicting,
        }
    }

    /// Whether the newer version may be acted on before all leases of the older one are over.
    pub fn is_immediate(self) -> bool {
        matches!(self, Kind::Harmless | Kind::OlderStricter)
    }
}

/// A named list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum List {
    /// Subjects that are refused.
    Barred(BTreeSet<String>),
    /// The most that each may have; one that is not named has no bound.
    Shares(BTreeMap<String, f64>),
    /// What belongs to whom, such as a zone to a node: one place each.
    Places(BTreeMap<String, String>),
}

/// A whole version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// The settings, as a node's configuration has them.
    pub settings: Value,
    /// Lists by name.
    pub lists: BTreeMap<String, List>,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Where: a setting's path, with classes by name, or `lists.NAME`.
    pub at: String,
    /// What it means.
    pub kind: Kind,
}

/// What a setting's change means.
#[derive(Clone, Copy, Debug)]
enum Rule {
    Free,
    MoreIsStricter,
    LessIsStricter,
    Bound,
}

/// By path; `*` stands for any one part of it. The first that fits counts.
const RULES: &[(&str, Rule)] = &[
    // A node that forgets a key sooner may run it again.
    ("classes.*.dedup-window", Rule::MoreIsStricter),
    // What a second run would do is no matter of degree.
    ("classes.*.effect", Rule::Bound),
    // Each try is answered by the node that read it, within what that node was told.
    ("classes.*.hard-limit", Rule::Free),
    ("classes.*.goal-time", Rule::Free),
    ("classes.*.aim-stretch", Rule::Free),
    ("classes.*.worth", Rule::Free),
    ("classes.*.late-worth", Rule::Free),
    ("caps.*", Rule::Free),
    ("rules.drain-grace", Rule::LessIsStricter),
    ("rules.*", Rule::Free),
    ("tick", Rule::Free),
    ("fleet-size", Rule::Free),
    ("over-share-worth", Rule::Free),
    ("worth-by", Rule::Free),
    ("realms.*.quota-per-s", Rule::LessIsStricter),
    ("realms.*.share", Rule::Free),
    // A node's own: cores, memory, what lies below.
    ("extra.*", Rule::Free),
];

fn fits(pattern: &str, path: &str) -> bool {
    let (mut a, mut b) = (pattern.split('.'), path.split('.'));
    loop {
        match (a.next(), b.next()) {
            (None, None) => return true,
            (Some(p), Some(q)) if p == "*" || p == q => {}
            _ => return false,
        }
    }
}

/// Settings by path; what has a name is found by it, wherever it stands in its list.
fn flat(path: &str, value: &Value, out: &mut BTreeMap<String, Value>) {
    let at = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    let named = |v: &Value| v.get("name").and_then(Value::as_str).map(|n| n.replace('.', "_"));
    match value {
        Value::Object(fields) => {
            fields.iter().filter(|(k, _)| *k != "name").for_each(|(k, v)| flat(&at(k), v, out));
        }
        Value::Array(items) if !items.is_empty() && items.iter().all(|v| named(v).is_some()) => {
            items.iter().for_each(|v| flat(&at(&named(v).unwrap_or_default()), v, out));
        }
        other => drop(out.insert(path.to_string(), other.clone())),
    }
}

fn stricter(newer: Option<Ordering>) -> Kind {
    match newer {
        Some(Ordering::Greater) => Kind::NewerStricter,
        Some(Ordering::Less) => Kind::OlderStricter,
        Some(Ordering::Equal) => Kind::Harmless,
        None => Kind::Contradicting,
    }
}

fn setting(path: &str, old: Option<&Value>, new: Option<&Value>) -> Kind {
    // A class that one side does not know is refused there.
    if path.starts_with("classes.") && (old.is_none() || new.is_none()) {
        return if old.is_none() { Kind::OlderStricter } else { Kind::NewerStricter };
    }
    let number = |v: Option<&Value>| v.and_then(Value::as_f64);
    let order = number(new).zip(number(old)).and_then(|(new, old)| new.partial_cmp(&old));
    match RULES.iter().find(|(pattern, _)| fits(pattern, path)).map(|(_, rule)| rule) {
        Some(Rule::Free) => Kind::Harmless,
        Some(Rule::MoreIsStricter) => stricter(order),
        Some(Rule::LessIsStricter) => stricter(order.map(Ordering::reverse)),
        Some(Rule::Bound) | None => Kind::Contradicting,
    }
}

fn list(old: Option<&List>, new: Option<&List>) -> Kind {
    let (bars, frees) = (Kind::NewerStricter, Kind::OlderStricter);
    match (old, new) {
        (None, Some(List::Barred(_) | List::Shares(_))) => bars,
        (Some(List::Barred(_) | List::Shares(_)), None) => frees,
        (Some(List::Barred(old)), Some(List::Barred(new))) => {
            let more = if new.is_subset(old) { Kind::Harmless } else { bars };
            more.and(if old.is_subset(new) { Kind::Harmless } else { frees })
        }
        (Some(List::Shares(old)), Some(List::Shares(new))) => {
            let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            let bound = |of: &BTreeMap<String, f64>, name| of.get(name).copied().unwrap_or(f64::INFINITY);
            let kinds =
                names.into_iter().map(|name| stricter(bound(old, name).partial_cmp(&bound(new, name))));
            kinds.fold(Kind::Harmless, Kind::and)
        }
        (old, new) if old == new => Kind::Harmless,
        _ => Kind::Contradicting,
    }
}

/// All differences, by place.
pub fn differences(old: &Content, new: &Content) -> Vec<Difference> {
    let (mut a, mut b) = (BTreeMap::new(), BTreeMap::new());
    flat("", &old.settings, &mut a);
    flat("", &new.settings, &mut b);
    let paths: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    let changed = paths.into_iter().filter(|path| a.get(*path) != b.get(*path));
    let settings =
        changed.map(|path| Difference { at: path.clone(), kind: setting(path, a.get(path), b.get(path)) });
    let names: BTreeSet<&String> = old.lists.keys().chain(new.lists.keys()).collect();
    let changed = names.into_iter().filter(|name| old.lists.get(*name) != new.lists.get(*name));
    let lists = changed.map(|name| {
        let kind = list(old.lists.get(name), new.lists.get(name));
        Difference { at: format!("lists.{name}"), kind }
    });
    settings.chain(lists).collect()
}

/// What all differences mean together.
pub fn verdict(differences: &[Difference]) -> Kind {
    differences.iter().fold(Kind::Harmless, |all, d| all.and(d.kind))
}

/// Whether a version with the content `new` may be acted on while others still act on the one just before it, `old`. Such
/// steps may follow one another: each way in which two contents are told apart goes by an order. What cannot be read may not.
pub fn is_immediate(old: &[u8], new: &[u8]) -> bool {
    let read = |bytes| serde_json::from_slice::<Content>(bytes).ok();
    let pair = read(old).zip(read(new));
    pair.is_some_and(|(old, new)| verdict(&differences(&old, &new)).is_immediate())
}
