//! Frames between two processes of a node: complete, truncated and damaged.

use gaugestand_admission::RequestId;
use gaugestand_admission::engine::CallOutcome;
use gaugestand_admission::time::Micros;
use gaugestand_node::handover_link::{DecodedFrame, Frame, decode};

// The predecessor dies while it writes, or its bytes are damaged. If the successor took such a frame for another one, or
// panicked, it would continue from a state that never was, or leave the node without a process.
#[test]
fn a_frame_is_read_whole_or_not_at_all() {
    let sent = Frame::CallEnded(RequestId(7), CallOutcome::Succeeded, Some(vec![0, 255]), Micros(9));
    let mut bytes = vec![0; 4];
    ciborium::into_writer(&sent, &mut bytes).expect("written");
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    for cut in 0..bytes.len() {
        assert!(matches!(decode(&bytes[..cut]), Ok(None)), "cut at {cut}");
    }
    let decoded = decode(&[&bytes[..], b"next"].concat());
    let Ok(Some(DecodedFrame {
        frame: Frame::CallEnded(id, CallOutcome::Succeeded, Some(reply), latency),
        consumed,
    })) = decoded
    else {
        panic!("{decoded:?}")
    };
    assert_eq!((consumed, id, reply, latency), (bytes.len(), RequestId(7), vec![0, 255], Micros(9)));
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let mut damaged = bytes.clone();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(..damaged.len());
            damaged[at] = rng.u8(..);
        }
        // Whatever it says, no more than one frame is taken, and nothing panics.
        if let Ok(Some(decoded)) = decode(&damaged) {
            assert!(decoded.consumed <= damaged.len());
        }
    }
    assert!(decode(&[255, 255, 255, 255, 0]).is_err());
}

/// The CBOR of a frame, without its length.
fn encoded(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("written");
    bytes
}

// A new version takes over from an old one, or the other way round. What the successor sends carries the names that every
// version knows; under another name the predecessor would not hear of the take-over, and would reclaim the lock.
#[test]
fn the_frames_of_a_successor_and_of_calls_keep_their_names() {
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
        // An array of four: id, outcome, no reply, microseconds.
        let value = [&[0x84, 7][..], &text(word), &[0xf6, 9]].concat();
        assert_eq!(encoded(&frame), map("Called", &value), "{outcome:?}");
    }
}
