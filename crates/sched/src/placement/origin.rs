//! What the choice of a target considers of the entry daemon of a request: its data centre and its idle connections.
//!
//! Both are looked up once for each waiting request, not for each candidate.
//!
//! Owns: the penalty for targets of another data centre. Relies on: the platform for the data centres of the VMs.

use curlewcleat_core::{DaemonId, DataCentreId, Uptime, WorkMicros};

use super::idle_connections::{EntryNumber, IdleSecond};
use super::target::TargetState;
use crate::pool::PoolScheduler;

/// Percentage added to the time on a target of another data centre: a local target is taken unless a
/// remote one is several times as fast, or the local one would be late.
const REMOTE_PENALTY_PERCENT: u64 = 250;

/// What the choice of a target considers of an entry daemon.
pub(super) struct RequestOrigin<'a> {
    /// Its data centre, `None` if unknown.
    data_centre: Option<&'a DataCentreId>,
    /// Its number, `None` if it is not assumed to have idle connections.
    number: Option<EntryNumber>,
}

impl RequestOrigin<'_> {
    /// Returns whether a target is known to be in another data centre.
    pub fn is_remote(&self, state: &TargetState) -> bool {
        self.data_centre.is_some_and(|data_centre| {
            !state.data_centre.is_empty() && *data_centre != state.data_centre
        })
    }

    /// Returns the time added for a target in another data centre.
    pub fn remote_penalty(&self, state: &TargetState, time: WorkMicros) -> WorkMicros {
        match self.is_remote(state) {
            true => time / 100 * REMOTE_PENALTY_PERCENT,
            false => 0,
        }
    }

    /// Returns since when the entry daemon is assumed to have an idle connection to a target, `None` if it has none.
    pub fn idle_since(&self, now: Uptime, state: &TargetState) -> Option<IdleSecond> {
        state.idle_connections.newest_since(now, self.number?)
    }
}

impl PoolScheduler {
    /// Returns what the choice of a target considers of an entry daemon.
    pub(super) fn origin_of(&self, entry: &DaemonId) -> RequestOrigin<'_> {
        let data_centre = self.data_centres.get(&entry.vm);
        let data_centre = data_centre.filter(|data_centre| !data_centre.is_empty());
        RequestOrigin { data_centre, number: self.entry_numbers.get(entry) }
    }
}
