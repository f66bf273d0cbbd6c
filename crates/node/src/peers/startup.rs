//! Joining the cluster at the start: finds this node's number, checks the `fleet(...)` setting and opens the
//! consensus log.

use super::active_version::AppliedVersion;
use super::log_writer::LogWriter;
use super::open_attempts::OpenAttempts;
use super::{CONNECTION_KEYS, Peers, PollKeys};
use crate::io::System;
use gaugestand_admission::time::{Micros, Timestamp};
use gaugestand_cluster::NodeId;
use gaugestand_cluster::consensus::{Consensus, ConsensusConfig, ConsensusError};
use gaugestand_cluster::lease::{LeaseConfig, LeaseConfigError};
use gaugestand_cluster::membership::{Membership, MembershipError};
use gaugestand_cluster::version_gate::EnabledLists;
use gaugestand_cluster::wire::FrameCodec;
use gaugestand_idempotency::OpenError;
use gaugestand_settings::{ClusterSettings, Lists};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Parameters of the FNV-1a hash with 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Why a node cannot take part in its cluster. The error ends the start of the process.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// A `number` is configured for the node with this name, which is a founding member.
    #[error(
        "fleet: `number` is set, but {0:?} is one of `members`; set it only for a node that joined later"
    )]
    NumberOfFirstMember(String),
    /// A node that joined later has no `listen` address configured.
    #[error("fleet: `listen` is missing; a node with a `number` has to set it")]
    NoListenAddress,
    /// The node with this name is not among the founding members, and no valid `number` is configured for it.
    #[error(
        "fleet: this node's name {0:?} is not in `members`, and `number` is missing or belongs to one of \
         `members`; correct the name or, for a node that joined later, set `number` to what 'gaugestand \
         fleet join' printed"
    )]
    UnknownNode(String),
    /// The lease duration or the bound on clock drift is invalid.
    #[error("fleet: `contradict_ms` or `drift_ppm` is invalid: {0}")]
    Lease(#[from] LeaseConfigError),
    /// The configured founding members are invalid.
    #[error("fleet: `members`: {0}")]
    Members(#[from] MembershipError),
    /// The environment variable GAUGESTAND_PLANTED names no known defect.
    #[cfg(feature = "injected-defects")]
    #[error("GAUGESTAND_PLANTED: unknown defect {name:?}; expected one of {known}")]
    UnknownDefect {
        /// The name in the environment variable.
        name: String,
        /// The names of all defects, separated by commas.
        known: String,
    },
    /// The consensus log cannot be opened; for example its file belongs to another node, is locked, or has
    /// another format.
    #[error(transparent)]
    OpenLog(#[from] OpenError),
    /// The consensus log was opened, but its content cannot be used.
    #[error(
        "consensus log {}: {error}; see docs/operators/fleet.md before you move the file away, nothing was \
         changed",
        path.display()
    )]
    Log {
        /// The file of the consensus log.
        path: PathBuf,
        /// What is wrong with the content.
        error: ConsensusError,
    },
    /// The system refuses to listen at the address for other nodes.
    #[error("fleet: cannot listen at {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
}

/// This node's number, and the address at which other nodes reach it.
struct Identity {
    node_id: NodeId,
    own_address: SocketAddr,
}

impl Identity {
    /// Finds the identity of the node with this name: a founding member is numbered by its position among
    /// `members`, a node that joined later has its number configured.
    fn find(settings: &ClusterSettings, name: &str) -> Result<Self, PeersError> {
        let place = settings.members.iter().position(|(member, _)| member == name);
        match (place, settings.number) {
            (Some(place), None) => {
                Ok(Identity { node_id: place as NodeId, own_address: settings.members[place].1 })
            }
            (Some(_), Some(_)) => Err(PeersError::NumberOfFirstMember(name.to_string())),
            (None, Some(node_id)) if usize::from(node_id) >= settings.members.len() => {
                let own_address = settings.listen.ok_or(PeersError::NoListenAddress)?;
                Ok(Identity { node_id, own_address })
            }
            (None, _) => Err(PeersError::UnknownNode(name.to_string())),
        }
    }
}

fn enabled_lists(lists: Lists) -> EnabledLists {
    EnabledLists {
        blocked: matches!(lists, Lists::Barred | Lists::Both),
        gateway_limits: matches!(lists, Lists::Shares | Lists::Both),
    }
}

