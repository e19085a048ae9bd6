//! Positions in the history of the platform's store.
//!
//! A store that is restored from an older copy assigns revisions a second time, so each restore begins a new era. Eras
//! are ordered, and so are the revisions within one era; revisions of different eras are never compared.
//!
//! Owns: the order of positions and their encoding in an [`ObjectVersion`]. Relies on: eras below 65,536 and revisions
//! below 2^48.

use crate::ObjectVersion;

/// Number of times that a store was restored from a copy.
pub type StoreEra = u16;

/// Number of low bits of a version that hold the revision; the era is in the bits above. In era 0 the version equals
/// the revision, which is compatible with stores without eras.
const REVISION_BITS: u32 = 48;

/// A position in the history of a store: an era and a revision within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision as reported by the store.
    pub revision: u64,
}

impl StorePosition {
    /// Decodes the position from a version.
    pub fn from_version(version: ObjectVersion) -> StorePosition {
        let revision = version & ((1 << REVISION_BITS) - 1);
        StorePosition { era: (version >> REVISION_BITS) as StoreEra, revision }
    }

    /// Encodes the position as a version; versions have the same order as positions. Returns `None` where the revision
    /// does not fit.
    pub fn version(self) -> Option<ObjectVersion> {
        let fits = self.revision >> REVISION_BITS == 0;
        fits.then_some(ObjectVersion::from(self.era) << REVISION_BITS | self.revision)
    }
}
