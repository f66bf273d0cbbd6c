//! A thread that does a file's blocking work behind bounded queues.
//!
//! The event loop submits one batch at a time and goes on; the thread does it, puts the outcome into the other queue
//! and writes one byte to a socket that the loop's poller watches. Neither side ever waits for the other: the queues
//! hold more than can be in flight, and a batch that finds no room is given back.

use crate::consensus_log::ConsensusLog;
use crate::row::{Batch, Outcome, Work};
use crate::sqlite::Sqlite;
use rtrb::{Consumer, Producer, PushError, RingBuffer};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::thread::{Builder, JoinHandle};

/// Batches that may be in flight; the table has one at a time, and one more whose answer no longer counts.
const QUEUE_BATCHES: usize = 4;
/// Stack of the thread, in bytes: SQLite needs little, and the node's memory is bounded.
const STACK_BYTES: usize = 512 * 1024;

/// What does the work on the thread.
pub trait Backend: Send + 'static {
    /// Does it, however long that takes.
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

/// The event loop's side.
#[derive(Debug)]
pub struct Worker {
    /// Dropped before the thread is woken for the last time, so that it finds the queue abandoned.
    batches: Option<Producer<Batch>>,
    outcomes: Consumer<(u64, Outcome)>,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts the thread. `wake` is written to, never blocking, when an outcome is there.
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

    /// Submits a batch; gives it back if there is no room.
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

    /// The next outcome with the number of its batch, if there is one.
    pub fn outcome(&mut self) -> Option<(u64, Outcome)> {
        self.outcomes.pop().ok()
    }

    /// Whether the thread has ended by itself: a panic of the store's library.
    pub fn is_dead(&self) -> bool {
        self.thread.is_finished()
    }
}

impl Drop for Worker {
    /// Lets the thread end; it is not waited for, as it may be held by the disk.
    fn drop(&mut self) {
        self.batches = None;
        self.thread.thread().unpark();
    }
}

/// The thread: does batches until the event loop has dropped its side and all that it submitted is done.
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
            // A batch that is submitted between the look and this leaves a token that ends the wait at once.
            std::thread::park();
            continue;
        };
        let outcome = backend.execute(&batch.work);
        // There is as much room for outcomes as for batches, so this only fails with the loop gone.
        let _ = outcomes.push((batch.number, outcome));
        // A full socket has been written to and not yet read: the loop is woken all the same.
        let _ = wake.write(&[1]);
    }
}
