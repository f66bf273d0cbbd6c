//! Duration of leases and the delay that a committed version waits for them.

use super::defect::Defect;
use crate::voters::VoterSet;
use gaugestand_admission::time::Micros;

/// Unit of the drift bound: parts per million.
const PARTS_PER_MILLION: u64 = 1_000_000;
/// A node renews its lease this many times within one duration, so that some requests may be lost before it expires.
const RENEWALS_PER_LEASE: u64 = 4;
/// Drift from one tenth on is refused: the bound would then say that a clock is broken, and the delay would grow without
/// use.
const MAX_DRIFT_FRACTION: u64 = 10;

/// Why lease times are refused. The texts complete the node's message about `fleet(...)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseConfigError {
    /// The duration is too short to be renewed, or there are no voters.
    #[error("Nothing")]
    Empty,
    /// The drift bound is a tenth or more.
    #[error("Drift")]
    Drift,
}

/// Lease times and the first voters: the same on all nodes of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    duration: Micros,
    activation_delay: Micros,
    initial_voters: VoterSet,
    #[cfg(feature = "injected-defects")]
    defect: Option<Defect>,
}

impl LeaseConfig {
    /// Leases of this duration, for a cluster that begins with `voters` nodes, the clocks of which drift apart by at most
    /// `drift_ppm` parts per million.
    ///
    /// # Errors
    /// [`LeaseConfigError::Empty`] if there are no voters or the duration is too short to be renewed within
    /// it, and [`LeaseConfigError::Drift`] if the drift bound is a tenth or more.
    pub fn new(voters: usize, duration: Micros, drift_ppm: u64) -> Result<Self, LeaseConfigError> {
        if voters == 0 || duration.0 < RENEWALS_PER_LEASE {
            return Err(LeaseConfigError::Empty);
        }
        if drift_ppm * MAX_DRIFT_FRACTION >= PARTS_PER_MILLION {
            return Err(LeaseConfigError::Drift);
        }
        // The slowest clock measures the lease, the fastest one the delay: twice the drift, rounded up, and one unit more.
        let margin = duration.0.saturating_mul(2 * drift_ppm).div_ceil(PARTS_PER_MILLION) + 1;
        Ok(LeaseConfig {
            duration,
            activation_delay: Micros(duration.0 + margin),
            initial_voters: VoterSet::first(voters),
            #[cfg(feature = "injected-defects")]
            defect: None,
        })
    }

    /// The same with a defect, for tests of the checkers.
    #[cfg(feature = "injected-defects")]
    pub fn with_defect(self, defect: Defect) -> Self {
        let activation_delay = match defect {
            Defect::NoDriftMargin => self.duration,
            Defect::NoActivationDelay => Micros(0),
            _ => self.activation_delay,
        };
        LeaseConfig { activation_delay, defect: Some(defect), ..self }
    }

    /// How long a lease lasts from its request, by the requester's clock.
    pub fn duration(&self) -> Micros {
        self.duration
    }

    /// From when a node learns that a version is committed to when it may act on it.
    pub fn activation_delay(&self) -> Micros {
        self.activation_delay
    }

    /// From a request of a lease to the next one.
    pub fn renewal_interval(&self) -> Micros {
        Micros(self.duration.0 / RENEWALS_PER_LEASE)
    }

    /// The voters of version 0.
    pub fn initial_voters(&self) -> VoterSet {
        self.initial_voters
    }

    /// Whether this defect was injected; never in a build without the feature.
    pub(super) fn has_defect(&self, defect: Defect) -> bool {
        #[cfg(feature = "injected-defects")]
        let injected = self.defect;
        #[cfg(not(feature = "injected-defects"))]
        let injected = None;
        injected == Some(defect)
    }
}
