//! The hand-over of service between two processes of one node, as a state machine.
//!
//! The process that holds the service lock is the active one: it accepts connections, admits requests, runs them and
//! reports to the membership service. The operating system releases the lock when its holder dies. When a process is
//! asked to stop while another one waits, it sends its whole state to that successor and releases the lock.
//!
//! The machine guarantees, in any order of messages, deaths and timeouts (checked in `tests/handover.rs`):
//!
//! - at most one process is active, and it holds the lock;
//! - no idempotency key runs in both processes;
//! - a process whose successor does not take over reclaims the lock, resumes service and drains.
//!
//! It does no I/O and reads no clock: [`Handover::on_event`] is told what happened and returns [`Action`]s. The driver is
//! `node::event_loop::handover`; it closes a link that it refuses by itself, and knows of a predecessor that drains (its `Hello`
//! says so): that one hands over nothing but keys, and its successor serves once it has exited.
//!
//! | role | event | actions | next role |
//! | --- | --- | --- | --- |
//! | any but `Alone` | `Linked` (the driver refuses the link before that) | `RefuseLink` | the same |
//! | `Alone` | `Linked` | `Replicate` | `Predecessor` |
//! | `Alone` | `Terminate` | `Drain` | `Alone` |
//! | `Predecessor` | `Unlinked` | `StopReplicating` | `Alone` |
//! | `Predecessor` | `Terminate` | `HandOver` | `HandingOver` |
//! | `HandingOver` | `TakenOver` | `Retire` | `Retired` |
//! | `HandingOver` | `Tick`, once 1 s has passed | `AcquireLock` | `HandingOver` |
//! | `HandingOver` | `LockUnavailable` | | `HandingOver`, for another 1 s |
//! | `HandingOver` | `Unlinked` | `AcquireLock` | `SuccessorLost` |
//! | `SuccessorLost` | `TakenOver` | `Retire` | `Retired` |
//! | `SuccessorLost` | `Unlinked`; `Tick`, each 5 ms | `AcquireLock` | `SuccessorLost` |
//! | `SuccessorLost` | `LockUnavailable`, less than 2 s after the state was sent | | `SuccessorLost` |
//! | `SuccessorLost` | `LockUnavailable`, later | `Retire`, `Exit` | `Retired` |
//! | `HandingOver`, `SuccessorLost` | `LockAcquired` | `ReadSuccessor` | `Reclaimed` |
//! | `Reclaimed` | `TakenOver` | `Retire`, `Exit` | `Retired` |
//! | `Reclaimed` | `SuccessorRead` | `StopReplicating`, `ResumeService`, `Drain` | `Alone` |
//! | `Retired` | `Unlinked` | `Exit` | `Retired` |
//! | `Successor` | `KeysComplete` | | `Successor`, with all keys |
//! | `Successor` | `Unreadable` | `SearchAgain` | `Successor`, without keys |
//! | `Successor` | `StateComplete` | `AcquireLock` | `TakingOver` |
//! | `Successor` | `Unlinked` | `AcquireLock` | `PredecessorLost` |
//! | `Successor`, `PredecessorLost` | `Terminate` | `Exit` | the same |
//! | `TakingOver` | `LockAcquired` | `TakeOver` | `Alone` |
//! | `TakingOver` | `StateOutdated` | `Serve` without all keys | `Alone` |
//! | `TakingOver` | `LockUnavailable` | `SearchAgain` | `Successor`, without keys |
//! | `PredecessorLost` | `LockAcquired` | `Serve` | `Alone` |
//! | `PredecessorLost` | `Tick`, each 5 ms | `AcquireLock` | `PredecessorLost` |
//! | `PredecessorLost` | `LockUnavailable`, 1 s after the link was lost or later | `SearchAgain` | `Successor`, without keys |
//!
//! Events that a role has no row for change nothing.

use crate::time::{Micros, Timestamp};

/// How long a successor has to take over once all state was sent. It only has to acquire a free lock and say so; while
/// it does not, callers wait for both processes.
const TAKEOVER_TIMEOUT: Micros = Micros::millis(1_000);

/// How long the lock may remain held after the link to its holder broke: the operating system closes a dying process's
/// descriptors one by one. If it is still held later, its holder lives, or a third process has it.
const LOCK_RELEASE_GRACE: Micros = Micros::millis(1_000);

/// Time between two attempts to acquire the lock: nobody serves meanwhile.
const LOCK_RETRY_INTERVAL: Micros = Micros::millis(5);

