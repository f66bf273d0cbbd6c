//! When a node may act on a version.
//!
//! Guarantee: no node acts on a version after another one has begun to act on a later one, whatever is cut off, paused or
//! restarted, as long as no two monotonic clocks drift apart by more than the stated bound. What a process does between
//! reading its clock and acting is outside of it: that is the length of a turn.
//!
//! Who votes may change with a version, by one node at a time: a version is committed by those of the one before it, and a lease of
//! a version counts by its own. Two majorities of the same set, or of two in a row, have a node in common.
//!
//! Why it holds. A lease of version `v` is good for a time after it was **asked for**, and counts once a majority said yes.
//! A node that has a later version in its log, committed or not, says no. A version is committed once a majority has it;
//! so of each majority that said yes to `v` one node did so before the later version was committed, and every lease of
//! `v` was asked for before that. A node acts on the later one only after it has heard of the commit, and has waited for as
//! long as a lease can last by any clock.

use gaugestand_admission::time::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The number of a version; each is agreed once.
pub type Version = u64;
/// The number of a node, by its place in the fleet.
pub type Member = u8;

/// Those who vote under a version, and whose yes counts for a lease of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voters([u64; 4]);

impl Voters {
    /// The nodes of the numbers from 0 to below this.
    pub fn first(count: usize) -> Self {
        (0..count).filter_map(|n| Member::try_from(n).ok()).collect()
    }

    fn place(who: Member) -> (usize, u64) {
        (usize::from(who) / 64, 1 << (who % 64))
    }

    /// Whether this node votes.
    pub fn has(&self, who: Member) -> bool {
        let (word, bit) = Self::place(who);
        self.0[word] & bit != 0
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Whether these are a majority; who does not vote does not count.
    pub fn is_majority(&self, said: &BTreeSet<Member>) -> bool {
        said.iter().filter(|who| self.has(**who)).count() > self.count() / 2
    }
}

impl FromIterator<Member> for Voters {
    fn from_iter<I: IntoIterator<Item = Member>>(members: I) -> Self {
        members.into_iter().fold(Voters::default(), |mut all, who| {
            let (word, bit) = Self::place(who);
            all.0[word] |= bit;
            all
        })
    }
}

/// Parts of a million that drift is told in.
const MILLION: u64 = 1_000_000;
/// Renewals that a lease has time for: one or two may be lost.
const RENEWALS: u64 = 4;

/// What is wrong with terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadTerms {
    /// A lease of no length, or a fleet of nobody.
    Nothing,
    /// Clocks that drift by a tenth or more are no clocks.
    Drift,
}

/// A defect that the checks have to find.
#[cfg(feature = "planted")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Defect {
    /// The wait leaves no margin for clocks that drift.
    NoMargin,
    /// A version takes effect as soon as it is committed.
    AtOnce,
    /// A lease counts once this node alone said yes.
    RenewedAlone,
    /// A lease counts from when the answers came.
    FromAnswer,
    /// A node says yes to an older version though it has a later one.
    SaysYes,
    /// What need not be waited for comes into effect before what it follows.
    Overtakes,
    /// A lease counts by as many as were a majority at first, whoever says yes.
    FirstMajority,
}

#[cfg(feature = "planted")]
impl Defect {
    /// All of them, by the names that people give them.
    pub const NAMED: [(&str, Defect); 7] = [
        ("no-margin", Defect::NoMargin),
        ("at-once", Defect::AtOnce),
        ("renewed-alone", Defect::RenewedAlone),
        ("from-answer", Defect::FromAnswer),
        ("says-yes", Defect::SaysYes),
        ("overtakes", Defect::Overtakes),
        ("first-majority", Defect::FirstMajority),
    ];

    /// The one of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::NAMED.iter().find(|(known, _)| *known == name).map(|(_, defect)| *defect)
    }
}

/// What holds for all nodes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    lease: Micros,
    wait: Micros,
    /// Those of version 0.
    first: Voters,
    #[cfg(feature = "planted")]
    defect: Option<Defect>,
}

