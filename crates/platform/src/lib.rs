//! The platform's side: objects with versions, and the list of VMs.
//!
//! [`FleetPlatform`] is the border towards a platform that keeps the configuration itself.
//! [`ObjectStore`] is the border towards the product's own object API; [`HttpStore`] speaks the object API over HTTP. The shape of the
//! API is described in docs/PLATFORM.md.

mod applying;
mod fleet;
mod http;
mod store;

pub use applying::run_apply;
pub use fleet::{ConfigRead, DaemonRecord, FleetPlatform, TargetList, TargetWatch, WireProfile};
pub use http::HttpStore;
pub use store::{
    Error, ObjectStore, PutOutcome, Result, StoreFuture, StoredObject, VmRecord, VmState,
};
