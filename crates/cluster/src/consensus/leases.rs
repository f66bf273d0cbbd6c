//! Connects the [`lease`] state machine with the consensus: passes it messages and log events, and sends its
//! messages to the other nodes.

use super::{Command, Consensus};
use crate::NodeId;
use crate::lease;
use crate::wire::{LeaseRequest, Payload};
use gaugestand_admission::time::Timestamp;

impl Consensus {
    pub(super) fn on_lease_event(
        &mut self,
        now: Timestamp,
        event: lease::Event,
        commands: &mut Vec<Command>,
    ) {
        let mut lease_commands = Vec::new();
        self.activation.on_event(now, event, &mut lease_commands);
        for command in lease_commands {
            match command {
                lease::Command::RequestLease { version, request_id } => {
                    let payload = Payload::LeaseRequest(LeaseRequest { version, request_id });
                    let send = |to: &NodeId| Command::Send { to: *to, payload: payload.clone() };
                    commands.extend(self.linked.iter().map(send));
                }
                lease::Command::GrantLease { to, request_id } => {
                    commands.push(Command::Send { to, payload: Payload::LeaseGrant(request_id) });
                }
            }
        }
    }
}
