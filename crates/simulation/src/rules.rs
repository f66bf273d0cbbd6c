//! The rules of the platform. They are checked on the traffic of the simulated sockets and on the runs of the
//! kernel, and never look at the internal state of the node.

use gaugestand_admission::time::{Micros, Timestamp};
use std::collections::BTreeMap;

/// Time after the due time of an answer within which the answer still counts as in time: the 80 ms that the
/// platform allows, and 50 ms for the delay of the sockets.
const ANSWER_SLACK: Micros = Micros::millis(80 + 50);
/// Longest time between the write of a request and the close of its connection for which the two may have
/// crossed on the network, so that the node never read the request.
const MAX_CROSSING_TIME: Micros = Micros::millis(50);
/// Time that the delay of the sockets adds to the grace period of a drain.
const DRAIN_SLACK: Micros = Micros::millis(50);

/// A violation of one rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the violated rule, as gaugestand-sim prints it.
    pub rule: &'static str,
    /// When the violation was found, on the virtual monotonic clock.
    pub at: Timestamp,
    /// Description of what was observed, with the ids of the attempts.
    pub observed: String,
}

/// State of one attempt, as far as the rules need it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Idempotency key and request body; `None` if the class is not keyed.
    pub key: Option<(String, Vec<u8>)>,
    /// When the attempt reached the machine, on the monotonic clock.
    pub ingress: Timestamp,
    /// When the answer is due; [`Rules::check_overdue`] allows some slack after it.
    pub due: Timestamp,
    /// Incarnation of the node that the attempt was sent to; the first is 1.
    pub incarnation: u32,
    answers: u32,
    ran: bool,
    /// Whether no answer is owed any more, because the gateway abandoned the attempt or because the
    /// connection or the process is gone.
    answer_waived: bool,
}

/// Checks all rules during one world and collects the violations.
#[derive(Debug)]
pub struct Rules {
    /// Deduplication window of keyed requests.
    window: Micros,
    /// Grace period of a drain, in which arrivals may still run.
    grace: Micros,
    attempts: BTreeMap<String, Attempt>,
    /// Due time and id of each attempt that is owed an answer.
    owed: BTreeMap<(Timestamp, String), ()>,
    /// Results of completed runs, by id of the attempt.
    results: BTreeMap<String, Vec<u8>>,
    /// Runs of each idempotency key in the present incarnation: ingress time and id of each attempt that ran.
    runs: BTreeMap<String, Vec<(Timestamp, String)>>,
    /// When the present process was sent SIGTERM, if it was.
    drain_started_at: Option<Timestamp>,
    /// Violations found so far, in the order of time.
    pub violations: Vec<Violation>,
    /// Number of attempts that were served (status 200), for the summary.
    pub served: u64,
    /// Number of attempts that were rejected (status 429 or 503, or ended by the protocol), for the summary.
    pub rejected: u64,
    /// Number of attempts that failed (any other status), for the summary.
    pub failed: u64,
}

impl Rules {
    /// Creates the rules of a site with this deduplication window and this grace period of a drain.
    pub fn new(window: Micros, grace: Micros) -> Self {
        Rules {
            window,
            grace,
            attempts: BTreeMap::new(),
            owed: BTreeMap::new(),
            results: BTreeMap::new(),
            runs: BTreeMap::new(),
            drain_started_at: None,
            violations: Vec::new(),
            served: 0,
            rejected: 0,
            failed: 0,
        }
    }

    fn add_violation(&mut self, rule: &'static str, at: Timestamp, observed: String) {
        self.violations.push(Violation { rule, at, observed });
    }

    /// Records that a gateway has written an attempt completely to a connection to the node.
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

