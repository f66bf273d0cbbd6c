//! Connections of gateways: accepting, buffering, deadlines and closing, within the node's descriptors and
//! memory.
//!
//! - `table`: the connections by poller key and by id; queued output is written here
//! - `listener`: accepting within the descriptor budget, and evicting connections at its limit
//! - `connection`: the state of one connection, which is also the form in which it is handed over
//! - `idle`: closing connections on which nothing, or not enough, happens
//! - `open_requests`: the open requests of a connection, and references to them
//! - `lingering_close`: ending a connection without losing its last answer
//! - `snapshot`: handing connections over to another process
//!
//! Guarantees: an answer that was queued is written, or its connection is closed; a connection on which a
//! request has been sent but not read is not closed, unless its descriptor is needed or the other side
//! exceeds a bound; every buffer and every wait has a bound. This module knows FastCGI's framing only as far
//! as it counts bytes; the event loop interprets requests.

mod connection;
mod idle;
mod lingering_close;
mod listener;
mod open_requests;
mod snapshot;
mod table;

use super::fastcgi;
use super::request::IncomingRequest;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::Timestamp;
use serde::{Deserialize, Serialize};

pub use connection::{Connection, ConnectionState};
pub use idle::Expired;
pub use open_requests::{OpenRequests, RequestRef};
pub use table::{ConnectionMemory, ConnectionTable};

/// Maximum number of bytes that are read from one connection at a time, so that one connection does not delay
/// the others.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that are read from all connections together in one iteration of the event loop, so
/// that timers and other sources do not wait for long while many connections send short records.
const READ_BYTES_PER_ITERATION: usize = 128 * 1024;
/// Smallest share of that which a ready connection gets, in bytes: most requests need few such reads.
const MIN_READ_BYTES: usize = 512;
/// Size of the read buffer, in bytes: a chunk, and before it the incomplete record that the previous chunk
/// ended with.
const READ_BUFFER_BYTES: usize = READ_CHUNK_BYTES + fastcgi::MAX_RECORD_BYTES;
/// Maximum number of open requests on one connection, which FCGI_MAX_REQS tells to gateways. Bounds the
/// memory that one gateway can use.
pub const MAX_OPEN_REQUESTS: usize = 32;

/// Memory that an entry in the map of a connection's open requests takes, in bytes: the map's nodes are at
/// least half full.
const OPEN_REQUEST_BYTES: usize = 2 * (size_of::<OpenRequest>() + open_requests::KEY_BYTES);

/// Identifies a connection. A slot of the table, and with it a poller key, is reused after a connection was
/// closed; a later connection in the same slot has another serial number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConnectionId {
    /// Index of the connection's slot in the table.
    #[serde(rename = "place")]
    index: usize,
    serial: u64,
}

impl ConnectionId {
    /// An id that no connection in a table has; stands for a connection that was closed.
    pub const GONE: ConnectionId = ConnectionId { index: usize::MAX, serial: 0 };
}

/// The state of an open request. The `bool` of each variant tells whether the connection is kept after the
/// answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OpenRequest {
    /// Not all records of the request have arrived; the first was read at the given time.
    #[serde(rename = "Incoming")]
    Incoming(Box<IncomingRequest>, bool, Timestamp),
    /// The request was read and the engine has taken it; its answer is pending.
    #[serde(rename = "Owed")]
    Admitted(RequestId, bool),
    /// The request is a deep health check that waits for the kernel.
    #[serde(rename = "Check")]
    HealthCheck(bool),
}

impl OpenRequest {
    /// Whether the connection is kept after the answer to this request, as the gateway asked for in the
    /// request's first record.
    pub fn keeps_connection(&self) -> bool {
        match self {
            OpenRequest::Incoming(_, keeps, _)
            | OpenRequest::Admitted(_, keeps)
            | OpenRequest::HealthCheck(keeps) => *keeps,
        }
    }

    /// Bytes of memory that the request takes in the table of connections. What is kept of an admitted
    /// attempt is counted by its owner.
    fn memory_bytes(&self) -> usize {
        let incoming = if let OpenRequest::Incoming(request, ..) = self { request.memory_bytes() } else { 0 };
        OPEN_REQUEST_BYTES + incoming
    }

    /// The id of the attempt whose answer is pending; none if the engine has not taken the request.
    fn admitted(self) -> Option<RequestId> {
        if let OpenRequest::Admitted(id, _) = self { Some(id) } else { None }
    }
}

/// Number of bytes that are read from each connection in an iteration in which `ready` sources are ready.
pub fn read_limit(ready: usize) -> usize {
    (READ_BYTES_PER_ITERATION / ready.max(1)).clamp(MIN_READ_BYTES, READ_CHUNK_BYTES)
}

/// Allocates a buffer that is large enough for [`Connection::read`].
pub fn read_buffer() -> Vec<u8> {
    vec![0; READ_BUFFER_BYTES]
}

#[cfg(test)]
mod tests;
