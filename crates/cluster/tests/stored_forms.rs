//! Checks that messages between nodes and the log on disk keep the bytes that an earlier build wrote,
//! whatever names the code has.

use gaugestand_admission::log_record::RecoveredLog;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::consensus::{Command, Consensus, ConsensusConfig, Event};
use gaugestand_cluster::diff::{Content, NamedList, differences, overall};
use gaugestand_cluster::lease::LeaseConfig;
use gaugestand_cluster::membership::{ClusterView, Membership, MembershipChange};
use gaugestand_cluster::wire::{
    Envelope, ForwardedProposal, FrameCodec, Hello, LeaseRequest, LogBase, Payload, ProposalResult,
    ValidationRequest, ValidationResult, VersionEntry,
};
use prost::Message as _;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Messages, log entries and records as build d61e325 wrote them.
const FIXTURE: &str = include_str!("fixtures/wire-d61e325.txt");
const CONTENT: &[u8] = br#"{"settings":{"tick":1},"lists":{}}"#;
/// Incarnation of the receiving node, in all frames except the hello.
const READER: u64 = 0x1122_3344;

/// The bytes in the fixture, by name.
fn fixture() -> BTreeMap<&'static str, Vec<u8>> {
    let lines = FIXTURE.lines().filter(|line| !line.starts_with('#'));
    let decode = |hex: &str| {
        let digits = |at: usize| {
            u8::from_str_radix(&hex[at..at + 2], 16).expect("fixture bytes are hexadecimal digits")
        };
        (0..hex.len()).step_by(2).map(digits).collect()
    };
    lines
        .map(|line| line.split_once(' ').expect("a fixture line has a name and bytes"))
        .map(|(n, h)| (n, decode(h)))
        .collect()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn join() -> MembershipChange {
    MembershipChange::Join { name: "n4".into(), address: address(7004) }
}

fn sender() -> FrameCodec {
    let cluster = "zurich".to_string();
    FrameCodec { cluster, config_fingerprint: 0x0123_4567_89ab_cdef, node_id: 2, incarnation: 41 }
}

fn proposal(content: &[u8], expected_version: Option<u64>, change: Option<MembershipChange>) -> Payload {
    let json = |change| serde_json::to_vec(&change).expect("encodable as JSON");
    Payload::ForwardedProposal(ForwardedProposal {
        ticket: 77,
        content: content.to_vec(),
        expected_version,
        force: true,
        membership_change: change.map(json).unwrap_or_default(),
    })
}

fn validation_result(problem: &str) -> Payload {
    Payload::ValidationResult(ValidationResult { id: 9, problem: problem.to_string() })
}

fn proposal_result(version: u64, problem: &str) -> Payload {
    Payload::ProposalResult(ProposalResult { ticket: 77, version, problem: problem.to_string() })
}

/// One payload of each kind, with the name of its bytes in the fixture.
fn payloads() -> Vec<(&'static str, Payload)> {
    let request_id = 5 << 32 | 1;
    let validation = ValidationRequest { id: 9, content: CONTENT.to_vec(), force: true };
    let remove = MembershipChange::Remove { id: 1, force: true };
    vec![
        ("raft", Payload::Raft(vec![8, 1, 16, 2, 255])),
        ("lease-request", Payload::LeaseRequest(LeaseRequest { version: 3, request_id })),
        ("lease-grant", Payload::LeaseGrant(request_id)),
        ("validation-request", Payload::ValidationRequest(validation)),
        ("validation-passed", validation_result("")),
        ("validation-failed", validation_result("class booking is dropped")),
        ("proposal", proposal(CONTENT, Some(12), None)),
        ("proposal-join", proposal(b"", None, Some(join()))),
        ("proposal-promote", proposal(b"", None, Some(MembershipChange::Promote(3)))),
        ("proposal-remove", proposal(b"", None, Some(remove))),
        ("proposal-accepted", proposal_result(13, "")),
        ("proposal-rejected", proposal_result(0, "no majority")),
        ("removed", Payload::Removed(13)),
    ]
}

// During an upgrade, nodes of both builds exchange messages. If the tag or type of a field changed, the nodes
// could not agree on anything, and without leases they would reject keyed requests.
#[test]
fn the_frames_between_nodes_keep_their_bytes() {
    let fixture = fixture();
    let reader = FrameCodec { node_id: 0, incarnation: READER, ..sender() };
    for (name, payload) in payloads() {
        assert_eq!(sender().encode(payload.clone(), READER), fixture[name], "{name}: encoded");
        assert_eq!(reader.decode(&fixture[name]), Ok((2, payload)), "{name}: decoded");
        let envelope = Envelope::decode(fixture[name].as_slice()).expect("the fixture frame is an envelope");
        assert_eq!(envelope.encode_to_vec(), fixture[name], "{name}: decoded and encoded again");
    }
    let hello = Payload::Hello(Hello { incarnation: 41, program: "0.2.0".to_string() });
    assert_eq!(sender().hello("0.2.0"), fixture["hello"]);
    assert_eq!(reader.decode(&fixture["hello"]), Ok((2, hello)));
}

