//! Defects of the lease rules that tests inject, to show that the checkers detect them.

/// A defect of the lease rules, injected by tests. Only a build with the feature `injected-defects` can have
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Defect {
    /// The activation delay leaves no margin for clock drift.
    NoDriftMargin,
    /// A conflicting version is activated as soon as it is committed, without the activation delay.
    NoActivationDelay,
    /// A lease is valid as soon as it is requested, without grants of a quorum.
    NoQuorum,
    /// The duration of a lease is counted from the arrival of its grants instead of from its request.
    LeaseFromGrant,
    /// A node requests and grants leases of a version although its log holds a later version.
    GrantsOutdatedLease,
    /// A compatible version is activated before an earlier version that still waits for its activation.
    ActivatesOutOfOrder,
    /// A lease is valid once as many nodes granted it as are a majority of the initial voters, whether or not
    /// these nodes vote.
    InitialMajority,
}

#[cfg(feature = "injected-defects")]
impl Defect {
    /// All defects with their names in the environment variable `GAUGESTAND_PLANTED`.
    pub const BY_NAME: [(&str, Defect); 7] = [
        ("no-margin", Defect::NoDriftMargin),
        ("at-once", Defect::NoActivationDelay),
        ("renewed-alone", Defect::NoQuorum),
        ("from-answer", Defect::LeaseFromGrant),
        ("says-yes", Defect::GrantsOutdatedLease),
        ("overtakes", Defect::ActivatesOutOfOrder),
        ("first-majority", Defect::InitialMajority),
    ];

    /// Returns the defect with this name in [`Self::BY_NAME`].
    pub fn from_name(name: &str) -> Option<Self> {
        Self::BY_NAME.iter().find(|(known, _)| *known == name).map(|(_, defect)| *defect)
    }
}
