//! Computes the position of a request among those of its account, tier and urgency.
//!
//! Inputs: the time of its arrival, its work in microseconds, whether it is a retry after an early refusal that can
//! still be in time, and `age_per_work` from the settings (`[scheduling]`). The rule: the position is the time of
//! arrival, plus `age_per_work` for each microsecond of work, minus [`RETRY_AGE_CREDIT`] for a retry that can still
//! be in time. The lowest position is served first. With an `age_per_work` of 0 the oldest request is served first,
//! with a large one the shortest. Requests of other urgencies wait in separate queues.
//!
//! Owns: nothing; these are methods of `PoolScheduler`. Relies on: the learned pace of the targets, for
//! whether a request can still be in time.

use std::time::Duration;

use curlewcleat_core::{DaemonId, PermitRequest, Uptime};

use super::waiting::{RequestAdmission, RequestKind, WaitingRequest};
use crate::pool::PoolScheduler;

/// Age credited to a retry after an early refusal that can still be in time: longer than requests wait, so that it has
/// priority over new requests.
const RETRY_AGE_CREDIT: Duration = Duration::from_secs(60);

impl PoolScheduler {
    /// Builds the queue entry of a permit request, with its times and its position.
    pub(crate) fn waiting_request(
        &self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
        admission: RequestAdmission,
    ) -> WaitingRequest {
        let RequestAdmission { in_time_until, kind } = admission;
        let work = request.prompt_work + request.output_work;
        let deadline = now + request.time_left;
        let estimate = self.fastest_estimate(&request);
        let wait_until = now.saturating_add(request.objectives.wait_limit);
        let latest_start = deadline.saturating_sub(Duration::from_micros(estimate)).min(wait_until);
        let objectives = &request.objectives;
        let age_credit = match objectives.is_retry && in_time_until > now {
            true => RETRY_AGE_CREDIT,
            false => Duration::ZERO,
        };
        let order = now.saturating_sub(age_credit)
            + Duration::from_micros(work * self.options.age_per_work);
        let first_part_by =
            now.saturating_add(first_part_limit(&request, kind == RequestKind::Return));
        WaitingRequest {
            entry,
            request,
            deadline,
            first_part_by,
            wait_until,
            latest_start,
            in_time_until,
            order,
            kind,
            work,
        }
    }

    /// Returns the time until which a request can start so that its answer begins in time on the fastest target.
    pub(crate) fn in_time_until(
        &self,
        now: Uptime,
        request: &PermitRequest,
        kind: RequestKind,
    ) -> Uptime {
        if kind == RequestKind::TakeUp {
            // Its answer has begun, so that only the end of it can be late.
            return now.saturating_add(request.time_left);
        }
        let prompts =
            self.open_targets().filter_map(|state| state.pace.prompt_time(request.prompt_work));
        // While no pace is known, the time for the prompt is ignored.
        let prompt = Duration::from_micros(prompts.min().unwrap_or(0));
        let limit = first_part_limit(request, kind == RequestKind::Return);
        now.saturating_add(limit).saturating_sub(prompt)
    }
}

/// Returns the time from now within which the answer of a request has to begin to be in time. A booked return comes
/// when it was advised to, so that its time counts from its return.
fn first_part_limit(request: &PermitRequest, returned: bool) -> Duration {
    match returned {
        true => request.objectives.wait_limit,
        false => request.objectives.first_part_by,
    }
}
