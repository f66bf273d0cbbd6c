//! TCP sockets that a poller watches: connections and listeners, however they were made.
//!
//! The machine ([`super::real`]) makes them; the hand-over link ([`super::handover_socket`]) receives them from another
//! process. Both set them up here, so that a socket behaves alike in either case.

use super::poll::Watched;
use super::{Listener, Stream};
use polling::Poller;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Sets up a connection, watched for reading and, if asked for, writing.
pub(super) fn watch_stream(
    poller: &Rc<Poller>,
    stream: TcpStream,
    key: usize,
    writing: bool,
) -> io::Result<Watched<TcpStream>> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    Watched::new(poller, stream, key, true, writing)
}

/// A listening TCP socket.
#[derive(Debug)]
pub struct WatchedListener {
    listener: Watched<TcpListener>,
    poller: Rc<Poller>,
}

impl WatchedListener {
    /// Sets up a listener, watched if `reading`.
    pub(super) fn new(
        poller: &Rc<Poller>,
        listener: TcpListener,
        key: usize,
        reading: bool,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = Watched::new(poller, listener, key, reading, false)?;
        Ok(WatchedListener { listener, poller: poller.clone() })
    }

    /// The socket itself, to be passed to another process.
    pub(super) fn socket(&self) -> &TcpListener {
        &self.listener
    }
}

impl Listener for WatchedListener {
    type Stream = Watched<TcpStream>;

    fn accept(&self, key: usize) -> io::Result<Self::Stream> {
        let (stream, _) = self.listener.accept()?;
        // One that cannot be set up is dropped; the next may do better.
        watch_stream(&self.poller, stream, key, false).map_err(|_| io::ErrorKind::ConnectionAborted.into())
    }

    fn watch(&mut self, reading: bool) -> io::Result<()> {
        self.listener.watch(reading, false)
    }

    fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }
}

impl Stream for Watched<TcpStream> {
    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()> {
        Watched::watch(self, reading, writing)
    }

    fn is_connected(&self) -> bool {
        matches!(self.take_error(), Ok(None)) && self.peer_addr().is_ok()
    }

    fn has_unread(&self) -> bool {
        matches!(self.peek(&mut [0]), Ok(n) if n > 0)
    }

    fn shut_writing(&mut self) -> io::Result<()> {
        (**self).shutdown(Shutdown::Write)
    }
}

impl Read for Watched<TcpStream> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        (**self).read(buf)
    }
}

impl Write for Watched<TcpStream> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        (**self).write(buf)
    }

    fn write_vectored(&mut self, bufs: &[io::IoSlice<'_>]) -> io::Result<usize> {
        (**self).write_vectored(bufs)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
