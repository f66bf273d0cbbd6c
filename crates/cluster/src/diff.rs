//! How two versions differ, and whether nodes may act on both at a time.
//!
//! Each setting and each kind of list has a rule in a table. A setting without a rule counts as conflicting: one that a
//! later build adds is safe until somebody has decided on its rule.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// What it means that one node acts on the older and another one on the newer of two versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Compatibility {
    /// No promise to a client depends on the difference.
    #[serde(rename = "Harmless")]
    Compatible,
    /// The older version rejects what the newer one allows.
    OlderStricter,
    /// The newer version rejects what the older one allows.
    NewerStricter,
    /// Each allows, or does, what the other one must not.
    #[serde(rename = "Contradicting")]
    Conflicting,
}

impl Compatibility {
    /// Both differences together: stricter in both directions is a conflict.
    pub fn and(self, other: Compatibility) -> Compatibility {
        match (self, other) {
            (one, same) if one == same => one,
            (Compatibility::Compatible, other) => other,
            (one, Compatibility::Compatible) => one,
            _ => Compatibility::Conflicting,
        }
    }

    /// Whether the newer version may be activated before all leases of the older one have expired: then what a node
    /// without the newer version allows, the newer one allows as well.
    pub fn is_immediate(self) -> bool {
        matches!(self, Compatibility::Compatible | Compatibility::OlderStricter)
    }
}

/// A list of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NamedList {
    /// Subjects the requests of which are rejected.
    #[serde(rename = "barred")]
    Blocked(BTreeSet<String>),
    /// Most open requests by gateway, for each node; a gateway that is not named has no limit.
    #[serde(rename = "shares")]
    GatewayLimits(BTreeMap<String, f64>),
    /// What belongs to whom, such as a node's zone: one value each.
    #[serde(rename = "places")]
    Assignments(BTreeMap<String, String>),
}

/// The content of a version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// The settings, in the form of a node's configuration file.
    pub settings: Value,
    /// Lists by name.
    pub lists: BTreeMap<String, NamedList>,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// A setting's path, with classes by name, or `lists.NAME`.
    #[serde(rename = "at")]
    pub path: String,
    /// What it means.
    #[serde(rename = "kind")]
    pub compatibility: Compatibility,
}

/// What a change of a setting means.
#[derive(Clone, Copy, Debug)]
enum SettingRule {
    /// Nodes may differ in it.
    Independent,
    /// The higher value is the stricter one.
    MoreIsStricter,
    /// The lower value is the stricter one.
    LessIsStricter,
    /// Nodes may not differ in it.
    Shared,
}

/// Stands for any one segment of a path.
const ANY_SEGMENT: &str = "*";

/// Rules by path; the first that matches counts.
const SETTING_RULES: &[(&str, SettingRule)] = &[
    // A node that forgets a key sooner may run it again.
    ("classes.*.dedup-window", SettingRule::MoreIsStricter),
    // What a second run would do has no order.
    ("classes.*.effect", SettingRule::Shared),
    // Each attempt is answered by the node that read it, within that node's limits.
    ("classes.*.hard-limit", SettingRule::Independent),
    ("classes.*.goal-time", SettingRule::Independent),
    ("classes.*.aim-stretch", SettingRule::Independent),
    ("classes.*.worth", SettingRule::Independent),
    ("classes.*.late-worth", SettingRule::Independent),
    ("caps.*", SettingRule::Independent),
    ("rules.drain-grace", SettingRule::LessIsStricter),
    ("rules.*", SettingRule::Independent),
    ("tick", SettingRule::Independent),
    ("fleet-size", SettingRule::Independent),
    ("over-share-worth", SettingRule::Independent),
    ("worth-by", SettingRule::Independent),
    ("realms.*.quota-per-s", SettingRule::LessIsStricter),
    ("realms.*.share", SettingRule::Independent),
    // Of each node's own machine and store: cores, memory.
    ("extra.*", SettingRule::Independent),
];

fn matches_pattern(pattern: &str, path: &str) -> bool {
    let mut expected = pattern.split('.');
    let mut segments = path.split('.');
    loop {
        match (expected.next(), segments.next()) {
            (None, None) => return true,
            (Some(pattern), Some(segment)) if pattern == ANY_SEGMENT || pattern == segment => {}
            _ => return false,
        }
    }
}

/// Collects settings by path. Items with a name get it as their segment, so that the order of a list does not matter.
fn flatten(path: &str, value: &Value, settings: &mut BTreeMap<String, Value>) {
    let child = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    let name_of = |item: &Value| item.get("name").and_then(Value::as_str).map(|name| name.replace('.', "_"));
    match value {
        Value::Object(fields) => {
            for (key, field) in fields.iter().filter(|(key, _)| *key != "name") {
                flatten(&child(key), field, settings);
            }
        }
        Value::Array(items) if !items.is_empty() && items.iter().all(|item| name_of(item).is_some()) => {
            for item in items {
                flatten(&child(&name_of(item).unwrap_or_default()), item, settings);
            }
        }
        other => drop(settings.insert(path.to_string(), other.clone())),
    }
}

