//! Passing connections to the process that takes over: their state by value, their sockets beside it.

use super::connection::{Connection, ConnectionState};
use super::{ConnectionId, ConnectionTable};
use crate::io::{Stream as _, System};

impl<S: System> ConnectionTable<S> {
    /// The state of all connections, for another process to go on with.
    pub fn snapshot(&self) -> Vec<ConnectionState> {
        self.slots.iter().flatten().map(|connection| connection.state.clone()).collect()
    }

    /// The socket of a connection, to be passed on.
    pub fn stream(&self, id: ConnectionId) -> Option<&S::Stream> {
        let connection = self.slots.get(id.index)?.as_ref()?;
        Some(&connection.stream).filter(|_| connection.state.id == id)
    }

    /// Goes on with a connection of another process, watched under [`ConnectionTable::next_key`]; returns its name here.
    pub fn restore(&mut self, stream: S::Stream, state: ConnectionState) -> ConnectionId {
        let id = self.next_id();
        let mut connection = Connection { stream, state: ConnectionState { id, ..state } };
        // Nothing is read from it before the table is resumed.
        let _ = connection.stream.watch(false, false);
        self.place(connection);
        // What is to be closed is found with the first flush.
        self.touch(id);
        id
    }

    /// Lets go of all connections and of the listener: another process has them.
    pub fn release_all(&mut self) {
        self.listener = None;
        self.slots.clear();
        self.free.clear();
        self.touched.clear();
    }
}

/// A write queue is passed on as the bytes that are still to be written.
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
