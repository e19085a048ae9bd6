//! Decides which request goes to a version on trial, and to which of its targets.
//!
//! Inputs: the first waiting requests, the targets of the version, and the share of requests that it may get
//! ([`exposure`](crate::rollout::exposure)).
//!
//! The rule: among first attempts, one whose urgency has had the least of the trial is selected. It goes to one of a
//! few targets of the version, which change every [`ROTATION_PERIOD`] and are loaded like the mean of the other
//! targets. Spread over many targets with little load, faults that need load would not show; one target alone would
//! not represent the version.
//!
//! Owns: the rule; the state is the [`PoolScheduler`]'s. Relies on: the node for the stage of the rollout order.

use std::time::Duration;

use curlewcleat_core::{PermitId, TargetId, TargetVersion, Uptime};

use super::target::TargetState;
use super::{eligible, HEADS_TRIED};
use crate::order::waiting::WaitingRequest;
use crate::pool::PoolScheduler;
use crate::rollout::exposure::{RolloutLimits, TrialShare};
use crate::rollout::versions::{PoolVersions, VersionAccess};

/// Time for which the same targets of the version are preferred.
const ROTATION_PERIOD: Duration = Duration::from_secs(1);
/// Minimum concurrency that a target on trial is loaded to.
const MIN_TRIAL_LOAD: u32 = 2;

impl PoolScheduler {
    /// Applies the access of each target's version.
    pub fn apply_version_access(&mut self, versions: &PoolVersions) {
        for state in self.targets.values_mut() {
            state.access = versions.access(&state.version);
        }
    }

    /// Begins the trial of a version; `is_first` is whether this daemon has scheduled the pool since the rollout order.
    pub fn begin_trial(&mut self, limits: RolloutLimits, is_first: bool) {
        self.trial.get_or_insert_with(|| TrialShare::new(limits, is_first));
    }

    /// Ends the trial of a version.
    pub fn end_trial(&mut self) {
        self.trial = None;
    }

    /// Returns the grants to the version on trial, `None` if no version is on trial.
    pub fn trial(&self) -> Option<&TrialShare> {
        self.trial.as_ref()
    }

    /// Returns the numbers of targets that are not leaving, of a version and of all others.
    pub fn targets_by_version(&self, version: &TargetVersion) -> (usize, usize) {
        let stay = self.targets.values().filter(|state| !state.is_leaving());
        let (of_version, others): (Vec<_>, Vec<_>) =
            stay.partition(|state| state.version.as_ref() == Some(version));
        (of_version.len(), others.len())
    }

    /// Returns the number of permits in use at targets of other versions.
    pub fn in_flight_at_other_versions(&self, version: &TargetVersion) -> usize {
        let known = self.permits.values().filter_map(|permit| self.targets.get(&permit.target.id));
        known.filter(|state| state.version.as_ref() != Some(version)).count()
    }

    /// Returns the permit and the target of the next request for the version on trial.
    pub(super) fn next_trial(&self, now: Uptime) -> Option<(PermitId, TargetId)> {
        let trial = self.trial.as_ref()?;
        let is_candidate = |waiting: &&WaitingRequest| {
            let request = &waiting.request;
            let is_first = request.permit.attempt == 0 && request.avoid.is_empty();
            // A stream that is continued goes to its own version, on trial or not.
            is_first
                && request.version.is_none()
                && trial.admits(request.objectives.urgency, self.rate_share)
        };
        let candidates = self.queues.candidates(HEADS_TRIED).filter(is_candidate);
        let waiting = candidates
            .min_by_key(|waiting| trial.granted_to_urgency(waiting.request.objectives.urgency))?;
        let target = self.trial_target(now, waiting)?;
        Some((waiting.request.permit, target))
    }

    fn trial_target(&self, now: Uptime, waiting: &WaitingRequest) -> Option<TargetId> {
        let load = self.mean_open_load();
        let on_trial =
            self.targets.iter().filter(|(_, state)| state.access == VersionAccess::Trial);
        let on_trial: Vec<(&TargetId, &TargetState)> = on_trial.collect();
        let rotation = now.as_millis() / ROTATION_PERIOD.as_millis();
        let first = (rotation % on_trial.len().max(1) as u128) as usize;
        let rotated = on_trial[first..].iter().chain(&on_trial[..first]);
        let mut with_capacity = rotated.filter(|(id, state)| {
            has_trial_capacity(state, load, now) && eligible(now, waiting, id, state)
        });
        with_capacity.next().map(|(id, _)| (*id).clone())
    }

    /// Returns the mean number of requests in flight at the targets that are open, at least [`MIN_TRIAL_LOAD`].
    fn mean_open_load(&self) -> u32 {
        let open = self.targets.values().filter(|state| state.access == VersionAccess::Open);
        let (targets, in_flight) =
            open.fold((0, 0), |(targets, all), state| (targets + 1, all + state.in_flight));
        in_flight.div_ceil(targets.max(1)).max(MIN_TRIAL_LOAD)
    }
}

/// Returns whether one more request may go to a target on trial, given the mean load of the open targets.
fn has_trial_capacity(state: &TargetState, mean_open_load: u32, now: Uptime) -> bool {
    let is_limited = state.limit_wait(now) != Some(Duration::ZERO);
    let is_closed = state.is_leaving() || state.ejected() || is_limited;
    !is_closed && state.in_flight + state.external_load(now) < mean_open_load.min(state.slots)
}
