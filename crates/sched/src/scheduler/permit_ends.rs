//! Ends permits in use: learns from the ends of attempts, and confirms permits that have been in use for long.
//!
//! Owns: nothing; these are methods of [`PoolScheduler`]. Relies on: entry daemons that return permits.

use std::time::Duration;

use curlewcleat_core::{AttemptEnd, PermitAnswer, PermitDecision, StreamTiming, Uptime};

use crate::permit_record::PermitRecord;
use crate::placement::idle_connections::limit_per_target;
use crate::pool::{PoolScheduler, SchedulerAction};
use crate::targets::state_of;

/// Age from which a permit is confirmed with its entry daemon.
const CONFIRM_AFTER: Duration = Duration::from_secs(5);
/// At least the time to the first part divided by this is attributed to the request's own prompt.
const OWN_PROMPT_DIVISOR: u32 = 4;

impl PoolScheduler {
    /// Records the end of an attempt at its target, and learns the target's speed from it.
    pub(super) fn record_end(&mut self, now: Uptime, record: &PermitRecord, end: AttemptEnd) {
        let may_eject = self.may_eject();
        let idle_limit = limit_per_target(self.targets.len());
        let Some(state) = state_of(&mut self.targets, &record.target) else { return };
        state.in_flight = state.in_flight.saturating_sub(1);
        // A target that is leaving closes its connections.
        let leaves_connection = matches!(end, AttemptEnd::Whole(_) | AttemptEnd::Streamed(_));
        if leaves_connection && self.options.reuses_connections && !state.is_leaving() {
            let entry = self.entry_numbers.assign(&record.entry);
            state.idle_connections.record_idle(now, entry, idle_limit);
        }
        match end {
            AttemptEnd::Unused => {}
            AttemptEnd::Whole(took) => state.succeeded(record.expected, took),
            AttemptEnd::Streamed(timing) => {
                state.succeeded(record.expected, timing.first + timing.rest);
                // The time spent waiting for earlier prompts is not that of its own prompt.
                let own = timing
                    .first
                    .saturating_sub(record.backlog)
                    .max(timing.first / OWN_PROMPT_DIVISOR);
                let timing = StreamTiming { first: own, ..timing };
                state.pace.learn(now, record.prompt_work, record.output_work, &timing);
                self.pace.learn(now, record.prompt_work, record.output_work, &timing);
            }
            // The failure was counted when its request requested another target.
            AttemptEnd::Failed if record.stalled => {}
            AttemptEnd::Failed => state.failed(now, may_eject),
        }
    }

    /// Sends old permits again. An entry daemon that no longer knows a permit returns it.
    pub(super) fn confirm_permits(&mut self, now: Uptime, actions: &mut Vec<SchedulerAction>) {
        for (permit, record) in &mut self.permits {
            if now.saturating_sub(record.confirmed) < CONFIRM_AFTER {
                continue;
            }
            record.confirmed = now;
            let decision = PermitDecision::Granted(record.target.id.clone());
            let answer = PermitAnswer { permit: *permit, pool: self.pool.clone(), decision };
            let entry = record.entry.clone();
            actions.push(SchedulerAction { entry, answer, shed: None, unused: None });
        }
    }
}
