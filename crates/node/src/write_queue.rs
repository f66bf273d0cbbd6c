//! A queue of bytes to be written to one socket by vectored writes.
//!
//! Shared bytes, such as the results of runs, are queued by reference and not copied. The queue has no bound
//! of its own: its owner checks [`WriteQueue::len`].

use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};
use std::ops::Range;
use std::rc::Rc;

/// Maximum number of pieces in one vectored write: enough for all answers that one iteration of the event
/// loop queues for a connection, and small enough for an array on the stack.
const MAX_IO_SLICES: usize = 64;
/// Maximum length, in bytes, of a piece to which further owned bytes are appended. Each piece takes memory of
/// its own, which is many times the length of the shortest records.
const MAX_JOINED_BYTES: usize = 4096;

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

    /// Bytes of memory that the piece takes. Shared bytes count in full, as this may be the last reference.
    fn memory_bytes(&self) -> usize {
        let buffer_bytes = match self {
            Piece::Owned(bytes) => bytes.capacity(),
            Piece::Shared(bytes, _) => bytes.len(),
        };
        size_of::<Piece>() + buffer_bytes
    }
}

/// The bytes that wait to be written to one socket, in the order in which they are sent.
#[derive(Clone, Debug, Default)]
pub struct WriteQueue {
    pieces: VecDeque<Piece>,
    /// Number of bytes of the first piece that have been written.
    written_of_first: usize,
    /// Number of bytes that wait to be written, over all pieces.
    len: usize,
}

impl WriteQueue {
    /// Number of bytes that wait to be written.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no bytes wait to be written.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes of memory that the queue takes.
    pub fn memory_bytes(&self) -> usize {
        self.pieces.iter().map(Piece::memory_bytes).sum()
    }

    /// Copies all bytes that wait to be written into one vector.
    pub fn bytes(&self) -> Vec<u8> {
        let all: Vec<u8> = self.pieces.iter().flat_map(|piece| piece.bytes()).copied().collect();
        all.get(self.written_of_first..).unwrap_or_default().to_vec()
    }

    /// Appends bytes to the queue. Short pieces are joined.
    pub fn push(&mut self, bytes: impl Into<Vec<u8>>) {
        let bytes = bytes.into();
        match self.pieces.back_mut() {
            Some(Piece::Owned(last)) if last.len() + bytes.len() <= MAX_JOINED_BYTES => {
                self.len += bytes.len();
                last.extend(bytes);
            }
            _ => self.push_piece(Piece::Owned(bytes)),
        }
    }

    /// Appends the part `range` of shared bytes to the queue, without a copy.
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

    /// Writes as many bytes as `to` accepts now, and returns their number. After an error the socket cannot
    /// be used any more.
    ///
    /// # Errors
    /// The socket reports an error other than [`io::ErrorKind::WouldBlock`] and
    /// [`io::ErrorKind::Interrupted`], or accepts no bytes at all. How many bytes the other side received is
    /// unknown.
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

    /// Removes `written` bytes from the front of the queue, and the pieces that are completely written.
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

#[cfg(test)]
mod tests;
