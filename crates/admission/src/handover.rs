//! Which of two processes is the node, and how one takes over from the other.
//!
//! The one that holds the claim is the node: a lock that the system lets go of when its holder dies. The machine of a
//! process says what to do with the link to the other, with the claim and with its state; it does no I/O and reads
//! no clock. The table that it follows is in `docs/design/operation.md`.

use crate::time::Micros;

/// From the moment at which all was sent: how long the heir has to take over.
pub const TAKE_OVER: Micros = Micros::millis(1_000);
/// How long after the end of a link the claim of its other side may outlast it.
const DYING: Micros = Micros::millis(1_000);
/// Time between two tries to take a claim.
const TRY: Micros = Micros::millis(5);

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// It is the node, and no other process is linked.
    Alone,
    /// It is the node, and an heir is linked.
    Elder,
    /// It has sent all and let go of the claim, at that time; the heir may be gone again.
    Parting {
        /// When.
        since: Micros,
        /// The heir is still linked.
        linked: bool,
    },
    /// It has the claim back; what the heir may have said before it lost it is still to be heard.
    Regained,
    /// Another process has taken over.
    Retired,
    /// Another process is the node; its keys are known here or not yet.
    Heir {
        /// All of them are known.
        synced: bool,
    },
    /// All that the elder has is here.
    Taking,
    /// The link to the elder has ended at that time, and the claim may still be held.
    Orphan {
        /// When.
        since: Micros,
        /// All keys were known by then.
        synced: bool,
    },
}

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Another process has linked.
    Linked,
    /// The link to the other process is gone.
    Unlinked,
    /// What the elder says cannot be read here: it is another program, or its bytes were spoilt.
    Unreadable,
    /// The other one says that it took over.
    Taken,
    /// The elder says that all keys were sent.
    Synced,
    /// The elder says that all was sent.
    Over,
    /// The process is told to leave.
    Leave,
    /// An attempt at the claim: it is held now, or by another process.
    Claimed(bool),
    /// The claim is held now, but the elder had taken it back since it sent all: that is out of date.
    Stale,
    /// All that the heir has ever written was heard.
    Listened,
    /// Time has passed.
    Tick,
}

/// What a process is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Tell the new link of all keys, and of each change from now on.
    Mirror,
    /// Tell it no more.
    StopMirror,
    /// Close the link that has just come.
    TurnAway,
    /// Stop all work, send everything, then let go of the claim.
    Part,
    /// Try to take the claim, and tell of it.
    Claim,
    /// Mark the claim as taken back, so that what was sent is out of date; then hear all that the heir has written,
    /// and tell of it.
    Listen,
    /// Go on with what was stopped.
    GoOn,
    /// Drain, as the node leaves service.
    Drain,
    /// Forget all but calls that are out.
    Retire,
    /// Go on in the place of the elder, and tell it so first.
    TakeOver,
    /// Serve with the keys that are known; all of them are, or not.
    Serve {
        /// All keys of the elder are known.
        all: bool,
    },
    /// Forget all that came from the elder, and look for another process as at the start.
    Seek,
    /// End.
    End,
}

/// The machine of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Handover {
    role: Role,
    tried: Option<Micros>,
}

impl Handover {
    /// A process that holds the claim.
    pub fn alone() -> Self {
        Handover { role: Role::Alone, tried: None }
    }

    /// A process that has found another one.
    pub fn heir() -> Self {
        Handover { role: Role::Heir { synced: false }, tried: None }
    }

    /// Where it stands.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this process is the node: it accepts, reads, decides, runs and reports.
    pub fn is_node(&self) -> bool {
        matches!(self.role, Role::Alone | Role::Elder)
    }

    /// Whether another process is, or was a moment ago.
    pub fn is_heir(&self) -> bool {
        matches!(self.role, Role::Heir { .. } | Role::Taking | Role::Orphan { .. })
    }

    /// Whether another process has taken over from it.
    pub fn is_retired(&self) -> bool {
        self.role == Role::Retired
    }

