//! Holds the validated configuration as the daemon uses it: tiers, accounts, pools, targets and rules.
//!
//! Owns: the validated configuration, which never changes once built. Relies on: `config` for the validation.

mod client_account;
mod config_fault;
mod rule;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use client_account::*;
pub use config_fault::*;
pub use rule::*;

use crate::{
    AccountId, DaemonId, DataCentreId, Generation, PoolId, RefusalReason, TargetId, TargetInstance,
    TargetStart, TargetVersion, TierId, TierRank, TokenHash, VmId,
};

/// A tier of requests. Tiers with a lower rank number are served first and shed last.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierRule {
    /// Name of the tier.
    pub id: TierId,
    /// Rank, 0 is the highest.
    pub rank: TierRank,
    /// Default deadline for requests that state none.
    pub deadline: Duration,
}

/// Kind of the targets of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PoolKind {
    /// Model engines, which stream long answers.
    #[default]
    Engine,
    /// Plain services, which return records.
    Service,
}

/// Limits on one exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetLimits {
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest time from the request to the first byte of the answer.
    pub first_byte: Duration,
    /// Longest time between two parts of the answer.
    pub between_bytes: Duration,
}

impl Default for TargetLimits {
    fn default() -> TargetLimits {
        let second = Duration::from_secs(1);
        TargetLimits { connect: second, first_byte: second * 30, between_bytes: second * 30 }
    }
}

/// A pool of targets that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetPool {
    /// Name of the pool.
    pub id: PoolId,
    /// Kind of the pool's targets.
    pub kind: PoolKind,
    /// Highest number of requests that may wait at the same time.
    pub queue_limit: u32,
    /// Percentage of the slots of each target that only the highest tier may use.
    pub reserve_percent: u32,
    /// Number of prompt prefixes that a target is assumed to cache.
    pub cached_prefixes: u32,
    /// Work per prompt token in microseconds of a slot.
    pub prompt_token_us: u64,
    /// Work per generated token in microseconds of a slot.
    pub output_token_us: u64,
    /// Fixed work per request, without its tokens, in microseconds of a slot.
    pub base_us: u64,
    /// Limits on one exchange with a target.
    pub limits: TargetLimits,
    /// HTTP status with which a target reports that it did not start a request.
    pub not_started_status: Option<u16>,
    /// Data of the event that ends a complete event stream.
    pub end_event: Option<String>,
    /// Whether targets can resume an interrupted stream at an offset.
    pub resumable: bool,
    /// Whether a connection may be reused for further requests. If a target answers one request twice, the second
    /// answer could then reach another caller.
    pub reuse_connections: bool,
    /// Highest number of connections that a target accepts from all daemons together, `None` where it states none.
    pub connection_limit: Option<u32>,
    /// Path at which targets report their load and cache events, `None` where they do not.
    pub report_path: Option<String>,
    /// Targets of the pool by name.
    #[serde(skip)]
    pub targets: BTreeMap<TargetId, TargetEntry>,
    /// Whether answers of the pool's targets are recorded because a rollout is running.
    #[serde(skip)]
    pub has_rollout: bool,
}

/// One target as configured.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Name of the target.
    pub id: TargetId,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// VM that the target runs on, as the platform lists it.
    pub vm: VmId,
    /// Data centre of the target, empty where it is not known.
    pub data_centre: DataCentreId,
    /// Number of requests that the target serves at the same time.
    pub slots: u32,
    /// When the target's process started, `None` where the target does not report it. Between daemons it is sent
    /// separately ([`TargetInstancesPush`](crate::TargetInstancesPush)), because the wire format of this type has no
    /// field for it.
    #[serde(skip)]
    pub start: Option<TargetStart>,
    /// Version of the target's software, `None` where the target does not report it. It is sent separately as well
    /// ([`TargetVersionsPush`](crate::TargetVersionsPush)).
    #[serde(skip)]
    pub version: Option<TargetVersion>,
}

impl TargetEntry {
    /// Returns the instance of this target.
    pub fn instance(&self) -> TargetInstance {
        TargetInstance { id: self.id.clone(), start: self.start }
    }
}

/// A target that registered itself with the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DiscoveredTarget {
    /// Pool that the target serves.
    pub pool: PoolId,
    /// The target, as one of its instances.
    pub entry: TargetEntry,
    /// Whether the target is leaving and accepts no new work.
    pub leaving: bool,
    /// Remaining time for which the target warms up, `None` where it is not stated. Only the daemon that reads the list
    /// entry knows it: it is not sent to other daemons.
    #[serde(skip)]
    pub warm_up: Option<Duration>,
}