/// The role of a process among those of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Active, and no other process is linked.
    Alone,
    /// Active, and a successor is linked that its keys are replicated to.
    Predecessor,
    /// All state was sent and the lock was released; the successor is linked and has not confirmed.
    HandingOver {
        /// When the state was sent, or when the lock was last found held since.
        since: Timestamp,
    },
    /// As `HandingOver`, but the link to the successor is lost: it may have taken over, or died.
    SuccessorLost {
        /// As in `HandingOver`.
        since: Timestamp,
        /// When the lock was last attempted.
        last_attempt: Timestamp,
    },
    /// The lock was reclaimed; messages that the successor sent before are still to be read.
    Reclaimed,
    /// Another process has taken over; only outbound calls that were made here continue.
    Retired,
    /// Another process is active; this one receives its keys and waits for its state.
    Successor {
        /// All keys of the predecessor have arrived.
        keys_complete: bool,
    },
    /// The predecessor's whole state has arrived; the lock is being acquired.
    TakingOver,
    /// The link to the predecessor was lost before its state was complete; it may still hold the lock.
    PredecessorLost {
        /// When the link was lost.
        since: Timestamp,
        /// All keys of the predecessor had arrived.
        keys_complete: bool,
        /// When the lock was last attempted.
        last_attempt: Timestamp,
    },
}

/// Something that happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Another process has connected.
    Linked,
    /// The link to the other process is lost.
    Unlinked,
    /// What the predecessor sent cannot be read: it is another version, or the bytes are damaged.
    Unreadable,
    /// The successor says that it took over.
    TakenOver,
    /// The predecessor says that all its keys were sent.
    KeysComplete,
    /// The predecessor says that its whole state was sent and the lock is free.
    StateComplete,
    /// The process was asked to stop.
    Terminate,
    /// An attempt to acquire the lock succeeded.
    LockAcquired,
    /// An attempt to acquire the lock failed: another process holds it.
    LockUnavailable,
    /// The lock was acquired, but the predecessor had reclaimed it after it sent its state: that is out of date.
    StateOutdated,
    /// Everything that the successor ever sent has been read.
    SuccessorRead,
    /// Time has passed.
    Tick,
}

/// What a process is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send all keys to the new link, then each change of a key before the command that it is about.
    Replicate,
    /// Close the link to the successor and replicate no longer.
    StopReplicating,
    /// Close the link that was just made.
    RefuseLink,
    /// Stop all work, send the whole state, then release the lock.
    HandOver,
    /// Try to acquire the lock, and report the outcome as an event.
    AcquireLock,
    /// Add a generation mark to the lock, so that the state that was sent is out of date; then read everything that the
    /// successor has sent, and report it.
    ReadSuccessor,
    /// Resume the work that was stopped for the hand-over.
    ResumeService,
    /// Drain, as a process that leaves service.
    Drain,
    /// Drop all state but outbound calls.
    Retire,
    /// Tell the predecessor first, then continue from its state.
    TakeOver,
    /// Serve without the predecessor's state.
    Serve {
        /// All keys of the predecessor have arrived; without them some runs may be unknown here.
        keys_complete: bool,
    },
    /// Drop everything that came from the predecessor, and search for an active process again.
    SearchAgain,
    /// End the process.
    Exit,
}

/// The hand-over state machine of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Handover {
    role: Role,
}

impl Handover {
    /// A process that holds the lock.
    pub fn active() -> Self {
        Handover { role: Role::Alone }
    }

    /// A process that has found an active one.
    pub fn successor() -> Self {
        Handover { role: Role::Successor { keys_complete: false } }
    }

    /// Its role now.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this process is the active one.
    pub fn is_active(&self) -> bool {
        matches!(self.role, Role::Alone | Role::Predecessor)
    }

    /// Whether this process waits to become active.
    pub fn is_standby(&self) -> bool {
        matches!(self.role, Role::Successor { .. } | Role::TakingOver | Role::PredecessorLost { .. })
    }

    /// Whether another process has taken over from this one.
    pub fn is_retired(&self) -> bool {
        self.role == Role::Retired
    }

