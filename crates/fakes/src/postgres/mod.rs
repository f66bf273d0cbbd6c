//! A PostgreSQL server as far as the idempotency store needs one: protocol 3.0 with SCRAM-SHA-256 (RFC 5802, 7677),
//! prepared statements and one transaction up to each Sync. It knows the store's own statements by their text.
//!
//! It keeps what it has acknowledged, also across its own restarts; what it has not acknowledged is kept or lost, as the
//! injected faults say. A stall ends when the test releases it, not after a time; only a bench makes commits take time.

mod client;
mod database;
mod scram;

pub use database::StoredRow;

use client::Client;
use database::{Database, Shared};
use gaugestand_idempotency::postgres::SCHEMA_VERSION;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Longest message of a client, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// How often a restarted server tries to get its port back, a millisecond apart.
const REBIND_ATTEMPTS: usize = 1_000;

/// What goes wrong with a transaction that writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It stalls before the commit, until [`Postgres::release`].
    StallBefore,
    /// It commits and acknowledges that only after [`Postgres::release`].
    StallAfter,
    /// The connection breaks before the commit.
    BreakBefore,
    /// It commits, and the connection breaks before the reply.
    BreakAfter,
    /// It fails with this code.
    Error(&'static str),
    /// It commits, and the reply is garbage.
    Garbage,
}

/// The server.
pub struct Postgres {
    shared: Arc<Shared>,
    address: SocketAddr,
    listener: Option<TcpListener>,
}

impl Postgres {
    /// A server with no tables yet, which asks everybody for this password.
    ///
    /// # Errors
    /// The system has no loopback port to listen on.
    pub fn start(password: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let database = Database { version: SCHEMA_VERSION, ..Database::default() };
        let shared =
            Shared { database: Mutex::new(database), changed: Condvar::new(), password: password.into() };
        let mut server = Postgres { shared: Arc::new(shared), address, listener: None };
        server.serve(listener)?;
        Ok(server)
    }

    fn serve(&mut self, listener: TcpListener) -> io::Result<()> {
        self.listener = Some(listener.try_clone()?);
        let shared = self.shared.clone();
        let run = shared.database().run;
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let mut database = shared.database();
                if database.run != run {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    database.connections.push(copy);
                }
                drop(database);
                let shared = shared.clone();
                thread::spawn(move || Client::new(shared, stream, run).run());
            }
        });
        Ok(())
    }

    /// Where it listens, also after a restart.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and the listener; what was not committed is lost.
    pub fn stop(&mut self) {
        let mut database = self.shared.database();
        database.run += 1;
        for connection in database.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(database);
        self.shared.changed.notify_all();
        if self.listener.take().is_some() {
            // Wakes the accepting thread, which then ends and releases the port.
            let _ = TcpStream::connect(self.address);
        }
    }

    /// Listens again at the same address, with all that it has acknowledged.
    ///
    /// # Errors
    /// [`io::ErrorKind::AddrInUse`] if the port cannot be bound again after several attempts; the server
    /// stays stopped.
    pub fn resume(&mut self) -> io::Result<()> {
        // The accepting thread may need a moment to release the port.
        let listener = (0..REBIND_ATTEMPTS).find_map(|_| {
            thread::yield_now();
            TcpListener::bind(self.address).ok().or_else(|| {
                thread::sleep(Duration::from_millis(1));
                None
            })
        });
        self.serve(listener.ok_or(io::ErrorKind::AddrInUse)?)
    }

    /// Injects faults into the next transactions that write, one each.
    pub fn inject_faults(&self, faults: &[Fault]) {
        self.shared.database().faults.extend(faults);
    }

    /// Fails all transactions that write with this code, until it is set to `None`.
    pub fn fail_writes_with(&self, code: Option<&'static str>) {
        self.shared.database().failing = code;
    }

    /// Replies go out in pieces of one byte.
    pub fn send_single_bytes(&self, on: bool) {
        self.shared.database().sends_single_bytes = on;
    }

    /// Sets how long each commit takes, as on a disk.
    pub fn set_commit_time(&self, time: Duration) {
        self.shared.database().commit_time = time;
    }

    /// Sets the version that the schema table reports.
    pub fn set_version(&self, version: i32) {
        let mut database = self.shared.database();
        database.version = version;
        database.has_tables = true;
    }

    /// Waits until a transaction stalls.
    pub fn await_stall(&self) {
        let mut database = self.shared.database();
        while database.stalled == 0 {
            database = self.shared.wait(database);
        }
    }

    /// Ends the present stalls.
    pub fn release(&self) {
        self.shared.database().released += 1;
        self.shared.changed.notify_all();
    }

    /// Waits until the row of a key fulfils a condition.
    pub fn await_row(&self, node: &str, key: &str, holds: impl Fn(Option<&StoredRow>) -> bool) {
        let key = (node.to_string(), key.to_string());
        let mut database = self.shared.database();
        while !holds(database.rows.get(&key)) {
            database = self.shared.wait(database);
        }
    }

    /// The row of a key.
    pub fn row(&self, node: &str, key: &str) -> Option<StoredRow> {
        self.shared.database().rows.get(&(node.to_string(), key.to_string())).cloned()
    }

    /// Number of rows.
    pub fn rows(&self) -> usize {
        self.shared.database().rows.len()
    }

    /// Transactions that wrote and were committed.
    pub fn commits(&self) -> u64 {
        self.shared.database().commits
    }

    /// Number of logins that were accepted, and that were rejected.
    pub fn logins(&self) -> (u64, u64) {
        let database = self.shared.database();
        (database.logins, database.rejected_logins)
    }
}

impl Drop for Postgres {
    fn drop(&mut self) {
        self.stop();
    }
}
