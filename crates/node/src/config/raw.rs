//! The JSON file before validation. The fields have the code's names, and values in the units of the file.

use serde::{Deserialize, Deserializer};

/// Maximum of a duration, in nanoseconds: a million seconds. A longer duration is rejected as a mistake.
const MAX_NANOS: f64 = 1e15;

#[derive(Deserialize)]
pub(super) struct RawConfig {
    pub(super) name: Option<String>,
    pub(super) listen: Option<String>,
    pub(super) kernel: Option<String>,
    #[serde(rename = "members")]
    pub(super) membership: Option<String>,
    pub(super) store: Option<String>,
    #[serde(rename = "admin_addr")]
    pub(super) admin: Option<String>,
    pub(super) seed: Option<String>,
    pub(super) stop_ms: u64,
    pub(super) limits: RawLimits,
    pub(super) settings: RawSettings,
}

#[derive(Deserialize)]
pub(super) struct RawLimits {
    #[serde(rename = "sockets")]
    pub(super) descriptors: usize,
    pub(super) memory_mb: Option<f64>,
}

/// The engine's settings. Their keys and their unit of time, nanoseconds, are those of the simulator's first
/// message.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawSettings {
    pub(super) classes: Vec<RawClass>,
    #[serde(default)]
    #[serde(rename = "realms")]
    pub(super) tenants: Vec<RawTenant>,
    #[serde(default)]
    #[serde(rename = "over-share-worth")]
    pub(super) over_quota_weight: f64,
    #[serde(rename = "worth-by")]
    pub(super) weight_by: Option<String>,
    #[serde(default)]
    #[serde(rename = "fleet-size")]
    pub(super) cluster_size: f64,
    pub(super) extra: RawExtra,
    pub(super) caps: RawCaps,
    pub(super) rules: RawRules,
    #[serde(deserialize_with = "nanos")]
    pub(super) tick: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawClass {
    pub(super) name: String,
    #[serde(deserialize_with = "nanos")]
    #[serde(rename = "goal-time")]
    pub(super) latency_objective: u64,
    #[serde(default)]
    #[serde(rename = "aim-stretch")]
    pub(super) objective_stretch: f64,
    #[serde(deserialize_with = "nanos")]
    #[serde(rename = "hard-limit")]
    pub(super) deadline: u64,
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
    #[serde(default)]
    #[serde(rename = "late-worth")]
    pub(super) late_weight: f64,
    pub(super) effect: String,
    #[serde(default, deserialize_with = "nanos")]
    pub(super) dedup_window: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawTenant {
    #[serde(default)]
    pub(super) quota_per_s: f64,
    #[serde(default)]
    pub(super) share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawExtra {
    #[serde(rename = "below")]
    pub(super) downstream: Option<String>,
    #[serde(default)]
    pub(super) callers: f64,
    #[serde(default)]
    #[serde(rename = "calls-out")]
    pub(super) outbound_call_limit: f64,
    #[serde(default)]
    #[serde(rename = "class-calls")]
    pub(super) classes_with_calls: Vec<bool>,
    #[serde(default)]
    #[serde(rename = "class-skip-worth")]
    pub(super) skipped_call_weights: Vec<f64>,
    #[serde(default)]
    pub(super) cold: bool,
    pub(super) cores: f64,
    #[serde(default, deserialize_with = "nanos")]
    #[serde(rename = "dep-window")]
    pub(super) call_window: u64,
    #[serde(default)]
    #[serde(rename = "full-checks")]
    pub(super) deep_health_checks: bool,
    #[serde(default)]
    #[serde(rename = "gauges")]
    pub(super) gauge_names: Vec<String>,
    #[serde(rename = "halt")]
    pub(super) preemption: Option<String>,
    #[serde(default, deserialize_with = "nanos")]
    #[serde(rename = "heeded")]
    pub(super) signal_retention: u64,
    #[serde(rename = "heap-kb")]
    pub(super) memory_kb: f64,
    #[serde(default)]
    #[serde(rename = "key-kb")]
    pub(super) entry_kb: f64,
    #[serde(default)]
    #[serde(rename = "list-follows")]
    pub(super) list_follows_health: bool,
    #[serde(default)]
    #[serde(rename = "passes-deadline")]
    pub(super) gateways_send_timeout: bool,
    #[serde(rename = "run-factor")]
    pub(super) running_memory_factor: f64,
    #[serde(rename = "signal")]
    pub(super) backpressure_signal: Option<String>,
    #[serde(default, deserialize_with = "nanos")]
    #[serde(rename = "stays-for")]
    pub(super) abandoned_call_duration: u64,
    #[serde(default, deserialize_with = "nanos")]
    pub(super) caller_idle: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawCaps {
    #[serde(default, deserialize_with = "nanos")]
    pub(super) max_retry_after: u64,
    #[serde(default)]
    #[serde(rename = "retry-after")]
    pub(super) sends_retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct RawRules {
    #[serde(deserialize_with = "nanos")]
    #[serde(rename = "grace-to-answer")]
    pub(super) answer_slack: u64,
    #[serde(default)]
    #[serde(rename = "cold-share")]
    pub(super) cold_speed_share: f64,
    #[serde(default, deserialize_with = "nanos")]
    #[serde(rename = "cold")]
    pub(super) warmup_duration: u64,
    #[serde(deserialize_with = "nanos")]
    pub(super) drain_grace: u64,
    #[serde(deserialize_with = "nanos")]
    #[serde(rename = "fall")]
    pub(super) concurrency_window: u64,
    #[serde(rename = "fall-multiple")]
    pub(super) survivable_runs_per_core: f64,
}

/// Reads a duration in nanoseconds from any JSON number, also a floating-point one: a script may write 1e9.
fn nanos<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let nanos = f64::deserialize(from)?;
    if (0.0..=MAX_NANOS).contains(&nanos) {
        Ok(nanos as u64)
    } else {
        Err(serde::de::Error::custom("a length of time that is out of range"))
    }
}
