//! The hand-over of service to and from other processes of this node: carries out what
//! [`gaugestand_admission::handover`] decides.
//!
//! - `discovery`: search for an active process at the start, and again when it was lost;
//! - `predecessor`: replication of keys to a successor, and handing over to it;
//! - `successor`: receiving a predecessor's state, and taking over from it;
//! - `remote_calls`: outbound calls that another process has made and still waits for;
//! - `inherited_kernels`: kernel links of earlier processes whose runs continue.

use super::*;
use crate::handover_link::{FinalState, Frame, FramedLink, FrontAttempt};
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

/// Replication of keys to a successor.
#[derive(Debug, Default)]
struct Replication {
    /// The successor was told that it knows all keys: from then on each change is sent before the command that it is about.
    keys_complete: bool,
    /// Since when the successor does not read what it is sent.
    stalled_since: Option<Timestamp>,
}

/// What a predecessor has sent of its state, until this process takes over or drops it.
#[derive(Debug, Default)]
struct ReceivedState {
    /// The predecessor's connections, by their ids there, with their ids here.
    connections: BTreeMap<ConnectionId, ConnectionId>,
    attempts: Vec<FrontAttempt>,
    final_state: Option<Box<FinalState>>,
}

/// The start of this process's own kernel, as it has reported it.
#[derive(Clone, Copy, Debug)]
struct BackendStart {
    cold: bool,
    age: Micros,
}

/// This process among those of its node.
#[derive(Debug)]
pub(super) struct HandoverState<S: System> {
    pub(super) machine: Handover,
    /// None where no other process can take over from this one.
    paths: Option<HandoverPaths>,
    lock: Option<S::ServiceLock>,
    /// Where a successor connects.
    listener: Option<S::HandoverListener>,
    successor_link: Option<FramedLink<S>>,
    replication: Replication,
    predecessor_link: Option<FramedLink<S>>,
    /// The predecessor's listening socket.
    inherited_listener: Option<S::Listener>,
    /// The predecessor drains: it sends nothing but keys, and this process serves once it has ended.
    predecessor_drains: bool,
    received: ReceivedState,
    /// Generation marks on the lock when the predecessor released it.
    predecessor_marks: u64,
    /// Outbound calls that an earlier process has made and still waits for.
    remote_calls: BTreeSet<RequestId>,
    /// Outcomes of outbound calls that no active process can be told of yet.
    deferred_outcomes: Vec<EndedCall>,
    pub(super) inherited_kernels: Vec<InheritedKernel<S>>,
    backend_start: Option<BackendStart>,
    next_search: Timestamp,
    /// The process is to end.
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

    /// The address that the predecessor listens at.
    pub(super) fn inherited_address(&self) -> Option<std::net::SocketAddr> {
        self.inherited_listener.as_ref().and_then(|listener| listener.address())
    }

    /// Notes what this process's own kernel says of its start; returns whether this process is not the active one, so that
    /// nobody else is to be told.
    pub(super) fn note_backend_start(&mut self, cold: bool, age: Micros) -> bool {
        self.backend_start = Some(BackendStart { cold, age });
        !self.machine.is_active()
    }

    /// When to look again although nothing happens.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        let search = Some(self.next_search).filter(|_| self.is_searching());
        let stalled = self.replication.stalled_since.map(|since| since.plus(predecessor::STALL_TIMEOUT));
        let expiry = self.inherited_kernels.iter().map(|inherited| inherited.expires_at).min();
        let kernels =
            self.inherited_kernels.iter().filter_map(|inherited| inherited.kernel.next_wakeup()).min();
        [search, stalled, expiry, kernels, self.machine.next_wakeup()].into_iter().flatten().min()
    }

    /// Tries to acquire the service lock, and returns the event that follows.
    fn acquire_lock(&mut self, system: &S) -> Event {
        let lock = self.paths.as_ref().map(|paths| system.try_service_lock(&paths.lock));
        self.lock = lock.and_then(Result::ok).flatten();
        let Some(lock) = &self.lock else { return Event::LockUnavailable };
        // Marks that cannot be read count as new ones: the state is rather lost than continued out of date.
        let marks = lock.generation_marks().unwrap_or(u64::MAX);
        match self.machine.role() {
            Role::TakingOver if marks > self.predecessor_marks => Event::StateOutdated,
            _ => Event::LockAcquired,
        }
    }
}

impl<S: System> Node<S> {
    /// Something happened among the processes of this node.
    pub(super) fn on_handover_event(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.handover.machine.on_event(now, event) {
            tracing::debug!(?event, step = ?action, "succession");
            match action {
                Action::Replicate => self.begin_replication(),
                Action::StopReplicating => self.stop_replication(),
                // Whoever accepted the link drops it.
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

    /// Handles what is due among processes.
    pub(super) fn tick_handover(&mut self) {
        if self.handover.paths.is_none() {
            return;
        }
        self.on_handover_event(Event::Tick);
        self.search();
        self.expire_inherited_kernels();
        if self.handover.machine.is_active() {
            let now = self.clock.now();
            for inherited in &mut self.handover.inherited_kernels {
                inherited.kernel.on_timer(now);
            }
            self.release_predecessor();
        }
    }

    /// Ends an iteration: writes what is queued for other processes.
    pub(super) fn flush_handover(&mut self) {
        self.flush_inherited_kernels();
        self.flush_predecessor_link();
        self.flush_successor_link();
        self.release_predecessor();
    }

    /// One iteration of a process that is not the active one. Returns when the next one is due.
    pub(super) fn run_inactive(&mut self) -> Timestamp {
        let now = self.clock.now();
        let mut kernel = None;
        if self.handover.machine.is_standby() {
            self.kernel.on_timer(now);
            self.kernel.flush(now);
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
