//! Connections of gateways: accepting, buffering, deadlines and closing, within the node's descriptors and memory.
//!
//! - `table`: the connections by poller key and by name; what is queued is written here
//! - `listener`: accepting within the descriptor budget, and making room
//! - `connection`: the state of one connection, which is also the form in which it is handed over
//! - `idle`: what is closed because nothing, or not enough, happens on it
//! - `lingering_close`: how a connection ends without losing its last answer
//! - `snapshot`: passing connections to another process
//!
//! Guarantees: an answer that was queued is written, or its connection is closed; a connection is never closed on a
//! request that has been sent but not read, unless its descriptor is needed or the other side breaks a bound; every buffer and
//! every wait has a bound. It knows FastCGI's framing only as far as it counts bytes: requests are the event loop's.

mod connection;
mod idle;
mod lingering_close;
mod listener;
mod snapshot;
mod table;

use super::fastcgi;
use super::request::IncomingRequest;
use gaugestand_admission::RequestId;
use gaugestand_admission::time::Timestamp;
use serde::{Deserialize, Serialize};

pub use connection::{Connection, ConnectionState};
pub use idle::Expired;
pub use table::ConnectionTable;

/// Most bytes read from one connection in one go, so that none keeps the others waiting.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Room for a chunk behind the part of a record that was left of the chunk before.
const READ_BUFFER_BYTES: usize = READ_CHUNK_BYTES + fastcgi::MAX_RECORD_BYTES;
/// Most open requests on a connection, as FCGI_MAX_REQS announces. Bounds what one gateway can hold in memory.
pub const MAX_OPEN_REQUESTS: usize = 32;

/// Names a connection. Poller keys are used again: a later connection under the same key has another serial number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConnectionId {
    /// Index in the table.
    #[serde(rename = "place")]
    index: usize,
    serial: u64,
}

impl ConnectionId {
    /// A connection that was closed.
    pub const GONE: ConnectionId = ConnectionId { index: usize::MAX, serial: 0 };
}

/// Names an open request of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRef {
    /// The connection it came on.
    pub connection: ConnectionId,
    /// Its FastCGI request id there.
    pub fcgi_id: u16,
}

/// How far an open request of a connection has come, and whether the connection is kept after its answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OpenRequest {
    /// Its records come in, since then.
    #[serde(rename = "Incoming")]
    Incoming(Box<IncomingRequest>, bool, Timestamp),
    /// Read and admitted; the answer is owed.
    #[serde(rename = "Owed")]
    Admitted(RequestId, bool),
    /// A health check that waits for the kernel.
    #[serde(rename = "Check")]
    HealthCheck(bool),
}

impl OpenRequest {
    /// Whether the connection is kept after this request.
    pub fn keeps_connection(&self) -> bool {
        match self {
            OpenRequest::Incoming(_, keeps, _)
            | OpenRequest::Admitted(_, keeps)
            | OpenRequest::HealthCheck(keeps) => *keeps,
        }
    }

    /// The attempt that is owed an answer, if it was admitted.
    fn admitted(self) -> Option<RequestId> {
        if let OpenRequest::Admitted(id, _) = self { Some(id) } else { None }
    }
}

/// A buffer for [`Connection::read`].
pub fn read_buffer() -> Vec<u8> {
    vec![0; READ_BUFFER_BYTES]
}

#[cfg(test)]
mod tests;
