//! The system that a simulated node runs on: an implementation of the node's I/O interface ([`System`]) on
//! the simulated [`Network`].
//!
//! A simulated world has neither a disk nor a second process of the node. Opening a store fails with
//! [`OpenError::NoDisk`], and a hand-over or a service lock with [`io::ErrorKind::Unsupported`].

use crate::network::{Network, Side};
use gaugestand_admission::log_record::RecoveredLog;
use gaugestand_admission::time::{Micros, Moment};
use gaugestand_idempotency::OpenError;
use gaugestand_idempotency::row::{Batch, Outcome, Recovery};
use gaugestand_idempotency::sqlite::Options;
use gaugestand_node::io::{
    Datagram, HandoverLink, Listener, PassedSocket, Ready, ServiceLock, Stream, System, Worker,
};
use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// The system of a simulated node, on a network that it shares with the fakes of its world.
#[derive(Clone, Debug)]
pub struct VirtualSystem(pub Rc<RefCell<Network>>);

impl System for VirtualSystem {
    type Stream = VirtualStream;
    type Listener = VirtualListener;
    type Datagram = VirtualDatagram;
    type Signals = VirtualSignals;
    type Worker = NoWorker;
    type HandoverLink = NoSecondProcess;
    type HandoverListener = NoSecondProcess;
    type ServiceLock = NoSecondProcess;

    fn moment(&self) -> Moment {
        self.0.borrow().moment()
    }

    fn listen(&self, at: SocketAddr, key: usize) -> io::Result<VirtualListener> {
        self.0.borrow_mut().node_listen(at, key);
        Ok(VirtualListener { net: self.0.clone(), at })
    }

    fn connect(&self, to: SocketAddr, key: usize) -> io::Result<VirtualStream> {
        let side = self.0.borrow_mut().node_connect(to, key);
        Ok(VirtualStream { net: self.0.clone(), side })
    }

    fn datagram(&self, to: SocketAddr) -> io::Result<VirtualDatagram> {
        Ok(VirtualDatagram { net: self.0.clone(), to })
    }

    fn signals(&self, key: usize, signals: &[i32]) -> io::Result<VirtualSignals> {
        self.0.borrow_mut().watch_signals(key, signals);
        Ok(VirtualSignals { net: self.0.clone(), key })
    }

    fn open_idempotency_store(
        &self,
        path: &Path,
        _: &Options,
        _: usize,
        _: usize,
    ) -> Result<(NoWorker, Recovery), OpenError> {
        Err(OpenError::NoDisk(path.to_path_buf()))
    }

    fn open_consensus_log(
        &self,
        path: &Path,
        _: &str,
        _: usize,
    ) -> Result<(NoWorker, RecoveredLog), OpenError> {
        Err(OpenError::NoDisk(path.to_path_buf()))
    }

    fn listen_for_handover(&self, _: &Path, _: usize) -> io::Result<NoSecondProcess> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn connect_for_handover(&self, _: &Path, _: usize) -> io::Result<NoSecondProcess> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn try_service_lock(&self, _: &Path) -> io::Result<Option<NoSecondProcess>> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn align_clock(&self, _: Moment) {}

    fn wait(&self, _: Micros, ready: &mut Vec<Ready>) -> io::Result<()> {
        *ready = self.0.borrow().ready();
        Ok(())
    }
}

/// Hand-over link, hand-over listener and service lock of a simulated node. The type has no values, because a
/// simulated world has no second process of the node.
#[derive(Debug)]
pub enum NoSecondProcess {}

impl HandoverLink for NoSecondProcess {
    type Stream = VirtualStream;
    type Listener = VirtualListener;

    fn send(&mut self, _: &[u8], _: PassedSocket<'_, VirtualStream, VirtualListener>) -> io::Result<usize> {
        match *self {}
    }

    fn receive(&mut self, _: &mut [u8]) -> io::Result<usize> {
        match *self {}
    }

    fn take_stream(&mut self, _: usize) -> io::Result<VirtualStream> {
        match *self {}
    }

