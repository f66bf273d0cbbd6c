//! A thread that does the blocking work on a file, behind bounded queues.
//!
//! The event loop submits one batch at a time and continues. The thread executes the batch, puts the outcome
//! into a second queue and writes one byte to a socket that the loop's poller watches. Neither side ever
//! waits for the other: the queues hold more batches than can be in flight, and a batch that does not fit is
//! given back.

use crate::consensus_log::ConsensusLog;
use crate::row::{Batch, Outcome, Work};
use crate::sqlite::Sqlite;
use rtrb::{Consumer, Producer, PushError, RingBuffer};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::thread::{Builder, JoinHandle};

/// Capacity of each queue, in batches. The key table has one batch in flight at a time, and one more whose
/// outcome is ignored.
const QUEUE_BATCHES: usize = 4;
/// Stack size of the thread, in bytes: SQLite needs little, and the node's memory is bounded.
const STACK_BYTES: usize = 512 * 1024;

/// A store that a worker's thread works on.
pub trait Backend: Send + 'static {
    /// Does the work and returns its outcome; may block for any length of time.
    fn execute(&mut self, work: &Work) -> Outcome;
}

impl Backend for Sqlite {
    fn execute(&mut self, work: &Work) -> Outcome {
        Sqlite::execute(self, work)
    }
}

impl Backend for ConsensusLog {
    fn execute(&mut self, work: &Work) -> Outcome {
        ConsensusLog::execute(self, work)
    }
}

/// The event loop's handle to the thread.
#[derive(Debug)]
pub struct Worker {
    /// `None` once the worker is dropped: the queue is dropped before the thread is woken for the last time,
    /// so that the thread finds it abandoned.
    batches: Option<Producer<Batch>>,
    outcomes: Consumer<(u64, Outcome)>,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts the thread. It writes one byte to `wake`, without blocking, for each outcome.
    ///
    /// # Errors
    /// The system cannot start a thread, or `wake` cannot be made non-blocking. No batch can be done.
    pub fn start(backend: impl Backend, wake: UnixStream) -> io::Result<Self> {
        wake.set_nonblocking(true)?;
        let (batch_sender, batches) = RingBuffer::new(QUEUE_BATCHES);
        let (outcome_sender, outcomes) = RingBuffer::new(QUEUE_BATCHES);
        let run = move || run(backend, batches, outcome_sender, wake);
        let thread = Builder::new().name("record".into()).stack_size(STACK_BYTES).spawn(run)?;
        Ok(Worker { batches: Some(batch_sender), outcomes, thread })
    }

    /// Submits a batch to the thread; returns the batch if the queue has no room for it.
    ///
    /// # Errors
    /// The batch itself if the queue is full; none of it was done, and it can be submitted again once an
    /// outcome has been taken.
    pub fn submit(&mut self, batch: Batch) -> Result<(), Batch> {
        let Some(batches) = &mut self.batches else { return Err(batch) };
        let pushed = batches.push(batch).map_err(|PushError::Full(batch)| batch);
        self.thread.thread().unpark();
        pushed
    }

    /// Takes the next outcome and the number of its batch, if there is one.
    pub fn outcome(&mut self) -> Option<(u64, Outcome)> {
        self.outcomes.pop().ok()
    }

    /// Whether the thread has ended by itself, which a panic in the store's library can cause.
    pub fn is_dead(&self) -> bool {
        self.thread.is_finished()
    }
}

impl Drop for Worker {
    /// Lets the thread end without waiting for it, as the disk may block the thread.
    fn drop(&mut self) {
        self.batches = None;
        self.thread.thread().unpark();
    }
}

/// The thread's main function: executes batches until the event loop has dropped its handle and all submitted
/// batches are done.
fn run(
    mut backend: impl Backend,
    mut batches: Consumer<Batch>,
    mut outcomes: Producer<(u64, Outcome)>,
    mut wake: UnixStream,
) {
    loop {
        let Ok(batch) = batches.pop() else {
            if batches.is_abandoned() {
                return;
            }
            // A batch that is submitted between the check above and this call leaves a token that makes the
            // call return at once.
            std::thread::park();
            continue;
        };
        let outcome = backend.execute(&batch.work);
        // The queue of outcomes is as long as that of batches, so the push fails only if the event loop has
        // ended.
        let _ = outcomes.push((batch.number, outcome));
        // The write fails if the socket is full; then the bytes that the socket already holds wake the event
        // loop.
        let _ = wake.write(&[1]);
    }
}
