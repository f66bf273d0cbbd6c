//! Stands between two processes of a node and spoils what the elder sends at its end, as a program that lays its state
//! out otherwise would have it. Sockets that go along are passed on.

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

/// How the frame that holds the engine starts, in CBOR.
const REST: &[u8] = b"\xa1\x64Rest";
/// What each side says first.
const WORD: usize = 8;

pub struct Spoiler {
    folder: PathBuf,
}

impl Spoiler {
    /// Serves a folder of its own, in which a heir finds the elder of the other one, and the same claim.
    pub fn between(elder: &Path) -> Self {
        let folder = super::place("spoilt");
        fs::create_dir(&folder).expect("a folder");
        for entry in fs::read_dir(elder).expect("a folder").flatten() {
            let (from, to) = (entry.path(), folder.join(entry.file_name()));
            if from.extension().is_some_and(|e| e == "lock") {
                fs::hard_link(from, to).expect("the same lock");
            } else {
                let door = UnixListener::bind(to).expect("a socket");
                thread::spawn(move || serve(door, &from));
            }
        }
        Spoiler { folder }
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Spoiler {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Until the elder has ended: then nobody answers here either.
fn serve(door: UnixListener, elder: &Path) {
    while let Ok((heir, _)) = door.accept() {
        let Ok(elder) = UnixStream::connect(elder) else { return };
        let (from, to) = (elder.try_clone().expect("a socket"), heir.try_clone().expect("a socket"));
        thread::spawn(move || pump(&from, &to, true));
        thread::spawn(move || pump(&heir, &elder, false));
    }
}

/// Passes on what comes, frame by frame where frames are to be spoilt, until one side ends.
fn pump(from: &UnixStream, to: &UnixStream, spoils: bool) {
    let (mut waiting, mut fds, mut buf, mut greeted) = (Vec::new(), Vec::new(), vec![0; 64 * 1024], false);
    'link: loop {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let slices = &mut [IoSliceMut::new(&mut buf)];
        let Ok(read) = recvmsg(from, slices, &mut control, RecvFlags::CMSG_CLOEXEC) else { break };
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(came) = message {
                fds.extend(came);
            }
        }
        if read.bytes == 0 {
            break;
        }
        waiting.extend(&buf[..read.bytes]);
        while let Some(mut frame) = next(&mut waiting, &mut greeted, spoils) {
            if frame.len() > 4 && frame[4..].starts_with(REST) {
                frame[6] = b'?';
            }
            // A socket may come before its frame: the other side takes them in order.
            if send(to, &frame, &std::mem::take(&mut fds)).is_none() {
                break 'link;
            }
        }
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

/// What can be passed on as one.
fn next(waiting: &mut Vec<u8>, greeted: &mut bool, frames: bool) -> Option<Vec<u8>> {
    let len = match (frames, *greeted) {
        (false, _) => waiting.len(),
        (true, false) => WORD,
        (true, true) => 4 + u32::from_be_bytes(*waiting.first_chunk::<4>()?) as usize,
    };
    if len == 0 || waiting.len() < len {
        return None;
    }
    *greeted = true;
    Some(waiting.drain(..len).collect())
}

fn send(to: &UnixStream, bytes: &[u8], fds: &[OwnedFd]) -> Option<()> {
    let borrowed: Vec<_> = fds.iter().map(|fd| fd.as_fd()).collect();
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
