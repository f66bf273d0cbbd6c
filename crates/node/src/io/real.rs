//! [`System`] for the real operating system: its sockets, clocks, signals and worker threads.

use super::handover_socket::{FileLock, UnixHandoverLink, UnixHandoverListener};
use super::poll::{Watched, wait};
use super::tcp::{self, WatchedListener};
use super::{Datagram, Ready, System, Worker};
use gaugestand_admission::log_record::RecoveredLog;
use gaugestand_admission::time::{Micros, Moment, Timestamp, UnixTime};
use gaugestand_idempotency::OpenError;
use gaugestand_idempotency::consensus_log::{self, ConsensusLog};
use gaugestand_idempotency::row::{Batch, Outcome, Recovery};
use gaugestand_idempotency::sqlite::{self, Options, Sqlite};
use gaugestand_idempotency::worker;
use polling::Poller;
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::Cell;
use std::io::{self, Read};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Linux error number of a non-blocking `connect` whose connection is still being made.
const EINPROGRESS: i32 = 115;

/// The real operating system, with the poller and the clock that all clones of the value share.
#[derive(Clone, Debug)]
pub struct OsSystem {
    poller: Rc<Poller>,
    /// When the value was created, on the machine's own monotonic clock.
    origin: Instant,
    /// The node's monotonic time at `origin`. [`System::align_clock`] raises it.
    mono_at_origin: Rc<Cell<Timestamp>>,
}

impl OsSystem {
    /// Creates the value and its poller, with no source registered.
    ///
    /// # Errors
    /// The operating system cannot create the poller, for example because no descriptor is left.
    pub fn new() -> io::Result<Self> {
        let mono_at_origin = Rc::new(Cell::new(super::clock::ORIGIN));
        Ok(OsSystem { poller: Rc::new(Poller::new()?), origin: Instant::now(), mono_at_origin })
    }

    /// Starts a worker thread that does the blocking work of `backend`. Its wake-ups are reported under
    /// `key`.
    fn worker(&self, backend: impl worker::Backend, key: usize) -> io::Result<WorkerThread> {
        let (receiver, sender) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        let wakeups = WakeupReceiver(Watched::new(&self.poller, receiver, key, true, false)?);
        Ok(WorkerThread { worker: worker::Worker::start(backend, sender)?, wakeups })
    }
}

impl System for OsSystem {
    type Stream = Watched<TcpStream>;
    type Listener = WatchedListener;
    type Datagram = UdpSender;
    type Signals = WakeupReceiver;
    type Worker = WorkerThread;
    type HandoverLink = UnixHandoverLink;
    type HandoverListener = UnixHandoverListener;
    type ServiceLock = FileLock;

    fn moment(&self) -> Moment {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mono = self.mono_at_origin.get().plus(Micros(self.origin.elapsed().as_micros() as u64));
        Moment { mono, wall: UnixTime(unix.as_micros() as u64) }
    }

    fn listen(&self, at: SocketAddr, key: usize) -> io::Result<WatchedListener> {
        WatchedListener::new(&self.poller, TcpListener::bind(at)?, key, true)
    }

    fn connect(&self, to: SocketAddr, key: usize) -> io::Result<Self::Stream> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(e) if e.raw_os_error() != Some(EINPROGRESS) && e.kind() != io::ErrorKind::WouldBlock => {
                Err(e)
            }
            _ => tcp::watch_stream(&self.poller, socket.into(), key, true),
        }
    }

    fn datagram(&self, to: SocketAddr) -> io::Result<UdpSender> {
        let any: SocketAddr = match to {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        Ok(UdpSender { to, socket })
    }

    fn signals(&self, key: usize, signals: &[i32]) -> io::Result<WakeupReceiver> {
        let (receiver, sender) = UnixStream::pair()?;
        receiver.set_nonblocking(true)?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
        }
        Ok(WakeupReceiver(Watched::new(&self.poller, receiver, key, true, false)?))
    }

    fn open_idempotency_store(
        &self,
        path: &Path,
        options: &Options,
        max_rows: usize,
        key: usize,
    ) -> Result<(WorkerThread, Recovery), OpenError> {
        let store = Sqlite::open(path, options)?;
        let recovered = store.recover(path, max_rows)?;
        let worker = self.worker(store, key);
        Ok((worker.map_err(|error| OpenError::Thread { kind: sqlite::KIND, error })?, recovered))
    }

    fn open_consensus_log(
        &self,
        path: &Path,
        owner: &str,
        key: usize,
    ) -> Result<(WorkerThread, RecoveredLog), OpenError> {
        let (consensus_log, recovered) = ConsensusLog::open(path, owner, &Options::default())?;
        let worker = self.worker(consensus_log, key);
        Ok((worker.map_err(|error| OpenError::Thread { kind: consensus_log::KIND, error })?, recovered))
    }

    fn listen_for_handover(&self, path: &Path, key: usize) -> io::Result<UnixHandoverListener> {
        UnixHandoverListener::bind(&self.poller, path, key)
    }

    fn connect_for_handover(&self, path: &Path, key: usize) -> io::Result<UnixHandoverLink> {
        UnixHandoverLink::connect(&self.poller, path, key)
    }

    fn try_service_lock(&self, path: &Path) -> io::Result<Option<FileLock>> {
        FileLock::try_acquire(path)
    }

    fn align_clock(&self, other: Moment) {
        let own = self.moment();
        let other_mono_now = other.mono.plus(own.wall.since(other.wall));
        // The clock only moves forward, so that times that were read before stay in the past.
        self.mono_at_origin.set(self.mono_at_origin.get().plus(other_mono_now.since(own.mono)));
    }

    fn wait(&self, timeout: Micros, ready: &mut Vec<Ready>) -> io::Result<()> {
        wait(&self.poller, timeout, ready)
    }
}

/// A UDP socket that sends to one address.
#[derive(Debug)]
pub struct UdpSender {
    to: SocketAddr,
    socket: UdpSocket,
}

impl Datagram for UdpSender {
    fn send(&self, bytes: &[u8]) -> io::Result<()> {
        self.socket.send_to(bytes, self.to).map(|_| ())
    }
}

/// The receiving end of a socket pair. Its bytes carry no information; they wake the event loop because a
/// signal has arrived or a worker thread has an outcome.
#[derive(Debug)]
pub struct WakeupReceiver(Watched<UnixStream>);

impl Read for WakeupReceiver {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.0.read(buf)
    }
}

/// An idempotency store or a consensus log, whose blocking work a thread of its own does.
#[derive(Debug)]
pub struct WorkerThread {
    worker: worker::Worker,
    wakeups: WakeupReceiver,
}

impl Worker for WorkerThread {
    fn submit(&mut self, batch: Batch) -> Result<(), Batch> {
        self.worker.submit(batch)
    }

    fn outcome(&mut self) -> Option<(u64, Outcome)> {
        self.worker.outcome()
    }

    fn is_dead(&self) -> bool {
        self.worker.is_dead()
    }

    fn drain_wakeups(&mut self) {
        // Only the arrival of the bytes matters; they are read so that the poller stops reporting them.
        while matches!(self.wakeups.read(&mut [0; 64]), Ok(n) if n > 0) {}
    }
}
