//! Registration of descriptors with the poller, and the wait for their events. This is the only module with
//! unsafe code.
//!
//! A [`Watched`] descriptor is registered exactly as long as it is open, as the safety contract of the poller
//! requires.

use super::Ready;
use gaugestand_admission::time::Micros;
use polling::{AsSource, Event, PollMode, Poller};
use rustix::event::Timespec;
use rustix::event::epoll::{self, EventFlags};
use std::cell::RefCell;
use std::io;
use std::ops::{Deref, DerefMut};
use std::os::fd::AsRawFd;
use std::rc::Rc;

/// A descriptor that the poller watches for as long as this value lives.
#[derive(Debug)]
pub struct Watched<S: AsSource> {
    source: S,
    poller: Rc<Poller>,
    key: usize,
    reading: bool,
    writing: bool,
}

impl<S: AsSource + AsRawFd> Watched<S> {
    /// Registers `source` under `key`, level-triggered, for readiness to read if `reading` is true and for
    /// readiness to write if `writing` is true.
    ///
    /// # Errors
    /// The poller cannot watch the source, for example because a limit of the system is reached. The
    /// source is closed.
    #[allow(unsafe_code)]
    pub fn new(poller: &Rc<Poller>, source: S, key: usize, reading: bool, writing: bool) -> io::Result<Self> {
        let interest = Event::new(key, reading, writing);
        // SAFETY: the source must be deleted from the poller before it is closed. This value owns the source
        // and gives no access by which it could be moved out. When this value is dropped, it deletes the
        // source from the poller before the source itself is dropped.
        unsafe { poller.add_with_mode(&source, interest, PollMode::Level)? };
        Ok(Watched { source, poller: poller.clone(), key, reading, writing })
    }
}

impl<S: AsSource> Watched<S> {
    /// Sets whether the source is watched for reading and for writing. Makes no system call if nothing
    /// changes.
    ///
    /// # Errors
    /// The poller does not accept the change; the source is watched as before.
    pub fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()> {
        if (reading, writing) != (self.reading, self.writing) {
            let interest = Event::new(self.key, reading, writing);
            self.poller.modify_with_mode(&self.source, interest, PollMode::Level)?;
            self.reading = reading;
            self.writing = writing;
        }
        Ok(())
    }
}

impl<S: AsSource> Deref for Watched<S> {
    type Target = S;
    fn deref(&self) -> &S {
        &self.source
    }
}

impl<S: AsSource> DerefMut for Watched<S> {
    fn deref_mut(&mut self) -> &mut S {
        &mut self.source
    }
}

impl<S: AsSource> Drop for Watched<S> {
    fn drop(&mut self) {
        // Deletion can only fail for a descriptor that is not registered, and this one is.
        let _ = self.poller.delete(&self.source);
    }
}

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Maximum number of events taken in one iteration. The others are taken in the next iterations, in the order
/// of the operating system's list.
const MAX_EVENTS: usize = 256;

thread_local! {
    /// Buffer for the events of one iteration, so that a wait allocates no memory.
    static EVENTS: RefCell<Vec<epoll::Event>> = RefCell::new(Vec::with_capacity(MAX_EVENTS));
}

/// Waits until a source is ready, for `timeout` at most, and replaces the content of `ready` with the events.
/// A signal ends the wait early, without events.
///
/// This function replaces the poller's own wait, which on each call sets a timer descriptor, and registers
/// again its interest in that descriptor and in the one by which other threads notify the poller: four system
/// calls that the event loop does not need.
///
/// # Errors
/// The system's poller fails for a reason other than a signal; nothing is reported as ready.
pub fn wait(poller: &Poller, timeout: Micros, ready: &mut Vec<Ready>) -> io::Result<()> {
    ready.clear();
    let timeout = Timespec {
        tv_sec: (timeout.0 / MICROS_PER_SECOND) as _,
        tv_nsec: (timeout.0 % MICROS_PER_SECOND * NANOS_PER_MICRO) as _,
    };
    EVENTS.with_borrow_mut(|events| {
        events.clear();
        match epoll::wait(poller, rustix::buffer::spare_capacity(events), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        ready.extend(events.iter().map(|event| {
            let flags = event.flags;
            // A source with an error or a hang-up counts as readable and writable: the next read or write
            // reports it.
            let ended = EventFlags::HUP | EventFlags::ERR;
            Ready {
                key: event.data.u64() as usize,
                readable: flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::PRI | ended),
                writable: flags.intersects(EventFlags::OUT | ended),
                failed: flags.intersects(EventFlags::ERR),
            }
        }));
        Ok(())
    })
}
