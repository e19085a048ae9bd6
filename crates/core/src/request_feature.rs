//! Features of a request that other requests may share, and under which targets may terminate.
//!
//! A request is known as a whole by its digest. Its prompt may also have parts that other prompts have too. Each feature
//! is known by a digest of fixed length, so that callers cannot make it grow.
//!
//! Owns: what each kind of feature covers. Relies on: SHA-256, so that no caller can construct the feature of another
//! caller's request.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::RequestDigest;

/// Maximum number of parts of one prompt that are known as features. The parts of a prompt that follow are not.
pub const PART_LIMIT: usize = 16;

/// Kinds of features, from the narrowest to the widest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FeatureKind {
    /// The whole request, as its caller repeats it.
    Request,
    /// A part of prompts of one account in one pool.
    AccountPart,
    /// A part of prompts of all accounts in one pool.
    Part,
}

impl FeatureKind {
    /// Every kind.
    pub const ALL: [FeatureKind; 3] =
        [FeatureKind::Request, FeatureKind::AccountPart, FeatureKind::Part];

    /// Returns the code in log lines, metrics and stored refusals.
    pub fn code(self) -> &'static str {
        match self {
            FeatureKind::Request => "request",
            FeatureKind::AccountPart => "account_part",
            FeatureKind::Part => "part",
        }
    }

    /// Returns the kind with this code.
    pub fn from_code(code: &str) -> Option<FeatureKind> {
        FeatureKind::ALL.into_iter().find(|kind| kind.code() == code)
    }

    /// Returns whether several requests can have the same feature of this kind.
    pub fn is_shared(self) -> bool {
        self != FeatureKind::Request
    }
}

/// Hash of the id of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolHash(pub u64);

impl PoolHash {
    /// No pool: that of a whole request.
    pub const NONE: PoolHash = PoolHash(0);

    /// Returns the hash of a pool's id.
    pub fn of(pool: &str) -> PoolHash {
        let digest: [u8; 32] = Sha256::digest(pool.as_bytes()).into();
        let (first, _) = digest.split_first_chunk().expect("the digest has 32 bytes");
        PoolHash(u64::from_be_bytes(*first))
    }
}

/// A feature of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFeature {
    /// What the feature covers.
    pub kind: FeatureKind,
    /// The pool whose targets run requests with the feature, [`PoolHash::NONE`] for a whole request.
    pub pool: PoolHash,
    /// Digest of what the feature covers.
    pub digest: RequestDigest,
}

impl From<RequestDigest> for RequestFeature {
    fn from(digest: RequestDigest) -> RequestFeature {
        RequestFeature { kind: FeatureKind::Request, pool: PoolHash::NONE, digest }
    }
}

/// The parts of a prompt that other prompts may have too.
#[derive(Clone, Copy, Debug)]
pub struct SharedParts<'a> {
    /// Pool that serves the request. The same part may do no harm to targets of another pool.
    pub pool: &'a str,
    /// Account of the request, `None` where the rule requires none.
    pub account: Option<&'a str>,
    /// Ids of the parts in order, as the caller states them.
    pub ids: &'a [&'a str],
}

impl SharedParts<'_> {
    /// Returns the features of the first [`PART_LIMIT`] parts.
    pub fn features(&self) -> Vec<RequestFeature> {
        let pool = PoolHash::of(self.pool);
        let feature =
            |kind, texts: &[&str]| RequestFeature { kind, pool, digest: digest_of(texts) };
        let ids = self.ids.iter().take(PART_LIMIT);
        ids.flat_map(|id| {
            let of_account = self
                .account
                .map(|account| feature(FeatureKind::AccountPart, &[self.pool, account, id]));
            of_account.into_iter().chain([feature(FeatureKind::Part, &[self.pool, id])])
        })
        .collect()
    }
}

/// Returns the digest over texts, each preceded by its length so that bytes moved from one text to the next change the
/// digest.
fn digest_of(texts: &[&str]) -> RequestDigest {
    let mut hasher = Sha256::new();
    hasher.update((texts.len() as u64).to_be_bytes());
    for text in texts {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text.as_bytes());
    }
    RequestDigest::new(hasher.finalize().into())
}
