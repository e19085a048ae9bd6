//! Identifies a stream over the attempts of its caller, and a version of the targets' software, in a few bytes.
//!
//! Owns: what both are computed from. Relies on: SHA-256, so that no caller can name the stream of another one.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::TargetVersion;

/// A stream that an attempt of a caller has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(u128);

impl StreamId {
    /// Returns the stream of an account in a pool whose first event an attempt has brought. Attempts of other accounts
    /// and pools with the same id are other streams.
    pub fn new(pool: &str, account: &str, attempt: &str) -> StreamId {
        let mut hasher = Sha256::new();
        for part in [pool, account, attempt] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        StreamId(first_bytes(&digest).map_or(0, u128::from_be_bytes))
    }

    /// Returns which of `count` slots the stream has. Streams are spread evenly.
    pub fn slot(&self, count: usize) -> usize {
        // The remainder is below `count`.
        self.0.checked_rem(count as u128).map_or(0, |slot| slot as usize)
    }

    /// Returns what stands for the stream in stored lists.
    pub fn key(&self) -> StreamKey {
        StreamKey((self.0 >> u64::BITS) as u64)
    }
}

/// The first half of a [`StreamId`], which stands for the stream in stored lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Digits of a key as text.
    pub const HEX_DIGITS: usize = 16;

    /// Reads a key from its hexadecimal digits, `None` if the text is no key.
    pub fn from_hex(text: &str) -> Option<StreamKey> {
        let is_whole = text.len() == StreamKey::HEX_DIGITS;
        is_whole.then(|| u64::from_str_radix(text, 16).ok().map(StreamKey)).flatten()
    }

    /// Returns the key in hexadecimal digits.
    pub fn to_hex(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// A version of the targets' software, of any length. Targets that state none are of one version.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionDigest(u64);

impl VersionDigest {
    /// Returns the digest of a version, as a target states it.
    pub fn of(version: Option<&TargetVersion>) -> VersionDigest {
        let Some(version) = version else { return VersionDigest(0) };
        let digest = Sha256::digest(version);
        VersionDigest(first_bytes(&digest).map_or(0, u64::from_be_bytes))
    }

    /// Reads a digest from its hexadecimal digits, `None` if the text is no digest.
    pub fn from_hex(text: &str) -> Option<VersionDigest> {
        u64::from_str_radix(text, 16).ok().map(VersionDigest)
    }

    /// Returns the digest in hexadecimal digits.
    pub fn to_hex(self) -> String {
        format!("{:016x}", self.0)
    }
}

impl fmt::Debug for VersionDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "VersionDigest({:016x})", self.0)
    }
}

/// Returns the first bytes of a digest, `None` if it is shorter.
fn first_bytes<const LENGTH: usize>(digest: &[u8]) -> Option<[u8; LENGTH]> {
    digest.first_chunk().copied()
}
