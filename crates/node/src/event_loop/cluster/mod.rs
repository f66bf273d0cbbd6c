//! The loop's part in what the fleet agrees on: its links and pages, the version in effect, what requests get under it, and
//! operators' calls about it.

use super::{CONSENSUS_LOG, Config, FIRST_PEER, Node, PEER_LISTENER, Ready, System, config};
use crate::peers::{self, News};
use crate::request::AttemptParams;
use crate::response::Response;
use gaugestand_admission::idempotency::IdempotencyTable as _;
use gaugestand_admission::time::Micros;
use gaugestand_admission::{Effect, Span};
use gaugestand_cluster::Version;
use gaugestand_cluster::consensus::{ProposalError, Unacceptable};
use gaugestand_cluster::diff::Content;
use gaugestand_cluster::membership::MembershipChange;
use gaugestand_cluster::validation::{ClassLoad, ClassSettings, KeyMemory, validate};
use gaugestand_cluster::version_gate::{self, GateDecision};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Over how long the present load is counted.
const PACE: Micros = Micros::millis(10_000);
/// Share of the memory for requests that keys may take, as the decisions have it.
const KEYS_SHARE: f64 = 0.5;

/// Whether a key of the poller is the fleet's.
pub(super) fn is_key(key: usize) -> bool {
    key == CONSENSUS_LOG || (PEER_LISTENER..FIRST_PEER + peers::KEYS).contains(&key)
}

/// Requests by class, as they were counted at two moments.
#[derive(Debug, Default)]
pub(super) struct Pace {
    before: Option<(Micros, BTreeMap<String, u64>)>,
    last: Option<(Micros, BTreeMap<String, u64>)>,
}

impl Pace {
    /// Counts now, if that is due.
    fn note(&mut self, now: Micros, count: impl FnOnce() -> BTreeMap<String, u64>) {
        if self.last.as_ref().is_none_or(|l| now.since(l.0) >= PACE) {
            self.before = self.last.replace((now, count()));
        }
    }

    /// Requests a second since the earlier of the two counts.
    fn load(&self, now: Micros, counts: &BTreeMap<String, u64>) -> Vec<ClassLoad> {
        let Some((since, was)) = self.before.as_ref().or(self.last.as_ref()) else { return Vec::new() };
        let secs = (now.since(*since).0 as f64 / 1e6).max(1.0);
        let rate = |(name, n): (&String, &u64)| {
            let more = n.saturating_sub(was.get(name).copied().unwrap_or(0));
            ClassLoad { name: name.clone(), rate: more as f64 / secs }
        };
        counts.iter().map(rate).collect()
    }
}

/// The classes of a configuration, as a version is looked at.
fn classes(config: &Config) -> Vec<ClassSettings> {
    let secs = |s: Span| s.0 as f64 / 1e9;
    let of = |(name, c): (&String, &gaugestand_admission::Class)| ClassSettings {
        name: name.clone(),
        keyed: c.effect == Effect::Keyed,
        dedup_window_s: secs(c.dedup_window),
        priority_weight: c.priority_weight,
    };
    config.classes.iter().zip(&config.settings.classes).map(of).collect()
}

/// Reads a version's content.
fn content_of(bytes: &[u8]) -> Result<Content, String> {
    serde_json::from_slice(bytes).map_err(|e| format!("its content cannot be read: {e}"))
}

impl<S: System> Node<S> {
    /// Whether this node knows which version holds, or is on its own.
    pub(super) fn knows_the_version(&self) -> bool {
        self.peers.as_ref().is_none_or(|f| f.is_ready())
    }

    pub(super) fn take_fleet(&mut self, event: Ready) {
        let now = self.clock.now();
        let Some(peers) = &mut self.peers else { return };
        match event.key {
            CONSENSUS_LOG => peers.written(now, &mut self.counters),
            PEER_LISTENER => peers.accept(now),
            _ => peers.ready(now, event, &mut self.counters),
        }
    }

