//! Duration of leases, and the delay between the commit of a version and its activation, which outlasts all
//! leases of earlier versions.

use super::defect::Defect;
use crate::voters::VoterSet;
use gaugestand_admission::time::Micros;

/// Divisor of the drift bound, which is given in parts per million.
const PARTS_PER_MILLION: u64 = 1_000_000;
/// Number of lease requests that a node makes within one lease duration; more than one, so that some requests
/// may be lost before the lease expires.
const RENEWALS_PER_LEASE: u64 = 4;
/// Inverse of the lowest drift bound that is rejected, which is one tenth. A drift of a tenth or more means
/// that a clock is broken, and would only lengthen the activation delay.
const MAX_DRIFT_FRACTION: u64 = 10;

/// Why a lease configuration is rejected. The node inserts the texts into its start-up error about
/// `fleet(...)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseConfigError {
    /// There are no voters, or the duration in microseconds is shorter than the number of renewals within it.
    #[error("`contradict_ms` is too short for its renewals, or there is no voter")]
    NoVotersOrTooShort,
    /// The drift bound is one tenth (100,000 parts per million) or more.
    #[error("`drift_ppm` must be below {max}", max = PARTS_PER_MILLION / MAX_DRIFT_FRACTION)]
    Drift,
}

/// Lease times and the voters of version 0. All nodes of a cluster must have the same configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    duration: Micros,
    activation_delay: Micros,
    initial_voters: VoterSet,
    #[cfg(feature = "injected-defects")]
    defect: Option<Defect>,
}

impl LeaseConfig {
    /// Configuration for a cluster that begins with `voters` nodes. Leases last `duration`, and the clocks of
    /// any two nodes drift apart by at most `drift_ppm` parts per million.
    ///
    /// # Errors
    /// [`LeaseConfigError::NoVotersOrTooShort`] if there are no voters or the duration is too short for its
    /// renewals, and [`LeaseConfigError::Drift`] if the drift bound is a tenth or more.
    pub fn new(voters: usize, duration: Micros, drift_ppm: u64) -> Result<Self, LeaseConfigError> {
        if voters == 0 || duration.0 < RENEWALS_PER_LEASE {
            return Err(LeaseConfigError::NoVotersOrTooShort);
        }
        if drift_ppm * MAX_DRIFT_FRACTION >= PARTS_PER_MILLION {
            return Err(LeaseConfigError::Drift);
        }
        // In the worst case the slowest clock measures the lease and the fastest clock the delay. The margin
        // is twice the drift bound, rounded up, plus one microsecond.
        let margin = duration.0.saturating_mul(2 * drift_ppm).div_ceil(PARTS_PER_MILLION) + 1;
        Ok(LeaseConfig {
            duration,
            activation_delay: Micros(duration.0 + margin),
            initial_voters: VoterSet::first(voters),
            #[cfg(feature = "injected-defects")]
            defect: None,
        })
    }

    /// Returns this configuration with an injected defect, for tests of the checkers.
    #[cfg(feature = "injected-defects")]
    pub fn with_defect(self, defect: Defect) -> Self {
        let activation_delay = match defect {
            Defect::NoDriftMargin => self.duration,
            Defect::NoActivationDelay => Micros(0),
            _ => self.activation_delay,
        };
        LeaseConfig { activation_delay, defect: Some(defect), ..self }
    }

    /// Duration of a lease from its request, by the requester's clock.
    pub fn duration(&self) -> Micros {
        self.duration
    }

    /// Delay from when a node learns that a conflicting version is committed until the node activates it, by
    /// that node's clock.
    pub fn activation_delay(&self) -> Micros {
        self.activation_delay
    }

    /// Interval between two lease requests of a node, by that node's clock.
    pub fn renewal_interval(&self) -> Micros {
        Micros(self.duration.0 / RENEWALS_PER_LEASE)
    }

    /// Voters of version 0, before any membership change is committed.
    pub fn initial_voters(&self) -> VoterSet {
        self.initial_voters
    }

    /// Whether this defect was injected; always false in a build without the feature `injected-defects`.
    pub(super) fn has_defect(&self, defect: Defect) -> bool {
        #[cfg(feature = "injected-defects")]
        let injected = self.defect;
        #[cfg(not(feature = "injected-defects"))]
        let injected = None;
        injected == Some(defect)
    }
}
