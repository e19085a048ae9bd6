//! Which rule, account and pool a request has, and whether it may go on at all.

use std::hash::Hasher;
use std::time::{Duration, Instant};

use actix_http::header::{self, HeaderMap};
use actix_http::{HttpMessage, Request};
use curlewcleat_core::{
    hash_token, AccountId, ActiveConfig, AdmissionRule, ClientAccount, PoolId, PoolKind, RateUnit,
    Refusal, RefusalReason, RequestId, ServiceAims, TargetPool, TierRank,
};
use curlewcleat_sched::RequestSpec;
use siphasher::sip::SipHasher13;
use spdlog::prelude::*;

use super::Gateway;
use crate::headers;

/// Advice when to come back where the daemon itself cannot serve.
const UNSERVED_WAIT: Duration = Duration::from_millis(300);
/// Objectives for which a request may wait for a target. Callers of streams soon give up after that.
const WAIT_OBJECTIVES: u32 = 2;
/// Part of its time for which a request may wait, in percent; a longer wait only keeps its caller from
/// better use of it.
const WAIT_PERCENT: u32 = 40;
/// Forecast wait above which a new request is refused at once, in percent of its objective.
const FORECAST_PERCENT: u32 = 60;
/// A caller that gives less than this part of the longest time, in percent, has tried before.
const RETRY_TIME_PERCENT: u32 = 95;
/// Deadline of a request that names none and whose rule names none.
const DEADLINE: Duration = Duration::from_secs(30);
/// Shared parts make a prompt's prefix where they are at least this part of it, one in so many.
const PREFIX_PART: u64 = 2;

/// What admission gave a request.
pub(super) struct AdmittedCall {
    pub id: RequestId,
    /// The caller's own name for this try.
    pub attempt_id: String,
    pub arrived: Instant,
    /// When the caller stops waiting, or the rule's time ends.
    pub deadline: Instant,
    pub account: Option<AccountId>,
    pub rule: AdmissionRule,
    pub tier: String,
    pub rank: TierRank,
    pub pool: PoolId,
    aims: ServiceAims,
    cost: u64,
    work: WorkHint,
}

/// Work of a request by its headers.
#[derive(Clone, Copy, Default)]
struct WorkHint {
    prompt: u64,
    output: u64,
    prefix: Option<u64>,
}

