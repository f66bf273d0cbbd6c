//! Fake of a PostgreSQL server, as far as the idempotency store needs one: protocol 3.0 with SCRAM-SHA-256
//! (RFC 5802, 7677), prepared statements, and one transaction up to each Sync message. The server recognises
//! the store's statements by their exact text and rejects all others.
//!
//! The server keeps every write that it has acknowledged, also across its own restarts. A write that it has
//! not acknowledged is kept or lost, depending on the injected fault. A stall lasts until the test releases
//! it, not for a fixed time; only benches make commits take time.

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

/// Longest message that the server accepts from a client, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Number of times that a restarted server tries to bind its port again, one millisecond apart.
const REBIND_ATTEMPTS: usize = 1_000;

/// Fault of a transaction that writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The transaction commits without a fault.
    None,
    /// The transaction stalls before its commit, until [`Postgres::release`].
    StallBefore,
    /// The transaction commits, and the server acknowledges the commit only after [`Postgres::release`].
    StallAfter,
    /// The connection is closed before the commit: the transaction is lost.
    BreakBefore,
    /// The transaction commits, and the connection is closed before the reply.
    BreakAfter,
    /// The transaction fails with this SQLSTATE code.
    Error(&'static str),
    /// The transaction commits, the reply is no message of the protocol, and the connection is closed.
    Garbage,
}

/// The fake server. Dropping it stops the server.
pub struct Postgres {
    shared: Arc<Shared>,
    address: SocketAddr,
    listener: Option<TcpListener>,
}

impl Postgres {
    /// Starts a server without tables on a loopback port. Every client has to authenticate with `password`.
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
        let stops = shared.database().stops;
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let mut database = shared.database();
                if database.stops != stops {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    database.connections.push(copy);
                }
                drop(database);
                let shared = shared.clone();
                thread::spawn(move || Client::new(shared, stream, stops).run());
            }
        });
        Ok(())
    }

    /// Address at which the server listens; it stays the same after a restart.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and the listener; transactions that were not committed are lost.
    pub fn stop(&mut self) {
        let mut database = self.shared.database();
        database.stops += 1;
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

    /// Listens again at the same address, with all writes that the server has acknowledged.
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

    /// Injects `faults` into the next transactions that write, one fault for each transaction.
    pub fn inject_faults(&self, faults: &[Fault]) {
        self.shared.database().faults.extend(faults);
    }

    /// Makes all transactions that write fail with this SQLSTATE code, until the code is set to `None`.
    pub fn fail_writes_with(&self, code: Option<&'static str>) {
        self.shared.database().forced_error = code;
    }

    /// Sets whether the server writes its replies to the socket one byte at a time.
    pub fn send_single_bytes(&self, on: bool) {
        self.shared.database().sends_single_bytes = on;
    }

    /// Sets how long each commit takes, to simulate the latency of a disk.
    pub fn set_commit_time(&self, time: Duration) {
        self.shared.database().commit_time = time;
    }

    /// Creates the tables if there are none, and sets the version that the schema table reports.
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

    /// Ends all stalls of the moment; later transactions may stall again.
    pub fn release(&self) {
        self.shared.database().released += 1;
        self.shared.changed.notify_all();
    }

    /// Waits until `holds` returns true for the row of a node's key; `holds` gets `None` while there is no
    /// row.
    pub fn await_row(&self, node: &str, key: &str, holds: impl Fn(Option<&StoredRow>) -> bool) {
        let key = (node.to_string(), key.to_string());
        let mut database = self.shared.database();
        while !holds(database.rows.get(&key)) {
            database = self.shared.wait(database);
        }
    }

    /// Row of a node's key, if there is one.
    pub fn row(&self, node: &str, key: &str) -> Option<StoredRow> {
        self.shared.database().rows.get(&(node.to_string(), key.to_string())).cloned()
    }

    /// Number of rows of all nodes.
    pub fn rows(&self) -> usize {
        self.shared.database().rows.len()
    }

    /// Number of transactions that wrote and were committed.
    pub fn commits(&self) -> u64 {
        self.shared.database().commits
    }

    /// Number of logins that were accepted, and number of those that were rejected.
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
