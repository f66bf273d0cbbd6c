//! Tests of the write queue.

use super::{MAX_JOINED_BYTES, WriteQueue};
use std::rc::Rc;

/// Guards against short records, such as the answers to unknown ones, that take many times their length.
#[test]
fn short_pieces_are_joined_and_keep_their_order() {
    let mut queue = WriteQueue::default();
    let mut expected: Vec<u8> = Vec::new();
    for number in 0..2_000_u16 {
        let record: Vec<u8> = [number.to_be_bytes(); 4].concat();
        expected.extend(&record);
        queue.push(record);
    }
    let shared: Rc<[u8]> = Rc::from(&b"shared"[..]);
    queue.push_shared(shared, 0..6);
    queue.push(b"end".to_vec());
    expected.extend(b"sharedend");
    assert_eq!(queue.bytes(), expected);
    assert_eq!(queue.len(), expected.len());
    assert!(queue.memory_bytes() <= 2 * (expected.len() + MAX_JOINED_BYTES), "{}", queue.memory_bytes());
    let mut written = Vec::new();
    assert_eq!(queue.write(&mut written).ok(), Some(expected.len()));
    assert_eq!(written, expected);
    assert!(queue.is_empty());
}
