//! What the fleet has agreed on: the log, driven; proposals from their coming in to their answer; leases beside them.
//!
//! Guarantees: no two contents are agreed under one number; what was agreed stays agreed whatever stops, as long as the disks
//! of a majority keep what they were told to; no message that depends on a write leaves before the write is durable; the same
//! events and times give the same steps. It does not guarantee that a proposal that was turned down for want of an answer
//! is not agreed later: [`Refusal::Unknown`] says so.

use crate::diff;
use crate::lease::{self, Acts, Effect, Member, Terms, Version};
use crate::log_storage::{LogStorage, raft_id, version_of};
use crate::membership::{Change, Members, Number, Refused, Seen};
use crate::wire::{Answer, Ask, Body, Check, Checked, Entry as Versioned, Forward, MOST_CONTENT};
use gaugestand_admission::log_record::{Found, LogRecord};
use gaugestand_admission::time::Micros;
use prost::Message as _;
use protobuf::Message as _;
use raft::prelude::{ConfChange, ConfChangeType, Entry, EntryType, Message};
use raft::{Config, RawNode, StateRole};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

/// The library's unit of time.
const TICK: Micros = Micros::millis(50);
/// Units between two signs of life of who leads.
const HEARTBEAT: usize = 2;
/// Units without one after which the node of the lowest number asks to lead, and how many more each next one waits: they do
/// not all ask at once, and no chance is needed for that.
const ELECTION: (usize, usize) = (10, 3);
/// After so many numbers the waits begin anew.
const TURNS: u8 = 32;
/// What a version holds that only changes the members, where there was none before it.
const NOTHING: &[u8] = br#"{"settings":null,"lists":{}}"#;
/// The others have so long to check a content.
const CHECK: Micros = Micros::millis(1_000);
/// A proposal that was passed on is given up after this long, and one that was appended as well.
const ANSWER: Micros = Micros::millis(2_500);
/// Proposals of this node's operators that may be out at a time.
const MOST_OUT: usize = 16;

/// Who a node is, and what all of its fleet are told alike.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This node.
    pub me: Member,
    /// Those that the fleet began with, this node among them or not.
    pub members: Members,
    /// Leases and how far clocks drift.
    pub terms: Terms,
    /// This life: above all earlier ones of the node, and not 0.
    pub life: u64,
}

/// Why a proposal was turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A node could not act on it.
    Unsound(String),
    /// Another version is the last one.
    OutOfDate(Version),
    /// Nobody leads, or too few can be heard.
    NoMajority,
    /// Another proposal is in work, or one that was agreed is not in effect yet.
    Busy,
    /// It is over [`MOST_CONTENT`].
    TooLong(usize),
    /// The list of members may not be changed like that.
    Members(Refused),
    /// No answer came: it may be agreed yet.
    Unknown,
    /// As another node told it.
    Told(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unsound(why) => write!(f, "unsound: {why}"),
            Refusal::OutOfDate(last) => write!(f, "out of date: version {last} is the last one"),
            Refusal::NoMajority => {
                f.write_str("no majority: too few nodes can be heard; see 'gaugestand fleet status'")
            }
            Refusal::Busy => {
                f.write_str("another version is in work or not in effect yet; try again in a moment")
            }
            Refusal::TooLong(n) => write!(f, "too long: {n} bytes, {MOST_CONTENT} at most"),
            Refusal::Members(why) => write!(f, "{why}"),
            Refusal::Unknown => f.write_str("no answer: it may be agreed yet; see 'gaugestand fleet status'"),
            Refusal::Told(why) => f.write_str(why),
        }
    }
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A node of the fleet says something.
    Heard(Member, Body),
    /// The link to a node is up, or down.
    Linked(Member, bool),
    /// The page of this number is durable.
    Written(u64),
    /// An operator wants this to be the next version.
    Propose {
        /// Names it in the answer.
        ticket: u64,
        /// The content.
        content: Vec<u8>,
        /// Only if this is the last one.
        expect: Option<Version>,
        /// Starving versions are let through.
        force: bool,
    },
    /// An operator wants the members to change.
    Change {
        /// Names it in the answer.
        ticket: u64,
        /// How.
        change: Change,
    },
    /// This node could act on a content that it was asked about, or why not.
    Checked(Asked, Result<(), String>),
    /// This node leaves service: somebody else is to lead.
    Leave,
    /// Time has passed.
    Tick,
}

