//! Clients that connect to the node, send nothing, and connect again when the node closes their connection.
//! They may send some bytes on their first connections, which have then arrived when the node accepts these.
//!
//! They connect without any delay, and thus also while an iteration of the node's event loop is under way. A
//! node that accepts until nobody waits would never come to the end of its iteration; the network ends such an
//! iteration after [`MAX_ACCEPTS_PER_ITERATION`] and reports it. It also reports an iteration that reads more
//! than [`MAX_READ_PER_ITERATION`].

use super::{Backlog, Endpoint, Network, Side};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

/// Number of connections that the node may accept in one iteration of its event loop.
pub const MAX_ACCEPTS_PER_ITERATION: usize = 1_024;

/// Number of bytes that the node may read in one iteration of its event loop, on all connections together.
pub const MAX_READ_PER_ITERATION: usize = 256 * 1024;

/// The idle clients of a world, and the node's accepts and reads in the present iteration.
#[derive(Debug, Default)]
pub(super) struct IdleClients {
    /// Address of the node, and the number of clients; none if the world has no idle clients.
    target: Option<(SocketAddr, usize)>,
    /// Numbers of the connections that the clients have open.
    connections: BTreeSet<usize>,
    /// Number of connections that the node has accepted in the present iteration, of all clients.
    accepts: usize,
    /// Number of bytes that the node has read in the present iteration, on all connections.
    bytes_read: usize,
}

impl Network {
    /// Adds clients that connect to the node at `to` as soon as it listens there. Those that can connect at
    /// once have sent `input`.
    pub fn add_idle_clients(&mut self, to: SocketAddr, count: usize, input: &[u8]) {
        self.idle_clients.target = Some((to, count));
        self.connect_idle_clients();
        for connection in &self.idle_clients.connections {
            if let Some(endpoint) = self.endpoints.get_mut(&Side::accepting(*connection)) {
                endpoint.inbox.extend(input);
            }
        }
    }

    /// Counts bytes that the node reads.
    pub(super) fn count_read(&mut self, bytes: usize) {
        self.idle_clients.bytes_read += bytes;
    }

    /// Whether the node has read more bytes in one iteration than it may.
    pub fn has_read_too_much(&self) -> bool {
        self.idle_clients.bytes_read > MAX_READ_PER_ITERATION
    }

    /// Records that the next iteration of the node's event loop begins.
    pub fn begin_iteration(&mut self) {
        self.idle_clients.accepts = 0;
        self.idle_clients.bytes_read = 0;
    }

    /// Whether the node has tried to accept more connections in one iteration than it may.
    pub fn has_accepted_too_many(&self) -> bool {
        self.idle_clients.accepts > MAX_ACCEPTS_PER_ITERATION
    }

    /// Counts an accept of the node; an error above the limit, so that the iteration ends.
    pub(super) fn count_accept(&mut self) -> io::Result<()> {
        self.idle_clients.accepts += 1;
        if self.has_accepted_too_many() { Err(io::ErrorKind::WouldBlock.into()) } else { Ok(()) }
    }

    /// Connects the clients that have no connection, if the node listens.
    pub(super) fn connect_idle_clients(&mut self) {
        let Some((to, count)) = self.idle_clients.target else { return };
        let Some(backlog) = self.listeners.get_mut(&to) else { return };
        while self.idle_clients.connections.len() < count {
            let connection = self.next_connection;
            self.next_connection += 1;
            self.idle_clients.connections.insert(connection);
            connect(&mut self.endpoints, backlog, connection);
        }
    }

    /// Whether the other side of a connection learns of its close without a packet: the idle clients do.
    pub(super) fn is_noticed_at_once(&self, side: Side) -> bool {
        side.accepting && self.idle_clients.connections.contains(&side.connection)
    }

    /// Handles the close of a side of a connection: an idle client that has lost its connection connects again.
    pub(super) fn on_side_closed(&mut self, side: Side) {
        if self.idle_clients.connections.remove(&side.connection) {
            self.endpoints.remove(&side);
            if side.accepting {
                self.endpoints.remove(&side.peer());
            }
            self.connect_idle_clients();
        }
    }

    /// Handles the arrival of an end or a reset at a side: an idle client closes its connection.
    pub(super) fn on_end_arrived(&mut self, side: Side) {
        if !side.accepting && self.idle_clients.connections.contains(&side.connection) {
            self.close(side, false);
        }
    }
}

fn connect(endpoints: &mut BTreeMap<Side, Endpoint>, backlog: &mut Backlog, connection: usize) {
    for accepting in [false, true] {
        let endpoint = Endpoint { is_open: true, connected: Some(true), ..Endpoint::default() };
        endpoints.insert(Side { connection, accepting }, endpoint);
    }
    backlog.waiting.push_back(connection);
}
