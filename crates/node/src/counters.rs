//! What the node took in, sent and answered.

use gaugestand_idempotency::TableMetrics;
use std::fmt;

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
    /// Takes in how the store of record stands.
    pub fn record(&mut self, f: TableMetrics, open: bool) {
        self.record_open = open.into();
        self.record_entries = f.entries as u64;
        self.record_bytes = f.bytes as u64;
        self.record_waiting = f.writes as u64;
        self.record_removals = f.removals as u64;
        self.record_commits = f.commits;
        self.record_committed = f.committed;
        self.record_failures = f.failures;
        self.record_opened = f.opened;
        self.record_turned_away = f.rejected;
        self.record_in_doubt = f.in_doubt;
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
    /// Calls that a run went on without.
    calls_skipped,
    /// Requests that did not say how long their gateway waits, though the site's do.
    patience_untold,
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
    /// 1 while the store of record is given up for now, else 0.
    record_open,
    /// Keys that are remembered now.
    record_entries,
    /// Bytes that they take now.
    record_bytes,
    /// Writes to the store of record that wait or are out now.
    record_waiting,
    /// Rows past their window that wait to be removed now.
    record_removals,
    /// Batches that the store of record has made durable.
    record_commits,
    /// Writes in them.
    record_committed,
    /// Batches that failed or proved nothing.
    record_failures,
    /// Times that the store of record was given up for a while.
    record_opened,
    /// First tries of keyed requests refused as the store of record could not take them.
    record_turned_away,
    /// Runs found at the start of which nobody knows how they ended.
    record_in_doubt,
    /// Connections to the store of record made.
    record_links,
    /// Messages of the fleet that were read.
    fellow_messages,
    /// Messages of the fleet that ended their link: unreadable, too long, or not for this node.
    fellow_unfit,
    /// Messages of the fleet that a slow fellow had no room for.
    fellow_dropped,
    /// Pages of the agreed log that were made durable.
    fleet_pages,
    /// Requests refused as this node had no lease for what the fleet agreed on.
    fleet_unleased,
    /// Requests refused by the fleet's lists.
    fleet_barred,
    /// Lines of the log that nobody read in time.
    log_lines_dropped,
    /// Reports to the membership service.
    reports_sent,
}
