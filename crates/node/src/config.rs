//! The configuration: the BALANCER variables and the JSON file that one of them names.

use gaugestand_admission::time::Micros;
use gaugestand_admission::{
    BackpressureSignal, Class, Controller, Downstream, Effect, Preemption, Settings, SettingsError, Span,
    Tenant, WeightBy,
};
use gaugestand_settings::{Backend, Settings as Operators};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::{env, fmt, fs};

/// Fewest descriptors with which anything can be served: the node's own and a few connections.
const LEAST_SOCKETS: usize = 32;
/// Share of the process's memory that keys and their results may take; the rest is for what is open.
const KEPT_SHARE: f64 = 0.5;
/// Settings beyond this are absurd: cores, classes, requests.
const MOST: f64 = 1e6;
/// Lengths of time beyond this are absurd: a million seconds, in nanoseconds.
const LONGEST: f64 = 1e15;

/// What a node is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where gateways connect.
    pub listen: SocketAddr,
    /// What does the work.
    pub kernel: SocketAddr,
    /// Where it reports that it lives.
    pub members: Option<SocketAddr>,
    /// Where its calls go.
    pub store: Option<SocketAddr>,
    /// Where operators' calls come in.
    pub admin: Option<SocketAddr>,
    /// For random choices.
    pub seed: u64,
    /// From the notice to leave to the end.
    pub stop: Micros,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Bytes that keys and results may take without a store of record: half of the process's memory, where that is told.
    pub most_kept: usize,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Which of them are keyed.
    pub keyed: Vec<bool>,
    /// Names of the kernel's gauges, in their order.
    pub gauges: Vec<String>,
    /// Whether requests say how long their gateway waits.
    pub tells_patience: bool,
    /// What the decisions are told.
    pub settings: Settings,
    /// The JSON file as it was read.
    pub file: Value,
    /// The operators' script, where there is one.
    pub script: Option<PathBuf>,
    /// What it sets.
    pub operators: Operators,
}

/// What is wrong with the configuration, in one line.
#[derive(Debug)]
pub enum ConfigError {
    /// With the variables or the JSON file.
    Told(String),
    /// With the operators' script, or what it names.
    Script(String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Told(problem) => write!(f, "configuration: {problem}"),
            ConfigError::Script(problem) => f.write_str(problem),
        }
    }
}

impl From<SettingsError> for ConfigError {
    fn from(e: SettingsError) -> Self {
        ConfigError::Told(e.to_string())
    }
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    kernel: Option<String>,
    members: Option<String>,
    store: Option<String>,
    admin_addr: Option<String>,
    seed: Option<String>,
    stop_ms: u64,
    limits: Limits,
    settings: Told,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: Option<f64>,
}

