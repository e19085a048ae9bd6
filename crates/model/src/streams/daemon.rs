//! What a daemon may do by its own clock and by what it knows.

use std::time::Duration;

use curlewcleat_core::{VersionDigest, VersionHistory, WallTime};
use curlewcleat_sched::{
    choose_version, confirm_last_split, is_timeout_stored, prove_version, revise_history,
    FleetReach, SplitChoice, SPLIT_TERM,
};

use super::state::{wall, weights, StreamDaemon, StreamState, TIMEOUT};
use super::{StreamFault, StreamModel};

/// Seconds after which a daemon that is not heard counts as lost.
const SUSPECT_AFTER: u8 = 2;
/// Time for which daemons count as reached after a frame of theirs.
const REACHED_FOR: Duration = Duration::from_millis(1_333);
/// Seconds after a change of the targets from which a read shows the split that follows from it.
const SETTLED_AFTER: u8 = 2;
/// Seconds after a standstill in which frames from before are handled.
const BACKLOG_TIME: u8 = 1;
/// Time for which an answer is awaited.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Seconds for which a daemon has to have scheduled before it proves without a read, beyond the age of the stream.
const LEAD_MARGIN: u8 = 5;
/// Seconds after which a write that a former scheduler has sent is done or lost.
const LATEST_WRITE: u8 = 2;
/// Age of the latest read in seconds up to which it does.
const UNREAD_PROOF_LIMIT: u8 = 25;

impl StreamDaemon {
    /// Forgets times that decide nothing any more, so that fewer states differ.
    pub(super) fn forget_expired(&mut self, now: u8) {
        let is_recent = |heard: &u8| Duration::from_secs(u64::from(now - heard)) < REACHED_FOR;
        self.fleet_heard = self.fleet_heard.filter(is_recent);
        self.half_heard = self.half_heard.filter(is_recent);
        self.other_heard = self.other_heard.filter(|heard| now < heard + SUSPECT_AFTER);
        let backlog = BACKLOG_TIME + SUSPECT_AFTER;
        self.standstill = self.standstill.filter(|(ended, _)| now < ended + backlog);
    }

    /// Records the splits that a read showed, which was sent in a second.
    pub(super) fn splits_read(&mut self, history: usize, sent: u8) {
        if self.last_read.is_none() || self.history != history {
            self.is_split_in_step = self.half_since.is_some() && !self.is_write_out_of_step;
            self.is_write_out_of_step = false;
        }
        self.history = history;
        self.last_read = Some(sent);
    }
}

impl StreamState {
    /// Returns whether a daemon takes itself for the one that schedules.
    pub(super) fn leads(&self, index: usize) -> bool {
        let heard = self.daemons[index].other_heard;
        index == 0 || heard.is_none_or(|heard| self.now >= heard + SUSPECT_AFTER)
    }

    /// Returns how much of the fleet a daemon has reached for so short a time that no other one can have taken over.
    fn recent_reach(&self, index: usize, counts_old_frames: bool) -> FleetReach {
        let daemon = &self.daemons[index];
        let backlog = BACKLOG_TIME + SUSPECT_AFTER;
        let standstill = daemon.standstill.filter(|(ended, _)| self.now < ended + backlog);
        let delay = standstill.filter(|_| !counts_old_frames).map_or(0, |(_, length)| length);
        let limit = REACHED_FOR.saturating_sub(Duration::from_secs(u64::from(delay)));
        let is_recent = |heard: Option<u8>| {
            heard.is_some_and(|heard| Duration::from_secs(u64::from(self.now - heard)) < limit)
        };
        match (is_recent(daemon.fleet_heard), is_recent(daemon.half_heard)) {
            (true, _) => FleetReach::Most,
            (false, true) => FleetReach::Half,
            (false, false) => FleetReach::Few,
        }
    }

