//! The bytes that two versions of the program exchange stay the same, whatever names the code uses.

use gaugestand_node::handover_link::{DecodedFrame, Frame, PROTOCOL, decode};

/// All bytes of one hand-over, as the last build before the renames of the code sent them. Its state has a
/// stored result, runs, a queue, a retry that waits for the result of an earlier attempt, an outbound call in
/// progress, a request of which half has arrived, idle connections and a health check that waits.
const HANDOVER: &[u8] = include_bytes!("fixtures/handover-gskin-3.bin");

// In an upgrade, the predecessor may be a build from before the renames. If a field or variant had another
// name on the link, the successor could not read the state and would close the link, or it would lose part of the
// state.
#[test]
fn handover_frames_of_an_earlier_build_are_read_and_written_unchanged() {
    let mut rest = HANDOVER
        .strip_prefix(PROTOCOL.as_slice())
        .expect("the fixture begins with the magic bytes of the protocol");
    let mut seen = Vec::new();
    while !rest.is_empty() {
        let DecodedFrame { frame: read, consumed: len } =
            decode(rest).expect("the frame is valid").expect("the frame is complete");
        let mut written = Vec::new();
        ciborium::into_writer(&read, &mut written).expect("the frame can be encoded");
        assert_eq!(&rest[4..len], written, "{read:?}");
        seen.push(match read {
            Frame::Hello { .. } => "Hello",
            Frame::Keys(_) => "Keys",
            Frame::KeysComplete => "Synced",
            Frame::Connection(_) => "Conn",
            Frame::Attempt(_) => "Attempt",
            Frame::FinalState(_) => "Rest",
            Frame::StateComplete(_) => "Over",
            Frame::TakenOver | Frame::CallEnded(..) | Frame::DropCall(_) => "other",
        });
        rest = &rest[len..];
    }
    seen.dedup();
    assert_eq!(seen, ["Hello", "Keys", "Synced", "Conn", "Attempt", "Rest", "Over"]);
}
