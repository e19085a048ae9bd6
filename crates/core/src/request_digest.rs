//! What makes two requests the same for their caller.
//!
//! A caller that repeats a request sends the same path and body again, under another id and with less time
//! left, and may meet another daemon. The digest is over what stays the same.
//!
//! Owns: which parts of a request count. Relies on: SHA-256, so that nobody can make a request that has the digest of
//! another's.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::TokenHash;

/// Bytes of a digest: all that SHA-256 gives.
const DIGEST_BYTES: usize = 32;

/// The parts of a request that stay the same when its caller repeats it.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host that it names.
    pub host: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// The caller: its account or, where the rule asks for none, the token that it sends.
    pub caller: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// The digest over all parts, each with its length before it, so that no part can pass for the beginning of
    /// the next.
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

/// Names a request by what its caller knows it by. Two requests with one digest are the same request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// The digest with these bytes.
    pub fn new(bytes: [u8; DIGEST_BYTES]) -> RequestDigest {
        RequestDigest(bytes)
    }

    /// Reads a digest as it is written in logs, `None` for anything else.
    pub fn from_hex(text: &str) -> Option<RequestDigest> {
        TokenHash::from_hex(text).map(|hash| RequestDigest(*hash.bytes()))
    }

    /// Its first byte; digests are spread evenly over its values.
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
