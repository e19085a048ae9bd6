//! The pools whose targets break off answers, shared by all threads of the daemon.
//!
//! Owns: the [`BrokenAnswers`] of the daemon. Relies on: the tasks of requests, which report answers that broke off.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use curlewcleat_core::{PoolId, Uptime};
use curlewcleat_sched::BrokenAnswers;

/// The daemon's [`BrokenAnswers`], shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct SharedBreaks(Arc<Mutex<BrokenAnswers>>);

impl SharedBreaks {
    /// Records an answer that broke off after its head.
    pub fn record(&self, now: Uptime, pool: &PoolId) {
        self.lock().record(now, pool);
    }

    /// Returns whether ends of answers are doubted in a pool.
    pub fn are_recent(&self, now: Uptime, pool: &PoolId) -> bool {
        self.lock().are_recent(now, pool)
    }

    fn lock(&self) -> MutexGuard<'_, BrokenAnswers> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
