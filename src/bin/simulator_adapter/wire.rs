//! Lines of the simulator's wire to events, and actions to lines.

use gaugestand_admission::{
    Action, BackpressureSignal, Class, Downstream, Effect, Event, Gauges, Outcome, Preemption, Request,
    RequestId, Settings, SettingsError, Span, Tenant, Time, WeightBy,
};
use std::collections::HashMap;
use std::fmt::{self, Write};
use std::hash::{DefaultHasher, Hash, Hasher};

const NEGATIVE: &str = "must not be negative";

/// One line of a batch.
pub enum Message {
    /// The batch opens, with its clock.
    Frame(Time),
    /// A worker starts.
    Up { who: u64, seed: u64, settings: Result<Settings, SettingsError> },
    /// A worker died.
    Exit { who: u64 },
    /// Something happened to a worker.
    Event { who: u64, event: Event },
    /// The batch closes.
    Commit,
    /// A line whose name is not known here.
    Unknown,
}

/// What is wrong with a line.
#[derive(Debug)]
pub struct WireError {
    field: String,
    why: &'static str,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

fn wrong<T>(field: &str, why: &'static str) -> Result<T, WireError> {
    Err(WireError { field: field.to_string(), why })
}

/// The fields of one line.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn split(parts: impl Iterator<Item = &'a str>) -> Result<Self, WireError> {
        let mut out = Vec::with_capacity(16);
        for part in parts.filter(|p| !p.is_empty()) {
            match part.split_once('=') {
                Some(pair) => out.push(pair),
                None => return wrong(part, "no '=' in this field"),
            }
        }
        Ok(Fields(out))
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(k, _)| *k == name).map(|(_, v)| *v)
    }

    fn need(&self, name: &str) -> Result<&'a str, WireError> {
        self.get(name).map_or_else(|| wrong(name, "missing"), Ok)
    }

    fn int(&self, name: &str) -> Result<u64, WireError> {
        integer(name, self.need(name)?)
    }

    fn int_or_zero(&self, name: &str) -> Result<u64, WireError> {
        self.get(name).map_or(Ok(0), |v| integer(name, v))
    }

    fn id(&self) -> Result<RequestId, WireError> {
        request_id("handle", self.need("handle")?)
    }
}

fn integer(name: &str, v: &str) -> Result<u64, WireError> {
    v.parse().or_else(|_| wrong(name, "not a whole number"))
}

fn real(name: &str, v: &str) -> Result<f64, WireError> {
    match v.parse::<f64>() {
        Ok(x) if x.is_finite() => Ok(x),
        _ => wrong(name, "not a number"),
    }
}

fn flag(name: &str, v: &str) -> Result<bool, WireError> {
    match v {
        "1" | "true" => Ok(true),
        "0" | "false" => Ok(false),
        _ => wrong(name, "neither 1 nor 0"),
    }
}

/// Reads `8-4-4-4-12` lower-case hexadecimal digits.
fn request_id(name: &str, v: &str) -> Result<RequestId, WireError> {
    let b = v.as_bytes();
    if b.len() != 36 {
        return wrong(name, "not a request id of 36 characters");
    }
    let mut n = 0u128;
    for (i, c) in b.iter().enumerate() {
        let digit = match (i, c) {
            (8 | 13 | 18 | 23, b'-') => continue,
            (_, b'0'..=b'9') => c - b'0',
            (_, b'a'..=b'f') => c - b'a' + 10,
            _ => return wrong(name, "not a request id"),
        };
        n = (n << 4) | u128::from(digit);
    }
    Ok(RequestId(n))
}

fn outcome(v: &str) -> Result<Outcome, WireError> {
    Ok(match v {
        "0" => Outcome::Ok,
        "5" => Outcome::Error,
        "11" => Outcome::Overloaded,
        "110" => Outcome::TimedOut,
        "111" => Outcome::Unreachable,
        "104" => Outcome::Reset,
        "125" => Outcome::Cancelled,
        "114" => Outcome::NeverStarted,
        _ => return wrong("rc", "not an outcome code"),
    })
}

fn gauges(v: &str) -> Result<Gauges, WireError> {
    let mut g = Gauges::default();
    for pair in v.split(',').filter(|p| !p.is_empty()) {
        let Some((name, value)) = pair.split_once(':') else {
            return wrong("telemetry", "no ':' in a gauge");
        };
        let slot = match name {
            "cpu_busy" => &mut g.cpu_busy,
            "runnable" => &mut g.runnable,
            "mem_used" => &mut g.mem_used,
            "sockets" => &mut g.sockets,
            _ => continue,
        };
        // A gauge that reads nonsense counts as absent: it must not stop the worker.
        *slot = value.parse().ok().filter(|x: &f64| x.is_finite());
    }
    Ok(g)
}

