//! Decides which target gets a waiting request.
//!
//! Inputs: the waiting request (work in microseconds, deadline, when its first part is due, targets
//! that failed it, the version that must serve it), and for each target its free capacity, learned
//! pace, stated load, prompt backlog, share of failures, version and data centre.
//!
//! The rule: the candidates are the targets with free capacity ([`target`]) that have not requested rest
//! from the request's entry daemon. They are compared by these criteria, in this order:
//! 1. The target has not requested rest from another entry daemon either.
//! 2. Its running streams do not pause for too long.
//! 3. It begins the answer in time.
//! 4. It ends the answer soonest; the time on failing and remote targets is weighted up.
//! 5. It has the lowest load.
//!
//! If targets are about equally good, one to which the entry daemon has an idle connection is taken
//! ([`connection_choice`]), where connections are reused.
//!
//! As long as its first part is not due, the request waits instead if a busy target would end it in time
//! and the best candidate would not, or if the best candidate stalls streams and another target does not.
//!
//! Owns: the rule; the state is the [`PoolScheduler`]'s. Relies on: [`pace`], [`stated_load`] and [`prefix`] for
//! estimates about targets.

mod connection_choice;
pub mod ejection;
pub mod idle_connections;
pub mod notice;
mod origin;
pub mod pace;
pub mod pacing;
pub mod prefix;
pub mod room;
pub mod stated_load;
pub mod target;
mod trial;

use std::time::Duration;

use curlewcleat_core::{
    PermitDecision, PermitId, PermitRequest, TargetId, TargetInstance, Uptime, WorkMicros,
};

use self::connection_choice::{TargetCandidate, TargetChoice};
use self::origin::RequestOrigin;
use self::target::TargetState;
use crate::order::waiting::WaitingRequest;
use crate::permit_record::PermitRecord;
use crate::pool::{PoolScheduler, SchedulerAction};
use crate::rollout::versions::VersionAccess;
use crate::work_estimate::{micros, with_margin};

/// Number of accounts of each tier whose first requests are considered when the best one finds no target.
const HEADS_TRIED: usize = 8;
/// Reading prompts for up to this percentage of the longest allowed pause stalls no stream.
const STALL_PERCENT: u32 = 70;
/// Multiple of its time added for a target all of whose recent requests failed.
const FAILING_PENALTY: u64 = 8;

/// How well a target suits a permit request, as criteria in order; the smallest value is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TargetFit {
    /// Whether it has requested rest from any entry daemon.
    rests: bool,
    /// Whether its running streams would pause for too long.
    stalls: bool,
    /// Whether the answer would begin too late.
    late: bool,
    /// Time until the end of the answer, increased by the penalties for failures and for another data centre.
    penalized: WorkMicros,
    /// Time until the end of the answer.
    time: WorkMicros,
}

impl PoolScheduler {
    /// Grants permits as long as the best waiting requests find targets with free capacity.
    pub(crate) fn grant(&mut self, now: Uptime, actions: &mut Vec<SchedulerAction>) {
        self.queues.defer_late(now);
        while let Some((permit, target)) = self.next_trial(now).or_else(|| self.next_grant(now)) {
            let Some(waiting) = self.queues.take(&permit) else { return };
            self.throughput.record_grant(waiting.work, self.queues.has_new());
            self.flows.record_grant(&waiting.request);
            let Some(state) = self.targets.get_mut(&target) else { return };
            let estimate = state.estimate(&waiting.request);
            let expected = estimate * 1_000 / state.slowness().max(1);
            state.in_flight += 1;
            if let Some(number) = self.entry_numbers.get(&waiting.entry) {
                state.idle_connections.record_use(number);
            }
            if let Some(trial) = &mut self.trial {
                let on_trial = state.access == VersionAccess::Trial;
                trial.record(waiting.request.objectives.urgency, on_trial);
            }
            state.request_sent(now);
            state.stated.granted(now, state.in_flight);
            let backlog = state.prompt_backlog(now);
            if let Some(time) = state.pace.prompt_time(waiting.request.prompt_work) {
                state.prompt_sent(now, time);
            }
            if let Some(prefix) = waiting.request.prefix {
                state.prefixes.touch(prefix, self.options.cached_prefixes);
            }
            let record = PermitRecord {
                entry: waiting.entry.clone(),
                target: TargetInstance { id: target.clone(), start: state.start },
                expected,
                prompt_work: waiting.request.prompt_work,
                output_work: waiting.request.output_work,
                backlog,
                confirmed: now,
                stalled: false,
            };
            self.permits.insert(permit, record);
            actions.push(self.answer(waiting.entry, permit, PermitDecision::Granted(target)));
        }
    }

    fn next_grant(&self, now: Uptime) -> Option<(PermitId, TargetId)> {
        // If all targets are busy, as in an overload, no request needs to be considered.
        let has_capacity = |state: &TargetState| state.has_capacity(true, 0, now);
        if self.queues.is_empty() || !self.targets.values().any(has_capacity) {
            return None;
        }
        let candidates = self.queues.candidates(HEADS_TRIED);
        candidates
            .filter_map(|waiting| Some((waiting.request.permit, self.choose_target(now, waiting)?)))
            .next()
    }

