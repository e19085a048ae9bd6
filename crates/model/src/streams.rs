//! Model of a stream that begins while a release replaces the targets of its pool, and that is taken up at a daemon
//! which does not remember it. It never goes on at another version than the one that began it.
//!
//! Two daemons may both take themselves for the one that schedules; the rest of the fleet only counts for what they
//! reach. Daemons may be cut off from each other, stand still, and all be killed. Splits are decided,
//! confirmed, selected and proved by the product's rules. The model allows more than the product where timers decide:
//! a daemon may read, learn of targets, and write while it schedules at any time, and a read may count as unanswered at any
//! time, as where the daemon is cut off from the store. A proof is possible beside a keeper that remembers the stream, as where
//! the keeper has been killed. Longer timeouts, open splits, splits that cannot be read, and splits that come into use 30 s
//! after they were read are not part of it.

mod daemon;
mod state;
mod steps;

use curlewcleat_core::VersionDigest;

use crate::explore::SpecModel;
pub use state::StreamState;

/// Number of daemons that may schedule; the first one does so while the second one hears it.
const DAEMONS: usize = 2;

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// No fault.
    None,
    /// A daemon that has not read the splits begins streams at any version.
    BeginsWithoutRead,
    /// A split may be used however long ago it was read.
    SplitWithoutTerm,
    /// A split is stored as ended when the next one is read, although others may use it for its term.
    EndsWithoutTerm,
    /// A daemon that stood still counts the frames from before as new ones.
    CountsOldFrames,
    /// A daemon goes on without the store by what it read before it lost reach of the fleet.
    CountsLostReach,
    /// A daemon proves without a read as soon as it reaches most of the fleet again and has read.
    ProvesAfterCut,
    /// A daemon proves without a read although a write of its own may have replaced the splits.
    ProvesBesideOwnWrite,
    /// A daemon that reaches few others uses the next split.
    AdoptsAnywhere,
    /// A daemon that was cut off uses the next split as soon as it reaches half of the fleet again.
    AdoptsAfterCut,
    /// A proof counts back from when it is made, not from when the stream was taken up.
    CountsFromProof,
}

/// How the version of a stream that is taken up is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TakeUp {
    /// A keeper remembers it.
    Remembered,
    /// It is proved after a read of the splits.
    ProvedByRead,
    /// It is proved by the splits that the daemon knows, without the store.
    ProvedUnread,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct StreamModel {
    /// Injected fault.
    pub fault: StreamFault,
    /// A way of going on that is reported as a violation, to show that the search reaches it.
    pub reported: Option<TakeUp>,
    /// Number of seconds.
    pub seconds: u8,
    /// Number of times that the daemons are cut off from each other.
    pub cuts: u8,
    /// Number of standstills.
    pub standstills: u8,
    /// Number of times that all daemons are killed.
    pub kills: u8,
    /// Number of changes of the targets, of which each daemon learns at any time: the new version joins, the old one
    /// leaves.
    pub releases: u8,
    /// Number of writes that the store accepts.
    pub writes: u8,
    /// Whether a write may reach the store in a later second than it was sent.
    pub late_writes: bool,
    /// Whether a daemon begins streams without the store only after a read that it sent since it schedules, which the
    /// product does not ask for.
    pub reads_as_scheduler: bool,
    /// Whether a daemon stores the next split only while it reaches half of the fleet, which the product does not ask for.
    pub writes_in_reach: bool,
    /// Whether all daemons knew the last targets before their last read.
    pub knows_targets: bool,
    /// Milliseconds by which the clock of the second daemon is ahead.
    pub skew: u16,
}

/// The stream, as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum StreamStage {
    NotBegun,
    Begun {
        at: u8,
        version: VersionDigest,
    },
    /// It was taken up at a daemon that stands still.
    Waiting {
        at: u8,
        version: VersionDigest,
        daemon: usize,
        taken_up: u8,
    },
    WentOn {
        by: TakeUp,
        is_same: bool,
    },
}

impl SpecModel for StreamModel {
    type State = StreamState;

    fn initial(&self) -> StreamState {
        StreamState::new(self.releases, if self.knows_targets { self.releases } else { 0 })
    }

    fn successors(&self, state: &StreamState) -> Vec<(String, StreamState)> {
        if matches!(state.stream, StreamStage::WentOn { .. }) {
            return Vec::new();
        }
        let mut next = self.fleet_steps(state);
        for index in 0..DAEMONS {
            next.extend(self.standstill_steps(state, index));
            match state.daemons[index].stalled {
                Some(_) => next.extend(self.waiting_steps(state, index)),
                None => {
                    next.extend(self.split_steps(state, index));
                    next.extend(self.stream_steps(state, index));
                }
            }
            next.extend(self.write_steps(state, index));
        }
        next
    }

    fn violation(&self, state: &StreamState) -> Option<String> {
        let StreamStage::WentOn { by, is_same } = state.stream else { return None };
        if !is_same {
            return Some("a stream went on at another version".to_string());
        }
        (self.reported == Some(by) && state.head() > 0).then(|| "a stream went on".to_string())
    }
}
