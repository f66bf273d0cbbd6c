//! The commands that the kernel may not have read, and what is done with them after the link broke.
//!
//! | Command | What is known at the reconnect | What is done |
//! | --- | --- | --- |
//! | any | no byte of it was handed to the system | it is sent |
//! | any | a later notice about its request | it is dropped: the kernel has read it |
//! | any | an answer to a question that was sent after it | it is dropped: the kernel has read it |
//! | `PREEMPT`, `NOIO` | none of these | it is repeated: the second one has no effect |
//! | `SCHED` of a class without effects | none of these | it is repeated: a second run does no harm |
//! | other `SCHED` | none of these | in doubt: a second run would have its effect twice |
//! | `IODONE` | none of these | in doubt: the run may wait for its next call by now |
//!
//! A command in doubt is not repeated. Later notices may show that it was read; if none does within
//! [`EVIDENCE_TIMEOUT`], the run counts as lost.

use super::protocol::Command;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, Timestamp};
use std::collections::VecDeque;

/// Maximum number of commands that are kept. More are kept only if the link is down for long, and by then the
/// deadline of the oldest request has passed.
const MAX_COMMANDS: usize = 8192;
/// Maximum size of the commands that are kept, in bytes of text.
const MAX_COMMAND_BYTES: usize = 2 << 20;
/// Time after a reconnect within which a run shows that it goes on: a run takes milliseconds to its next call
/// or its end. It is short compared with the deadlines of requests.
const EVIDENCE_TIMEOUT: Micros = Micros::millis(1_000);

/// What is known of the way of a command to the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// No byte of the command was handed to the system.
    Unsent,
    /// The command was queued on the present link.
    Sent {
        /// Position of its first byte in the bytes queued on the link.
        position: u64,
        /// An answer to the question with this ticket, or with a higher one, shows that the kernel read it.
        confirming_ticket: u64,
    },
    /// The command was sent on an earlier link, and it is unknown whether the kernel read it.
    InDoubt {
        /// Time of the reconnect after which the command was not repeated; `None` before that.
        since: Option<Timestamp>,
    },
}

#[derive(Debug)]
struct UnconfirmedCommand {
    id: RequestId,
    command: Command,
    text: String,
    delivery: Delivery,
}

impl UnconfirmedCommand {
    /// Whether nothing of the command has left this process, given the number of bytes that the link has
    /// handed to the system.
    fn is_unsent(&self, written: u64) -> bool {
        match self.delivery {
            Delivery::Unsent => true,
            Delivery::Sent { position, .. } => position >= written,
            Delivery::InDoubt { .. } => false,
        }
    }

    fn expires_at(&self) -> Option<Timestamp> {
        match self.delivery {
            Delivery::InDoubt { since: Some(since) } => Some(since.plus(EVIDENCE_TIMEOUT)),
            _ => None,
        }
    }
}

/// The commands that the kernel may not have read, in the order in which they were given.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedCommands {
    commands: VecDeque<UnconfirmedCommand>,
    /// Size of the texts of all commands, in bytes.
    text_bytes: usize,
    /// Requests whose runs are lost because a command of theirs found no room; not reported yet.
    dropped: Vec<RequestId>,
}

impl UnconfirmedCommands {
    /// Adds a command that is queued on the link at `position`.
    pub(super) fn push_sent(
        &mut self,
        id: RequestId,
        command: Command,
        text: String,
        position: u64,
        confirming_ticket: u64,
    ) {
        self.push(id, command, text, Delivery::Sent { position, confirming_ticket });
    }

    /// Adds a command that waits for the link.
    pub(super) fn push_unsent(&mut self, id: RequestId, command: Command, text: String) {
        self.push(id, command, text, Delivery::Unsent);
    }

    /// Adds a command of an earlier process, of which it is unknown whether the kernel read it.
    pub(super) fn push_in_doubt(&mut self, id: RequestId, command: Command, text: String) {
        self.push(id, command, text, Delivery::InDoubt { since: None });
    }

