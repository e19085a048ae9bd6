//! The state of one suspect feature.
//!
//! Owns: the instances at which requests with it were interrupted, and which of them count; for a shared feature, when
//! answers began with and without it. Relies on: `LethalRequests` for when it is classified.

mod answers;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    FeatureReport, InterruptionKind, InterruptionReport, RequestFeature, RequestInterruption,
    TargetInstance, Uptime,
};

use super::served::PROPAGATION_LIMIT;
use super::{InstancePresence, LethalOptions, INSTANCE_LIMIT};

/// The interruption of the request at one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct InstanceInterruption {
    kind: InterruptionKind,
    /// Whether a part of the answer had arrived from the instance.
    pub begun: bool,
    /// Whether this daemon saw the instance listed when the interruption happened.
    observed_here: bool,
    terminated: bool,
    at: Uptime,
}

/// Instances at which the request was interrupted.
pub(super) type InterruptedInstances<'s> = BTreeMap<&'s TargetInstance, &'s InstanceInterruption>;

/// The result of a review.
#[derive(Debug, Default)]
pub(super) struct ReviewFindings {
    /// Instances that have terminated.
    pub terminated: Vec<TargetInstance>,
    /// Whether interruptions were dropped because their instances have not terminated.
    pub dropped: bool,
}

/// A feature that is suspected of, or established as, terminating the targets of requests that have it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct SuspectFeature {
    interruptions: BTreeMap<TargetInstance, InstanceInterruption>,
    cleared: BTreeSet<TargetInstance>,
    /// Whether the platform has stored its refusal.
    pub stored: bool,
    /// When the answer to a request with the feature last began, `None` for a whole request.
    begun: Option<Uptime>,
    /// When the answer to a request without the feature first began after the first interruption, `None` if none did.
    others_begun: Option<Uptime>,
    /// Whether it was ever interrupted at several instances, so that it may be held or refused at other daemons.
    pub is_urgent: bool,
    /// Time of the latest interruption, or of the latest repeat of a refused request.
    pub latest: Uptime,
    /// Number of the latest change of this feature, counted over all features.
    pub changed_at: u64,
}

impl SuspectFeature {
    /// Records an interruption at an instance that was listed then. Returns whether the state changed.
    pub fn record_interruption(
        &mut self,
        now: Uptime,
        options: &LethalOptions,
        interruption: RequestInterruption,
    ) -> bool {
        let RequestInterruption { instance, kind, begun } = interruption;
        self.add(
            now,
            options,
            instance,
            InstanceInterruption { kind, begun, observed_here: true, terminated: false, at: now },
        )
    }

    /// Merges a report. Returns whether the state changed.
    pub fn merge(&mut self, now: Uptime, options: &LethalOptions, report: FeatureReport) -> bool {
        let mut changed = report.stored && !self.stored;
        self.stored |= report.stored;
        let time_of = |age: Duration| now.saturating_sub(age);
        if let Some(begun) = report.begun.map(time_of) {
            changed |= self.record_begun(begun, options);
        }
        for instance in report.cleared {
            self.interruptions.remove(&instance);
            if self.cleared.len() < INSTANCE_LIMIT && self.cleared.insert(instance) {
                changed = true;
                // Cleared instances are kept as long as interruptions.
                self.latest = now;
            }
        }
        for reported in report.interruptions {
            let at = now.saturating_sub(reported.age);
            let RequestInterruption { instance, kind, begun } = reported.interruption;
            changed |= self.add(
                now,
                options,
                instance,
                InstanceInterruption {
                    kind,
                    begun,
                    observed_here: false,
                    terminated: reported.ended,
                    at,
                },
            );
        }
        if let Some(others_begun) = report.others_begun.map(time_of) {
            changed |= self.record_others_begun(others_begun);
        }
        changed
    }

    fn add(
        &mut self,
        now: Uptime,
        options: &LethalOptions,
        instance: TargetInstance,
        added: InstanceInterruption,
    ) -> bool {
        if self.cleared.contains(&instance) {
            return false;
        }
        if let Some(interruption) = self.interruptions.get_mut(&instance) {
            // A closed connection is stronger evidence than a stalled one; of two copies at one instance, the one whose
            // answer had not begun counts.
            let changed = added.terminated && !interruption.terminated
                || added.kind < interruption.kind
                || !added.begun && interruption.begun;
            interruption.kind = interruption.kind.min(added.kind);
            interruption.begun &= added.begun;
            interruption.observed_here |= added.observed_here;
            interruption.terminated |= added.terminated;
            // Daemons see the same termination at slightly different times, and have to agree on what came before it.
            interruption.at = interruption.at.min(added.at);
            return changed;
        }
        if self.interruptions.len() >= INSTANCE_LIMIT || self.is_refuted(options, added.at) {
            return false;
        }
        self.latest = self.latest.max(added.at).min(now);
        self.interruptions.insert(instance, added);
        self.is_urgent |= self.interruptions.len() > 1;
        true
    }

