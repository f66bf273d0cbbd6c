//! Checks whether a node could act on a proposed version, given its memory for idempotency keys and its
//! present load.
//!
//! The checks assume well-formed settings: the code that parses the settings rejects malformed ones.

/// The settings of a request class in a version, as far as validation depends on them.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Name of the class.
    pub name: String,
    /// Whether requests of the class carry idempotency keys, so that none may run twice.
    pub keyed: bool,
    /// How long the node remembers an idempotency key of the class, in seconds.
    pub dedup_window_s: f64,
    /// Priority of the class in the admission queue; requests of a class with a higher weight go first.
    pub priority_weight: f64,
}

/// Memory that this node has configured for idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyMemory {
    /// Total memory for keys, in KB.
    pub available_kb: f64,
    /// Memory that one key needs, in KB.
    pub entry_kb: f64,
}

/// The present load of a class on this node.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// Name of the class.
    pub name: String,
    /// Requests of the class per second, as measured on this node.
    pub rate: f64,
}

/// Why a node could not act on a version. The texts go to the operator, through the leader.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValidationError {
    /// The keys of the new deduplication windows do not fit into memory: a key that is forgotten too early
    /// could run twice.
    #[error(
        "keys of {needed_kb} KB at its present load, where it has {available_kb} KB: shorten a dedup-window"
    )]
    KeyMemory {
        /// Memory needed at the present load, in KB, rounded up to whole KB.
        needed_kb: f64,
        /// Memory available, in KB, rounded down to whole KB.
        available_kb: f64,
    },
    /// A keyed class with load is missing from the new version.
    #[error("class {class} is dropped while {rate:.1} requests a second ask for it")]
    ClassDropped {
        /// Name of the class.
        class: String,
        /// Load of the class, in requests per second.
        rate: f64,
    },
    /// A keyed class with load is not keyed in the new version.
    #[error("class {class} would be run twice: it is keyed now, at {rate:.1} requests a second")]
    KeyingDropped {
        /// Name of the class.
        class: String,
        /// Load of the class, in requests per second.
        rate: f64,
    },
    /// In the admission queue, a keyed class would come after a class with more load, which it does not under
    /// the old settings.
    #[error(
        "class {class} would come behind {ahead}, of which {ahead_rate:.1} requests a second come: it starves"
    )]
    Starved {
        /// Name of the class.
        class: String,
        /// Name of the class that would go first.
        ahead: String,
        /// Load of the class that would go first, in requests per second.
        ahead_rate: f64,
    },
}

impl ValidationError {
    /// Whether an operator may force the version in spite of this error; false only for missing key memory.
    pub fn can_be_forced(&self) -> bool {
        !matches!(self, ValidationError::KeyMemory { .. })
    }
}

fn find_class<'a>(classes: &'a [ClassSettings], name: &str) -> Option<&'a ClassSettings> {
    classes.iter().find(|class| class.name == name)
}

/// Checks the change from the classes `old` to the classes `new` under the node's present load. Returns the
/// first problem, and a problem that cannot be forced before others.
///
/// # Errors
/// The node cannot act on the new classes under its load, such as [`ValidationError::KeyMemory`] if keys
/// would be forgotten too early. [`ValidationError::can_be_forced`] says whether an operator may force the
/// change nevertheless.
pub fn validate(
    old: &[ClassSettings],
    new: &[ClassSettings],
    load: &[ClassLoad],
    memory: KeyMemory,
) -> Result<(), ValidationError> {
    check_key_memory(new, load, memory)?;
    load.iter()
        .filter(|class| class.rate > 0.0)
        .try_for_each(|class| check_keyed_class(old, new, load, class))
}

/// Checks that the keys of all deduplication windows fit into memory at the present load.
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

/// Checks that a keyed class with load remains, remains keyed, and does not fall behind a class with more
/// load.
fn check_keyed_class(
    old: &[ClassSettings],
    new: &[ClassSettings],
    load: &[ClassLoad],
    checked: &ClassLoad,
) -> Result<(), ValidationError> {
    let Some(before) = find_class(old, &checked.name).filter(|class| class.keyed) else { return Ok(()) };
    let class = checked.name.clone();
    let rate = checked.rate;
    let Some(after) = find_class(new, &checked.name) else {
        return Err(ValidationError::ClassDropped { class, rate });
    };
    if !after.keyed {
        return Err(ValidationError::KeyingDropped { class, rate });
    }
    // The queue serves higher weights first, so a class does not run if it comes after a class whose load
    // fills the cores.
    let goes_first = |classes: &[ClassSettings], other: &str, than: &ClassSettings| {
        find_class(classes, other).is_some_and(|other| other.priority_weight > than.priority_weight)
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
