//! Tests of the table in the documentation of the module, row by row.

use super::{Delivery, EVIDENCE_TIMEOUT, MAX_COMMAND_BYTES, UnconfirmedCommands};
use crate::kernel::protocol::Command;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, Timestamp};

const ID: RequestId = RequestId(1);
const OTHER_ID: RequestId = RequestId(2);
const TEXT: &str = "command";
/// Ticket of a question that is sent after the command.
const TICKET: u64 = 5;
const RECONNECTED: Timestamp = Timestamp(1_000_000);
/// Commands that have no effect if they are read twice.
const REPEATABLE: [Command; 3] = [Command::Run { has_effect: false }, Command::Preempt, Command::SkipCall];
/// Commands that must not be read twice.
const NOT_REPEATABLE: [Command; 2] = [Command::Run { has_effect: true }, Command::CompleteCall];

/// A command that was queued at position 100 of the link.
fn sent(command: Command) -> UnconfirmedCommands {
    let mut commands = UnconfirmedCommands::default();
    commands.push_sent(ID, command, TEXT.into(), 100, TICKET);
    commands
}

/// The texts that are sent after a reconnect.
fn resent(commands: &mut UnconfirmedCommands) -> Vec<String> {
    let mut texts = Vec::new();
    commands.resend(RECONNECTED, TICKET + 1, |text| {
        texts.push(text.to_string());
        0
    });
    texts
}

#[test]
fn a_command_of_which_no_byte_left_the_process_is_sent() {
    for command in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
        let mut written_before = sent(command);
        written_before.on_link_down(100);
        assert_eq!(resent(&mut written_before), [TEXT], "{command:?}");
        let mut without_link = UnconfirmedCommands::default();
        without_link.push_unsent(ID, command, TEXT.into());
        without_link.on_link_down(0);
        assert_eq!(resent(&mut without_link), [TEXT], "{command:?}");
    }
}

#[test]
fn a_command_that_a_notice_or_an_answer_confirms_is_dropped() {
    for command in REPEATABLE.into_iter().chain(NOT_REPEATABLE) {
        let mut noticed = sent(command);
        noticed.on_link_down(101);
        noticed.confirm_request(ID);
        assert!(resent(&mut noticed).is_empty(), "{command:?}");
        let mut answered = sent(command);
        answered.confirm_ticket(TICKET - 1);
        assert!(answered.has_sent(), "the question was sent before the command");
        answered.confirm_ticket(TICKET);
        assert!(!answered.has_sent(), "{command:?}");
    }
}

#[test]
fn a_command_without_a_second_effect_is_repeated() {
    for command in REPEATABLE {
        let mut commands = sent(command);
        commands.on_link_down(101);
        assert_eq!(resent(&mut commands), [TEXT], "{command:?}");
        assert_eq!(commands.next_expiry(), None);
    }
}

/// Guards against a run that starts twice, and a run that gets the reply to another call.
#[test]
fn a_command_with_a_second_effect_stays_in_doubt_until_a_notice_or_the_timeout() {
    let expiry = RECONNECTED.plus(EVIDENCE_TIMEOUT);
    let just_before = Timestamp(expiry.0 - 1);
    for command in NOT_REPEATABLE {
        let mut commands = sent(command);
        commands.on_link_down(101);
        assert!(resent(&mut commands).is_empty(), "{command:?}");
        assert_eq!(commands.next_expiry(), Some(expiry));
        // An answer on the new link says nothing about a command on the old one.
        commands.confirm_ticket(TICKET + 1);
        commands.confirm_request(OTHER_ID);
        assert!(commands.take_lost(just_before).is_empty());
        // A second break does not start the timeout anew.
        commands.on_link_down(0);
        assert!(resent(&mut commands).is_empty());
        assert_eq!(commands.take_lost(expiry), [ID]);
        assert!(commands.take_lost(expiry).is_empty());
        assert!(commands.texts().is_empty());
    }
}

#[test]
fn commands_of_an_earlier_process_are_in_doubt_unless_it_says_that_they_were_not_sent() {
    let mut commands = UnconfirmedCommands::default();
    commands.push_in_doubt(ID, Command::CompleteCall, "first".into());
    commands.push_unsent(OTHER_ID, Command::CompleteCall, "second".into());
    assert_eq!(commands.unsent_indices(0), [1]);
    assert_eq!(resent(&mut commands), ["second"]);
    assert_eq!(commands.commands[0].delivery, Delivery::InDoubt { since: Some(RECONNECTED) });
}

/// Guards against commands that fill the memory while the link is down.
#[test]
fn the_oldest_commands_beyond_the_maximum_size_count_as_lost() {
    let mut commands = UnconfirmedCommands::default();
    let text = "x".repeat(MAX_COMMAND_BYTES / 2);
    for number in 1..=3 {
        commands.push_unsent(RequestId(number), Command::Preempt, text.clone());
    }
    assert_eq!(commands.texts().len(), 2);
    assert_eq!(commands.take_lost(Timestamp(0).plus(Micros(1))), [RequestId(1)]);
}
