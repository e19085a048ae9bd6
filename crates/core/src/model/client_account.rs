//! Client accounts: their tokens, ranks and limits, and whether requests need one.
//!
//! Owns: the form of an account in the configuration. Relies on: `config` and `platform` for the validation.

use serde::{Deserialize, Serialize};

use crate::{AccountId, TierRank, TokenHash};

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Name of the account.
    pub id: AccountId,
    /// SHA-256 of each of the account's bearer tokens; any of them authenticates the account.
    pub tokens: Vec<TokenHash>,
    /// Rank of the account's requests, `None` for the rank of the rule's tier.
    pub rank: Option<TierRank>,
    /// Rate limit over all daemons together, `None` for no limit.
    pub shared_rate: Option<SharedRate>,
    /// Weight of the account's share of a tier, relative to the other accounts.
    pub weight: u32,
    /// Rate limit in one pool in requests per second, `None` for no limit.
    pub rate_per_s: Option<u32>,
    /// Highest number of the account's requests that may wait in one pool at the same time.
    pub queue_limit: u32,
    /// Whether all requests of the account are refused, because part of its configuration cannot be used.
    pub closed: bool,
}

/// Rate limit of a client account over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedRate {
    /// Units per second.
    pub per_s: u64,
    /// Units that may be used at once above the rate.
    pub burst: u64,
    /// The unit in which requests are counted.
    pub unit: RateUnit,
    /// Units that stand for one of what the unit counts, so that a fraction of it per second can be expressed.
    pub scale: u64,
}

/// How many units of a shared rate a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RateUnit {
    /// One unit per request.
    Request,
    /// The request's number of tokens, or this number where the request does not state it.
    Tokens(u64),
}

/// Whether requests under rules that are not public need the token of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallerAuthentication {
    /// They do.
    #[default]
    Required,
    /// They are admitted without an account.
    NotRequired,
}
