//! Which target gets a request?
//!
//! Inputs: the waiting request (work in microseconds, deadline, when its first part is due, targets
//! that failed it), and of each target its room, learned pace, backlog of prompts, share of failures
//! and data centre.
//!
//! The rule: of the targets with room ([`target`]) that have not asked the entry for rest the one is taken that, in this
//! order, has asked no other entry for rest either, makes no running stream pause for too long, begins the answer in time, ends it soonest (failing and far
//! targets count longer), and is least loaded. A request waits instead where a busy target would end it
//! in time and this one would not, or where another does not stall, as long as its first part is not
//! due.
//!
//! Owns: the rule; the state is the [`PoolScheduler`]'s. Relies on: [`pace`] and [`prefix`] for beliefs
//! about targets.

pub mod ejection;
pub mod notice;
pub mod pace;
pub mod pacing;
pub mod prefix;
pub mod target;
mod trial;

use std::time::Duration;

use curlewcleat_core::{
    DaemonId, PermitDecision, PermitId, PermitRequest, TargetId, TargetLife, Uptime, WorkMicros,
};

use self::target::TargetState;
use crate::order::waiting::WaitingRequest;
use crate::pool::{micros, with_margin, PermitRecord, PoolScheduler, SchedulerAction};
use crate::rollout::versions::VersionAccess;

/// Accounts of each tier whose first requests are tried when the best one finds no target.
const HEADS_TRIED: usize = 8;
/// Reading prompts for up to this part of the longest allowed pause, in percent, stalls no stream.
const STALL_PERCENT: u32 = 70;
/// The time on a target of another data centre counts longer by this, in percent: a near target is
/// taken unless a far one is several times as fast, or the near one would be late.
const FAR_PERCENT: u64 = 250;
/// The time on a target counts longer by this many times where all its requests failed lately.
const FAILING_PENALTY: u64 = 8;

/// How well a target suits a permit request; the least is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TargetFit {
    /// It has asked some entry for rest.
    rests: bool,
    /// Streams there would pause for too long.
    stalls: bool,
    /// The answer would begin too late.
    late: bool,
    /// Time until its end, longer where requests failed there lately.
    penalized: WorkMicros,
    /// Time until its end.
    time: WorkMicros,
}

impl PoolScheduler {
    /// Whether a target is known to be in another data centre than the entry.
    fn is_far(&self, entry: &DaemonId, state: &TargetState) -> bool {
        let place = self.places.get(&entry.vm).filter(|place| !place.is_empty());
        place.is_some_and(|place| !state.data_centre.is_empty() && *place != state.data_centre)
    }

