//! The checked configuration as the daemon uses it: tiers, accounts, pools, targets and rules.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AccountId, Generation, PoolId, TargetId, TierId, TierRank, TokenHash, VmId};

/// A tier of requests. Lower ranks are served first and shed last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TierRule {
    /// Name of the tier.
    pub id: TierId,
    /// Rank, 0 is the highest.
    pub rank: TierRank,
    /// Deadline of a request that names none.
    pub deadline: Duration,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClientAccount {
    /// Name of the account.
    pub id: AccountId,
    /// SHA-256 of the account's bearer tokens; any of them will do.
    pub tokens: Vec<TokenHash>,
    /// Rank of its requests, `None` for the rank of the rule's tier.
    pub rank: Option<TierRank>,
    /// Rate over all daemons together, `None` where it is unlimited.
    pub shared_rate: Option<SharedRate>,
    /// Share of a tier relative to the other accounts.
    pub weight: u32,
    /// Requests a second in one pool; `None` is unlimited.
    pub rate_per_s: Option<u32>,
    /// Requests that may wait in one pool at the same time.
    pub queue_limit: u32,
}

/// Rate of a client account that holds over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SharedRate {
    /// Units a second.
    pub per_s: u64,
    /// Units allowed at once above the rate.
    pub burst: u64,
    /// What a request counts.
    pub unit: RateUnit,
}

/// What a request counts against a shared rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RateUnit {
    /// One.
    Request,
    /// Its tokens, or this many where it does not tell them.
    Tokens(u64),
}

/// Kind of the targets of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum PoolKind {
    /// Model engines that stream long answers.
    #[default]
    Engine,
    /// Plain services that return records.
    Service,
}

/// Limits on one exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetLimits {
    /// Time to connect.
    pub connect: Duration,
    /// Time from the request to the first byte of the answer.
    pub first_byte: Duration,
    /// Time between two parts of the answer.
    pub between_bytes: Duration,
}

impl Default for TargetLimits {
    fn default() -> TargetLimits {
        let second = Duration::from_secs(1);
        TargetLimits { connect: second, first_byte: second * 30, between_bytes: second * 30 }
    }
}

/// A pool of targets that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TargetPool {
    /// Name of the pool.
    pub id: PoolId,
    /// Kind of its targets.
    pub kind: PoolKind,
    /// Requests that may wait at the same time.
    pub queue_limit: u32,
    /// Slots per target, in percent, that only the highest tier may use.
    pub reserve_percent: u32,
    /// Prompt prefixes that a target is believed to cache.
    pub cached_prefixes: u32,
    /// Work of one prompt token in microseconds of a slot.
    pub prompt_token_us: u64,
    /// Work of one generated token in microseconds of a slot.
    pub output_token_us: u64,
    /// Work of a request apart from its tokens in microseconds of a slot.
    pub base_us: u64,
    /// Limits on one exchange.
    pub limits: TargetLimits,
    /// Status with which a target says that it did not start a request.
    pub not_started_status: Option<u16>,
    /// Data of the last event of a whole event stream.
    pub end_event: Option<String>,
    /// Whether targets resume a cut stream at an offset.
    pub resumable: bool,
    /// Whether a connection may serve further requests. A target that answers one request twice could
    /// then give the second answer to another caller.
    pub reuse_connections: bool,
    /// Connections that a target takes from all daemons together, `None` where it does not say.
    pub connection_limit: Option<u32>,
    /// Path at which targets report their load and cache events, `None` where they do not.
    pub report_path: Option<String>,
    /// Targets of the pool.
    pub targets: BTreeMap<TargetId, TargetEntry>,
}

/// One target as it is configured.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Name of the target.
    pub id: TargetId,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// VM that it runs on, as the platform lists it.
    pub vm: VmId,
    /// Data centre, empty where it is not known.
    pub data_centre: String,
    /// Requests that it serves at the same time.
    pub slots: u32,
}

/// A target that announced itself at the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DiscoveredTarget {
    /// Pool that it serves.
    pub pool: PoolId,
    /// The target; its id names one start of its process.
    pub entry: TargetEntry,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A change among the targets that announced themselves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetChange {
    /// A target is new, or has another state.
    Present(DiscoveredTarget),
    /// A target is no longer listed.
    Gone(TargetId),
}

/// Gives requests their tier and pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionRule {
    /// Name of the rule.
    pub id: String,
    /// Rules are tried in ascending order.
    pub order: u32,
    /// Method, `None` for any.
    pub method: Option<String>,
    /// Path; a trailing `*` matches any rest.
    pub path: String,
    /// Account, `None` for any.
    pub account: Option<AccountId>,
    /// Header name in lower case and its value, `None` for any.
    pub header: Option<(String, String)>,
    /// Tier given.
    pub tier: TierId,
    /// Pool given.
    pub pool: PoolId,
    /// Whether a request may run more than once. A request that may not takes an idempotency key.
    pub repeatable: bool,
    /// Longest body in bytes.
    pub body_limit: usize,
    /// Host that the request names, `None` for any.
    pub host: Option<String>,
    /// Pools that share the requests, with their weights; empty where `pool` gets all.
    pub split: Vec<PoolShare>,
    /// Whether requests need no account.
    pub public: bool,
    /// How requests are served.
    pub service: ServiceTerms,
}