    /// What is due by now: messages, pages, checks, the version in effect.
    pub(super) fn pass_fleet(&mut self) {
        let now = self.clock.now();
        let Some(peers) = self.peers.as_mut().filter(|f| f.is_due(now)) else { return };
        peers.tick(now);
        if let Some((version, bytes)) = peers.due(now) {
            let put = self.put_into_effect(bytes.as_deref());
            if let Some(peers) = &mut self.peers {
                peers.put(version, put);
            }
        }
        while let Some(news) = self.peers.as_mut().and_then(|f| f.news(now, &mut self.counters)) {
            match news {
                News::Check(asked, bytes, force) => {
                    let verdict = self.could_act(&bytes, force).map_err(Unacceptable);
                    if let Some(peers) = &mut self.peers {
                        peers.checked(now, asked, verdict);
                    }
                }
                News::Answer(caller, end) => self.admin.answer_later(caller, answer(end)),
            }
        }
        let (pace, figures, names) = (&mut self.pace, &self.figures, &self.config.classes);
        pace.note(now, || counts(figures, names));
    }

    /// Puts a version's settings in the place of the present ones, or says why they cannot be.
    fn put_into_effect(&mut self, bytes: Option<&[u8]>) -> Result<Option<Content>, String> {
        let content = bytes.map(content_of).transpose()?;
        let settings = content.as_ref().map_or(&Value::Null, |c| &c.settings);
        let new = config::with_settings(&self.config, &self.local, settings).map_err(|e| e.to_string())?;
        if new.file["settings"] != self.config.file["settings"] {
            self.config = new;
            self.take_settings();
        }
        Ok(content)
    }

    /// Whether this node could act on a content.
    fn could_act(&mut self, bytes: &[u8], force: bool) -> Result<(), String> {
        let content = content_of(bytes)?;
        let lists = self.peers.as_ref().map(|f| f.lists()).unwrap_or_default();
        if let Some(name) = version_gate::disabled_list(&content, lists) {
            return Err(format!(
                "lists.{name}: fleet(lists = ...) of this node does not name lists of that form"
            ));
        }
        let new = config::with_settings(&self.config, &self.local, &content.settings);
        let new = new.map_err(|e| e.to_string())?;
        config::follows(&self.config, &new).map_err(|e| e.to_string())?;
        let load = self.pace.load(self.clock.now(), &counts(&self.figures, &self.config.classes));
        let s = &self.config.settings;
        let memory = KeyMemory { available_kb: KEYS_SHARE * s.memory_kb, entry_kb: s.entry_kb };
        match validate(&classes(&self.config), &classes(&new), &load, memory) {
            Ok(()) => Ok(()),
            Err(error) if error.can_be_forced() && force => Ok(()),
            Err(error) if error.can_be_forced() => Err(format!("{error}; --force if that is meant")),
            Err(error) => Err(error.to_string()),
        }
    }

    /// The configuration read again. What the fleet agrees on is not this file's to change.
    pub(super) fn read_configuration(&mut self) -> Result<Config, String> {
        if self.peers.is_none() {
            return config::reload(&self.config).map_err(|e| e.to_string());
        }
        let own =
            config::with_settings(&self.config, &self.local, &Value::Null).map_err(|e| e.to_string())?;
        let new = config::reload(&own).map_err(|e| e.to_string())?;
        let agreed = self.peers.as_ref().and_then(|f| f.settings()).cloned();
        let is = &new.file["settings"];
        let Some(agreed) = agreed else {
            self.local = is.clone();
            return Ok(new);
        };
        // What is the node's own may change; the rest would change nothing here, and be in the file all the same.
        let shared = |v: &Value| {
            let mut v = v.clone();
            v.as_object_mut().map(|v| v.remove("extra"));
            v
        };
        if shared(is) != shared(&self.local) {
            return Err("settings: are the fleet's; 'gaugestand fleet propose' changes them".into());
        }
        self.local = is.clone();
        config::with_settings(&new, &self.local, &agreed).map_err(|e| e.to_string())
    }

