//! The answers that speak for and against a shared feature.
//!
//! Owns: nothing; methods of [`SuspectFeature`]. Relies on: times of the same clock; those in reports are ages.

use curlewcleat_core::{FeatureReport, Uptime};

use super::SuspectFeature;
use crate::lethal::LethalOptions;

impl SuspectFeature {
    /// Records that the answer to a request with the feature began. Interruptions before it, and shortly after it, do not
    /// count. Returns whether any did.
    pub fn record_begun(&mut self, begun: Uptime, options: &LethalOptions) -> bool {
        let begun = self.begun.map_or(begun, |earlier| earlier.max(begun));
        self.begun = Some(begun);
        self.latest = self.latest.max(begun);
        let before = self.interruptions.len();
        let refuted_until = begun + options.begun_for;
        self.interruptions.retain(|_, interruption| interruption.at > refuted_until);
        self.forget_others_without_interruption();
        before != self.interruptions.len()
    }

    /// Returns whether a report has interruptions that an answer refutes of which its sender does not know.
    pub fn refutes(&self, now: Uptime, options: &LethalOptions, report: &FeatureReport) -> bool {
        let mut reported = report.interruptions.iter();
        reported.any(|reported| self.is_refuted(options, now.saturating_sub(reported.age)))
    }

    /// Returns whether an interruption at this time does not count, since an answer to a request with the feature has begun
    /// afterwards or shortly before.
    pub(super) fn is_refuted(&self, options: &LethalOptions, at: Uptime) -> bool {
        self.begun.is_some_and(|begun| at <= begun + options.begun_for)
    }

    /// Records that the answer to a request without the feature began. Returns whether it is the first one since the first
    /// interruption.
    pub fn record_others_begun(&mut self, begun: Uptime) -> bool {
        let Some(first) = self.first_interruption().filter(|first| begun >= *first) else {
            return false;
        };
        let known = self.others_begun.filter(|known| *known >= first);
        self.others_begun = Some(known.map_or(begun, |known| known.min(begun)));
        known.is_none()
    }

    /// Returns whether a request of the pool without the feature was answered between two interruptions, so that these can
    /// be due to the feature. A feature whose refusal is stored had this before.
    pub fn has_contrast(&self) -> bool {
        let others_begun =
            self.others_begun.filter(|begun| self.first_interruption() <= Some(*begun));
        let is_followed =
            |begun| self.interruptions.values().any(|interruption| interruption.at > begun);
        self.stored || others_begun.is_some_and(is_followed)
    }

    fn first_interruption(&self) -> Option<Uptime> {
        self.interruptions.values().map(|interruption| interruption.at).min()
    }

    /// Returns whether the answer to a request with the feature is known to have begun.
    pub fn has_begun(&self) -> bool {
        self.begun.is_some()
    }

    fn forget_others_without_interruption(&mut self) {
        if self.interruptions.is_empty() {
            self.others_begun = None;
        }
    }
}
