//! The hand-over of service to and from other processes of this node: feeds events to the state machine in
//! [`gaugestand_admission::handover`] and executes the actions that it returns.
//!
//! - `discovery`: search for the active process, at the start and again after the link to it was lost;
//! - `predecessor`: replication of keys to a successor, and sending the state to it;
//! - `successor`: receiving a predecessor's state, and taking over from the predecessor;
//! - `remote_calls`: outbound calls that one process has made and another one waits for;
//! - `inherited_kernels`: links to the kernels of earlier processes whose runs continue.

use super::*;
use crate::handover_link::{AttemptState, FinalState, Frame, FramedLink};
use crate::io::{Listener as _, ServiceLock as _};
use discovery::HandoverPaths;
use gaugestand_admission::handover::{Action, Event, Handover, Role};
use inherited_kernels::InheritedKernel;
use std::collections::BTreeSet;

mod discovery;
mod inherited_kernels;
mod predecessor;
mod remote_calls;
mod successor;

/// State of the replication of keys to a successor.
#[derive(Debug, Default)]
struct Replication {
    /// Whether all keys have been sent and the successor has been told so. From then on each change of a key
    /// is sent to the successor before the command that it concerns is sent to the kernel.
    keys_complete: bool,
    /// Time since which commands to the kernel wait because the successor does not read; none while no
    /// command waits.
    stalled_since: Option<Timestamp>,
}

/// The part of the predecessor's state that has been received, until this process takes over or drops that
/// state.
#[derive(Debug, Default)]
struct ReceivedState {
    /// Connections received from the predecessor. The key is a connection's id in the predecessor, the value
    /// its id in this process.
    connections: BTreeMap<ConnectionId, ConnectionId>,
    attempts: Vec<AttemptState>,
    final_state: Option<Box<FinalState>>,
}

/// The start of this process's own kernel, as the kernel has reported it.
#[derive(Clone, Copy, Debug)]
struct BackendStart {
    cold: bool,
    age: Micros,
}

/// State of the hand-over between this process and the other processes of its node.
#[derive(Debug)]
pub(super) struct HandoverState<S: System> {
    pub(super) machine: Handover,
    /// Paths of the hand-over socket and the service lock; none if no other process can take over from this
    /// one.
    paths: Option<HandoverPaths>,
    lock: Option<S::ServiceLock>,
    /// Listener that a successor connects to.
    listener: Option<S::HandoverListener>,
    successor_link: Option<FramedLink<S>>,
    replication: Replication,
    predecessor_link: Option<FramedLink<S>>,
    /// The listening socket for gateways, as received from the predecessor.
    inherited_listener: Option<S::Listener>,
    /// Whether the predecessor drains: it then sends only keys, and this process serves once the predecessor
    /// has exited.
    predecessor_drains: bool,
    received: ReceivedState,
    /// Number of generation marks on the service lock when the predecessor released the lock.
    predecessor_marks: u64,
    /// Attempts whose outbound calls were made by an earlier process and have not ended.
    remote_calls: BTreeSet<RequestId>,
    /// Outcomes of outbound calls, kept while it is undecided which process is active.
    deferred_outcomes: Vec<EndedCall>,
    pub(super) inherited_kernels: Vec<InheritedKernel<S>>,
    backend_start: Option<BackendStart>,
    next_search: Timestamp,
    /// While a termination signal waits until the kernel has read all commands: the time at which it takes
    /// effect at the latest.
    terminates_at: Option<Timestamp>,
    /// Whether the process is to exit.
    pub(super) exit: bool,
}

impl<S: System> HandoverState<S> {
    fn new(machine: Handover, paths: Option<HandoverPaths>) -> Self {
        HandoverState {
            machine,
            paths,
            lock: None,
            listener: None,
            successor_link: None,
            replication: Replication::default(),
            predecessor_link: None,
            inherited_listener: None,
            predecessor_drains: false,
            received: ReceivedState::default(),
            predecessor_marks: 0,
            remote_calls: BTreeSet::new(),
            deferred_outcomes: Vec::new(),
            inherited_kernels: Vec::new(),
            backend_start: None,
            next_search: Timestamp(0),
            terminates_at: None,
            exit: false,
        }
    }

    /// Whether this process can take over as soon as its predecessor is asked to stop.
    pub(super) fn is_ready_to_take_over(&self) -> bool {
        self.machine.role() == Role::Successor { keys_complete: true }
            && self.inherited_listener.is_some()
            && self.backend_start.is_some()
            && !self.predecessor_drains
    }

