//! Handling of ended runs, ended outbound calls and settlements of the idempotency table, and the answers
//! that follow from them.

use super::attempts::RunState;
use super::{CallOutcome, Engine, EngineCommand, RunOutcome};
use crate::idempotency::{Completion, IdempotencyTable, RunResult, Settlement};
use crate::interface::{Event, Outcome, RequestId};
use crate::time::{Micros, Moment};
use std::rc::Rc;

impl<T: IdempotencyTable> Engine<T> {
    /// Handles the end of a run. A second notice of the same end has no effect.
    pub(super) fn run_ended(
        &mut self,
        now: Moment,
        id: RequestId,
        end: RunOutcome,
        commands: &mut Vec<EngineCommand>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id).filter(|attempt| attempt.is_running()) else { return };
        attempt.run = RunState::Ended;
        if std::mem::take(&mut attempt.awaiting_call) {
            commands.push(EngineCommand::DropCall(id));
        }
        let key = attempt.idempotency_key.clone();
        let (outcome, result) = match end {
            RunOutcome::Succeeded(result) => (Outcome::Ok, RunResult::Succeeded(result)),
            RunOutcome::Failed => (Outcome::Error, RunResult::NoResult),
            RunOutcome::Cancelled => (Outcome::Cancelled, RunResult::NoResult),
            RunOutcome::NeverRan => (Outcome::NeverStarted, RunResult::NeverRan),
        };
        self.controller_events.push(Event::RunEnded(id, outcome));
        let completion = match (key, result) {
            (Some(key), result) => self.idempotency.complete_run(now, &key, id, result),
            (None, RunResult::Succeeded(result)) => Completion::Settled(Vec::new(), Some(result)),
            (None, RunResult::NoResult | RunResult::NeverRan) => Completion::Settled(Vec::new(), None),
        };
        match completion {
            Completion::Settled(waiters, result) => {
                self.answer_waiters(waiters, result.as_ref(), commands);
                self.answer_with_own_result(id, result, commands);
            }
            // The attempt is served when its result is durable, or fails at its due time.
            Completion::AwaitingDurable => {}
        }
        self.forget_if_finished(id, commands);
    }

    /// Handles the end of an outbound call, `latency` after it was made. The reply to a dropped call has no
    /// effect.
    pub(super) fn call_ended(&mut self, id: RequestId, end: CallOutcome, latency: Micros) {
        let Some(attempt) = self.attempts.get_mut(id).filter(|attempt| attempt.awaiting_call) else { return };
        attempt.awaiting_call = false;
        let outcome = match end {
            CallOutcome::Succeeded => Outcome::Ok,
            CallOutcome::Overloaded => Outcome::Overloaded,
            CallOutcome::Unreachable => Outcome::Unreachable,
            CallOutcome::Failed => Outcome::Error,
            CallOutcome::TimedOut => Outcome::TimedOut,
            CallOutcome::Broken => Outcome::Reset,
        };
        self.controller_events.push(Event::CallEnded(id, outcome, latency.span()));
    }

    /// Handles a caller that no longer waits: its attempt counts as answered.
    pub(super) fn caller_gone(&mut self, now: Moment, id: RequestId, commands: &mut Vec<EngineCommand>) {
        if self.attempts.mark_answered(id) {
            self.controller_events.push(Event::CallerGone(id));
            self.release_attempt(now, id, commands);
        }
    }

    /// Handles everything that the idempotency table has settled since the last call.
    pub(super) fn apply_settlements(&mut self, now: Moment, commands: &mut Vec<EngineCommand>) {
        let mut settlements = Vec::new();
        self.idempotency.drain_settled(now, &mut settlements);
        for settlement in settlements {
            match settlement {
                Settlement::IntentDurable(id) => self.intent_durable(id, commands),
                Settlement::IntentFailed(id, waiters, retry_after) => {
                    self.intent_failed(now, id, waiters, retry_after, commands);
                }
                Settlement::ResultDurable(id, waiters, result) => {
                    self.answer_with_own_result(id, Some(result.clone()), commands);
                    self.forget_if_finished(id, commands);
                    self.answer_waiters(waiters, Some(&result), commands);
                }
            }
        }
    }

    fn intent_durable(&mut self, id: RequestId, commands: &mut Vec<EngineCommand>) {
        let waiting = self.attempts.get_mut(id).filter(|attempt| attempt.is_awaiting_durable_intent());
        if let Some(attempt) = waiting {
            attempt.run = RunState::Running;
            commands.push(EngineCommand::Run(id));
        }
    }

    /// Rejects an attempt whose intent could not be recorded, and the repeats that waited for its result:
    /// none of them ever ran.
    fn intent_failed(
        &mut self,
        now: Moment,
        id: RequestId,
        waiters: Vec<RequestId>,
        retry_after: Micros,
        commands: &mut Vec<EngineCommand>,
    ) {
        let retry_after = retry_after.min(self.max_retry_after());
        for id in std::iter::once(id).chain(waiters) {
            let waited = self.attempts.get_mut(id).is_some_and(|attempt| attempt.abandon_intent());
            let outcome = if waited { Outcome::NeverStarted } else { Outcome::Error };
            self.controller_events.push(Event::RunEnded(id, outcome));
            self.answer_rejection(now, id, retry_after, false, commands);
        }
    }

    /// Rejects an attempt. A rejection states that the attempt never ran, so an attempt whose run was started
    /// gets a failure with the same retry-after instead.
    pub(super) fn answer_rejection(
        &mut self,
        now: Moment,
        id: RequestId,
        retry_after: Micros,
        no_retry_elsewhere: bool,
        commands: &mut Vec<EngineCommand>,
    ) {
        let was_started = self.attempts.get(id).is_some_and(|attempt| attempt.was_started());
        if self.attempts.mark_answered(id) {
            commands.push(match was_started {
                true => EngineCommand::Fail { id, retry_after, no_retry_elsewhere },
                false => EngineCommand::Reject { id, retry_after, no_retry_elsewhere },
            });
        }
        self.release_attempt(now, id, commands);
    }

    pub(super) fn fail(&mut self, now: Moment, id: RequestId, commands: &mut Vec<EngineCommand>) {
        if self.attempts.mark_answered(id) {
            commands.push(EngineCommand::fail(id));
        }
        self.release_attempt(now, id, commands);
    }

    /// Fails the attempts that are more than `OVERDUE_GRACE` past their due time. Guards against an attempt
    /// that the controller has lost.
    pub(super) fn fail_overdue(&mut self, now: Moment, commands: &mut Vec<EngineCommand>) {
        while let Some(id) = self.attempts.pop_overdue(now.mono, super::deadlines::OVERDUE_GRACE) {
            self.controller_events.push(Event::CallerGone(id));
            self.fail(now, id, commands);
        }
    }

    /// Answers the repeats that waited for the result of another attempt; without a result they fail.
    pub(super) fn answer_waiters(
        &mut self,
        waiters: Vec<RequestId>,
        result: Option<&Rc<[u8]>>,
        commands: &mut Vec<EngineCommand>,
    ) {
        for id in waiters {
            let outcome = if result.is_some() { Outcome::Ok } else { Outcome::Error };
            self.controller_events.push(Event::RunEnded(id, outcome));
            if self.attempts.mark_answered(id) {
                commands.push(match result {
                    Some(result) => EngineCommand::Replay(id, result.clone()),
                    None => EngineCommand::fail(id),
                });
            }
            self.forget_if_finished(id, commands);
        }
    }

    /// Answers an attempt with the result of its own run; without a result it fails.
    fn answer_with_own_result(
        &mut self,
        id: RequestId,
        result: Option<Rc<[u8]>>,
        commands: &mut Vec<EngineCommand>,
    ) {
        if self.attempts.mark_answered(id) {
            commands.push(match result {
                Some(result) => EngineCommand::Serve(id, result),
                None => EngineCommand::fail(id),
            });
        }
    }

    /// Frees the idempotency key of an attempt that was answered, unless its run continues. Repeats that
    /// waited for the attempt fail.
    fn release_attempt(&mut self, now: Moment, id: RequestId, commands: &mut Vec<EngineCommand>) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if let (Some(key), false) = (attempt.idempotency_key.clone(), attempt.is_running()) {
            let released = self.idempotency.release(now, &key, id);
            if attempt.abandon_intent() || released.intent_withdrawn {
                self.controller_events.push(Event::RunEnded(id, Outcome::NeverStarted));
            }
            self.answer_waiters(released.waiters, None, commands);
        }
        self.forget_if_finished(id, commands);
    }

    /// Forgets the attempt if it was answered and has no run that is pending or running.
    pub(super) fn forget_if_finished(&mut self, id: RequestId, commands: &mut Vec<EngineCommand>) {
        if self.attempts.remove_finished(id) {
            commands.push(EngineCommand::Forget(id));
        }
    }
}
