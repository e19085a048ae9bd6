//! Type aliases for the identifiers that several crates use.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Name of a VM that runs a daemon or a target, as the platform lists it.
pub type VmId = String;
/// Name of a target, unique in the configuration.
pub type TargetId = String;
/// Version of a target's software, as the target reports it.
pub type TargetVersion = String;
/// Name of a target pool.
pub type PoolId = String;
/// Name of a data centre, as the platform lists it.
pub type DataCentreId = String;
/// Name of a tier of requests.
pub type TierId = String;
/// Rank of a tier: 0 is the highest and is shed last.
pub type TierRank = u8;
/// Name of a client account.
pub type AccountId = String;
/// Identifies one caller request inside the system.
pub type RequestId = uuid::Uuid;
/// Identifies one start of a daemon process. It is drawn at random, so that a start needs no access to a store.
pub type Incarnation = u64;
/// Position of a configuration in the order of all accepted configurations.
pub type Generation = u64;
/// Version of an object as assigned by the platform's object API.
pub type ObjectVersion = u64;
/// Key that a caller attaches to a request that must run at most once.
pub type IdempotencyKey = String;
/// Index of a slot of key hashes; one daemon holds each slot.
pub type KeySlot = u16;
/// Monotonic time since the process started.
pub type Uptime = Duration;
/// Wall-clock time since the Unix epoch.
pub type WallTime = Duration;
/// Work, as the microseconds for which it occupies one target slot.
pub type WorkMicros = u64;

/// Identifies a permit by the request and the dispatch attempt that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitId {
    /// The request that the permit is for.
    pub request: RequestId,
    /// Index of the dispatch attempt, from 0.
    pub attempt: u32,
}