    /// Records how much of the fleet a daemon reaches, and since when.
    pub(super) fn update_reach(&mut self, index: usize, counts_old_frames: bool) {
        let (now, reach) = (self.now, self.recent_reach(index, counts_old_frames));
        let daemon = &mut self.daemons[index];
        let since = |before: Option<u8>, least| (reach >= least).then(|| before.unwrap_or(now));
        daemon.half_since = since(daemon.half_since, FleetReach::Half);
        daemon.most_since = since(daemon.most_since, FleetReach::Most);
        daemon.is_split_in_step &= daemon.half_since.is_some();
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

    /// Returns whether a daemon that schedules and gets no answer of the store may go by what it knows.
    fn leads_without_store(&self, index: usize, reached_since: Option<u8>) -> bool {
        let daemon = &self.daemons[index];
        let settled = daemon.targets_changed + SETTLED_AFTER;
        let known_since = daemon.leading_since.map(|since| since.min(settled));
        self.leads(index)
            && known_since.is_some_and(|since| daemon.last_read >= Some(since))
            && reached_since.is_some_and(|since| daemon.last_read >= Some(since))
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
        let wall = self.wall(state, index);
        let without_term = self.fault == StreamFault::EndsWithoutTerm;
        let term = if without_term { Duration::ZERO } else { SPLIT_TERM };
        let known = state.history(index);
        let is_confirming = daemon.most_since.is_some();
        let confirmed = is_confirming.then(|| confirm_last_split(known, wall + term)).flatten();
        let current = confirmed.as_ref().unwrap_or(known);
        let targets = weights(daemon.targets_seen);
        let may_write = daemon.half_since.is_some() || !self.writes_in_reach;
        let revised = revise_history(current, wall, &targets, false, TIMEOUT);
        revised.filter(|_| may_write).or(confirmed)
    }

    /// Returns the versions at which a daemon may begin the stream, none if it has to wait.
    pub(super) fn begin_versions(&self, state: &StreamState, index: usize) -> Vec<VersionDigest> {
        let daemon = &state.daemons[index];
        let targets = weights(daemon.targets_seen);
        let has_term = self.fault != StreamFault::SplitWithoutTerm;
        let term = SPLIT_TERM.as_secs() as u8;
        let is_current = daemon.last_read.is_some_and(|read| !has_term || state.now < read + term);
        let is_read = !self.reads_as_scheduler || daemon.last_read >= daemon.leading_since;
        let leads_alone = state.leads_without_store(index, self.in_step(daemon.half_since));
        let may_begin = is_current || (is_read && leads_alone);
        if !may_begin {
            return match self.fault {
                StreamFault::BeginsWithoutRead => targets.into_keys().collect(),
                _ => Vec::new(),
            };
        }
        let history = state.history(index);
        if !is_timeout_stored(history, TIMEOUT) {
            return Vec::new();
        }
        match choose_version(history, &self.stream(), self.adopts_split(state, index)) {
            SplitChoice::Version(version) if targets.contains_key(&version) => vec![version],
            SplitChoice::AnyOf(named) if targets.keys().all(|target| named.contains(target)) => {
                targets.into_keys().collect()
            }
            SplitChoice::Unsplit => targets.into_keys().collect(),
            _ => Vec::new(),
        }
    }

    /// Returns whether a daemon may use the last split although no daemon has stated in the store that it is in use.
    fn adopts_split(&self, state: &StreamState, index: usize) -> bool {
        let daemon = &state.daemons[index];
        let half_since = daemon.half_since.filter(|_| state.leads(index));
        let is_followed = half_since.is_some_and(|since| state.now >= since + SUSPECT_AFTER);
        match self.fault {
            StreamFault::AdoptsAnywhere => true,
            StreamFault::AdoptsAfterCut => daemon.half_since.is_some(),
            _ => daemon.is_split_in_step || is_followed,
        }
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
        prove_version(state.history(index), Some(&self.stream()), asked, Some(time_left)).version()
    }

    /// Returns whether a daemon may prove the version of a stream without a read.
    pub(super) fn may_prove_unread(&self, state: &StreamState, index: usize, begun: u8) -> bool {
        let daemon = &state.daemons[index];
        let led_since = daemon.leading_since.zip(self.in_step(daemon.most_since));
        let since = led_since.map(|(leading, most)| match self.fault {
            StreamFault::ProvesAfterCut => leading,
            _ => leading.max(most),
        });
        let (Some(read), Some(since)) = (daemon.last_read, since) else {
            return false;
        };
        let is_replaced = daemon.replaced == Some(daemon.history)
            && self.fault != StreamFault::ProvesBesideOwnWrite;
        read >= since + LATEST_WRITE
            && !is_replaced
            && state.now < read + UNREAD_PROOF_LIMIT
            && state.now >= since + (state.now - begun) + LEAD_MARGIN
            && state.leads_without_store(index, self.in_step(daemon.most_since))
    }

    /// Returns from when on a daemon has to have read that has reached so much of the fleet since then.
    fn in_step(&self, reached_since: Option<u8>) -> Option<u8> {
        match self.fault {
            StreamFault::CountsLostReach => reached_since.map(|_| 0),
            _ => reached_since,
        }
    }

    pub(super) fn counts_old_frames(&self) -> bool {
        self.fault == StreamFault::CountsOldFrames
    }
}
