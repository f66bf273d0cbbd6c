//! Model checks and unit tests of the hand-over state machine. Stateright explores the hand-over between two
//! processes in every order of messages, deaths, attempts and timeouts up to a bound.
//!
//! The model runs the real state machine. It models the service lock (released when its holder dies), the
//! link as two queues whose messages outlive the process that wrote them, and one idempotency key with each
//! process's knowledge of it.

use gaugestand_admission::handover::{Action, Event, Handover, Role};
use gaugestand_admission::time::{Micros, Timestamp};
use stateright::{Checker, Model, Property};
use std::collections::VecDeque;

const PREDECESSOR: usize = 0;
const SUCCESSOR: usize = 1;
/// The time that one step of the model's clock stands for.
const STEP: Micros = Micros::millis(700);
/// How many steps of the clock are explored: enough for each timeout to pass twice.
const MAX_STEPS: u8 = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Message {
    /// The idempotency key ran.
    Ran,
    KeysComplete,
    /// The whole state was sent; carries the number of generation marks on the lock.
    StateComplete(u8),
    TakenOver,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The state machine of each process; `None` after the process has died or exited.
    machines: [Option<Handover>; 2],
    lock_holder: Option<usize>,
    generation_marks: u8,
    /// The number of generation marks that the predecessor sent with its state.
    received_marks: u8,
    /// The messages on their way to each process, oldest first.
    inbox: [VecDeque<Message>; 2],
    /// Whether each process still has its end of the link.
    linked: [bool; 2],
    /// Whether each process knows that the key ran.
    knows_key: [bool; 2],
    /// Whether each process refuses first attempts, as it may not know all keys.
    refuses_keys: [bool; 2],
    keys_complete: bool,
    runs: u8,
    drained: bool,
    clock: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The predecessor sends the rest of its keys and states that they are complete.
    CompleteKeys,
    /// A process reads the next message.
    Receive(usize),
    /// A process detects that the link is closed, after it has read everything that was written to the link.
    DetectClosedLink(usize),
    Terminate,
    Kill(usize),
    /// An attempt with the idempotency key reaches a process.
    Attempt(usize),
    /// All unread messages of the predecessor are damaged on the way.
    Damage,
    /// The successor, which has no link, searches for the predecessor and finds none.
    FindNoPredecessor,
    /// Time passes, and each process checks its timeouts.
    Tick,
}

struct TwoProcesses {
    /// Injects a defect: keys are replicated after the command that runs them.
    replicates_late: bool,
}

impl State {
    fn deliver(&mut self, process: usize, event: Event) {
        let now = Timestamp(u64::from(self.clock) * STEP.0);
        let Some(machine) = &mut self.machines[process] else { return };
        for action in machine.on_event(now, event) {
            self.execute(process, action);
        }
    }

    fn execute(&mut self, process: usize, action: Action) {
        let other = 1 - process;
        match action {
            Action::HandOver => {
                if self.knows_key[process] && !self.keys_complete {
                    self.inbox[other].push_back(Message::Ran);
                }
                self.inbox[other].push_back(Message::StateComplete(self.generation_marks));
                self.lock_holder = None;
            }
            Action::AcquireLock => self.acquire_lock(process),
            Action::ReadSuccessor => {
                self.generation_marks += 1;
                while let Some(message) = self.inbox[process].pop_front() {
                    if message == Message::TakenOver {
                        self.deliver(process, Event::TakenOver);
                    }
                }
                self.deliver(process, Event::SuccessorRead);
            }
            Action::TakeOver => self.inbox[other].push_back(Message::TakenOver),
            Action::Serve { keys_complete } => self.refuses_keys[process] = !keys_complete,
            Action::SearchAgain => {
                self.knows_key[process] = false;
                self.linked[process] = false;
            }
            Action::Drain => self.drained = true,
            Action::Retire if self.lock_holder == Some(process) => self.lock_holder = None,
            Action::Exit => self.die(process),
            _ => {}
        }
    }

    fn acquire_lock(&mut self, process: usize) {
        if self.lock_holder.is_some_and(|holder| holder != process) {
            return self.deliver(process, Event::LockUnavailable);
        }
        self.lock_holder = Some(process);
        let is_state_outdated =
            self.has_role(process, Role::TakingOver) && self.received_marks != self.generation_marks;
        self.deliver(process, if is_state_outdated { Event::StateOutdated } else { Event::LockAcquired });
    }

