//! Decides on a request before admission control, by the lists of the active version and by whether the node
//! holds a lease.

use crate::diff::{Content, NamedList};
use crate::lease::ActiveVersion;

/// Kinds of lists that versions may contain. They are configured, and the same on all nodes of a cluster, so
/// that a node without a lease knows which lists a newer version could contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EnabledLists {
    /// Whether versions may contain lists of blocked subjects.
    pub blocked: bool,
    /// Whether versions may contain limits on the open requests of each gateway.
    pub gateway_limits: bool,
}

/// The properties of a request that [`check`] decides by.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Whether the request carries an idempotency key, so that it may not run twice.
    pub keyed: bool,
    /// The subject of the request, in the form in which lists name subjects; `None` if it has none.
    pub subject: Option<&'a str>,
    /// Number of the gateway that sent the request; lists name it in decimal.
    pub gateway: u64,
    /// Number of open requests of that gateway on this node.
    pub open: usize,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// The request goes on to admission control.
    Pass,
    /// The request is rejected: its subject is blocked, on all nodes.
    Blocked,
    /// The request is rejected: its gateway has reached its limit of open requests on this node. Another node
    /// may accept the request.
    OverGatewayLimit,
    /// The request is rejected: this node holds no lease, and a newer version that is active on other nodes
    /// may forbid the request.
    NoLease,
}

/// Decides on a request. `content` is the content of the active version; `None` if there is no such version.
pub fn check(
    active: ActiveVersion,
    content: Option<&Content>,
    enabled: EnabledLists,
    request: Request<'_>,
) -> GateDecision {
    match active {
        ActiveVersion::Leased(_) => check_lists(content, request),
        // Without a lease, a subject that the activated version blocks also gets `NoLease`: a newer version
        // may allow it, so another node may accept the request.
        ActiveVersion::Unleased(_) if request.keyed || is_listed(enabled, request) => GateDecision::NoLease,
        ActiveVersion::Unleased(_) => GateDecision::Pass,
    }
}

/// Whether a version could contain a list that applies to this request.
fn is_listed(enabled: EnabledLists, request: Request<'_>) -> bool {
    enabled.gateway_limits || enabled.blocked && request.subject.is_some()
}

fn check_lists(content: Option<&Content>, request: Request<'_>) -> GateDecision {
    let lists = content.into_iter().flat_map(|content| content.lists.values());
    for list in lists {
        match (list, request.subject) {
            (NamedList::Blocked(blocked), Some(subject)) if blocked.contains(subject) => {
                return GateDecision::Blocked;
            }
            (NamedList::GatewayLimits(limits), _) => {
                let limit = limits.get(&request.gateway.to_string()).copied();
                if limit.is_some_and(|limit| request.open as f64 >= limit) {
                    return GateDecision::OverGatewayLimit;
                }
            }
            _ => {}
        }
    }
    GateDecision::Pass
}

/// Returns the name of a list in `content` whose kind is not enabled on this node; `None` if there is no such
/// list.
pub fn disabled_list(content: &Content, enabled: EnabledLists) -> Option<&str> {
    let is_enabled = |list: &NamedList| match list {
        NamedList::Blocked(_) => enabled.blocked,
        NamedList::GatewayLimits(_) => enabled.gateway_limits,
        NamedList::Assignments(_) => true,
    };
    content.lists.iter().find(|(_, list)| !is_enabled(list)).map(|(name, _)| name.as_str())
}
