//! The module's size, width and silence about particular sites.

const MODULE: &str = include_str!("../src/controller/mod.rs");

#[test]
fn the_module_is_short_and_narrow_enough_to_be_read_aloud() {
    let lines = MODULE.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1000, "{lines} lines");
    for (i, l) in MODULE.lines().enumerate() {
        assert!(l.chars().count() <= 110, "line {} is too wide", i + 1);
    }
    assert!(MODULE.lines().next().is_some_and(|l| l.contains("interface.rs")));
    assert!(!MODULE.contains("cfg(test)"));
}

#[test]
fn the_module_names_no_site() {
    let words = ["akl", "milch", "muscat", "tariff", "usage-price", "plan-switch", "bill-estimate", "tour-"];
    let more = ["tank-", "abholung", "page-view", "doc-search", "build-publish", "std-6", "klein", "schnell"];
    let grown =
        ["dublin", "kildare", "taiwan", "zagreb", "split-", "board-", "post-", "-ahead", "renom", "slot-"];
    let tenants =
        ["learner-", "-lesson", "county", "galway", "-gas", "fuel", "lingua", "jadran", "rijec", "-2c"];
    for w in words.iter().chain(&more).chain(&grown).chain(&tenants) {
        assert!(!MODULE.to_lowercase().contains(w), "{w}");
    }
}
