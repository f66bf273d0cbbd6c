//! Bytes that wait to be written to one socket, and gathered writes of them.
//!
//! It copies nothing that is shared: results of runs are queued by reference. It has no bound of its own: its owner
//! checks [`WriteQueue::len`].

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};
use std::ops::Range;
use std::rc::Rc;

/// Most pieces in one gathered write: enough for all answers of an iteration on one connection, and a small array.
const MAX_IO_SLICES: usize = 64;

#[derive(Clone, Debug)]
enum Piece {
    Owned(Vec<u8>),
    Shared(Rc<[u8]>, Range<usize>),
}

impl Piece {
    fn bytes(&self) -> &[u8] {
        match self {
            Piece::Owned(bytes) => bytes,
            Piece::Shared(bytes, range) => bytes.get(range.clone()).unwrap_or_default(),
        }
    }
}

/// What waits to be written to one socket.
#[derive(Clone, Debug, Default)]
pub struct WriteQueue {
    pieces: VecDeque<Piece>,
    /// Bytes of the first piece that are written.
    written_of_first: usize,
    /// Bytes that wait, in all pieces.
    len: usize,
}

impl WriteQueue {
    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All bytes that wait, in one piece.
    pub fn bytes(&self) -> Vec<u8> {
        let all: Vec<u8> = self.pieces.iter().flat_map(|piece| piece.bytes()).copied().collect();
        all.get(self.written_of_first..).unwrap_or_default().to_vec()
    }

    /// Queues bytes.
    pub fn push(&mut self, bytes: impl Into<Vec<u8>>) {
        self.push_piece(Piece::Owned(bytes.into()));
    }

    /// Queues a part of shared bytes without a copy.
    pub fn push_shared(&mut self, bytes: Rc<[u8]>, range: Range<usize>) {
        self.push_piece(Piece::Shared(bytes, range));
    }

    fn push_piece(&mut self, piece: Piece) {
        let len = piece.bytes().len();
        if len > 0 {
            self.len += len;
            self.pieces.push_back(piece);
        }
    }

    /// Writes what can be written now; returns how much that was. An error means that the socket is of no more use.
    ///
    /// # Errors
    /// The socket reports an error other than [`io::ErrorKind::WouldBlock`] and
    /// [`io::ErrorKind::Interrupted`], or takes no bytes at all. How much the other side received is unknown.
    pub fn write(&mut self, to: &mut impl Write) -> io::Result<usize> {
        let mut total = 0;
        while self.len > 0 {
            let mut slices = [IoSlice::new(&[]); MAX_IO_SLICES];
            let mut count = 0;
            for (slice, piece) in slices.iter_mut().zip(&self.pieces) {
                let skipped = if count == 0 { self.written_of_first } else { 0 };
                *slice = IoSlice::new(piece.bytes().get(skipped..).unwrap_or_default());
                count += 1;
            }
            match to.write_vectored(&slices[..count]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.advance(written);
                    total += written;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(total)
    }

    /// Drops the pieces that are written.
    fn advance(&mut self, written: usize) {
        self.len -= written;
        self.written_of_first += written;
        while let Some(first) = self.pieces.front().map(|piece| piece.bytes().len())
            && first <= self.written_of_first
        {
            self.written_of_first -= first;
            self.pieces.pop_front();
        }
    }
}
