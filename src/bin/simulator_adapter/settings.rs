//! Parses the settings of a starting worker, under the keys that the simulator's protocol uses for them.
//!
//! An absent key reads as 0, `false` or no value. The controller checks whether the settings are valid
//! together.

use crate::error::WireError;
use crate::fields::{Fields, boolean, integer, number};
use gaugestand_admission::{
    BackpressureSignal, Class, Downstream, Effect, Preemption, Settings, SettingsError, Span, Tenant,
    WeightBy,
};
use std::collections::HashMap;

/// Parses the settings. The inner error, for a negative time, concerns the worker alone; the outer one ends the
/// adapter.
pub fn parse(fields: &Fields) -> Result<Result<Settings, SettingsError>, WireError> {
    match settings(&Keys(fields.iter().collect())) {
        Ok(settings) => Ok(Ok(settings)),
        Err(WireError::NegativeTime { field }) => Ok(Err(SettingsError::Negative { key: field })),
        Err(error) => Err(error),
    }
}

/// The values of the fields of the line, by the field's name.
struct Keys<'a>(HashMap<&'a str, &'a str>);

impl Keys<'_> {
    fn number(&self, key: &str) -> Result<f64, WireError> {
        self.0.get(key).map_or(Ok(0.0), |value| number(key, value))
    }

    fn span(&self, key: &str) -> Result<Span, WireError> {
        match self.0.get(key) {
            Some(value) if value.starts_with('-') => Err(WireError::NegativeTime { field: key.to_string() }),
            Some(value) => Ok(Span(integer(key, value)?)),
            None => Ok(Span(0)),
        }
    }

    fn count(&self, key: &str) -> Result<u32, WireError> {
        Ok(self.number(key)?.clamp(0.0, f64::from(u32::MAX)) as u32)
    }

    fn boolean(&self, key: &str) -> Result<bool, WireError> {
        self.0.get(key).map_or(Ok(false), |value| boolean(key, value))
    }

    fn word(&self, key: &str) -> &str {
        self.0.get(key).copied().unwrap_or("")
    }

    /// The word at this index, from 0, of a list separated by commas; empty if there is none.
    fn item(&self, key: &str, index: usize) -> &str {
        self.word(key).split(',').nth(index).unwrap_or("")
    }
}

fn settings(keys: &Keys) -> Result<Settings, WireError> {
    let class_count = keys.count("classes.count")? as usize;
    let classes = (0..class_count).map(|index| class(keys, index)).collect::<Result<_, _>>()?;
    let tenant_count = keys.count("realms.count")? as usize;
    let tenants = (0..tenant_count).map(|index| tenant(keys, index)).collect::<Result<_, _>>()?;
    Ok(Settings {
        classes,
        tenants,
        over_quota_weight: keys.number("over-share-worth")?,
        weight_by: if keys.word("worth-by") == "work" { WeightBy::Work } else { WeightBy::Request },
        cluster_size: keys.count("fleet-size")?,
        callers: keys.count("extra.callers")?,
        cores: keys.count("extra.cores")?,
        memory_kb: keys.number("extra.heap-kb")?,
        running_memory_factor: keys.number("extra.run-factor")?,
        entry_kb: keys.number("extra.key-kb")?,
        downstream: downstream(keys.word("extra.below")),
        outbound_call_limit: keys.number("extra.calls-out")?,
        call_window: keys.span("extra.dep-window")?,
        abandoned_call_duration: keys.span("extra.stays-for")?,
        preemption: preemption(keys.word("extra.halt")),
        backpressure_signal: backpressure_signal(keys.word("extra.signal")),
        signal_retention: keys.span("extra.heeded")?,
        max_retry_after: match keys.boolean("caps.retry-after")? {
            true => Some(keys.span("caps.max-retry-after")?),
            false => None,
        },
        caller_idle: keys.span("extra.caller-idle")?,
        cache_ttl: keys.span("extra.fresh-for")?,
        deep_health_checks: keys.boolean("extra.full-checks")?,
        list_follows_health: keys.boolean("extra.list-follows")?,
        cold: keys.boolean("extra.cold")?,
        warmup_duration: keys.span("rules.cold")?,
        cold_speed_share: keys.number("rules.cold-share")?,
        concurrency_window: keys.span("rules.fall")?,
        survivable_runs_per_core: keys.number("rules.fall-multiple")?,
        drain_grace: keys.span("rules.drain-grace")?,
        answer_slack: keys.span("rules.grace-to-answer")?,
        tick: keys.span("tick")?,
    })
}

fn class(keys: &Keys, index: usize) -> Result<Class, WireError> {
    let key = |name: &str| format!("classes.{index}.{name}");
    let skipped_call_weight = keys.item("extra.class-skip-worth", index);
    Ok(Class {
        latency_objective: keys.span(&key("goal-time"))?,
        objective_stretch: keys.number(&key("aim-stretch"))?,
        deadline: keys.span(&key("hard-limit"))?,
        priority_weight: keys.number(&key("worth"))?,
        late_weight: keys.number(&key("late-worth"))?,
        effect: match keys.word(&key("effect")) {
            "pure" => Effect::Pure,
            "token" => Effect::Keyed,
            _ => Effect::Unsafe,
        },
        dedup_window: keys.span(&key("dedup-window"))?,
        calls: matches!(keys.item("extra.class-calls", index), "true" | "1"),
        skipped_call_weight: match skipped_call_weight {
            "" => 0.0,
            weight => number("extra.class-skip-worth", weight)?,
        },
    })
}

fn tenant(keys: &Keys, index: usize) -> Result<Tenant, WireError> {
    Ok(Tenant {
        quota_per_s: keys.number(&format!("realms.{index}.quota-per-s"))?,
        share: keys.number(&format!("realms.{index}.share"))?,
    })
}

fn downstream(word: &str) -> Downstream {
    match word {
        "one_for_all" => Downstream::Shared,
        "tier" => Downstream::Tier,
        _ => Downstream::Nothing,
    }
}

fn preemption(word: &str) -> Preemption {
    match word {
        "discard" => Preemption::Discard,
        "freeze" => Preemption::Freeze,
        _ => Preemption::Never,
    }
}

fn backpressure_signal(word: &str) -> BackpressureSignal {
    match word {
        "floor" => BackpressureSignal::Floor,
        "allowance" => BackpressureSignal::Allowance,
        "weight" => BackpressureSignal::Weight,
        _ => BackpressureSignal::Silent,
    }
}
