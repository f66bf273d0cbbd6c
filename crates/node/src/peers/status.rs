//! Reports for operators, as JSON. `gaugestand fleet` prints them, with `--json` unchanged, so the keys keep
//! their names.

use super::Peers;
use crate::io::System;
use gaugestand_admission::time::Timestamp;
use gaugestand_cluster::lease::ActiveVersion;
use gaugestand_cluster::membership::{Member, Role};
use serde_json::{Value, json};

impl<S: System> Peers<S> {
    /// The state of the cluster as this node knows it, for the call FLEET STATUS.
    pub fn status(&self, now: Timestamp) -> Value {
        let membership = self.consensus.membership();
        let members: Vec<Value> =
            membership.members().iter().map(|member| self.member_status(member)).collect();
        let leader = self.consensus.leader().and_then(|leader| membership.get(leader));
        let lease_ms = self.consensus.lease().map_or(0, |lease| lease.expires_at.since(now).0 / 1_000);
        let active = self.consensus.active_version(now);
        let acts = matches!(active, ActiveVersion::Leased(version) if self.applied.version == Some(version));
        let unusable = self.applied.unusable.as_ref();
        json!({
            "fleet": self.codec.cluster,
            "leader": leader.map(|member| &member.name),
            "term": self.consensus.term(),
            "members": members,
            "heard": self.consensus.reachable_count(),
            "majority": membership.voters().count() / 2 + 1,
            "removed": self.removed_by,
            "in_fleet": membership.get(self.codec.node_id).is_some(),
            "last": self.consensus.last_committed(),
            "in_effect": self.applied.version,
            "acts": acts,
            "lease_ms": lease_ms,
            "unusable": unusable.map(|unusable| json!({"version": unusable.version, "why": unusable.reason})),
            "unwritten": self.log_writer.queued(),
            "open": self.open_attempts_status(now),
        })
    }

    fn member_status(&self, member: &Member) -> Value {
        let peer = self.peers.get(&member.id);
        let is_self = member.id == self.codec.node_id;
        let is_linked = peer.is_some_and(|peer| peer.connection.is_some());
        let default_address = if is_self { self.own_address } else { member.address };
        let address = peer.and_then(|peer| peer.address).unwrap_or(default_address);
        json!({
            "name": member.name,
            "number": member.id,
            "address": address.to_string(),
            "me": is_self,
            "heard": is_self || is_linked,
            "votes": member.role == Role::Voter,
        })
    }

    fn open_attempts_status(&self, now: Timestamp) -> Vec<Value> {
        let versions = self.attempts.by_version(now).into_iter();
        let status = versions.map(
            |(version, open)| json!({"version": version, "open": open.count, "oldest_ms": open.oldest_ms}),
        );
        status.collect()
    }

    /// The committed versions that are kept, oldest first, with the sizes of their contents in bytes, for the
    /// call FLEET HISTORY.
    pub fn history(&self) -> Value {
        let versions = self.consensus.committed_versions();
        versions.map(|(version, content)| json!({"version": version, "bytes": content.len()})).collect()
    }
}
