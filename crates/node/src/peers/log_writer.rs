//! Writes records of the consensus log to the disk: in order, one at a time, each repeated until it is
//! durable.

use crate::io::Worker;
use gaugestand_admission::log_record::LogRecord;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_idempotency::row::{Batch, Outcome, Work};
use std::collections::VecDeque;

/// Time from a failed write to the next attempt; more frequent attempts would not help on a full disk.
const RETRY_DELAY: Micros = Micros::millis(200);

/// The worker that writes the consensus log, and the records that wait for it.
#[derive(Debug)]
pub(super) struct LogWriter<W> {
    worker: W,
    /// Records that are not durable yet, each with its sequence number; the first may be in flight.
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

    /// The number of records that are not durable yet.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Submits the first record to the worker, unless one is in flight or the delay after a failed write has
    /// not passed.
    pub fn submit_next(&mut self, now: Timestamp) {
        if self.in_flight || now < self.retry_at {
            return;
        }
        if let Some((sequence, record)) = self.queue.front() {
            let batch = Batch { number: *sequence, work: Work::LogRecord(record.clone()) };
            self.in_flight = self.worker.submit(batch).is_ok();
        }
    }

    /// When the first record may be submitted; none if it is in flight or no record waits.
    pub fn next_attempt(&self) -> Option<Timestamp> {
        (!self.in_flight && !self.queue.is_empty()).then_some(self.retry_at)
    }

    /// Drains the worker's wake-up; called when the poller reports the worker.
    pub fn on_ready(&mut self) {
        self.worker.drain_wakeups();
    }

    /// The sequence number of the next record that has become durable; none if no further one has. A failed
    /// write is repeated after [`RETRY_DELAY`].
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
                // The write is repeated in both cases: writing the same record twice has the same result as
                // writing it once.
                Outcome::NotDone(cause) | Outcome::Unknown(cause) => {
                    if self.retry_at <= now {
                        tracing::error!(
                            %cause,
                            "consensus log: write failed, retrying; no version is accepted until it succeeds"
                        );
                    }
                    self.retry_at = now.plus(RETRY_DELAY);
                }
                Outcome::Rows(_) => {}
            }
        }
        None
    }
}
