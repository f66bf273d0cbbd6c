//! Start: this node's number, the checks of its `fleet(...)` setting, and the log on disk.

use super::active_version::AppliedVersion;
use super::log_writer::LogWriter;
use super::open_attempts::OpenAttempts;
use super::{KEYS, Peers, PollKeys};
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

/// FNV-1a, 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Why a node cannot take part in its cluster.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// A number is configured for a node that is among the first members.
    #[error("fleet: `number` is for a node that joins; {0:?} is one of `members`")]
    NumberOfFirstMember(String),
    /// A node that joins has no address of its own configured.
    #[error("fleet: `listen` has to be there beside `number`")]
    NoListenAddress,
    /// The node is not among the first members, and no number is configured for it.
    #[error(
        "fleet: `members` has no {0:?}, which is this node's name; a node that joins needs the `number` \
         that 'gaugestand fleet join' told"
    )]
    UnknownNode(String),
    /// The lease times are invalid.
    #[error("fleet: its times make no sense: {0}")]
    Lease(#[from] LeaseConfigError),
    /// The first members are invalid.
    #[error("fleet: `members`: {0}")]
    Members(#[from] MembershipError),
    /// The environment names a defect that there is not.
    #[cfg(feature = "injected-defects")]
    #[error("GAUGESTAND_PLANTED: there is no defect {name:?}; there are {known}")]
    UnknownDefect {
        /// The name.
        name: String,
        /// Names of all defects.
        known: String,
    },
    /// The log cannot be opened, as the file's owner, lock or format say.
    #[error(transparent)]
    OpenLog(#[from] OpenError),
    /// The log's content cannot be used.
    #[error("agreed log {}: {error}; nothing was changed", path.display())]
    Log {
        /// The log's file.
        path: PathBuf,
        /// What is wrong with it.
        error: ConsensusError,
    },
    /// The address for other nodes cannot be listened at.
    #[error("fleet: {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
}

/// Which node this is, and where others reach it.
struct Identity {
    node_id: NodeId,
    own_address: SocketAddr,
}

impl Identity {
    /// By name among the first members; a node that joins later has its number configured.
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

/// Fingerprint of what all nodes have to configure alike: names in their order, lease times, lists. It finds mistakes in
/// configurations; it is no protection against an attacker.
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

/// The lease rules with the defect that the environment names.
#[cfg(feature = "injected-defects")]
fn with_injected_defect(lease: LeaseConfig) -> Result<LeaseConfig, PeersError> {
    use gaugestand_cluster::lease::Defect;
    let Ok(name) = std::env::var("GAUGESTAND_PLANTED") else { return Ok(lease) };
    let Some(defect) = Defect::from_name(&name) else {
        let known: Vec<&str> = Defect::BY_NAME.iter().map(|(name, _)| *name).collect();
        return Err(PeersError::UnknownDefect { name, known: known.join(", ") });
    };
    tracing::warn!(name, "a defect is planted: this build is for checks alone");
    Ok(lease.with_defect(defect))
}

impl<S: System> Peers<S> {
    /// Opens the log and listens; connections are made by [`Peers::on_timer`].
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
            connections: (0..KEYS).map(|_| None).collect(),
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
