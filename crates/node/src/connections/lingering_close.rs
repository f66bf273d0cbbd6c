//! Lingering close: ends a connection without losing its last answer.
//!
//! Closing a socket that has unread input sends a reset, which may overtake the answer that was written last:
//! the gateway then sees a failure instead of the answer. So the write side is shut first, further input is
//! read and dropped until the other side ends too, and only then is the socket closed. Both the time and the
//! bytes that are dropped are bounded.

use super::connection::Connection;
use super::{ConnectionId, ConnectionTable, OpenRequest};
use crate::io::{Stream, System};
use gaugestand_admission::RequestId;
use gaugestand_admission::time::{Micros, Timestamp};
use serde::{Deserialize, Serialize};
use std::{io, mem};

/// How long input is read and dropped after the write side was shut: several round trips to a gateway that is
/// alive. A gateway that is not alive must not keep its descriptor for longer.
pub(super) const LINGERING_CLOSE_TIMEOUT: Micros = Micros::millis(500);
/// Maximum number of bytes that are read and dropped in a lingering close. The connection of a client that
/// sends more is no longer read and is closed after [`LINGERING_CLOSE_TIMEOUT`].
pub(super) const MAX_DROPPED_BYTES: usize = 64 * 1024;

/// The state of a connection's lingering close.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LingeringClose {
    /// The time at which the connection is closed at the latest.
    #[serde(rename = "until")]
    deadline: Timestamp,
    /// How many more bytes are read and dropped; 0 once reading has stopped.
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
    /// Begins the lingering close of a connection whose output is written. Returns the attempts whose answer
    /// was pending on it.
    pub(super) fn begin_lingering_close(&mut self, now: Timestamp, id: ConnectionId) -> Vec<RequestId> {
        let Some(connection) = self.get(id) else { return Vec::new() };
        if connection.is_closing() {
            return Vec::new();
        }
        // The socket is closed at once if the other side has ended, as no unread input is left then, or if
        // the socket fails, as the last answer is then lost in any case.
        if connection.state.peer_ended
            || connection.stream.shut_writing().is_err()
            || connection.stream.watch(true, false).is_err()
        {
            return self.close(id);
        }
        let state = &mut connection.state;
        state.lingering_close = Some(LingeringClose::new(now));
        // Later input is not processed, as no answer could be sent.
        state.reading_stopped = true;
        state.partial_since = None;
        state.close_delayed_until = None;
        state.partial_record = Vec::new();
        let open = mem::take(&mut state.open_requests);
        open.into_values().filter_map(OpenRequest::admitted).collect()
    }

    /// Begins the lingering close of all connections that have nothing left to write.
    pub fn close_all(&mut self, now: Timestamp) {
        for id in self.ids() {
            if self.get(id).is_some_and(|connection| connection.state.output.is_empty()) {
                self.begin_lingering_close(now, id);
            }
        }
    }

    /// Reads and drops input of a connection in its lingering close; closes it once the other side has ended.
    pub fn drop_input(&mut self, id: ConnectionId, buffer: &mut [u8]) {
        let ended = self.get(id).is_none_or(|connection| connection.drop_input(buffer).is_err());
        if ended {
            self.close(id);
        }
    }
}

impl<T: Stream> Connection<T> {
    /// Reads and drops the input that is there. An error means that the other side has ended or the socket
    /// failed: the connection can be closed.
    fn drop_input(&mut self, buffer: &mut [u8]) -> io::Result<()> {
        let Some(lingering_close) = &mut self.state.lingering_close else { return Ok(()) };
        if lingering_close.remaining_bytes == 0 {
            // The connection is not watched for input any more, so an event means that it was reset or has
            // ended.
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
