//! The border towards the platform.
//!
//! Owns: the border and the errors of calls. Relies on: an implementation, `http` or a stand-in.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use curlewcleat_core::{ObjectVersion, VmId};
use serde::{Deserialize, Serialize};

/// What goes wrong with a call of the platform.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No whole answer came; a write may have taken effect.
    #[error("platform: no answer: {0}")]
    Unclear(String),
    /// The platform takes no more calls for now.
    #[error("platform: rate limit reached")]
    RateLimited,
    /// The platform refuses the call; it had no effect.
    #[error("platform: refused with status {0}")]
    Refused(u16),
    /// The answer cannot be read.
    #[error("platform: unreadable answer: {0}")]
    Protocol(String),
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// A call under way. Calls stay on the thread that made them.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;

/// An object as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Counts up with each change of the object, from 1.
    pub version: ObjectVersion,
    /// Content.
    pub bytes: Vec<u8>,
}

/// What a conditional write led to.
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
    /// Runs.
    Live,
    /// Runs and is about to be taken away.
    Leaving,
}

/// A line of the platform's list. A VM that has ended is no longer listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre.
    pub data_centre: String,
    /// State.
    pub state: VmState,
}

/// The object API and the VM list.
pub trait ObjectStore {
    /// Reads an object; `None` where there is none.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoredObject>>;

    /// Writes an object if its version is still `expected`, 0 for absent.
    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: ObjectVersion,
        bytes: Vec<u8>,
    ) -> StoreFuture<'a, PutOutcome>;

    /// Waits until the object has a version above `known` and reads it; `None` if `limit` passes.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: ObjectVersion,
        limit: Duration,
    ) -> StoreFuture<'a, Option<StoredObject>>;

    /// Keys that begin with a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<String>>;

    /// The VMs as the platform knows them, late.
    fn vms(&self) -> StoreFuture<'_, Vec<VmRecord>>;
}