    fn die(&mut self, process: usize) {
        self.machines[process] = None;
        self.linked[process] = false;
        if self.lock_holder == Some(process) {
            self.lock_holder = None;
        }
    }

    fn has_role(&self, process: usize, role: Role) -> bool {
        self.machines[process].is_some_and(|machine| machine.role() == role)
    }

    fn is_active(&self, process: usize) -> bool {
        self.machines[process].is_some_and(|machine| machine.is_active())
    }

    fn receive(&mut self, process: usize) -> Option<()> {
        match self.inbox[process].pop_front()? {
            Message::Ran => self.knows_key[process] = true,
            Message::KeysComplete => self.deliver(process, Event::KeysComplete),
            Message::StateComplete(marks) => {
                self.received_marks = marks;
                self.deliver(process, Event::StateComplete);
            }
            Message::TakenOver => self.deliver(process, Event::TakenOver),
        }
        Some(())
    }

    fn attempt(&mut self, process: usize, replicates_late: bool) {
        if self.knows_key[process] || self.refuses_keys[process] {
            return;
        }
        self.runs += 1;
        self.knows_key[process] = true;
        let replicates = process == PREDECESSOR && self.keys_complete && self.linked == [true, true];
        if replicates && !replicates_late {
            self.inbox[SUCCESSOR].push_back(Message::Ran);
        }
    }
}

impl Model for TwoProcesses {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut predecessor = Handover::active();
        predecessor.on_event(Timestamp(0), Event::Linked);
        vec![State {
            machines: [Some(predecessor), Some(Handover::successor())],
            lock_holder: Some(PREDECESSOR),
            generation_marks: 0,
            received_marks: 0,
            inbox: [VecDeque::new(), VecDeque::new()],
            linked: [true, true],
            knows_key: [false, false],
            refuses_keys: [false, false],
            keys_complete: false,
            runs: 0,
            drained: false,
            clock: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let predecessor = state.machines[PREDECESSOR].map(|machine| machine.role());
        if predecessor == Some(Role::Predecessor) && !state.keys_complete && state.linked == [true, true] {
            steps.push(Step::CompleteKeys);
        }
        for process in [PREDECESSOR, SUCCESSOR] {
            if state.machines[process].is_none() {
                continue;
            }
            if !state.inbox[process].is_empty() && state.linked[process] {
                steps.push(Step::Receive(process));
            }
            if state.inbox[process].is_empty() && state.linked[process] && !state.linked[1 - process] {
                steps.push(Step::DetectClosedLink(process));
            }
            steps.push(Step::Kill(process));
            if state.is_active(process) {
                steps.push(Step::Attempt(process));
            }
        }
        if predecessor == Some(Role::Predecessor) || predecessor == Some(Role::Alone) && !state.drained {
            steps.push(Step::Terminate);
        }
        let is_waiting_with_keys = state.has_role(SUCCESSOR, Role::Successor { keys_complete: true });
        if state.linked[SUCCESSOR] && is_waiting_with_keys && !state.inbox[SUCCESSOR].is_empty() {
            steps.push(Step::Damage);
        }
        let is_waiting_without_keys = state.has_role(SUCCESSOR, Role::Successor { keys_complete: false });
        if !state.linked[SUCCESSOR] && state.machines[PREDECESSOR].is_none() && is_waiting_without_keys {
            steps.push(Step::FindNoPredecessor);
        }
        if state.clock < MAX_STEPS {
            steps.push(Step::Tick);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::CompleteKeys => {
                if state.knows_key[PREDECESSOR] {
                    state.inbox[SUCCESSOR].push_back(Message::Ran);
                }
                state.inbox[SUCCESSOR].push_back(Message::KeysComplete);
                state.keys_complete = true;
            }
            Step::Receive(process) => state.receive(process)?,
            Step::DetectClosedLink(process) => {
                state.linked[process] = false;
                state.deliver(process, Event::Unlinked);
            }
            Step::Damage => {
                state.inbox[SUCCESSOR].clear();
                state.deliver(SUCCESSOR, Event::Unreadable);
            }
            Step::FindNoPredecessor => state.deliver(SUCCESSOR, Event::Unlinked),
            Step::Terminate => state.deliver(PREDECESSOR, Event::Terminate),
            Step::Kill(process) => state.die(process),
            Step::Attempt(process) => state.attempt(process, self.replicates_late),
            Step::Tick => {
                state.clock += 1;
                state.deliver(PREDECESSOR, Event::Tick);
                state.deliver(SUCCESSOR, Event::Tick);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one process is active, and it holds the lock", |_, state: &State| {
                [PREDECESSOR, SUCCESSOR]
                    .into_iter()
                    .all(|process| !state.is_active(process) || state.lock_holder == Some(process))
            }),
            Property::always("a key runs at most once", |_, state: &State| state.runs <= 1),
            Property::always("a process does not drain while its successor is active", |_, state: &State| {
                !(state.drained && state.is_active(SUCCESSOR) && state.machines[PREDECESSOR].is_some())
            }),
            Property::sometimes("the successor takes over", |_, state: &State| {
                state.has_role(SUCCESSOR, Role::Alone) && state.has_role(PREDECESSOR, Role::Retired)
            }),
            Property::sometimes(
                "the predecessor resumes service after its successor has died",
                |_, state: &State| {
                    state.has_role(PREDECESSOR, Role::Alone)
                        && state.drained
                        && state.machines[SUCCESSOR].is_none()
                },
            ),
            Property::sometimes(
                "the predecessor resumes service while its successor searches again",
                |_, state: &State| {
                    let is_searching = state.has_role(SUCCESSOR, Role::Successor { keys_complete: false });
                    state.has_role(PREDECESSOR, Role::Alone) && state.drained && is_searching
                },
            ),
            Property::sometimes("the successor serves after the predecessor has died", |_, state: &State| {
                state.has_role(SUCCESSOR, Role::Alone)
                    && state.machines[PREDECESSOR].is_none()
                    && state.runs == 1
                    && state.knows_key[SUCCESSOR]
            }),
        ]
    }
}

