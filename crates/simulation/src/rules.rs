//! The rules of the platform, checked on what passes over the simulated sockets and on what the kernel did; they know
//! nothing of the node's own state.

use gaugestand_admission::time::{Micros, Timestamp};
use std::collections::BTreeMap;

/// Time past the due time in which an answer still counts: the platform's slack, and what sockets add to it.
const SLACK: Micros = Micros::millis(80 + 50);
/// A request that was written this long before a close, or less, may cross it on the network.
const CROSSING: Micros = Micros::millis(50);
/// What sockets add to the grace of a drain.
const DRAIN_SLACK: Micros = Micros::millis(50);

/// A rule that was violated, and what was observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// When, on the virtual clock.
    pub at: Timestamp,
    /// What was observed.
    pub observed: String,
}

/// One attempt as the rules see it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Idempotency key and body, where the class is keyed.
    pub key: Option<(String, Vec<u8>)>,
    /// When it reached the machine.
    pub ingress: Timestamp,
    /// When its answer is due.
    pub due: Timestamp,
    /// The incarnation of the node that it was sent to.
    pub incarnation: u32,
    answers: u32,
    ran: bool,
    /// No answer is owed: its gateway abandoned it, or the connection or the process is gone.
    answer_waived: bool,
}

/// The state of all rules.
#[derive(Debug)]
pub struct Rules {
    window: Micros,
    grace: Micros,
    attempts: BTreeMap<String, Attempt>,
    /// Attempts that are owed an answer, by due time.
    owed: BTreeMap<(Timestamp, String), ()>,
    results: BTreeMap<String, Vec<u8>>,
    /// Runs of a key in the present incarnation: ingress time and id of each attempt that ran.
    runs: BTreeMap<String, Vec<(Timestamp, String)>>,
    drain: Option<Timestamp>,
    /// The violations so far.
    pub violations: Vec<Violation>,
    /// Attempts that were served, for the summary.
    pub served: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    /// Attempts that failed.
    pub failed: u64,
}

impl Rules {
    /// Rules with this deduplication window and this grace of a drain.
    pub fn new(window: Micros, grace: Micros) -> Self {
        Rules {
            window,
            grace,
            attempts: BTreeMap::new(),
            owed: BTreeMap::new(),
            results: BTreeMap::new(),
            runs: BTreeMap::new(),
            drain: None,
            violations: Vec::new(),
            served: 0,
            rejected: 0,
            failed: 0,
        }
    }

    fn violate(&mut self, rule: &'static str, at: Timestamp, observed: String) {
        self.violations.push(Violation { rule, at, observed });
    }

    /// An attempt was written completely to a connection that the machine accepted.
    pub fn on_sent(
        &mut self,
        id: &str,
        key: Option<(String, Vec<u8>)>,
        ingress: Timestamp,
        due: Timestamp,
        incarnation: u32,
    ) {
        let (answers, ran, answer_waived) = (0, false, false);
        self.owed.insert((due, id.to_string()), ());
        self.attempts
            .insert(id.to_string(), Attempt { key, ingress, due, incarnation, answers, ran, answer_waived });
    }

