//! Tests the differences between versions: each rule of the table, and chains of compatible versions.

use gaugestand_cluster::diff::{Compatibility, Content, differences, is_immediate, overall};
use serde_json::{Value, json};

fn content(change: impl FnOnce(&mut Value)) -> Content {
    let mut all = json!({
        "settings": {
            "classes": [
                {"name": "quote", "effect": "pure", "goal-time": 1, "hard-limit": 2, "worth": 1.0},
                {"name": "booking", "effect": "token", "dedup-window": 100, "worth": 3.0}],
            "rules": {"drain-grace": 10, "fall": 5}, "extra": {"cores": 4}, "caps": {"retry-after": true}},
        "lists": {
            "subjects": {"barred": ["a", "b"]}, "gateways": {"shares": {"1": 0.5, "2": 0.5}},
            "zones": {"places": {"n1": "north", "n2": "south"}}}});
    change(&mut all);
    serde_json::from_value(all).expect("the content of a version")
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table with a line for each difference")]
fn each_difference_has_its_compatibility() {
    use Compatibility::*;
    type Change = fn(&mut Value);
    let table: &[(&str, Change, Compatibility)] = &[
        ("nothing", |_| (), Compatible),
        (
            "order of classes",
            |v| v["settings"]["classes"].as_array_mut().expect("classes are a list").reverse(),
            Compatible,
        ),
        ("worth", |v| v["settings"]["classes"][0]["worth"] = json!(2.0), Compatible),
        ("aim", |v| v["settings"]["classes"][0]["goal-time"] = json!(9), Compatible),
        ("cores", |v| v["settings"]["extra"]["cores"] = json!(8), Compatible),
        ("a longer window", |v| v["settings"]["classes"][1]["dedup-window"] = json!(101), NewerStricter),
        ("a shorter window", |v| v["settings"]["classes"][1]["dedup-window"] = json!(99), OlderStricter),
        (
            "a window that is not a number",
            |v| v["settings"]["classes"][1]["dedup-window"] = json!("x"),
            Conflicting,
        ),
        ("effect", |v| v["settings"]["classes"][0]["effect"] = json!("token"), Conflicting),
        (
            "a class removed",
            |v| drop(v["settings"]["classes"].as_array_mut().expect("classes are a list").pop()),
            NewerStricter,
        ),
        ("a shorter grace", |v| v["settings"]["rules"]["drain-grace"] = json!(9), NewerStricter),
        ("a setting without a rule", |v| v["settings"]["novel"] = json!(1), Conflicting),
        (
            "one more blocked subject",
            |v| v["lists"]["subjects"] = json!({"barred": ["a", "b", "c"]}),
            NewerStricter,
        ),
        ("one less blocked subject", |v| v["lists"]["subjects"] = json!({"barred": ["a"]}), OlderStricter),
        ("another blocked subject", |v| v["lists"]["subjects"] = json!({"barred": ["a", "c"]}), Conflicting),
        ("a lower gateway limit", |v| v["lists"]["gateways"]["shares"]["1"] = json!(0.4), NewerStricter),
        (
            "a gateway limit removed",
            |v| v["lists"]["gateways"] = json!({"shares": {"1": 0.5}}),
            OlderStricter,
        ),
        (
            "one gateway limit lower, another one higher",
            |v| v["lists"]["gateways"] = json!({"shares": {"1": 0.4, "2": 0.6}}),
            Conflicting,
        ),
        ("a node in another zone", |v| v["lists"]["zones"]["places"]["n1"] = json!("south"), Conflicting),
        ("a list of another kind", |v| v["lists"]["zones"] = json!({"barred": []}), Conflicting),
        (
            "a list of blocked subjects removed",
            |v| drop(v["lists"].as_object_mut().expect("lists are an object").remove("subjects")),
            OlderStricter,
        ),
    ];
    for (what, change, compatibility) in table {
        let found = differences(&content(|_| ()), &content(change));
        assert_eq!(overall(&found), *compatibility, "{what}: {found:?}");
        assert_eq!(found.is_empty(), *what == "nothing" || *what == "order of classes", "{what}: {found:?}");
        // In the opposite direction, the other version is the stricter one.
        let back = overall(&differences(&content(change), &content(|_| ())));
        let other = match compatibility {
            NewerStricter => OlderStricter,
            OlderStricter => NewerStricter,
            same => *same,
        };
        assert_eq!(back, other, "{what}, in the opposite direction");
        assert_eq!(
            compatibility.is_immediate(),
            matches!(compatibility, Compatible | OlderStricter),
            "{what}"
        );
    }
    // Versions that are each stricter in one difference conflict, and each difference has a path.
    let found = differences(
        &content(|_| ()),
        &content(|v| {
            v["settings"]["classes"][1]["dedup-window"] = json!(99);
            v["lists"]["subjects"] = json!({"barred": ["a", "b", "c"]});
        }),
    );
    assert_eq!(overall(&found), Conflicting);
    let paths: Vec<&str> = found.iter().map(|difference| difference.path.as_str()).collect();
    assert_eq!(paths, ["classes.booking.dedup-window", "lists.subjects"]);
}

// Two compatible versions are committed one shortly after the other. Leases of the version before them are
// valid for the last one. If the first and the last version conflicted, two nodes would act on both.
#[test]
fn immediate_activation_is_transitive() {
    let mut rng = fastrand::Rng::with_seed(1);
    let random_content = |rng: &mut fastrand::Rng| {
        let window = [json!(null), json!(1), json!(2), json!("x")][rng.usize(..4)].clone();
        let barred: Vec<&str> = ["a", "b"].into_iter().filter(|_| rng.bool()).collect();
        let mut all =
            json!({"settings": {"classes": [{"name": "quote", "worth": rng.u8(..3)}]}, "lists": {}});
        if rng.bool() {
            let effect = ["pure", "token"][rng.usize(..2)];
            let class = json!({"name": "booking", "effect": effect, "dedup-window": window});
            all["settings"]["classes"].as_array_mut().expect("classes are a list").push(class);
        }
        match rng.u8(..4) {
            0 => all["lists"]["l"] = json!({"barred": barred}),
            1 => all["lists"]["l"] = json!({"shares": {"1": rng.u8(..3)}}),
            2 => all["lists"]["l"] = json!({"places": {"n1": (["x", "y"][rng.usize(..2)])}}),
            _ => {}
        }
        if rng.u8(..8) == 0 {
            all["settings"] = json!(null);
        }
        all.to_string().into_bytes()
    };
    let mut chains = 0;
    for _ in 0..60_000 {
        let first = random_content(&mut rng);
        let second = random_content(&mut rng);
        let third = random_content(&mut rng);
        if is_immediate(&first, &second) && is_immediate(&second, &third) {
            chains += 1;
            let contents =
                [&first, &second, &third].map(|content| String::from_utf8_lossy(content).into_owned());
            assert!(is_immediate(&first, &third), "{contents:#?}");
        }
    }
    assert!(chains > 500, "only {chains} chains of compatible versions, expected more than 500");
    assert!(!is_immediate(b"no version", b"no version"));
}
