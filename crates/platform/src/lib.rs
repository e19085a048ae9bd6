//! The platform's side: objects with versions, and the list of VMs.
//!
//! [`ObjectStore`] is the border; [`HttpStore`] speaks the object API over HTTP. The shape of the
//! API is described in docs/PLATFORM.md.

mod applying;
mod http;
mod store;

pub use applying::run_apply;
pub use http::HttpStore;
pub use store::{
    Error, ObjectStore, PutOutcome, Result, StoreFuture, StoredObject, VmRecord, VmState,
};
