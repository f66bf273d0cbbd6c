//! A relay between two nodes on loopback, with a network's faults: cut in one direction or both, slow, held back, closed in the
//! middle of a message.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often a direction looks whether its way has changed.
const LOOK: Duration = Duration::from_millis(2);
/// Most bytes on their way.
const CHUNK: usize = 16 * 1024;

/// How one direction carries bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// At once.
    #[default]
    Open,
    /// This much later.
    Slow(Duration),
    /// Not at all, and later all of it, in order: a cut that both ends sit out.
    Held,
    /// Not at all: what was on its way is lost, and the connection ends once bytes are.
    Lost,
}

#[derive(Debug, Default)]
struct Faults {
    /// From who connects to who is connected to, and back.
    ways: [Way; 2],
    /// New connections are closed at once.
    shut: bool,
    /// Grows with each end of all connections.
    ends: u64,
    /// Bytes of the next piece that still pass before a connection ends, if it is to end in the middle of one.
    middle: Option<usize>,
}

/// A relay to one address. It ends with its value.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    over: Arc<AtomicBool>,
}

impl Relay {
    /// Relays what connects here to an address that may change, as a node that starts again has another; to none, before
    /// there is one.
    ///
    /// # Errors
    /// The system has no loopback port to listen on.
    pub fn to(target: Arc<Mutex<Option<SocketAddr>>>) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (faults, over) = (Arc::new(Mutex::new(Faults::default())), Arc::new(AtomicBool::new(false)));
        let shared = (faults.clone(), over.clone());
        thread::spawn(move || {
            let (faults, over) = shared;
            while let Ok((inner, _)) = listener.accept() {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let shut = faults.lock().is_ok_and(|f| f.shut);
                let target = target.lock().ok().and_then(|t| *t);
                let outer = target.filter(|_| !shut).and_then(|t| TcpStream::connect(t).ok());
                if let Some(outer) = outer {
                    pair(inner, outer, &faults, &over);
                }
            }
        });
        Ok(Relay { address, faults, over })
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

    /// From who connects to who is connected to, and back.
    pub fn set(&self, there: Way, back: Way) {
        self.change(|f| f.ways = [there, back]);
    }

    /// Ends all connections, and new ones at once if `shut`.
    pub fn close(&self, shut: bool) {
        self.change(|f| (f.ends, f.shut) = (f.ends + 1, shut));
    }

    /// Ends the connection that next carries something, after so many bytes of it.
    pub fn close_in_the_middle(&self, bytes: usize) {
        self.change(|f| f.middle = Some(bytes));
    }

    /// All is well again.
    pub fn heal(&self) {
        self.change(|f| *f = Faults { ends: f.ends, ..Faults::default() });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.close(true);
        // Wakes the thread that accepts, which then ends.
        let _ = TcpStream::connect(self.address);
    }
}

fn pair(inner: TcpStream, outer: TcpStream, faults: &Arc<Mutex<Faults>>, over: &Arc<AtomicBool>) {
    let copies = (inner.try_clone(), outer.try_clone());
    let (Ok(inner_too), Ok(outer_too)) = copies else { return };
    for (direction, from, to) in [(0, inner, outer_too), (1, outer, inner_too)] {
        let (faults, over) = (faults.clone(), over.clone());
        thread::spawn(move || {
            carry(direction, &from, &to, &faults, &over);
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}

/// Carries one direction until it ends.
fn carry(direction: usize, from: &TcpStream, to: &TcpStream, faults: &Mutex<Faults>, over: &AtomicBool) {
    let began = faults.lock().map_or(0, |f| f.ends);
    let _ = (from.set_read_timeout(Some(LOOK)), to.set_nodelay(true));
    let (mut from, mut to) = (from, to);
    let mut waiting: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut chunk = vec![0; CHUNK];
    while !over.load(Ordering::Relaxed) {
        let Ok((way, ends, middle)) = faults.lock().map(|f| (f.ways[direction], f.ends, f.middle)) else {
            return;
        };
        if ends != began {
            return;
        }
        match from.read(&mut chunk) {
            Ok(0) => return,
            Ok(n) => match (way, middle) {
                (Way::Lost, _) => return,
                (_, Some(most)) => {
                    if let Ok(mut faults) = faults.lock() {
                        faults.middle = None;
                    }
                    let _ = to.write_all(&chunk[..most.min(n)]);
                    return;
                }
                _ => waiting.push((Instant::now(), chunk[..n].to_vec())),
            },
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
        let due = |since: Instant| match way {
            Way::Open => true,
            Way::Slow(by) => since.elapsed() >= by,
            Way::Held => false,
            Way::Lost => false,
        };
        let ready = waiting.iter().take_while(|w| due(w.0)).count();
        for (_, bytes) in waiting.drain(..ready) {
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}
