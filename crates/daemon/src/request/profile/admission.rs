//! Is a request of a fleet admitted? Rule, account, proof of the configuration, deadline.
//!
//! A request goes on if a rule takes its host, method and path; if its rule is public, or the
//! configuration has no accounts, or its token belongs to an account and the configuration is proved
//! young enough; and if it carries a name of its attempt and a readable time. An unknown token
//! or path is refused for good only while the configuration is proved the newest; otherwise the caller
//! gets a `Retry-After`. What the request may use then is decided by the pool's scheduler.
//!
//! Owns: nothing. Relies on: the configuration in force, `ConfigFreshness` for its age.

use std::num::ParseFloatError;
use std::time::Duration;

use actix_http::header::{self, HeaderMap};
use actix_http::{HttpMessage, Request};
use curlewcleat_clock::Moment;
use curlewcleat_core::{
    hash_token, ActiveConfig, AdmissionRule, ClientAccount, Refusal, RefusalReason, RequestId,
};
use spdlog::prelude::*;

use super::{objectives, work, ProfileProtocol};
use crate::headers;
use crate::request::admitted::AdmittedRequest;

/// `Retry-After` where the daemon itself cannot serve: about the time in which another read of the platform may have
/// succeeded.
pub(super) const UNSERVED_WAIT: Duration = Duration::from_millis(300);
/// Deadline of a request that names none and whose rule names none.
const DEADLINE: Duration = Duration::from_secs(30);

impl ProfileProtocol {
    /// Finds rule, account and pool of a request.
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
        let asked = self.asked_time(head).map_err(|_| bad_header())?;
        let time = asked.into_iter().chain(rule.service.timeout).min().unwrap_or(DEADLINE);
        let pool = config.pools.get(rule.pool_for(rand::random()));
        let pool = pool.ok_or_else(|| self.denied(RefusalReason::NoRule))?;
        // The check of the configuration has found the tier of each rule.
        let tier_rank = config.tiers.get(&rule.tier).map(|tier| tier.rank).unwrap_or_default();
        let account_rank = account.and_then(|account| account.rank);
        let tokens = work::token_counts(head, self.profile.tokens);
        let longest = self.note_time(rule, asked);
        Ok(AdmittedRequest {
            id,
            attempt_id: attempt_id.to_string(),
            arrived,
            deadline: arrived + time,
            account: account.map(|account| account.id.clone()),
            tier: rule.tier.clone(),
            rank: account_rank.unwrap_or(tier_rank),
            pool: pool.clone(),
            objectives: objectives::objectives(rule, asked, longest, time, tier_rank),
            attempt_limit: Some(rule.service.attempt_limit),
            cost: account.map_or(0, |account| work::cost(account, tokens)),
            work: work::estimate(&self.profile, pool, head, tokens),
            digest: None,
            key: None,
            rule: rule.clone(),
        })
    }

    /// The account of a request, `None` where the rule or the configuration needs none.
    fn account<'c>(
        &self,
        config: &'c ActiveConfig,
        rule: &AdmissionRule,
        head: &HeaderMap,
    ) -> Result<Option<&'c ClientAccount>, Refusal> {
        if rule.public || config.accounts.is_empty() {
            return Ok(None);
        }
        let token = headers::bearer_token(head);
        let account = token.and_then(|token| config.account_of(&hash_token(token)));
        let account = account.ok_or_else(|| self.denied(RefusalReason::Unauthorized))?;
        if !self.is_config_fresh() {
            return Err(unserved(RefusalReason::ConfigurationStale));
        }
        Ok(Some(account))
    }

    /// Whether the configuration is proved young enough for requests with a token.
    pub(super) fn is_config_fresh(&self) -> bool {
        self.freshness.allows(self.context.bounds().config_age_limit)
    }

    /// An unknown token or path is refused for good only while the configuration is proved the newest.
    fn denied(&self, reason: RefusalReason) -> Refusal {
        if self.freshness.is_within(self.context.bounds().config_apply_limit) {
            return Refusal::not_run(reason, None);
        }
        unserved(RefusalReason::ConfigurationStale)
    }

    fn asked_time(&self, head: &HeaderMap) -> Result<Option<Duration>, ParseFloatError> {
        let Some(text) = headers::text(head, self.profile.time_left) else { return Ok(None) };
        let millis: f64 = text.trim().parse()?;
        let asked = Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_else(|error| {
            // A negative or infinite time counts as none left, so that the request is refused as too
            // late.
            debug!("time_out_of_range", kv: { time = text, error = error.to_string() });
            Duration::ZERO
        });
        Ok(Some(asked))
    }

    /// Records the time that a caller gives and returns the longest that was given for its rule.
    fn note_time(&self, rule: &AdmissionRule, asked: Option<Duration>) -> Duration {
        let (Some(asked), Some(_)) = (asked, rule.service.objective) else { return Duration::ZERO };
        let mut longest = self.longest.borrow_mut();
        let longest = longest.entry(rule.id.clone()).or_default();
        *longest = (*longest).max(asked);
        *longest
    }
}

fn unserved(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, Some(UNSERVED_WAIT))
}

fn bad_header() -> Refusal {
    Refusal::not_run(RefusalReason::BadHeader, None)
}

/// Host of a request without its port.
fn host_name(head: &HeaderMap) -> &str {
    // A request without a readable host matches only rules that name none.
    let host = head.get(header::HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
