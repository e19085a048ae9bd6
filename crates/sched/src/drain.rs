//! The phases of the planned stop of a daemon.
//!
//! Owns: the phase of the stop. Relies on: the node for the requests in progress and the key slots held.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DrainPhase {
    /// The daemon serves requests.
    Serving,
    /// The health check fails; new requests are still served until the load balancer has noticed.
    Unready,
    /// New requests are refused; roles are handed over and requests in progress finish.
    Closing,
    /// No work remains.
    Ended,
}

/// Remaining work of the daemon, as input of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DrainInput {
    /// Requests in progress.
    pub requests: usize,
    /// Key slots that this daemon still holds by the latest table.
    pub slots_held: usize,
}

/// A planned stop. It never ends while a request is in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DrainState {
    phase: DrainPhase,
    since: Uptime,
    grace: Duration,
    hand_over_limit: Duration,
}

impl DrainState {
    /// Returns the state of a daemon that serves. `grace` is the time the load balancer needs to notice,
    /// `hand_over_limit` the time for which an unreachable platform may delay the stop.
    pub fn new(grace: Duration, hand_over_limit: Duration) -> DrainState {
        DrainState { phase: DrainPhase::Serving, since: Duration::ZERO, grace, hand_over_limit }
    }

    /// Returns the phase of the stop.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Begins the stop; a second call changes nothing.
    pub fn begin(&mut self, now: Uptime) {
        if self.phase == DrainPhase::Serving {
            self.enter(DrainPhase::Unready, now);
        }
    }

    /// Returns whether new requests are accepted.
    pub fn admits(&self) -> bool {
        self.phase <= DrainPhase::Unready
    }

    /// Returns whether the health check succeeds.
    pub fn ready(&self) -> bool {
        self.phase == DrainPhase::Serving
    }

    /// Advances the clock and the phase.
    pub fn tick(&mut self, now: Uptime, input: DrainInput) {
        let elapsed = now.saturating_sub(self.since);
        match self.phase {
            DrainPhase::Unready if elapsed >= self.grace => self.enter(DrainPhase::Closing, now),
            DrainPhase::Closing if input.requests == 0 && self.has_handed_over(elapsed, input) => {
                self.enter(DrainPhase::Ended, now);
            }
            _ => {}
        }
    }

    fn has_handed_over(&self, elapsed: Duration, input: DrainInput) -> bool {
        input.slots_held == 0 || elapsed >= self.hand_over_limit
    }

    fn enter(&mut self, phase: DrainPhase, now: Uptime) {
        self.phase = phase;
        self.since = now;
    }
}
