//! Frames that two processes of a node send each other: complete, truncated and damaged frames, and their
//! names in CBOR.

use gaugestand_admission::RequestId;
use gaugestand_admission::engine::CallOutcome;
use gaugestand_admission::time::Micros;
use gaugestand_node::handover_link::{DecodedFrame, Frame, decode};

// The predecessor may die while it writes a frame, or the bytes may be damaged. If the successor took such a
// frame for another one, it would continue from a state that never existed; if it panicked, the node would be
// left without a process.
#[test]
fn truncated_frames_are_incomplete_and_damaged_frames_do_not_panic() {
    let sent = Frame::CallEnded(RequestId(7), CallOutcome::Succeeded, Some(vec![0, 255]), Micros(9));
    let mut bytes = vec![0; 4];
    ciborium::into_writer(&sent, &mut bytes).expect("encoding a frame in CBOR");
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    for cut in 0..bytes.len() {
        assert!(matches!(decode(&bytes[..cut]), Ok(None)), "frame cut after {cut} bytes");
    }
    let decoded = decode(&[&bytes[..], b"next"].concat());
    let Ok(Some(DecodedFrame {
        frame: Frame::CallEnded(id, CallOutcome::Succeeded, Some(reply), latency),
        consumed,
    })) = decoded
    else {
        panic!("decoded another frame than was encoded: {decoded:?}")
    };
    assert_eq!((consumed, id, reply, latency), (bytes.len(), RequestId(7), vec![0, 255], Micros(9)));
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let mut damaged = bytes.clone();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..damaged.len());
            damaged[at] = rng.u8(..);
        }
        // A damaged frame may still decode, but never takes more bytes than there are, and decoding does not
        // panic.
        if let Ok(Some(decoded)) = decode(&damaged) {
            assert!(decoded.consumed <= damaged.len());
        }
    }
    assert!(decode(&[255, 255, 255, 255, 0]).is_err());
}

/// Encodes a frame in CBOR, without the length field.
fn encoded(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("encoding a frame in CBOR");
    bytes
}

// A process may hand over to one of another version of the program, newer or older. The successor's frames
// carry names that every version knows; under another name the predecessor would not learn of the take-over,
// and would reclaim the lock.
#[test]
fn successor_and_call_frames_keep_their_names_in_cbor() {
    let text = |word: &str| [&[0x60 + word.len() as u8], word.as_bytes()].concat();
    let map = |key: &str, value: &[u8]| [&[0xa1][..], &text(key), value].concat();
    assert_eq!(encoded(&Frame::TakenOver), text("Taken"));
    assert_eq!(encoded(&Frame::DropCall(RequestId(7))), map("DropCall", &[7]));
    let outcomes = [
        (CallOutcome::Succeeded, "Good"),
        (CallOutcome::Overloaded, "Busy"),
        (CallOutcome::Unreachable, "Unreachable"),
        (CallOutcome::Failed, "Failed"),
        (CallOutcome::TimedOut, "Late"),
        (CallOutcome::Broken, "Broken"),
    ];
    for (outcome, word) in outcomes {
        let frame = Frame::CallEnded(RequestId(7), outcome, None, Micros(9));
        // A CBOR array of 4 elements: id, outcome, no reply (null), latency in microseconds.
        let value = [&[0x84, 7][..], &text(word), &[0xf6, 9]].concat();
        assert_eq!(encoded(&frame), map("Called", &value), "{outcome:?}");
    }
}