/// Reads one line.
pub fn parse(text: &str) -> Result<Message, WireError> {
    let mut parts = text.split(' ');
    let name = parts.next().unwrap_or("");
    if name == "commit" {
        return Ok(Message::Commit);
    }
    if !matches!(
        name,
        "frame"
            | "up"
            | "demand"
            | "exit"
            | "client_gone"
            | "wind_down"
            | "completed"
            | "elapsed"
            | "called"
            | "at_call"
    ) {
        return Ok(Message::Unknown);
    }
    let f = Fields::split(parts)?;
    if name == "frame" {
        return Ok(Message::Frame(Time(f.int("t")?)));
    }
    let who = f.int("who")?;
    let event = match name {
        "up" => return Ok(Message::Up { who, seed: f.int("nonce64")?, settings: up(&f)? }),
        "exit" => return Ok(Message::Exit { who }),
        "demand" => Event::Request(demand(&f)?),
        "client_gone" => Event::CallerGone(f.id()?),
        "wind_down" => Event::Drain(Time(f.int("drop-dead")?)),
        "completed" => Event::RunEnded(f.id()?, outcome(f.need("rc")?)?),
        "called" => Event::CallEnded(f.id()?, outcome(f.need("rc")?)?, Span(f.int_or_zero("lag")?)),
        "at_call" => Event::CallRequested(f.id()?),
        _ => Event::Timer(f.int("name")?, gauges(f.get("telemetry").unwrap_or(""))?),
    };
    Ok(Message::Event { who, event })
}

fn demand(f: &Fields) -> Result<Request, WireError> {
    let deadline = f.int_or_zero("drop-dead")?;
    let work_hint = f.int_or_zero("effort")?;
    let original = match f.get("prior") {
        None | Some("0" | "") => None,
        Some(v) => Some(request_id("prior", v)?),
    };
    Ok(Request {
        id: f.id()?,
        class: f.int("lane")? as usize,
        tenant: f.int_or_zero("party")? as usize,
        resource_key: f.get("affinity").filter(|v| !v.is_empty()).map(|v| {
            let mut hasher = DefaultHasher::new();
            v.hash(&mut hasher);
            hasher.finish()
        }),
        deadline: (deadline > 0).then_some(Time(deadline)),
        work_hint: (work_hint > 0).then_some(Span(work_hint)),
        queued_kb: f.get("held-kb").map_or(Ok(0.0), |v| real("held-kb", v))?,
        shed_order: f.get("rank").map_or(Ok(0.0), |v| real("rank", v))?,
        caller: f.int_or_zero("src-peer")?,
        is_retry: f.get("is-retry").map_or(Ok(false), |v| flag("is-retry", v))?,
        read_delay: Span(f.int_or_zero("unread-for")?),
        original,
    })
}

/// The start-up settings; a key that is absent reads as zero, no or none.
struct Keys<'a>(HashMap<&'a str, &'a str>);

impl Keys<'_> {
    fn num(&self, key: &str) -> Result<f64, WireError> {
        self.0.get(key).map_or(Ok(0.0), |v| real(key, v))
    }

    fn span(&self, key: &str) -> Result<Span, WireError> {
        match self.0.get(key) {
            Some(v) if v.starts_with('-') => wrong(key, NEGATIVE),
            Some(v) => Ok(Span(integer(key, v)?)),
            None => Ok(Span(0)),
        }
    }

    fn count(&self, key: &str) -> Result<u32, WireError> {
        Ok(self.num(key)?.clamp(0.0, f64::from(u32::MAX)) as u32)
    }

    fn yes(&self, key: &str) -> Result<bool, WireError> {
        self.0.get(key).map_or(Ok(false), |v| flag(key, v))
    }

    fn word(&self, key: &str) -> &str {
        self.0.get(key).copied().unwrap_or("")
    }

    fn item(&self, key: &str, i: usize) -> &str {
        self.word(key).split(',').nth(i).unwrap_or("")
    }
}

/// Settings that parse but make no sense are the worker's trouble, not the stream's.
fn up(f: &Fields) -> Result<Result<Settings, SettingsError>, WireError> {
    match settings(f) {
        Err(e) if e.why == NEGATIVE => Ok(Err(SettingsError::Negative { key: e.field })),
        other => other.map(Ok),
    }
}

