//! Does a target turn away what it gets?
//!
//! Inputs: the requests that it turned away without saying for how long, and those that it served.
//!
//! The rule: the share of requests turned away is an exponentially weighted mean that fades with time, so that a belief that
//! keeps requests away cannot keep itself alive. A target whose share is above [`DECLINING`] gets what no other one has
//! room for, and the share counts against its room. After each request that it turned away it gets none for
//! [`BACK_OFF`], doubled with each further one in a row up to [`BACK_OFF_LIMIT`]: a target that turns requests away is
//! idle, and would be the first choice for the next one milliseconds later.
//!
//! Owns: the share and the pause of one target. Relies on: the daemons that tell of it.

use std::time::Duration;

use curlewcleat_core::Uptime;

/// A request weighs one part in this many in the share.
const WEIGHT: u64 = 8;
/// One part in this many of the share fades in a second.
const FADING: u64 = 16;
/// The share where all are turned away, in thousandths.
const ALL: u64 = 1_000;
/// Share above which a target counts as turning away what it gets: two requests in a row, or one of three.
const DECLINING: u64 = 230;
/// Pause after a request that was turned away.
const BACK_OFF: Duration = Duration::from_millis(100);
/// Longest pause.
const BACK_OFF_LIMIT: Duration = Duration::from_secs(2);

/// What a target turns away.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TargetDeclines {
    /// Share turned away, in thousandths.
    share: u64,
    /// Requests turned away in a row.
    row: u32,
    /// Until when it gets nothing.
    until: Uptime,
}

impl TargetDeclines {
    /// It turned a request away.
    pub fn declined(&mut self, now: Uptime) {
        self.share += (ALL - self.share) / WEIGHT;
        let pause = BACK_OFF.saturating_mul(1 << self.row.min(8));
        self.row += 1;
        self.until = now + pause.min(BACK_OFF_LIMIT);
    }

    /// It served a request.
    pub fn served(&mut self) {
        self.share -= self.share / WEIGHT;
        self.row = 0;
    }

    /// Lets a second pass.
    pub fn second_passed(&mut self) {
        self.share -= self.share / FADING;
    }

    /// Whether it gets only what no other target has room for.
    pub fn is_declining(&self) -> bool {
        self.share > DECLINING
    }

    /// Whether it may get a request.
    pub fn admits(&self, now: Uptime) -> bool {
        now >= self.until
    }

    /// Of so many places, those that the requests keep busy which it does not turn away.
    pub fn served_part(&self, places: u64) -> u64 {
        places * (ALL - self.share) / ALL
    }
}