/// The settings, under the names and in the units of the simulator's first message.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Told {
    classes: Vec<ToldClass>,
    #[serde(default)]
    realms: Vec<ToldRealm>,
    #[serde(default)]
    #[serde(rename = "over-share-worth")]
    over_quota_weight: f64,
    #[serde(rename = "worth-by")]
    weight_by: Option<String>,
    #[serde(default)]
    #[serde(rename = "fleet-size")]
    cluster_size: f64,
    extra: Extra,
    caps: Caps,
    rules: Rules,
    #[serde(deserialize_with = "nanos")]
    tick: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ToldClass {
    name: String,
    #[serde(deserialize_with = "nanos")]
    goal_time: u64,
    #[serde(default)]
    #[serde(rename = "aim-stretch")]
    objective_stretch: f64,
    #[serde(deserialize_with = "nanos")]
    hard_limit: u64,
    #[serde(rename = "worth")]
    priority_weight: f64,
    #[serde(default)]
    #[serde(rename = "late-worth")]
    late_weight: f64,
    effect: String,
    #[serde(default, deserialize_with = "nanos")]
    dedup_window: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ToldRealm {
    #[serde(default)]
    quota_per_s: f64,
    #[serde(default)]
    share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Extra {
    #[serde(rename = "below")]
    downstream: Option<String>,
    #[serde(default)]
    callers: f64,
    #[serde(default)]
    #[serde(rename = "calls-out")]
    outbound_call_limit: f64,
    #[serde(default)]
    class_calls: Vec<bool>,
    #[serde(default)]
    class_skip_worth: Vec<f64>,
    #[serde(default)]
    cold: bool,
    cores: f64,
    #[serde(default, deserialize_with = "nanos")]
    dep_window: u64,
    #[serde(default)]
    #[serde(rename = "full-checks")]
    deep_health_checks: bool,
    #[serde(default)]
    gauges: Vec<String>,
    #[serde(rename = "halt")]
    preemption: Option<String>,
    #[serde(default, deserialize_with = "nanos")]
    #[serde(rename = "heeded")]
    signal_retention: u64,
    heap_kb: f64,
    #[serde(default)]
    #[serde(rename = "key-kb")]
    entry_kb: f64,
    #[serde(default)]
    #[serde(rename = "list-follows")]
    list_follows_health: bool,
    #[serde(default)]
    passes_deadline: bool,
    #[serde(rename = "run-factor")]
    running_memory_factor: f64,
    #[serde(rename = "signal")]
    backpressure_signal: Option<String>,
    #[serde(default, deserialize_with = "nanos")]
    stays_for: u64,
    #[serde(default, deserialize_with = "nanos")]
    caller_idle: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Caps {
    #[serde(default, deserialize_with = "nanos")]
    max_retry_after: u64,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    #[serde(deserialize_with = "nanos")]
    grace_to_answer: u64,
    #[serde(default)]
    #[serde(rename = "cold-share")]
    cold_speed_share: f64,
    #[serde(default, deserialize_with = "nanos")]
    cold: u64,
    #[serde(deserialize_with = "nanos")]
    drain_grace: u64,
    #[serde(deserialize_with = "nanos")]
    fall: u64,
    fall_multiple: f64,
}

/// A length of time in nanoseconds, as any JSON number.
fn nanos<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let x = f64::deserialize(from)?;
    if (0.0..=LONGEST).contains(&x) {
        Ok(x as u64)
    } else {
        Err(serde::de::Error::custom("a length of time that is out of range"))
    }
}

fn wrong<T>(key: &str, why: &str) -> Result<T, ConfigError> {
    Err(ConfigError::Told(format!("{key}: {why}")))
}

/// Reads the configuration that the environment names, and the operators' script if there is one: they count as
/// one.
pub fn load(script: Option<&Path>) -> Result<Config, ConfigError> {
    let operators = script.map(gaugestand_settings::load).transpose();
    let operators = operators.map_err(|e| ConfigError::Script(e.to_string()))?.unwrap_or_default();
    if let Some(Backend::Postgres { password_file, .. }) = operators.record.as_ref().map(|r| &r.backend) {
        super::idempotency_store::password(password_file)
            .map_err(|error| ConfigError::Script(error.to_string()))?;
    }
    let config = told()?;
    if operators.record.is_some() && config.sockets < LEAST_SOCKETS + super::idempotency_store::SOCKETS {
        let least = LEAST_SOCKETS + super::idempotency_store::SOCKETS;
        return wrong("limits.sockets", &format!("must be at least {least} with a store of record"));
    }
    if operators.fleet.is_some() && config.sockets < LEAST_SOCKETS + super::peers::SOCKETS {
        let least = LEAST_SOCKETS + super::peers::SOCKETS;
        return wrong("limits.sockets", &format!("must be at least {least} with a fleet"));
    }
    Ok(Config { operators, script: script.map(Path::to_path_buf), ..config })
}

fn told() -> Result<Config, ConfigError> {
    let Ok(path) = env::var("BALANCER_CONFIG") else { return wrong("BALANCER_CONFIG", "is not set") };
    let text = fs::read_to_string(&path).or_else(|e| wrong("BALANCER_CONFIG", &e.to_string()))?;
    let given = |name: &str| env::var(name).ok();
    parse(&text, given("BALANCER_NAME"), given("BALANCER_LISTEN"), given("BALANCER_ADMIN_ADDR"))
}

/// Reads a configuration from its JSON; a name and addresses given beside it go before its own.
pub fn parse(
    text: &str,
    name: Option<String>,
    listen: Option<String>,
    admin: Option<String>,
) -> Result<Config, ConfigError> {
    let value: Value = serde_json::from_str(text).or_else(|e| wrong("BALANCER_CONFIG", &e.to_string()))?;
    let mut file: File = serde_json::from_str(text).or_else(|e| wrong("BALANCER_CONFIG", &e.to_string()))?;
    file.name = name.or(file.name);
    file.listen = listen.or(file.listen);
    file.admin_addr = admin.or(file.admin_addr);
    Ok(Config { file: value, ..check(file)? })
}

/// A key that was there and is not. A class of a known name has to have all that it had, another one what all had.
fn missing(old: &Value, new: &Value, path: &str) -> Option<String> {
    let at = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, was)| match new.get(key) {
            None => Some(at(key)),
            Some(Value::Null) if !was.is_null() => Some(at(key)),
            Some(is) => missing(was, is, &at(key)),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let of_name = |name: &Value| old.iter().find(|c| c.get("name").is_some_and(|n| n == name));
            let shared = |key: &String| old.iter().all(|c| c.get(key).is_some());
            new.iter().enumerate().find_map(|(i, is)| {
                let (path, is) = (at(&i.to_string()), is.as_object()?);
                match (is.get("name").and_then(of_name), old.first()) {
                    (Some(was), _) => missing(was, &Value::Object(is.clone()), &path),
                    (None, Some(Value::Object(first))) => {
                        let lacks = |key: &&String| shared(key) && !is.contains_key(*key);
                        first.keys().find(lacks).map(|key| format!("{path}.{key}"))
                    }
                    _ => None,
                }
            })
        }
        _ => None,
    }
}

