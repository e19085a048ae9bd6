//! How long will a request wait, and how long will it take?
//!
//! Inputs: the request's work in microseconds, its place in the queue, what was learned of the targets'
//! speeds, and what the pool has taken in lately. The rule: the wait is the work ahead of the request
//! by the pool's capacity, which is what was granted lately where lengths are guesses, and the slots by
//! the targets' speeds where they are known. The time on a target is that of the fastest one, longer by
//! a margin where the work is known, and shorter by [`GUESS_DIVISOR`] where the length of the answer is
//! a guess, so that neither error refuses what could be served.
//!
//! Owns: nothing; these are methods of `PoolScheduler`. Relies on: `throughput` and `placement` for
//! what was learned.

use std::time::Duration;

use curlewcleat_core::{PermitRequest, WorkMicros};

use super::account::AccountLimit;
use crate::advice::capacity_advice;
use crate::placement::target::TargetState;
use crate::pool::{with_margin, PoolScheduler};

/// A guessed length may be this many times too long. Chosen, not measured.
const GUESS_DIVISOR: u64 = 3;

impl PoolScheduler {
    /// Time that the fastest target needs, with room for the error of the estimate: too late where the
    /// work is known, too early where the length of the answer is a guess.
    pub(crate) fn fastest_estimate(&self, request: &PermitRequest) -> WorkMicros {
        if request.objectives.length_guessed {
            let times = self.open_targets().filter_map(|state| self.stream_time(request, state));
            // Without a usable target there is nothing to forecast from.
            return times.min().unwrap_or(0) / GUESS_DIVISOR;
        }
        let fastest = self.open_targets().map(|state| state.estimate(request)).min();
        with_margin(fastest.unwrap_or(request.prompt_work + request.output_work))
    }

    /// Time of a stream on an idle target by what was learned, `None` while nothing is known.
    fn stream_time(&self, request: &PermitRequest, state: &TargetState) -> Option<WorkMicros> {
        let prompt = state.pace.prompt_time(request.prompt_work)?;
        let output = state.pace.output_time(request.output_work, &self.pace)?;
        Some(prompt + output)
    }

    /// Estimated time until a new request would be granted; `late` says that it can no longer begin in time.
    pub(super) fn wait_estimate(
        &self,
        request: &PermitRequest,
        limit: &AccountLimit,
        late: bool,
    ) -> WorkMicros {
        let ahead = self.queues.work_ahead(request, limit.weight, late);
        // Where the work is known, the targets' speeds tell more than what happened to be granted
        // lately.
        let capacity = self
            .throughput
            .capacity_for(request.tier)
            .filter(|_| request.objectives.length_guessed);
        if let Some(capacity) = capacity {
            let micros = u128::from(ahead) * 1_000_000 / u128::from(capacity);
            return u64::try_from(micros).unwrap_or(u64::MAX);
        }
        ahead / self.speed_slots().max(1)
    }

    /// Targets that neither leave nor are ejected.
    pub(crate) fn open_targets(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values().filter(|state| !state.leaving && !state.ejected())
    }

    /// Slots of the usable targets, each weighed by its speed.
    fn speed_slots(&self) -> u64 {
        self.open_targets()
            .map(|state| u64::from(state.slots) * 1_000 / state.slowness().max(1))
            .sum()
    }

    pub(crate) fn drain_time(&self) -> Duration {
        let slots = self.speed_slots().max(1);
        capacity_advice(Duration::from_micros(self.queues.total_work() / slots))
    }
}
