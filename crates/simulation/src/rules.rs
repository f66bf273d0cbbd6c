//! The rules of the platform, checked on what passes over the virtual sockets and what the kernel did; they know
//! nothing of the node.

use gaugestand_admission::time::Micros;
use std::collections::BTreeMap;

/// Slack past the due time, with what each limit is longer on sockets.
const SLACK: Micros = Micros::millis(80 + 50);
/// A request that was written this long before a close, or less, may cross it.
const CROSSING: Micros = Micros::millis(50);
/// The same for other limits.
const MORE: Micros = Micros::millis(50);

/// A rule that was broken, and what was seen of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Its name.
    pub rule: &'static str,
    /// When, on the virtual clock.
    pub at: Micros,
    /// What each party saw.
    pub seen: String,
}

/// One try as the rules see it.
#[derive(Clone, Debug)]
pub struct Try {
    /// The class is keyed, with this key and body.
    pub key: Option<(String, Vec<u8>)>,
    /// When it reached the machine.
    pub ingress: Micros,
    /// When its caller gives up.
    pub due: Micros,
    /// The process that has it.
    pub life: u32,
    answers: u32,
    ran: bool,
    /// Its gateway gave it up, or the connection or the process is gone: no answer is owed.
    excused: bool,
}

/// What is known so far.
#[derive(Debug)]
pub struct Rules {
    window: Micros,
    grace: Micros,
    tries: BTreeMap<String, Try>,
    /// Due times of what is owed.
    owed: BTreeMap<(Micros, String), ()>,
    results: BTreeMap<String, Vec<u8>>,
    /// Runs of a key in the present life: ingress of each, and the try.
    runs: BTreeMap<String, Vec<(Micros, String)>>,
    drain: Option<Micros>,
    /// What was broken.
    pub violations: Vec<Violation>,
    /// Answers by what they said, for the summary.
    pub served: u64,
    /// Refusals.
    pub refused: u64,
    /// Failures.
    pub failed: u64,
}

impl Rules {
    /// Rules with this window of keys and this grace of a drain.
    pub fn new(window: Micros, grace: Micros) -> Self {
        Rules {
            window,
            grace,
            tries: BTreeMap::new(),
            owed: BTreeMap::new(),
            results: BTreeMap::new(),
            runs: BTreeMap::new(),
            drain: None,
            violations: Vec::new(),
            served: 0,
            refused: 0,
            failed: 0,
        }
    }

    fn broken(&mut self, rule: &'static str, at: Micros, seen: String) {
        self.violations.push(Violation { rule, at, seen });
    }

    /// A try was written whole to a connection that the machine accepted.
    pub fn sent(
        &mut self,
        id: &str,
        key: Option<(String, Vec<u8>)>,
        ingress: Micros,
        due: Micros,
        life: u32,
    ) {
        let (answers, ran, excused) = (0, false, false);
        self.owed.insert((due, id.to_string()), ());
        self.tries.insert(id.to_string(), Try { key, ingress, due, life, answers, ran, excused });
    }

    /// No answer is owed for this try any more.
    pub fn excuse(&mut self, id: &str) {
        if let Some(t) = self.tries.get_mut(id) {
            t.excused = true;
            self.owed.remove(&(t.due, id.to_string()));
        }
    }

    /// The node has closed the connection of this try: it may, unless an answer was owed on it. One that was on its way
    /// is sent again by its gateway.
    pub fn closed(&mut self, now: Micros, id: &str) {
        let owed = self.tries.get(id).is_some_and(|t| !t.excused && t.answers == 0);
        if owed && self.tries.get(id).is_some_and(|t| now > t.ingress.plus(CROSSING)) {
            self.broken("lost", now, format!("the connection of {id} was closed, which had no answer"));
        }
        self.excuse(id);
    }

    /// The process is gone with all that it had.
    pub fn killed(&mut self) {
        let owed: Vec<String> = self.owed.keys().map(|(_, id)| id.clone()).collect();
        owed.iter().for_each(|id| self.excuse(id));
        self.runs.clear();
        self.drain = None;
    }

