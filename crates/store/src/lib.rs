//! Interface of daemons and the tool to the platform's store.
//!
//! [`ObjectStore`] is the object API that this project defines; [`HttpStore`] is its client. [`FleetPlatform`] is the
//! interface to a platform that stores the configuration itself; the crate in `platform/` implements it. Both make
//! their calls through [`StoreClient`]. docs/PLATFORM.md describes the object API.

mod answer_budget;
mod applying;
mod client;
mod entry_fault;
mod fleet;
mod http;
mod store;

pub use applying::run_apply;
pub use client::{StoreClient, StoreReply, StoreRequest};
pub use entry_fault::{EntryFault, FaultReason};
pub use fleet::{
    ConfigAnswer, ConfigRead, DaemonList, EvacuationEntries, FleetConfig, FleetPlatform, ListAge,
    ListWatch, RefusalList, RolloutList, StoredRefusal, StreamFormList, TargetList, TargetWatch,
    VersionHistoryList, WireProfile,
};
pub use http::HttpStore;
pub use store::{
    Error, ObjectStore, PutOutcome, Result, StoreFuture, StoredObject, VmList, VmRecord, VmState,
};
