//! A thread that does a store's blocking work behind bounded queues.
//!
//! The loop hands over one batch at a time and goes on; the thread does it, puts the outcome into the other queue
//! and writes one byte to a socket that the loop's poller watches. Neither side ever waits for the other: the
//! queues hold more than can be out, and what has no room is a fault of ours that counts as unknown.

use crate::row::{Batch, Outcome, Work};
use rtrb::{Consumer, Producer, RingBuffer};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::thread::{Builder, JoinHandle};

/// Batches that may be out; the ledger has one out at a time, and one more whose answer no longer counts.
const ROOM: usize = 4;
/// Stack of the thread, in bytes: SQLite needs little, and memory is counted.
const STACK: usize = 512 * 1024;

/// What does the work on the thread.
pub trait Backend: Send + 'static {
    /// Does it, however long that takes.
    fn work(&mut self, work: &Work) -> Outcome;
}

impl Backend for crate::sqlite::Sqlite {
    fn work(&mut self, work: &Work) -> Outcome {
        crate::sqlite::Sqlite::work(self, work)
    }
}

/// The loop's side.
#[derive(Debug)]
pub struct Worker {
    /// Dropped before the thread is told, so that it finds the queue abandoned.
    batches: Option<Producer<Batch>>,
    outcomes: Consumer<(u64, Outcome)>,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts the thread. `wake` is written to, never blocking, when an outcome is there.
    pub fn start(mut backend: impl Backend, mut wake: UnixStream) -> io::Result<Self> {
        wake.set_nonblocking(true)?;
        let (batches, mut work) = RingBuffer::<Batch>::new(ROOM);
        let (mut results, outcomes) = RingBuffer::<(u64, Outcome)>::new(ROOM);
        let run = move || {
            loop {
                let Ok(batch) = work.pop() else {
                    // The loop is gone, and all that it handed over is done.
                    if work.is_abandoned() {
                        return;
                    }
                    // A hand-over between the look and this leaves a token that ends the wait at once.
                    std::thread::park();
                    continue;
                };
                let outcome = backend.work(&batch.work);
                // There is as much room for outcomes as for batches, so this only fails with the loop gone.
                let _ = results.push((batch.number, outcome));
                // A full socket has been written to and not yet read: the loop is woken all the same.
                let _ = wake.write(&[1]);
            }
        };
        let thread = Builder::new().name("record".into()).stack_size(STACK).spawn(run)?;
        Ok(Worker { batches: Some(batches), outcomes, thread })
    }

    /// Hands a batch over; gives it back if there is no room.
    pub fn submit(&mut self, batch: Batch) -> Result<(), Batch> {
        let Some(batches) = &mut self.batches else { return Err(batch) };
        let pushed = batches.push(batch).map_err(|rtrb::PushError::Full(batch)| batch);
        self.thread.thread().unpark();
        pushed
    }

    /// The next outcome, if there is one.
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
