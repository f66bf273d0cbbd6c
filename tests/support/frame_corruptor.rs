//! A proxy between two processes of a node which corrupts the snapshot that the predecessor hands over, as if a program
//! with another layout of its state had sent it. Sockets that are passed along with frames are passed on.

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

/// How the frame that holds the engine's state starts, in CBOR.
const STATE_FRAME_PREFIX: &[u8] = b"\xa1\x64Rest";
/// Length in bytes of the greeting that each side sends first.
const GREETING_LEN: usize = 8;

/// The folder in which a successor finds the proxy instead of its predecessor.
pub struct FrameCorruptor {
    folder: PathBuf,
}

impl FrameCorruptor {
    /// Serves a folder of its own with a socket for each of the predecessor's folder, and the same lock files.
    pub fn between(predecessor: &Path) -> Self {
        let folder = super::temporary_path("spoilt");
        fs::create_dir(&folder).expect("a folder");
        for entry in fs::read_dir(predecessor).expect("a folder").flatten() {
            let from = entry.path();
            let to = folder.join(entry.file_name());
            if from.extension().is_some_and(|e| e == "lock") {
                fs::hard_link(from, to).expect("the same lock");
            } else {
                let listener = UnixListener::bind(to).expect("a socket");
                thread::spawn(move || serve(listener, &from));
            }
        }
        FrameCorruptor { folder }
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for FrameCorruptor {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Proxies connections until the predecessor has ended; then nobody answers here either.
fn serve(listener: UnixListener, predecessor: &Path) {
    while let Ok((successor, _)) = listener.accept() {
        let Ok(predecessor) = UnixStream::connect(predecessor) else { return };
        let from = predecessor.try_clone().expect("a socket");
        let to = successor.try_clone().expect("a socket");
        thread::spawn(move || forward(&from, &to, true));
        thread::spawn(move || forward(&successor, &predecessor, false));
    }
}

/// Passes on what comes until one side ends; frame by frame, with the state corrupted, if `corrupts`.
fn forward(from: &UnixStream, to: &UnixStream, corrupts: bool) {
    let mut waiting = Vec::new();
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
        waiting.extend(&buffer[..read.bytes]);
        while let Some(mut frame) = next_piece(&mut waiting, &mut greeted, corrupts) {
            if frame.len() > 4 && frame[4..].starts_with(STATE_FRAME_PREFIX) {
                frame[6] = b'?';
            }
            // A socket may come before its frame: the receiver assigns them in order.
            if send(to, &frame, &std::mem::take(&mut descriptors)).is_none() {
                break 'connection;
            }
        }
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

/// The greeting or frame that is complete, or whatever there is if frames do not matter.
fn next_piece(waiting: &mut Vec<u8>, greeted: &mut bool, frames: bool) -> Option<Vec<u8>> {
    let len = match (frames, *greeted) {
        (false, _) => waiting.len(),
        (true, false) => GREETING_LEN,
        (true, true) => 4 + u32::from_be_bytes(*waiting.first_chunk::<4>()?) as usize,
    };
    if len == 0 || waiting.len() < len {
        return None;
    }
    *greeted = true;
    Some(waiting.drain(..len).collect())
}

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
