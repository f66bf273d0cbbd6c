//! Compares two versions, and decides whether nodes may act on both at the same time.
//!
//! Each setting has a rule in a table, and each kind of list has a rule in code. A setting without a rule is
//! treated as conflicting, so that a setting that a later build adds is safe before a rule for it is decided.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// What it means for clients that one node acts on the older of two versions while another node acts on the
/// newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Compatibility {
    /// No promise to a client depends on the difference: nodes may act on either version.
    #[serde(rename = "Harmless")]
    Compatible,
    /// The older version is stricter: it rejects what the newer one allows.
    OlderStricter,
    /// The newer version is stricter: it rejects what the older one allows.
    NewerStricter,
    /// Each version allows, or does, something that the other version must not.
    #[serde(rename = "Contradicting")]
    Conflicting,
}

impl Compatibility {
    /// Combines two differences: if each version is stricter in one of them, the versions conflict.
    pub fn and(self, other: Compatibility) -> Compatibility {
        match (self, other) {
            (one, same) if one == same => one,
            (Compatibility::Compatible, other) => other,
            (one, Compatibility::Compatible) => one,
            _ => Compatibility::Conflicting,
        }
    }

    /// Whether the newer version may be activated before all leases of the older one have expired. It may if
    /// the newer version allows everything that a node on the older version still allows.
    pub fn is_immediate(self) -> bool {
        matches!(self, Compatibility::Compatible | Compatibility::OlderStricter)
    }
}

/// A list in a version. Its form determines how requests and versions are checked against it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NamedList {
    /// Subjects whose requests are rejected.
    #[serde(rename = "barred")]
    Blocked(BTreeSet<String>),
    /// Limit on the open requests of a gateway on each node, by the gateway's number in decimal. A gateway
    /// without an entry has no limit.
    #[serde(rename = "shares")]
    GatewayLimits(BTreeMap<String, f64>),
    /// Assignments of one value to each name, such as a node's zone.
    #[serde(rename = "places")]
    Assignments(BTreeMap<String, String>),
}

/// The content of a version: the settings and lists that the nodes agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    /// The settings, in the format of a node's configuration file.
    pub settings: Value,
    /// The lists, by name.
    pub lists: BTreeMap<String, NamedList>,
}

/// One difference between two versions. Commands print it in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Path of the setting, in which a class appears by its name; `lists.NAME` for a list.
    #[serde(rename = "at")]
    pub path: String,
    /// What the difference means for nodes on either version.
    #[serde(rename = "kind")]
    pub compatibility: Compatibility,
}

/// How a changed setting affects the compatibility of two versions.
#[derive(Clone, Copy, Debug)]
enum SettingRule {
    /// Nodes may act on different values.
    Independent,
    /// The higher number is stricter; other values conflict.
    MoreIsStricter,
    /// The lower number is stricter; other values conflict.
    LessIsStricter,
    /// Different values conflict.
    Shared,
}

/// Segment of a pattern that matches any one segment of a path.
const ANY_SEGMENT: &str = "*";

/// Rules by path pattern. The first pattern that matches a path determines its rule.
const SETTING_RULES: &[(&str, SettingRule)] = &[
    // A node that forgets a key earlier may run its request a second time.
    ("classes.*.dedup-window", SettingRule::MoreIsStricter),
    // The effects of a second run have no order of strictness.
    ("classes.*.effect", SettingRule::Shared),
    // Each attempt is answered by the node that read it, within the limits of that node.
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
    // Properties of each node's own machine and store, such as cores and memory.
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

/// Collects the settings in `value` by path. Items of a list that have a name get the name as their path
/// segment, so that the order of the list does not matter.
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

/// Compatibility of a difference. `newer` is the strictness of the newer version compared with the older one;
/// `None` if they cannot be compared.
fn by_strictness(newer: Option<Ordering>) -> Compatibility {
    match newer {
        Some(Ordering::Greater) => Compatibility::NewerStricter,
        Some(Ordering::Less) => Compatibility::OlderStricter,
        Some(Ordering::Equal) => Compatibility::Compatible,
        None => Compatibility::Conflicting,
    }
}

fn compare_setting(path: &str, old: Option<&Value>, new: Option<&Value>) -> Compatibility {
    // A version rejects requests of a class that it does not define.
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

/// Returns all differences between two contents, first the settings and then the lists, each ordered by path.
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

/// Compatibility of two versions with all these differences.
pub fn overall(differences: &[Difference]) -> Compatibility {
    differences.iter().fold(Compatibility::Compatible, |all, difference| all.and(difference.compatibility))
}

/// Whether a version with the content `new` may be activated while other nodes still act on its predecessor
/// `old`. The relation is transitive, so that a chain of such versions may follow one another: each rule
/// compares by an order, and two steps in the same direction make one step in that direction. A malformed
/// content is never compatible.
pub fn is_immediate(old: &[u8], new: &[u8]) -> bool {
    let Ok(old) = serde_json::from_slice::<Content>(old) else { return false };
    let Ok(new) = serde_json::from_slice::<Content>(new) else { return false };
    overall(&differences(&old, &new)).is_immediate()
}