impl Terms {
    /// Terms for a fleet that begins with so many voters, with leases of this length, where two clocks drift apart by `drift` parts of a million
    /// at most.
    pub fn new(voters: usize, lease: Micros, drift: u64) -> Result<Self, BadTerms> {
        if voters == 0 || lease.0 < RENEWALS {
            return Err(BadTerms::Nothing);
        }
        if drift * 10 >= MILLION {
            return Err(BadTerms::Drift);
        }
        // A lease by the slowest clock, waited for by the fastest one: twice the drift, rounded up.
        let wait = Micros(lease.0 + lease.0.saturating_mul(2 * drift).div_ceil(MILLION) + 1);
        Ok(Terms {
            lease,
            wait,
            first: Voters::first(voters),
            #[cfg(feature = "planted")]
            defect: None,
        })
    }

    /// The same with a defect.
    #[cfg(feature = "planted")]
    pub fn planted(self, defect: Defect) -> Self {
        match defect {
            Defect::NoMargin => Terms { wait: self.lease, defect: Some(defect), ..self },
            Defect::AtOnce => Terms { wait: Micros(0), defect: Some(defect), ..self },
            _ => Terms { defect: Some(defect), ..self },
        }
    }

    /// From the moment at which a node hears that a version is committed to the one at which it may act on it.
    pub fn wait(&self) -> Micros {
        self.wait
    }

    /// Whether it has this defect.
    #[cfg(feature = "planted")]
    fn has(&self, defect: Defect) -> bool {
        self.defect == Some(defect)
    }
}

/// What happens to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// Its log has this version last, and that is on disk; a lower one than before if the log was cut back.
    Last(Version),
    /// This version, which its log has, is committed.
    Committed {
        /// Which.
        version: Version,
        /// The one just before it is known, and may be acted on beside it.
        immediate: bool,
        /// Who votes under it; only what is waited for may change that, by one node at most.
        voters: Voters,
    },
    /// Another node asks whether it may act on a version.
    Ask {
        /// Who.
        from: Member,
        /// Which.
        version: Version,
        /// Names the question.
        number: u64,
    },
    /// Another node says yes to this question.
    Yes {
        /// Who.
        from: Member,
        /// Which question.
        number: u64,
    },
    /// Time has passed.
    Tick,
}

/// What a node is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Ask all others whether it may act on this version.
    Ask {
        /// Which.
        version: Version,
        /// Names the question.
        number: u64,
    },
    /// Say yes to a question.
    Yes {
        /// Whose.
        to: Member,
        /// Which.
        number: u64,
    },
}

/// What a node may act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Acts {
    /// On this version; 0 if no majority knows of any.
    On(Version),
    /// On what no version from this one on contradicts: there may be a newer one that others act on already. 0 if it
    /// has had none since its start.
    Within(Version),
}

/// A committed version that may not be acted on yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    version: Version,
    /// Not before then, nor before the ones ahead of it.
    due: Micros,
    immediate: bool,
}

/// A question that is out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question {
    number: u64,
    version: Version,
    asked: Micros,
    yes: BTreeSet<Member>,
}

/// When this node may act on which version. It keeps nothing over a restart: a lease from before never holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Effect {
    terms: Terms,
    me: Member,
    last: Version,
    /// The latest version that may be acted on with a lease.
    ripe: Version,
    /// The lowest version a lease of which counts for `ripe`.
    floor: Version,
    /// Committed versions that are waited for, in order.
    waiting: Vec<Waiting>,
    /// Who votes from which version on, in order, as far as a question may need it.
    voters: Vec<(Version, Voters)>,
    question: Option<Question>,
    number: u64,
    /// Of which version, and until when.
    lease: Option<(Version, Micros)>,
}

impl Effect {
    /// A node that has just started, with this version last in its log; `number` is above that of any question of its
    /// earlier lives.
    pub fn new(terms: Terms, me: Member, last: Version, number: u64) -> Self {
        Effect {
            terms,
            me,
            last,
            ripe: 0,
            floor: 0,
            waiting: Vec::new(),
            voters: vec![(0, terms.first)],
            question: None,
            number,
            lease: None,
        }
    }

    /// What it may act on at this moment. Ask with a clock that was read just now, for each decision.
    pub fn acts(&self, now: Micros) -> Acts {
        match self.lease {
            Some((version, until)) if now < until && (self.floor..=self.ripe).contains(&version) => {
                Acts::On(self.ripe)
            }
            _ => Acts::Within(self.ripe),
        }
    }

    /// The lease that it has or had last, with its end on this node's clock.
    pub fn lease(&self) -> Option<(Version, Micros)> {
        self.lease
    }