/// Fingerprint of the settings that have to be the same on all nodes: the members' names in their order, the
/// lease times and the lists. It detects mistakes in the configuration; it does not protect against an
/// attacker.
fn config_fingerprint(settings: &ClusterSettings) -> u64 {
    let names: Vec<&str> = settings.members.iter().map(|(name, _)| name.as_str()).collect();
    let shared = json!([names, settings.contradict_ms, settings.drift_ppm, settings.lists]).to_string();
    shared.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

fn lease_config(settings: &ClusterSettings) -> Result<LeaseConfig, PeersError> {
    let duration = Micros::millis(settings.contradict_ms);
    let lease = LeaseConfig::new(settings.members.len(), duration, settings.drift_ppm)?;
    #[cfg(feature = "injected-defects")]
    let lease = with_injected_defect(lease)?;
    Ok(lease)
}

/// Returns the lease rules with the defect that the environment variable GAUGESTAND_PLANTED names.
#[cfg(feature = "injected-defects")]
fn with_injected_defect(lease: LeaseConfig) -> Result<LeaseConfig, PeersError> {
    use gaugestand_cluster::lease::Defect;
    let Ok(name) = std::env::var("GAUGESTAND_PLANTED") else { return Ok(lease) };
    let Some(defect) = Defect::from_name(&name) else {
        let known: Vec<&str> = Defect::BY_NAME.iter().map(|(name, _)| *name).collect();
        return Err(PeersError::UnknownDefect { name, known: known.join(", ") });
    };
    tracing::warn!(
        name,
        "cluster: GAUGESTAND_PLANTED injects a defect into the lease rules; use this build for tests only"
    );
    Ok(lease.with_defect(defect))
}

impl<S: System> Peers<S> {
    /// Opens the consensus log and listens for other nodes; connections are made by [`Peers::on_timer`].
    /// `name` is this node's name, and `seed` is for the jitter of reconnects.
    ///
    /// # Errors
    /// The cluster settings are invalid or do not name this node, the log cannot be opened
    /// ([`PeersError::OpenLog`]) or used ([`PeersError::Log`]), or the system refuses to listen
    /// ([`PeersError::Listen`]). The node cannot take part in its cluster.
    pub fn start(
        system: &S,
        settings: &ClusterSettings,
        name: &str,
        seed: u64,
        keys: PollKeys,
    ) -> Result<Self, PeersError> {
        let Identity { node_id, own_address } = Identity::find(settings, name)?;
        let lease = lease_config(settings)?;
        let names: Vec<String> = settings.members.iter().map(|(name, _)| name.clone()).collect();
        let owner = format!("node {name} of fleet {:?} ({})", settings.name, names.join(", "));
        let (writer, found) = system
            .open_consensus_log(&settings.path, &owner, keys.log_writer)
            .map_err(PeersError::OpenLog)?;
        let address = settings.listen.unwrap_or(own_address);
        let listener =
            system.listen(address, keys.listener).map_err(|error| PeersError::Listen { address, error })?;
        let initial_membership = Membership::initial(&settings.members)?;
        let config = ConsensusConfig { node_id, initial_membership, lease, incarnation: found.incarnation };
        let mut commands = Vec::new();
        let now = system.moment().mono;
        let consensus = Consensus::new(now, config, &found, &mut commands)
            .map_err(|error| PeersError::Log { path: settings.path.clone(), error })?;
        let mut peers = Peers {
            system: system.clone(),
            consensus,
            codec: FrameCodec {
                cluster: settings.name.clone(),
                config_fingerprint: config_fingerprint(settings),
                node_id,
                incarnation: found.incarnation,
            },
            configured: settings.members.clone(),
            own_address,
            peers: BTreeMap::new(),
            removed_by: None,
            enabled_lists: enabled_lists(settings.lists),
            lease_duration: lease.duration(),
            listener,
            first_key: keys.first_connection,
            connections: (0..CONNECTION_KEYS).map(|_| None).collect(),
            log_writer: LogWriter::new(writer),
            commands: VecDeque::from(commands),
            rng: fastrand::Rng::with_seed(seed),
            applied: AppliedVersion::default(),
            attempts: OpenAttempts::default(),
            last_warning: None,
            has_work: true,
            next_timer: Timestamp(0),
        };
        peers.update_peers(system.moment().mono);
        Ok(peers)
    }
}
