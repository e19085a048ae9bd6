//! Decides in which slice a refused request returns, and recognises returns.
//!
//! Inputs: the capacity that the pool has shown while requests waited, the work per second that new requests ask for, the
//! shares of the urgencies, the caller's remaining time.
//!
//! The rule: the first slice for which the capacity exceeds the present demand of its tier and those above, if there is
//! one after the forecast wait. While demand is above the capacity, it is not known when it falls, so the last slice is
//! taken in which the caller still has time for the answer: the later, the more likely the crest is over. Half of such
//! a slice remains for new requests; only when all slices are half full are they filled. Where no
//! slice has room, nothing is booked.
//!
//! A booked return is in time if it begins within the objective counted from its return. It waits behind the requests of
//! its urgency that can still be in time, so that no new request is late for it, but is not refused for its forecast.
//!
//! Owns: nothing; these are methods of [`PoolScheduler`]. Relies on: callers that state less time when they return.

use std::time::Duration;

use curlewcleat_core::{PermitRequest, Refusal, RefusalReason, TierRank, Uptime, WorkMicros};

use super::{ReturnBook, ReturnClaim, SliceNumber, SliceRoom, HORIZON_SLICES, SLICE};
use crate::pool::PoolScheduler;
use crate::retry_after::{latest_return, spread_retry_after, spread_return};

/// A return is booked no later than the forecast wait allows or this fraction of the time in which it may return: a
/// forecast far beyond it only says that the pool is full.
const EARLIEST_DIVISOR: u32 = 2;

/// The capacity is divided by this for a slice whose demand is not known, which leaves room for new requests.
const NEW_REQUESTS_DIVISOR: u64 = 2;
/// Microseconds of work that a slot serves per second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Units of a slot in which slots are counted.
const SLOT_THOUSANDTHS: u64 = 1_000;

impl PoolScheduler {
    /// Builds the refusal of a permit request that would wait, or has waited, too long. It sheds no tier, since lower
    /// tiers would wait even longer. `forecast` is the wait from now on that was forecast for it.
    pub(crate) fn refuse_wait(
        &mut self,
        now: Uptime,
        request: &PermitRequest,
        forecast: Duration,
    ) -> Refusal {
        let retry_after = self
            .book_return(now, request, forecast)
            .unwrap_or_else(|| spread_retry_after(request.permit, forecast, request.time_left));
        Refusal::not_run(RefusalReason::WaitTooLong, Some(retry_after))
    }

    /// Books the return of a refused request. Returns the time until it, `None` where nothing was booked. A request that
    /// has returned already is not booked again, since its caller may not come a third time.
    fn book_return(
        &mut self,
        now: Uptime,
        request: &PermitRequest,
        forecast: Duration,
    ) -> Option<Duration> {
        if !self.options.books_returns || request.objectives.is_retry {
            return None;
        }
        let latest = latest_return(request.time_left);
        let earliest = forecast.min(latest / EARLIEST_DIVISOR);
        let first = ReturnBook::slice_at(now + earliest) + 1;
        // The slice in which the time ends is not booked, since a return may come at its end.
        let end = ReturnBook::slice_at(now + latest).min(first + HORIZON_SLICES);
        let claim = claim_of(request);
        let capacity = self.capacity(request, request.tier);
        // While the capacity is not known, no slice is known to have free room.
        let shown = self.throughput.capacity_for(TierRank::MIN).unwrap_or(0);
        let free = shown.saturating_sub(self.demand_down_to(request.tier));
        let free_room = self.slice_room(request, free);
        let half_room = self.slice_room(request, capacity / NEW_REQUESTS_DIVISOR);
        let full_room = self.slice_room(request, capacity);
        let book = &mut self.returns;
        book.forget_past(now);
        let slice = (first..end)
            .find(|slice| book.book(*slice, &claim, free_room))
            .or_else(|| (first..end).rev().find(|slice| book.book(*slice, &claim, half_room)))
            .or_else(|| (first..end).rev().find(|slice| book.book(*slice, &claim, full_room)));
        book.count_booking(slice.is_some());
        let slice = slice?;
        Some(spread_return(request.permit, start_of(slice).saturating_sub(now)))
    }

    /// Returns whether a permit request is a booked return, and redeems what was booked for it. A further attempt of the
    /// same request would redeem what was booked for another one of its account.
    pub(crate) fn redeem_return(&mut self, now: Uptime, request: &PermitRequest) -> bool {
        let is_return = request.objectives.is_retry && request.permit.attempt == 0;
        self.options.books_returns && is_return && self.returns.redeem(now, &claim_of(request))
    }

    /// Returns the work per second that the pool can grant to a tier: what it has granted while requests waited, or, while
    /// that is not known, what its slots can serve.
    fn capacity(&self, request: &PermitRequest, tier: TierRank) -> WorkMicros {
        self.throughput.capacity_for(tier).unwrap_or_else(|| {
            let slots = self.effective_slots(request.prompt_work + request.output_work);
            slots.saturating_mul(MICROS_PER_SECOND) / SLOT_THOUSANDTHS
        })
    }

    /// Returns the work per second that new requests of a tier and those above ask for.
    fn demand_down_to(&self, tier: TierRank) -> WorkMicros {
        self.demand.range(..=tier).map(|(_, work)| *work).sum()
    }

    /// Returns the room of a slice for a request, if its tier can be granted `per_second`.
    fn slice_room(&self, request: &PermitRequest, per_second: WorkMicros) -> SliceRoom {
        let urgency = (request.tier, request.objectives.urgency);
        let per_slice = |work: WorkMicros| {
            let work = u128::from(work) * SLICE.as_millis() / 1_000;
            u64::try_from(work).unwrap_or(WorkMicros::MAX)
        };
        SliceRoom {
            urgency: self.queues.part_of(urgency, per_slice(per_second)),
            all: per_slice(self.capacity(request, TierRank::MIN)),
        }
    }
}

fn claim_of(request: &PermitRequest) -> ReturnClaim {
    ReturnClaim {
        urgency: (request.tier, request.objectives.urgency),
        account: request.account.clone(),
        work: request.prompt_work.saturating_add(request.output_work),
    }
}

/// Returns when a slice begins.
fn start_of(slice: SliceNumber) -> Uptime {
    SLICE.saturating_mul(u32::try_from(slice).unwrap_or(u32::MAX))
}