/// Whose question about a content it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Who asks.
    pub by: Member,
    /// Names the question there.
    pub number: u64,
}

/// What a node is to do.
#[derive(Clone, Debug)]
pub enum Step {
    /// Say this to a node, if it can be heard.
    Send(Member, Body),
    /// Make this durable, in order, and say so with its number.
    Write(u64, LogRecord),
    /// Say whether this node could act on this content.
    Check(Asked, Rc<[u8]>, bool),
    /// This version is agreed. It is not in effect yet: [`Accord::acts`].
    Agreed(Version, Rc<[u8]>),
    /// What became of an operator's proposal.
    Answer(u64, Result<Version, Refusal>),
}

/// Where a proposal came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Here(u64),
    There(Member, u64),
    /// Nobody asked: a learner has caught up.
    Nobody,
}

/// What a proposal is about.
#[derive(Debug)]
struct Wanted {
    content: Vec<u8>,
    expect: Option<Version>,
    force: bool,
    change: Option<Change>,
}

impl From<Change> for Wanted {
    fn from(change: Change) -> Self {
        Wanted { content: Vec::new(), expect: None, force: false, change: Some(change) }
    }
}

/// The proposal in work.
#[derive(Debug)]
struct Work {
    origin: Origin,
    content: Rc<[u8]>,
    /// How the members change with it, and what they are then.
    change: Option<(Change, Members)>,
    number: u64,
    asked: BTreeSet<Member>,
    yes: BTreeSet<Member>,
    /// The number that it was appended under.
    appended: Option<Version>,
    until: Micros,
}

/// A node's part in what the fleet agrees on.
pub struct Consensus {
    setup: Setup,
    /// Of the last agreed version.
    members: Members,
    raft: RawNode<LogStorage>,
    effect: Effect,
    /// Agreed versions that are kept, by number.
    agreed: BTreeMap<Version, Rc<[u8]>>,
    applied: u64,
    linked: BTreeSet<Member>,
    /// Pages that were given out and are not durable yet, with what waits for each.
    unwritten: VecDeque<Unwritten>,
    pages: u64,
    questions: u64,
    work: Option<Work>,
    /// Proposals that were passed on, until when they are waited for.
    passed: BTreeMap<u64, Micros>,
    /// Whom they were passed on to.
    passed_to: Option<Member>,
    ticked: Option<Micros>,
    leaving: bool,
}

/// A change of members as the library has it, with what the members are after it.
fn library_change(change: &Change, after: &Members) -> ConfChange {
    let (kind, number) = match change {
        Change::Join { .. } => {
            let newest = after.nodes().iter().map(|n| n.number).max().unwrap_or_default();
            (ConfChangeType::AddLearnerNode, newest)
        }
        Change::Promote(number) => (ConfChangeType::AddNode, *number),
        Change::Leave { number, .. } => (ConfChangeType::RemoveNode, *number),
    };
    ConfChange { change_type: kind, node_id: raft_id(number), ..ConfChange::default() }
}

/// What waits for a page.
#[derive(Debug)]
struct Unwritten {
    page: u64,
    ready: u64,
    messages: Vec<Message>,
    last: Version,
    done: bool,
}

impl fmt::Debug for Consensus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Accord").field("setup", &self.setup).field("agreed", &self.agreed.len()).finish()
    }
}

fn member(raft_id: u64) -> Option<Member> {
    Member::try_from(raft_id.checked_sub(1)?).ok()
}

