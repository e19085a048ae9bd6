//! A place in the history of the platform's store.
//!
//! A store that comes back from an older copy gives its revisions out again, and begins another era. Eras are ordered, and
//! revisions inside an era; revisions of two eras are never compared with each other.
//!
//! Owns: the order, and how a place stands in an [`ObjectVersion`]. Relies on: eras below 65,536 and revisions below
//! 2^48.

use crate::ObjectVersion;

/// Number of times that a store has come back from a copy.
pub type StoreEra = u16;

/// Bits of a version that hold the revision; the era stands above them. In era 0 a version is the revision, as it was before
/// stores had eras.
const REVISION_BITS: u32 = 48;

/// An era of a store and a revision in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePlace {
    /// The era.
    pub era: StoreEra,
    /// The revision, as the store tells it.
    pub revision: u64,
}

impl StorePlace {
    /// The place at a version.
    pub fn of(version: ObjectVersion) -> StorePlace {
        let revision = version & ((1 << REVISION_BITS) - 1);
        StorePlace { era: (version >> REVISION_BITS) as StoreEra, revision }
    }

    /// The place as a version, which is ordered alike. `None` where the revision is too large.
    pub fn version(self) -> Option<ObjectVersion> {
        let fits = self.revision >> REVISION_BITS == 0;
        fits.then_some(ObjectVersion::from(self.era) << REVISION_BITS | self.revision)
    }
}
