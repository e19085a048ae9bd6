//! Idempotency keys: which daemon holds a key, and whether a request with the key may run.
//!
//! A table in the platform's object API assigns each slot of key hashes to one daemon, its holder. The assignment
//! changes only when the holder hands the slot over, when the platform reports that the holder's VM was removed, or
//! when a later incarnation runs on the holder's VM. It never changes after a timeout, so no other daemon becomes the
//! holder while the current one is only paused.

mod holder;
mod slot;
mod table;

pub use holder::{KeyHolder, KeyHolderOptions};
pub use table::{slot_of, KeyTable, TABLE_KEY};
