//! Describes unusable entries in the platform's lists.
//!
//! Owns: the reasons. Relies on: an implementation of `FleetPlatform`, which detects them.

/// Why a list entry is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultReason {
    /// The entry is not valid UTF-8.
    NotText,
    /// The entry is not valid JSON, or not an object.
    NotJson,
    /// The entry has no name, so its target is unknown.
    NoName,
    /// A field is missing, duplicate, of another type or out of range.
    Fields,
    /// The address is invalid.
    Address,
    /// The state is unknown.
    State,
    /// The service is not in the configuration.
    Service,
    /// No target is in the data centre.
    DataCentre,
    /// The request digest is invalid.
    Digest,
    /// The warm-up of a target is no time. The target is used without it.
    WarmUp,
}

impl FaultReason {
    /// All reasons.
    pub const ALL: [FaultReason; 10] = [
        FaultReason::NotText,
        FaultReason::NotJson,
        FaultReason::NoName,
        FaultReason::Fields,
        FaultReason::Address,
        FaultReason::State,
        FaultReason::Service,
        FaultReason::DataCentre,
        FaultReason::Digest,
        FaultReason::WarmUp,
    ];

    /// Returns the name of the reason in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            FaultReason::NotText => "not_text",
            FaultReason::NotJson => "not_json",
            FaultReason::NoName => "no_name",
            FaultReason::Fields => "fields",
            FaultReason::Address => "address",
            FaultReason::State => "state",
            FaultReason::Service => "service",
            FaultReason::DataCentre => "data_centre",
            FaultReason::Digest => "digest",
            FaultReason::WarmUp => "warm_up",
        }
    }
}

/// An unusable list entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryFault {
    /// Name of the entry, empty if it is unreadable.
    pub name: String,
    /// Why the entry is unusable.
    pub reason: FaultReason,
    /// What is wrong, with text from the entry; the length is not limited.
    pub detail: String,
}
