//! The planned stop of a daemon, step by step.
//!
//! Owns: the phase of the stop. Relies on: the node for what is left to do.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// Where a planned stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DrainPhase {
    /// Serves.
    Serving,
    /// The health check fails; new requests are still served until the balancer has noticed.
    Unready,
    /// New requests are refused; roles are handed over and requests in progress finish.
    Closing,
    /// Nothing is left to do.
    Ended,
}

/// What the daemon still has, as input of a step.
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
    /// A daemon that serves. `grace` is the time the balancer needs to notice, `hand_over_limit`
    /// the time for which an unreachable platform may delay the stop.
    pub fn new(grace: Duration, hand_over_limit: Duration) -> DrainState {
        DrainState { phase: DrainPhase::Serving, since: Duration::ZERO, grace, hand_over_limit }
    }

    /// Where the stop stands.
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Begins the stop; a second call changes nothing.
    pub fn begin(&mut self, now: Uptime) {
        if self.phase == DrainPhase::Serving {
            self.enter(DrainPhase::Unready, now);
        }
    }

    /// Whether new requests are taken in.
    pub fn admits(&self) -> bool {
        self.phase <= DrainPhase::Unready
    }

    /// Whether the health check succeeds.
    pub fn ready(&self) -> bool {
        self.phase == DrainPhase::Serving
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Uptime, input: DrainInput) {
        let waited = now.saturating_sub(self.since);
        match self.phase {
            DrainPhase::Unready if waited >= self.grace => self.enter(DrainPhase::Closing, now),
            DrainPhase::Closing if input.requests == 0 && self.handed_over(waited, input) => {
                self.enter(DrainPhase::Ended, now);
            }
            _ => {}
        }
    }

    fn handed_over(&self, waited: Duration, input: DrainInput) -> bool {
        input.slots_held == 0 || waited >= self.hand_over_limit
    }

    fn enter(&mut self, phase: DrainPhase, now: Uptime) {
        self.phase = phase;
        self.since = now;
    }
}
