//! The operators' settings: one Starlark script that calls builtins, each at most once.
//!
//! Guarantees: the script can do nothing but compute and call the builtins (no I/O, no other file); it is bounded
//! in size, steps, depth and memory; what is wrong is told in one line with file, line, column and a hint; and
//! nothing of the interpreter is left once [`load`] has returned. It does not guarantee that what a setting
//! names is there: that is found out by whoever uses it.
//!
//! A builtin is one entry of `BUILTINS`: its fields with their types and ranges, from which come the checks,
//! the hints and the operators' list (`gaugestand check-config --settings FILE`).
#![forbid(unsafe_code)]

mod fields;

use fields::{Builtin, Field, Kind, Values};
use serde::Serialize;
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Most nodes that agree: all of them vote.
const MOST_MEMBERS: usize = 7;
/// Longest script.
const MOST_SCRIPT: u64 = 64 * 1024;
/// Most steps (calls and turns of a loop) that it may take.
const MOST_STEPS: u64 = 200_000;
/// Most memory on its heap, in bytes: the smallest node has 32 MB in all.
const MOST_HEAP: usize = 4 << 20;
/// Deepest nesting of calls.
const MOST_DEPTH: usize = 50;

/// What the operators have set; what they have not is as without a script.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Settings {
    /// The store of record; `None` where there is none.
    pub record: Option<Record>,
    /// The nodes that this one agrees with; `None` where it is on its own.
    pub fleet: Option<Fleet>,
    /// Logs.
    pub log: Log,
}

/// The nodes that agree on settings and lists.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fleet {
    /// What the fleet is called.
    pub name: String,
    /// All nodes and where each is reached, in one order everywhere.
    pub members: Vec<(String, SocketAddr)>,
    /// The number that a node was given that joined later and is none of `members`.
    pub number: Option<u8>,
    /// Where this node listens for the others, if not at its own address among the members.
    pub listen: Option<SocketAddr>,
    /// The file of the agreed log.
    pub path: PathBuf,
    /// How long a version may be acted on without the word of a majority, in ms.
    pub contradict_ms: u64,
    /// How far two clocks may drift apart, in parts of a million.
    pub drift_ppm: u64,
    /// Which lists versions may hold.
    pub lists: Lists,
}

/// Which lists versions may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Lists {
    /// None that has a say in requests.
    None,
    /// Barred subjects.
    Barred,
    /// Gateways' shares.
    Shares,
    /// Both.
    Both,
}

/// The store of record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Record {
    /// Where rows are kept.
    #[serde(flatten)]
    pub backend: Backend,
    /// Most keys at a time.
    pub entries: usize,
    /// Most memory that they take, in MB.
    pub memory_mb: usize,
    /// A write that takes longer than this means that the store stalls, in ms.
    pub stall_ms: u64,
    /// Most writes in one transaction.
    pub batch: usize,
    /// Most writes that may wait.
    pub waiting: usize,
}

/// Where rows are kept.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "backend", rename_all = "lowercase")]
pub enum Backend {
    /// In a file of this node's own.
    Sqlite {
        /// The file.
        path: PathBuf,
        /// How far a commit goes before it counts.
        sync: Sync,
    },
    /// In a database that nodes may share.
    Postgres {
        /// The server.
        address: SocketAddr,
        /// The database.
        database: String,
        /// The role.
        user: String,
        /// The file that holds the role's password on its first line.
        password_file: PathBuf,
    },
}

/// How far a commit goes before it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Sync {
    /// The log is on the disk.
    Full,
    /// Its folder's entry too.
    Extra,
}

/// Logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Log {
    /// How a line is written.
    pub form: Form,
    /// The least that is worth a line.
    pub level: Level,
}

impl Default for Log {
    fn default() -> Self {
        Log { form: Form::Text, level: Level::Info }
    }
}

/// How a line of the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// For people.
    Text,
    /// One JSON object.
    Json,
}

/// What a line of the log is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Something does not work.
    Error,
    /// Something may not work before long.
    Warn,
    /// What an operator wants to know.
    Info,
    /// What a developer wants to know.
    Debug,
}

/// What is wrong with a script, on one line: place, fault, hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

const fn field(name: &'static str, kind: Kind) -> Field {
    Field { name, kind }
}

