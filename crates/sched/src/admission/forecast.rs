//! Forecasts how long a request will wait and how long a target will need for it.
//!
//! Inputs: the request's work in microseconds, its position in the queue, the learned speeds of the targets, the
//! limits that they report, and the work that the pool has granted recently.
//!
//! The wait is the work ahead of the request divided by the pool's capacity. If the length of the answer is a guess
//! and enough work was granted recently, the capacity is that work; otherwise it is the number of slots, weighted by
//! the speed of each target and bounded by the limit that it reports.
//!
//! The time on a target is that of the fastest one. A margin is added if the work is known; if the length of the
//! answer is a guess, the time is divided by [`GUESS_DIVISOR`]. So neither error refuses a request that could be
//! served.
//!
//! Owns: nothing; these are methods of `PoolScheduler`. Relies on: `throughput` and `placement` for
//! learned capacity and speeds.

use std::time::Duration;

use curlewcleat_core::{PermitRequest, RequestRate, Uptime, WorkMicros};

use super::account::AccountLimit;
use crate::placement::target::TargetState;
use crate::pool::PoolScheduler;
use crate::retry_after::capacity_retry_after;
use crate::rollout::versions::VersionAccess;
use crate::work_estimate::{micros, with_margin};

/// Factor by which a guessed length may be too long.
const GUESS_DIVISOR: u64 = 3;

impl PoolScheduler {
    /// Returns the time that the fastest target needs: overestimated by a margin if the work is known, underestimated
    /// if the length of the answer is a guess.
    pub(crate) fn fastest_estimate(&self, request: &PermitRequest) -> WorkMicros {
        if request.objectives.length_guessed {
            let times = self.open_targets().filter_map(|state| self.stream_time(request, state));
            // Without a usable target there is nothing to forecast from.
            return times.min().unwrap_or(0) / GUESS_DIVISOR;
        }
        let fastest = self.open_targets().map(|state| state.estimate(request)).min();
        with_margin(fastest.unwrap_or(request.prompt_work + request.output_work))
    }

    /// Returns the time of a stream on an idle target at its learned pace, or `None` if the pace is not known yet.
    fn stream_time(&self, request: &PermitRequest, state: &TargetState) -> Option<WorkMicros> {
        let prompt = state.pace.prompt_time(request.prompt_work)?;
        let output = state.pace.output_time(request.output_work, &self.pace)?;
        Some(prompt + output)
    }

    /// Estimates the time until a new request is granted; `late` is set if it can no longer begin in time.
    pub(super) fn wait_estimate(
        &self,
        request: &PermitRequest,
        limit: &AccountLimit,
        late: bool,
    ) -> WorkMicros {
        let ahead = self.queues.work_ahead(request, limit.weight, late, !self.is_mixed());
        // If the work is known, the targets' speeds are a better estimate than the recent grants.
        let capacity = self
            .throughput
            .capacity_for(request.tier)
            .filter(|_| request.objectives.length_guessed);
        if let Some(capacity) = capacity {
            let micros = u128::from(ahead) * 1_000_000 / u128::from(capacity);
            return u64::try_from(micros).unwrap_or(u64::MAX);
        }
        let slots = self.effective_slots(request.prompt_work + request.output_work);
        self.wait_for_slots(ahead, slots)
    }

    /// Returns the shortest time until a target's reported limit admits the next request.
    pub(super) fn target_limit_wait(&self, now: Uptime) -> WorkMicros {
        // If there is none, only the queue determines the wait.
        let waits = self.open_targets().filter_map(|state| state.limit_wait(now));
        waits.min().map_or(0, micros)
    }

    /// Returns whether the open targets differ in their versions.
    fn is_mixed(&self) -> bool {
        let mut versions = self.open_targets().map(|state| state.version_digest);
        let first = versions.next();
        versions.any(|version| Some(version) != first)
    }

    /// Iterates over the targets that are neither leaving nor ejected and whose version is in service.
    pub(crate) fn open_targets(&self) -> impl Iterator<Item = &TargetState> {
        let in_service = |state: &&TargetState| state.access == VersionAccess::Open;
        self.targets
            .values()
            .filter(in_service)
            .filter(|state| !state.is_leaving() && !state.ejected())
    }

    /// Returns the slots of the open targets, each weighted by its target's speed, in thousandths. A target that
    /// limits its rate has at most the slots that requests of this work keep busy at that rate.
    pub(crate) fn effective_slots(&self, work: WorkMicros) -> u64 {
        let slots = self.open_targets().map(|state| {
            let slots = u64::from(state.slots) * 1_000 / state.slowness().max(1) * 1_000;
            let slots_of_rate = |rate: RequestRate| {
                let slots = u128::from(rate.0) * u128::from(work) / 1_000_000;
                u64::try_from(slots).unwrap_or(u64::MAX)
            };
            state.rate().map_or(slots, |rate| slots.min(slots_of_rate(rate)))
        });
        slots.fold(0, u64::saturating_add)
    }

    /// Returns the time in which a number of slots, in thousandths, serve this work. No slots count as one.
    fn wait_for_slots(&self, work: WorkMicros, slots: u64) -> WorkMicros {
        let slots = if slots == 0 { 1_000 } else { slots };
        u64::try_from(u128::from(work) * 1_000 / u128::from(slots)).unwrap_or(u64::MAX)
    }

    /// Returns the `Retry-After` advice for a refusal for lack of capacity: the time in which the pool serves all
    /// waiting requests, within bounds.
    pub(crate) fn queue_drain_time(&self) -> Duration {
        let work = self.queues.total_work();
        let slots = self.effective_slots(work / (self.queues.len() as u64).max(1));
        capacity_retry_after(Duration::from_micros(self.wait_for_slots(work, slots)))
    }
}
