//! Computes the digest that identifies a request across repetitions by its caller.
//!
//! A caller that repeats a request sends the same path and body again, with another id and less remaining time, and may
//! reach another daemon. The digest covers only what stays the same.
//!
//! Owns: which parts of a request the digest covers. Relies on: SHA-256, so that no caller can construct a request with
//! the digest of another caller's request.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::TokenHash;

/// Length of a digest in bytes: the full output of SHA-256.
const DIGEST_BYTES: usize = 32;

/// Length of the short form of a digest.
const SHORT_DIGITS: usize = 16;

/// The parts of a request that stay the same when its caller repeats it.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host of the request.
    pub host: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// The caller: its account or, where the rule requires none, the token that it sends.
    pub caller: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Returns the digest over all parts. Each part is preceded by its length, so that bytes moved from one part to the
    /// next change the digest.
    pub fn digest(&self) -> RequestDigest {
        let mut hasher = Sha256::new();
        let parts = [self.method, self.host, self.path, self.caller].map(str::as_bytes);
        for part in parts.into_iter().chain([self.body]) {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        RequestDigest(hasher.finalize().into())
    }
}

/// Digest of the parts of a request that stay the same when its caller repeats it. Requests with equal digests are the
/// same request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Creates a digest from its bytes.
    pub fn new(bytes: [u8; DIGEST_BYTES]) -> RequestDigest {
        RequestDigest(bytes)
    }

    /// Parses a digest as written in logs, from 64 hexadecimal digits; returns `None` for anything else.
    pub fn from_hex(text: &str) -> Option<RequestDigest> {
        TokenHash::from_hex(text).map(|hash| RequestDigest(*hash.bytes()))
    }

    /// Returns the first [`SHORT_DIGITS`] hexadecimal digits, which distinguish digests in log lines that list several.
    pub fn short(&self) -> String {
        self.to_string().chars().take(SHORT_DIGITS).collect()
    }

    /// Returns the first byte, over whose values digests are uniformly distributed.
    pub fn first_byte(&self) -> u8 {
        self.0[0]
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestDigest({self})")
    }
}