    fn push(&mut self, id: RequestId, command: Command, text: String, delivery: Delivery) {
        self.text_bytes += text.len();
        self.commands.push_back(UnconfirmedCommand { id, command, text, delivery });
        while self.commands.len() > MAX_COMMANDS || self.text_bytes > MAX_COMMAND_BYTES {
            let Some(oldest) = self.commands.pop_front() else { return };
            self.text_bytes -= oldest.text.len();
            self.dropped.push(oldest.id);
        }
    }

    /// The requests and texts of all commands, in order.
    pub(super) fn texts(&self) -> Vec<(RequestId, String)> {
        self.commands.iter().map(|command| (command.id, command.text.clone())).collect()
    }

    /// Indices of the commands of which nothing has left this process.
    pub(super) fn unsent_indices(&self, written: u64) -> Vec<usize> {
        let commands = self.commands.iter().enumerate();
        commands.filter(|(_, command)| command.is_unsent(written)).map(|(index, _)| index).collect()
    }

    // ---- Evidence ------------------------------------------------------------------------------------

    /// Whether any command may be on its way to the kernel.
    pub(super) fn has_sent(&self) -> bool {
        self.commands.iter().any(|command| matches!(command.delivery, Delivery::Sent { .. }))
    }

    /// Drops the commands for a request: a notice shows that the kernel has read them.
    pub(super) fn confirm_request(&mut self, id: RequestId) {
        self.retain(|command| command.id != id);
    }

    /// Drops the commands that were sent on the present link before the question with this ticket, which the
    /// kernel has answered.
    pub(super) fn confirm_ticket(&mut self, ticket: u64) {
        self.retain(|command| {
            !matches!(command.delivery, Delivery::Sent { confirming_ticket, .. } if confirming_ticket <= ticket)
        });
    }

    fn retain(&mut self, keeps: impl Fn(&UnconfirmedCommand) -> bool) {
        let mut removed_bytes = 0;
        self.commands.retain(|command| {
            let keep = keeps(command);
            removed_bytes += if keep { 0 } else { command.text.len() };
            keep
        });
        self.text_bytes -= removed_bytes;
    }

    // ---- The link ------------------------------------------------------------------------------------

    /// Handles the end of the link, which had handed `written` bytes to the system.
    pub(super) fn on_link_down(&mut self, written: u64) {
        for command in &mut self.commands {
            if command.is_unsent(written) {
                command.delivery = Delivery::Unsent;
            } else if let Delivery::Sent { .. } = command.delivery {
                command.delivery = Delivery::InDoubt { since: None };
            }
        }
    }

    /// Sends the commands that may be sent once the notices that the kernel repeats after a reconnect were
    /// read. `send` queues a text on the link and returns its position. The others are in doubt from `now`
    /// on. Returns their number.
    pub(super) fn resend(
        &mut self,
        now: Timestamp,
        confirming_ticket: u64,
        mut send: impl FnMut(&str) -> u64,
    ) -> u64 {
        let mut in_doubt = 0;
        for command in &mut self.commands {
            let may_send = command.delivery == Delivery::Unsent || command.command.is_repeatable();
            if may_send {
                let position = send(&command.text);
                command.delivery = Delivery::Sent { position, confirming_ticket };
            } else if let Delivery::InDoubt { since } = &mut command.delivery {
                in_doubt += u64::from(since.is_none());
                since.get_or_insert(now);
            }
        }
        in_doubt
    }

    /// When [`UnconfirmedCommands::take_lost`] has something to return; `None` if no command is in doubt.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.commands.iter().filter_map(UnconfirmedCommand::expires_at).min()
    }

    /// Removes the commands that have been in doubt for [`EVIDENCE_TIMEOUT`]; returns the requests whose runs
    /// count as lost.
    pub(super) fn take_lost(&mut self, now: Timestamp) -> Vec<RequestId> {
        let mut lost = std::mem::take(&mut self.dropped);
        let expired = self.commands.iter().filter(|command| command.expires_at().is_some_and(|at| now >= at));
        lost.extend(expired.map(|command| command.id));
        lost.sort();
        lost.dedup();
        for id in &lost {
            self.confirm_request(*id);
        }
        lost
    }
}

#[cfg(test)]
mod tests;