/// All that a script can set.
const BUILTINS: &[Builtin] = &[
    Builtin {
        name: "record",
        fields: &[
            field("backend", Kind::Word(&["sqlite", "postgres"])),
            field("path", Kind::Text),
            field("sync", Kind::Word(&["full", "extra"])),
            field("address", Kind::Address),
            field("database", Kind::Text),
            field("user", Kind::Text),
            field("password_file", Kind::Text),
            field("entries", Kind::Int(100, 2_000_000)),
            field("memory_mb", Kind::Int(1, 4_096)),
            field("stall_ms", Kind::Int(20, 5_000)),
            field("batch", Kind::Int(1, 2_000)),
            field("waiting", Kind::Int(16, 100_000)),
        ],
    },
    Builtin {
        name: "fleet",
        fields: &[
            field("name", Kind::Text),
            field("members", Kind::Texts(MOST_MEMBERS)),
            field("number", Kind::Int(0, 255)),
            field("listen", Kind::Address),
            field("path", Kind::Text),
            field("contradict_ms", Kind::Int(200, 600_000)),
            field("drift_ppm", Kind::Int(0, 50_000)),
            field("lists", Kind::Word(&["none", "barred", "shares", "both"])),
        ],
    },
    Builtin {
        name: "log",
        fields: &[
            field("form", Kind::Word(&["text", "json"])),
            field("level", Kind::Word(&["error", "warn", "info", "debug"])),
        ],
    },
];

/// What the script that this thread evaluates has set so far, and by which builtins. The interpreter hands
/// builtins a reference of ours only through a trait that is unsafe to implement.
#[derive(Debug, Default)]
struct Told(Settings, Vec<&'static str>);

thread_local! {
    static TOLD: RefCell<Told> = RefCell::default();
}

impl Told {
    /// Checks a call of a builtin and has `set` take it in.
    fn call(
        name: &'static str,
        kwargs: SmallMap<String, Value>,
        set: impl FnOnce(&mut Settings, &Values) -> anyhow::Result<()>,
    ) -> anyhow::Result<NoneType> {
        let builtin = BUILTINS.iter().find(|b| b.name == name);
        let builtin = builtin.ok_or_else(|| anyhow::anyhow!("{name}: is no setting"))?;
        let values = builtin.check(&kwargs)?;
        TOLD.with_borrow_mut(|told| {
            if told.1.contains(&name) {
                anyhow::bail!("{name}: is set twice; keep one of the two calls");
            }
            set(&mut told.0, &values)?;
            told.1.push(name);
            Ok(NoneType)
        })
    }
}

#[starlark_module]
fn builtins(builder: &mut GlobalsBuilder) {
    fn record<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        Told::call("record", kwargs, |settings, v| {
            settings.record = Some(self::record_of(v)?);
            Ok(())
        })
    }

    fn fleet<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        Told::call("fleet", kwargs, |settings, v| {
            settings.fleet = Some(self::fleet_of(v)?);
            Ok(())
        })
    }

    fn log<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        Told::call("log", kwargs, |settings, v| {
            let log = &mut settings.log;
            match v.text("form") {
                Some("json") => log.form = Form::Json,
                Some(_) => log.form = Form::Text,
                None => {}
            }
            log.level = match v.text("level") {
                Some("error") => Level::Error,
                Some("warn") => Level::Warn,
                Some("debug") => Level::Debug,
                _ => Level::Info,
            };
            Ok(())
        })
    }
}

fn fleet_of(v: &Values) -> anyhow::Result<Fleet> {
    let mut members: Vec<(String, SocketAddr)> = Vec::new();
    for member in v.list("members")? {
        let (name, address) = member.split_once('=').unwrap_or((member, ""));
        let address = address.parse().map_err(|_| {
            anyhow::anyhow!(
                "fleet: `members` has \"{member}\"; a name and an address, as in \"n1=10.0.0.7:7000\""
            )
        })?;
        if name.is_empty() || members.iter().any(|m| m.0 == name) {
            anyhow::bail!("fleet: `members` has the name \"{name}\" twice or empty; each node once");
        }
        members.push((name.to_string(), address));
    }
    if members.is_empty() {
        anyhow::bail!("fleet: `members` is empty; name all nodes, this one too");
    }
    Ok(Fleet {
        name: v.must("name")?.to_string(),
        members,
        number: v.int("number").and_then(|n| u8::try_from(n).ok()),
        listen: v.text("listen").map(str::parse).transpose()?,
        path: v.must("path")?.into(),
        contradict_ms: v.int("contradict_ms").unwrap_or(2_000),
        drift_ppm: v.int("drift_ppm").unwrap_or(500),
        lists: match v.text("lists") {
            Some("barred") => Lists::Barred,
            Some("shares") => Lists::Shares,
            Some("both") => Lists::Both,
            _ => Lists::None,
        },
    })
}

