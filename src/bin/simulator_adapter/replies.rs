//! Formats the actions of the controllers as lines of the simulator's protocol.

use gaugestand_admission::{Action, RequestId, SettingsError};
use std::fmt::{self, Write};

/// Appends the line `broken`, which tells the simulator that no controller can be built from the worker's
/// settings.
pub fn write_broken(reply: &mut String, worker: u64, error: &SettingsError) {
    write_line(reply, format_args!("broken who={worker} message={error}"));
}

/// Appends the line `next`, which ends the reply to a batch.
pub fn write_next(reply: &mut String) {
    write_line(reply, format_args!("next"));
}

/// Appends the line for one action of a worker's controller.
pub fn write_action(reply: &mut String, worker: u64, action: &Action) {
    match action {
        Action::Run(id) => write_request_action(reply, worker, "process", *id),
        Action::Preempt(id) => write_request_action(reply, worker, "take_off", *id),
        Action::Reject { id, retry_after, no_retry_elsewhere } => {
            let (id, retry_after, give_up) = (Handle(*id), retry_after.0, u8::from(*no_retry_elsewhere));
            write_line(
                reply,
                format_args!(
                    "overload_reply who={worker} handle={id} stay-away={retry_after} give-up={give_up}"
                ),
            );
        }
        Action::Fail(id) => write_request_action(reply, worker, "finish_error", *id),
        Action::Coalesce(id) => write_request_action(reply, worker, "echo", *id),
        Action::Remember(id, retention) => {
            let (id, retention) = (Handle(*id), retention.0);
            write_line(reply, format_args!("keep who={worker} handle={id} hold-for={retention}"));
        }
        Action::Forget(id) => write_request_action(reply, worker, "forget", *id),
        Action::Call(id, deadline) => {
            let (id, deadline) = (Handle(*id), deadline.0);
            write_line(reply, format_args!("go_call who={worker} handle={id} not-past={deadline}"));
        }
        Action::SkipCall(id) => write_request_action(reply, worker, "go_on", *id),
        Action::AnnounceCapacity(capacity) => {
            write_line(reply, format_args!("announce who={worker} amount={capacity}"));
        }
        Action::Health { good, shallow } => {
            let (good, shallow) = (u8::from(*good), u8::from(*shallow));
            write_line(reply, format_args!("readiness who={worker} want={good} shallow={shallow}"));
        }
        Action::SetIdleTimeout(timeout) => {
            write_line(reply, format_args!("idle_limit who={worker} hold-for={}", timeout.0));
        }
        Action::SetTimer(timer, delay) => {
            write_line(reply, format_args!("after who={worker} name={timer} offset={}", delay.0));
        }
        Action::Log(text) => write_line(reply, format_args!("say_log who={worker} message={text}")),
    }
}

/// Appends a line whose only fields are the worker and the request.
fn write_request_action(reply: &mut String, worker: u64, name: &str, id: RequestId) {
    write_line(reply, format_args!("{name} who={worker} handle={}", Handle(id)));
}

fn write_line(reply: &mut String, line: fmt::Arguments) {
    // Writing to a String cannot fail.
    let _ = reply.write_fmt(line);
    reply.push('\n');
}

/// A request id in the form that the simulator's protocol uses: `8-4-4-4-12` lower-case hexadecimal digits.
struct Handle(RequestId);

impl fmt::Display for Handle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.0.0;
        let first = id >> 96;
        let second = (id >> 80) & 0xffff;
        let third = (id >> 64) & 0xffff;
        let fourth = (id >> 48) & 0xffff;
        let last = id & 0xffff_ffff_ffff;
        write!(formatter, "{first:08x}-{second:04x}-{third:04x}-{fourth:04x}-{last:012x}")
    }
}