// A forwarded membership change contains JSON. If a variant was renamed there, the leader would drop the
// proposal without an answer.
#[test]
fn forwarded_membership_changes_are_read() {
    let fixture = fixture();
    let changes = [
        ("proposal-join", join()),
        ("proposal-promote", MembershipChange::Promote(3)),
        ("proposal-remove", MembershipChange::Remove { id: 1, force: true }),
    ];
    for (name, expected) in changes {
        let envelope = Envelope::decode(fixture[name].as_slice()).expect("the fixture frame is an envelope");
        let Some(Payload::ForwardedProposal(forwarded)) = envelope.payload else {
            panic!("{name} is not a forwarded proposal")
        };
        let read: MembershipChange = serde_json::from_slice(&forwarded.membership_change).expect(name);
        assert_eq!(read, expected);
    }
}

// A node starts with the log that the previous build wrote, and answers operators' calls with the same JSON.
#[test]
fn log_entries_memberships_and_contents_keep_their_bytes() {
    let fixture = fixture();
    let initial = Membership::initial(&[("n0".into(), address(7000)), ("n1".into(), address(7001))]);
    let membership = initial.and_then(|initial| initial.after(&join(), &ClusterView::default()));
    let membership = membership.expect("the node joins the two initial nodes");
    let json = serde_json::to_vec(&membership).expect("encodable as JSON");
    assert_eq!(json, fixture["membership"]);
    assert_eq!(serde_json::from_slice::<Membership>(&json).expect("a membership in JSON"), membership);

    let entry = VersionEntry { version: 13, content: CONTENT.to_vec(), membership: json.clone() };
    assert_eq!(entry.encode_to_vec(), fixture["log-entry"]);
    assert_eq!(VersionEntry::decode(fixture["log-entry"].as_slice()), Ok(entry.clone()));
    let base = LogBase { index: 21, term: 4, last: Some(entry), membership: json };
    assert_eq!(base.encode_to_vec(), fixture["log-base"]);
    assert_eq!(LogBase::decode(fixture["log-base"].as_slice()), Ok(base));

    let blocked = NamedList::Blocked(["7f".to_string()].into());
    let limits = NamedList::GatewayLimits([("4".to_string(), 2.5)].into());
    let places = NamedList::Assignments([("n1".to_string(), "north".to_string())].into());
    let lists = [("b".to_string(), blocked), ("s".to_string(), limits), ("p".to_string(), places)];
    let content = Content { settings: serde_json::json!({"tick": 1}), lists: lists.into() };
    let json = serde_json::to_vec(&content).expect("encodable as JSON");
    assert_eq!(json, fixture["content"]);
    assert_eq!(serde_json::from_slice::<Content>(&json).expect("a content in JSON"), content);
    let found = differences(&Content::default(), &content);
    let json = serde_json::to_vec(&(overall(&found), found)).expect("encodable as JSON");
    assert_eq!(json, fixture["differences"]);
}

// A cluster of one node writes records when it starts, commits a version, and adds a member. They must be the
// same bytes as the earlier build wrote.
#[test]
fn log_records_keep_their_bytes() {
    let mut expected = fixture();
    expected.retain(|name, _| name.starts_with("record-"));
    let lease = LeaseConfig::new(1, Micros::millis(600), 500).expect("valid lease times");
    let initial_membership =
        Membership::initial(&[("n0".to_string(), address(7000))]).expect("a valid initial membership");
    let config = ConsensusConfig { node_id: 0, initial_membership, lease, incarnation: 3 };
    let mut commands = Vec::new();
    let mut now = 1_000_000;
    let mut node = Consensus::new(Timestamp(now), config, &RecoveredLog::default(), &mut commands)
        .expect("the node starts with an empty log");
    let mut written = BTreeMap::new();
    let mut records = 0;
    for round in 0..400 {
        now += 10_000;
        let event = match round {
            200 => Some(Event::Propose {
                ticket: 1,
                content: CONTENT.to_vec(),
                expected_version: None,
                force: false,
            }),
            300 => Some(Event::ChangeMembership { ticket: 2, change: join() }),
            _ => None,
        };
        for event in event.into_iter().chain([Event::Timer]) {
            node.on_event(Timestamp(now), event, &mut commands);
        }
        while !commands.is_empty() {
            for command in std::mem::take(&mut commands) {
                match command {
                    Command::Persist { sequence, record } => {
                        records += 1;
                        let name = format!("record-{records}");
                        written.insert(format!("{name}-state"), record.hard_state.unwrap_or_default());
                        written.insert(format!("{name}-base"), record.snapshot.unwrap_or_default());
                        for (index, entry) in record.entries {
                            written.insert(format!("{name}-entry-{index}"), entry);
                        }
                        node.on_event(Timestamp(now), Event::Persisted(sequence), &mut commands);
                    }
                    Command::Validate { validation, .. } => {
                        let event = Event::Validated { validation, result: Ok(()) };
                        node.on_event(Timestamp(now), event, &mut commands);
                    }
                    _ => {}
                }
            }
        }
    }
    let written: BTreeMap<&str, Vec<u8>> =
        written.iter().map(|(name, bytes)| (name.as_str(), bytes.clone())).collect();
    assert_eq!(written, expected);
}
