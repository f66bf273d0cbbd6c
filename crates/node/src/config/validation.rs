//! Checks the values of the JSON file, and converts them to the code's types.

use super::error::invalid;
use super::raw::{RawConfig, RawSettings, RawTenant};
use super::{Config, ConfigError, MIN_DESCRIPTORS, Problem};
use gaugestand_admission::time::Micros;
use gaugestand_admission::{
    BackpressureSignal, Class, Controller, Downstream, Effect, Preemption, Settings, Span, Tenant, WeightBy,
};
use gaugestand_settings::Settings as OperatorSettings;
use serde_json::Value;
use std::net::SocketAddr;

/// Share of the node's memory that the idempotency keys and results of one process may take. While a process
/// is replaced, two processes keep all keys.
const VOLATILE_MEMORY_SHARE: f64 = 0.25;
/// Share of the node's memory that the connections of gateways and the open requests of one process may take.
/// The rest is for the program itself, its links and the allocator.
const CONNECTION_MEMORY_SHARE: f64 = 0.125;
/// Maximum of a count, such as cores, callers or megabytes. A higher value is rejected as a mistake.
const MAX_COUNT: f64 = 1e6;
/// Maximum of a quantity, such as a weight or kilobytes. A higher value is rejected as a mistake.
const MAX_QUANTITY: f64 = MAX_COUNT * MAX_COUNT;

/// Checks a configuration as it was read, and converts it. The fields `file`, `script` and `operators` are
/// left empty, for the caller to set.
pub(super) fn validate(raw: RawConfig) -> Result<Config, ConfigError> {
    let name = raw.name.unwrap_or_default();
    if name.is_empty() || name.contains(char::is_whitespace) {
        return invalid("name", Problem::NotOneWord);
    }
    let max_descriptors = raw.limits.descriptors;
    if max_descriptors < MIN_DESCRIPTORS {
        return invalid("limits.sockets", Problem::TooFewDescriptors(MIN_DESCRIPTORS));
    }
    let memory_bytes = match raw.limits.memory_mb {
        None => f64::INFINITY,
        Some(mb) if (1.0..=MAX_COUNT).contains(&mb) => mb * 1024.0 * 1024.0,
        Some(_) => return invalid("limits.memory_mb", Problem::OutOfRange),
    };
    if raw.stop_ms == 0 {
        return invalid("stop_ms", Problem::Zero);
    }
    let seed = match raw.seed.as_deref().map(|digits| u64::from_str_radix(digits, 16)) {
        None => 0,
        Some(Ok(seed)) => seed,
        Some(Err(_)) => return invalid("seed", Problem::NotHexadecimal),
    };
    let settings = validate_settings(&raw.settings)?;
    Controller::new(settings.clone(), seed)?;
    Ok(Config {
        name,
        listen: required_address("listen", raw.listen)?,
        kernel: required_address("kernel", raw.kernel)?,
        membership: optional_address("members", raw.membership)?,
        store: optional_address("store", raw.store)?,
        admin: optional_address("admin_addr", raw.admin)?,
        seed,
        stop_timeout: Micros::millis(raw.stop_ms),
        max_descriptors,
        max_volatile_bytes: (memory_bytes * VOLATILE_MEMORY_SHARE) as usize,
        max_connection_bytes: (memory_bytes * CONNECTION_MEMORY_SHARE) as usize,
        keyed: settings.classes.iter().map(|class| class.effect == Effect::Keyed).collect(),
        classes: raw.settings.classes.into_iter().map(|class| class.name).collect(),
        gauge_names: raw.settings.extra.gauge_names,
        gateways_send_timeout: raw.settings.extra.gateways_send_timeout,
        settings,
        file: Value::Null,
        script: None,
        operators: OperatorSettings::default(),
    })
}

fn optional_address(key: &str, text: Option<String>) -> Result<Option<SocketAddr>, ConfigError> {
    let Some(text) = text else { return Ok(None) };
    text.parse().map(Some).or_else(|_| invalid(key, Problem::NotAnAddress))
}

fn required_address(key: &str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    optional_address(key, text)?.map_or_else(|| invalid(key, Problem::Missing), Ok)
}

/// Checks that a quantity is from `min` to [`MAX_QUANTITY`].
fn quantity(key: &str, value: f64, min: f64) -> Result<f64, ConfigError> {
    if (min..=MAX_QUANTITY).contains(&value) { Ok(value) } else { invalid(key, Problem::OutOfRange) }
}

