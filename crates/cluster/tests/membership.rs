//! Tests the rules of membership changes: each rule in a table, and random sequences of changes.

use gaugestand_cluster::NodeId;
use gaugestand_cluster::membership::{
    ClusterView, MAX_VOTERS, Membership, MembershipChange, MembershipError,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn configured(size: u16) -> Vec<(String, SocketAddr)> {
    (0..size).map(|id| (format!("n{id}"), address(id + 1))).collect()
}

fn membership(size: u16) -> Membership {
    Membership::initial(&configured(size)).expect("a valid initial membership")
}

fn join(name: &str, port: u16) -> MembershipChange {
    MembershipChange::Join { name: name.into(), address: address(port) }
}

#[test]
fn changes_are_accepted_or_rejected_by_rule() {
    let all = BTreeSet::from([0, 1, 2, 3]);
    let one = BTreeSet::from([0]);
    let view = |reachable: &BTreeSet<NodeId>| ClusterView {
        reachable: reachable.clone(),
        caught_up: BTreeSet::from([3]),
    };
    let four = membership(3).after(&join("n3", 9), &view(&all)).expect("the node joins as a learner");
    let remove = |id, force| MembershipChange::Remove { id, force };
    let no_majority = MembershipError::NoMajorityLeft { reachable: 1, voters: 2 };
    // Membership before, change, reachable nodes, and the number of voters after the change or the error.
    let cases = [
        (&membership(3), join("n1", 9), &all, Err(MembershipError::Duplicate("n1".into()))),
        (&membership(3), join("n9", 2), &all, Err(MembershipError::Duplicate("n1".into()))),
        (&membership(3), join("", 9), &all, Err(MembershipError::InvalidName)),
        (&membership(3), join("a b", 9), &all, Err(MembershipError::InvalidName)),
        (&membership(3), MembershipChange::Promote(2), &all, Err(MembershipError::NotCaughtUp(2))),
        (&four, MembershipChange::Promote(3), &all, Ok(4)),
        (&membership(3), MembershipChange::Promote(3), &all, Err(MembershipError::UnknownNode(3))),
        (&membership(3), remove(2, false), &all, Ok(2)),
        // Of the two remaining voters one cannot be reached, so the cluster could not commit anything after
        // the removal.
        (&membership(3), remove(2, false), &one, Err(no_majority)),
        (&membership(3), remove(2, true), &one, Ok(2)),
        (&membership(3), remove(7, true), &all, Err(MembershipError::UnknownNode(7))),
        (&membership(1), remove(0, true), &all, Err(MembershipError::LastVoter)),
        (&four, remove(3, false), &all, Ok(3)),
    ];
    for (case, (before, change, reachable, expected)) in cases.into_iter().enumerate() {
        let voters = before.after(&change, &view(reachable)).map(|after| after.voters().count());
        assert_eq!(voters, expected, "case {case}: {change:?}");
    }
    assert_eq!(Membership::initial(&[]), Err(MembershipError::LastVoter));
    assert_eq!(Membership::initial(&configured(8)), Err(MembershipError::TooManyVoters));
}

// These texts are part of replies to operators and must not change.
#[test]
fn membership_error_texts() {
    let cases = [
        (MembershipError::InvalidName, "a name has 1 to 64 bytes, and no blank or '=' in it"),
        (MembershipError::Duplicate("n1".into()), "node n1 has that name or address"),
        (MembershipError::Full, "there are 10 nodes, or no number is left"),
        (MembershipError::TooManyVoters, "7 nodes vote already; it stays a learner"),
        (MembershipError::UnknownNode(3), "there is no such node as 3 to do that with"),
        (MembershipError::NotCaughtUp(3), "node 3 has not caught up with the log yet"),
        (MembershipError::LastVoter, "it is the last node that votes"),
        (
            MembershipError::NoMajorityLeft { reachable: 1, voters: 2 },
            "without it 1 of 2 voters can be heard, which is no majority; --force if that is meant",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

// Nodes join and are removed in quick succession. If two consecutive memberships had majorities without a
// common node, each majority could commit a version of its own. If a node number was assigned again, a late
// message of the removed node would count for the new one.
#[test]
fn majorities_of_two_memberships_in_a_row_have_a_node_in_common() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut changes = 0;
    for _ in 0..300 {
        let mut current = membership(rng.u16(1..6));
        let mut assigned: BTreeSet<NodeId> = current.members().iter().map(|member| member.id).collect();
        for port in 100..160 {
            let change = random_change(&mut rng, &current, port);
            let ids = current.members().iter().map(|member| member.id);
            let subset: BTreeSet<NodeId> = ids.filter(|_| rng.bool()).collect();
            let view = ClusterView { reachable: subset.clone(), caught_up: subset };
            let Ok(next) = current.after(&change, &view) else { continue };
            changes += 1;
            let joined = next.members().iter().map(|member| member.id).find(|id| current.get(*id).is_none());
            assert!(joined.is_none_or(|id| assigned.insert(id)), "node number {joined:?} was assigned twice");
            assert_majorities_intersect(&current, &next);
            current = next;
        }
    }
    assert!(changes > 5_000, "only {changes} changes were accepted, expected more than 5,000");
    let remove = MembershipChange::Remove { id: 1, force: true };
    let two =
        membership(3).after(&remove, &ClusterView::default()).expect("a forced removal leaves two nodes");
    assert!(two.was_removed(1) && !two.was_removed(0) && !two.was_removed(3));
}

fn random_change(rng: &mut fastrand::Rng, current: &Membership, port: u16) -> MembershipChange {
    let any = |rng: &mut fastrand::Rng| current.members()[rng.usize(..current.members().len())].id;
    match rng.u8(..3) {
        0 => join(&format!("p{port}"), port),
        1 => MembershipChange::Promote(any(rng)),
        _ => MembershipChange::Remove { id: any(rng), force: rng.bool() },
    }
}

fn assert_majorities_intersect(current: &Membership, next: &Membership) {
    let before: Vec<_> = current.voters().collect();
    let after: Vec<_> = next.voters().collect();
    assert!((1..=MAX_VOTERS).contains(&after.len()));
    // Two smallest majorities without a common node would together need at most as many nodes as the union
    // has.
    let union: BTreeSet<_> = before.iter().chain(&after).collect();
    assert!(
        before.len() / 2 + 1 + after.len() / 2 + 1 > union.len(),
        "voters {before:?} and {after:?} have majorities without a common node"
    );
}
