//! Where does a request stand among those of its account and tier?
//!
//! Inputs: when it arrived, its work in microseconds, whether it comes back after
//! an early refusal and can still be in time, and `age_per_work` from the settings (`[scheduling]`). The rule:
//! its place is the time of its arrival, later by `age_per_work` for
//! each microsecond of work, and earlier by [`HEAD_START`] where it has come back and can still be in
//! time. Requests of other urgencies wait in queues of their own. The lowest place goes first. At 0 `age_per_work` serves the oldest first, at a large number the shortest.
//!
//! Owns: nothing; these are methods of `PoolScheduler`. Relies on: the pace that was learned of the targets, for
//! whether a request can still be in time.

use std::time::Duration;

use curlewcleat_core::{DaemonId, PermitRequest, Uptime};

use super::waiting::WaitingRequest;
use crate::pool::PoolScheduler;

/// Age that a request is credited with that retries after an early refusal and can still be in time:
/// longer than requests wait, so that it goes before new ones.
const HEAD_START: Duration = Duration::from_secs(60);

impl PoolScheduler {
    pub(crate) fn waiting_request(
        &self,
        now: Uptime,
        entry: DaemonId,
        request: PermitRequest,
        in_time_until: Uptime,
    ) -> WaitingRequest {
        let work = request.prompt_work + request.output_work;
        let deadline = now + request.time_left;
        let estimate = self.fastest_estimate(&request);
        let wait_until = now.saturating_add(request.objectives.wait_limit);
        let latest_start = deadline.saturating_sub(Duration::from_micros(estimate)).min(wait_until);
        let objectives = &request.objectives;
        let head_start = match objectives.is_retry && in_time_until > now {
            true => HEAD_START,
            false => Duration::ZERO,
        };
        let order = now.saturating_sub(head_start)
            + Duration::from_micros(work * self.options.age_per_work);
        let first_part_by = now.saturating_add(request.objectives.first_part_by);
        WaitingRequest {
            entry,
            request,
            deadline,
            first_part_by,
            wait_until,
            latest_start,
            in_time_until,
            order,
            work,
        }
    }

    /// Until when a request can be sent so that its answer begins in time on the fastest target.
    pub(crate) fn in_time_until(&self, now: Uptime, request: &PermitRequest) -> Uptime {
        let prompts =
            self.open_targets().filter_map(|state| state.pace.prompt_time(request.prompt_work));
        // While nothing is known of the targets, the prompt counts nothing.
        let prompt = Duration::from_micros(prompts.min().unwrap_or(0));
        now.saturating_add(request.objectives.first_part_by).saturating_sub(prompt)
    }
}