/// Checks that a count is from `min` to [`MAX_COUNT`], and rounds it down to an integer.
fn count(key: &str, value: f64, min: f64) -> Result<u32, ConfigError> {
    if (min..=MAX_COUNT).contains(&value) { Ok(value as u32) } else { invalid(key, Problem::OutOfRange) }
}

fn validate_class(settings: &RawSettings, index: usize) -> Result<Class, ConfigError> {
    let class = &settings.classes[index];
    let key = |name: &str| format!("settings.classes.{index}.{name}");
    let is_duplicate = settings.classes[..index].iter().any(|other| other.name == class.name);
    if class.name.is_empty() || is_duplicate {
        return invalid(&key("name"), Problem::NotUnique);
    }
    Ok(Class {
        latency_objective: Span(class.latency_objective),
        objective_stretch: quantity(&key("aim-stretch"), class.objective_stretch, 0.0)?,
        deadline: Span(class.deadline),
        priority_weight: quantity(&key("worth"), class.priority_weight, 0.0)?,
        late_weight: quantity(&key("late-worth"), class.late_weight, 0.0)?,
        effect: match class.effect.as_str() {
            "pure" => Effect::Pure,
            "token" => Effect::Keyed,
            "side_effect" => Effect::Unsafe,
            _ => return invalid(&key("effect"), Problem::UnknownEffect),
        },
        dedup_window: Span(class.dedup_window),
        calls: settings.extra.classes_with_calls.get(index).copied().unwrap_or(false),
        skipped_call_weight: settings.extra.skipped_call_weights.get(index).copied().unwrap_or(0.0),
    })
}

fn validate_settings(raw: &RawSettings) -> Result<Settings, ConfigError> {
    let extra = &raw.extra;
    let rules = &raw.rules;
    let classes = (0..raw.classes.len()).map(|index| validate_class(raw, index)).collect::<Result<_, _>>()?;
    let tenant = |tenant: &RawTenant| Tenant { quota_per_s: tenant.quota_per_s, share: tenant.share };
    Ok(Settings {
        classes,
        tenants: raw.tenants.iter().map(tenant).collect(),
        over_quota_weight: quantity("settings.over-share-worth", raw.over_quota_weight, 0.0)?,
        weight_by: if raw.weight_by.as_deref() == Some("work") { WeightBy::Work } else { WeightBy::Request },
        cluster_size: count("settings.fleet-size", raw.cluster_size, 0.0)?,
        callers: count("settings.extra.callers", extra.callers, 0.0)?,
        cores: count("settings.extra.cores", extra.cores, 1.0)?,
        memory_kb: quantity("settings.extra.heap-kb", extra.memory_kb, 1.0)?,
        running_memory_factor: quantity("settings.extra.run-factor", extra.running_memory_factor, 0.0)?,
        entry_kb: quantity("settings.extra.key-kb", extra.entry_kb, 0.0)?,
        downstream: match extra.downstream.as_deref() {
            Some("one_for_all") => Downstream::Shared,
            Some("tier") => Downstream::Tier,
            _ => Downstream::Nothing,
        },
        outbound_call_limit: quantity("settings.extra.calls-out", extra.outbound_call_limit, 0.0)?,
        call_window: Span(extra.call_window),
        abandoned_call_duration: Span(extra.abandoned_call_duration),
        preemption: match extra.preemption.as_deref() {
            Some("discard") => Preemption::Discard,
            Some("freeze") => Preemption::Freeze,
            _ => Preemption::Never,
        },
        backpressure_signal: match extra.backpressure_signal.as_deref() {
            Some("floor") => BackpressureSignal::Floor,
            Some("allowance") => BackpressureSignal::Allowance,
            Some("weight") => BackpressureSignal::Weight,
            _ => BackpressureSignal::Silent,
        },
        signal_retention: Span(extra.signal_retention),
        max_retry_after: raw.caps.sends_retry_after.then_some(Span(raw.caps.max_retry_after)),
        caller_idle: Span(extra.caller_idle),
        // Reads share no results: with this protocol, a request that is answered with the result of another
        // request's run counts as lost.
        cache_ttl: Span(0),
        deep_health_checks: extra.deep_health_checks,
        list_follows_health: extra.list_follows_health,
        cold: extra.cold,
        warmup_duration: Span(rules.warmup_duration),
        cold_speed_share: quantity("settings.rules.cold-share", rules.cold_speed_share, 0.0)?,
        concurrency_window: Span(rules.concurrency_window),
        survivable_runs_per_core: quantity(
            "settings.rules.fall-multiple",
            rules.survivable_runs_per_core,
            0.0,
        )?,
        drain_grace: Span(rules.drain_grace),
        answer_slack: Span(rules.answer_slack),
        tick: Span(raw.tick),
    })
}