    /// When to report [`Event::Tick`] although nothing happens.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        match self.role {
            Role::HandingOver { since } => Some(since.plus(TAKEOVER_TIMEOUT)),
            Role::SuccessorLost { last_attempt, .. } | Role::PredecessorLost { last_attempt, .. } => {
                Some(last_attempt.plus(LOCK_RETRY_INTERVAL))
            }
            _ => None,
        }
    }

    /// Handles an event; returns what is to be done about it, in order.
    pub fn on_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match self.role {
            Role::Alone => self.on_event_alone(event),
            // There is room for one other process at a time.
            _ if event == Event::Linked => vec![Action::RefuseLink],
            Role::Predecessor => self.on_event_predecessor(now, event),
            Role::HandingOver { since } => self.on_event_handing_over(now, event, since),
            Role::SuccessorLost { since, .. } => self.on_event_successor_lost(now, event, since),
            Role::Reclaimed => self.on_event_reclaimed(event),
            Role::Retired => self.on_event_retired(event),
            Role::Successor { keys_complete } => self.on_event_successor(now, event, keys_complete),
            Role::TakingOver => self.on_event_taking_over(event),
            Role::PredecessorLost { since, keys_complete, .. } => {
                self.on_event_predecessor_lost(now, event, since, keys_complete)
            }
        }
    }

    fn on_event_alone(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::Linked => self.enter(Role::Predecessor, vec![Action::Replicate]),
            Event::Terminate => vec![Action::Drain],
            _ => vec![],
        }
    }

    fn on_event_predecessor(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match event {
            Event::Unlinked => self.enter(Role::Alone, vec![Action::StopReplicating]),
            Event::Terminate => self.enter(Role::HandingOver { since: now }, vec![Action::HandOver]),
            _ => vec![],
        }
    }

    fn on_event_handing_over(&mut self, now: Timestamp, event: Event, since: Timestamp) -> Vec<Action> {
        match event {
            Event::TakenOver => self.enter(Role::Retired, vec![Action::Retire]),
            Event::Unlinked => {
                self.enter(Role::SuccessorLost { since, last_attempt: now }, vec![Action::AcquireLock])
            }
            Event::Tick if self.is_due(now) => vec![Action::AcquireLock],
            Event::LockAcquired => self.enter(Role::Reclaimed, vec![Action::ReadSuccessor]),
            // The successor has the lock and will confirm, or is about to be lost.
            Event::LockUnavailable => self.enter(Role::HandingOver { since: now }, vec![]),
            _ => vec![],
        }
    }

    fn on_event_successor_lost(&mut self, now: Timestamp, event: Event, since: Timestamp) -> Vec<Action> {
        match event {
            Event::TakenOver => self.enter(Role::Retired, vec![Action::Retire]),
            Event::Unlinked => {
                self.enter(Role::SuccessorLost { since, last_attempt: now }, vec![Action::AcquireLock])
            }
            Event::Tick if self.is_due(now) => {
                self.enter(Role::SuccessorLost { since, last_attempt: now }, vec![Action::AcquireLock])
            }
            // The successor may have taken over, confirmed and died, and its confirmation is unread.
            Event::LockAcquired => self.enter(Role::Reclaimed, vec![Action::ReadSuccessor]),
            // A lock that outlasts its dying holder by a moment, until that time is over: then a third process has it.
            Event::LockUnavailable if now.since(since) < TAKEOVER_TIMEOUT.plus(LOCK_RELEASE_GRACE) => vec![],
            Event::LockUnavailable => self.enter(Role::Retired, vec![Action::Retire, Action::Exit]),
            _ => vec![],
        }
    }

    fn on_event_reclaimed(&mut self, event: Event) -> Vec<Action> {
        match event {
            // What the successor ran is not known here.
            Event::TakenOver => self.enter(Role::Retired, vec![Action::Retire, Action::Exit]),
            Event::SuccessorRead => {
                let actions = vec![Action::StopReplicating, Action::ResumeService, Action::Drain];
                self.enter(Role::Alone, actions)
            }
            _ => vec![],
        }
    }

    fn on_event_retired(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::Unlinked => vec![Action::Exit],
            _ => vec![],
        }
    }

    fn on_event_successor(&mut self, now: Timestamp, event: Event, keys_complete: bool) -> Vec<Action> {
        match event {
            Event::KeysComplete => self.enter(Role::Successor { keys_complete: true }, vec![]),
            // Leaves the lock that the predecessor has released to the predecessor, which knows the whole state.
            Event::Unreadable => self.search_again(),
            Event::StateComplete => self.enter(Role::TakingOver, vec![Action::AcquireLock]),
            Event::Unlinked => {
                let lost = Role::PredecessorLost { since: now, keys_complete, last_attempt: now };
                self.enter(lost, vec![Action::AcquireLock])
            }
            Event::Terminate => vec![Action::Exit],
            _ => vec![],
        }
    }

    fn on_event_taking_over(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::LockAcquired => self.enter(Role::Alone, vec![Action::TakeOver]),
            // What the predecessor ran after it reclaimed the lock is not known here.
            Event::StateOutdated => self.enter(Role::Alone, vec![Action::Serve { keys_complete: false }]),
            Event::LockUnavailable => self.search_again(),
            _ => vec![],
        }
    }

    fn on_event_predecessor_lost(
        &mut self,
        now: Timestamp,
        event: Event,
        since: Timestamp,
        keys_complete: bool,
    ) -> Vec<Action> {
        match event {
            Event::LockAcquired => self.enter(Role::Alone, vec![Action::Serve { keys_complete }]),
            // The predecessor lives: only the link was lost.
            Event::LockUnavailable if now.since(since) >= LOCK_RELEASE_GRACE => self.search_again(),
            Event::Tick if self.is_due(now) => {
                let lost = Role::PredecessorLost { since, keys_complete, last_attempt: now };
                self.enter(lost, vec![Action::AcquireLock])
            }
            Event::Terminate => vec![Action::Exit],
            _ => vec![],
        }
    }

    fn search_again(&mut self) -> Vec<Action> {
        self.enter(Role::Successor { keys_complete: false }, vec![Action::SearchAgain])
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.next_wakeup().is_some_and(|due| due <= now)
    }

    fn enter(&mut self, role: Role, actions: Vec<Action>) -> Vec<Action> {
        self.role = role;
        actions
    }
}
