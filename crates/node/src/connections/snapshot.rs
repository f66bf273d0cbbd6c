//! Handing connections over to the successor process: their state is sent by value, their sockets along with
//! it.

use super::connection::{Connection, ConnectionState};
use super::{ConnectionId, ConnectionTable};
use crate::io::{Stream as _, System};

impl<S: System> ConnectionTable<S> {
    /// The state of all connections, with which a successor continues to serve them.
    pub fn snapshot(&self) -> Vec<ConnectionState> {
        self.slots.iter().flatten().map(|connection| connection.state.clone()).collect()
    }

    /// The socket of a connection, to be handed over; none if the connection is not in the table.
    pub fn stream(&self, id: ConnectionId) -> Option<&S::Stream> {
        let connection = self.slots.get(id.index)?.as_ref()?;
        Some(&connection.stream).filter(|_| connection.state.id == id)
    }

    /// Adds a connection that another process has handed over, watched under [`ConnectionTable::next_key`];
    /// returns its id in this process.
    pub fn restore(&mut self, stream: S::Stream, state: ConnectionState) -> ConnectionId {
        let id = self.next_id();
        let mut connection = Connection { stream, state: ConnectionState { id, ..state } };
        // The connection is not read before the table is resumed.
        let _ = connection.stream.watch(false, false);
        self.place(connection);
        // The first flush closes the connection if it was about to be closed.
        self.touch(id);
        id
    }

    /// Drops this process's sockets of the listener and of all connections; another process has taken them
    /// over.
    pub fn release_all(&mut self) {
        self.listener = None;
        self.slots.clear();
        self.free.clear();
        self.touched.clear();
    }
}

/// Serialises a write queue as the bytes that are still to be written.
pub(super) mod unwritten_bytes {
    use crate::write_queue::WriteQueue;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(in crate::connections) fn serialize<S: Serializer>(
        queue: &WriteQueue,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        queue.bytes().serialize(serializer)
    }

    pub(in crate::connections) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<WriteQueue, D::Error> {
        let mut queue = WriteQueue::default();
        queue.push(Vec::<u8>::deserialize(deserializer)?);
        Ok(queue)
    }
}
