//! Counters of what the node has received, sent and answered since it started.
//!
//! Operators' programs read the printed names, so these don't change. Where the field has another name, the
//! printed name is given after `=>`.

use gaugestand_idempotency::TableMetrics;
use std::fmt;

/// Expands to the name under which a counter is printed: the field's name, unless a literal is given.
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
        /// The node's counters. They start at 0 with the process and are printed on SIGUSR1 and at the exit.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: u64,)+
        }

        impl fmt::Display for Counters {
            /// Writes one line for each counter: its printed name, a space and its value.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}", printed_name!($name $(, $printed)?), self.$name)?;)+
                Ok(())
            }
        }
    };
}

impl Counters {
    /// Copies the metrics of the idempotency table and the state of its store's circuit breaker into the
    /// counters. To be called before the counters are printed.
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
    /// Gateways' connections that were accepted.
    connections_accepted,
    /// Idle connections of gateways that were closed, at the idle timeout or to free a descriptor.
    connections_idle_closed,
    /// Gateways' connections that were closed without a lingering close because the gateway did not read its
    /// answers.
    connections_cut,
    /// Gateways' connections that were ended because no complete record or request arrived in time, or
    /// because too many requests were bad.
    connections_ended,
    /// Gateways' connections that the other side reset.
    connections_reset,
    /// Times that accepting was paused because no descriptor was free; new connections then wait in the
    /// system's queue.
    accept_pauses,
    /// Iterations of the event loop that accepted as many gateways' connections as one iteration may.
    accept_limits_reached,
    /// Attempts that were read completely and that the engine took; rejections before that and health checks
    /// are not counted.
    requests_read,
    /// Health checks that were read completely, shallow and deep ones.
    checks_read,
    /// Abort records of gateways for requests that were open.
    aborts_read,
    /// Requests that failed before they reached admission: a malformed field, an unknown path or class, their
    /// size, a conflict of their id or idempotency key, or records that did not arrive in time.
    requests_bad,
    /// Requests that were rejected because the memory for gateways' connections was used up; none of them
    /// ran.
    requests_over_memory,
    /// Bytes of memory that gateways' connections and open requests take now.
    connection_bytes,
    /// Most bytes of memory that gateways' connections and open requests were found to take since the start.
    connection_bytes_peak,
    /// Losses of the FastCGI framing on a connection: an invalid record, or one whose remaining bytes did not
    /// arrive in time. Nothing more is read from the connection.
    framing_lost,
    /// Answers (200) with the result of the attempt's own run.
    answers_served,
    /// Answers (200) with the result of another attempt with the same idempotency key.
    answers_replayed,
    /// Rejections (503): answers to requests that never ran.
    answers_rejected => "answers_refused",
    /// Failures (500): answers to attempts that may have run.
    answers_failed,
    /// Health checks answered with 200.
    checks_passed => "checks_good",
    /// Health checks answered with 503.
    checks_failed => "checks_bad",
    /// Answers that were discarded because the request's connection was closed or the request was no longer
    /// open.
    answers_unsent,
    /// Commands to the kernel to run an attempt.
    runs_sent,
    /// Commands to the kernel to preempt a run.
    preemptions_sent => "stops_sent",
    /// Commands to the kernel to report its gauges.
    gauges_sent,
    /// Commands to the kernel to do the work of a deep health check.
    deep_checks_sent => "posts_sent",
    /// Notices that were read from the kernel, including repeated and unreadable ones.
    notices_read,
    /// Notices that the kernel sent again after a reconnect and that were ignored.
    notices_repeated,
    /// Commands to the kernel that it rejected.
    commands_rejected,
    /// Lines of the kernel or the store that were malformed, too long, or not completed in time.
    lines_bad,
    /// Connections to the kernel that were established.
    kernel_links,
    /// Commands to the kernel that a broken link may have lost and that must not be repeated.
    commands_in_doubt,
    /// Runs that count as failed because it stayed unknown whether the kernel read a command for them.
    runs_lost,
    /// Replies to outbound calls that came when their run waited for no call of this node any more.
    replies_outdated,
    /// Outbound calls that were sent to the store.
    calls_sent,
    /// Outbound calls that were given up after they had been sent; the store is told to drop them.
    calls_dropped,
    /// Outbound calls that were skipped: the run continued without their result.
    calls_skipped,
    /// Requests that do not state the caller timeout, although the configuration says that the gateways state
    /// it.
    caller_timeouts_missing => "patience_untold",
    /// Replies that were read from the store.
    replies_read,
    /// Replies of the store that match no pending call of their connection: duplicates, unknown ids, and
    /// replies to calls that were given up.
    replies_unexpected => "replies_unasked",
    /// Connections to the store that were established.
    store_links,
    /// Reloads of the configuration that took effect.
    reloads,
    /// Reloads of the configuration that were rejected; the old configuration stayed in effect.
    reloads_failed,
    /// 1 while the circuit breaker of the idempotency store is open, else 0.
    idempotency_circuit_open => "record_open",
    /// Idempotency keys that are in the table now.
    idempotency_entries => "record_entries",
    /// Bytes of memory that the idempotency table's keys take now.
    idempotency_bytes => "record_bytes",
    /// Writes to the idempotency store that are queued or in flight now.
    idempotency_writes_waiting => "record_waiting",
    /// Rows of the idempotency store whose window has ended and that wait to be removed now.
    idempotency_removals_waiting => "record_removals",
    /// Batches of writes that the idempotency store has made durable.
    idempotency_commits => "record_commits",
    /// Writes in the batches that the idempotency store has made durable.
    idempotency_writes_committed => "record_committed",
    /// Batches for the idempotency store that failed or whose outcome is unknown.
    idempotency_failures => "record_failures",
    /// Times that the circuit breaker of the idempotency store opened.
    idempotency_circuit_openings => "record_opened",
    /// First attempts of requests with an idempotency key that were rejected because the table was full or
    /// the idempotency store could not take them.
    idempotency_rejections => "record_turned_away",
    /// Runs of an earlier process, found in the idempotency store at the start, whose outcome is unknown.
    idempotency_in_doubt => "record_in_doubt",
    /// Connections to the idempotency store (PostgreSQL) that were established.
    idempotency_links => "record_links",
    /// Messages of other nodes that were read and accepted.
    peer_messages => "fellow_messages",
    /// Messages of other nodes that were not accepted (unreadable, too long, or not for this node); each
    /// ended its connection.
    peer_messages_invalid => "fellow_unfit",
    /// Messages to other nodes that were dropped because too many bytes already waited for that node to read
    /// them.
    peer_messages_dropped => "fellow_dropped",
    /// Records of the consensus log that this node has made durable.
    consensus_log_records => "fleet_pages",
    /// Attempts rejected because this node held no lease for the active version of the cluster's settings.
    rejected_without_lease => "fleet_unleased",
    /// Attempts rejected by a list of the active version: a blocked subject, or a gateway over its limit.
    rejected_by_list => "fleet_barred",
    /// Log lines that were dropped because they were not read in time.
    log_lines_dropped,
    /// Reports that were sent to the membership service.
    reports_sent,
}