    /// No answer is owed to this attempt any more.
    pub fn waive_answer(&mut self, id: &str) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.answer_waived = true;
            self.owed.remove(&(attempt.due, id.to_string()));
        }
    }

    /// The node has closed the connection of this attempt. It must not while an answer is owed; an attempt that crossed
    /// the close on the network is made again by its gateway.
    pub fn on_closed(&mut self, now: Timestamp, id: &str) {
        let owed =
            self.attempts.get(id).is_some_and(|attempt| !attempt.answer_waived && attempt.answers == 0);
        if owed && self.attempts.get(id).is_some_and(|attempt| now > attempt.ingress.plus(CROSSING)) {
            self.violate("lost", now, format!("the connection of {id} was closed, which had no answer"));
        }
        self.waive_answer(id);
    }

    /// The process was killed, with all its state.
    pub fn on_killed(&mut self) {
        let owed: Vec<String> = self.owed.keys().map(|(_, id)| id.clone()).collect();
        owed.iter().for_each(|id| self.waive_answer(id));
        self.runs.clear();
        self.drain = None;
    }

    /// The process was sent SIGTERM.
    pub fn on_drain(&mut self, at: Timestamp) {
        self.drain = Some(at);
    }

    /// The process has ended by itself, or is about to be killed after its drain: nothing may be owed but what crossed
    /// the close of its connection, which its gateway sends again.
    pub fn on_stopped(&mut self, now: Timestamp) {
        let crosses =
            |id: &String| self.attempts.get(id).is_some_and(|attempt| now <= attempt.ingress.plus(CROSSING));
        let owed: Vec<String> =
            self.owed.keys().map(|(_, id)| id.clone()).filter(|id| !crosses(id)).collect();
        if !owed.is_empty() {
            self.violate("drain", now, format!("unanswered at the end of the process: {}", owed.join(", ")));
        }
        self.on_killed();
    }

    /// A run started.
    pub fn on_run_started(&mut self, now: Timestamp, id: &str) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return self.violate("run", now, format!("{id} was run and never sent"));
        };
        attempt.ran = true;
        let (ingress, key) = (attempt.ingress, attempt.key.clone());
        if let Some(notice) = self.drain.filter(|d| ingress > d.plus(self.grace).plus(DRAIN_SLACK)) {
            let observed = format!(
                "{id} reached the machine {} us after the notice and was run",
                ingress.since(notice).0
            );
            self.violate("drain", now, observed);
        }
        let Some((key, _)) = key else { return };
        let window = self.window;
        let runs = self.runs.entry(key.clone()).or_default();
        let twice = runs.iter().find(|(first, _)| ingress.0 < first.plus(window).0).cloned();
        runs.push((ingress, id.to_string()));
        if let Some((first, other)) = twice {
            let observed = format!("{key} ran as {other} and {} us later as {id}", ingress.since(first).0);
            self.violate("duplicate", now, observed);
        }
    }

    /// A run ended with a result.
    pub fn on_result(&mut self, id: &str, result: Vec<u8>) {
        self.results.insert(id.to_string(), result);
    }

    /// Something that is never allowed.
    pub fn report(&mut self, now: Timestamp, rule: &'static str, observed: String) {
        self.violate(rule, now, observed);
    }

    /// A complete answer arrived.
    pub fn on_answer(&mut self, now: Timestamp, id: &str, status: u16, body: &[u8]) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.answers += 1;
        let (answers, ran, answer_waived, key) =
            (attempt.answers, attempt.ran, attempt.answer_waived, attempt.key.clone());
        let due = attempt.due;
        self.owed.remove(&(due, id.to_string()));
        match status {
            200 => self.served += 1,
            0 | 429 | 503 => self.rejected += 1,
            _ => self.failed += 1,
        }
        if answers > 1 {
            self.violate("duplicate", now, format!("{id} got {answers} answers"));
        }
        if !answer_waived && now > due.plus(SLACK) {
            self.violate("lost", now, format!("{id} was answered {} us past its due time", now.since(due).0));
        }
        match status {
            200 => {
                let same =
                    |other: &str| self.attempts.get(other).is_some_and(|o| o.key.is_some() && o.key == key);
                let made = |(other, r): (&String, &Vec<u8>)| r == body && (other == id || same(other));
                if !self.results.iter().any(made) {
                    let observed = format!("{id} was served {:?}", String::from_utf8_lossy(body));
                    self.violate("served", now, observed);
                }
            }
            0 | 429 | 503 if ran => {
                self.violate("refused", now, format!("{id} ran and was answered {status}"))
            }
            _ => {}
        }
    }

    /// Reports what is overdue.
    pub fn check_overdue(&mut self, now: Timestamp) {
        while let Some(((due, id), ())) =
            self.owed.first_key_value().filter(|((d, _), _)| now > d.plus(SLACK))
        {
            let (due, id) = (*due, id.clone());
            self.owed.remove(&(due, id.clone()));
            let ran = self.attempts.get(&id).is_some_and(|attempt| attempt.ran);
            self.violate("lost", now, format!("{id}, due at {} us, ran {ran}, got no answer", due.0));
        }
    }

    /// When the next answer becomes overdue.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.owed.first_key_value().map(|((due, _), ())| due.plus(SLACK).plus(Micros(1)))
    }
}
