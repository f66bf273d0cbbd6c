//! The hand-over of service between two processes of one node, as a state machine.
//!
//! The process that holds the service lock is the active one: it accepts connections, admits requests, runs
//! them and reports to the membership service. The operating system releases the lock when the process that
//! holds it dies. When the active process is asked to stop while a successor is linked to it, it sends its
//! whole state to the successor and releases the lock.
//!
//! The state machine guarantees, in any order of messages, deaths and timeouts (checked in
//! `tests/handover.rs`):
//!
//! - at most one process is active, and it holds the lock;
//! - no idempotency key runs in both processes;
//! - a process whose successor does not take over reclaims the lock, resumes service and drains.
//!
//! The state machine does no I/O and reads no clock: its driver reports each event to [`Handover::on_event`]
//! and carries out the [`Action`]s that this returns. The driver is `node::event_loop::handover`. It handles
//! two cases itself. It closes the link of a second successor without reporting it. The driver also knows
//! from a predecessor's `Hello` message whether that process is already draining; such a predecessor hands
//! over nothing but its idempotency keys, and the successor serves once the predecessor has exited.
//!
//! | role | event | actions | next role |
//! | --- | --- | --- | --- |
//! | any except `Alone` | `Linked` (not reported by the driver, which refuses the link) | `RefuseLink` | the same |
//! | `Alone` | `Linked` | `Replicate` | `Predecessor` |
//! | `Alone` | `Terminate` | `Drain` | `Alone` |
//! | `Predecessor` | `Unlinked` | `StopReplicating` | `Alone` |
//! | `Predecessor` | `Terminate` | `HandOver` | `HandingOver` |
//! | `HandingOver` | `TakenOver` | `Retire` | `Retired` |
//! | `HandingOver` | `Tick`, once 1 s has passed | `AcquireLock` | `HandingOver` |
//! | `HandingOver` | `LockUnavailable` | | `HandingOver`, for another 1 s |
//! | `HandingOver` | `Unlinked` | `AcquireLock` | `SuccessorLost` |
//! | `SuccessorLost` | `TakenOver` | `Retire` | `Retired` |
//! | `SuccessorLost` | `Unlinked`, or `Tick` every 5 ms | `AcquireLock` | `SuccessorLost` |
//! | `SuccessorLost` | `LockUnavailable`, less than 2 s after `since` | | `SuccessorLost` |
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
//! | `PredecessorLost` | `Tick`, every 5 ms | `AcquireLock` | `PredecessorLost` |
//! | `PredecessorLost` | `LockUnavailable`, 1 s after the link was lost or later | `SearchAgain` | `Successor`, without keys |
//!
//! An event that has no row for a role does not change the role and causes no action.

use crate::time::{Micros, Timestamp};

/// How long a successor has for taking over after the whole state was sent to it. The successor only has to
/// acquire a free lock and confirm; until it does, neither process serves and callers wait.
const TAKEOVER_TIMEOUT: Micros = Micros::millis(1_000);

/// How long the lock may remain held after the link to the process that holds it broke: the operating system
/// closes the descriptors of a dying process one by one. If the lock is still held after this time, that
/// process is alive, or a third process holds the lock.
const LOCK_RELEASE_GRACE: Micros = Micros::millis(1_000);

/// The time between two attempts to acquire the lock. It is short because no process serves in the meantime.
const LOCK_RETRY_INTERVAL: Micros = Micros::millis(5);

/// The role of a process among the processes of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// This process is active, and no successor is linked to it.
    Alone,
    /// This process is active, and a successor is linked to it, to which it replicates its idempotency keys.
    Predecessor,
    /// This process has sent its whole state and released the lock. The successor is linked and has not
    /// confirmed that it took over.
    HandingOver {
        /// When the state was sent, or when this process last found that the lock is held by another process,
        /// whichever is later.
        since: Timestamp,
    },
    /// This process has sent its whole state, released the lock and then lost the link to the successor. The
    /// successor may have taken over, or died.
    SuccessorLost {
        /// When the state was sent, or when this process last found, before the link was lost, that another
        /// process holds the lock, whichever is later.
        since: Timestamp,
        /// When this process last tried to acquire the lock.
        last_attempt: Timestamp,
    },
    /// This process has reclaimed the lock and still has to read the messages that the successor sent before.
    Reclaimed,
    /// Another process has taken over from this one; only outbound calls that this process made continue
    /// here.
    Retired,
    /// Another process is active; this one receives its idempotency keys and waits for its state.
    Successor {
        /// Whether all idempotency keys of the predecessor have arrived.
        keys_complete: bool,
    },
    /// This process has received the predecessor's whole state and tries to acquire the lock.
    TakingOver,
    /// The link to the predecessor was lost before its whole state arrived; the predecessor may still hold
    /// the lock.
    PredecessorLost {
        /// When the link was lost.
        since: Timestamp,
        /// Whether all idempotency keys of the predecessor had arrived.
        keys_complete: bool,
        /// When this process last tried to acquire the lock.
        last_attempt: Timestamp,
    },
}