// An operator replaces the process, and at any moment either process dies or stalls, or its messages are
// damaged. Two active processes could run a request with an idempotency key twice.
#[test]
fn at_most_one_process_is_active_and_a_key_runs_at_most_once_in_every_order_of_events() {
    let checker = TwoProcesses { replicates_late: false }.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 300, "unique states: {}", checker.unique_state_count());
}

// Proves that the model check above can fail: with this defect a key runs in the predecessor, which dies, and
// again in the successor.
#[test]
fn the_model_check_finds_the_second_run_of_a_key_that_is_replicated_late() {
    let checker = TwoProcesses { replicates_late: true }.checker().spawn_bfs().join();
    assert!(checker.discovery("a key runs at most once").is_some());
}

fn ms(ms: u64) -> Timestamp {
    Timestamp::millis(ms)
}

// The successor stalls after the state was sent. The predecessor must not reclaim the lock while the
// successor may still act on the state, nor leave callers without an active process for longer than a second.
#[test]
fn a_predecessor_reclaims_the_lock_one_second_after_it_sent_its_state() {
    let mut machine = Handover::active();
    machine.on_event(ms(0), Event::Linked);
    assert_eq!(machine.on_event(ms(100), Event::Terminate), [Action::HandOver]);
    assert_eq!(machine.next_wakeup(), Some(ms(1_100)));
    assert_eq!(machine.on_event(ms(1_099), Event::Tick), []);
    assert_eq!(machine.on_event(ms(1_100), Event::Tick), [Action::AcquireLock]);
    // The successor holds the lock: it gets another second to confirm.
    assert_eq!(machine.on_event(ms(1_100), Event::LockUnavailable), []);
    assert_eq!(machine.next_wakeup(), Some(ms(2_100)));
    assert_eq!(machine.on_event(ms(2_100), Event::Tick), [Action::AcquireLock]);
    assert_eq!(machine.on_event(ms(2_100), Event::LockAcquired), [Action::ReadSuccessor]);
    let resumed = [Action::StopReplicating, Action::ResumeService, Action::Drain];
    assert_eq!(machine.on_event(ms(2_100), Event::SuccessorRead), resumed);
    assert!(machine.is_active());
}

