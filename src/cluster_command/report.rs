//! Formats a node's answers as text for operators. Scripts use the JSON output instead.

use gaugestand_cluster::diff::{Compatibility, Difference};
use serde_json::Value;

/// Formats the state of the cluster, the JSON answer to the call `STATUS`.
pub fn status(status: &Value) -> String {
    let mut report = format!(
        "cluster {}, leader {} (term {})\n",
        text(&status["fleet"]),
        text(&status["leader"]),
        status["term"]
    );
    let members = status["members"].as_array().map_or(0, Vec::len);
    report += &format!("heard: {} of {members}, majority {}\n", status["heard"], status["majority"]);
    for member in items(&status["members"]) {
        report += &member_line(member);
    }
    if let Some(version) = status["removed"].as_u64() {
        report +=
            &format!("this node has been removed from the cluster, by version {version} at the latest\n");
    } else if status["in_fleet"] == false {
        report += "this node has not joined the cluster: run 'gaugestand fleet join' against a member\n";
    }
    report += &format!("version in effect: {}\n", version_in_effect(status));
    report += &format!("last committed version: {}\n", status["last"]);
    if let Some(unusable) = status["unusable"].as_object() {
        let reason = text(&unusable["why"]);
        report += &format!("this node cannot act on version {}: {reason}\n", unusable["version"]);
    }
    if status["unwritten"].as_u64().is_some_and(|records| records > 0) {
        report += &format!("{} records of the consensus log wait to be written\n", status["unwritten"]);
    }
    for open in items(&status["open"]) {
        report += &format!(
            "open attempts under version {}: {}, the oldest for {} ms\n",
            open["version"], open["open"], open["oldest_ms"]
        );
    }
    report
}

fn member_line(member: &Value) -> String {
    let vote = if member["votes"] == false { ", has no vote yet" } else { "" };
    let reachability = match (member["me"].as_bool(), member["heard"].as_bool()) {
        (Some(true), _) => "this node",
        (_, Some(true)) => "heard",
        _ => "not heard",
    };
    format!("  {} {} {reachability}{vote}\n", text(&member["name"]), text(&member["address"]))
}

fn version_in_effect(status: &Value) -> String {
    match (status["in_effect"].as_u64(), status["acts"].as_bool()) {
        (None, _) => "none since the start of this node: keyed requests are rejected".to_string(),
        (Some(0), Some(true)) => "none is committed yet: each node uses its own file".to_string(),
        (Some(version), Some(true)) => format!("{version}, for {} ms unless renewed", status["lease_ms"]),
        (Some(version), _) => {
            format!(
                "{version}, without a lease: requests about which a newer version may conflict are rejected"
            )
        }
    }
}

/// Formats the versions that are kept, the JSON answer to the call `HISTORY`: one line each, with its number
/// and size.
pub fn history(history: &Value) -> String {
    let line = |version: &Value| format!("{}  {} bytes\n", version["version"], version["bytes"]);
    items(history).map(line).collect()
}

/// Formats the differences between two versions, one line each, and their overall compatibility.
pub fn differences(differences: &[Difference], overall: Compatibility) -> String {
    let line = |difference: &Difference| {
        format!("{}: {}\n", difference.path, compatibility(difference.compatibility))
    };
    let mut report: String = differences.iter().map(line).collect();
    report += &format!("overall: {}\n", compatibility(overall));
    report
}

fn compatibility(compatibility: Compatibility) -> &'static str {
    match compatibility {
        Compatibility::Compatible => "harmless",
        Compatibility::OlderStricter => "the older one is stricter",
        Compatibility::NewerStricter => "the newer one is stricter",
        Compatibility::Conflicting => "the versions conflict",
    }
}

fn items(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("nobody").to_string()
}
