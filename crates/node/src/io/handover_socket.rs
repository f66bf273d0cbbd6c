//! The hand-over between processes of one node on a real operating system: Unix sockets in a folder that the
//! processes share, descriptors that are passed along with bytes, and a locked file as the service lock.
//!
//! Sockets, files and processes that belong to another user are refused.

use super::poll::Watched;
use super::tcp::{self, WatchedListener};
use super::{HandoverLink, Listener, PassedSocket, ServiceLock};
use polling::Poller;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg, sockopt,
};
use rustix::process::geteuid;
use std::collections::VecDeque;
use std::fs::{self, File, TryLockError};
use std::io::{self, IoSlice, IoSliceMut, Write as _};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;

/// Maximum number of descriptors that one read can receive. A sender passes at most one with each message,
/// and one read may span several messages.
const MAX_DESCRIPTORS_PER_READ: usize = 4;
/// Value on x86-64 Linux of the `open` flag that refuses a symbolic link as the last part of the path.
const O_NOFOLLOW: i32 = 0o400_000;

/// A connection to another process of this node, over a Unix socket.
#[derive(Debug)]
pub struct UnixHandoverLink {
    stream: Watched<UnixStream>,
    poller: Rc<Poller>,
    /// Descriptors that were received and not yet taken, in the order of arrival.
    received: VecDeque<OwnedFd>,
}

impl UnixHandoverLink {
    /// Connects to the process that listens at `path`. The poller reports the connection under `key`.
    pub(super) fn connect(poller: &Rc<Poller>, path: &Path, key: usize) -> io::Result<Self> {
        check_owner(path)?;
        Self::new(poller, UnixStream::connect(path)?, key)
    }

    fn new(poller: &Rc<Poller>, stream: UnixStream, key: usize) -> io::Result<Self> {
        // The owner of the socket file says nothing about the process at the other end: a process of another
        // user may use a socket that this process may use too.
        if sockopt::socket_peercred(&stream)?.uid != geteuid() {
            return Err(foreign_owner());
        }
        stream.set_nonblocking(true)?;
        let stream = Watched::new(poller, stream, key, true, false)?;
        Ok(UnixHandoverLink { stream, poller: poller.clone(), received: VecDeque::new() })
    }

    fn next_descriptor(&mut self) -> io::Result<OwnedFd> {
        self.received.pop_front().ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

impl HandoverLink for UnixHandoverLink {
    type Stream = Watched<TcpStream>;
    type Listener = WatchedListener;

    fn send(
        &mut self,
        bytes: &[u8],
        socket: PassedSocket<'_, Watched<TcpStream>, WatchedListener>,
    ) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors = match &socket {
            PassedSocket::None => None,
            PassedSocket::Stream(stream) => Some([stream.as_fd()]),
            PassedSocket::Listener(listener) => Some([listener.socket().as_fd()]),
        };
        if let Some(descriptors) = &descriptors
            && !control.push(SendAncillaryMessage::ScmRights(descriptors))
        {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        match sendmsg(self.stream.as_fd(), &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL) {
            // Linux limits the number of descriptors in flight: the other process has to read some first.
            Err(rustix::io::Errno::TOOMANYREFS) => Err(io::ErrorKind::WouldBlock.into()),
            other => Ok(other?),
        }
    }

    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut buffers = [IoSliceMut::new(buffer)];
        let received = recvmsg(self.stream.as_fd(), &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.received.extend(descriptors);
            }
        }
        // The system dropped descriptors: the remaining ones would be matched to the wrong connections.
        if received.flags.contains(ReturnFlags::CTRUNC) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(received.bytes)
    }

    fn take_stream(&mut self, key: usize) -> io::Result<Watched<TcpStream>> {
        let descriptor = self.next_descriptor()?;
        tcp::watch_stream(&self.poller, TcpStream::from(descriptor), key, false)
    }

    fn take_listener(&mut self, key: usize) -> io::Result<WatchedListener> {
        let descriptor = self.next_descriptor()?;
        WatchedListener::new(&self.poller, TcpListener::from(descriptor), key, false)
    }

    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()> {
        self.stream.watch(reading, writing)
    }
}

/// A listening Unix socket that other processes of this node connect to.
#[derive(Debug)]
pub struct UnixHandoverListener {
    listener: Watched<UnixListener>,
    poller: Rc<Poller>,
}

impl UnixHandoverListener {
    /// Listens at `path`, in place of a socket file that an earlier process left there. The poller reports
    /// the listener under `key`.
    pub(super) fn bind(poller: &Rc<Poller>, path: &Path, key: usize) -> io::Result<Self> {
        match check_owner(path) {
            Ok(()) => fs::remove_file(path)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(error),
        }
        let listener = UnixListener::bind(path)?;
        listener.set_nonblocking(true)?;
        let listener = Watched::new(poller, listener, key, true, false)?;
        Ok(UnixHandoverListener { listener, poller: poller.clone() })
    }
}

impl Listener for UnixHandoverListener {
    type Stream = UnixHandoverLink;

    fn accept(&self, key: usize) -> io::Result<UnixHandoverLink> {
        let (stream, _) = self.listener.accept()?;
        UnixHandoverLink::new(&self.poller, stream, key)
    }

    fn watch(&mut self, reading: bool) -> io::Result<()> {
        self.listener.watch(reading, false)
    }

    fn address(&self) -> Option<SocketAddr> {
        None
    }
}

/// The service lock: a locked file, whose length in bytes is the number of generation marks.
#[derive(Debug)]
pub struct FileLock {
    file: File,
}

impl FileLock {
    /// Locks the file at `path`, which is created if it does not exist. Returns `None` if another process has
    /// locked it.
    pub(super) fn try_acquire(path: &Path) -> io::Result<Option<Self>> {
        let mut options = File::options();
        options.create(true).append(true).mode(0o600).custom_flags(O_NOFOLLOW);
        let file = options.open(path)?;
        if file.metadata()?.uid() != geteuid().as_raw() {
            return Err(foreign_owner());
        }
        match file.try_lock() {
            Ok(()) => Ok(Some(FileLock { file })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

impl ServiceLock for FileLock {
    fn generation_marks(&self) -> io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn add_generation_mark(&self) -> io::Result<()> {
        (&self.file).write_all(b".")
    }
}

/// Returns an error if the file at `path` belongs to another user. Does not follow a symbolic link.
fn check_owner(path: &Path) -> io::Result<()> {
    let owner = fs::symlink_metadata(path)?.uid();
    if owner == geteuid().as_raw() { Ok(()) } else { Err(foreign_owner()) }
}

fn foreign_owner() -> io::Error {
    io::Error::new(
        io::ErrorKind::PermissionDenied,
        "belongs to another user; expected the user that runs this process",
    )
}