// The successor dies while it holds the lock, which the operating system releases a moment later; or a third
// process has acquired the lock.
#[test]
fn a_predecessor_that_lost_its_successor_tries_the_lock_every_5_ms_until_2_s_after_it_sent_its_state() {
    let mut machine = Handover::active();
    machine.on_event(ms(0), Event::Linked);
    machine.on_event(ms(0), Event::Terminate);
    assert_eq!(machine.on_event(ms(500), Event::Unlinked), [Action::AcquireLock]);
    for now in (505..2_000).step_by(5) {
        assert_eq!(machine.on_event(ms(now - 1), Event::LockUnavailable), []);
        assert_eq!(machine.on_event(ms(now - 1), Event::Tick), [], "{now} ms");
        assert_eq!(machine.on_event(ms(now), Event::Tick), [Action::AcquireLock], "{now} ms");
    }
    assert_eq!(machine.on_event(ms(1_999), Event::LockUnavailable), []);
    assert_eq!(machine.on_event(ms(2_000), Event::LockUnavailable), [Action::Retire, Action::Exit]);
}

// The link breaks while the predecessor is alive; or the predecessor dies and its lock is released a moment
// later.
#[test]
fn a_successor_that_lost_its_predecessor_tries_the_lock_every_5_ms_for_1_s_and_then_searches_again() {
    for keys_complete in [false, true] {
        let lost = || {
            let mut machine = Handover::successor();
            if keys_complete {
                machine.on_event(ms(0), Event::KeysComplete);
            }
            assert_eq!(machine.on_event(ms(100), Event::Unlinked), [Action::AcquireLock]);
            machine
        };
        let mut machine = lost();
        for now in (105..1_100).step_by(5) {
            assert_eq!(machine.on_event(ms(now - 1), Event::LockUnavailable), []);
            assert_eq!(machine.on_event(ms(now - 1), Event::Tick), [], "{now} ms");
            assert_eq!(machine.on_event(ms(now), Event::Tick), [Action::AcquireLock], "{now} ms");
        }
        assert_eq!(machine.on_event(ms(1_099), Event::LockUnavailable), []);
        assert_eq!(machine.on_event(ms(1_100), Event::LockUnavailable), [Action::SearchAgain]);
        assert_eq!(machine.role(), Role::Successor { keys_complete: false });
        // If the lock is released in time, the successor serves with the keys that it has received.
        assert_eq!(lost().on_event(ms(200), Event::LockAcquired), [Action::Serve { keys_complete }]);
    }
}

// The predecessor reclaimed the lock, ran further requests and died before the successor acted on its state.
// The successor does not know what ran.
#[test]
fn a_successor_with_outdated_state_serves_without_it_as_one_that_may_lack_keys() {
    let mut machine = Handover::successor();
    machine.on_event(ms(0), Event::KeysComplete);
    assert_eq!(machine.on_event(ms(10), Event::StateComplete), [Action::AcquireLock]);
    let serve = [Action::Serve { keys_complete: false }];
    assert_eq!(machine.on_event(ms(10), Event::StateOutdated), serve);
    assert!(machine.is_active());
}

// A third process is started by mistake. Each role that is linked to another process must refuse the link and
// must not change.
#[test]
fn every_role_except_alone_refuses_a_link() {
    let mut predecessor = Handover::active();
    assert_eq!(predecessor.on_event(ms(0), Event::Linked), [Action::Replicate]);
    let mut handing_over = predecessor;
    handing_over.on_event(ms(0), Event::Terminate);
    let mut successor_lost = handing_over;
    successor_lost.on_event(ms(1), Event::Unlinked);
    let mut reclaimed = successor_lost;
    reclaimed.on_event(ms(1), Event::LockAcquired);
    let mut retired = handing_over;
    retired.on_event(ms(1), Event::TakenOver);
    let successor = Handover::successor();
    let mut taking_over = successor;
    taking_over.on_event(ms(1), Event::StateComplete);
    let mut predecessor_lost = successor;
    predecessor_lost.on_event(ms(1), Event::Unlinked);
    let roles = [
        predecessor,
        handing_over,
        successor_lost,
        reclaimed,
        retired,
        successor,
        taking_over,
        predecessor_lost,
    ];
    for mut machine in roles {
        let role = machine.role();
        assert_eq!(machine.on_event(ms(2), Event::Linked), [Action::RefuseLink], "role {role:?}");
        assert_eq!(machine.role(), role);
    }
}