/// The meaning of a difference by how strict the newer version is, compared with the older one.
fn by_strictness(newer: Option<Ordering>) -> Compatibility {
    match newer {
        Some(Ordering::Greater) => Compatibility::NewerStricter,
        Some(Ordering::Less) => Compatibility::OlderStricter,
        Some(Ordering::Equal) => Compatibility::Compatible,
        None => Compatibility::Conflicting,
    }
}

fn compare_setting(path: &str, old: Option<&Value>, new: Option<&Value>) -> Compatibility {
    // A class that one version lacks is rejected under it.
    if path.starts_with("classes.") && old.is_none() {
        return Compatibility::OlderStricter;
    }
    if path.starts_with("classes.") && new.is_none() {
        return Compatibility::NewerStricter;
    }
    let number = |value: Option<&Value>| value.and_then(Value::as_f64);
    let order = number(new).zip(number(old)).and_then(|(new, old)| new.partial_cmp(&old));
    let rule = SETTING_RULES.iter().find(|(pattern, _)| matches_pattern(pattern, path));
    match rule.map(|(_, rule)| rule) {
        Some(SettingRule::Independent) => Compatibility::Compatible,
        Some(SettingRule::MoreIsStricter) => by_strictness(order),
        Some(SettingRule::LessIsStricter) => by_strictness(order.map(Ordering::reverse)),
        Some(SettingRule::Shared) | None => Compatibility::Conflicting,
    }
}

fn compare_list(old: Option<&NamedList>, new: Option<&NamedList>) -> Compatibility {
    use NamedList::{Blocked, GatewayLimits};
    match (old, new) {
        (None, Some(Blocked(_) | GatewayLimits(_))) => Compatibility::NewerStricter,
        (Some(Blocked(_) | GatewayLimits(_)), None) => Compatibility::OlderStricter,
        (Some(Blocked(old)), Some(Blocked(new))) => compare_blocked(old, new),
        (Some(GatewayLimits(old)), Some(GatewayLimits(new))) => compare_limits(old, new),
        (old, new) if old == new => Compatibility::Compatible,
        _ => Compatibility::Conflicting,
    }
}

fn compare_blocked(old: &BTreeSet<String>, new: &BTreeSet<String>) -> Compatibility {
    let added = if new.is_subset(old) { Compatibility::Compatible } else { Compatibility::NewerStricter };
    let removed = if old.is_subset(new) { Compatibility::Compatible } else { Compatibility::OlderStricter };
    added.and(removed)
}

fn compare_limits(old: &BTreeMap<String, f64>, new: &BTreeMap<String, f64>) -> Compatibility {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let limit = |limits: &BTreeMap<String, f64>, name| limits.get(name).copied().unwrap_or(f64::INFINITY);
    let each = names.into_iter().map(|name| by_strictness(limit(old, name).partial_cmp(&limit(new, name))));
    each.fold(Compatibility::Compatible, Compatibility::and)
}

/// All differences, ordered by path: settings, then lists.
pub fn differences(old: &Content, new: &Content) -> Vec<Difference> {
    let mut found = setting_differences(&old.settings, &new.settings);
    let names: BTreeSet<&String> = old.lists.keys().chain(new.lists.keys()).collect();
    for name in names {
        let (old_list, new_list) = (old.lists.get(name), new.lists.get(name));
        if old_list != new_list {
            let compatibility = compare_list(old_list, new_list);
            found.push(Difference { path: format!("lists.{name}"), compatibility });
        }
    }
    found
}

fn setting_differences(old: &Value, new: &Value) -> Vec<Difference> {
    let mut old_settings = BTreeMap::new();
    flatten("", old, &mut old_settings);
    let mut new_settings = BTreeMap::new();
    flatten("", new, &mut new_settings);
    let paths: BTreeSet<&String> = old_settings.keys().chain(new_settings.keys()).collect();
    let changed = paths.into_iter().filter(|path| old_settings.get(*path) != new_settings.get(*path));
    let difference = |path: &String| Difference {
        path: path.clone(),
        compatibility: compare_setting(path, old_settings.get(path), new_settings.get(path)),
    };
    changed.map(difference).collect()
}

/// What all differences mean together.
pub fn overall(differences: &[Difference]) -> Compatibility {
    differences.iter().fold(Compatibility::Compatible, |all, difference| all.and(difference.compatibility))
}

/// Whether a version with the content `new` may be activated while other nodes still act on its predecessor `old`.
/// Such steps may follow one another: each rule compares by an order, so that two steps in one direction make one. A content
/// that cannot be read is never compatible.
pub fn is_immediate(old: &[u8], new: &[u8]) -> bool {
    let Ok(old) = serde_json::from_slice::<Content>(old) else { return false };
    let Ok(new) = serde_json::from_slice::<Content>(new) else { return false };
    overall(&differences(&old, &new)).is_immediate()
}
