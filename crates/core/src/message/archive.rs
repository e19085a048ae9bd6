//! Messages with which a daemon fetches a configuration from a peer, part by part. The codec is
//! positional: names may change, order and types may not.
//!
//! Owns: the form of these messages. Relies on: nothing; `node` asks, `config` packs.

use serde::{Deserialize, Serialize};

use crate::Generation;

/// Names a packed configuration. Daemons that pack the same texts alike give it the same name, so that
/// the parts of one may come from several of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArchiveId {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Length in bytes, packed.
    pub length: u32,
    /// CRC-32 of the packed bytes.
    pub checksum: u32,
}

/// Asks for a part of a configuration that is newer than the asker's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigPartPull {
    /// Configuration in force at the asker, 0 for none.
    pub known: Generation,
    /// What the asker has the beginning of, `None` where it has nothing yet.
    pub archive: Option<ArchiveId>,
    /// Bytes of it that the asker has.
    pub offset: u32,
}

/// A part of a packed configuration: of the one that was asked for or, where the sender has another one
/// in force, the beginning of that. One without bytes says that the sender has it and sends it to others
/// first.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigPart {
    /// What it is a part of.
    pub archive: ArchiveId,
    /// Where it begins, in bytes.
    pub offset: u32,
    /// The bytes.
    pub bytes: Vec<u8>,
}

impl ConfigPart {
    /// Whether the archive ends with it.
    pub fn is_last(&self) -> bool {
        self.offset as usize + self.bytes.len() >= self.archive.length as usize
    }
}