    /// Gives permits as long as the best waiting requests find targets with room.
    pub(crate) fn grant(&mut self, now: Uptime, actions: &mut Vec<SchedulerAction>) {
        self.queues.defer_late(now);
        while let Some((permit, target)) = self.next_trial(now).or_else(|| self.next_grant(now)) {
            let Some(waiting) = self.queues.take(&permit) else { return };
            self.throughput.granted(waiting.work, !self.queues.is_empty());
            self.flows.granted(&waiting.request);
            let Some(state) = self.targets.get_mut(&target) else { return };
            let estimate = state.estimate(&waiting.request);
            let expected = estimate * 1_000 / state.slowness().max(1);
            state.in_flight += 1;
            if let Some(trial) = &mut self.trial {
                let on_trial = state.access == VersionAccess::Trial;
                trial.note(waiting.request.objectives.urgency, on_trial);
            }
            state.request_sent(now);
            let backlog = state.prompt_backlog(now);
            if let Some(time) = state.pace.prompt_time(waiting.request.prompt_work) {
                state.prompt_sent(now, time);
            }
            if let Some(prefix) = waiting.request.prefix {
                state.prefixes.touch(prefix, self.options.cached_prefixes);
            }
            let record = PermitRecord {
                entry: waiting.entry.clone(),
                target: TargetLife { id: target.clone(), start: state.start },
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
        // Where everything is busy, and at an overload it is, no ask needs to be looked at.
        let room = |state: &TargetState| state.has_room(true, 0, now);
        if self.queues.is_empty() || !self.targets.values().any(room) {
            return None;
        }
        let heads = self.queues.heads(HEADS_TRIED);
        heads.filter_map(|waiting| Some((waiting.request.permit, self.place(now, waiting)?))).next()
    }

    /// The target with room that suits the permit request best, `None` where waiting for another one is
    /// better.
    fn place(&self, now: Uptime, waiting: &WaitingRequest) -> Option<TargetId> {
        let top = waiting.request.tier == self.options.top;
        let reserve = self.options.reserve_percent;
        let open = self.targets.iter().filter(|(id, state)| {
            state.has_room(top, reserve, now) && eligible(now, waiting, id, state)
        });
        let scored = open.map(|(id, state)| {
            let fit = self.fit(now, waiting, state);
            (fit, load_permille(state), id)
        });
        let (fit, _, target) = scored.min()?;
        // Waiting for a better target is worth while only as long as the answer need not begin yet, and
        // where there is a better one that is busy.
        let may_wait = now < waiting.first_part_by;
        let time_left = micros(waiting.deadline.saturating_sub(now));
        let too_slow = with_margin(fit.time) > time_left;
        if too_slow && may_wait && self.has_fast_target(now, waiting, time_left) {
            return None;
        }
        if fit.stalls && may_wait && self.has_steady_target(now, waiting) {
            return None;
        }
        Some(target.clone())
    }

    /// How well a target suits a permit request.
    fn fit(&self, now: Uptime, waiting: &WaitingRequest, state: &TargetState) -> TargetFit {
        let request = &waiting.request;
        let rests = state.rests(now);
        let prompt = state.pace.prompt_time(request.prompt_work);
        let output = state.pace.output_time(request.output_work, &self.pace);
        let (Some(prompt), Some(output)) = (prompt, output) else {
            let time = state.estimate(request);
            let penalty = penalty(time, state) + self.distance(waiting, state, time);
            let penalized = time + penalty;
            return TargetFit { rests, stalls: false, late: false, penalized, time };
        };
        let backlog = state.prompt_backlog(now);
        let reading = backlog + Duration::from_micros(prompt);
        let stalls = state.in_flight > 0 && self.would_stall(now, state, reading, request);
        let late = now + reading > waiting.first_part_by;
        let time = micros(reading) + output;
        let penalty = penalty(time, state) + self.distance(waiting, state, time);
        TargetFit { rests, stalls, late, penalized: time + penalty, time }
    }

    /// Whether reading prompts for so long makes the streams of a target pause for too long. A target
    /// that was seen to pause so long does so again, unless it has little to read.
    fn would_stall(
        &self,
        now: Uptime,
        state: &TargetState,
        reading: Duration,
        request: &PermitRequest,
    ) -> bool {
        let limit = request.objectives.pause_limit;
        let pauses = state.pace.longest_pause(now) > limit;
        pauses && reading > limit / 100 * STALL_PERCENT
    }

    /// What a target's time counts more since it is far from the entry.
    fn distance(
        &self,
        waiting: &WaitingRequest,
        state: &TargetState,
        time: WorkMicros,
    ) -> WorkMicros {
        match self.is_far(&waiting.entry, state) {
            true => time / 100 * FAR_PERCENT,
            false => 0,
        }
    }

    /// Whether some target that takes new work, busy or not, would end the answer in time.
    fn has_fast_target(
        &self,
        now: Uptime,
        waiting: &WaitingRequest,
        time_left: WorkMicros,
    ) -> bool {
        self.targets.iter().any(|(id, state)| {
            let usable = state.usable(now) && eligible(now, waiting, id, state);
            usable && with_margin(self.fit(now, waiting, state).time) <= time_left
        })
    }

    /// Whether some target that takes new work, busy or not, has not been seen to stall.
    fn has_steady_target(&self, now: Uptime, waiting: &WaitingRequest) -> bool {
        let limit = waiting.request.objectives.pause_limit;
        self.targets.iter().any(|(id, state)| {
            let usable = state.usable(now) && eligible(now, waiting, id, state);
            usable && state.pace.longest_pause(now) <= limit
        })
    }
}

/// Whether a target has neither failed a request nor asked its entry for rest.
fn eligible(now: Uptime, waiting: &WaitingRequest, id: &TargetId, state: &TargetState) -> bool {
    let avoided = waiting.request.avoid.contains(id);
    !avoided && state.rest_left(now, &waiting.entry.vm).is_none()
}

/// What the time on a target counts more where its requests failed lately.
fn penalty(time: WorkMicros, state: &TargetState) -> WorkMicros {
    time / 1_000 * state.failing() * FAILING_PENALTY
}

fn load_permille(state: &TargetState) -> u32 {
    state.in_flight * 1_000 / state.slots.max(1)
}