    /// The address of the listening socket that was received from the predecessor; none if there is no such
    /// socket.
    pub(super) fn inherited_address(&self) -> Option<std::net::SocketAddr> {
        self.inherited_listener.as_ref().and_then(|listener| listener.address())
    }

    /// Stores the start of this process's own kernel. Returns whether this process is not the active one: the
    /// engine is then not to be notified of the start.
    pub(super) fn note_backend_start(&mut self, cold: bool, age: Micros) -> bool {
        self.backend_start = Some(BackendStart { cold, age });
        !self.machine.is_active()
    }

    /// When the hand-over next has work that is due without an event; none if no such work is pending.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        let search = Some(self.next_search).filter(|_| self.is_searching());
        let stalled = self.replication.stalled_since.map(|since| since.plus(predecessor::STALL_TIMEOUT));
        let expiry = self.inherited_kernels.iter().map(|inherited| inherited.expires_at).min();
        let kernels =
            self.inherited_kernels.iter().filter_map(|inherited| inherited.kernel.next_wakeup()).min();
        [search, stalled, expiry, kernels, self.terminates_at, self.machine.next_wakeup()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Tries to acquire the service lock. Returns the outcome as an event for the state machine.
    fn acquire_lock(&mut self, system: &S) -> Event {
        let lock = self.paths.as_ref().map(|paths| system.try_service_lock(&paths.lock));
        self.lock = lock.and_then(Result::ok).flatten();
        let Some(lock) = &self.lock else { return Event::LockUnavailable };
        // Marks that cannot be read count as new ones: losing the state is better than continuing from state
        // that is out of date.
        let marks = lock.generation_marks().unwrap_or(u64::MAX);
        match self.machine.role() {
            Role::TakingOver if marks > self.predecessor_marks => Event::StateOutdated,
            _ => Event::LockAcquired,
        }
    }
}

impl<S: System> Node<S> {
    /// Passes an event to the hand-over state machine and executes the actions that it returns.
    pub(super) fn on_handover_event(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.handover.machine.on_event(now, event) {
            tracing::debug!(?event, step = ?action, "hand-over: an event led to a step of the state machine");
            match action {
                Action::Replicate => self.begin_replication(),
                Action::StopReplicating => self.stop_replication(),
                // `accept_successors`, which accepted the link, drops it.
                Action::RefuseLink => {}
                Action::HandOver => self.hand_over(),
                Action::AcquireLock => {
                    let outcome = self.handover.acquire_lock(&self.system);
                    self.on_handover_event(outcome);
                }
                Action::ReadSuccessor => self.read_successor(),
                Action::ResumeService => self.resume_service(),
                Action::Drain => self.begin_drain(),
                Action::Retire => self.retire(),
                Action::TakeOver => self.take_over(),
                Action::Serve { keys_complete } => self.serve_without_state(keys_complete),
                Action::SearchAgain => self.search_again(),
                Action::Exit => self.handover.exit = true,
            }
        }
    }

    /// Does the work of the hand-over that is due.
    pub(super) fn tick_handover(&mut self) {
        if self.handover.paths.is_none() {
            return;
        }
        self.on_handover_event(Event::Tick);
        self.terminate_if_settled();
        self.search_if_due();
        self.expire_inherited_kernels();
        if self.handover.machine.is_active() {
            let now = self.clock.now();
            for inherited in &mut self.handover.inherited_kernels {
                inherited.kernel.on_timer(now);
            }
            self.close_finished_predecessor_link();
        }
    }

    /// Writes what is queued for inherited kernels and for other processes, at the end of an iteration.
    pub(super) fn flush_handover(&mut self) {
        self.flush_inherited_kernels();
        self.flush_predecessor_link();
        self.flush_successor_link();
        self.close_finished_predecessor_link();
    }

    /// Does the work that is due in a process that is not the active one. Returns when the next iteration is
    /// due.
    pub(super) fn run_inactive(&mut self) -> Timestamp {
        let now = self.clock.now();
        let mut kernel = None;
        if self.handover.machine.is_standby() {
            self.kernel.on_timer(now);
            self.kernel.flush(now, &mut self.counters);
            kernel = self.kernel.next_wakeup();
        }
        self.admin.on_timer(now);
        let mut ended = self.store.on_timer(now, &mut self.counters);
        ended.extend(self.store.flush(now));
        self.on_calls_ended(ended);
        self.tick_handover();
        self.flush_handover();
        let handover = self.handover.next_wakeup();
        earliest_wakeup(
            now,
            [kernel, self.store.next_wakeup(), self.admin.next_wakeup(), handover, self.exit_deadline],
        )
    }
}
