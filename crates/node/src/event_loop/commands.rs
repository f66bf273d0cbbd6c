//! Passes events to the admission engine and executes the commands that the engine returns.

use super::Node;
use crate::io::System;
use crate::request_metrics::ReplyOutcome;
use crate::response::{Response, http_status};
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::{EngineCommand, EngineEvent};
use gaugestand_admission::time::Micros;
use std::mem;
use std::rc::Rc;

impl<S: System> Node<S> {
    /// Passes one event to the engine and executes the commands that the engine returns.
    pub(super) fn notify_engine(&mut self, event: EngineEvent) {
        let mut commands = Vec::new();
        self.engine.on_event(self.clock.moment(), event, &mut commands);
        self.execute_commands(commands);
    }

    /// Executes the engine's commands in the order in which the engine returned them.
    pub(super) fn execute_commands(&mut self, commands: Vec<EngineCommand>) {
        let empty_body: Rc<[u8]> = Rc::from([]);
        for command in commands {
            self.execute(command, &empty_body);
        }
    }

    fn execute(&mut self, command: EngineCommand, empty_body: &Rc<[u8]>) {
        match command {
            EngineCommand::Run(id) => self.start_run(id),
            EngineCommand::Preempt(id) => self.preempt_run(id),
            EngineCommand::Call(id, timeout) => self.start_call(id, timeout),
            EngineCommand::SkipCall(id) => self.skip_call(id),
            EngineCommand::DropCall(id) => self.drop_call(id),
            EngineCommand::Reject { id, retry_after, no_retry_elsewhere } => {
                self.record_end(id, ReplyOutcome::Overload);
                let status = http_status::SERVICE_UNAVAILABLE;
                let answered = self.answer(id, status, retry_after, no_retry_elsewhere, empty_body.clone());
                self.counters.answers_rejected += u64::from(answered);
            }
            EngineCommand::Fail { id, retry_after, no_retry_elsewhere } => {
                self.record_end(id, ReplyOutcome::Error);
                let status = http_status::INTERNAL_SERVER_ERROR;
                let answered = self.answer(id, status, retry_after, no_retry_elsewhere, empty_body.clone());
                self.counters.answers_failed += u64::from(answered);
            }
            EngineCommand::Serve(id, result) => {
                let answered = self.answer_with_result(id, result);
                self.counters.answers_served += u64::from(answered);
            }
            EngineCommand::Replay(id, result) => {
                let answered = self.answer_with_result(id, result);
                self.counters.answers_replayed += u64::from(answered);
            }
            EngineCommand::Forget(id) => self.forget_attempt(id),
            EngineCommand::ReadGauges => {
                self.kernel.request_gauges();
                self.counters.gauges_sent += 1;
            }
            EngineCommand::SetIdleTimeout(timeout) => self.connections.set_idle_timeout(timeout),
        }
    }

    fn start_run(&mut self, id: RequestId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            let body = mem::take(&mut attempt.body);
            let has_effect = self.engine.has_effect(attempt.class);
            self.kernel.run(id, self.class_slots.name(attempt.class), &body, has_effect);
            self.counters.runs_sent += 1;
        }
    }

    pub(super) fn preempt_run(&mut self, id: RequestId) {
        self.kernel_of(id).preempt(id);
        self.counters.preemptions_sent += 1;
    }

    fn start_call(&mut self, id: RequestId, timeout: Micros) {
        if let Some(attempt) = self.attempts.get(&id) {
            let body = attempt.call_body.clone();
            self.store.call(self.clock.now(), id, timeout, body, &mut self.counters);
        }
    }

    fn skip_call(&mut self, id: RequestId) {
        if let Some(notice) = self.attempts.get(&id).map(|attempt| attempt.call_notice) {
            self.kernel_of(id).skip_call(id, notice);
            self.counters.calls_skipped += 1;
        }
    }

    fn answer_with_result(&mut self, id: RequestId, result: Rc<[u8]>) -> bool {
        self.record_end(id, ReplyOutcome::Success);
        self.answer(id, http_status::OK, Micros(0), false, result)
    }

    fn forget_attempt(&mut self, id: RequestId) {
        self.attempts.remove(&id);
        self.store.forget(id);
        if let Some(peers) = &mut self.peers {
            peers.attempt_finished(id);
        }
    }

    /// Queues the answer to an attempt if the attempt's request is still open on its connection. Returns
    /// whether the answer was queued.
    fn answer(
        &mut self,
        id: RequestId,
        status: &str,
        retry_after: Micros,
        no_retry_elsewhere: bool,
        body: Rc<[u8]>,
    ) -> bool {
        let Some(attempt) = self.attempts.get(&id) else { return false };
        let request = attempt.request;
        let Some(open) = self.connections.take_request(request) else {
            self.counters.answers_unsent += 1;
            return false;
        };
        let capacity = self.engine.capacity();
        let response = Response { status, capacity, retry_after, no_retry_elsewhere, body };
        if let (true, Some(connection)) = (response.is_success(), self.connections.get(request.connection)) {
            connection.note_served();
        }
        self.respond(request, open.keeps_connection(), &response);
        true
    }
}
