//! Whether a node could act on a proposed version, given its memory for keys and its present load.
//!
//! It looks at well-formed settings only; malformed ones are rejected by whoever reads them.

/// A class of requests, as a version's settings have it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Its requests carry idempotency keys: none may run twice.
    pub keyed: bool,
    /// How long a key is remembered, in seconds.
    pub dedup_window_s: f64,
    /// Priority of its requests in the admission queue; the higher one goes first.
    pub priority_weight: f64,
}

/// Memory that this node has for idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyMemory {
    /// All of it, in KB.
    pub available_kb: f64,
    /// What one key takes, in KB.
    pub entry_kb: f64,
}

/// The present load of a class on this node.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// The class.
    pub name: String,
    /// Requests per second.
    pub rate: f64,
}

/// Why a node could not act on a version.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
    /// The keys of the new windows do not fit into memory: a key that is forgotten early could run twice.
    #[error(
        "keys of {needed_kb} KB at its present load, where it has {available_kb} KB: shorten a dedup-window"
    )]
    KeyMemory {
        /// Needed at the present load, in whole KB.
        needed_kb: f64,
        /// Available, in whole KB.
        available_kb: f64,
    },
    /// A keyed class with load is missing from the new version.
    #[error("class {class} is dropped while {rate:.1} requests a second ask for it")]
    ClassDropped {
        /// The class.
        class: String,
        /// Its load, in requests per second.
        rate: f64,
    },
    /// A keyed class with load is not keyed in the new version.
    #[error("class {class} would be run twice: it is keyed now, at {rate:.1} requests a second")]
    KeyingDropped {
        /// The class.
        class: String,
        /// Its load, in requests per second.
        rate: f64,
    },
    /// A keyed class would come after one with more load in the admission queue, and did not before.
    #[error(
        "class {class} would come behind {ahead}, of which {ahead_rate:.1} requests a second come: it starves"
    )]
    Starved {
        /// The class.
        class: String,
        /// The class that would go first.
        ahead: String,
        /// The load of that one, in requests per second.
        ahead_rate: f64,
    },
}

impl ValidationError {
    /// Whether an operator may force the version all the same.
    pub fn can_be_forced(&self) -> bool {
        !matches!(self, ValidationError::KeyMemory { .. })
    }
}

fn find<'a>(classes: &'a [ClassSettings], name: &str) -> Option<&'a ClassSettings> {
    classes.iter().find(|class| class.name == name)
}

/// Checks the change from the classes `old` to `new` under this load. Returns the first problem, those that cannot be
/// forced first.
///
/// # Errors
/// The node cannot act on the new classes under its load, such as [`ValidationError::KeyMemory`] if keys
/// would be forgotten too early. [`ValidationError::can_be_forced`] says whether an operator may force the
/// change all the same.
pub fn validate(
    old: &[ClassSettings],
    new: &[ClassSettings],
    load: &[ClassLoad],
    memory: KeyMemory,
) -> Result<(), ValidationError> {
    check_key_memory(new, load, memory)?;
    load.iter().filter(|class| class.rate > 0.0).try_for_each(|class| check_service(old, new, load, class))
}

/// Keys of all windows have to fit into memory at the present load.
fn check_key_memory(
    classes: &[ClassSettings],
    load: &[ClassLoad],
    memory: KeyMemory,
) -> Result<(), ValidationError> {
    let keyed = classes.iter().filter(|class| class.keyed);
    let class_kb = |class: &ClassSettings| {
        let rate = load.iter().find(|load| load.name == class.name).map_or(0.0, |load| load.rate);
        rate * class.dedup_window_s * memory.entry_kb
    };
    let needed_kb: f64 = keyed.map(class_kb).sum();
    if needed_kb > memory.available_kb {
        return Err(ValidationError::KeyMemory {
            needed_kb: needed_kb.ceil(),
            available_kb: memory.available_kb.floor(),
        });
    }
    Ok(())
}

/// A keyed class with load has to stay, stay keyed, and not fall behind a class with more load.
fn check_service(
    old: &[ClassSettings],
    new: &[ClassSettings],
    load: &[ClassLoad],
    checked: &ClassLoad,
) -> Result<(), ValidationError> {
    let Some(before) = find(old, &checked.name).filter(|class| class.keyed) else { return Ok(()) };
    let class = checked.name.clone();
    let rate = checked.rate;
    let Some(after) = find(new, &checked.name) else {
        return Err(ValidationError::ClassDropped { class, rate });
    };
    if !after.keyed {
        return Err(ValidationError::KeyingDropped { class, rate });
    }
    // The queue serves higher weights first: what comes after a class that fills the cores does not run.
    let goes_first = |classes: &[ClassSettings], other: &str, than: &ClassSettings| {
        find(classes, other).is_some_and(|other| other.priority_weight > than.priority_weight)
    };
    let busier = load.iter().filter(|other| other.name != checked.name && other.rate > rate);
    let mut overtaking =
        busier.filter(|other| goes_first(new, &other.name, after) && !goes_first(old, &other.name, before));
    match overtaking.next() {
        Some(ahead) => {
            Err(ValidationError::Starved { class, ahead: ahead.name.clone(), ahead_rate: ahead.rate })
        }
        None => Ok(()),
    }
}