impl AdmittedCall {
    /// The request as the node sees it.
    pub fn spec(&self) -> RequestSpec {
        RequestSpec {
            request: self.id,
            pool: self.pool.clone(),
            tier: self.rank,
            account: self.account.clone().unwrap_or_default(),
            time_left: self.time_left(),
            aims: self.aims,
            attempt_limit: Some(self.rule.service.attempt_limit),
            cost: self.cost,
            prompt_work: self.work.prompt,
            output_work: self.work.output,
            prefix: self.work.prefix,
            key: None,
        }
    }

    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Gateway {
    /// Finds rule, account and pool of a request.
    pub(super) fn admit(
        &self,
        id: RequestId,
        arrived: Instant,
        request: &Request,
    ) -> Result<AdmittedCall, Refusal> {
        let config = self.context.config();
        if config.generation == 0 {
            return Err(unserved(RefusalReason::NoConfiguration));
        }
        let head = request.headers();
        let host = host_name(head);
        let rule = config
            .route(host, request.method().as_str(), request.path())
            .ok_or_else(|| self.denied(RefusalReason::NoRule))?;
        let account = self.account(&config, rule, head)?;
        let attempt_id = headers::text(head, self.profile.attempt_id).unwrap_or_default();
        let bad_header = || Refusal::not_run(RefusalReason::BadHeader, None);
        if attempt_id.is_empty() {
            return Err(bad_header());
        }
        let asked = self.asked_time(head).map_err(|_| bad_header())?;
        let time = asked.into_iter().chain(rule.service.timeout).min().unwrap_or(DEADLINE);
        let pool_id = rule.pool_for(rand::random());
        let pool = config.pools.get(pool_id).ok_or_else(|| self.denied(RefusalReason::NoRule))?;
        let tier = config.tiers.get(&rule.tier);
        let rank = account
            .and_then(|account| account.rank)
            .or(tier.map(|tier| tier.rank))
            .unwrap_or_default();
        let tokens = tokens(head, self.profile.tokens);
        let urgency = tier.map_or(0, |tier| tier.rank);
        let aims = self.aims(rule, asked, time);
        let aims = ServiceAims { urgency, length_guessed: true, ..aims };
        Ok(AdmittedCall {
            id,
            attempt_id: attempt_id.to_string(),
            arrived,
            deadline: arrived + time,
            account: account.map(|account| account.id.clone()),
            tier: rule.tier.clone(),
            rank,
            pool: pool_id.clone(),
            aims,
            cost: account.map_or(0, |account| cost(account, tokens)),
            work: self.work(pool, head, tokens),
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
        if !self.is_proved() {
            return Err(unserved(RefusalReason::ConfigurationStale));
        }
        Ok(Some(account))
    }

    /// Whether the configuration is proved young enough for requests with a key.
    pub(super) fn is_proved(&self) -> bool {
        let limit = self.context.bounds().config_age_limit;
        limit.is_none_or(|limit| self.proof.is_within(limit))
    }

    /// What is unknown here is refused for good only where the configuration is surely the newest.
    fn denied(&self, reason: RefusalReason) -> Refusal {
        if self.proof.is_within(self.context.bounds().config_apply_limit) {
            return Refusal::not_run(reason, None);
        }
        unserved(RefusalReason::ConfigurationStale)
    }

    fn asked_time(&self, head: &HeaderMap) -> Result<Option<Duration>, std::num::ParseFloatError> {
        let Some(text) = headers::text(head, self.profile.time_left) else { return Ok(None) };
        let millis: f64 = text.trim().parse()?;
        Ok(Some(Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default()))
    }

    /// What a caller hopes for. A new request is refused at once where it is expected to wait long, so
    /// that its caller can come back in time; one that came back is kept longer. None is held to its
    /// end.
    fn aims(&self, rule: &AdmissionRule, asked: Option<Duration>, time: Duration) -> ServiceAims {
        let pause_limit = rule.service.pause_limit.unwrap_or(Duration::MAX);
        let (Some(objective), Some(asked)) = (rule.service.objective, asked) else {
            return ServiceAims { wait_limit: time, pause_limit, ..ServiceAims::default() };
        };
        let wait_limit = (objective * WAIT_OBJECTIVES).min(time / 100 * WAIT_PERCENT);
        let mut longest = self.longest.borrow_mut();
        let longest = longest.entry(rule.id.clone()).or_default();
        *longest = (*longest).max(asked);
        let came_back = asked * 100 < *longest * RETRY_TIME_PERCENT;
        let forecast_limit = match came_back {
            true => wait_limit,
            false => (objective * FORECAST_PERCENT / 100).min(wait_limit),
        };
        ServiceAims {
            wait_limit,
            forecast_limit,
            first_by: objective,
            pause_limit,
            came_back,
            ..ServiceAims::default()
        }
    }

    fn work(&self, pool: &TargetPool, head: &HeaderMap, tokens: Option<(u64, u64)>) -> WorkHint {
        if pool.kind == PoolKind::Service {
            return WorkHint { prompt: 0, output: pool.base_us, prefix: None };
        }
        let (prompt, most) = tokens.unwrap_or((0, 0));
        let hint = headers::text(head, self.profile.length_hint);
        let hint = hint.and_then(|text| text.trim().parse::<f64>().ok()).map(|hint| hint as u64);
        let output = hint.map_or(most, |hint| hint.min(most.max(hint)));
        WorkHint {
            prompt: prompt * pool.prompt_token_us,
            output: pool.base_us + output * pool.output_token_us,
            prefix: headers::text(head, self.profile.prompt_parts)
                .and_then(|parts| shared_prefix(parts, prompt)),
        }
    }

    /// Counts and logs a refusal.
    pub(super) fn count_refusal(
        &self,
        id: RequestId,
        attempt: &str,
        refusal: &Refusal,
        call: Option<&AdmittedCall>,
    ) {
        let tier = call.map_or("", |call| call.tier.as_str());
        let pool = call.map_or("", |call| call.pool.as_str());
        let account = call.and_then(|call| call.account.as_deref()).unwrap_or_default();
        let cost = call.map_or(0, |call| call.cost);
        self.context.metrics.refusal(refusal.reason, tier, pool);
        info!("request_refused", kv: {
            request = id.to_string(), attempt, account, cost, reason = refusal.reason.code(), tier, pool,
            may_have_run = refusal.verdict.may_have_run(),
            held_ms = call.map_or(0, |call| call.arrived.elapsed().as_millis() as i64),
            config_age_ms = self.proof.age().map_or(-1, |age| age.as_millis() as i64)
        });
    }
}

fn unserved(reason: RefusalReason) -> Refusal {
    Refusal::not_run(reason, Some(UNSERVED_WAIT))
}

/// Host of a request without its port.
fn host_name(head: &HeaderMap) -> &str {
    let host = head.get(header::HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Tokens in, and at most out.
fn tokens(head: &HeaderMap, name: &str) -> Option<(u64, u64)> {
    let (prompt, output) = headers::text(head, name)?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
}

fn cost(account: &ClientAccount, tokens: Option<(u64, u64)>) -> u64 {
    match account.shared_rate.map(|rate| rate.unit) {
        Some(RateUnit::Tokens(plain)) => {
            tokens.map_or(plain, |(prompt, output)| prompt.saturating_add(output))
        }
        _ => 1,
    }
}

/// Hash of a prompt's shared parts, where they are a large part of it.
fn shared_prefix(parts: &str, prompt: u64) -> Option<u64> {
    let (shared, _) = parts.rsplit_once(',')?;
    let sizes =
        shared.split(',').filter_map(|part| part.rsplit_once(':')?.1.trim().parse::<u64>().ok());
    let size: u64 = sizes.sum();
    if size * PREFIX_PART < prompt {
        return None;
    }
    let mut hasher = SipHasher13::new();
    hasher.write(shared.as_bytes());
    Some(hasher.finish())
}