/// Reads the configuration again. What a node cannot change while it serves must be as it was, and every key that the
/// present file has must be there: a file that lacks one is one that was cut short or spoilt.
pub fn reload(old: &Config) -> Result<Config, ConfigError> {
    let new = load(old.script.as_deref())?;
    follows(old, &new)?;
    Ok(new)
}

/// The same configuration under other settings, with the node's own part of them (`extra`: cores, memory, what lies below)
/// but for what goes by class. `local` is what the node's file has; null settings mean those.
pub fn with_settings(old: &Config, local: &Value, settings: &Value) -> Result<Config, ConfigError> {
    let mut merged = if settings.is_null() { local.clone() } else { settings.clone() };
    if let (Some(new), Some(own)) = (merged.as_object_mut(), local.get("extra")) {
        let mut extra = own.clone();
        for key in ["class-calls", "class-skip-worth"] {
            if let Some(by_class) = settings.get("extra").and_then(|x| x.get(key)) {
                extra[key] = by_class.clone();
            }
        }
        new.insert("extra".into(), extra);
    }
    let mut file = old.file.clone();
    file["settings"] = merged;
    let (listen, admin) = (old.listen.to_string(), old.admin.map(|a| a.to_string()));
    let new = parse(&file.to_string(), Some(old.name.clone()), Some(listen), admin)?;
    Ok(Config { operators: old.operators.clone(), script: old.script.clone(), ..new })
}

