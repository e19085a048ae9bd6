//! A configuration packed for its way to other daemons.
//!
//! Owns: the packed form, which only daemons exchange; the platform keeps texts. Relies on: flate2, which
//! packs equal texts alike.

use std::io::{Read, Write};

use curlewcleat_core::{ArchiveId, ConfigBundle, ConfigPart};
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::{Compression, Crc};

/// Longest part in bytes: 52 ms on a link of 10 Mbit/s, the least that the users' VMs have, so that heartbeats and
/// proofs behind it are not late; two parts for a megabyte of rules, so that changes in quick succession are not
/// faster than the parts.
pub const PART_BYTES: usize = 64 << 10;
/// Longest first part in bytes: many ask for it at the same time.
const FIRST_PART_BYTES: usize = 32 << 10;
/// Longest configuration in bytes, packed or not: bounds what a peer can make this daemon hold; the platform's object
/// has a megabyte.
pub const ARCHIVE_LIMIT: usize = 16 << 20;

/// Why an archive cannot be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum ArchiveError {
    /// The texts cannot be encoded or packed.
    #[error("archive: cannot be packed: {0}")]
    Pack(String),
    /// The bytes are not those that the name tells of.
    #[error("archive: the bytes do not match their name")]
    Checksum,
    /// The bytes do not unpack, or to more than a configuration may have.
    #[error("archive: cannot be unpacked: {0}")]
    Unpack(std::io::Error),
    /// What is unpacked is no configuration.
    #[error("archive: does not decode: {0}")]
    Decode(postcard::Error),
}

/// A packed configuration. Packing makes a megabyte of rules about 100 kB long in 3 ms of a core.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigArchive {
    id: ArchiveId,
    bytes: Vec<u8>,
}

impl ConfigArchive {
    /// Packs a configuration.
    ///
    /// # Errors
    /// [`ArchiveError::Pack`] where it is too long.
    pub fn pack(bundle: &ConfigBundle) -> Result<ConfigArchive, ArchiveError> {
        let pack_error = |error: &dyn std::fmt::Display| ArchiveError::Pack(error.to_string());
        let plain = postcard::to_stdvec(&bundle.files).map_err(|error| pack_error(&error))?;
        if plain.len() > ARCHIVE_LIMIT {
            return Err(ArchiveError::Pack(format!("{} bytes are too many", plain.len())));
        }
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain).map_err(|error| pack_error(&error))?;
        let bytes = encoder.finish().map_err(|error| pack_error(&error))?;
        let length = u32::try_from(bytes.len()).map_err(|error| pack_error(&error))?;
        let generation = bundle.generation;
        Ok(ConfigArchive { id: ArchiveId { generation, length, checksum: crc(&bytes) }, bytes })
    }

    /// Its name.
    pub fn id(&self) -> ArchiveId {
        self.id
    }

    /// The part that begins at an offset, `None` where the archive ends before.
    pub fn part(&self, offset: u32) -> Option<ConfigPart> {
        let rest = self.bytes.get(offset as usize..).filter(|rest| !rest.is_empty())?;
        let longest = if offset == 0 { FIRST_PART_BYTES } else { PART_BYTES };
        let bytes = rest[..rest.len().min(longest)].to_vec();
        Some(ConfigPart { archive: self.id, offset, bytes })
    }

    /// Unpacks the bytes of an archive.
    ///
    /// # Errors
    /// Where they are not that archive's, or do not unpack.
    pub fn unpack(id: ArchiveId, bytes: &[u8]) -> Result<ConfigBundle, ArchiveError> {
        if bytes.len() != id.length as usize || crc(bytes) != id.checksum {
            return Err(ArchiveError::Checksum);
        }
        let mut plain = Vec::new();
        let mut decoder = ZlibDecoder::new(bytes).take(ARCHIVE_LIMIT as u64);
        decoder.read_to_end(&mut plain).map_err(ArchiveError::Unpack)?;
        let files = postcard::from_bytes(&plain).map_err(ArchiveError::Decode)?;
        Ok(ConfigBundle { generation: id.generation, files })
    }
}

fn crc(bytes: &[u8]) -> u32 {
    let mut crc = Crc::new();
    crc.update(bytes);
    crc.sum()
}
