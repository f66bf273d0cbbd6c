//! Records of the log on their way to the disk: one at a time, in order, repeated until written.

use crate::io::Worker;
use gaugestand_admission::log_record::LogRecord;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_idempotency::row::{Batch, Outcome, Work};
use std::collections::VecDeque;

/// From a write that failed to the next attempt: a full disk is not helped by more.
const RETRY_DELAY: Micros = Micros::millis(200);

/// The worker that writes, and what waits for it.
#[derive(Debug)]
pub(super) struct LogWriter<W> {
    worker: W,
    /// Records by sequence number; the first of them may be in flight.
    queue: VecDeque<(u64, LogRecord)>,
    in_flight: bool,
    retry_at: Timestamp,
}

impl<W: Worker> LogWriter<W> {
    pub fn new(worker: W) -> Self {
        LogWriter { worker, queue: VecDeque::new(), in_flight: false, retry_at: Timestamp(0) }
    }

    pub fn enqueue(&mut self, sequence: u64, record: LogRecord) {
        self.queue.push_back((sequence, record));
    }

    /// How many records are not written yet.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Hands the first record to the worker, if it is idle.
    pub fn submit_next(&mut self, now: Timestamp) {
        if self.in_flight || now < self.retry_at {
            return;
        }
        if let Some((sequence, record)) = self.queue.front() {
            let batch = Batch { number: *sequence, work: Work::LogRecord(record.clone()) };
            self.in_flight = self.worker.submit(batch).is_ok();
        }
    }

    /// When the next record may be submitted, if one waits for that.
    pub fn next_attempt(&self) -> Option<Timestamp> {
        (!self.in_flight && !self.queue.is_empty()).then_some(self.retry_at)
    }

    /// The worker has reported through the poller.
    pub fn on_ready(&mut self) {
        self.worker.drain_wakeups();
    }

    /// The sequence number of the next record that has become durable.
    pub fn next_persisted(&mut self, now: Timestamp) -> Option<u64> {
        while let Some((sequence, outcome)) = self.worker.outcome() {
            if self.queue.front().is_none_or(|(first, _)| *first != sequence) {
                continue;
            }
            self.in_flight = false;
            match outcome {
                Outcome::Done => {
                    self.queue.pop_front();
                    return Some(sequence);
                }
                // Repeated in both cases: writing the same record again changes nothing.
                Outcome::NotDone(cause) | Outcome::Unknown(cause) => {
                    if self.retry_at <= now {
                        tracing::error!(%cause, "the agreed log cannot be written; this node takes no version until it can");
                    }
                    self.retry_at = now.plus(RETRY_DELAY);
                }
                Outcome::Rows(_) => {}
            }
        }
        None
    }
}
