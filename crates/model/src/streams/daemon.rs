//! What a daemon may do by its own clock and by what it knows.

use std::time::Duration;

use curlewcleat_core::{VersionDigest, VersionHistory, WallTime};
use curlewcleat_sched::{
    confirm_last_split, prove_version, revise_history, usable_split, FleetReach, SPLIT_TERM,
};

use super::state::{wall, weights, DaemonCut, StreamDaemon, StreamState, TIMEOUT};
use super::{StreamFault, StreamModel};

/// Seconds after which a daemon that is not heard counts as lost, and for which frames count as recent.
const SUSPECT_AFTER: u8 = 2;
const RECENT: u8 = 1;
/// Seconds after a standstill in which frames from before are handled.
const BACKLOG_TIME: u8 = 1;
/// Time for which an answer is awaited.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Seconds for which a daemon has to have scheduled before it proves without a read, beyond the age of the stream.
const LEAD_MARGIN: u8 = 5;
/// Age of the latest read in seconds up to which it does.
const UNREAD_PROOF_LIMIT: u8 = 25;

impl StreamDaemon {
    /// Forgets times that decide nothing any more, so that fewer states differ.
    pub(super) fn forget_expired(&mut self, now: u8) {
        self.fleet_heard = self.fleet_heard.filter(|heard| now <= heard + RECENT);
        self.other_heard = self.other_heard.filter(|heard| now < heard + SUSPECT_AFTER);
        let backlog = BACKLOG_TIME + SUSPECT_AFTER;
        self.standstill = self.standstill.filter(|(ended, _)| now < ended + backlog);
    }
}

impl StreamState {
    /// Returns whether a daemon takes itself for the one that schedules.
    pub(super) fn leads(&self, index: usize) -> bool {
        let heard = self.daemons[index].other_heard;
        index == 0 || heard.is_none_or(|heard| self.now >= heard + SUSPECT_AFTER)
    }

    fn reach(&self, index: usize) -> FleetReach {
        let heard = self.daemons[index].fleet_heard;
        match heard.is_some_and(|heard| self.now <= heard + RECENT) {
            true => FleetReach::Most,
            false if self.cut == DaemonCut::Halves => FleetReach::Half,
            false => FleetReach::Few,
        }
    }

    fn stood_still_lately(&self, index: usize) -> bool {
        let standstill = self.daemons[index].standstill;
        standstill.is_some_and(|(ended, _)| self.now < ended + BACKLOG_TIME + SUSPECT_AFTER)
    }

    /// Returns the length of a standstill whose frames are still handled.
    fn recent_standstill(&self, index: usize) -> Duration {
        let standstill = self.daemons[index].standstill;
        let recent = standstill.filter(|(ended, _)| self.now < ended + BACKLOG_TIME);
        Duration::from_secs(recent.map_or(0, |(_, length)| u64::from(length)))
    }

    fn history(&self, index: usize) -> &VersionHistory {
        &self.store[self.daemons[index].history].0 .0
    }

    fn adopts_splits(&self, index: usize) -> bool {
        self.reach(index) == FleetReach::Most && !self.stood_still_lately(index)
    }

    /// Returns whether a daemon that gets no answer of the store may go by what it knows.
    fn leads_without_store(&self, index: usize, least: FleetReach, stood_still: bool) -> bool {
        let daemon = &self.daemons[index];
        let known_since = daemon.leading_since.map(|since| since.min(daemon.targets_changed));
        self.leads(index)
            && known_since.is_some_and(|since| daemon.last_read >= Some(since))
            && !stood_still
            && self.reach(index) >= least
    }
}

impl StreamModel {
    /// Returns the time by a daemon's clock.
    fn wall(&self, state: &StreamState, index: usize) -> WallTime {
        let skew = if index == 0 { 0 } else { u64::from(self.skew) };
        wall(state.now) + Duration::from_millis(skew)
    }

    /// Returns what a daemon that schedules has the store keep.
    pub(super) fn revised(&self, state: &StreamState, index: usize) -> Option<VersionHistory> {
        let daemon = &state.daemons[index];
        if !state.leads(index) || daemon.last_read.is_none() {
            return None;
        }
        if daemon.last_read < daemon.leading_since {
            return None;
        }
        let wall = self.wall(state, index);
        let without_term = self.fault == StreamFault::EndsWithoutTerm;
        let term = if without_term { Duration::ZERO } else { SPLIT_TERM };
        let known = state.history(index);
        let is_adopting = state.adopts_splits(index);
        let confirmed = is_adopting.then(|| confirm_last_split(known, wall + term)).flatten();
        let current = confirmed.as_ref().unwrap_or(known);
        let targets = weights(daemon.targets_seen);
        revise_history(current, wall, &targets, false, TIMEOUT).or(confirmed)
    }

    /// Returns the versions at which a daemon may begin the stream, none if it has to wait.
    pub(super) fn begin_versions(&self, state: &StreamState, index: usize) -> Vec<VersionDigest> {
        let daemon = &state.daemons[index];
        let targets = weights(daemon.targets_seen);
        let has_term = self.fault != StreamFault::SplitWithoutTerm;
        let term = SPLIT_TERM.as_secs() as u8;
        let is_current = daemon.last_read.is_some_and(|read| !has_term || state.now < read + term);
        let stood_still = state.stood_still_lately(index);
        let is_replaced = self.begins_after_own_write && daemon.replaced == Some(daemon.history);
        let is_read = !self.reads_as_scheduler || daemon.last_read >= daemon.leading_since;
        let is_known = is_read && !is_replaced;
        let leads_alone = state.leads_without_store(index, FleetReach::Half, stood_still);
        let may_begin = is_current || (is_known && leads_alone);
        if !may_begin {
            return match self.fault {
                StreamFault::BeginsWithoutRead => targets.into_keys().collect(),
                _ => Vec::new(),
            };
        }
        let split = usable_split(state.history(index), state.adopts_splits(index));
        let version = split.and_then(|split| split.version_of(&self.stream()));
        version.filter(|version| targets.contains_key(version)).into_iter().collect()
    }

    /// Returns the version that a daemon proves by the splits that it knows, for a stream that began and was taken up in
    /// these seconds.
    pub(super) fn proved(
        &self,
        state: &StreamState,
        index: usize,
        begun: u8,
        taken_up: u8,
    ) -> Option<VersionDigest> {
        let (standstill, limit) = match self.fault {
            StreamFault::CountsFromProof => (Duration::ZERO, Duration::ZERO),
            _ => (state.recent_standstill(index), ANSWER_LIMIT),
        };
        let stated = TIMEOUT - Duration::from_secs(u64::from(taken_up - begun));
        let asked = self.wall(state, index).saturating_sub(limit + standstill);
        let time_left = stated.saturating_sub(standstill);
        prove_version(state.history(index), Some(&self.stream()), asked, Some(time_left))
    }

    /// Returns whether a daemon may prove the version of a stream without a read.
    pub(super) fn may_prove_unread(&self, state: &StreamState, index: usize, begun: u8) -> bool {
        let daemon = &state.daemons[index];
        let (Some(read), Some(since)) = (daemon.last_read, daemon.leading_since) else {
            return false;
        };
        let stood_still =
            state.stood_still_lately(index) && self.fault != StreamFault::CountsOldFrames;
        let is_replaced = self.awaits_own_write && daemon.replaced == Some(daemon.history);
        read >= since
            && !is_replaced
            && state.now < read + UNREAD_PROOF_LIMIT
            && state.now >= since + (state.now - begun) + LEAD_MARGIN
            && state.leads_without_store(index, FleetReach::Most, stood_still)
    }
}
