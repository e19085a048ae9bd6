//! Compresses a configuration for the transfer to other daemons.
//!
//! Owns: the compressed form, which only daemons exchange; the platform stores the texts uncompressed. Relies on:
//! flate2, whose output is the same for the same input.

use std::io::{Read, Write};

use curlewcleat_core::{ArchiveId, ConfigBundle, ConfigPart};
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::{Compression, Crc};

/// Maximum size of a part in bytes. A part takes 52 ms on a link of 10 Mbit/s, the slowest link of the users' VMs, so
/// that heartbeats and proofs of the newest configuration sent behind it are not late. A megabyte of rules needs two
/// parts, so that configuration changes in quick succession do not arrive faster than their parts can be sent.
pub const MAX_PART_BYTES: usize = 64 << 10;
/// Maximum size of the first part in bytes; smaller, since many daemons request it at the same time.
const FIRST_PART_BYTES: usize = 32 << 10;
/// Maximum size of a configuration in bytes, compressed or not. Bounds the memory that a peer can make this daemon use;
/// the platform's object has at most a megabyte.
pub const MAX_ARCHIVE_BYTES: usize = 16 << 20;

/// Why a configuration cannot be packed into or unpacked from an archive.
#[derive(Debug, thiserror::Error)]
pub enum ArchiveError {
    /// The files cannot be encoded or compressed, or are too long.
    #[error("archive: cannot be packed: {0}")]
    Pack(String),
    /// The length or checksum of the bytes differs from that in the archive's id.
    #[error("archive: the bytes do not match the length and checksum of the archive id")]
    Checksum,
    /// The bytes cannot be decompressed.
    #[error("archive: cannot be decompressed: {0}")]
    Unpack(std::io::Error),
    /// The decompressed bytes are not an encoded configuration; they may have been cut at [`MAX_ARCHIVE_BYTES`].
    #[error("archive: cannot be decoded: {0}")]
    Decode(postcard::Error),
}

/// A compressed configuration. A megabyte of rules shrinks to about 100 kB, in 3 ms of one core.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigArchive {
    id: ArchiveId,
    bytes: Vec<u8>,
}

impl ConfigArchive {
    /// Encodes and compresses a configuration.
    ///
    /// # Errors
    /// [`ArchiveError::Pack`] if it is longer than [`MAX_ARCHIVE_BYTES`] or cannot be encoded.
    pub fn pack(bundle: &ConfigBundle) -> Result<ConfigArchive, ArchiveError> {
        let pack_error = |error: &dyn std::fmt::Display| ArchiveError::Pack(error.to_string());
        let encoded = postcard::to_stdvec(&bundle.files).map_err(|error| pack_error(&error))?;
        if encoded.len() > MAX_ARCHIVE_BYTES {
            return Err(ArchiveError::Pack(format!(
                "has {} bytes; at most {MAX_ARCHIVE_BYTES} are allowed",
                encoded.len()
            )));
        }
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&encoded).map_err(|error| pack_error(&error))?;
        let bytes = encoder.finish().map_err(|error| pack_error(&error))?;
        let length = u32::try_from(bytes.len()).map_err(|error| pack_error(&error))?;
        let generation = bundle.generation;
        Ok(ConfigArchive {
            id: ArchiveId { generation, length, checksum: checksum(&bytes) },
            bytes,
        })
    }

    /// Returns the id: generation, length and checksum.
    pub fn id(&self) -> ArchiveId {
        self.id
    }

    /// Returns the part that begins at an offset, or `None` if the offset is at or beyond the end of the archive.
    pub fn part(&self, offset: u32) -> Option<ConfigPart> {
        let remaining =
            self.bytes.get(offset as usize..).filter(|remaining| !remaining.is_empty())?;
        let max_length = if offset == 0 { FIRST_PART_BYTES } else { MAX_PART_BYTES };
        let bytes = remaining[..remaining.len().min(max_length)].to_vec();
        Some(ConfigPart { archive: self.id, offset, bytes })
    }

    /// Decompresses and decodes the bytes of an archive.
    ///
    /// # Errors
    /// If length or checksum differ from the id, or the bytes cannot be decompressed or decoded.
    pub fn unpack(id: ArchiveId, bytes: &[u8]) -> Result<ConfigBundle, ArchiveError> {
        if bytes.len() != id.length as usize || checksum(bytes) != id.checksum {
            return Err(ArchiveError::Checksum);
        }
        let mut encoded = Vec::new();
        let mut decoder = ZlibDecoder::new(bytes).take(MAX_ARCHIVE_BYTES as u64);
        decoder.read_to_end(&mut encoded).map_err(ArchiveError::Unpack)?;
        let files = postcard::from_bytes(&encoded).map_err(ArchiveError::Decode)?;
        Ok(ConfigBundle { generation: id.generation, files })
    }
}

fn checksum(bytes: &[u8]) -> u32 {
    let mut crc = Crc::new();
    crc.update(bytes);
    crc.sum()
}