    /// What a try is refused with for what the fleet agrees on, or may have agreed on. A repeat of what has run here is not:
    /// it gets its result and never runs.
    pub(super) fn fleet_refuses(&mut self, t: &AttemptParams) -> Option<Response<'static>> {
        let peers = self.peers.as_ref()?;
        // This request's own clock: the turn may have begun before a pause.
        let moment = self.system.moment();
        let keyed = t.repeat_key.as_deref();
        let ruling = peers.rule(moment.mono, keyed.is_some(), t.row, t.router);
        let (no_retry_elsewhere, retry_after) = match ruling {
            GateDecision::Pass => return None,
            GateDecision::Blocked => (true, Micros(0)),
            GateDecision::OverGatewayLimit | GateDecision::NoLease => (false, peers.retry_after()),
        };
        if keyed.is_some_and(|key| self.engine.idempotency().knows(key, moment)) {
            return None;
        }
        let count = match ruling {
            GateDecision::NoLease => &mut self.counters.fleet_unleased,
            _ => &mut self.counters.fleet_barred,
        };
        *count += 1;
        let (status, capacity) = ("503 Service Unavailable", self.engine.capacity());
        Some(Response { status, capacity, retry_after, no_retry_elsewhere, body: Rc::from([]) })
    }

    // ---- Operators -----------------------------------------------------------------------------------

    /// A call about the fleet; answered later if that takes others.
    pub(super) fn tell_of_fleet(&mut self, place: usize, words: &str) -> Option<String> {
        let now = self.clock.now();
        let caller = self.admin.caller(place)?;
        let Some(peers) = &mut self.peers else { return Some("error there is no fleet\n".into()) };
        let mut words = words.splitn(4, ' ');
        let (call, first) = (words.next().unwrap_or_default(), words.next());
        let number = |word: Option<&str>| word.and_then(|w| w.parse::<Version>().ok());
        let kept = |version: Option<Version>| version.and_then(|v| peers.content(v));
        let said = match (call, first) {
            ("STATUS", None) => Ok(peers.status(now).to_string()),
            ("HISTORY", None) => Ok(peers.history().to_string()),
            ("SHOW", version) => kept(number(version))
                .map(|c| String::from_utf8_lossy(&c).into_owned())
                .ok_or("no such version is kept"),
            ("ROLLBACK", version) => match kept(number(version)) {
                Some(content) => {
                    let force = words.next() == Some("force");
                    peers.propose(now, caller, content.to_vec(), None, force);
                    return None;
                }
                None => Err("no such version is kept"),
            },
            ("JOIN", Some(member)) => {
                let (name, address) = member.split_once('=').unwrap_or((member, ""));
                let Ok(address) = address.parse() else {
                    return Some("error JOIN takes a name and an address, as in n4=10.0.0.4:7000\n".into());
                };
                peers.change(now, caller, MembershipChange::Join { name: name.into(), address });
                return None;
            }
            ("REMOVE", Some(name)) => match peers.number(name) {
                Some(number) => {
                    let force = words.next() == Some("force");
                    peers.change(now, caller, MembershipChange::Remove { id: number, force });
                    return None;
                }
                None => Err("no node of the fleet has that name"),
            },
            ("PROPOSE", expect) => {
                let (force, content) = (words.next() == Some("force"), words.next().unwrap_or_default());
                let expect = expect.filter(|w| *w != "-");
                if expect.is_some() && number(expect).is_none() || content.is_empty() {
                    return Some("error PROPOSE takes a version or -, force or -, and the content\n".into());
                }
                peers.propose(now, caller, content.into(), number(expect), force);
                return None;
            }
            _ => Err("there are STATUS, HISTORY, SHOW, PROPOSE, ROLLBACK, JOIN and REMOVE"),
        };
        Some(said.map_or_else(|why| format!("error {why}\n"), |said| format!("done {said}\n")))
    }
}

/// Requests of each class that have been answered.
fn counts(figures: &crate::request_metrics::Figures, names: &[String]) -> BTreeMap<String, u64> {
    let all = |name: &String| {
        let ends = figures.of(name);
        (name.clone(), ends.success + ends.overload + ends.error)
    };
    names.iter().map(all).collect()
}

fn answer(end: Result<Version, ProposalError>) -> String {
    match end {
        Ok(version) => format!("done {}\n", json!({"version": version})),
        Err(why) => format!("error {why}\n"),
    }
}
