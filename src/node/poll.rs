//! Registration of descriptors with the poller: the one place with unsafe code.

use polling::{AsSource, Event, PollMode, Poller};
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
