//! Whether a node could act on a version, by what it has and what is asked of it now. What is malformed is found by whoever reads
//! the settings; this looks at what is well-formed and would not do.

/// A class as a version has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// A second run of it must not be.
    pub keyed: bool,
    /// How long a key is remembered, in seconds.
    pub window_s: f64,
    /// What a request of it is worth.
    pub priority_weight: f64,
}

/// What this node has for keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Memory for keys, in KB.
    pub keys_kb: f64,
    /// Memory that a key takes, in KB.
    pub entry_kb: f64,
}

/// Requests of a class that come to this node.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The class.
    pub name: String,
    /// In a second.
    pub rate: f64,
}

/// Why a version would not do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// Whatever the operator says.
    Unfit(String),
    /// Unless the operator says that it is meant.
    Starves(String),
}

/// The class of this name.
fn of<'a>(classes: &'a [Class], name: &str) -> Option<&'a Class> {
    classes.iter().find(|c| c.name == name)
}

/// Looks at what would change from `old` to `new` under this load; the first problem there is, those that cannot be forced first.
pub fn problem(old: &[Class], new: &[Class], load: &[Load], room: Room) -> Option<Problem> {
    let keyed = new.iter().filter(|c| c.keyed);
    let kept = |c: &Class| {
        let rate = load.iter().find(|l| l.name == c.name).map_or(0.0, |l| l.rate);
        rate * c.window_s * room.entry_kb
    };
    let needed: f64 = keyed.map(kept).sum();
    if needed > room.keys_kb {
        let (needed, has) = (needed.ceil(), room.keys_kb.floor());
        return Some(Problem::Unfit(format!(
            "keys of {needed} KB at its present load, where it has {has} KB: shorten a dedup-window"
        )));
    }
    load.iter().filter(|l| l.rate > 0.0).find_map(|l| starves(old, new, load, l)).map(Problem::Starves)
}

/// What a keyed class that is asked for would lose.
fn starves(old: &[Class], new: &[Class], load: &[Load], asked: &Load) -> Option<String> {
    let was = of(old, &asked.name).filter(|c| c.keyed)?;
    let (name, rate) = (&asked.name, asked.rate);
    let Some(is) = of(new, name) else {
        return Some(format!("class {name} is dropped while {rate:.1} requests a second ask for it"));
    };
    if !is.keyed {
        return Some(format!(
            "class {name} would be run twice: it is keyed now, at {rate:.1} requests a second"
        ));
    }
    // The hold goes by worth: what comes behind a class that fills the cores does not run.
    let ahead = |classes: &[Class], c: &Class, other: &str| {
        of(classes, other).is_some_and(|o| o.priority_weight > c.priority_weight)
    };
    let overtaken = load.iter().filter(|l| l.name != *name && l.rate > rate);
    let overtaken = overtaken.into_iter().find(|l| ahead(new, is, &l.name) && !ahead(old, was, &l.name));
    overtaken.map(|l| {
        let (other, more) = (&l.name, l.rate);
        format!(
            "class {name} would come behind {other}, of which {more:.1} requests a second come: it starves"
        )
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_would_not_do_is_named() {
        let class = |name: &str, keyed, priority_weight, window_s| Class {
            name: name.into(),
            keyed,
            priority_weight,
            window_s,
        };
        let old = [class("quote", false, 1.0, 0.0), class("booking", true, 5.0, 10.0)];
        let load = [Load { name: "quote".into(), rate: 30.0 }, Load { name: "booking".into(), rate: 4.0 }];
        let quiet = [Load { name: "quote".into(), rate: 30.0 }, Load { name: "booking".into(), rate: 0.0 }];
        let room = Room { keys_kb: 100.0, entry_kb: 1.0 };
        let with = |booking: Class| vec![old[0].clone(), booking];
        let unfit = "keys of 120 KB at its present load, where it has 100 KB: shorten a dedup-window";
        let cases: [(Vec<Class>, &[Load], Option<Problem>); 7] = [
            (old.to_vec(), &load, None),
            (with(class("booking", true, 5.0, 30.0)), &load, Some(Problem::Unfit(unfit.into()))),
            (with(class("booking", true, 5.0, 30.0)), &quiet, None),
            (
                vec![old[0].clone()],
                &load,
                Some(Problem::Starves(
                    "class booking is dropped while 4.0 requests a second ask for it".into(),
                )),
            ),
            (vec![old[0].clone()], &quiet, None),
            (
                with(class("booking", true, 0.5, 10.0)),
                &load,
                Some(Problem::Starves(
                    "class booking would come behind quote, of which 30.0 requests a second come: it starves"
                        .into(),
                )),
            ),
            (
                with(class("booking", false, 5.0, 0.0)),
                &load,
                Some(Problem::Starves(
                    "class booking would be run twice: it is keyed now, at 4.0 requests a second".into(),
                )),
            ),
        ];
        for (i, (new, load, expected)) in cases.into_iter().enumerate() {
            assert_eq!(problem(&old, &new, load, room), expected, "case {i}");
        }
    }
}