/// Whether a configuration may take the place of another while the node serves.
pub fn follows(old: &Config, new: &Config) -> Result<(), ConfigError> {
    if let Some(key) = missing(&old.file, &new.file, "") {
        return wrong(&key, "is missing, and was there before");
    }
    let same = [
        ("name", old.name == new.name),
        ("listen", old.listen == new.listen),
        ("limits.sockets", old.sockets == new.sockets),
    ];
    if let Some((key, _)) = same.into_iter().find(|s| !s.1) {
        return wrong(key, "cannot change while the node serves");
    }
    let store = |c: &Config| c.operators.record.as_ref().map(|r| (r.backend.clone(), r.entries));
    let fleet = |c: &Config| c.operators.fleet.clone();
    let same = [
        ("record", "another store would not know what this one holds", store(old) == store(new)),
        ("fleet", "the others would not know", fleet(old) == fleet(new)),
        ("log: `form`", "its reader expects one form", old.operators.log.form == new.operators.log.form),
    ];
    match same.into_iter().find(|s| !s.2) {
        Some((what, why, _)) => {
            let script = old.script.as_deref().map_or(String::new(), |s| format!("{}: ", s.display()));
            Err(ConfigError::Script(format!(
                "{script}{what} cannot change while the node serves, as {why}; restart it"
            )))
        }
        None => Ok(()),
    }
}

fn check(file: File) -> Result<Config, ConfigError> {
    let name = file.name.unwrap_or_default();
    if name.is_empty() || name.contains(char::is_whitespace) {
        return wrong("name", "must be one word");
    }
    let sockets = file.limits.sockets;
    if sockets < LEAST_SOCKETS {
        return wrong("limits.sockets", &format!("must be at least {LEAST_SOCKETS}"));
    }
    let most_kept = match file.limits.memory_mb {
        None => usize::MAX,
        Some(mb) if (1.0..=MOST).contains(&mb) => (mb * KEPT_SHARE * 1024.0 * 1024.0) as usize,
        Some(_) => return wrong("limits.memory_mb", "is out of range"),
    };
    if file.stop_ms == 0 {
        return wrong("stop_ms", "must be above 0");
    }
    let seed = match file.seed.as_deref().map(|s| u64::from_str_radix(s, 16)) {
        None => 0,
        Some(Ok(seed)) => seed,
        Some(Err(_)) => return wrong("seed", "must be hexadecimal"),
    };
    let told = file.settings;
    let settings = settings(&told)?;
    Controller::new(settings.clone(), seed)?;
    Ok(Config {
        name,
        listen: address("listen", file.listen)?,
        kernel: address("kernel", file.kernel)?,
        members: file.members.map(|a| address("members", Some(a))).transpose()?,
        store: file.store.map(|a| address("store", Some(a))).transpose()?,
        admin: file.admin_addr.map(|a| address("admin_addr", Some(a))).transpose()?,
        seed,
        stop: Micros::millis(file.stop_ms),
        sockets,
        most_kept,
        keyed: settings.classes.iter().map(|c| c.effect == Effect::Keyed).collect(),
        classes: told.classes.into_iter().map(|c| c.name).collect(),
        gauges: told.extra.gauges,
        tells_patience: told.extra.passes_deadline,
        settings,
        file: Value::Null,
        script: None,
        operators: Operators::default(),
    })
}

fn address(key: &str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    match text.as_deref().map(str::parse) {
        Some(Ok(address)) => Ok(address),
        Some(Err(_)) => wrong(key, "is not an address and a port"),
        None => wrong(key, "is missing"),
    }
}

fn within(key: &str, x: f64, least: f64) -> Result<f64, ConfigError> {
    if (least..=MOST * MOST).contains(&x) { Ok(x) } else { wrong(key, "is out of range") }
}

fn count(key: &str, x: f64, least: f64) -> Result<u32, ConfigError> {
    if (least..=MOST).contains(&x) { Ok(x as u32) } else { wrong(key, "is out of range") }
}