/// A pool's share of a rule's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolId,
    /// Its weight among the shares.
    pub weight: u32,
}

/// Times and attempts that a rule grants its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServiceTerms {
    /// Longest time from the request to the end of its answer, `None` for the deadline alone.
    pub timeout: Option<Duration>,
    /// Time to the first part of the answer that counts as in time.
    pub objective: Option<Duration>,
    /// Pause between two parts of the answer that still counts as in time.
    pub pause_limit: Option<Duration>,
    /// Targets that one request may be sent to.
    pub attempt_limit: u32,
    /// Whether the answer is a series of events.
    pub streams: bool,
    /// Whether a broken stream may be taken up at another target.
    pub resumable: bool,
}

impl Default for ServiceTerms {
    fn default() -> ServiceTerms {
        ServiceTerms {
            timeout: None,
            objective: None,
            pause_limit: None,
            attempt_limit: 3,
            streams: false,
            resumable: false,
        }
    }
}

impl AdmissionRule {
    /// Pools that the rule may send to.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        let alone = self.split.is_empty().then_some(&self.pool);
        alone.into_iter().chain(self.split.iter().map(|share| &share.pool))
    }

    /// The pool for a request, by a number that is drawn evenly from all.
    pub fn pool_for(&self, drawn: u64) -> &PoolId {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return &self.pool;
        }
        let mut rest = drawn % total;
        for share in &self.split {
            match rest.checked_sub(u64::from(share.weight)) {
                Some(left) => rest = left,
                None => return &share.pool,
            }
        }
        &self.pool
    }

    /// Whether the rule matches host, method and path of a request.
    pub fn takes(&self, host: &str, method: &str, path: &str) -> bool {
        let host_fits = self.host.as_deref().is_none_or(|wanted| wanted.eq_ignore_ascii_case(host));
        host_fits && self.account.is_none() && self.matches(method, path, "", |_| None)
    }

    /// Whether the rule matches a request. `header` looks a header up by its lower-case name.
    pub fn matches<'a>(
        &self,
        method: &str,
        path: &str,
        account: &str,
        header: impl Fn(&str) -> Option<&'a str>,
    ) -> bool {
        let method_fits = self.method.as_deref().is_none_or(|wanted| wanted == method);
        let path_fits = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        let account_fits = self.account.as_deref().is_none_or(|wanted| wanted == account);
        let header_fits = match &self.header {
            Some((name, value)) => header(name) == Some(value.as_str()),
            None => true,
        };
        method_fits && path_fits && account_fits && header_fits
    }
}

/// A whole configuration that passed every check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ActiveConfig {
    /// Its place in the order of configurations.
    pub generation: Generation,
    /// Tiers by name.
    pub tiers: BTreeMap<TierId, TierRule>,
    /// Accounts by name.
    pub accounts: BTreeMap<AccountId, ClientAccount>,
    /// Accounts by the hash of their token.
    pub tokens: BTreeMap<TokenHash, AccountId>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, TargetPool>,
    /// Rules in the order in which they are tried.
    pub rules: Vec<AdmissionRule>,
    /// Time for which a caller's connection may rest, `None` where the daemon's settings say.
    pub idle_limit: Option<Duration>,
}

impl ActiveConfig {
    /// Finds the account of a bearer token by its hash.
    pub fn account_of(&self, token: &TokenHash) -> Option<&ClientAccount> {
        self.tokens.get(token).and_then(|id| self.accounts.get(id))
    }

    /// Finds the first rule that matches a request.
    pub fn rule_for<'a>(
        &self,
        method: &str,
        path: &str,
        account: &str,
        header: impl Fn(&str) -> Option<&'a str>,
    ) -> Option<&AdmissionRule> {
        self.rules.iter().find(|rule| rule.matches(method, path, account, &header))
    }

    /// Finds the first rule for host, method and path, whatever the account.
    pub fn route(&self, host: &str, method: &str, path: &str) -> Option<&AdmissionRule> {
        self.rules.iter().find(|rule| rule.takes(host, method, path))
    }

    /// Rank of the highest tier.
    pub fn top_rank(&self) -> TierRank {
        self.tiers.values().map(|tier| tier.rank).min().unwrap_or(0)
    }
}

/// What a target says of itself, late and with gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetReport {
    /// Requests that run there, whoever sent them.
    pub running: u32,
    /// Latest prompt beginnings that left its cache, oldest first, numbered without gaps from 1.
    #[serde(default)]
    pub evictions: Vec<CacheEviction>,
}

/// A prompt beginning that left a target's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CacheEviction {
    /// Number of the event.
    pub number: u64,
    /// Hash of the beginning; see docs/OPERATIONS.md.
    pub prefix: u64,
}