impl DiscoveredTarget {
    /// Creates a list entry without a usable target. It belongs to no pool, so that nothing is sent to it. It is
    /// listed, so that it replaces the target that had this id before. If the target were only missing from the list
    /// after an outage, it would be used until it was listed again.
    pub fn unusable(id: TargetId) -> DiscoveredTarget {
        let entry = TargetEntry { vm: id.clone(), id, ..TargetEntry::default() };
        DiscoveredTarget { pool: PoolId::new(), entry, leaving: false, warm_up: None }
    }
}

/// A daemon as recorded at the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DaemonRecord {
    /// The daemon; the recorded incarnation may not be its latest.
    pub daemon: DaemonId,
    /// `ip:port` at which the daemon receives peer frames.
    pub address: String,
    /// Processor capacity of the daemon's VM, in percent of one core; 0 where the record does not state it.
    pub capacity: u32,
}

impl DaemonRecord {
    /// Returns whether both records are of the same VM and equal except for the incarnation.
    pub fn is_equal_except_incarnation(&self, other: &DaemonRecord) -> bool {
        let same_vm = self.daemon.vm == other.daemon.vm;
        same_vm && self.address == other.address && self.capacity == other.capacity
    }
}

/// A change in the list of registered targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TargetChange {
    /// A target was added or changed.
    Present(DiscoveredTarget),
    /// A target was removed from the list.
    Gone(TargetId),
}

/// A complete configuration that passed every check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActiveConfig {
    /// Position in the order of all accepted configurations.
    pub generation: Generation,
    /// Tiers by name.
    pub tiers: BTreeMap<TierId, TierRule>,
    /// Accounts by name.
    pub accounts: BTreeMap<AccountId, ClientAccount>,
    /// Account names by the hash of each token.
    #[serde(skip)]
    pub tokens: BTreeMap<TokenHash, AccountId>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, TargetPool>,
    /// Rules in the order in which they are evaluated.
    pub rules: Vec<Arc<AdmissionRule>>,
    /// Time for which a caller's connection may be idle, `None` where the daemon's settings decide.
    pub idle_limit: Option<Duration>,
    /// Whether requests need the token of an account.
    pub authentication: CallerAuthentication,
    /// Values that cannot be used as they stand, and what follows from each.
    pub faults: Vec<ConfigFault>,
}

impl ActiveConfig {
    /// Returns the account of a bearer token by the token's hash.
    pub fn account_of(&self, token: &TokenHash) -> Option<&ClientAccount> {
        self.tokens.get(token).and_then(|id| self.accounts.get(id))
    }

    /// Fills the index of tokens. A token that several accounts have belongs to the first of them by name.
    pub fn index_tokens(&mut self) {
        self.tokens.clear();
        for account in self.accounts.values() {
            for token in &account.tokens {
                self.tokens.entry(token.clone()).or_insert_with(|| account.id.clone());
            }
        }
    }

    /// Returns the account that a request under a rule belongs to, `None` where it needs none.
    ///
    /// # Errors
    /// The reason for which the request is refused.
    pub fn authenticate(
        &self,
        rule: &AdmissionRule,
        token: Option<&TokenHash>,
    ) -> Result<Option<&ClientAccount>, RefusalReason> {
        if rule.closed {
            return Err(RefusalReason::RuleClosed);
        }
        if rule.public || self.authentication == CallerAuthentication::NotRequired {
            return Ok(None);
        }
        let account = token.and_then(|token| self.account_of(token));
        match account.ok_or(RefusalReason::Unauthorized)? {
            account if account.closed => Err(RefusalReason::AccountClosed),
            account => Ok(Some(account)),
        }
    }

    /// Returns the first rule that matches a request.
    pub fn rule_for<'a>(
        &self,
        method: &str,
        path: &str,
        account: &str,
        header: impl Fn(&str) -> Option<&'a str>,
    ) -> Option<&AdmissionRule> {
        self.rules.iter().find(|rule| rule.matches(method, path, account, &header)).map(Arc::as_ref)
    }

    /// Returns the first rule without an account or a header condition that matches host, method and path.
    pub fn route(&self, host: &str, method: &str, path: &str) -> Option<&AdmissionRule> {
        self.rules.iter().find(|rule| rule.matches_route(host, method, path)).map(Arc::as_ref)
    }

    /// Returns the rank of the highest tier, 0 where there is none.
    pub fn top_rank(&self) -> TierRank {
        // Without tiers no rule passes the validation, so no request uses this rank.
        self.tiers.values().map(|tier| tier.rank).min().unwrap_or(0)
    }
}

/// A target's report of its load and cache. Reports may arrive late, and some are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetReport {
    /// Number of requests that run at the target, from all senders.
    pub running: u32,
    /// Latest prompt prefixes evicted from the target's cache, oldest first, numbered without gaps from 1.
    #[serde(default)]
    pub evictions: Vec<CacheEviction>,
}

/// The eviction of a prompt prefix from a target's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CacheEviction {
    /// Number of the event.
    pub number: u64,
    /// Hash of the prefix; see docs/OPERATIONS.md.
    pub prefix: u64,
}