    fn take_listener(&mut self, _: usize) -> io::Result<VirtualListener> {
        match *self {}
    }

    fn watch(&mut self, _: bool, _: bool) -> io::Result<()> {
        match *self {}
    }
}

impl ServiceLock for NoSecondProcess {
    fn generation_marks(&self) -> io::Result<u64> {
        match *self {}
    }

    fn add_generation_mark(&self) -> io::Result<()> {
        match *self {}
    }
}

impl Listener for NoSecondProcess {
    type Stream = NoSecondProcess;

    fn accept(&self, _: usize) -> io::Result<NoSecondProcess> {
        match *self {}
    }

    fn watch(&mut self, _: bool) -> io::Result<()> {
        match *self {}
    }

    fn address(&self) -> Option<SocketAddr> {
        match *self {}
    }
}

/// The node's side of a simulated connection; dropping it closes the connection.
#[derive(Debug)]
pub struct VirtualStream {
    net: Rc<RefCell<Network>>,
    side: Side,
}

impl Stream for VirtualStream {
    fn watch(&mut self, reading: bool, writing: bool) -> io::Result<()> {
        self.net.borrow_mut().watch(self.side, reading, writing);
        Ok(())
    }

    fn is_connected(&self) -> bool {
        self.net.borrow().is_connected(self.side)
    }

    fn has_unread(&self) -> bool {
        self.net.borrow().has_unread(self.side)
    }

    fn shut_writing(&mut self) -> io::Result<()> {
        self.net.borrow_mut().shut_writing(self.side);
        Ok(())
    }
}

impl Read for VirtualStream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.net.borrow_mut().read(self.side, buf)
    }
}

impl Write for VirtualStream {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.net.borrow_mut().write(self.side, buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for VirtualStream {
    fn drop(&mut self) {
        self.net.borrow_mut().close(self.side, false);
    }
}

/// A listener of the node on the simulated network; dropping it resets the connections that wait to be
/// accepted.
#[derive(Debug)]
pub struct VirtualListener {
    net: Rc<RefCell<Network>>,
    at: SocketAddr,
}

impl Listener for VirtualListener {
    type Stream = VirtualStream;

    fn accept(&self, key: usize) -> io::Result<VirtualStream> {
        let side = self.net.borrow_mut().node_accept(self.at, key)?;
        Ok(VirtualStream { net: self.net.clone(), side })
    }

    fn watch(&mut self, reading: bool) -> io::Result<()> {
        self.net.borrow_mut().watch_listener(self.at, reading);
        Ok(())
    }

    fn address(&self) -> Option<SocketAddr> {
        Some(self.at)
    }
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        self.net.borrow_mut().close_listener(self.at);
    }
}

/// The node's simulated UDP socket, with which it sends reports to the membership service.
#[derive(Debug)]
pub struct VirtualDatagram {
    net: Rc<RefCell<Network>>,
    to: SocketAddr,
}

impl Datagram for VirtualDatagram {
    fn send(&self, bytes: &[u8]) -> io::Result<()> {
        self.net.borrow_mut().send_datagram(self.to, bytes);
        Ok(())
    }
}

/// Source from which the node reads its pending signals: one byte for each.
#[derive(Debug)]
pub struct VirtualSignals {
    net: Rc<RefCell<Network>>,
    key: usize,
}

impl Read for VirtualSignals {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        if self.net.borrow_mut().take_signal(self.key) {
            Ok(1)
        } else {
            Err(io::ErrorKind::WouldBlock.into())
        }
    }
}

/// Store worker of a simulated node. A simulated world has no disk, so no store is ever opened and no method
/// of this type is ever called.
#[derive(Debug)]
pub struct NoWorker;

impl Worker for NoWorker {
    fn submit(&mut self, batch: Batch) -> Result<(), Batch> {
        Err(batch)
    }

    fn outcome(&mut self) -> Option<(u64, Outcome)> {
        None
    }

    fn is_dead(&self) -> bool {
        true
    }

    fn drain_wakeups(&mut self) {}
}
