//! Keys of requests that may not be repeated: which daemon knows a key, and what it knows.
//!
//! A table in the platform's object API gives each slot of key hashes to one daemon. It changes only
//! by the holder's own hand-over or on the platform's word that the holder's VM is gone; never by a
//! time-out, so a paused holder has no rival.

mod home;
mod slot;
mod table;

pub use home::{KeyHome, KeyHomeOptions};
pub use table::{slot_of, KeyTable, TABLE_KEY};
