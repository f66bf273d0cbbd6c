//! Registration of descriptors with the poller: the one place with unsafe code.
//!
//! A [`Watched`] descriptor is registered exactly as long as it is open, which is what the poller's safety asks for.

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
    /// Watches `source`, level-triggered, under `key`.
    ///
    /// # Errors
    /// The poller cannot watch the source, for example as a limit of the system is reached. The source is
    /// closed.
    #[allow(unsafe_code)]
    pub fn new(poller: &Rc<Poller>, source: S, key: usize, reading: bool, writing: bool) -> io::Result<Self> {
        let interest = Event::new(key, reading, writing);
        // SAFETY: the source must be deleted from the poller before it is closed. This value owns it, hands
        // out no way to take it, and deletes it when dropped, before the source itself is dropped.
        unsafe { poller.add_with_mode(&source, interest, PollMode::Level)? };
        Ok(Watched { source, poller: poller.clone(), key, reading, writing })
    }
}

impl<S: AsSource> Watched<S> {
    /// Changes what is watched for, if it differs.
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
        // It can only fail for a descriptor that is not watched, and this one is.
        let _ = self.poller.delete(&self.source);
    }
}

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Most events taken in one iteration; what is left comes with the next, in the order of the system's list.
const MAX_EVENTS: usize = 256;

thread_local! {
    /// Room for the events of one iteration, so that no wait allocates.
    static EVENTS: RefCell<Vec<epoll::Event>> = RefCell::new(Vec::with_capacity(MAX_EVENTS));
}

/// Waits until something is ready, for this long at most; an interruption by a signal ends the wait with nothing.
///
/// The poller's own wait arms a timer descriptor, its interest, and that of a descriptor for notices to other threads,
/// anew each time: four calls that this loop has no use for, which it does without.
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
            // An error, or the end of a direction, shows in the result of reading and of writing.
            let ended = EventFlags::HUP | EventFlags::ERR;
            Ready {
                key: event.data.u64() as usize,
                readable: flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::PRI | ended),
                writable: flags.intersects(EventFlags::OUT | ended),
            }
        }));
        Ok(())
    })
}
