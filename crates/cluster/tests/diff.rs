//! The table of differences, row by row.

use gaugestand_cluster::diff::{Content, Kind, differences, is_immediate, verdict};
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
    serde_json::from_value(all).expect("a version")
}

#[test]
fn each_difference_is_of_its_kind() {
    use Kind::*;
    type Change = fn(&mut Value);
    let table: &[(&str, Change, Kind)] = &[
        ("nothing", |_| (), Harmless),
        (
            "order of classes",
            |v| v["settings"]["classes"].as_array_mut().expect("a list").reverse(),
            Harmless,
        ),
        ("worth", |v| v["settings"]["classes"][0]["worth"] = json!(2.0), Harmless),
        ("aim", |v| v["settings"]["classes"][0]["goal-time"] = json!(9), Harmless),
        ("cores", |v| v["settings"]["extra"]["cores"] = json!(8), Harmless),
        ("a longer window", |v| v["settings"]["classes"][1]["dedup-window"] = json!(101), NewerStricter),
        ("a shorter one", |v| v["settings"]["classes"][1]["dedup-window"] = json!(99), OlderStricter),
        (
            "a window that is none",
            |v| v["settings"]["classes"][1]["dedup-window"] = json!("x"),
            Contradicting,
        ),
        ("effect", |v| v["settings"]["classes"][0]["effect"] = json!("token"), Contradicting),
        (
            "a class less",
            |v| drop(v["settings"]["classes"].as_array_mut().expect("a list").pop()),
            NewerStricter,
        ),
        ("a shorter grace", |v| v["settings"]["rules"]["drain-grace"] = json!(9), NewerStricter),
        ("unknown to this program", |v| v["settings"]["novel"] = json!(1), Contradicting),
        ("one more barred", |v| v["lists"]["subjects"] = json!({"barred": ["a", "b", "c"]}), NewerStricter),
        ("one less", |v| v["lists"]["subjects"] = json!({"barred": ["a"]}), OlderStricter),
        ("another one", |v| v["lists"]["subjects"] = json!({"barred": ["a", "c"]}), Contradicting),
        ("a lower share", |v| v["lists"]["gateways"]["shares"]["1"] = json!(0.4), NewerStricter),
        ("a share that is gone", |v| v["lists"]["gateways"] = json!({"shares": {"1": 0.5}}), OlderStricter),
        (
            "shares that move",
            |v| v["lists"]["gateways"] = json!({"shares": {"1": 0.4, "2": 0.6}}),
            Contradicting,
        ),
        ("a zone that moves", |v| v["lists"]["zones"]["places"]["n1"] = json!("south"), Contradicting),
        ("a list of another form", |v| v["lists"]["zones"] = json!({"barred": []}), Contradicting),
        (
            "a barred list that is gone",
            |v| drop(v["lists"].as_object_mut().expect("lists").remove("subjects")),
            OlderStricter,
        ),
    ];
    for (what, change, kind) in table {
        let found = differences(&content(|_| ()), &content(change));
        assert_eq!(verdict(&found), *kind, "{what}: {found:?}");
        assert_eq!(found.is_empty(), *what == "nothing" || *what == "order of classes", "{what}: {found:?}");
        // Seen from the other side it is the other one that is stricter.
        let back = verdict(&differences(&content(change), &content(|_| ())));
        let other = match kind {
            NewerStricter => OlderStricter,
            OlderStricter => NewerStricter,
            same => *same,
        };
        assert_eq!(back, other, "{what}, back");
        assert_eq!(kind.is_immediate(), matches!(kind, Harmless | OlderStricter), "{what}");
    }
    // Stricter in both ways is a contradiction, and a place is named.
    let found = differences(
        &content(|_| ()),
        &content(|v| {
            v["settings"]["classes"][1]["dedup-window"] = json!(99);
            v["lists"]["subjects"] = json!({"barred": ["a", "b", "c"]});
        }),
    );
    assert_eq!(verdict(&found), Contradicting);
    let at: Vec<&str> = found.iter().map(|d| d.at.as_str()).collect();
    assert_eq!(at, ["classes.booking.dedup-window", "lists.subjects"]);
}

// Guards against two steps that may each be acted on at once, and together may not: leases of the first one count for the last.
#[test]
fn steps_that_need_no_wait_need_none_together() {
    let mut rng = fastrand::Rng::with_seed(1);
    let some = |rng: &mut fastrand::Rng| {
        let window = [json!(null), json!(1), json!(2), json!("x")][rng.usize(..4)].clone();
        let barred: Vec<&str> = ["a", "b"].into_iter().filter(|_| rng.bool()).collect();
        let mut all =
            json!({"settings": {"classes": [{"name": "quote", "worth": rng.u8(..3)}]}, "lists": {}});
        if rng.bool() {
            let effect = ["pure", "token"][rng.usize(..2)];
            let class = json!({"name": "booking", "effect": effect, "dedup-window": window});
            all["settings"]["classes"].as_array_mut().expect("a list").push(class);
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
        let (a, b, c) = (some(&mut rng), some(&mut rng), some(&mut rng));
        if is_immediate(&a, &b) && is_immediate(&b, &c) {
            chains += 1;
            let told = [&a, &b, &c].map(|v| String::from_utf8_lossy(v).into_owned());
            assert!(is_immediate(&a, &c), "{told:#?}");
        }
    }
    assert!(chains > 500, "only {chains} chains");
    assert!(!is_immediate(b"no version", b"no version"));
}
