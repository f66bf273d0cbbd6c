//! Defects that tests inject, to show that the checkers find them.

/// A defect of the lease rules. Only a build with the feature `injected-defects` can have one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Defect {
    /// The activation delay leaves no margin for clock drift.
    NoDriftMargin,
    /// A version is activated as soon as it is committed.
    NoActivationDelay,
    /// A lease counts without a quorum.
    NoQuorum,
    /// A lease lasts from when its grants arrived, not from when it was requested.
    LeaseFromGrant,
    /// A node grants a lease of an older version than its log holds.
    GrantsOutdatedLease,
    /// A compatible version is activated before an earlier one that still waits.
    ActivatesOutOfOrder,
    /// A lease counts by the size of the first voters' majority, whoever grants it.
    InitialMajority,
}

#[cfg(feature = "injected-defects")]
impl Defect {
    /// All defects, by the names in the environment variable `GAUGESTAND_PLANTED`.
    pub const BY_NAME: [(&str, Defect); 7] = [
        ("no-margin", Defect::NoDriftMargin),
        ("at-once", Defect::NoActivationDelay),
        ("renewed-alone", Defect::NoQuorum),
        ("from-answer", Defect::LeaseFromGrant),
        ("says-yes", Defect::GrantsOutdatedLease),
        ("overtakes", Defect::ActivatesOutOfOrder),
        ("first-majority", Defect::InitialMajority),
    ];

    /// The defect of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::BY_NAME.iter().find(|(known, _)| *known == name).map(|(_, defect)| *defect)
    }
}
