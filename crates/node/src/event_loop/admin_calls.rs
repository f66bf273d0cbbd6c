//! Answers operators' calls at the second address.

use super::Node;
use crate::admin::{Call, CallerInput};
use crate::io::{Ready, System};
use gaugestand_admission::idempotency::IdempotencyTable as _;

/// Why this process does not admit the requests that arrive now. The text is part of the reply to a PING.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum NotReady {
    #[error("another process has taken over")]
    Retired,
    #[error("another process is the node, and its keys are not in place")]
    Standby,
    #[error("it leaves service")]
    Draining,
    #[error("it does not listen")]
    NotListening,
    #[error("its kernel is not up")]
    KernelDown,
    #[error("keys are not in place")]
    KeysMissing,
    #[error("no majority has told it which version holds")]
    VersionUnknown,
}

impl<S: System> Node<S> {
    pub(super) fn on_admin_caller_ready(&mut self, event: Ready) {
        if let Some((caller, input)) = self.admin.ready(event)
            && let Some(answer) = self.answer_admin_call(caller, input)
        {
            self.admin.answer(caller, answer);
        }
    }

    /// Returns the answer to a caller; none if the answer follows later, as the call needs other nodes of the
    /// cluster first, or if the caller has disconnected.
    fn answer_admin_call(&mut self, caller: usize, input: CallerInput) -> Option<String> {
        Some(match input {
            CallerInput::Call(Call::Cluster(words)) => return self.operator_call(caller, &words),
            CallerInput::Call(Call::Ping) => match self.check_readiness() {
                Ok(()) => "done\n".into(),
                Err(error) => format!("error {error}\n"),
            },
            CallerInput::Call(Call::Info) => self.render_info(),
            CallerInput::Invalid(error) => format!("error {error}\n"),
            CallerInput::Incomplete => "error no line\n".into(),
        })
    }

    fn render_info(&self) -> String {
        let counters = [
            ("dispatches", self.counters.runs_sent),
            ("reload_success", self.counters.reloads),
            ("reload_failure", self.counters.reloads_failed),
        ];
        self.request_metrics.render(self.open_attempts(), &counters) + "end\n"
    }

    /// Checks whether this process admits the requests that arrive now, or can take over from a predecessor
    /// as soon as the predecessor is asked to stop. The error is the first condition that is not met.
    fn check_readiness(&mut self) -> Result<(), NotReady> {
        if self.handover.is_ready_to_take_over() {
            return Ok(());
        }
        let backend_up = self.engine.is_started();
        let conditions = [
            (!self.handover.machine.is_retired(), NotReady::Retired),
            (!self.handover.machine.is_standby(), NotReady::Standby),
            (self.exit_deadline.is_none(), NotReady::Draining),
            (self.connections.address().is_some(), NotReady::NotListening),
            (backend_up, NotReady::KernelDown),
            (self.engine.idempotency().is_ready(), NotReady::KeysMissing),
            (self.knows_active_version(), NotReady::VersionUnknown),
        ];
        match conditions.into_iter().find(|(met, _)| !met) {
            Some((_, reason)) => Err(reason),
            None => Ok(()),
        }
    }
}
