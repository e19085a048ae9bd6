//! Remembers which rules were replaced or added a short time ago, for streams that began under earlier ones.
//!
//! A stream that its caller takes up goes on only at the pool that began it. The pool follows from the rule under which the
//! stream began, which the configuration in force may no longer have. The pool is known only if every rule that may have
//! begun the stream selects the same one.
//!
//! Owns: the rules of earlier configurations, each for [`RETENTION`]. Relies on: pools of streams being selected with
//! [`AdmissionRule::pool_for_stream`].

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use curlewcleat_core::{ActiveConfig, AdmissionRule, PoolId, PoolShare, Uptime};

/// Time for which a change is remembered: as long as the version that began a stream.
const RETENTION: Duration = Duration::from_secs(30);
/// Most replaced rules that are remembered, and most added ones. Each is shared with a configuration that had it.
const RULE_LIMIT: usize = 16_384;

/// What a caller states about a stream that it takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenUpRoute<'a> {
    /// Host of the request.
    pub host: &'a str,
    /// Method of the request.
    pub method: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// The attempt that began the stream, `None` where the caller does not name one.
    pub begun_as: Option<&'a str>,
}

/// Rules that were replaced or added a short time ago.
#[derive(Debug, Default)]
pub struct RouteHistory {
    replaced: VecDeque<ChangedRule>,
    added: VecDeque<ChangedRule>,
    /// When the newest change was made that is no longer remembered.
    forgotten: Option<Uptime>,
}

/// A rule that is no longer in force, or that was not in force before.
#[derive(Debug)]
struct ChangedRule {
    rule: Arc<AdmissionRule>,
    at: Uptime,
}

/// What of a rule decides which requests get which pool.
type RouteKey<'a> =
    (u32, &'a Option<String>, &'a Option<String>, &'a String, &'a PoolId, &'a Vec<PoolShare>);

impl RouteHistory {
    /// Records that a configuration has replaced another one. Takes a time that grows with the number of rules. The first
    /// configuration of a process changes nothing.
    pub fn record_change(&mut self, now: Uptime, before: &ActiveConfig, after: &ActiveConfig) {
        if before.generation == 0 || before.generation == after.generation {
            return;
        }
        let changed = |rules: &[Arc<AdmissionRule>], others: &[Arc<AdmissionRule>]| {
            let others: HashSet<_> = others.iter().map(|rule| route_key(rule)).collect();
            let changed = rules.iter().filter(|rule| !others.contains(&route_key(rule)));
            changed.map(|rule| ChangedRule { rule: Arc::clone(rule), at: now }).collect::<Vec<_>>()
        };
        self.replaced.extend(changed(&before.rules, &after.rules));
        self.added.extend(changed(&after.rules, &before.rules));
        for changes in [&mut self.replaced, &mut self.added] {
            let is_old = |change: &ChangedRule| now >= change.at + RETENTION;
            let old = changes.iter().take_while(|change| is_old(change)).count();
            let surplus = changes.len().saturating_sub(RULE_LIMIT).max(old);
            let newest = changes.drain(..surplus).next_back().map(|change| change.at);
            self.forgotten = self.forgotten.max(newest);
        }
    }

    /// Returns whether every rule that may have begun a stream since a moment selects this pool for it.
    pub fn confirms_pool(
        &self,
        config: &ActiveConfig,
        since: Uptime,
        route: TakenUpRoute<'_>,
        pool: &PoolId,
    ) -> bool {
        if self.forgotten.is_some_and(|forgotten| forgotten >= since) {
            return false;
        }
        let selects_pool = |rule: &AdmissionRule| match route.begun_as {
            Some(begun_as) => rule.pool_for_stream(begun_as) == pool,
            None => rule.pools().all(|selected| selected == pool),
        };
        let matches =
            |rule: &AdmissionRule| rule.matches_route(route.host, route.method, route.path);
        let present = self.earliest_rules(config, since, matches);
        let replaced = self.replaced.iter().filter(|change| change.at >= since);
        let replaced = replaced.map(|change| change.rule.as_ref()).filter(|rule| matches(rule));
        present.into_iter().chain(replaced).filter(|rule| begins_streams(rule)).all(selects_pool)
    }

    /// Returns the rules in force that may have begun a stream since a moment: the first one that matches, and where it
    /// was added since then, also the next one, until one was in force all the time.
    fn earliest_rules<'a>(
        &self,
        config: &'a ActiveConfig,
        since: Uptime,
        matches: impl Fn(&AdmissionRule) -> bool,
    ) -> Vec<&'a AdmissionRule> {
        let mut rules = Vec::new();
        for rule in config.rules.iter().filter(|rule| matches(rule)) {
            rules.push(rule.as_ref());
            if !self.was_added(rule, since) {
                break;
            }
        }
        rules
    }

    fn was_added(&self, rule: &AdmissionRule, since: Uptime) -> bool {
        let recent = self.added.iter().rev().take_while(|change| change.at >= since);
        recent.map(|change| route_key(&change.rule)).any(|added| added == route_key(rule))
    }
}

fn begins_streams(rule: &AdmissionRule) -> bool {
    rule.service.streams && rule.repeatable
}

fn route_key(rule: &AdmissionRule) -> RouteKey<'_> {
    (rule.order, &rule.host, &rule.method, &rule.path, &rule.pool, &rule.split)
}