fn record_of(v: &Values) -> anyhow::Result<Record> {
    let sqlite = v.must("backend")? == "sqlite";
    let (ours, theirs): (&[&str], &[&str]) =
        (&["path", "sync"], &["address", "database", "user", "password_file"]);
    let (others, other) = if sqlite { (theirs, "postgres") } else { (ours, "sqlite") };
    if let Some(name) = others.iter().find(|name| v.has(name)) {
        anyhow::bail!("record: `{name}` belongs to backend = \"{other}\"; leave it out");
    }
    let backend = if sqlite {
        let path = v.must("path")?.into();
        let sync = if v.must("sync")? == "extra" { Sync::Extra } else { Sync::Full };
        Backend::Sqlite { path, sync }
    } else {
        Backend::Postgres {
            address: v.must("address")?.parse()?,
            database: v.must("database")?.to_string(),
            user: v.must("user")?.to_string(),
            password_file: v.must("password_file")?.into(),
        }
    };
    let int = |name: &str, default: u64| v.int(name).unwrap_or(default);
    Ok(Record {
        backend,
        entries: int("entries", 100_000) as usize,
        memory_mb: int("memory_mb", 16) as usize,
        stall_ms: int("stall_ms", 250),
        batch: int("batch", 512) as usize,
        waiting: int("waiting", 4_096) as usize,
    })
}

/// Reads a script from a file.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    let size = std::fs::metadata(path).map_err(|e| SettingsError(format!("{name}: {e}")))?.len();
    if size > MOST_SCRIPT {
        return Err(SettingsError(format!(
            "{name}: is over {MOST_SCRIPT} bytes long; split off what is no setting"
        )));
    }
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError(format!("{name}: {e}")))?;
    evaluate(&name, text)
}

/// Reads a script. The interpreter and its heap are gone when this returns.
pub fn evaluate(name: &str, text: String) -> Result<Settings, SettingsError> {
    TOLD.take();
    run(name, text).map_err(|e| {
        let place = e.span().map(|s| s.resolve_span().begin);
        let place = place.map_or(String::new(), |p| format!(":{}:{}", p.line + 1, p.column + 1));
        let fault = format!("{:#}", e.without_diagnostic());
        // One line, whatever the interpreter makes of it; its own names for a call are of no use to an operator.
        let fault = fault.lines().map(str::trim).filter(|l| !l.is_empty()).collect::<Vec<_>>().join(" ");
        SettingsError(format!("{name}{place}: {}", hinted(&fault)))
    })?;
    Ok(TOLD.take().0)
}

fn run(name: &str, text: String) -> starlark::Result<()> {
    let dialect = Dialect { enable_load: false, enable_f_strings: true, ..Dialect::Standard };
    let ast = AstModule::parse(name, text, &dialect)?;
    let globals: Globals = GlobalsBuilder::standard().with(builtins).build();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.set_max_tick_count(MOST_STEPS).map_err(starlark::Error::new_other)?;
        eval.set_max_heap_size(MOST_HEAP).map_err(starlark::Error::new_other)?;
        eval.set_max_callstack_size(MOST_DEPTH).map_err(starlark::Error::new_other)?;
        eval.eval_module(ast, &globals)?;
        Ok(())
    })
}

/// Adds a hint to what the interpreter says itself.
fn hinted(fault: &str) -> String {
    if let Some(rest) = fault.strip_prefix("Variable `") {
        let name = rest.split('`').next().unwrap_or_default();
        let names = BUILTINS.iter().map(|b| b.name);
        return format!("`{name}` is no setting; {}", fields::hint(name, names));
    }
    if fault.contains("positional") || fault.contains("Wrong number of arguments") {
        return format!("{fault}; settings are given by name, as in log(level = \"info\")");
    }
    if fault.starts_with("Parse error") || fault.contains("unexpected") {
        return format!("{fault}; the script is Starlark: name(field = value, ...), one call a setting");
    }
    if fault.contains("tick count")
        || fault.contains("Tick")
        || fault.contains("heap")
        || fault.contains("stack")
    {
        return format!(
            "{fault}; a script may take {MOST_STEPS} steps and {MOST_HEAP} bytes: set values directly"
        );
    }
    fault.to_string()
}
