//! TCP sockets that the poller watches: connections and listeners.
//!
//! A socket is made in this process ([`super::real`]) or received from another process over the hand-over
//! link ([`super::handover_socket`]). Both modules set sockets up through this one, so that all sockets
//! behave alike.

use super::poll::Watched;
use super::{Listener, Stream};
use polling::Poller;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Sets up a connection: makes it non-blocking, turns off Nagle's algorithm, and registers it under `key` for
/// reading and, if `writing`, for writing.
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

/// A listening TCP socket that the poller watches.
#[derive(Debug)]
pub struct WatchedListener {
    listener: Watched<TcpListener>,
    poller: Rc<Poller>,
}

impl WatchedListener {
    /// Makes a listener non-blocking and registers it under `key`; waiting connections are reported if
    /// `reading`.
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

    /// The listening socket, for passing it to another process.
    pub(super) fn socket(&self) -> &TcpListener {
        &self.listener
    }
}

impl Listener for WatchedListener {
    type Stream = Watched<TcpStream>;

    fn accept(&self, key: usize) -> io::Result<Self::Stream> {
        let (stream, _) = self.listener.accept()?;
        // A connection that cannot be set up is closed; the next one may succeed.
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
