//! A TCP relay between two nodes on loopback, which injects network faults: partitions in one direction or
//! both directions, delays, and connections that close in the middle of a message.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time until a change of the faults takes effect on a connection without traffic.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Most bytes that the relay reads from a socket at once.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// How the relay delivers the bytes that arrive in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// The bytes are delivered at once.
    #[default]
    Immediate,
    /// The bytes are delivered this long after they arrived at the relay.
    Delayed(Duration),
    /// The bytes are withheld until another delivery is set, and then delivered in order: a partition that
    /// the connection survives.
    Withheld,
    /// The bytes are lost: the relay closes the connection as soon as bytes arrive.
    Dropped,
}

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Delivery from the connecting side to the accepting side (index 0), and back (index 1).
    deliveries: [Delivery; 2],
    /// Whether the relay closes new connections at once.
    refuses_connections: bool,
    /// Number of times that all connections were closed; a connection is closed when this number changes.
    closures: u64,
    /// If set, the next connection on which bytes arrive is closed after this many of them, at most, were
    /// delivered.
    close_after: Option<usize>,
}

/// A relay to one target address. Dropping it closes its connections and its listener.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    is_stopped: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay that accepts connections on a loopback port and relays them to the address in `target`.
    /// That address may change, because a node that restarts listens at another one. While it is `None`, new
    /// connections are closed.
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

    /// Address at which the relay accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn update_faults(&self, update: impl FnOnce(&mut Faults)) {
        if let Ok(mut faults) = self.faults.lock() {
            update(&mut faults);
        }
    }

    /// Sets the delivery from the connecting side to the accepting side (`forward`), and back (`backward`),
    /// for all connections.
    pub fn set_delivery(&self, forward: Delivery, backward: Delivery) {
        self.update_faults(|faults| faults.deliveries = [forward, backward]);
    }

    /// Closes all connections. If `refuse_connections` is true, new ones are closed at once as well, until
    /// [`Relay::heal`] or the next call of this method.
    pub fn close_connections(&self, refuse_connections: bool) {
        self.update_faults(|faults| {
            faults.closures += 1;
            faults.refuses_connections = refuse_connections;
        });
    }

    /// Closes the connection on which bytes arrive next, after at most `bytes` of them were delivered.
    pub fn close_after(&self, bytes: usize) {
        self.update_faults(|faults| faults.close_after = Some(bytes));
    }

    /// Ends all faults; connections that were closed stay closed.
    pub fn heal(&self) {
        self.update_faults(|faults| *faults = Faults { closures: faults.closures, ..Faults::default() });
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

/// Delivers bytes in one direction until either side or a fault ends the connection. `direction` is the index
/// into [`Faults::deliveries`].
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
    let mut undelivered: Vec<(Instant, Vec<u8>)> = Vec::new();
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
                _ => undelivered.push((Instant::now(), chunk[..len].to_vec())),
            },
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
        let is_due = |received_at: Instant| match delivery {
            Delivery::Immediate => true,
            Delivery::Delayed(delay) => received_at.elapsed() >= delay,
            Delivery::Withheld | Delivery::Dropped => false,
        };
        let ready = undelivered.iter().take_while(|(received_at, _)| is_due(*received_at)).count();
        for (_, bytes) in undelivered.drain(..ready) {
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}
