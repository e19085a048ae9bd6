//! Decides how many requests a brittle target is offered, so that it has to turn few away.
//!
//! A brittle target terminates if it turns away more requests in a second than it states. A scheduler normally knows how
//! many requests a target runs and offers it no more than its slots. It does not know it right after it has taken over,
//! after the target has restarted, and where requests of former daemons still run there.
//!
//! The rules:
//! - A target that has turned a request away is offered no more than it then held, for as long as it takes it to bear two
//!   further refusals, and after that one more in each [`RAMP_INTERVAL`].
//! - A target about which the scheduler knows nothing is offered what it is known to run plus one, and one more in each
//!   [`RAMP_INTERVAL`].
//!
//! Owns: the offered room of one target. Relies on: its user for the requests in flight.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// Interval at which a target is offered one more request: longer than the answer to a refused one takes.
const RAMP_INTERVAL: Duration = Duration::from_millis(100);
/// Refusals that a target bears in the time for which it is offered no more than it held.
const BORNE_WHILE_HELD: u32 = 2;
/// That time for a target that bears no refusal.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// The number of requests that a brittle target is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetRoom {
    base: u32,
    /// When the target is first offered one more request than the base.
    grows_from: Uptime,
}

impl TargetRoom {
    /// Returns the room of a target about which only the requests in flight are known.
    pub fn unknown(now: Uptime, in_flight: u32) -> TargetRoom {
        TargetRoom { base: in_flight + 1, grows_from: now + RAMP_INTERVAL }
    }

    /// Returns the room of a target that has just turned a request away while it held `in_flight` others, and that bears
    /// `borne_per_second` refusals.
    pub fn after_refusal(now: Uptime, in_flight: u32, borne_per_second: u32) -> TargetRoom {
        let hold = Duration::from_secs(u64::from(BORNE_WHILE_HELD))
            .checked_div(borne_per_second)
            .unwrap_or(MAX_HOLD)
            .max(RAMP_INTERVAL);
        TargetRoom { base: in_flight, grows_from: now + hold }
    }

    /// Returns the room after another daemon has reported a request that the target already runs.
    pub fn with_held_request(self) -> TargetRoom {
        TargetRoom { base: self.base.saturating_add(1), ..self }
    }

    /// Returns the number of requests that the target is offered now.
    pub fn offered(&self, now: Uptime) -> u32 {
        let Some(growing) = now.checked_sub(self.grows_from) else { return self.base };
        let added = 1 + growing.as_millis() / RAMP_INTERVAL.as_millis();
        self.base.saturating_add(u32::try_from(added).unwrap_or(u32::MAX))
    }

    /// Returns the time until the target is offered one more request, zero while it grows.
    pub fn next_in(&self, now: Uptime) -> Duration {
        self.grows_from.saturating_sub(now)
    }
}
