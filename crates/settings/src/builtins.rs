//! The builtins that a script can call, and how their arguments become settings.

use crate::error::CallError;
use crate::fields::{Builtin, Field, FieldType, Values};
use crate::settings::{
    Backend, ClusterSettings, IdempotencyStoreSettings, Lists, LogFormat, LogLevel, Settings, SyncMode,
};
use starlark::collections::SmallMap;
use starlark::environment::GlobalsBuilder;
use starlark::starlark_module;
use starlark::values::Value;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use std::net::SocketAddr;

/// Maximum number of founding members of a cluster. All of them vote, and each further voter makes a quorum
/// slower.
const MAX_MEMBERS: usize = 7;
/// Default duration of a cluster's lease, in milliseconds: several times the longest pause of a healthy
/// network.
const DEFAULT_LEASE_MS: u64 = 2_000;
/// Default bound on the drift between the clocks of two nodes, in parts per million: five times the rating of
/// common oscillators.
const DEFAULT_DRIFT_PPM: u64 = 500;

const fn field(name: &'static str, field_type: FieldType) -> Field {
    Field { name, field_type }
}

/// All builtins that a script can call, with the type and range of each field.
pub(crate) const BUILTINS: &[Builtin] = &[
    Builtin {
        name: "record",
        fields: &[
            field("backend", FieldType::Word(&["sqlite", "postgres"])),
            field("path", FieldType::Text),
            field("sync", FieldType::Word(&["full", "extra"])),
            field("address", FieldType::Address),
            field("database", FieldType::Text),
            field("user", FieldType::Text),
            field("password_file", FieldType::Text),
            field("entries", FieldType::Int(100, 2_000_000)),
            field("memory_mb", FieldType::Int(1, 4_096)),
            field("stall_ms", FieldType::Int(20, 5_000)),
            field("batch", FieldType::Int(1, 2_000)),
            field("waiting", FieldType::Int(16, 100_000)),
        ],
    },
    Builtin {
        name: "fleet",
        fields: &[
            field("name", FieldType::Text),
            field("members", FieldType::Texts(MAX_MEMBERS)),
            field("number", FieldType::Int(0, 255)),
            field("listen", FieldType::Address),
            field("path", FieldType::Text),
            field("contradict_ms", FieldType::Int(200, 600_000)),
            field("drift_ppm", FieldType::Int(0, 50_000)),
            field("lists", FieldType::Word(&["none", "barred", "shares", "both"])),
        ],
    },
    Builtin {
        name: "log",
        fields: &[
            field("form", FieldType::Word(&["text", "json"])),
            field("level", FieldType::Word(&["error", "warn", "info", "debug"])),
        ],
    },
];

/// What the script under evaluation has set so far.
#[derive(Debug, Default)]
struct Evaluation {
    settings: Settings,
    /// Names of the builtins that the script has called. Each may be called once.
    called: Vec<&'static str>,
}

thread_local! {
    // The interpreter passes a builtin a reference to state of its caller only through a trait that is unsafe
    // to implement. The state of the evaluation is therefore a variable of the thread that evaluates.
    static EVALUATION: RefCell<Evaluation> = RefCell::default();
}

/// Returns what the evaluation on this thread has set, and resets the state for the next evaluation.
pub(crate) fn take_settings() -> Settings {
    EVALUATION.take().settings
}

/// Checks the arguments of a call of the builtin `name`, then has `set` store them in the settings.
fn call(
    name: &'static str,
    arguments: SmallMap<String, Value>,
    set: impl FnOnce(&mut Settings, &Values) -> anyhow::Result<()>,
) -> anyhow::Result<NoneType> {
    let builtin = BUILTINS.iter().find(|builtin| builtin.name == name);
    let builtin = builtin.ok_or(CallError::UnknownBuiltin { name })?;
    let values = builtin.check(&arguments)?;
    EVALUATION.with_borrow_mut(|evaluation| {
        if evaluation.called.contains(&name) {
            return Err(CallError::SetTwice { name }.into());
        }
        set(&mut evaluation.settings, &values)?;
        evaluation.called.push(name);
        Ok(NoneType)
    })
}