fn settings(f: &Fields) -> Result<Settings, WireError> {
    let k = Keys(f.0.iter().copied().collect());
    let mut classes = Vec::new();
    for i in 0..k.count("classes.count")? as usize {
        let key = |name: &str| format!("classes.{i}.{name}");
        let skip = k.item("extra.class-skip-worth", i);
        classes.push(Class {
            latency_objective: k.span(&key("goal-time"))?,
            objective_stretch: k.num(&key("aim-stretch"))?,
            deadline: k.span(&key("hard-limit"))?,
            priority_weight: k.num(&key("worth"))?,
            late_weight: k.num(&key("late-worth"))?,
            effect: match k.word(&key("effect")) {
                "pure" => Effect::Pure,
                "token" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            dedup_window: k.span(&key("dedup-window"))?,
            calls: matches!(k.item("extra.class-calls", i), "true" | "1"),
            skipped_call_weight: if skip.is_empty() { 0.0 } else { real("extra.class-skip-worth", skip)? },
        });
    }
    let mut tenants = Vec::new();
    for i in 0..k.count("realms.count")? as usize {
        tenants.push(Tenant {
            quota_per_s: k.num(&format!("realms.{i}.quota-per-s"))?,
            share: k.num(&format!("realms.{i}.share"))?,
        });
    }
    Ok(Settings {
        classes,
        tenants,
        over_quota_weight: k.num("over-share-worth")?,
        weight_by: if k.word("worth-by") == "work" { WeightBy::Work } else { WeightBy::Request },
        cluster_size: k.count("fleet-size")?,
        callers: k.count("extra.callers")?,
        cores: k.count("extra.cores")?,
        memory_kb: k.num("extra.heap-kb")?,
        running_memory_factor: k.num("extra.run-factor")?,
        entry_kb: k.num("extra.key-kb")?,
        downstream: match k.word("extra.below") {
            "one_for_all" => Downstream::Shared,
            "tier" => Downstream::Tier,
            _ => Downstream::Nothing,
        },
        outbound_call_limit: k.num("extra.calls-out")?,
        call_window: k.span("extra.dep-window")?,
        abandoned_call_duration: k.span("extra.stays-for")?,
        preemption: match k.word("extra.halt") {
            "discard" => Preemption::Discard,
            "freeze" => Preemption::Freeze,
            _ => Preemption::Never,
        },
        backpressure_signal: match k.word("extra.signal") {
            "floor" => BackpressureSignal::Floor,
            "allowance" => BackpressureSignal::Allowance,
            "weight" => BackpressureSignal::Weight,
            _ => BackpressureSignal::Silent,
        },
        signal_retention: k.span("extra.heeded")?,
        max_retry_after: match k.yes("caps.retry-after")? {
            true => Some(k.span("caps.max-retry-after")?),
            false => None,
        },
        caller_idle: k.span("extra.caller-idle")?,
        cache_ttl: k.span("extra.fresh-for")?,
        deep_health_checks: k.yes("extra.full-checks")?,
        list_follows_health: k.yes("extra.list-follows")?,
        cold: k.yes("extra.cold")?,
        warmup_duration: k.span("rules.cold")?,
        cold_speed_share: k.num("rules.cold-share")?,
        concurrency_window: k.span("rules.fall")?,
        survivable_runs_per_core: k.num("rules.fall-multiple")?,
        drain_grace: k.span("rules.drain-grace")?,
        answer_slack: k.span("rules.grace-to-answer")?,
        tick: k.span("tick")?,
    })
}

/// Appends a line that declares the instance unable to decide.
pub fn write_broken(out: &mut String, who: u64, message: &str) {
    put(out, format_args!("broken who={who} message={message}"));
}

fn put(out: &mut String, line: fmt::Arguments) {
    // Writing to a String cannot fail.
    let _ = out.write_fmt(line);
    out.push('\n');
}

/// A request id in the wire's spelling.
struct Id(RequestId);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let n = self.0.0;
        let (a, b, c) = (n >> 96, (n >> 80) & 0xffff, (n >> 64) & 0xffff);
        write!(f, "{a:08x}-{b:04x}-{c:04x}-{:04x}-{:012x}", (n >> 48) & 0xffff, n & 0xffff_ffff_ffff)
    }
}

/// Appends the line of one action.
pub fn write_action(out: &mut String, who: u64, action: &Action) {
    match action {
        Action::Run(id) => put(out, format_args!("process who={who} handle={}", Id(*id))),
        Action::Preempt(id) => put(out, format_args!("take_off who={who} handle={}", Id(*id))),
        Action::Reject { id, retry_after, no_retry_elsewhere } => {
            let no_retry_elsewhere = u8::from(*no_retry_elsewhere);
            let away = retry_after.0;
            put(
                out,
                format_args!(
                    "overload_reply who={who} handle={} stay-away={away} give-up={no_retry_elsewhere}",
                    Id(*id)
                ),
            );
        }
        Action::Fail(id) => put(out, format_args!("finish_error who={who} handle={}", Id(*id))),
        Action::Coalesce(id) => put(out, format_args!("echo who={who} handle={}", Id(*id))),
        Action::Remember(id, span) => {
            put(out, format_args!("keep who={who} handle={} hold-for={}", Id(*id), span.0));
        }
        Action::Forget(id) => put(out, format_args!("forget who={who} handle={}", Id(*id))),
        Action::Call(id, until) => {
            put(out, format_args!("go_call who={who} handle={} not-past={}", Id(*id), until.0));
        }
        Action::SkipCall(id) => put(out, format_args!("go_on who={who} handle={}", Id(*id))),
        Action::AnnounceCapacity(x) => put(out, format_args!("announce who={who} amount={x}")),
        Action::Health { good, shallow } => {
            let (want, shallow) = (u8::from(*good), u8::from(*shallow));
            put(out, format_args!("readiness who={who} want={want} shallow={shallow}"));
        }
        Action::SetIdleTimeout(span) => put(out, format_args!("idle_limit who={who} hold-for={}", span.0)),
        Action::SetTimer(name, span) => {
            put(out, format_args!("after who={who} name={name} offset={}", span.0));
        }
        Action::Log(text) => put(out, format_args!("say_log who={who} message={text}")),
    }
}
