//! Tests the decisions on requests under an active version, with and without a lease.

use gaugestand_cluster::diff::{Content, NamedList};
use gaugestand_cluster::lease::ActiveVersion;
use gaugestand_cluster::version_gate::{EnabledLists, GateDecision, Request, check, disabled_list};

// A node is cut off from the other nodes, which commit a version that blocks a subject. Without a lease, the
// node must not serve requests that the new version could forbid: keyed requests, and all requests that a
// list could apply to.
#[test]
fn decisions_by_lease_list_and_request() {
    let blocked = NamedList::Blocked(["7f".to_string()].into());
    let limits = NamedList::GatewayLimits([("4".to_string(), 2.0)].into());
    let content = |lists: &[&NamedList]| {
        let lists = lists.iter().enumerate().map(|(i, list)| (i.to_string(), (*list).clone()));
        Content { settings: serde_json::Value::Null, lists: lists.collect() }
    };
    let empty = content(&[]);
    let blocking = content(&[&blocked]);
    let limiting = content(&[&limits]);
    let read = |subject| Request { keyed: false, subject, gateway: 1, open: 9 };
    let keyed = Request { keyed: true, ..read(None) };
    let from_limited_gateway = |open| Request { gateway: 4, open, ..read(None) };
    let none = EnabledLists::default();
    let may_block = EnabledLists { blocked: true, gateway_limits: false };
    let may_limit = EnabledLists { blocked: false, gateway_limits: true };
    let leased = ActiveVersion::Leased(3);
    let unleased = ActiveVersion::Unleased(3);
    let cases = [
        (leased, Some(&empty), none, keyed, GateDecision::Pass),
        (unleased, Some(&empty), none, keyed, GateDecision::NoLease),
        (unleased, Some(&empty), none, read(Some("7f")), GateDecision::Pass),
        (unleased, Some(&empty), may_block, read(Some("7f")), GateDecision::NoLease),
        (unleased, Some(&empty), may_block, read(None), GateDecision::Pass),
        (leased, Some(&blocking), may_block, read(Some("7f")), GateDecision::Blocked),
        (unleased, Some(&blocking), may_block, read(Some("7f")), GateDecision::NoLease),
        (leased, Some(&blocking), may_block, read(Some("80")), GateDecision::Pass),
        (leased, Some(&limiting), may_limit, from_limited_gateway(1), GateDecision::Pass),
        (leased, Some(&limiting), may_limit, from_limited_gateway(2), GateDecision::OverGatewayLimit),
        (leased, Some(&limiting), may_limit, read(None), GateDecision::Pass),
        (unleased, Some(&limiting), may_limit, read(None), GateDecision::NoLease),
        // No version is active yet: with a lease, without one, and on a node that has just restarted.
        (ActiveVersion::Leased(0), None, may_block, keyed, GateDecision::Pass),
        (ActiveVersion::Unleased(0), None, may_block, keyed, GateDecision::NoLease),
        (ActiveVersion::Unleased(0), Some(&empty), none, keyed, GateDecision::NoLease),
    ];
    for (case, (active, content, enabled, request, expected)) in cases.into_iter().enumerate() {
        assert_eq!(check(active, content, enabled, request), expected, "case {case}");
    }
    assert_eq!(disabled_list(&blocking, none), Some("0"));
    assert_eq!(disabled_list(&blocking, may_block), None);
}