#[starlark_module]
pub(crate) fn builtins(builder: &mut GlobalsBuilder) {
    fn record<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        call("record", kwargs, |settings, values| {
            settings.record = Some(idempotency_store_settings(values)?);
            Ok(())
        })
    }

    fn fleet<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        call("fleet", kwargs, |settings, values| {
            settings.fleet = Some(cluster_settings(values)?);
            Ok(())
        })
    }

    fn log<'v>(#[starlark(kwargs)] kwargs: SmallMap<String, Value<'v>>) -> anyhow::Result<NoneType> {
        call("log", kwargs, |settings, values| {
            set_log_settings(settings, values);
            Ok(())
        })
    }
}

fn set_log_settings(settings: &mut Settings, values: &Values) {
    match values.text("form") {
        Some("json") => settings.log.form = LogFormat::Json,
        Some(_) => settings.log.form = LogFormat::Text,
        None => {}
    }
    settings.log.level = match values.text("level") {
        Some("error") => LogLevel::Error,
        Some("warn") => LogLevel::Warn,
        Some("debug") => LogLevel::Debug,
        _ => LogLevel::Info,
    };
}

fn cluster_settings(values: &Values) -> anyhow::Result<ClusterSettings> {
    Ok(ClusterSettings {
        members: members(values.required_list("members")?)?,
        name: values.required_text("name")?.to_string(),
        number: values.int("number").and_then(|number| u8::try_from(number).ok()),
        listen: values.text("listen").map(str::parse).transpose()?,
        path: values.required_text("path")?.into(),
        contradict_ms: values.int("contradict_ms").unwrap_or(DEFAULT_LEASE_MS),
        drift_ppm: values.int("drift_ppm").unwrap_or(DEFAULT_DRIFT_PPM),
        lists: match values.text("lists") {
            Some("barred") => Lists::Barred,
            Some("shares") => Lists::Shares,
            Some("both") => Lists::Both,
            _ => Lists::None,
        },
    })
}

/// Parses the members of a cluster, each given as a text `NAME=ADDRESS`.
fn members(texts: &[String]) -> Result<Vec<(String, SocketAddr)>, CallError> {
    let mut members: Vec<(String, SocketAddr)> = Vec::new();
    for member in texts {
        let (name, address) = member.split_once('=').unwrap_or((member, ""));
        let address = address.parse().map_err(|_| CallError::MalformedMember { member: member.clone() })?;
        if name.is_empty() || members.iter().any(|known| known.0 == name) {
            return Err(CallError::DuplicateMember { name: name.to_string() });
        }
        members.push((name.to_string(), address));
    }
    if members.is_empty() {
        return Err(CallError::NoMembers);
    }
    Ok(members)
}

/// Fields of `record` that only the SQLite backend has.
const SQLITE_FIELDS: &[&str] = &["path", "sync"];
/// Fields of `record` that only the PostgreSQL backend has.
const POSTGRES_FIELDS: &[&str] = &["address", "database", "user", "password_file"];

fn idempotency_store_settings(values: &Values) -> anyhow::Result<IdempotencyStoreSettings> {
    let is_sqlite = values.required_text("backend")? == "sqlite";
    let (other_backend_fields, other_backend) =
        if is_sqlite { (POSTGRES_FIELDS, "postgres") } else { (SQLITE_FIELDS, "sqlite") };
    if let Some(field) = other_backend_fields.iter().find(|field| values.has(field)) {
        return Err(CallError::FieldOfOtherBackend { field, backend: other_backend }.into());
    }
    let backend = if is_sqlite { sqlite_backend(values)? } else { postgres_backend(values)? };
    let int = |name: &str, default: u64| values.int(name).unwrap_or(default);
    Ok(IdempotencyStoreSettings {
        backend,
        entries: int("entries", 100_000) as usize,
        memory_mb: int("memory_mb", 16) as usize,
        stall_ms: int("stall_ms", 250),
        batch: int("batch", 512) as usize,
        waiting: int("waiting", 4_096) as usize,
    })
}

fn sqlite_backend(values: &Values) -> Result<Backend, CallError> {
    let path = values.required_text("path")?.into();
    let sync = if values.required_text("sync")? == "extra" { SyncMode::Extra } else { SyncMode::Full };
    Ok(Backend::Sqlite { path, sync })
}

fn postgres_backend(values: &Values) -> anyhow::Result<Backend> {
    Ok(Backend::Postgres {
        address: values.required_text("address")?.parse()?,
        database: values.required_text("database")?.to_string(),
        user: values.required_text("user")?.to_string(),
        password_file: values.required_text("password_file")?.into(),
    })
}
