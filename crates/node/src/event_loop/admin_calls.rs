//! Answers operators' calls at the second address.

use super::Node;
use crate::admin::{Call, Said};
use crate::io::{Ready, System};
use gaugestand_admission::idempotency::IdempotencyTable as _;

impl<S: System> Node<S> {
    pub(super) fn on_admin_caller_ready(&mut self, event: Ready) {
        if let Some((caller, input)) = self.admin.ready(event)
            && let Some(answer) = self.answer_admin_call(caller, input)
        {
            self.admin.answer(caller, answer);
        }
    }

    /// The answer to a caller, unless the cluster has to be asked first: then it comes later.
    fn answer_admin_call(&mut self, caller: usize, input: Said) -> Option<String> {
        Some(match input {
            Said::Whole(Call::Fleet(words)) => return self.tell_of_fleet(caller, &words),
            Said::Whole(Call::Ping) => match self.check_readiness() {
                Ok(()) => "done\n".into(),
                Err(why) => format!("error {why}\n"),
            },
            Said::Whole(Call::Info) => self.render_info(),
            Said::Wrong(why) => format!("error {why}\n"),
            Said::Part => "error no line\n".into(),
        })
    }

    fn render_info(&self) -> String {
        let others = [
            ("dispatches", self.counters.runs_sent),
            ("reload_success", self.counters.reloads),
            ("reload_failure", self.counters.reloads_failed),
        ];
        self.request_metrics.render(self.open_attempts(), &others) + "end\n"
    }

    /// Whether requests that arrive now are admitted by this process, or why not, in the operators' words.
    fn check_readiness(&mut self) -> Result<(), &'static str> {
        if self.handover.is_ready() {
            return Ok(());
        }
        let backend_up = self.engine.is_up();
        let conditions = [
            (!self.handover.machine.is_retired(), "another process has taken over"),
            (!self.handover.machine.is_heir(), "another process is the node, and its keys are not in place"),
            (self.stop_at.is_none(), "it leaves service"),
            (self.connections.address().is_some(), "it does not listen"),
            (backend_up, "its kernel is not up"),
            (self.engine.idempotency().is_ready(), "keys are not in place"),
            (self.knows_the_version(), "no majority has told it which version holds"),
        ];
        match conditions.into_iter().find(|(met, _)| !met) {
            Some((_, why)) => Err(why),
            None => Ok(()),
        }
    }
}
