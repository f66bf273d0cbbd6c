//! Registration of descriptors with the poller: the one place with unsafe code.

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
    writing: bool,
    reading: bool,
}

impl<S: AsSource + AsRawFd> Watched<S> {
    /// Watches `source`, level-triggered, under `key`.
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
    pub fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()> {
        if (reading, writing) != (self.reading, self.writing) {
            let interest = Event::new(self.key, reading, writing);
            self.poller.modify_with_mode(&self.source, interest, PollMode::Level)?;
            (self.reading, self.writing) = (reading, writing);
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

/// Most events taken in one turn; what is left comes with the next, in the order of the system's list.
const MOST_EVENTS: usize = 256;

thread_local! {
    /// Room for what the system tells of in one turn.
    static EVENTS: RefCell<Vec<epoll::Event>> = RefCell::new(Vec::with_capacity(MOST_EVENTS));
}

/// Waits until something is ready, for this long at most; an interruption by a signal ends the wait with nothing.
///
/// The poller's own wait arms a timer descriptor, its interest, and that of a descriptor for notices to other threads,
/// anew each time: four calls that this loop has no use for, which it does without.
pub fn wait(poller: &Poller, most: Micros, ready: &mut Vec<Ready>) -> io::Result<()> {
    ready.clear();
    let timeout = Timespec { tv_sec: (most.0 / 1_000_000) as _, tv_nsec: (most.0 % 1_000_000 * 1_000) as _ };
    EVENTS.with_borrow_mut(|events| {
        events.clear();
        match epoll::wait(poller, rustix::buffer::spare_capacity(events), Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        ready.extend(events.iter().map(|e| {
            let flags = e.flags;
            // An error or the end of either direction shows in what comes of reading and of writing.
            let over = EventFlags::HUP | EventFlags::ERR;
            Ready {
                key: e.data.u64() as usize,
                readable: flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::PRI | over),
                writable: flags.intersects(EventFlags::OUT | over),
            }
        }));
        Ok(())
    })
}
