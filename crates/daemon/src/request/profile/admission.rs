//! Decides whether a fleet's request is admitted, by rule, account, age of the configuration and deadline.
//!
//! A request is admitted if all of these hold:
//! - a rule matches its host, method and path;
//! - the rule is public, or the configuration requires no accounts, or its token belongs to an account and the
//!   configuration was confirmed recently enough;
//! - neither the rule nor the account is closed because part of its configuration cannot be used;
//! - it has an attempt id, and its timeout, if there is one, is readable.
//!
//! An unknown token or path is refused without a `Retry-After` only if the configuration was confirmed to be the newest
//! within `config_apply_limit`; otherwise the refusal has one, so that the caller retries. The pool's scheduler then
//! decides what the admitted request may use.
//!
//! Owns: nothing. Relies on: the configuration in force and the rules before it, `ConfigFreshness` for its age.

use std::num::ParseFloatError;
use std::time::Duration;

use actix_http::header::{self, HeaderMap};
use actix_http::{HttpMessage, Request};
use curlewcleat_clock::Moment;
use curlewcleat_config::TakenUpRoute;
use curlewcleat_core::{
    hash_token, ActiveConfig, AdmissionRule, ClientAccount, PoolId, Refusal, RefusalReason,
    RequestId, Uptime,
};
use spdlog::prelude::*;

use super::{objectives, prompt_parts, take_up, work, ProfileProtocol};
use crate::headers;
use crate::request::admitted::{AdmittedRequest, TakeUpHeaders};

/// `Retry-After` while the daemon itself cannot serve: about the time within which the next read of the platform may
/// succeed.
pub(super) const UNSERVED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Timeout of a request if neither the caller nor the rule states one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

impl ProfileProtocol {
    /// Determines rule, account and pool of a request.
    pub(super) fn admit_request(
        &self,
        config: &ActiveConfig,
        id: RequestId,
        arrived: Moment,
        request: &Request,
    ) -> Result<AdmittedRequest, Refusal> {
        let head = request.headers();
        let rule = config
            .route(host_name(head), request.method().as_str(), request.path())
            .ok_or_else(|| self.denied(RefusalReason::NoRule))?;
        let account = self.account(config, rule, head)?;
        let attempt_id = headers::text(head, self.profile.attempt_id);
        let attempt_id = attempt_id.filter(|id| !id.is_empty()).ok_or_else(bad_header)?;
        let caller_timeout = self.caller_timeout(head).map_err(|_| bad_header())?;
        let timeout =
            caller_timeout.into_iter().chain(rule.service.timeout).min().unwrap_or(DEFAULT_TIMEOUT);
        let take_up = self.stream_taken_up(rule, head)?;
        let longest_timeout = self.record_timeout(rule, caller_timeout);
        let pool = drawn_pool(rule, attempt_id, take_up.as_ref());
        if let Some(take_up) = &take_up {
            let since = self.earliest_begin(rule, caller_timeout, longest_timeout);
            self.confirm_pool(config, since, taken_up_route(request, take_up), pool)?;
        }
        let pool = config.pools.get(pool).ok_or_else(|| self.denied(RefusalReason::NoRule))?;
        // The tier exists: the configuration was checked for the tier of each rule.
        let tier_rank = config.tiers.get(&rule.tier).map(|tier| tier.rank).unwrap_or_default();
        let account_rank = account.and_then(|account| account.rank);
        let tokens = work::token_counts(head, self.profile.tokens);
        Ok(AdmittedRequest {
            id,
            attempt_id: attempt_id.to_string(),
            arrived,
            deadline: arrived + timeout,
            caller_time_left: caller_timeout,
            account: account.map(|account| account.id.clone()),
            tier: rule.tier.clone(),
            rank: account_rank.unwrap_or(tier_rank),
            pool: pool.clone(),
            objectives: objectives::objectives(
                rule,
                caller_timeout,
                longest_timeout,
                timeout,
                tier_rank,
            ),
            attempt_limit: Some(rule.service.attempt_limit),
            cost: account.map_or(0, |account| work::cost(account, tokens)),
            work: work::estimate(&self.profile, pool, head, tokens),
            digest: None,
            part_features: prompt_parts::part_features(
                &self.profile,
                pool,
                account.map(|account| account.id.as_str()),
                head,
            ),
            key: None,
            take_up,
            rule: rule.clone(),
        })
    }

    /// Returns what the caller states about the stream that it takes up, `None` where it begins one or has another answer.
    fn stream_taken_up(
        &self,
        rule: &AdmissionRule,
        head: &HeaderMap,
    ) -> Result<Option<TakeUpHeaders>, Refusal> {
        if !rule.service.streams {
            return Ok(None);
        }
        if !take_up::has_one_position(&self.profile, head) {
            return Err(bad_header());
        }
        let take_up = take_up::read_take_up(&self.profile, head);
        match take_up.is_none() || rule.repeatable {
            true => Ok(take_up),
            // Its target would go on with a stream that another run has begun.
            false => Err(Refusal::not_run(RefusalReason::StreamVersionUnknown, None)),
        }
    }

