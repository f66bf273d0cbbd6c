//! Execution of the controller's actions: runs, outbound calls, idempotency keys and timers.

use super::attempts::RunState;
use super::{Engine, EngineCommand};
use crate::idempotency::{IdempotencyTable, JoinOutcome, RunPermit};
use crate::interface::{Action, Event, Outcome, RequestId};
use crate::time::{Micros, Moment, Timestamp};

/// How long an idempotency key is kept past the window of its class. Callers and other nodes measure the
/// window by their own clocks; the margin covers a small difference between those clocks and this machine's.
const WINDOW_MARGIN: Micros = Micros::millis(100);

impl<T: IdempotencyTable> Engine<T> {
    pub(super) fn execute(&mut self, now: Moment, actions: Vec<Action>, commands: &mut Vec<EngineCommand>) {
        for action in actions {
            match action {
                Action::Run(id) => self.start_run(now, id, commands),
                Action::Preempt(id) => self.preempt(now, id, commands),
                Action::Reject { id, retry_after, no_retry_elsewhere } => {
                    self.answer_rejection(now, id, retry_after.into(), no_retry_elsewhere, commands);
                }
                Action::Fail(id) => self.fail(now, id, commands),
                Action::SkipCall(id) => {
                    if let Some(attempt) = self.attempts.get_mut(id).filter(|attempt| attempt.is_running()) {
                        if std::mem::take(&mut attempt.awaiting_call) {
                            commands.push(EngineCommand::DropCall(id));
                        }
                        commands.push(EngineCommand::SkipCall(id));
                    }
                }
                Action::Coalesce(id) => self.coalesce(id, commands),
                Action::Remember(id, window) => self.reserve_key(id, now.plus(window.into()), commands),
                Action::Forget(id) => self.release_key(now, id, commands),
                Action::Call(id, until) => {
                    if let Some(attempt) = self.attempts.get_mut(id) {
                        attempt.awaiting_call = true;
                        commands.push(EngineCommand::Call(id, Timestamp::from(until).since(now.mono)));
                    }
                }
                Action::AnnounceCapacity(capacity) => self.capacity = Some(capacity),
                Action::Health { good, .. } => self.controller_healthy = good,
                Action::SetIdleTimeout(timeout) => {
                    commands.push(EngineCommand::SetIdleTimeout(timeout.into()));
                }
                Action::SetTimer(timer, delay) => {
                    self.timers.schedule(now.mono.plus(delay.into()), timer);
                }
                Action::Log(_) => {}
            }
        }
    }

    /// Starts the run of an attempt once the idempotency table permits it, so that no key runs twice within
    /// its window.
    ///
    /// The window counts from the ingress of the attempt that runs; repeats do not extend it.
    fn start_run(&mut self, now: Moment, id: RequestId, commands: &mut Vec<EngineCommand>) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        let permit = attempt.idempotency_key.as_ref().map_or(RunPermit::Granted, |key| {
            let window = self.settings.classes[attempt.class].dedup_window.into();
            let until = attempt.ingress.plus(window).plus(WINDOW_MARGIN);
            self.idempotency.begin_run(now, key, id, attempt.ingress, until)
        });
        match permit {
            RunPermit::Granted => {
                attempt.run = RunState::Running;
                commands.push(EngineCommand::Run(id));
            }
            RunPermit::Pending => attempt.run = RunState::AwaitingDurableIntent,
            // Guards against a second run of the key, whatever the controller has decided.
            RunPermit::Denied => {
                self.controller_events.push(Event::RunEnded(id, Outcome::NeverStarted));
                self.fail(now, id, commands);
            }
        }
    }

    /// Stops the run of an attempt. A run that still waits for its durable intent has not begun, so its
    /// intent is withdrawn instead.
    fn preempt(&mut self, now: Moment, id: RequestId, commands: &mut Vec<EngineCommand>) {
        let waiting = self.attempts.get_mut(id).filter(|attempt| attempt.is_awaiting_durable_intent());
        let Some(attempt) = waiting else {
            return commands.push(EngineCommand::Preempt(id));
        };
        attempt.abandon_intent();
        if let Some(key) = attempt.idempotency_key.clone() {
            let released = self.idempotency.release(now, &key, id);
            self.answer_waiters(released.waiters, None, commands);
        }
        self.controller_events.push(Event::RunEnded(id, Outcome::Cancelled));
        self.forget_if_finished(id, commands);
    }

    /// Answers a repeat with the result of the attempt that holds the repeat's idempotency key, or with a
    /// failure if that attempt has no result. The answer is given at once if the run of that attempt has
    /// ended, else when the run ends.
    fn coalesce(&mut self, id: RequestId, commands: &mut Vec<EngineCommand>) {
        let key = self.attempts.get(id).and_then(|attempt| attempt.idempotency_key.as_ref());
        match key.map_or(JoinOutcome::Failed, |key| self.idempotency.join(key, id)) {
            JoinOutcome::Pending => {}
            JoinOutcome::Replay(result) => self.answer_waiters(vec![id], Some(&result), commands),
            JoinOutcome::Failed => self.answer_waiters(vec![id], None, commands),
        }
    }

    /// Records the attempt as the holder of its idempotency key until `until`. Attempts that waited for the
    /// previous holder fail.
    fn reserve_key(&mut self, id: RequestId, until: Moment, commands: &mut Vec<EngineCommand>) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if let Some(key) = &attempt.idempotency_key {
            let waiters = self.idempotency.reserve(key, id, attempt.fingerprint, until);
            self.answer_waiters(waiters, None, commands);
        }
    }

    /// Frees the idempotency key of an attempt that did not run. A key whose run was started stays for its
    /// whole window: this method keeps the key while the run is pending or running, and the idempotency table
    /// ignores a release after that.
    fn release_key(&mut self, now: Moment, id: RequestId, commands: &mut Vec<EngineCommand>) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if attempt.is_running() || attempt.is_awaiting_durable_intent() {
            return;
        }
        let Some(key) = &attempt.idempotency_key else { return };
        let released = self.idempotency.release(now, key, id);
        self.answer_waiters(released.waiters, None, commands);
    }
}