    /// When to tell it that time has passed.
    pub fn wake(&self) -> Option<Micros> {
        match self.role {
            Role::Parting { since, linked: true } => Some(since.plus(TAKE_OVER)),
            Role::Parting { .. } | Role::Orphan { .. } => Some(self.tried.unwrap_or_default().plus(TRY)),
            _ => None,
        }
    }

    /// What is to be done about an event, in order.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Step> {
        let (role, steps) = match (self.role, event) {
            (Role::Alone, Event::Linked) => (Role::Elder, vec![Step::Mirror]),
            (Role::Alone, Event::Leave) => (Role::Alone, vec![Step::Drain]),
            (role, Event::Linked) => (role, vec![Step::TurnAway]),
            (Role::Elder, Event::Unlinked) => (Role::Alone, vec![Step::StopMirror]),
            (Role::Elder, Event::Leave) => (Role::Parting { since: now, linked: true }, vec![Step::Part]),
            (Role::Parting { .. }, Event::Taken) => (Role::Retired, vec![Step::Retire]),
            (Role::Parting { since, .. }, Event::Unlinked) => {
                self.tried = Some(now);
                (Role::Parting { since, linked: false }, vec![Step::Claim])
            }
            (role @ Role::Parting { .. }, Event::Tick) if self.wake().is_some_and(|t| t <= now) => {
                self.tried = Some(now);
                (role, vec![Step::Claim])
            }
            // Guards against a heir that took over, said so and died, unheard.
            (Role::Parting { .. }, Event::Claimed(true)) => (Role::Regained, vec![Step::Listen]),
            (Role::Regained, Event::Taken) => (Role::Retired, vec![Step::Retire, Step::End]),
            (Role::Regained, Event::Listened) => {
                (Role::Alone, vec![Step::StopMirror, Step::GoOn, Step::Drain])
            }
            // The heir has it and will say so, or is about to be gone.
            (Role::Parting { linked: true, .. }, Event::Claimed(false)) => {
                (Role::Parting { since: now, linked: true }, vec![])
            }
            // It may be a claim that outlasts its holder by a moment; after that it is a third process's.
            (Role::Parting { since, linked: false }, Event::Claimed(false)) => {
                match now.since(since) < TAKE_OVER.plus(DYING) {
                    true => (self.role, vec![]),
                    false => (Role::Retired, vec![Step::Retire, Step::End]),
                }
            }
            (Role::Retired, Event::Unlinked) => (Role::Retired, vec![Step::End]),
            (Role::Heir { .. }, Event::Synced) => (Role::Heir { synced: true }, vec![]),
            // Gives way: the claim that the elder let go of is for the elder to take back, which knows all.
            (Role::Heir { .. }, Event::Unreadable) => (Role::Heir { synced: false }, vec![Step::Seek]),
            (Role::Heir { .. }, Event::Over) => (Role::Taking, vec![Step::Claim]),
            (Role::Taking, Event::Claimed(true)) => (Role::Alone, vec![Step::TakeOver]),
            // What ran since is not known here.
            (Role::Taking, Event::Stale) => (Role::Alone, vec![Step::Serve { all: false }]),
            (Role::Taking, Event::Claimed(false)) => (Role::Heir { synced: false }, vec![Step::Seek]),
            (Role::Heir { synced }, Event::Unlinked) => {
                self.tried = Some(now);
                (Role::Orphan { since: now, synced }, vec![Step::Claim])
            }
            (Role::Orphan { synced, .. }, Event::Claimed(true)) => {
                (Role::Alone, vec![Step::Serve { all: synced }])
            }
            (Role::Orphan { since, .. }, Event::Claimed(false)) if now.since(since) >= DYING => {
                (Role::Heir { synced: false }, vec![Step::Seek])
            }
            (role @ Role::Orphan { .. }, Event::Tick) if self.wake().is_some_and(|t| t <= now) => {
                self.tried = Some(now);
                (role, vec![Step::Claim])
            }
            (role @ (Role::Heir { .. } | Role::Orphan { .. }), Event::Leave) => (role, vec![Step::End]),
            (role, _) => (role, vec![]),
        };
        self.role = role;
        steps
    }
}
