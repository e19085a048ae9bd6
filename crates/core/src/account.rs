//! Hashes of the bearer tokens of client accounts; only the SHA-256 of a token is ever stored.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of a bearer token. Equality is checked in constant time.
#[derive(Clone, Debug, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct TokenHash([u8; 32]);

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

/// Returns the hash of a bearer token in the form that the configuration stores.
pub fn hash_token(token: &str) -> TokenHash {
    TokenHash(Sha256::digest(token.as_bytes()).into())
}
