//! Passes the kernel's notices about its state and its runs, and the outcomes of outbound calls, to the
//! engine.
//!
//! Runs that were taken over from an earlier process are reported by that process's kernel, on a link of its
//! own.

use super::Node;
use crate::io::link::Change;
use crate::io::{Ready, System};
use crate::kernel::{CommandKind, Kernel, Notice};
use crate::store::EndedCall;
use gaugestand_admission::RequestId;
use gaugestand_admission::engine::{EngineEvent, RunOutcome};
use gaugestand_admission::time::Micros;

impl<S: System> Node<S> {
    pub(super) fn on_kernel_ready(&mut self, event: Ready) {
        let now = self.clock.now();
        if let Some(change) = self.kernel.ready(now, event.readable, event.writable, &mut self.counters) {
            self.on_kernel_link_change(change);
        }
        while let Some(notice) = self.kernel.next(&mut self.counters) {
            match notice {
                Notice::Booted { cold, age } => self.on_kernel_started(cold, age),
                Notice::Gauges(_, values) => {
                    let gauges = self.kernel.gauges(&values);
                    self.notify_engine(EngineEvent::GaugesRead(gauges));
                }
                Notice::DeepCheckEnded(ticket, passed) => {
                    let requests = self.health_checks.on_result(now, ticket, passed);
                    self.end_deep_checks(requests, passed);
                }
                notice => self.on_run_notice(notice),
            }
        }
    }

    fn on_kernel_started(&mut self, cold: bool, age: Micros) {
        // In a standby process the engine is not active yet: the start of the kernel is stored until the
        // process takes over.
        if !self.handover.note_backend_start(cold, age) {
            self.notify_engine(EngineEvent::BackendStarted { cold, age });
        }
    }

    /// Handles readiness of the link to an earlier process's kernel. Only notices about runs are acted on.
    pub(super) fn on_inherited_kernel_ready(&mut self, event: Ready) {
        let now = self.clock.now();
        let Some(index) =
            self.handover.inherited_kernels.iter().position(|inherited| inherited.key == event.key)
        else {
            return;
        };
        let Some(inherited) = self.handover.inherited_kernels.get_mut(index) else { return };
        inherited.kernel.ready(now, event.readable, event.writable, &mut self.counters);
        while let Some(inherited) = self.handover.inherited_kernels.get_mut(index) {
            let Some(notice) = inherited.kernel.next(&mut self.counters) else { return };
            if let Notice::RunEnded(id, _) | Notice::CommandRejected(CommandKind::Run, Some(id)) = &notice {
                inherited.runs.remove(id);
            }
            self.on_run_notice(notice);
        }
    }

    fn on_run_notice(&mut self, notice: Notice) {
        match notice {
            Notice::RunEnded(id, outcome) => self.notify_engine(EngineEvent::RunEnded(id, outcome)),
            Notice::CallRequested { id, cursor, body } => self.on_call_requested(id, cursor, body),
            Notice::CommandRejected(CommandKind::Run, Some(id)) => self.on_run_rejected(id),
            Notice::CommandRejected(CommandKind::SkipCall, Some(id)) => {
                self.notify_engine(EngineEvent::CallNotSkippable(id));
            }
            _ => {}
        }
    }

    fn on_call_requested(&mut self, id: RequestId, cursor: u64, body: Vec<u8>) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.call_body = body;
            attempt.call_notice = cursor;
            self.notify_engine(EngineEvent::CallRequested(id));
        }
    }

    fn on_run_rejected(&mut self, id: RequestId) {
        // The kernel rejects a run only if the kernel cannot know the run's id. Such an id was made up by the
        // client, so the rejection counts as a bad request on the client's connection.
        if let Some(connection) = self.attempts.get(&id).map(|attempt| attempt.request.connection) {
            self.connections.note_bad_request(self.clock.now(), connection, false);
        }
        self.notify_engine(EngineEvent::RunEnded(id, RunOutcome::NeverRan));
    }

    /// The kernel that an attempt's run was started on, or will be started on: an inherited kernel, or this
    /// process's own.
    pub(super) fn kernel_of(&mut self, id: RequestId) -> &mut Kernel<S> {
        let inherited =
            self.handover.inherited_kernels.iter_mut().find(|inherited| inherited.runs.contains(&id));
        inherited.map_or(&mut self.kernel, |inherited| &mut inherited.kernel)
    }

    /// Fails the attempts of runs of which it stayed unknown whether the kernel read a command: to repeat the
    /// command could run the attempt twice, or give its run the reply to another call.
    pub(super) fn fail_lost_runs(&mut self) {
        let now = self.clock.now();
        let mut lost = self.kernel.take_lost_runs(now);
        for inherited in &mut self.handover.inherited_kernels {
            lost.extend(inherited.kernel.take_lost_runs(now));
        }
        for id in lost {
            self.fail_lost_run(id);
        }
    }

    fn fail_lost_run(&mut self, id: RequestId) {
        self.counters.runs_lost += 1;
        // The run may still work. The end of a run with an effect is left to the kernel.
        let class = self.attempts.get(&id).map(|attempt| attempt.class);
        if self.engine.can_preempt() && class.is_some_and(|class| !self.engine.has_effect(class)) {
            self.preempt_run(id);
        }
        self.handover.inherited_kernels.iter_mut().for_each(|inherited| {
            inherited.runs.remove(&id);
        });
        self.notify_engine(EngineEvent::RunEnded(id, RunOutcome::Failed));
    }

    pub(super) fn on_kernel_link_change(&mut self, change: Change) {
        if change == Change::Broken {
            self.notify_engine(EngineEvent::BackendLink(false));
        }
    }

    /// Handles the end of outbound calls: sends each reply to the kernel, so that the run continues, and
    /// passes the outcome to the engine. A process that is not active forwards the outcomes instead.
    pub(super) fn on_calls_ended(&mut self, calls: Vec<EndedCall>) {
        if !self.handover.machine.is_active() {
            return self.forward_call_outcomes(calls);
        }
        for call in calls {
            // The engine may have given up the call because of an earlier end in `calls`. Its run may then
            // wait for another call.
            let is_awaited = self.engine.awaits_call(call.id);
            self.counters.replies_outdated += u64::from(!is_awaited && call.reply.is_some());
            if let (true, Some(reply)) = (is_awaited, &call.reply) {
                self.kernel_of(call.id).complete_call(call.id, reply);
            }
            self.notify_engine(EngineEvent::CallEnded(call.id, call.outcome, call.latency));
        }
    }
}
