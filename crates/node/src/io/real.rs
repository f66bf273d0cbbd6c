//! The machine that the program runs on: its sockets, clocks and signals, by polling, socket2 and rustix.

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

/// The connection is being made.
const EINPROGRESS: i32 = 115;

/// The machine.
#[derive(Clone, Debug)]
pub struct OsSystem {
    poller: Rc<Poller>,
    origin: Instant,
    /// What the monotonic clock read at `origin`.
    base: Rc<Cell<Timestamp>>,
}

impl OsSystem {
    /// The machine, with nothing watched yet.
    ///
    /// # Errors
    /// The system has no descriptor for a poller.
    pub fn new() -> io::Result<Self> {
        let base = Rc::new(Cell::new(super::clock::ORIGIN));
        Ok(OsSystem { poller: Rc::new(Poller::new()?), origin: Instant::now(), base })
    }

    /// A thread that does a file's blocking work.
    fn worker(&self, backend: impl worker::Backend, key: usize) -> io::Result<Thread> {
        let (ours, theirs) = UnixStream::pair()?;
        ours.set_nonblocking(true)?;
        let woken = Pipe(Watched::new(&self.poller, ours, key, true, false)?);
        Ok(Thread { worker: worker::Worker::start(backend, theirs)?, woken })
    }
}

impl System for OsSystem {
    type Stream = Watched<TcpStream>;
    type Listener = WatchedListener;
    type Datagram = Reports;
    type Signals = Pipe;
    type Worker = Thread;
    type HandoverLink = UnixHandoverLink;
    type HandoverListener = UnixHandoverListener;
    type ServiceLock = FileLock;

    fn moment(&self) -> Moment {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mono = self.base.get().plus(Micros(self.origin.elapsed().as_micros() as u64));
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

    fn datagram(&self, to: SocketAddr) -> io::Result<Reports> {
        let any: SocketAddr = match to {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        Ok(Reports { to, socket })
    }

    fn signals(&self, key: usize, signals: &[i32]) -> io::Result<Pipe> {
        let (ours, theirs) = UnixStream::pair()?;
        ours.set_nonblocking(true)?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, theirs.try_clone()?)?;
        }
        Ok(Pipe(Watched::new(&self.poller, ours, key, true, false)?))
    }

    fn open_idempotency_store(
        &self,
        path: &Path,
        options: &Options,
        most_rows: usize,
        key: usize,
    ) -> Result<(Thread, Recovery), OpenError> {
        let store = Sqlite::open(path, options)?;
        let found = store.recover(path, most_rows)?;
        let worker = self.worker(store, key);
        Ok((worker.map_err(|error| OpenError::Thread { kind: sqlite::KIND, error })?, found))
    }

    fn open_consensus_log(
        &self,
        path: &Path,
        owner: &str,
        key: usize,
    ) -> Result<(Thread, RecoveredLog), OpenError> {
        let (consensus_log, found) = ConsensusLog::open(path, owner, &Options::default())?;
        let worker = self.worker(consensus_log, key);
        Ok((worker.map_err(|error| OpenError::Thread { kind: consensus_log::KIND, error })?, found))
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
        let here = self.moment();
        let there = other.mono.plus(here.wall.since(other.wall));
        // Forward only: times that were read before stay in the past.
        self.base.set(self.base.get().plus(there.since(here.mono)));
    }

    fn wait(&self, most: Micros, ready: &mut Vec<Ready>) -> io::Result<()> {
        wait(&self.poller, most, ready)
    }
}

/// A socket for datagrams to one address.
#[derive(Debug)]
pub struct Reports {
    to: SocketAddr,
    socket: UdpSocket,
}

impl Datagram for Reports {
    fn send(&self, bytes: &[u8]) -> io::Result<()> {
        self.socket.send_to(bytes, self.to).map(|_| ())
    }
}

/// The reading end of a pipe that only wakes.
#[derive(Debug)]
pub struct Pipe(Watched<UnixStream>);

impl Read for Pipe {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.0.read(buf)
    }
}

/// A store of record on a thread of its own.
#[derive(Debug)]
pub struct Thread {
    worker: worker::Worker,
    woken: Pipe,
}

impl Worker for Thread {
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
        // The bytes say nothing; only that they came matters.
        while matches!(self.woken.read(&mut [0; 64]), Ok(n) if n > 0) {}
    }
}
