//! Which messages a node accepts.

use gaugestand_cluster::NodeId;
use gaugestand_cluster::wire::{Envelope, FrameCodec, FrameError, LeaseRequest, Payload};
use prost::Message as _;

fn codec(cluster: &str, config_fingerprint: u64, node_id: NodeId, incarnation: u64) -> FrameCodec {
    FrameCodec { cluster: cluster.into(), config_fingerprint, node_id, incarnation }
}

// A node is set up with another cluster's address, an old process or another configuration. What it sends must never count
// as a vote or a grant here.
#[test]
fn messages_of_another_cluster_incarnation_or_protocol_are_rejected() {
    let here = codec("zurich", 7, 0, 41);
    let there = codec("zurich", 7, 1, 9);
    let request = Payload::LeaseRequest(LeaseRequest { version: 3, request_id: 5 });
    assert_eq!(here.decode(&there.encode(request.clone(), 41)), Ok((1, request.clone())));
    assert!(matches!(here.decode(&there.hello("x")), Ok((1, Payload::Hello(_)))));
    let of = |codec: FrameCodec| codec.encode(request.clone(), 41);
    let cases = [
        (there.encode(request.clone(), 40), FrameError::Stale),
        (of(codec("zarqa", 7, 1, 9)), FrameError::OtherCluster("zarqa".into())),
        (of(codec("zurich", 8, 1, 9)), FrameError::ConfigMismatch),
        (of(codec("zurich", 7, 0, 9)), FrameError::UnknownSender(0)),
        (
            Envelope { protocol_version: 2, ..Envelope::default() }.encode_to_vec(),
            FrameError::ProtocolVersion(2),
        ),
        (b"\xff\xff\xff".to_vec(), FrameError::Malformed),
    ];
    for (bytes, error) in cases {
        assert_eq!(here.decode(&bytes), Err(error));
    }
    // Truncated anywhere it is rejected, never taken for something else.
    let whole = there.encode(request, 41);
    for end in 0..whole.len() {
        assert!(here.decode(&whole[..end]).is_err(), "truncated at {end}");
    }
}

// Operators read these texts in the node's log.
#[test]
fn rejections_keep_their_words() {
    let cases = [
        (FrameError::Malformed, "what it says cannot be read"),
        (FrameError::ProtocolVersion(2), "it speaks form 2, this program 1; run one program on all nodes"),
        (FrameError::OtherCluster("zarqa".into()), "it is of the fleet \"zarqa\""),
        (
            FrameError::ConfigMismatch,
            "it was told other members, another contradict_ms or other lists; give all nodes the same fleet(...)",
        ),
        (FrameError::UnknownSender(9), "it says that it is node 9, which is none of the others"),
        (
            FrameError::RemovedSender { node: 3, incarnation: 5 },
            "it says that it is node 3, which was removed",
        ),
        (FrameError::Stale, "it speaks to an earlier life of this node"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}
