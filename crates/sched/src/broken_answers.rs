//! Decides whether the end of an answer is doubted because targets of its pool break off answers.
//!
//! Load pattern: targets that fail break off some of their answers and go on running. Some of these look whole.
//!
//! Inputs: answers that broke off after their head. The rule: for [`DOUBT_TIME`] after one, ends that prove little are
//! doubted in its pool. Not by target: most targets that fail break off one answer before they recover.
//!
//! Owns: when answers of each pool broke off. Relies on: its caller for the time.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{PoolId, Uptime};

/// Time for which ends are doubted after an answer that broke off.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// The pools whose targets broke off answers a short time ago.
#[derive(Debug, Default)]
pub struct BrokenAnswers {
    latest: BTreeMap<PoolId, Uptime>,
}

impl BrokenAnswers {
    /// Records an answer that broke off after its head.
    pub fn record(&mut self, now: Uptime, pool: &PoolId) {
        self.latest.retain(|_, broken| is_recent(now, *broken));
        self.latest.insert(pool.clone(), now);
    }

    /// Returns whether ends of answers are doubted in a pool.
    pub fn are_recent(&self, now: Uptime, pool: &PoolId) -> bool {
        self.latest.get(pool).is_some_and(|broken| is_recent(now, *broken))
    }
}

fn is_recent(now: Uptime, broken: Uptime) -> bool {
    now.saturating_sub(broken) < DOUBT_TIME
}
