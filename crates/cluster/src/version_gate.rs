//! What a request gets under the active version: the lists of the version, and the rule for a node without a lease.

use crate::diff::{Content, NamedList};
use crate::lease::ActiveVersion;

/// Which kinds of lists versions may hold. The same on all nodes, so that a node without a lease knows what a newer version
/// could contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EnabledLists {
    /// Lists of blocked subjects.
    pub blocked: bool,
    /// Limits of open requests by gateway.
    pub gateway_limits: bool,
}

/// What the gate needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// It carries an idempotency key: it may not run twice.
    pub keyed: bool,
    /// What it is about, as lists name it.
    pub subject: Option<&'a str>,
    /// The gateway that sent it.
    pub gateway: u64,
    /// Requests of that gateway that this node has open.
    pub open: usize,
}

/// What a request gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// It goes on to admission control.
    Pass,
    /// Its subject is blocked on all nodes.
    Blocked,
    /// Its gateway has reached its limit on this node; another node may take it.
    OverGatewayLimit,
    /// This node holds no lease: a newer version, active on other nodes, may forbid the request.
    NoLease,
}

/// Decides on a request. `content` is that of the active version; none if there is none.
pub fn check(
    active: ActiveVersion,
    content: Option<&Content>,
    enabled: EnabledLists,
    request: Request<'_>,
) -> GateDecision {
    match active {
        ActiveVersion::Leased(_) => check_lists(content, request),
        // Also what the older version blocks: a newer one may allow it, so another node may take it.
        ActiveVersion::Unleased(_) if request.keyed || is_listed(enabled, request) => GateDecision::NoLease,
        ActiveVersion::Unleased(_) => GateDecision::Pass,
    }
}

/// Whether some version could name this request in a list.
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

/// The name of a list of a kind that is not enabled on this node, if the content has one.
pub fn disabled_list(content: &Content, enabled: EnabledLists) -> Option<&str> {
    let is_enabled = |list: &NamedList| match list {
        NamedList::Blocked(_) => enabled.blocked,
        NamedList::GatewayLimits(_) => enabled.gateway_limits,
        NamedList::Assignments(_) => true,
    };
    content.lists.iter().find(|(_, list)| !is_enabled(list)).map(|(name, _)| name.as_str())
}