    /// Returns the candidate that suits the permit request best, `None` if there is none or waiting for another
    /// target is better.
    fn choose_target(&self, now: Uptime, waiting: &WaitingRequest) -> Option<TargetId> {
        let top = waiting.request.tier == self.options.top;
        let reserve = self.options.reserve_percent;
        let version = waiting.request.version;
        let only_ejected = self.has_only_ejected_targets(now, &waiting.request);
        // A caller can name a stream that a version on trial began as often as it likes.
        let urgency = waiting.request.objectives.urgency;
        let trial_admits =
            self.trial.as_ref().is_some_and(|trial| trial.admits(urgency, self.rate_share));
        let candidates = self.targets.iter().filter(|(id, state)| {
            state.has_capacity_for(version, only_ejected, top, reserve, now)
                && eligible(now, waiting, id, state)
                && (state.access != VersionAccess::Trial || trial_admits)
        });
        let origin = self.origin_of(&waiting.entry);
        let time_left = micros(waiting.deadline.saturating_sub(now));
        let mut choice = TargetChoice::default();
        for (id, state) in candidates {
            let fit = self.evaluate(now, waiting, &origin, state);
            let too_slow = with_margin(fit.time) > time_left;
            choice.add(TargetCandidate {
                too_slow,
                ..TargetCandidate::new(now, fit, id, state, &origin)
            });
        }
        let chosen = choice.close(now, &waiting.request)?;
        // The request waits only while its first part is not due, and only if a better target is busy.
        let may_wait = now < waiting.first_part_by;
        if chosen.too_slow && may_wait && self.has_fast_target(now, waiting, time_left) {
            return None;
        }
        if chosen.fit.stalls && may_wait && self.has_target_without_stalls(now, waiting) {
            return None;
        }
        Some(chosen.id.clone())
    }

    /// Returns whether a request is limited to a version all of whose targets are ejected. The share of a pool's targets
    /// that may be ejected does not protect the targets of one version; a request that may go nowhere else is sent to them.
    pub(crate) fn has_only_ejected_targets(&self, now: Uptime, request: &PermitRequest) -> bool {
        let Some(version) = request.version else { return false };
        let mut of_version = self.targets.values().filter(|state| state.version_digest == version);
        !of_version.any(|state| state.accepts_requests_for(Some(version), now))
    }

    /// Returns how well a target suits a permit request.
    fn evaluate(
        &self,
        now: Uptime,
        waiting: &WaitingRequest,
        origin: &RequestOrigin<'_>,
        state: &TargetState,
    ) -> TargetFit {
        let request = &waiting.request;
        let rests = state.rests(now);
        let prompt = state.pace.prompt_time(request.prompt_work);
        let output = state.pace.output_time(request.output_work, &self.pace);
        let (Some(prompt), Some(output)) = (prompt, output) else {
            let time = state.stated.adjusted(now, state.estimate(request), state.slots);
            let penalty = failure_penalty(time, state) + origin.remote_penalty(state, time);
            let penalized = time + penalty;
            return TargetFit { rests, stalls: false, late: false, penalized, time };
        };
        let backlog = state.prompt_backlog(now);
        let prompt_delay = backlog + Duration::from_micros(prompt);
        let stalls = state.in_flight > 0 && self.would_stall(now, state, prompt_delay, request);
        let adjusted = |time| state.stated.adjusted(now, time, state.slots);
        let first_part = Duration::from_micros(adjusted(micros(prompt_delay)));
        let late = now + first_part > waiting.first_part_by;
        let time = adjusted(micros(prompt_delay) + output);
        let penalty = failure_penalty(time, state) + origin.remote_penalty(state, time);
        TargetFit { rests, stalls, late, penalized: time + penalty, time }
    }

    /// Returns whether reading prompts for `prompt_delay` makes the streams of a target pause for too long. A
    /// target that recently paused for too long is expected to do so again, unless it has little to read.
    fn would_stall(
        &self,
        now: Uptime,
        state: &TargetState,
        prompt_delay: Duration,
        request: &PermitRequest,
    ) -> bool {
        let limit = request.objectives.pause_limit;
        let pauses = state.pace.longest_pause(now) > limit;
        pauses && prompt_delay > limit / 100 * STALL_PERCENT
    }

    /// Returns whether any target that accepts new requests, busy or not, would end the answer in time.
    fn has_fast_target(
        &self,
        now: Uptime,
        waiting: &WaitingRequest,
        time_left: WorkMicros,
    ) -> bool {
        let origin = self.origin_of(&waiting.entry);
        self.targets.iter().any(|(id, state)| {
            let suitable = state.accepts_requests(now) && eligible(now, waiting, id, state);
            suitable && with_margin(self.evaluate(now, waiting, &origin, state).time) <= time_left
        })
    }

    /// Returns whether any target that accepts new requests, busy or not, has not recently stalled streams.
    fn has_target_without_stalls(&self, now: Uptime, waiting: &WaitingRequest) -> bool {
        let limit = waiting.request.objectives.pause_limit;
        self.targets.iter().any(|(id, state)| {
            let suitable = state.accepts_requests(now) && eligible(now, waiting, id, state);
            suitable && state.pace.longest_pause(now) <= limit
        })
    }
}

/// Returns whether a target has a version that the request allows, and has neither failed it nor requested rest from its
/// entry daemon.
fn eligible(now: Uptime, waiting: &WaitingRequest, id: &TargetId, state: &TargetState) -> bool {
    let request = &waiting.request;
    let excluded = request.avoid.contains(id) || !request.allows_version(state.version_digest);
    !excluded && state.rest_remaining(now, &waiting.entry.vm).is_none()
}

/// Returns the time added for a target whose requests failed recently.
fn failure_penalty(time: WorkMicros, state: &TargetState) -> WorkMicros {
    time / 1_000 * state.failing() * FAILING_PENALTY
}
