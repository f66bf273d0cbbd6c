//! What the node took in, sent and answered, counted since its start.
//!
//! Names as printed are the operators' and do not change; where the code's term is another one, the printed name stands behind
//! it.

use gaugestand_idempotency::TableMetrics;
use std::fmt;

/// The name that a counter is printed under.
macro_rules! printed_name {
    ($name:ident) => {
        stringify!($name)
    };
    ($name:ident, $printed:literal) => {
        $printed
    };
}

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident $(=> $printed:literal)?,)+) => {
        /// Counts since the start; printed on request and at the exit.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: u64,)+
        }

        impl fmt::Display for Counters {
            /// One line a counter, its name and its value.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}", printed_name!($name $(, $printed)?), self.$name)?;)+
                Ok(())
            }
        }
    };
}

impl Counters {
    /// Takes in the state of the idempotency table and its store.
    pub fn read_idempotency(&mut self, metrics: TableMetrics, circuit_open: bool) {
        self.idempotency_circuit_open = circuit_open.into();
        self.idempotency_entries = metrics.entries as u64;
        self.idempotency_bytes = metrics.bytes as u64;
        self.idempotency_writes_waiting = metrics.writes as u64;
        self.idempotency_removals_waiting = metrics.removals as u64;
        self.idempotency_commits = metrics.commits;
        self.idempotency_writes_committed = metrics.committed;
        self.idempotency_failures = metrics.failures;
        self.idempotency_circuit_openings = metrics.opened;
        self.idempotency_rejections = metrics.rejected;
        self.idempotency_in_doubt = metrics.in_doubt;
    }
}

counters! {
    /// Connections accepted.
    connections_accepted,
    /// Connections closed because they were idle.
    connections_idle_closed,
    /// Connections cut off because the other side did not read, or sent what has no framing.
    connections_cut,
    /// Connections ended as nothing complete came on them in time, or too many bad requests.
    connections_ended,
    /// Times that connections had to wait unaccepted for want of descriptors.
    accept_pauses,
    /// Requests read completely.
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
    /// Answers with the result of another attempt.
    answers_replayed,
    /// Rejections.
    answers_rejected => "answers_refused",
    /// Failures.
    answers_failed,
    /// Health checks answered good.
    checks_passed => "checks_good",
    /// Health checks answered bad.
    checks_failed => "checks_bad",
    /// Answers for which no connection was left.
    answers_unsent,
    /// Runs asked of the kernel.
    runs_sent,
    /// Preemptions asked of the kernel.
    preemptions_sent => "stops_sent",
    /// Gauges asked of the kernel.
    gauges_sent,
    /// Deep checks asked of the kernel.
    deep_checks_sent => "posts_sent",
    /// Notices read from the kernel.
    notices_read,
    /// Notices that came again and were passed over.
    notices_repeated,
    /// Commands that the kernel rejected.
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
    /// Requests that did not say how long their gateway waits, although the site's gateways do.
    caller_timeouts_missing => "patience_untold",
    /// Replies read from the store.
    replies_read,
    /// Replies to no call that is out on their connection: second copies, unknown ids, calls given up.
    replies_unexpected => "replies_unasked",
    /// Links to the store made.
    store_links,
    /// New configurations that took effect.
    reloads,
    /// New configurations that were rejected.
    reloads_failed,
    /// 1 while the circuit breaker of the idempotency store is open, else 0.
    idempotency_circuit_open => "record_open",
    /// Keys in the idempotency table now.
    idempotency_entries => "record_entries",
    /// Bytes that they take now.
    idempotency_bytes => "record_bytes",
    /// Writes to the idempotency store that wait or are out now.
    idempotency_writes_waiting => "record_waiting",
    /// Rows past their window that wait to be removed now.
    idempotency_removals_waiting => "record_removals",
    /// Batches that the idempotency store has made durable.
    idempotency_commits => "record_commits",
    /// Writes in them.
    idempotency_writes_committed => "record_committed",
    /// Batches that failed or proved nothing.
    idempotency_failures => "record_failures",
    /// Times that the circuit breaker of the idempotency store opened.
    idempotency_circuit_openings => "record_opened",
    /// First attempts of keyed requests rejected as the idempotency store could not take them.
    idempotency_rejections => "record_turned_away",
    /// Runs found at the start of which nobody knows how they ended.
    idempotency_in_doubt => "record_in_doubt",
    /// Connections to the idempotency store made.
    idempotency_links => "record_links",
    /// Messages of other nodes that were read.
    peer_messages => "fellow_messages",
    /// Messages of other nodes that ended their link: unreadable, too long, or not for this node.
    peer_messages_invalid => "fellow_unfit",
    /// Messages to other nodes that were dropped as they read too slowly.
    peer_messages_dropped => "fellow_dropped",
    /// Records of the consensus log that were made durable.
    consensus_log_records => "fleet_pages",
    /// Requests rejected as this node had no lease for the agreed version.
    rejected_without_lease => "fleet_unleased",
    /// Requests rejected by the cluster's lists.
    rejected_by_list => "fleet_barred",
    /// Lines of the log that nobody read in time.
    log_lines_dropped,
    /// Reports to the membership service.
    reports_sent,
}
