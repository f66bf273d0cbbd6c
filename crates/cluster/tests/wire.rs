//! Tests which messages from other nodes are accepted.

use gaugestand_cluster::NodeId;
use gaugestand_cluster::wire::{Envelope, FrameCodec, FrameError, LeaseRequest, Payload};
use prost::Message as _;

fn codec(cluster: &str, config_fingerprint: u64, node_id: NodeId, incarnation: u64) -> FrameCodec {
    FrameCodec { cluster: cluster.into(), config_fingerprint, node_id, incarnation }
}

// A node is configured with an address of another cluster, is an old process, or has another configuration.
// Its messages must never count as votes or grants in this cluster.
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
    // A message that is truncated at any byte is rejected, never decoded as another message.
    let whole = there.encode(request, 41);
    for end in 0..whole.len() {
        assert!(here.decode(&whole[..end]).is_err(), "truncated at {end}");
    }
}

// Operators read these texts in the node's log.
#[test]
fn frame_error_texts() {
    let cases = [
        (FrameError::Malformed, "message that cannot be decoded, or that is longer than 327680 bytes"),
        (
            FrameError::ProtocolVersion(2),
            "message of protocol version 2, expected 1; run the same program version on all nodes",
        ),
        (
            FrameError::OtherCluster("zarqa".into()),
            "message of cluster \"zarqa\"; give all nodes the same name in fleet(...)",
        ),
        (
            FrameError::ConfigMismatch,
            "sender is configured with other members, another contradict_ms or drift_ppm, or other lists; \
             give all nodes the same fleet(...)",
        ),
        (FrameError::UnknownSender(9), "message from node 9, which is not another member of this cluster"),
        (
            FrameError::RemovedSender { node: 3, incarnation: 5 },
            "message from node 3, which was removed from the cluster",
        ),
        (
            FrameError::Stale,
            "message for this node before its restart, or one that is not allowed at this point of the connection",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}