fn class(told: &Told, i: usize) -> Result<Class, ConfigError> {
    let c = &told.classes[i];
    let key = |name: &str| format!("settings.classes.{i}.{name}");
    if c.name.is_empty() || told.classes[..i].iter().any(|other| other.name == c.name) {
        return wrong(&key("name"), "must be there once");
    }
    Ok(Class {
        latency_objective: Span(c.goal_time),
        objective_stretch: within(&key("aim-stretch"), c.objective_stretch, 0.0)?,
        deadline: Span(c.hard_limit),
        priority_weight: within(&key("worth"), c.priority_weight, 0.0)?,
        late_weight: within(&key("late-worth"), c.late_weight, 0.0)?,
        effect: match c.effect.as_str() {
            "pure" => Effect::Pure,
            "token" => Effect::Keyed,
            "side_effect" => Effect::Unsafe,
            _ => return wrong(&key("effect"), "is none of pure, token, side_effect"),
        },
        dedup_window: Span(c.dedup_window),
        calls: told.extra.class_calls.get(i).copied().unwrap_or(false),
        skipped_call_weight: told.extra.class_skip_worth.get(i).copied().unwrap_or(0.0),
    })
}

fn settings(told: &Told) -> Result<Settings, ConfigError> {
    let (x, rules) = (&told.extra, &told.rules);
    let classes = (0..told.classes.len()).map(|i| class(told, i)).collect::<Result<_, _>>()?;
    let tenants = told.realms.iter().map(|r| Tenant { quota_per_s: r.quota_per_s, share: r.share }).collect();
    Ok(Settings {
        classes,
        tenants,
        over_quota_weight: within("settings.over-share-worth", told.over_quota_weight, 0.0)?,
        weight_by: if told.weight_by.as_deref() == Some("work") { WeightBy::Work } else { WeightBy::Request },
        cluster_size: count("settings.fleet-size", told.cluster_size, 0.0)?,
        callers: count("settings.extra.callers", x.callers, 0.0)?,
        cores: count("settings.extra.cores", x.cores, 1.0)?,
        memory_kb: within("settings.extra.heap-kb", x.heap_kb, 1.0)?,
        running_memory_factor: within("settings.extra.run-factor", x.running_memory_factor, 0.0)?,
        entry_kb: within("settings.extra.key-kb", x.entry_kb, 0.0)?,
        downstream: match x.downstream.as_deref() {
            Some("one_for_all") => Downstream::Shared,
            Some("tier") => Downstream::Tier,
            _ => Downstream::Nothing,
        },
        outbound_call_limit: within("settings.extra.calls-out", x.outbound_call_limit, 0.0)?,
        call_window: Span(x.dep_window),
        abandoned_call_duration: Span(x.stays_for),
        preemption: match x.preemption.as_deref() {
            Some("discard") => Preemption::Discard,
            Some("freeze") => Preemption::Freeze,
            _ => Preemption::Never,
        },
        backpressure_signal: match x.backpressure_signal.as_deref() {
            Some("floor") => BackpressureSignal::Floor,
            Some("allowance") => BackpressureSignal::Allowance,
            Some("weight") => BackpressureSignal::Weight,
            _ => BackpressureSignal::Silent,
        },
        signal_retention: Span(x.signal_retention),
        max_retry_after: told.caps.retry_after.then_some(Span(told.caps.max_retry_after)),
        caller_idle: Span(x.caller_idle),
        // On this protocol a request that is served with what no run made for it counts as lost: reads share nothing.
        cache_ttl: Span(0),
        deep_health_checks: x.deep_health_checks,
        list_follows_health: x.list_follows_health,
        cold: x.cold,
        warmup_duration: Span(rules.cold),
        cold_speed_share: within("settings.rules.cold-share", rules.cold_speed_share, 0.0)?,
        concurrency_window: Span(rules.fall),
        survivable_runs_per_core: within("settings.rules.fall-multiple", rules.fall_multiple, 0.0)?,
        drain_grace: Span(rules.drain_grace),
        answer_slack: Span(rules.grace_to_answer),
        tick: Span(told.tick),
    })
}
