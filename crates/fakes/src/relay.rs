//! A TCP relay between two nodes on loopback which injects network faults: partitions in one direction or both, delay,
//! and connections that close in the middle of a message.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time after which a change of the faults takes effect on a connection without traffic.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Most bytes that are read at once.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// How bytes are delivered in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// At once.
    #[default]
    Immediate,
    /// After this time.
    Delayed(Duration),
    /// Not until it is set to another delivery, then in order: a partition that the connection survives.
    Withheld,
    /// Never: the connection ends when there are bytes to deliver, which are lost.
    Dropped,
}

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// From the connecting side to the accepting one, and back.
    deliveries: [Delivery; 2],
    /// New connections are closed at once.
    refuses_connections: bool,
    /// Number of times that all connections were closed.
    closures: u64,
    /// The next connection that carries bytes closes after so many of them.
    close_after: Option<usize>,
}

/// A relay to one address. It stops when it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    is_stopped: Arc<AtomicBool>,
}

impl Relay {
    /// Relays connections to `target`, which may change, as a node that restarts has another address; closes them while
    /// there is none.
    ///
    /// # Errors
    /// The system has no loopback port to listen on.
    pub fn start(target: Arc<Mutex<Option<SocketAddr>>>) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Mutex::new(Faults::default()));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let relay = Relay { address, faults: faults.clone(), is_stopped: is_stopped.clone() };
        thread::spawn(move || {
            while let Ok((connecting, _)) = listener.accept() {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let refuses = faults.lock().is_ok_and(|faults| faults.refuses_connections);
                let target = target.lock().ok().and_then(|address| *address);
                let accepting =
                    target.filter(|_| !refuses).and_then(|address| TcpStream::connect(address).ok());
                if let Some(accepting) = accepting {
                    relay_both_ways(connecting, accepting, &faults, &is_stopped);
                }
            }
        });
        Ok(relay)
    }

    /// Where to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn change(&self, change: impl FnOnce(&mut Faults)) {
        if let Ok(mut faults) = self.faults.lock() {
            change(&mut faults);
        }
    }

    /// Sets the delivery from the connecting side to the accepting one, and back.
    pub fn set_delivery(&self, forward: Delivery, backward: Delivery) {
        self.change(|faults| faults.deliveries = [forward, backward]);
    }

    /// Closes all connections, and new ones at once if `refuse_connections`.
    pub fn close_connections(&self, refuse_connections: bool) {
        self.change(|faults| {
            faults.closures += 1;
            faults.refuses_connections = refuse_connections;
        });
    }

    /// Closes the connection that next carries bytes, after so many of them.
    pub fn close_after(&self, bytes: usize) {
        self.change(|faults| faults.close_after = Some(bytes));
    }

    /// Undoes all faults; closed connections stay closed.
    pub fn heal(&self) {
        self.change(|faults| *faults = Faults { closures: faults.closures, ..Faults::default() });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.close_connections(true);
        // Wakes the accepting thread, which then ends.
        let _ = TcpStream::connect(self.address);
    }
}

fn relay_both_ways(
    connecting: TcpStream,
    accepting: TcpStream,
    faults: &Arc<Mutex<Faults>>,
    is_stopped: &Arc<AtomicBool>,
) {
    let (Ok(to_connecting), Ok(to_accepting)) = (connecting.try_clone(), accepting.try_clone()) else {
        return;
    };
    for (direction, from, to) in [(0, connecting, to_accepting), (1, accepting, to_connecting)] {
        let faults = faults.clone();
        let is_stopped = is_stopped.clone();
        thread::spawn(move || {
            relay_direction(direction, &from, &to, &faults, &is_stopped);
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}

/// Delivers bytes in one direction until either side or a fault ends the connection.
fn relay_direction(
    direction: usize,
    mut from: &TcpStream,
    mut to: &TcpStream,
    faults: &Mutex<Faults>,
    is_stopped: &AtomicBool,
) {
    let closures_at_start = faults.lock().map_or(0, |faults| faults.closures);
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = to.set_nodelay(true);
    let mut waiting: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    while !is_stopped.load(Ordering::Relaxed) {
        let Ok(faults_now) = faults.lock().map(|faults| *faults) else { return };
        let delivery = faults_now.deliveries[direction];
        if faults_now.closures != closures_at_start {
            return;
        }
        match from.read(&mut chunk) {
            Ok(0) => return,
            Ok(len) => match (delivery, faults_now.close_after) {
                (Delivery::Dropped, _) => return,
                (_, Some(max_bytes)) => {
                    if let Ok(mut faults) = faults.lock() {
                        faults.close_after = None;
                    }
                    let _ = to.write_all(&chunk[..max_bytes.min(len)]);
                    return;
                }
                _ => waiting.push((Instant::now(), chunk[..len].to_vec())),
            },
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
        let is_due = |received_at: Instant| match delivery {
            Delivery::Immediate => true,
            Delivery::Delayed(delay) => received_at.elapsed() >= delay,
            Delivery::Withheld | Delivery::Dropped => false,
        };
        let ready = waiting.iter().take_while(|(received_at, _)| is_due(*received_at)).count();
        for (_, bytes) in waiting.drain(..ready) {
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}
