//! Tests which proposed versions a node rejects, and with which error texts.

use gaugestand_cluster::validation::{ClassLoad, ClassSettings, KeyMemory, validate};

/// A rejection as an operator sees it.
#[derive(Debug, PartialEq)]
struct Rejection {
    can_be_forced: bool,
    text: String,
}

/// Proposed classes, present load, and expected result.
type Case<'a> = (Vec<ClassSettings>, &'a [ClassLoad], Result<(), Rejection>);

fn class(name: &str, keyed: bool, priority_weight: f64, dedup_window_s: f64) -> ClassSettings {
    ClassSettings { name: name.into(), keyed, dedup_window_s, priority_weight }
}

fn load(booking_rate: f64) -> [ClassLoad; 2] {
    [ClassLoad { name: "quote".into(), rate: 30.0 }, ClassLoad { name: "booking".into(), rate: booking_rate }]
}

// An operator proposes settings that would run a booking twice, or starve bookings at the present load. The
// node rejects them before anything is committed, and says whether the operator may force them.
#[test]
fn versions_that_a_node_could_not_act_on_are_rejected() {
    let old = [class("quote", false, 1.0, 0.0), class("booking", true, 5.0, 10.0)];
    let busy = load(4.0);
    let idle = load(0.0);
    let memory = KeyMemory { available_kb: 100.0, entry_kb: 1.0 };
    let with = |booking: ClassSettings| vec![old[0].clone(), booking];
    let forced = |text: &str| Err(Rejection { can_be_forced: true, text: text.to_string() });
    let final_rejection = |text: &str| Err(Rejection { can_be_forced: false, text: text.to_string() });
    let cases: [Case<'_>; 7] = [
        (old.to_vec(), &busy, Ok(())),
        (
            with(class("booking", true, 5.0, 30.0)),
            &busy,
            final_rejection(
                "keys of 120 KB at its present load, where it has 100 KB: shorten a dedup-window",
            ),
        ),
        (with(class("booking", true, 5.0, 30.0)), &idle, Ok(())),
        (
            vec![old[0].clone()],
            &busy,
            forced("class booking is dropped while 4.0 requests a second ask for it"),
        ),
        (vec![old[0].clone()], &idle, Ok(())),
        (
            with(class("booking", true, 0.5, 10.0)),
            &busy,
            forced("class booking would come behind quote, of which 30.0 requests a second come: it starves"),
        ),
        (
            with(class("booking", false, 5.0, 0.0)),
            &busy,
            forced("class booking would be run twice: it is keyed now, at 4.0 requests a second"),
        ),
    ];
    for (case, (new, load, expected)) in cases.into_iter().enumerate() {
        let result = validate(&old, &new, load, memory);
        let result = result
            .map_err(|error| Rejection { can_be_forced: error.can_be_forced(), text: error.to_string() });
        assert_eq!(result, expected, "case {case}");
    }
}
