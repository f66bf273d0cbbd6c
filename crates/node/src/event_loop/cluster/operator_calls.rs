//! Operators' calls about the cluster, made by `gaugestand fleet` at the second address: a line with `FLEET`
//! and the words that follow it.
//!
//! A call that needs other nodes is answered later, by the caller's serial number. All other calls are
//! answered at once.

use super::super::{Node, System};
use crate::peers::Peers;
use gaugestand_admission::time::Timestamp;
use gaugestand_cluster::Version;
use gaugestand_cluster::consensus::ProposalError;
use gaugestand_cluster::membership::MembershipChange;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of words of a call. The fourth word is the rest of the line, blanks included: the content
/// of a proposal.
const MAX_WORDS: usize = 4;
/// Word that stands for 'no version' or 'no force'.
const ABSENT: &str = "-";
/// Word that forces a proposal or a removal that would otherwise be refused.
const FORCE: &str = "force";

/// An operator's call about the cluster.
#[derive(Debug, PartialEq, Eq)]
enum OperatorCall<'a> {
    Status,
    History,
    /// Shows the content of a version; none if the call names no valid version.
    Show(Option<Version>),
    /// Proposes the content of an earlier version.
    Rollback {
        version: Option<Version>,
        force: bool,
    },
    Join {
        name: &'a str,
        address: SocketAddr,
    },
    Remove {
        name: &'a str,
        force: bool,
    },
    Propose {
        expected_version: Option<Version>,
        force: bool,
        content: &'a str,
    },
}

/// Why a call is not executed. The text is part of the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum OperatorCallError {
    #[error("there is no fleet")]
    NoCluster,
    #[error("there are STATUS, HISTORY, SHOW, PROPOSE, ROLLBACK, JOIN and REMOVE")]
    UnknownCall,
    #[error("no such version is kept")]
    UnknownVersion,
    #[error("JOIN takes a name and an address, as in n4=10.0.0.4:7000")]
    MalformedJoin,
    #[error("no node of the fleet has that name")]
    UnknownNode,
    #[error("PROPOSE takes a version or -, force or -, and the content")]
    MalformedProposal,
}

impl<'a> OperatorCall<'a> {
    fn parse(line: &'a str) -> Result<Self, OperatorCallError> {
        let mut words = line.splitn(MAX_WORDS, ' ');
        let call = words.next().unwrap_or_default();
        let argument = words.next();
        match (call, argument) {
            ("STATUS", None) => Ok(OperatorCall::Status),
            ("HISTORY", None) => Ok(OperatorCall::History),
            ("SHOW", version) => Ok(OperatorCall::Show(parse_version(version))),
            ("ROLLBACK", version) => Ok(OperatorCall::Rollback {
                version: parse_version(version),
                force: words.next() == Some(FORCE),
            }),
            ("JOIN", Some(member)) => {
                let (name, address) = member.split_once('=').unwrap_or((member, ""));
                let address = address.parse().map_err(|_| OperatorCallError::MalformedJoin)?;
                Ok(OperatorCall::Join { name, address })
            }
            ("REMOVE", Some(name)) => Ok(OperatorCall::Remove { name, force: words.next() == Some(FORCE) }),
            ("PROPOSE", expected) => {
                let force = words.next() == Some(FORCE);
                let content = words.next().unwrap_or_default();
                let expected = expected.filter(|word| *word != ABSENT);
                let expected_version = parse_version(expected);
                let is_malformed = expected.is_some() && expected_version.is_none();
                if is_malformed || content.is_empty() {
                    return Err(OperatorCallError::MalformedProposal);
                }
                Ok(OperatorCall::Propose { expected_version, force, content })
            }
            _ => Err(OperatorCallError::UnknownCall),
        }
    }
}

fn parse_version(word: Option<&str>) -> Option<Version> {
    word.and_then(|word| word.parse().ok())
}

/// The reply to a call that proposed settings or a change of the cluster's members.
pub(super) fn proposal_answer(result: Result<Version, ProposalError>) -> String {
    match result {
        Ok(version) => format!("done {}\n", json!({"version": version})),
        Err(error) => format!("error {error}\n"),
    }
}

impl<S: System> Node<S> {
    /// Executes a call about the cluster. Returns the reply; none if the reply follows later, or if the
    /// caller has disconnected.
    pub(in super::super) fn operator_call(&mut self, slot: usize, line: &str) -> Option<String> {
        let now = self.clock.now();
        let caller = self.admin.caller_serial(slot)?;
        let answer = match &mut self.peers {
            Some(peers) => OperatorCall::parse(line).and_then(|call| execute_call(peers, now, caller, call)),
            None => Err(OperatorCallError::NoCluster),
        };
        match answer {
            Ok(answer) => answer.map(|answer| format!("done {answer}\n")),
            Err(error) => Some(format!("error {error}\n")),
        }
    }
}

/// Executes a parsed call. Returns the reply; none if the reply follows later.
fn execute_call<S: System>(
    peers: &mut Peers<S>,
    now: Timestamp,
    caller: u64,
    call: OperatorCall<'_>,
) -> Result<Option<String>, OperatorCallError> {
    match call {
        OperatorCall::Status => return Ok(Some(peers.status(now).to_string())),
        OperatorCall::History => return Ok(Some(peers.history().to_string())),
        OperatorCall::Show(version) => {
            let content = retained_content(peers, version)?;
            return Ok(Some(String::from_utf8_lossy(&content).into_owned()));
        }
        OperatorCall::Rollback { version, force } => {
            let content = retained_content(peers, version)?;
            peers.propose(now, caller, content.to_vec(), None, force);
        }
        OperatorCall::Join { name, address } => {
            let change = MembershipChange::Join { name: name.into(), address };
            peers.change_membership(now, caller, change);
        }
        OperatorCall::Remove { name, force } => {
            let id = peers.node_by_name(name).ok_or(OperatorCallError::UnknownNode)?;
            peers.change_membership(now, caller, MembershipChange::Remove { id, force });
        }
        OperatorCall::Propose { expected_version, force, content } => {
            peers.propose(now, caller, content.into(), expected_version, force);
        }
    }
    Ok(None)
}

fn retained_content<S: System>(
    peers: &Peers<S>,
    version: Option<Version>,
) -> Result<Rc<[u8]>, OperatorCallError> {
    version.and_then(|version| peers.content(version)).ok_or(OperatorCallError::UnknownVersion)
}
