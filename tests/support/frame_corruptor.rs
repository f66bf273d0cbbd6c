//! A proxy between two processes of a node. It corrupts the engine state that the predecessor hands over, as
//! if a build with another layout of the state had sent it, and passes on the sockets that accompany the
//! frames.

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::fs;
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::thread;

/// First bytes, in CBOR, of the frame that holds the engine's state.
const STATE_FRAME_PREFIX: &[u8] = b"\xa1\x64Rest";
/// Length in bytes of the greeting that each side sends before its first frame.
const GREETING_LEN: usize = 8;

/// The proxy. It serves until the predecessor has ended; its folder is removed when the value is dropped.
pub struct FrameCorruptor {
    folder: PathBuf,
}

impl FrameCorruptor {
    /// Starts a proxy for the predecessor with the given hand-over folder. The proxy has a folder of its own,
    /// which holds a socket for each of the predecessor's sockets and hard links to its lock files.
    pub fn between(predecessor: &Path) -> Self {
        let folder = super::temporary_path("spoilt");
        fs::create_dir(&folder).expect("creating the proxy's folder");
        for entry in fs::read_dir(predecessor).expect("reading the predecessor's folder").flatten() {
            let from = entry.path();
            let to = folder.join(entry.file_name());
            if from.extension().is_some_and(|e| e == "lock") {
                fs::hard_link(from, to).expect("linking a lock file");
            } else {
                let listener = UnixListener::bind(to).expect("binding a proxy socket");
                thread::spawn(move || serve(listener, &from));
            }
        }
        FrameCorruptor { folder }
    }

    /// The hand-over folder to start the successor with, so that it connects to the proxy.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for FrameCorruptor {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Proxies connections to the predecessor's socket, and stops listening once the predecessor has ended.
fn serve(listener: UnixListener, predecessor: &Path) {
    while let Ok((successor, _)) = listener.accept() {
        let Ok(predecessor) = UnixStream::connect(predecessor) else { return };
        let from = predecessor.try_clone().expect("cloning a socket");
        let to = successor.try_clone().expect("cloning a socket");
        thread::spawn(move || forward(&from, &to, true));
        thread::spawn(move || forward(&successor, &predecessor, false));
    }
}

/// Forwards bytes and descriptors until one side closes the connection. If `corrupts`, forwards whole frames
/// and corrupts the one that holds the engine's state.
fn forward(from: &UnixStream, to: &UnixStream, corrupts: bool) {
    let mut pending = Vec::new();
    let mut descriptors = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    let mut greeted = false;
    'connection: loop {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let slices = &mut [IoSliceMut::new(&mut buffer)];
        let Ok(read) = recvmsg(from, slices, &mut control, RecvFlags::CMSG_CLOEXEC) else { break };
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(received) = message {
                descriptors.extend(received);
            }
        }
        if read.bytes == 0 {
            break;
        }
        pending.extend(&buffer[..read.bytes]);
        while let Some(mut frame) = next_chunk(&mut pending, &mut greeted, corrupts) {
            if frame.len() > 4 && frame[4..].starts_with(STATE_FRAME_PREFIX) {
                frame[6] = b'?';
            }
            // A descriptor may be sent before the frame that it belongs to: the receiver assigns descriptors
            // to frames in order.
            if send(to, &frame, &std::mem::take(&mut descriptors)).is_none() {
                break 'connection;
            }
        }
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

/// Takes the next chunk to forward from `pending`: if `frames`, the greeting or the next frame once it is
/// complete, and otherwise all bytes. `greeted` states whether the greeting has been taken.
fn next_chunk(pending: &mut Vec<u8>, greeted: &mut bool, frames: bool) -> Option<Vec<u8>> {
    let len = match (frames, *greeted) {
        (false, _) => pending.len(),
        (true, false) => GREETING_LEN,
        (true, true) => 4 + u32::from_be_bytes(*pending.first_chunk::<4>()?) as usize,
    };
    if len == 0 || pending.len() < len {
        return None;
    }
    *greeted = true;
    Some(pending.drain(..len).collect())
}

/// Sends all bytes, and the descriptors with the first of them. `None` if the connection is broken.
fn send(to: &UnixStream, bytes: &[u8], descriptors: &[OwnedFd]) -> Option<()> {
    let borrowed: Vec<_> = descriptors.iter().map(|fd| fd.as_fd()).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !borrowed.is_empty() {
        assert!(control.push(SendAncillaryMessage::ScmRights(&borrowed)));
    }
    let mut sent = sendmsg(to, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL).ok()?;
    while sent < bytes.len() {
        let rest = [IoSlice::new(&bytes[sent..])];
        sent += sendmsg(to, &rest, &mut SendAncillaryBuffer::default(), SendFlags::NOSIGNAL).ok()?;
    }
    Some(())
}
