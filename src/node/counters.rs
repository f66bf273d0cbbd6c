//! What the node took in, sent and answered.

use std::fmt;
use std::io::{self, Write};

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// Counts since the start; printed on request and at the exit.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: u64,)+
        }

        impl fmt::Display for Counters {
            /// One line a counter, its name and its value.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}", stringify!($name), self.$name)?;)+
                Ok(())
            }
        }
    };
}

impl Counters {
    /// Writes all of them to standard error. Guards against a reader of it that has gone: what cannot be
    /// written is left out, where `eprint` would panic.
    pub fn print(&self) {
        let _ = io::stderr().write_all(self.to_string().as_bytes());
    }
}

counters! {
    /// Connections accepted.
    connections_accepted,
    /// Connections closed because they were idle.
    connections_idle_closed,
    /// Connections cut off because the other side did not read, or sent what has no framing.
    connections_cut,
    /// Connections ended as nothing whole came on them in time, or too many bad requests.
    connections_ended,
    /// Times that connections had to wait unaccepted for want of descriptors.
    accept_pauses,
    /// Requests read whole.
    requests_read,
    /// Health checks read.
    checks_read,
    /// Aborts for requests that were open.
    aborts_read,
    /// Requests failed for a malformed field, an unknown path or class, or their size.
    requests_bad,
    /// Records that broke the framing.
    framing_lost,
    /// Answers with the result of the request's own run.
    answers_served,
    /// Answers with the result of another try.
    answers_replayed,
    /// Refusals.
    answers_refused,
    /// Failures.
    answers_failed,
    /// Health checks answered good.
    checks_good,
    /// Health checks answered bad.
    checks_bad,
    /// Answers for which no connection was left.
    answers_unsent,
    /// Runs asked of the kernel.
    runs_sent,
    /// Stops asked of the kernel.
    stops_sent,
    /// Gauges asked of the kernel.
    gauges_sent,
    /// Deep checks asked of the kernel.
    posts_sent,
    /// Notices read from the kernel.
    notices_read,
    /// Notices that came again and were passed over.
    notices_repeated,
    /// Commands that the kernel turned down.
    commands_rejected,
    /// Lines of the kernel or the store that could not be read.
    lines_bad,
    /// Links to the kernel made.
    kernel_links,
    /// Calls sent to the store.
    calls_sent,
    /// Calls dropped.
    calls_dropped,
    /// Replies read from the store.
    replies_read,
    /// Replies to no call that is out on their connection: second copies, unknown ids, calls given up.
    replies_unasked,
    /// Links to the store made.
    store_links,
    /// New configurations that took effect.
    reloads,
    /// New configurations that were turned down.
    reloads_failed,
    /// Reports to the membership service.
    reports_sent,
}
