//! Hashes of the bearer tokens of client accounts; only the SHA-256 of a token is ever stored.
//!
//! Owns: the form of a hash in documents. Relies on: nothing.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of a bearer token. Equality is checked in constant time.
#[derive(Clone, Debug, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TokenHash([u8; 32]);

impl From<TokenHash> for String {
    fn from(hash: TokenHash) -> String {
        hash.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl TryFrom<String> for TokenHash {
    type Error = String;

    fn try_from(text: String) -> Result<TokenHash, String> {
        TokenHash::from_hex(&text).ok_or_else(|| format!("'{text}' is not a SHA-256 in hex digits"))
    }
}

impl std::hash::Hash for TokenHash {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl PartialEq for TokenHash {
    fn eq(&self, other: &TokenHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl TokenHash {
    /// Parses a hash from 64 hexadecimal digits, ignoring surrounding white space; returns `None` for anything else.
    pub fn from_hex(text: &str) -> Option<TokenHash> {
        let text = text.trim();
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0u8; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(text.get(index * 2..index * 2 + 2)?, 16).ok()?;
        }
        Some(TokenHash(bytes))
    }

    /// Returns the bytes of the hash.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Returns the hash of a bearer token, which may be any bytes, in the form that the configuration stores.
pub fn hash_token(token: impl AsRef<[u8]>) -> TokenHash {
    TokenHash(Sha256::digest(token).into())
}