    /// Clears all interruptions. Returns whether there were any.
    pub fn clear(&mut self) -> bool {
        self.clear_until(Uptime::MAX)
    }

    /// Clears the interruptions up to this time. Returns whether there were any.
    pub fn clear_until(&mut self, until: Uptime) -> bool {
        let interruptions = std::mem::take(&mut self.interruptions);
        let (cleared, remaining): (BTreeMap<_, _>, BTreeMap<_, _>) =
            interruptions.into_iter().partition(|(_, interruption)| interruption.at <= until);
        self.interruptions = remaining;
        let changed = !cleared.is_empty();
        for instance in cleared.into_keys() {
            if self.cleared.len() >= INSTANCE_LIMIT {
                self.cleared.pop_first();
            }
            self.cleared.insert(instance);
        }
        changed
    }

    /// Checks which of the instances have terminated.
    pub fn review(
        &mut self,
        now: Uptime,
        options: &LethalOptions,
        presence_of: &dyn Fn(&TargetInstance) -> InstancePresence,
    ) -> ReviewFindings {
        let mut findings = ReviewFindings::default();
        let before = self.interruptions.len();
        self.interruptions.retain(|instance, interruption| {
            if interruption.terminated {
                return true;
            }
            let age = now.saturating_sub(interruption.at);
            match presence_of(instance) {
                InstancePresence::Unlisted
                    if interruption.observed_here || age >= options.listing_propagation =>
                {
                    interruption.terminated = true;
                    findings.terminated.push(instance.clone());
                    true
                }
                InstancePresence::Unlisted | InstancePresence::Unknown => true,
                InstancePresence::Listed => age < options.listing_expiry,
            }
        });
        findings.dropped = before != self.interruptions.len();
        findings
    }

    /// Returns the instances that have terminated.
    pub fn terminated_instances(&self) -> InterruptedInstances<'_> {
        self.instances(|interruption| interruption.terminated)
    }

    /// Returns the instances that have terminated or closed their connections.
    pub fn disconnected_instances(&self) -> InterruptedInstances<'_> {
        self.instances(|interruption| {
            interruption.terminated || interruption.kind == InterruptionKind::Closed
        })
    }

    fn instances(
        &self,
        counts: impl Fn(&InstanceInterruption) -> bool,
    ) -> InterruptedInstances<'_> {
        self.interruptions.iter().filter(|(_, interruption)| counts(interruption)).collect()
    }

    /// Returns the number of instances at which the request was interrupted.
    pub fn interruption_count(&self) -> usize {
        self.interruptions.len()
    }

    /// Returns the time until it is known whether the instance of the oldest interruption terminated.
    pub fn time_until_known(&self, now: Uptime, options: &LethalOptions) -> Duration {
        let undecided = self.interruptions.values().filter(|interruption| !interruption.terminated);
        let oldest = undecided.map(|interruption| interruption.at).min().unwrap_or(now);
        (oldest + options.listing_expiry).saturating_sub(now)
    }

    /// Returns whether nothing is recorded that other daemons may still have to learn.
    pub fn is_empty(&self, now: Uptime) -> bool {
        let has_just_begun = self.begun.is_some_and(|begun| now < begun + PROPAGATION_LIMIT);
        self.interruptions.is_empty() && self.cleared.is_empty() && !has_just_begun
    }

    /// Returns the eviction order: features with fewer interruptions first, then older ones.
    pub fn eviction_key(&self) -> (usize, Uptime) {
        (self.interruptions.len(), self.latest)
    }

    /// Returns the report for other daemons.
    pub fn report(&self, now: Uptime, feature: RequestFeature) -> FeatureReport {
        let interruptions =
            self.interruptions.iter().map(|(instance, interruption)| InterruptionReport {
                interruption: RequestInterruption {
                    instance: instance.clone(),
                    kind: interruption.kind,
                    begun: interruption.begun,
                },
                ended: interruption.terminated,
                age: now.saturating_sub(interruption.at),
            });
        let age_of = |time: Option<Uptime>| Some(now.saturating_sub(time?));
        FeatureReport {
            feature,
            interruptions: interruptions.collect(),
            cleared: self.cleared.iter().cloned().collect(),
            stored: self.stored,
            begun: age_of(self.begun),
            others_begun: age_of(self.others_begun),
        }
    }
}