    /// Returns the account of a request, `None` where the rule or the configuration requires none.
    fn account<'c>(
        &self,
        config: &'c ActiveConfig,
        rule: &AdmissionRule,
        head: &HeaderMap,
    ) -> Result<Option<&'c ClientAccount>, Refusal> {
        let token = headers::bearer_token(head).map(hash_token);
        let account = config.authenticate(rule, token.as_ref()).map_err(|reason| match reason {
            RefusalReason::Unauthorized => self.denied(reason),
            // Only a change of the configuration helps.
            _ => Refusal::not_run(reason, None),
        })?;
        if account.is_some() && !self.is_config_fresh() {
            return Err(retryable_refusal(RefusalReason::ConfigurationStale));
        }
        Ok(account)
    }

    /// Returns whether the configuration was confirmed recently enough for requests with a token.
    pub(super) fn is_config_fresh(&self) -> bool {
        self.freshness.allows(self.context.bounds().config_age_limit)
    }

    /// Builds the refusal of an unknown token or path. It is final only if the configuration was confirmed to be the
    /// newest within `config_apply_limit`; otherwise the caller gets a `Retry-After`.
    fn denied(&self, reason: RefusalReason) -> Refusal {
        if self.freshness.is_within(self.context.bounds().config_apply_limit) {
            return Refusal::not_run(reason, None);
        }
        retryable_refusal(RefusalReason::ConfigurationStale)
    }

    /// Reads the caller's timeout in milliseconds, `None` if it sends none.
    fn caller_timeout(&self, head: &HeaderMap) -> Result<Option<Duration>, ParseFloatError> {
        let Some(text) = headers::text(head, self.profile.time_left) else { return Ok(None) };
        let millis: f64 = text.trim().parse()?;
        let caller_timeout =
            Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_else(|error| {
                // A negative or infinite timeout counts as zero, so that the request is refused because its deadline
                // has passed.
                debug!("time_out_of_range", kv: { time = text, error = error.to_string() });
                Duration::ZERO
            });
        Ok(Some(caller_timeout))
    }

    /// Refuses a stream that its caller takes up where another pool may have begun it.
    fn confirm_pool(
        &self,
        config: &ActiveConfig,
        since: Uptime,
        route: TakenUpRoute<'_>,
        pool: &PoolId,
    ) -> Result<(), Refusal> {
        match self.context.confirms_pool(config, since, route, pool) {
            true => Ok(()),
            // A retry finds no more than this attempt did.
            false => Err(Refusal::not_run(RefusalReason::StreamVersionUnknown, None)),
        }
    }

    /// Returns the uptime since when a stream can have begun that a caller takes up: the longest timeout of the rule's
    /// callers, less what is left of it. Another daemon may have used an earlier rule for `config_apply_limit` longer.
    fn earliest_begin(
        &self,
        rule: &AdmissionRule,
        caller_timeout: Option<Duration>,
        longest_timeout: Duration,
    ) -> Uptime {
        let longest = rule.service.timeout.unwrap_or(DEFAULT_TIMEOUT).max(longest_timeout);
        // A caller that states no timeout may have begun its stream at any time.
        let Some(remaining) = caller_timeout else { return Uptime::ZERO };
        let age = longest.saturating_sub(remaining) + self.context.bounds().config_apply_limit;
        self.context.uptime().saturating_sub(age)
    }

    /// Records the timeout that a caller sends and returns the longest that was sent for its rule.
    fn record_timeout(&self, rule: &AdmissionRule, caller_timeout: Option<Duration>) -> Duration {
        let (Some(caller_timeout), Some(_)) = (caller_timeout, rule.service.objective) else {
            return Duration::ZERO;
        };
        let mut longest_timeout = self.longest_timeouts.borrow_mut();
        let longest_timeout = longest_timeout.entry(rule.id.clone()).or_default();
        *longest_timeout = (*longest_timeout).max(caller_timeout);
        *longest_timeout
    }
}

/// Returns what a caller states about the stream that it takes up.
fn taken_up_route<'r>(request: &'r Request, take_up: &'r TakeUpHeaders) -> TakenUpRoute<'r> {
    TakenUpRoute {
        host: host_name(request.headers()),
        method: request.method().as_str(),
        path: request.path(),
        begun_as: take_up.begun_as.as_deref(),
    }
}

/// Returns the pool that gets a request. The rest of a stream comes from the pool that began it.
pub(super) fn drawn_pool<'r>(
    rule: &'r AdmissionRule,
    attempt_id: &str,
    take_up: Option<&TakeUpHeaders>,
) -> &'r PoolId {
    if !rule.service.streams {
        return rule.pool_for(rand::random());
    }
    let begun_as = take_up.and_then(|take_up| take_up.begun_as.as_deref());
    rule.pool_for_stream(begun_as.unwrap_or(attempt_id))
}

/// Builds a refusal after which the caller may retry.
fn retryable_refusal(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, Some(UNSERVED_RETRY_AFTER))
}

fn bad_header() -> Refusal {
    Refusal::not_run(RefusalReason::BadHeader, None)
}

/// Returns the host of a request without its port.
fn host_name(head: &HeaderMap) -> &str {
    let host = head.get(header::HOST).and_then(|value| std::str::from_utf8(value.as_bytes()).ok());
    // A request without a readable host matches only rules without a host.
    let host = host.unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
