//! Messages with which a daemon fetches a configuration from a peer in parts. The codec is positional: names may
//! change, order and types may not.
//!
//! Owns: the format of these messages. Relies on: nothing; `node` sends the requests, `config` packs the archives.

use serde::{Deserialize, Serialize};

use crate::Generation;

/// Identifies a packed configuration. Daemons that pack the same texts in the same way compute the same id, so that the
/// parts of one archive may come from several daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArchiveId {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Length of the packed bytes.
    pub length: u32,
    /// CRC-32 of the packed bytes.
    pub checksum: u32,
}

/// Requests a part of a configuration that is newer than the sender's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigPartPull {
    /// Generation of the configuration in force at the sender, 0 for none.
    pub known: Generation,
    /// The archive of which the sender has the beginning, `None` where it has none yet.
    pub archive: Option<ArchiveId>,
    /// Number of bytes of the archive that the sender has.
    pub offset: u32,
}

/// A part of a packed configuration: of the requested one or, where the sender has another one in force, the beginning
/// of that one. A part without bytes means that the sender has the archive and serves other daemons first.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigPart {
    /// The archive that the part belongs to.
    pub archive: ArchiveId,
    /// Offset of the part in the archive, in bytes.
    pub offset: u32,
    /// The bytes of the part.
    pub bytes: Vec<u8>,
}

impl ConfigPart {
    /// Returns whether the archive ends with this part.
    pub fn is_last(&self) -> bool {
        self.offset as usize + self.bytes.len() >= self.archive.length as usize
    }
}