impl Consensus {
    /// A node that has just started, with what it found on its disk; `found` must be of this node and this fleet.
    pub fn new(now: Micros, setup: Setup, found: &Found, out: &mut Vec<Step>) -> Result<Self, String> {
        let shelf = LogStorage::open(found, setup.members.clone())?;
        let timeout = ELECTION.0 + ELECTION.1 * usize::from(setup.me % TURNS);
        let config = Config {
            id: raft_id(setup.me),
            election_tick: ELECTION.0,
            min_election_tick: timeout,
            max_election_tick: timeout + 1,
            heartbeat_tick: HEARTBEAT,
            applied: shelf.base_index(),
            max_size_per_msg: MOST_CONTENT as u64,
            max_inflight_msgs: 4,
            max_uncommitted_size: 4 * MOST_CONTENT as u64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let last = shelf.last_version();
        let base = shelf.base_version().cloned();
        let members = shelf.base_members();
        let applied = shelf.base_index();
        let raft = RawNode::new(&config, shelf, &quiet).map_err(|e| e.to_string())?;
        let effect = Effect::new(setup.terms, setup.me, last, setup.life << 32);
        let mut consensus = Consensus {
            raft,
            effect,
            agreed: BTreeMap::new(),
            applied,
            linked: BTreeSet::new(),
            unwritten: VecDeque::new(),
            pages: 0,
            questions: setup.life << 32,
            work: None,
            passed: BTreeMap::new(),
            passed_to: None,
            ticked: None,
            leaving: false,
            members,
            setup,
        };
        // What is forgotten was agreed; the library tells of all that is not.
        base.into_iter().for_each(|v| consensus.agree(now, v, out));
        Ok(consensus)
    }

    /// What it may act on at this moment; ask with a clock that was read just now, for each decision.
    pub fn acts(&self, now: Micros) -> Acts {
        match self.effect.acts(now) {
            // One that has not been let in, or is out, has no part in what the others agree on.
            Acts::On(version) if self.members.get(self.setup.me).is_none() => Acts::Within(version),
            acts => acts,
        }
    }

    /// Who is in the fleet, by the last version that is agreed.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The lease that it has or had last.
    pub fn lease(&self) -> Option<(Version, Micros)> {
        self.effect.lease()
    }

    /// Who leads, as far as this node knows.
    pub fn leader(&self) -> Option<Member> {
        member(self.raft.raft.leader_id)
    }

    /// Agreed versions that are kept, oldest first.
    pub fn agreed(&self) -> impl Iterator<Item = (Version, &Rc<[u8]>)> {
        self.agreed.iter().map(|(version, content)| (*version, content))
    }

    /// The content of a version.
    pub fn content(&self, version: Version) -> Option<Rc<[u8]>> {
        self.agreed.get(&version).cloned()
    }

    /// The last version that is agreed; 0 if there is none.
    pub fn last_agreed(&self) -> Version {
        self.agreed.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// The latest version that was waited for, whether or not there is a lease for it.
    pub fn ripe(&self) -> Version {
        self.effect.ripe()
    }

    /// Nodes that can be heard, this one among them.
    pub fn heard(&self) -> usize {
        self.linked.len() + 1
    }

    /// The library's count of elections.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    fn leads(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Who can be heard, this node among them.
    fn hears(&self) -> BTreeSet<Member> {
        self.linked.iter().copied().chain([self.setup.me]).collect()
    }

    /// What a change of members is held against.
    fn seen(&self) -> Seen {
        let committed = self.raft.raft.raft_log.committed;
        let has_all = |number: &Number| {
            let progress = self.raft.raft.prs().get(raft_id(*number));
            progress.is_some_and(|p| p.matched >= committed)
        };
        let caught_up = self.members.candidates().filter(has_all).collect();
        Seen { heard: self.hears(), caught_up }
    }

    /// When to tell it that time has passed.
    pub fn wake(&self, now: Micros) -> Micros {
        let tick = self.ticked.map_or(now, |t| t.plus(TICK));
        self.effect.wake().map_or(tick, |t| t.min(tick))
    }

    /// Takes in an event; appends what is to be done.
    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Step>) {
        match event {
            Event::Heard(from, body) => self.hear(now, from, body, out),
            Event::Linked(with, true) => drop(self.linked.insert(with)),
            Event::Linked(with, false) => {
                self.linked.remove(&with);
                self.raft.report_unreachable(raft_id(with));
            }
            Event::Written(page) => self.written(now, page, out),
            Event::Propose { ticket, content, expect, force } => {
                let wanted = Wanted { content, expect, force, change: None };
                self.propose(now, Origin::Here(ticket), wanted, out);
            }
            Event::Change { ticket, change } => {
                self.propose(now, Origin::Here(ticket), change.into(), out);
            }
            Event::Checked(asked, verdict) => self.checked(now, self.setup.me, asked, verdict, out),
            Event::Leave => {
                self.leaving = true;
                self.yield_lead();
            }
            Event::Tick => self.tick(now, out),
        }
        self.drive(now, out);
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Step>) {
        // After a pause one unit has passed, not all that it took: the others have not been silent meanwhile.
        if self.ticked.is_none_or(|t| now.since(t) >= TICK) {
            self.ticked = Some(now);
            self.raft.tick();
            if self.leaving {
                self.yield_lead();
            }
        }
        self.effect_step(now, lease::Event::Tick, out);
        let over: Vec<u64> = self.passed.iter().filter(|p| *p.1 <= now).map(|p| *p.0).collect();
        for ticket in over {
            self.passed.remove(&ticket);
            out.push(Step::Answer(ticket, Err(Refusal::Unknown)));
        }
        // Nearly always nobody waits for a vote: then the log is not looked at.
        if self.members.candidates().next().is_some() && self.leads() && !self.leaving && self.is_settled() {
            let ready = self.seen().caught_up.first().copied();
            if let Some(change) = ready.map(Change::Promote) {
                self.propose(now, Origin::Nobody, change.into(), out);
            }
        }
        let Some(work) = self.work.as_ref().filter(|w| w.until <= now) else { return };
        if work.appended.is_some() {
            self.end_work(Err(Refusal::Unknown), out);
        } else if self.members.is_majority(&work.yes) {
            // Whoever has not answered cannot be heard well; it finds out for itself when it takes the version in.
            self.append(now, out);
        } else {
            self.end_work(Err(Refusal::NoMajority), out);
        }
    }

    /// Whether nothing is in work, and the last version is in effect.
    fn is_settled(&self) -> bool {
        self.work.is_none() && self.raft.store().last_version() == self.ripe()
    }

    fn yield_lead(&mut self) {
        if self.leads()
            // The library passes over one that has no vote, and would lead on.
            && let Some(to) = self.members.voters().find(|n| self.linked.contains(n))
        {
            self.raft.transfer_leader(raft_id(to));
        }
    }

    fn hear(&mut self, now: Micros, from: Member, body: Body, out: &mut Vec<Step>) {
        match body {
            // The links' own.
            Body::Hello(_) | Body::Gone(_) => {}
            Body::Log(bytes) => {
                let mut message = Message::default();
                // What is not of the sender's own number would vote in another's name.
                if message.merge_from_bytes(&bytes).is_ok() && message.from == raft_id(from) {
                    // The library turns down what it cannot use; that changes nothing.
                    let _ = self.raft.step(message);
                }
            }
            Body::Ask(Ask { version, number }) => {
                self.effect_step(now, lease::Event::Ask { from, version, number }, out);
            }
            Body::Yes(number) => self.effect_step(now, lease::Event::Yes { from, number }, out),
            Body::Check(Check { number, content, force }) => {
                out.push(Step::Check(Asked { by: from, number }, Rc::from(content), force));
            }
            Body::Checked(Checked { number, problem }) => {
                let verdict = if problem.is_empty() { Ok(()) } else { Err(problem) };
                self.checked(now, from, Asked { by: self.setup.me, number }, verdict, out);
            }
            Body::Forward(Forward { ticket, content, expect, force, change }) => {
                // What cannot be read is of a newer program, and is not agreed for want of an answer.
                let change = match change.as_slice() {
                    [] => None,
                    bytes => match serde_json::from_slice(bytes) {
                        Ok(change) => Some(change),
                        Err(_) => return,
                    },
                };
                let wanted = Wanted { content, expect, force, change };
                self.propose(now, Origin::There(from, ticket), wanted, out);
            }
            Body::Answer(Answer { ticket, version, problem }) => {
                if self.passed.remove(&ticket).is_some() {
                    let end = if version > 0 { Ok(version) } else { Err(Refusal::Told(problem)) };
                    out.push(Step::Answer(ticket, end));
                }
            }
        }
    }

    // ---- Proposals -----------------------------------------------------------------------------------

    fn propose(&mut self, now: Micros, origin: Origin, wanted: Wanted, out: &mut Vec<Step>) {
        let (expect, seen) = (wanted.expect, self.seen());
        let after = wanted.change.as_ref().map(|change| self.members.after(change, &seen)).transpose();
        let itself = matches!(&wanted.change, Some(Change::Leave { number, .. }) if *number == self.setup.me);
        let refused = if wanted.content.len() > MOST_CONTENT {
            Some(Refusal::TooLong(wanted.content.len()))
        } else if !self.leads() {
            match (origin, self.leader().filter(|l| self.linked.contains(l))) {
                (Origin::Here(ticket), Some(leader)) if self.passed.len() < MOST_OUT => {
                    self.passed.insert(ticket, now.plus(ANSWER));
                    self.passed_to = Some(leader);
                    let change = wanted.change.and_then(|c| serde_json::to_vec(&c).ok()).unwrap_or_default();
                    let (content, force) = (wanted.content, wanted.force);
                    let forward = Forward { ticket, content, expect, force, change };
                    out.push(Step::Send(leader, Body::Forward(forward)));
                    return;
                }
                (Origin::Here(_), Some(_)) => Some(Refusal::Busy),
                // What was passed on is passed on once: two that take each other for the leader would go on for ever.
                _ => Some(Refusal::NoMajority),
            }
        } else if let Some(last) = expect.map(|_| self.last_agreed()).filter(|last| expect != Some(*last)) {
            Some(Refusal::OutOfDate(last))
        } else if !self.is_settled() || self.leaving {
            Some(Refusal::Busy)
        } else if !self.members.is_majority(&seen.heard) {
            Some(Refusal::NoMajority)
        } else if itself && after.is_ok() {
            // Who leads gives that away before it goes; the operator asks again.
            self.yield_lead();
            Some(Refusal::Busy)
        } else {
            after.as_ref().err().cloned().map(Refusal::Members)
        };
        if let Some(refused) = refused {
            return self.answer(origin, Err(refused), out);
        }
        self.questions += 1;
        let number = self.questions;
        let change = wanted.change.zip(after.ok().flatten());
        let last = self.agreed.last_key_value().map(|(_, content)| content.clone());
        let content: Rc<[u8]> = match &change {
            // Nothing else changes, so that there is nothing to be checked.
            Some(_) => last.unwrap_or_else(|| Rc::from(NOTHING)),
            None => Rc::from(wanted.content),
        };
        let (asked, yes, appended, until) = (seen.heard, BTreeSet::new(), None, now.plus(CHECK));
        let appends = change.is_some();
        self.work =
            Some(Work { origin, content: content.clone(), change, number, asked, yes, appended, until });
        if appends {
            return self.append(now, out);
        }
        let force = wanted.force;
        for to in &self.linked {
            let check = Check { number, content: content.to_vec(), force };
            out.push(Step::Send(*to, Body::Check(check)));
        }
        out.push(Step::Check(Asked { by: self.setup.me, number }, content, force));
    }

    fn checked(
        &mut self,
        now: Micros,
        whose: Member,
        asked: Asked,
        verdict: Result<(), String>,
        out: &mut Vec<Step>,
    ) {
        if asked.by != self.setup.me {
            let problem = verdict.err().unwrap_or_default();
            return out.push(Step::Send(asked.by, Body::Checked(Checked { number: asked.number, problem })));
        }
        let Some(work) = self.work.as_mut().filter(|w| w.number == asked.number && w.appended.is_none())
        else {
            return;
        };
        match verdict {
            Err(why) => {
                let name = self.members.get(whose).map_or("", |n| n.name.as_str());
                self.end_work(Err(Refusal::Unsound(format!("{name}: {why}"))), out);
            }
            Ok(()) => {
                work.yes.insert(whose);
                // One whose link has gone since is not waited for.
                let me = self.setup.me;
                let owed = |m: &&Member| **m == me || self.linked.contains(m);
                if work.asked.iter().filter(owed).all(|m| work.yes.contains(m))
                    && self.members.is_majority(&work.yes)
                {
                    self.append(now, out);
                }
            }
        }
    }

    fn append(&mut self, now: Micros, out: &mut Vec<Step>) {
        let version = self.raft.store().last_version() + 1;
        let Some(work) = self.work.as_mut() else { return };
        let members = work.change.as_ref().and_then(|c| serde_json::to_vec(&c.1).ok()).unwrap_or_default();
        let entry = Versioned { version, content: work.content.to_vec(), members }.encode_to_vec();
        (work.appended, work.until) = (Some(version), now.plus(ANSWER));
        let proposed = match work.change.as_ref().map(|(change, members)| library_change(change, members)) {
            Some(change) => self.raft.propose_conf_change(entry, change),
            None => self.raft.propose(Vec::new(), entry),
        };
        if proposed.is_err() {
            self.end_work(Err(Refusal::NoMajority), out);
        }
    }

    fn end_work(&mut self, end: Result<Version, Refusal>, out: &mut Vec<Step>) {
        if let Some(work) = self.work.take() {
            self.answer(work.origin, end, out);
        }
    }

    fn answer(&self, origin: Origin, end: Result<Version, Refusal>, out: &mut Vec<Step>) {
        match origin {
            Origin::Nobody => {}
            Origin::Here(ticket) => out.push(Step::Answer(ticket, end)),
            Origin::There(to, ticket) => {
                let problem = end.as_ref().err().map(Refusal::to_string).unwrap_or_default();
                let version = end.unwrap_or(0);
                out.push(Step::Send(to, Body::Answer(Answer { ticket, version, problem })));
            }
        }
    }

    // ---- The log -------------------------------------------------------------------------------------

    /// Takes all that the library has to say.
    fn drive(&mut self, now: Micros, out: &mut Vec<Step>) {
        while self.raft.has_ready() {
            let mut ready = self.raft.ready();
            self.send(ready.take_messages(), out);
            let mut page = LogRecord::default();
            if !ready.snapshot().is_empty() {
                let snapshot = ready.snapshot().clone();
                if self.raft.mut_store().restore(&snapshot, &mut page).is_ok() {
                    self.applied = snapshot.get_metadata().index;
                    self.members = self.raft.store().base_members();
                    let base = self.raft.store().base_version().cloned();
                    base.into_iter().for_each(|v| self.agree(now, v, out));
                }
            }
            self.raft.mut_store().append(ready.take_entries(), &mut page);
            if let Some(hard) = ready.hs() {
                self.raft.mut_store().set_hard(hard, &mut page);
            }
            let committed = ready.take_committed_entries();
            let messages = ready.take_persisted_messages();
            let number = ready.number();
            self.raft.advance_append_async(ready);
            self.apply(now, committed, out);
            self.raft.mut_store().trim(self.applied, &mut page);
            self.forget_old();
            let last = self.raft.store().last_version();
            let done = page.is_empty();
            self.pages += 1;
            if !done {
                out.push(Step::Write(self.pages, page));
            }
            self.unwritten.push_back(Unwritten { page: self.pages, ready: number, messages, last, done });
            self.persist(now, out);
        }
        // Whoever leads now knows nothing of what was passed on to the one before it.
        if self.leader().is_some_and(|l| self.passed_to.is_some_and(|to| to != l)) {
            let lost = std::mem::take(&mut self.passed);
            out.extend(lost.into_keys().map(|ticket| Step::Answer(ticket, Err(Refusal::Unknown))));
            self.passed_to = None;
        }
        // Nobody answers for a proposal that another leader may or may not carry on.
        if !self.leads() && self.work.is_some() {
            self.end_work(Err(Refusal::Unknown), out);
        }
    }

    fn written(&mut self, now: Micros, page: u64, out: &mut Vec<Step>) {
        if let Some(one) = self.unwritten.iter_mut().find(|u| u.page == page) {
            one.done = true;
        }
        self.persist(now, out);
    }

    /// What waited for pages that are durable, and for all before them, goes out.
    fn persist(&mut self, now: Micros, out: &mut Vec<Step>) {
        while self.unwritten.front().is_some_and(|u| u.done) {
            let Some(one) = self.unwritten.pop_front() else { return };
            self.raft.on_persist_ready(one.ready);
            self.send(one.messages, out);
            self.effect_step(now, lease::Event::Last(one.last), out);
        }
    }

    fn apply(&mut self, now: Micros, entries: Vec<Entry>, out: &mut Vec<Step>) {
        for entry in entries {
            self.applied = entry.index;
            if entry.get_entry_type() == EntryType::EntryConfChange {
                let mut change = ConfChange::default();
                // What is in the log was written by this library; one that it turns down changes nothing at any node.
                if change.merge_from_bytes(entry.get_data()).is_ok() {
                    let _ = self.raft.apply_conf_change(&change);
                }
            }
            if let Some(version) = version_of(&entry) {
                self.agree(now, version, out);
            }
        }
        self.raft.advance_apply_to(self.applied);
    }

    fn agree(&mut self, now: Micros, entry: Versioned, out: &mut Vec<Step>) {
        let (version, content) = (entry.version, Rc::<[u8]>::from(entry.content));
        // Without the one just before it nobody knows what it differs from.
        let before = version.checked_sub(1).and_then(|before| self.agreed.get(&before));
        let same = entry.members.is_empty();
        let immediate = same && before.is_some_and(|before| diff::is_immediate(before, &content));
        if let Ok(members) = serde_json::from_slice(&entry.members) {
            self.members = members;
        }
        let voters = self.members.electorate();
        self.agreed.insert(version, content.clone());
        out.push(Step::Agreed(version, content));
        self.effect_step(now, lease::Event::Committed { version, immediate, voters }, out);
        if self.work.as_ref().is_some_and(|w| w.appended == Some(version)) {
            self.end_work(Ok(version), out);
        }
    }

    /// Versions that the log has forgotten are forgotten here, but for the one that stands for them.
    fn forget_old(&mut self) {
        let first = self.raft.store().base_version().map_or(0, |v| v.version);
        self.agreed = self.agreed.split_off(&first);
    }

    fn send(&self, messages: Vec<Message>, out: &mut Vec<Step>) {
        for message in messages {
            let to = member(message.to).filter(|to| self.linked.contains(to));
            if let (Some(to), Ok(bytes)) = (to, message.write_to_bytes()) {
                out.push(Step::Send(to, Body::Log(bytes)));
            }
        }
    }

    fn effect_step(&mut self, now: Micros, event: lease::Event, out: &mut Vec<Step>) {
        let mut steps = Vec::new();
        self.effect.step(now, event, &mut steps);
        for step in steps {
            match step {
                lease::Step::Ask { version, number } => {
                    let ask = |to: &Member| Step::Send(*to, Body::Ask(Ask { version, number }));
                    out.extend(self.linked.iter().map(ask));
                }
                lease::Step::Yes { to, number } => out.push(Step::Send(to, Body::Yes(number))),
            }
        }
    }
}
