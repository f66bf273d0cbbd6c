//! Links between processes of one node on the machine: Unix sockets in a folder that they share, descriptors that go
//! along with bytes, and a lock on a file as the claim. What belongs to another user is never used.

use super::poll::Watched;
use super::real::{Incoming, Real};
use super::{Claim, Kin, Listener, Passed};
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

/// Descriptors taken along with one read: a sender puts one with each message.
const MOST_TAKEN: usize = 4;
/// A link at the end of a path is not followed.
const O_NOFOLLOW: i32 = 0o400_000;

/// A link to another process of this node.
#[derive(Debug)]
pub struct UnixKin {
    stream: Watched<UnixStream>,
    system: Real,
    came: VecDeque<OwnedFd>,
}

/// Where such links come in.
#[derive(Debug)]
pub struct Door {
    listener: Watched<UnixListener>,
    system: Real,
}

/// A locked file.
#[derive(Debug)]
pub struct Lock {
    file: File,
}

impl Claim for Lock {
    fn marks(&self) -> io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn mark(&self) -> io::Result<()> {
        (&self.file).write_all(b".")
    }
}

fn not_ours() -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, "it is another user's")
}

fn is_ours(at: &Path) -> io::Result<()> {
    let owner = fs::symlink_metadata(at)?.uid();
    if owner == geteuid().as_raw() { Ok(()) } else { Err(not_ours()) }
}

fn linked(system: &Real, stream: UnixStream, key: usize) -> io::Result<UnixKin> {
    // Guards against a process of another user at a socket that this one may connect to.
    if sockopt::socket_peercred(&stream)?.uid != geteuid() {
        return Err(not_ours());
    }
    stream.set_nonblocking(true)?;
    let stream = Watched::new(system.poller(), stream, key, true, false)?;
    Ok(UnixKin { stream, system: system.clone(), came: VecDeque::new() })
}

/// Connects to the process that listens there.
pub(super) fn connect(system: &Real, at: &Path, key: usize) -> io::Result<UnixKin> {
    is_ours(at)?;
    linked(system, UnixStream::connect(at)?, key)
}

/// Listens there, in place of what is there.
pub(super) fn door(system: &Real, at: &Path, key: usize) -> io::Result<Door> {
    match is_ours(at) {
        Ok(()) => fs::remove_file(at)?,
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(e),
    }
    let listener = UnixListener::bind(at)?;
    listener.set_nonblocking(true)?;
    let listener = Watched::new(system.poller(), listener, key, true, false)?;
    Ok(Door { listener, system: system.clone() })
}

/// Locks the file, unless another process has.
pub(super) fn claim(at: &Path) -> io::Result<Option<Lock>> {
    let open = File::options().create(true).append(true).mode(0o600).custom_flags(O_NOFOLLOW).open(at);
    let file = open?;
    if file.metadata()?.uid() != geteuid().as_raw() {
        return Err(not_ours());
    }
    match file.try_lock() {
        Ok(()) => Ok(Some(Lock { file })),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

impl Listener for Door {
    type Stream = UnixKin;

    fn accept(&self, key: usize) -> io::Result<UnixKin> {
        linked(&self.system, self.listener.accept()?.0, key)
    }

    fn watch(&mut self, reading: bool) -> io::Result<()> {
        self.listener.watch(reading, false)
    }

    fn address(&self) -> Option<SocketAddr> {
        None
    }
}

impl UnixKin {
    fn next(&mut self) -> io::Result<OwnedFd> {
        self.came.pop_front().ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

impl Kin for UnixKin {
    type Stream = Watched<TcpStream>;
    type Listener = Incoming;

    fn send(&mut self, bytes: &[u8], with: Passed<'_, Watched<TcpStream>, Incoming>) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let fds = match &with {
            Passed::Nothing => None,
            Passed::Stream(stream) => Some([stream.as_fd()]),
            Passed::Listener(listener) => Some([listener.listener.as_fd()]),
        };
        if let Some(fds) = &fds
            && !control.push(SendAncillaryMessage::ScmRights(fds))
        {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        match sendmsg(self.stream.as_fd(), &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL) {
            // Too many are under way: the other side has to read first.
            Err(rustix::io::Errno::TOOMANYREFS) => Err(io::ErrorKind::WouldBlock.into()),
            other => Ok(other?),
        }
    }

    fn receive(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_TAKEN))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let read =
            recvmsg(self.stream.as_fd(), &mut [IoSliceMut::new(buf)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(fds) = message {
                self.came.extend(fds);
            }
        }
        // Guards against taking one connection for another after some were dropped on the way.
        if read.flags.contains(ReturnFlags::CTRUNC) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(read.bytes)
    }

    fn take_stream(&mut self, key: usize) -> io::Result<Watched<TcpStream>> {
        let fd = self.next()?;
        self.system.stream(TcpStream::from(fd), key, false)
    }

    fn take_listener(&mut self, key: usize) -> io::Result<Incoming> {
        let fd = self.next()?;
        self.system.incoming(TcpListener::from(fd), key, false)
    }

    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()> {
        self.stream.watch(reading, writing)
    }
}
