//! How a connection ends without losing its last answer.
//!
//! Closing a socket over bytes that were not read sends a reset, which may overtake the answer that was written last: the
//! gateway then sees a failure where it was answered. So the write side is shut first, what still comes is read and dropped
//! until the other side ends too, and only then is the socket closed. Both the time and the bytes of this are bounded.

use super::connection::Connection;
use super::{ConnectionId, ConnectionTable, OpenRequest};
use crate::io::{Stream, System};
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};
use std::{io, mem};

/// After the write side is shut: how long what still comes is read and dropped. Several round trips to a gateway that is
/// alive; one that is not must not keep its descriptor.
pub(super) const LINGERING_CLOSE_TIMEOUT: Micros = Micros::millis(500);
/// Most bytes that are read and dropped. A client that goes on sending is closed at the end of the time, unread.
pub(super) const MAX_DROPPED_BYTES: usize = 64 * 1024;

/// A lingering close under way.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LingeringClose {
    /// The connection is closed then at the latest.
    #[serde(rename = "until")]
    deadline: Timestamp,
    /// Bytes that are still read and dropped.
    #[serde(rename = "left")]
    pub(super) remaining_bytes: usize,
}

impl LingeringClose {
    fn new(now: Timestamp) -> Self {
        LingeringClose { deadline: now.plus(LINGERING_CLOSE_TIMEOUT), remaining_bytes: MAX_DROPPED_BYTES }
    }

    pub(super) fn wants_input(&self) -> bool {
        self.remaining_bytes > 0
    }

    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        now >= self.deadline
    }
}

impl<S: System> ConnectionTable<S> {
    /// Ends a connection on which all was written. Returns the attempts that were owed an answer on it.
    pub(super) fn begin_lingering_close(&mut self, now: Timestamp, id: ConnectionId) -> Vec<RequestId> {
        let Some(connection) = self.get(id) else { return Vec::new() };
        if connection.is_closing() {
            return Vec::new();
        }
        // Where the other side has ended nothing can be unread, and where the socket fails nothing can be saved.
        if connection.state.peer_ended
            || connection.stream.shut_writing().is_err()
            || connection.stream.watch(true, false).is_err()
        {
            return self.close(id);
        }
        let state = &mut connection.state;
        state.lingering_close = Some(LingeringClose::new(now));
        // Nothing that comes from here on is processed: no answer could go out.
        state.reading_stopped = true;
        state.partial_since = None;
        state.close_delayed_until = None;
        state.partial_record = Vec::new();
        let open = mem::take(&mut state.open_requests);
        open.into_values().filter_map(OpenRequest::admitted).collect()
    }

    /// Ends all connections with nothing left to write.
    pub fn close_all(&mut self, now: Timestamp) {
        for id in self.ids() {
            if self.get(id).is_some_and(|connection| connection.state.output.is_empty()) {
                self.begin_lingering_close(now, id);
            }
        }
    }

    /// Something came on a connection whose write side is shut.
    pub fn drop_input(&mut self, id: ConnectionId, buffer: &mut [u8]) {
        let ended = self.get(id).is_none_or(|connection| connection.drop_input(buffer).is_err());
        if ended {
            self.close(id);
        }
    }
}

impl<T: Stream> Connection<T> {
    /// Reads and drops what is there; an error once there is nothing to wait for.
    fn drop_input(&mut self, buffer: &mut [u8]) -> io::Result<()> {
        let Some(lingering_close) = &mut self.state.lingering_close else { return Ok(()) };
        if lingering_close.remaining_bytes == 0 {
            // Nothing is watched for: it can only have been reset, or have ended.
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        match self.stream.read(buffer) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(length) => {
                lingering_close.remaining_bytes = lingering_close.remaining_bytes.saturating_sub(length);
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
            Err(error) => return Err(error),
        }
        let reading = self.wants_input();
        self.stream.watch(reading, false)
    }
}
