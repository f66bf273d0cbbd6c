//! What passes between two versions of the program keeps its bytes, whatever names the code has.

use gaugestand_node::handover_link::{DecodedFrame, Frame, PROTOCOL, decode};

/// One complete hand-over, as the last build before the renames sent it: a stored result, runs, a queue, a repeat that
/// waits, a call that is out, half a request, idle connections and a health check that waits.
const HANDOVER: &[u8] = include_bytes!("fixtures/handover-gskin-3.bin");

// An operator upgrades in service: the process that leaves was built before the renames. If a field or variant had
// another name on the link, the new process could not read the state and would give way, or would lose part of it.
#[test]
fn the_frames_of_a_handover_keep_their_bytes() {
    let mut rest = HANDOVER.strip_prefix(PROTOCOL.as_slice()).expect("the word that names the version");
    let mut seen = Vec::new();
    while !rest.is_empty() {
        let DecodedFrame { frame: read, consumed: len } =
            decode(rest).expect("a sound frame").expect("a complete frame");
        let mut written = Vec::new();
        ciborium::into_writer(&read, &mut written).expect("written to memory");
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