    /// The process was told to leave.
    pub fn draining(&mut self, at: Micros) {
        self.drain = Some(at);
    }

    /// The process has ended by itself, or is about to be stopped: nothing may be owed but what crosses the close of
    /// its connection, which its gateway sends again.
    pub fn stopped(&mut self, now: Micros) {
        let crosses = |id: &String| self.tries.get(id).is_some_and(|t| now <= t.ingress.plus(CROSSING));
        let owed: Vec<String> =
            self.owed.keys().map(|(_, id)| id.clone()).filter(|id| !crosses(id)).collect();
        if !owed.is_empty() {
            self.broken("drain", now, format!("unanswered at the end of the process: {}", owed.join(", ")));
        }
        self.killed();
    }

    /// A run began.
    pub fn began(&mut self, now: Micros, id: &str) {
        let Some(t) = self.tries.get_mut(id) else {
            return self.broken("run", now, format!("{id} was run and never sent"));
        };
        t.ran = true;
        let (ingress, key) = (t.ingress, t.key.clone());
        if let Some(notice) = self.drain.filter(|d| ingress > d.plus(self.grace).plus(MORE)) {
            let seen = format!(
                "{id} reached the machine {} us after the notice and was run",
                ingress.since(notice).0
            );
            self.broken("drain", now, seen);
        }
        let Some((key, _)) = key else { return };
        let window = self.window;
        let runs = self.runs.entry(key.clone()).or_default();
        let twice = runs.iter().find(|(first, _)| ingress.0 < first.plus(window).0).cloned();
        runs.push((ingress, id.to_string()));
        if let Some((first, other)) = twice {
            let seen = format!("{key} ran as {other} and {} us later as {id}", ingress.since(first).0);
            self.broken("duplicate", now, seen);
        }
    }

    /// A run ended with a result.
    pub fn result(&mut self, id: &str, result: Vec<u8>) {
        self.results.insert(id.to_string(), result);
    }

    /// Something that no rule allows at all.
    pub fn wrong(&mut self, now: Micros, rule: &'static str, seen: String) {
        self.broken(rule, now, seen);
    }

    /// A whole answer came.
    pub fn answered(&mut self, now: Micros, id: &str, status: u16, body: &[u8]) {
        let Some(t) = self.tries.get_mut(id) else { return };
        t.answers += 1;
        let (answers, ran, excused, key) = (t.answers, t.ran, t.excused, t.key.clone());
        let due = t.due;
        self.owed.remove(&(due, id.to_string()));
        match status {
            200 => self.served += 1,
            0 | 429 | 503 => self.refused += 1,
            _ => self.failed += 1,
        }
        if answers > 1 {
            self.broken("duplicate", now, format!("{id} got {answers} answers"));
        }
        if !excused && now > due.plus(SLACK) {
            self.broken("lost", now, format!("{id} was answered {} us past its due time", now.since(due).0));
        }
        match status {
            200 => {
                let same =
                    |other: &str| self.tries.get(other).is_some_and(|o| o.key.is_some() && o.key == key);
                let made = |(other, r): (&String, &Vec<u8>)| r == body && (other == id || same(other));
                if !self.results.iter().any(made) {
                    let seen = format!("{id} was served {:?}", String::from_utf8_lossy(body));
                    self.broken("served", now, seen);
                }
            }
            0 | 429 | 503 if ran => {
                self.broken("refused", now, format!("{id} ran and was answered {status}"))
            }
            _ => {}
        }
    }

    /// Looks at what is overdue.
    pub fn look(&mut self, now: Micros) {
        while let Some(((due, id), ())) =
            self.owed.first_key_value().filter(|((d, _), _)| now > d.plus(SLACK))
        {
            let (due, id) = (*due, id.clone());
            self.owed.remove(&(due, id.clone()));
            let ran = self.tries.get(&id).is_some_and(|t| t.ran);
            self.broken("lost", now, format!("{id}, due at {} us, ran {ran}, got no answer", due.0));
        }
    }

    /// When the next look is due.
    pub fn next(&self) -> Option<Micros> {
        self.owed.first_key_value().map(|((due, _), ())| due.plus(SLACK).plus(Micros(1)))
    }
}