    /// The latest version that was waited for, with a lease or without.
    pub fn ripe(&self) -> Version {
        self.ripe
    }

    /// When to tell it that time has passed.
    pub fn wake(&self) -> Option<Micros> {
        let ripens = self.waiting.first().map(|w| w.due);
        // While it knows of a later version it renews nothing: that would be a wake in the past, again and again.
        let renews = self.question.as_ref().filter(|_| self.allows(self.ripe));
        let renews = renews.map(|q| q.asked.plus(self.renewal()));
        [ripens, renews].into_iter().flatten().min()
    }

    fn renewal(&self) -> Micros {
        Micros(self.terms.lease.0 / RENEWALS)
    }

    /// Takes in an event; appends what is to be done.
    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Step>) {
        match event {
            Event::Last(version) => self.last = version,
            Event::Committed { version, immediate, voters } => {
                // What comes after a restart, or in a row, ripens each in its own time; the latest counts.
                if version > self.ripe && self.waiting.iter().all(|w| w.version < version) {
                    let due = if immediate { now } else { now.plus(self.terms.wait) };
                    self.waiting.push(Waiting { version, due, immediate });
                    if self.voters.last().is_none_or(|v| v.1 != voters) {
                        self.voters.push((version, voters));
                    }
                    #[cfg(feature = "planted")]
                    if self.terms.has(Defect::Overtakes) && immediate {
                        self.waiting.retain(|w| w.version == version);
                    }
                }
            }
            Event::Ask { from, version, number } => {
                if self.allows(version) {
                    out.push(Step::Yes { to: from, number });
                }
            }
            Event::Yes { from, number } => {
                if let Some(q) = self.question.as_mut().filter(|q| q.number == number) {
                    q.yes.insert(from);
                }
                self.count(now);
            }
            Event::Tick => {}
        }
        self.ripen(now);
        let due = self
            .question
            .as_ref()
            .is_none_or(|q| q.version != self.ripe || now.since(q.asked) >= self.renewal());
        // Before there is a version, that there is none has to be known as well: a node with a new disk cannot tell.
        if due && self.allows(self.ripe) {
            self.ask(now, out);
        }
    }

    /// Whether it knows of no later version.
    fn allows(&self, version: Version) -> bool {
        #[cfg(feature = "planted")]
        if self.terms.has(Defect::SaysYes) {
            return true;
        }
        self.last <= version
    }

    fn ripen(&mut self, now: Micros) {
        while let Some(next) = self.waiting.first().copied().filter(|w| w.due <= now) {
            self.waiting.remove(0);
            self.ripe = next.version;
            if !next.immediate {
                self.floor = next.version;
            }
        }
        // Nothing older than what is ripe is asked about any more.
        let old = self.voters.iter().filter(|v| v.0 <= self.ripe).count().saturating_sub(1);
        self.voters.drain(..old);
    }

    fn ask(&mut self, now: Micros, out: &mut Vec<Step>) {
        self.number += 1;
        let yes = BTreeSet::from([self.me]);
        self.question = Some(Question { number: self.number, version: self.ripe, asked: now, yes });
        out.push(Step::Ask { version: self.ripe, number: self.number });
        self.count(now);
    }

    /// Whether a majority of those who vote under the version said yes.
    fn counts(&self, q: &Question) -> bool {
        #[cfg(feature = "planted")]
        if self.terms.has(Defect::RenewedAlone) {
            return true;
        }
        #[cfg(feature = "planted")]
        if self.terms.has(Defect::FirstMajority) {
            return q.yes.len() > self.terms.first.count() / 2;
        }
        let voters = self.voters.iter().rev().find(|v| v.0 <= q.version);
        voters.is_some_and(|v| v.1.is_majority(&q.yes))
    }

    /// A question that a majority said yes to is a lease, from when it was asked.
    fn count(&mut self, _now: Micros) {
        let Some(q) = self.question.as_ref().filter(|q| self.counts(q)) else { return };
        let from = q.asked;
        #[cfg(feature = "planted")]
        let from = if self.terms.has(Defect::FromAnswer) { _now } else { from };
        let until = from.plus(self.terms.lease);
        let later = self.lease.filter(|l| l.0 == q.version).map_or(until, |l| l.1.max(until));
        self.lease = Some((q.version, later));
    }
}