/// An event that the driver reports to the state machine of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Another process has connected to this one as its successor.
    Linked,
    /// The link to the other process is lost.
    Unlinked,
    /// The data from the predecessor cannot be decoded: the predecessor has another version, or the data are
    /// damaged.
    Unreadable,
    /// The successor confirms that it took over.
    TakenOver,
    /// The predecessor states that it has sent all its idempotency keys.
    KeysComplete,
    /// The predecessor states that it has sent its whole state and released the lock.
    StateComplete,
    /// The process was asked to stop.
    Terminate,
    /// This process tried to acquire the lock and got it.
    LockAcquired,
    /// This process tried to acquire the lock, but another process holds it.
    LockUnavailable,
    /// This process acquired the lock, but the predecessor had reclaimed the lock after it sent its state, so
    /// that state is out of date.
    StateOutdated,
    /// All messages that the successor ever sent have been read.
    SuccessorRead,
    /// Time has passed; reported at the time that [`Handover::next_wakeup`] returns, or at any other time.
    Tick,
}

/// An action that the driver has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send all idempotency keys to the newly linked successor, and from then on send each change of a key
    /// before the command to the kernel that the change belongs to.
    Replicate,
    /// Close the link to the successor and stop replicating idempotency keys.
    StopReplicating,
    /// Close the link that was just made.
    RefuseLink,
    /// Stop all work, send the whole state to the successor, then release the lock.
    HandOver,
    /// Try to acquire the lock, and report the result as an event.
    AcquireLock,
    /// Add a generation mark to the lock, which marks the state that was sent as out of date. Then read all
    /// messages of the successor and report them.
    ReadSuccessor,
    /// Resume the work that was stopped by [`Action::HandOver`].
    ResumeService,
    /// Begin a drain, as this process is leaving service.
    Drain,
    /// Drop all state except outbound calls.
    Retire,
    /// Confirm to the predecessor that this process takes over, then continue from the predecessor's state.
    TakeOver,
    /// Begin to serve without the predecessor's state.
    Serve {
        /// Whether all idempotency keys of the predecessor have arrived. If not, keys may have run that are
        /// unknown to this process.
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
    /// Creates the state machine of a process that holds the lock.
    pub fn active() -> Self {
        Handover { role: Role::Alone }
    }

    /// Creates the state machine of a process that has found another, active process.
    pub fn successor() -> Self {
        Handover { role: Role::Successor { keys_complete: false } }
    }

    /// The present role of this process.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this process is the active one.
    pub fn is_active(&self) -> bool {
        matches!(self.role, Role::Alone | Role::Predecessor)
    }

    /// Whether this process waits to become the active one: its role is `Successor`, `TakingOver` or
    /// `PredecessorLost`.
    pub fn is_standby(&self) -> bool {
        matches!(self.role, Role::Successor { .. } | Role::TakingOver | Role::PredecessorLost { .. })
    }

    /// Whether another process has taken over from this one.
    pub fn is_retired(&self) -> bool {
        self.role == Role::Retired
    }

    /// The time at which [`Event::Tick`] has to be reported; `None` if no timeout is running.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        match self.role {
            Role::HandingOver { since } => Some(since.plus(TAKEOVER_TIMEOUT)),
            Role::SuccessorLost { last_attempt, .. } | Role::PredecessorLost { last_attempt, .. } => {
                Some(last_attempt.plus(LOCK_RETRY_INTERVAL))
            }
            _ => None,
        }
    }

    /// Handles `event`, which occurred at `now`. Returns the actions to carry out, in order.
    pub fn on_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        match self.role {
            Role::Alone => self.on_event_alone(event),
            // Only one other process can be linked at a time.
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
            // The successor holds the lock: either it will confirm, or its link is about to be lost.
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
            // The successor may have taken over, confirmed and died, with its confirmation still unread.
            Event::LockAcquired => self.enter(Role::Reclaimed, vec![Action::ReadSuccessor]),
            // The successor may be dying and still hold the lock for a moment. After this time a third
            // process holds it.
            Event::LockUnavailable if now.since(since) < TAKEOVER_TIMEOUT.plus(LOCK_RELEASE_GRACE) => vec![],
            Event::LockUnavailable => self.enter(Role::Retired, vec![Action::Retire, Action::Exit]),
            _ => vec![],
        }
    }

    fn on_event_reclaimed(&mut self, event: Event) -> Vec<Action> {
        match event {
            // The successor may have run requests that this process does not know.
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
            // Does not try to acquire the lock that the predecessor has released: the predecessor knows the
            // whole state and reclaims the lock.
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
            // The predecessor may have run requests after it reclaimed the lock, which this process does not
            // know.
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
            // The predecessor is alive; only the link to it was lost.
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
