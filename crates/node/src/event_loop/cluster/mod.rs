//! The event loop's work for the cluster: readiness events of the links to other nodes and of the consensus
//! log, the active version of the settings, and rejection of requests under that version.
//!
//! - `class_load`: the current load of each class, for validations.
//! - `settings`: applying a version's settings, validation of proposed settings, and reload.
//! - `operator_calls`: calls of `gaugestand fleet` at the second address.

mod class_load;
mod operator_calls;
mod settings;

pub(super) use class_load::LoadSamples;
pub(super) use settings::ReadError;

use super::{CONSENSUS_LOG, FIRST_PEER, Node, PEER_LISTENER, Ready, System};
use crate::peers::{self, DueVersion, Task};
use crate::request::AttemptParams;
use crate::response::Response;
use gaugestand_admission::idempotency::IdempotencyTable as _;
use gaugestand_admission::time::Micros;
use gaugestand_cluster::consensus::Unacceptable;
use gaugestand_cluster::version_gate::GateDecision;

/// Whether a poller key belongs to the cluster: to the consensus log, to the listener for other nodes, or to
/// a connection with another node.
pub(super) fn is_key(key: usize) -> bool {
    key == CONSENSUS_LOG || (PEER_LISTENER..FIRST_PEER + peers::CONNECTION_KEYS).contains(&key)
}

impl<S: System> Node<S> {
    /// Whether this node knows which version is active, or belongs to no cluster.
    pub(super) fn knows_active_version(&self) -> bool {
        self.peers.as_ref().is_none_or(|peers| peers.is_ready())
    }

    /// Handles a readiness event of the consensus log, of the listener for other nodes, or of a connection
    /// with another node.
    pub(super) fn on_cluster_event(&mut self, event: Ready) {
        let now = self.clock.now();
        let Some(peers) = &mut self.peers else { return };
        match event.key {
            CONSENSUS_LOG => peers.on_log_written(now, &mut self.counters),
            PEER_LISTENER => peers.accept(now),
            _ => peers.on_ready(now, event, &mut self.counters),
        }
    }

    /// Does the cluster work that is due: messages, records of the consensus log, validations, and applying
    /// the active version.
    pub(super) fn run_cluster_tasks(&mut self) {
        let now = self.clock.now();
        let Some(peers) = self.peers.as_mut().filter(|peers| peers.is_due(now)) else { return };
        peers.on_timer(now);
        if let Some(DueVersion { version, content }) = peers.due_version(now) {
            let result = self.apply_version(content.as_deref());
            if let Some(peers) = &mut self.peers {
                peers.on_applied(version, result);
            }
        }
        while let Some(task) = self.peers.as_mut().and_then(|peers| peers.next_task(now, &mut self.counters))
        {
            match task {
                Task::Validate { validation, content, force } => {
                    let result = self.validate_content(&content, force);
                    let result = result.map_err(|error| Unacceptable(error.to_string()));
                    if let Some(peers) = &mut self.peers {
                        peers.on_validated(now, validation, result);
                    }
                }
                Task::Answer { ticket, result } => {
                    self.admin.answer_by_serial(ticket, operator_calls::proposal_answer(result));
                }
            }
        }
        self.sample_load(now);
    }

    /// The response that rejects an attempt; none if the attempt may go on to admission. An attempt is
    /// rejected because a list of the active version rejects it, or because this node holds no lease, so that
    /// a newer version, unknown to this node, may reject it. An attempt whose result this node has stored is
    /// not rejected: it gets that result, and does not run.
    pub(super) fn reject_by_version(&mut self, params: &AttemptParams) -> Option<Response<'static>> {
        let peers = self.peers.as_ref()?;
        // The clock is read again for each attempt: the process may have been suspended since this iteration
        // began.
        let moment = self.system.moment();
        let key = params.repeat_key.as_deref();
        let decision = peers.check_request(moment.mono, key.is_some(), params.resource_key, params.caller);
        let (no_retry_elsewhere, retry_after) = match decision {
            GateDecision::Pass => return None,
            GateDecision::Blocked => (true, Micros(0)),
            GateDecision::OverGatewayLimit | GateDecision::NoLease => (false, peers.retry_after()),
        };
        if key.is_some_and(|key| self.engine.idempotency().contains(key, moment)) {
            return None;
        }
        match decision {
            GateDecision::NoLease => self.counters.rejected_without_lease += 1,
            _ => self.counters.rejected_by_list += 1,
        }
        Some(Response::rejection(self.engine.capacity(), retry_after, no_retry_elsewhere))
    }
}
