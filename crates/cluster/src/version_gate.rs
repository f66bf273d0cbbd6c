//! What a request gets under what its node may act on.

use crate::diff::{Content, List};
use crate::lease::Acts;

/// What a version may hold lists of; told to all nodes alike, so that one that is cut off knows what a newer version can say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lists {
    /// Subjects may be barred.
    pub barred: bool,
    /// Gateways may have shares.
    pub shares: bool,
}

/// What is asked of the gate about a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// A second run of it must not be.
    pub keyed: bool,
    /// What it is about, as the gateway wrote it.
    pub subject: Option<&'a str>,
    /// The gateway's number.
    pub gateway: u64,
    /// Requests of that gateway that this node has open.
    pub open: usize,
}

/// What it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// It goes on its way.
    Pass,
    /// No node takes it.
    Barred,
    /// Its gateway has what it may have here; another node may have room.
    OverShare,
    /// This node may not say: another version may be in effect elsewhere.
    NoLease,
}

/// Rules on a request. `content` is the version in `acts`, if there has been one.
pub fn rule(acts: Acts, content: Option<&Content>, lists: Lists, request: Request<'_>) -> Ruling {
    let named = lists.shares || lists.barred && request.subject.is_some();
    if !matches!(acts, Acts::On(_)) {
        // That nobody takes it is a newer version's to say: what the older one bars, another node may take by now.
        return if request.keyed || named { Ruling::NoLease } else { Ruling::Pass };
    }
    let all = content.into_iter().flat_map(|c| c.lists.values());
    for list in all {
        match (list, request.subject) {
            (List::Barred(barred), Some(subject)) if barred.contains(subject) => return Ruling::Barred,
            (List::Shares(shares), _) => {
                let bound = shares.get(&request.gateway.to_string()).copied();
                if bound.is_some_and(|most| request.open as f64 >= most) {
                    return Ruling::OverShare;
                }
            }
            _ => {}
        }
    }
    Ruling::Pass
}

/// Whether a content holds lists that this fleet's nodes were not told of.
pub fn unknown_list(content: &Content, lists: Lists) -> Option<&str> {
    let known = |list: &List| match list {
        List::Barred(_) => lists.barred,
        List::Shares(_) => lists.shares,
        List::Places(_) => true,
    };
    content.lists.iter().find(|(_, list)| !known(list)).map(|(name, _)| name.as_str())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_of_rulings() {
        let barred = List::Barred(["7f".to_string()].into());
        let shares = List::Shares([("4".to_string(), 2.0)].into());
        let with = |lists: &[&List]| {
            let lists = lists.iter().enumerate().map(|(i, l)| (i.to_string(), (*l).clone())).collect();
            Content { settings: serde_json::Value::Null, lists }
        };
        let (none, bars, caps) = (with(&[]), with(&[&barred]), with(&[&shares]));
        let read = |subject| Request { keyed: false, subject, gateway: 1, open: 9 };
        let keyed = Request { keyed: true, ..read(None) };
        let loud = |open| Request { gateway: 4, open, ..read(None) };
        let (no, may_bar) = (Lists::default(), Lists { barred: true, shares: false });
        let may_share = Lists { barred: false, shares: true };
        let (on, off) = (Acts::On(3), Acts::Within(3));
        let cases = [
            (on, Some(&none), no, keyed, Ruling::Pass),
            (off, Some(&none), no, keyed, Ruling::NoLease),
            (off, Some(&none), no, read(Some("7f")), Ruling::Pass),
            (off, Some(&none), may_bar, read(Some("7f")), Ruling::NoLease),
            (off, Some(&none), may_bar, read(None), Ruling::Pass),
            (on, Some(&bars), may_bar, read(Some("7f")), Ruling::Barred),
            (off, Some(&bars), may_bar, read(Some("7f")), Ruling::NoLease),
            (on, Some(&bars), may_bar, read(Some("80")), Ruling::Pass),
            (on, Some(&caps), may_share, loud(1), Ruling::Pass),
            (on, Some(&caps), may_share, loud(2), Ruling::OverShare),
            (on, Some(&caps), may_share, read(None), Ruling::Pass),
            (off, Some(&caps), may_share, read(None), Ruling::NoLease),
            // Not one version yet, and one that this node was away for.
            (Acts::On(0), None, may_bar, keyed, Ruling::Pass),
            (Acts::Within(0), None, may_bar, keyed, Ruling::NoLease),
            (Acts::Within(0), Some(&none), no, keyed, Ruling::NoLease),
        ];
        for (i, (acts, content, lists, request, ruling)) in cases.into_iter().enumerate() {
            assert_eq!(rule(acts, content, lists, request), ruling, "case {i}");
        }
        assert_eq!(unknown_list(&bars, no), Some("0"));
        assert_eq!(unknown_list(&bars, may_bar), None);
    }
}