    /// Records that no answer is owed to this attempt any more.
    pub fn waive_answer(&mut self, id: &str) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.answer_waived = true;
            self.owed.remove(&(attempt.due, id.to_string()));
        }
    }

    /// Checks that the node owed no answer to this attempt when it closed the connection. An attempt that may
    /// have crossed the close on the network is no violation: its gateway retries it.
    pub fn on_closed(&mut self, now: Timestamp, id: &str) {
        let owed =
            self.attempts.get(id).is_some_and(|attempt| !attempt.answer_waived && attempt.answers == 0);
        if owed && self.attempts.get(id).is_some_and(|attempt| now > attempt.ingress.plus(MAX_CROSSING_TIME))
        {
            self.add_violation(
                "lost",
                now,
                format!("the node closed the connection of {id}, which is still owed an answer"),
            );
        }
        self.waive_answer(id);
    }

    /// Records that the process of the node was killed and has lost its state: no answer is owed any more,
    /// and keys may run again.
    pub fn on_killed(&mut self) {
        let owed: Vec<String> = self.owed.keys().map(|(_, id)| id.clone()).collect();
        owed.iter().for_each(|id| self.waive_answer(id));
        self.runs.clear();
        self.drain_started_at = None;
    }

    /// Records that the process of the node was sent SIGTERM.
    pub fn on_drain(&mut self, at: Timestamp) {
        self.drain_started_at = Some(at);
    }

    /// Checks that no answer is owed when the process has ended by itself, or is about to be killed after its
    /// drain. An attempt that may have crossed the close of its connection is no violation: its gateway
    /// retries it.
    pub fn on_stopped(&mut self, now: Timestamp) {
        let may_have_crossed = |id: &String| {
            self.attempts.get(id).is_some_and(|attempt| now <= attempt.ingress.plus(MAX_CROSSING_TIME))
        };
        let owed: Vec<String> =
            self.owed.keys().map(|(_, id)| id.clone()).filter(|id| !may_have_crossed(id)).collect();
        if !owed.is_empty() {
            self.add_violation(
                "drain",
                now,
                format!("the process ended while these attempts were owed an answer: {}", owed.join(", ")),
            );
        }
        self.on_killed();
    }

    /// Checks the start of a run: its attempt was sent, reached the machine before the grace period of a
    /// drain was over, and is the only one of its key within the window.
    pub fn on_run_started(&mut self, now: Timestamp, id: &str) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return self.add_violation("run", now, format!("{id} was run, but no gateway sent it"));
        };
        attempt.ran = true;
        let (ingress, key) = (attempt.ingress, attempt.key.clone());
        if let Some(start) =
            self.drain_started_at.filter(|start| ingress > start.plus(self.grace).plus(DRAIN_SLACK))
        {
            let observed = format!(
                "{id} reached the machine {} us after SIGTERM, past the grace period, and was run",
                ingress.since(start).0
            );
            self.add_violation("drain", now, observed);
        }
        let Some((key, _)) = key else { return };
        let window = self.window;
        let runs = self.runs.entry(key.clone()).or_default();
        let earlier_run = runs.iter().find(|(first, _)| ingress.0 < first.plus(window).0).cloned();
        runs.push((ingress, id.to_string()));
        if let Some((first, other)) = earlier_run {
            let observed = format!(
                "key {key} ran as {other} and, still within its window, {} us later as {id}",
                ingress.since(first).0
            );
            self.add_violation("duplicate", now, observed);
        }
    }

    /// Records the result of a run that completed.
    pub fn on_result(&mut self, id: &str, result: Vec<u8>) {
        self.results.insert(id.to_string(), result);
    }

    /// Adds a violation that the world itself has detected.
    pub fn report(&mut self, now: Timestamp, rule: &'static str, observed: String) {
        self.add_violation(rule, now, observed);
    }

    /// Checks a complete answer that arrived at a gateway: it is the only one of its attempt, it is in time,
    /// a result comes from a run of the same attempt or key, and a rejected attempt did not run.
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
            self.add_violation("duplicate", now, format!("{id} got {answers} answers; expected one"));
        }
        if !answer_waived && now > due.plus(ANSWER_SLACK) {
            self.add_violation(
                "lost",
                now,
                format!("{id} was answered {} us past its due time", now.since(due).0),
            );
        }
        match status {
            200 => {
                let has_same_key =
                    |other: &str| self.attempts.get(other).is_some_and(|o| o.key.is_some() && o.key == key);
                let is_result =
                    |(other, r): (&String, &Vec<u8>)| r == body && (other == id || has_same_key(other));
                if !self.results.iter().any(is_result) {
                    let observed = format!(
                        "{id} was served {:?}, which is not the result of a run of its request",
                        String::from_utf8_lossy(body)
                    );
                    self.add_violation("served", now, observed);
                }
            }
            0 | 429 | 503 if ran => {
                self.add_violation("refused", now, format!("{id} ran, but was rejected with status {status}"))
            }
            _ => {}
        }
    }

    /// Adds a violation for each attempt whose answer is overdue at `now`.
    pub fn check_overdue(&mut self, now: Timestamp) {
        while let Some(((due, id), ())) =
            self.owed.first_key_value().filter(|((d, _), _)| now > d.plus(ANSWER_SLACK))
        {
            let (due, id) = (*due, id.clone());
            self.owed.remove(&(due, id.clone()));
            let ran = self.attempts.get(&id).is_some_and(|attempt| attempt.ran);
            self.add_violation(
                "lost",
                now,
                format!("{id} got no answer, which was due at {} us (ran: {ran})", due.0),
            );
        }
    }

    /// When the next owed answer becomes overdue; `None` if no answer is owed.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.owed.first_key_value().map(|((due, _), ())| due.plus(ANSWER_SLACK).plus(Micros(1)))
    }
}
