//! Defines the interface to the platform's objects and its list of VMs.
//!
//! Owns: the interface and the errors of calls. Relies on: an implementation, `http` or a stand-in.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use curlewcleat_core::{ObjectVersion, VmId};
use serde::{Deserialize, Serialize};

use crate::entry_fault::EntryFault;

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No complete answer arrived; a write may have taken effect.
    #[error("platform: no answer: {0}")]
    OutcomeUnknown(String),
    /// The platform accepts no more calls for now.
    #[error("platform: rate limit reached")]
    RateLimited,
    /// The platform refused the call; it had no effect.
    #[error("platform: refused with status {0}")]
    Refused(u16),
    /// The answer is invalid.
    #[error("platform: unreadable answer: {0}")]
    Protocol(String),
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// A call in progress. It must be awaited on the thread that made it.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

/// An object as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Version of the object; it starts at 1 and increases with each change.
    pub version: ObjectVersion,
    /// Content.
    pub bytes: Vec<u8>,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// Stored under this version.
    Stored(ObjectVersion),
    /// The object has another version; nothing was stored.
    Conflict,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM runs and is about to be removed.
    Leaving,
}

/// An entry of the platform's list of VMs. A VM that has ended is not listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre.
    pub data_centre: String,
    /// State.
    pub state: VmState,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmList {
    /// The VMs. One whose record is unusable except for its name is included as leaving.
    pub vms: Vec<VmRecord>,
    /// The unusable records.
    pub faults: Vec<EntryFault>,
}

/// The object API and the VM list.
pub trait ObjectStore {
    /// Reads an object; returns `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoredObject>>;

    /// Writes an object if its version is still `expected`; 0 means that the object must not exist.
    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: ObjectVersion,
        bytes: Vec<u8>,
    ) -> StoreFuture<'a, PutOutcome>;

    /// Waits until the object has a version above `known`, and reads it; returns `None` after `limit`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: ObjectVersion,
        limit: Duration,
    ) -> StoreFuture<'a, Option<StoredObject>>;

    /// Returns the keys that begin with a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<String>>;

    /// Returns the platform's list of VMs, which lags behind their actual state.
    fn vms(&self) -> StoreFuture<'_, VmList>;
}
