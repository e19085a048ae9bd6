//! Which request goes to a version on trial, and to which of its targets?
//!
//! Inputs: the first waiting requests, the targets of the version, and the part that it may get
//! ([`exposure`](crate::rollout::exposure)).
//!
//! The rule: a first attempt whose urgency had least of it goes to one of a few targets of the version, which change every
//! [`TURN`] and are loaded as the others are on the mean: faults that show under load would not show at many targets with
//! little to do, and one target would stand for itself alone.
//!
//! Owns: the rule; the state is the [`PoolScheduler`]'s. Relies on: the node for the stage of the order.

use std::time::Duration;

use curlewcleat_core::{PermitId, TargetId, TargetVersion, Uptime};

use super::target::TargetState;
use super::{eligible, HEADS_TRIED};
use crate::order::waiting::WaitingRequest;
use crate::pool::PoolScheduler;
use crate::rollout::exposure::{RolloutLimits, TrialShare};
use crate::rollout::versions::{PoolVersions, VersionAccess};

/// Time for which the same targets of the version are taken first.
const TURN: Duration = Duration::from_secs(1);
/// Least number of requests at the same time at a target on trial.
const LEAST_LOAD: u32 = 2;

impl PoolScheduler {
    /// Keeps to what the versions of its targets may get.
    pub fn keep_versions(&mut self, versions: &PoolVersions) {
        for state in self.targets.values_mut() {
            state.access = versions.access(&state.version);
        }
    }

    /// A version is on trial from now on; `is_first` says whether this scheduler has been asked since the order.
    pub fn begin_trial(&mut self, limits: RolloutLimits, is_first: bool) {
        self.trial.get_or_insert_with(|| TrialShare::new(limits, is_first));
    }

    /// No version is on trial any more.
    pub fn end_trial(&mut self) {
        self.trial = None;
    }

    /// What was granted of the version on trial, `None` where none is.
    pub fn trial(&self) -> Option<&TrialShare> {
        self.trial.as_ref()
    }

    /// Targets that do not leave, of a version and of others.
    pub fn targets_by_version(&self, version: &TargetVersion) -> (usize, usize) {
        let stay = self.targets.values().filter(|state| !state.is_leaving());
        let (of_version, others): (Vec<_>, Vec<_>) =
            stay.partition(|state| state.version.as_ref() == Some(version));
        (of_version.len(), others.len())
    }

    /// Permits in use at targets of other versions.
    pub fn in_flight_beside(&self, version: &TargetVersion) -> usize {
        let known = self.permits.values().filter_map(|permit| self.targets.get(&permit.target.id));
        known.filter(|state| state.version.as_ref() != Some(version)).count()
    }

    /// The next request that goes to the version on trial.
    pub(super) fn next_trial(&self, now: Uptime) -> Option<(PermitId, TargetId)> {
        let trial = self.trial.as_ref()?;
        let may_go = |waiting: &&WaitingRequest| {
            let request = &waiting.request;
            let is_first = request.permit.attempt == 0 && request.avoid.is_empty();
            is_first && trial.admits(request.objectives.urgency, self.part)
        };
        let heads = self.queues.heads(HEADS_TRIED).filter(may_go);
        let waiting = heads.min_by_key(|waiting| trial.had(waiting.request.objectives.urgency))?;
        let target = self.trial_target(now, waiting)?;
        Some((waiting.request.permit, target))
    }

    fn trial_target(&self, now: Uptime, waiting: &WaitingRequest) -> Option<TargetId> {
        let load = self.usual_load();
        let on_trial =
            self.targets.iter().filter(|(_, state)| state.access == VersionAccess::Trial);
        let on_trial: Vec<(&TargetId, &TargetState)> = on_trial.collect();
        let turn = now.as_millis() / TURN.as_millis();
        let first = (turn % on_trial.len().max(1) as u128) as usize;
        let in_turn = on_trial[first..].iter().chain(&on_trial[..first]);
        let mut fit = in_turn.filter(|(id, state)| {
            has_trial_room(state, load, now) && eligible(now, waiting, id, state)
        });
        fit.next().map(|(id, _)| (*id).clone())
    }

    /// Requests at a target of the others on the mean.
    fn usual_load(&self) -> u32 {
        let open = self.targets.values().filter(|state| state.access == VersionAccess::Open);
        let (targets, in_flight) =
            open.fold((0, 0), |(targets, all), state| (targets + 1, all + state.in_flight));
        in_flight.div_ceil(targets.max(1)).max(LEAST_LOAD)
    }
}

/// Whether one more request may go to a target while its version is on trial, where so many at the same time are usual.
fn has_trial_room(state: &TargetState, usual_load: u32, now: Uptime) -> bool {
    let is_limited = state.limit_wait(now) != Some(Duration::ZERO);
    let is_shut = state.is_leaving() || state.ejected() || is_limited;
    !is_shut && state.in_flight + state.foreign(now) < usual_load.min(state.slots)
}
