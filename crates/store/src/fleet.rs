//! The border towards a platform that keeps the configuration itself and on which targets announce
//! themselves.
//!
//! Owns: the border, no state. Relies on: an implementation in `platform/`.

use std::time::Duration;

use curlewcleat_core::{
    ConfigBundle, DaemonRecord, DiscoveredTarget, ObjectVersion, RequestDigest, RolloutRecord,
    RolloutWrite, StoreEra, TargetChange, TargetInstance, WallTime,
};

use crate::entry_fault::EntryFault;
use crate::store::StoreFuture;

/// What a read of the configuration gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigRead {
    /// There is none.
    Absent,
    /// It still has the version that the reader knows.
    Unchanged,
    /// It is new to the reader.
    Changed(ObjectVersion, ConfigBundle),
}

/// How old a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAge {
    /// As of now.
    Newest,
    /// Some seconds old. Such a call is a small part of the price of one for the newest list.
    Seconds,
}

/// All targets at one revision of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetList {
    /// The targets; an entry that names none stands here as [`DiscoveredTarget::unusable`].
    pub targets: Vec<DiscoveredTarget>,
    /// The revision, from which a watch goes on.
    pub revision: ObjectVersion,
    /// The entries that name no target.
    pub faults: Vec<EntryFault>,
}

/// The recorded daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DaemonList {
    /// The records.
    pub daemons: Vec<DaemonRecord>,
    /// The entries that are no record.
    pub faults: Vec<EntryFault>,
}

/// A request that is refused for good, as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRefusal {
    /// The request.
    pub digest: RequestDigest,
    /// The lives of targets that ended under it.
    pub instances: Vec<TargetInstance>,
    /// When it was stored, by the clock of whoever stored it.
    pub at: WallTime,
}

/// The requests that are refused for good.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalList {
    /// The requests.
    pub refusals: Vec<StoredRefusal>,
    /// The entries that name none.
    pub faults: Vec<EntryFault>,
}

/// What a watch of the targets gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetWatch {
    /// Changes in order, the revision after them, and the entries among them that name no target. Such an
    /// entry is present as [`DiscoveredTarget::unusable`] where it has a name.
    Changes(Vec<TargetChange>, ObjectVersion, Vec<EntryFault>),
    /// The platform has forgotten what came after the revision; the list has to be read again.
    HistoryGone,
}

/// All orders to move a pool to targets of another version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutList {
    /// The orders.
    pub rollouts: Vec<RolloutRecord>,
    /// The revision, from which a watch goes on.
    pub at: ObjectVersion,
    /// The entries that name none.
    pub faults: Vec<EntryFault>,
}

/// What a watch of the orders gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutWatch {
    /// Nothing has changed up to this revision.
    Quiet(ObjectVersion),
    /// Something has changed, or may have: the list has to be read again.
    Changed,
}

/// The calls that the daemons of a fleet make. A call that got no answer may have taken effect.
pub trait FleetPlatform {
    /// Names of headers on the wire.
    fn profile(&self) -> &WireProfile;

    /// Times that the platform's store has come back from an older copy, as far as its answers show.
    fn era(&self) -> StoreEra;

    /// Reads the newest configuration; never an old one.
    fn read_config(&self, known: ObjectVersion) -> StoreFuture<'_, ConfigRead>;

    /// Reads all targets.
    fn list_targets(&self, age: ListAge) -> StoreFuture<'_, TargetList>;

    /// Waits for a change among the targets after a revision, for `limit` at most.
    fn watch_targets(&self, after: ObjectVersion, limit: Duration) -> StoreFuture<'_, TargetWatch>;

    /// Records this daemon in place of any earlier one of its VM.
    fn record_daemon<'a>(&'a self, record: &'a DaemonRecord) -> StoreFuture<'a, ()>;

    /// Keeps that a request is refused. Few places are kept, and a later request may take the place of an earlier one.
    fn store_refusal<'a>(&'a self, refusal: &'a StoredRefusal) -> StoreFuture<'a, ()>;

    /// Keeps that no longer.
    fn drop_refusal<'a>(&'a self, digest: &'a RequestDigest) -> StoreFuture<'a, ()>;

    /// Reads the refused requests.
    fn list_refusals(&self) -> StoreFuture<'_, RefusalList>;

    /// Reads the orders to move pools to targets of other versions; never an old list.
    fn list_rollouts(&self) -> StoreFuture<'_, RolloutList>;

    /// Waits for a change among them after a revision, for `limit` at most.
    fn watch_rollouts(
        &self,
        after: ObjectVersion,
        limit: Duration,
    ) -> StoreFuture<'_, RolloutWatch>;

    /// Has the platform keep how far an order is, if it has not changed. The list tells whether it was taken.
    fn write_rollout<'a>(&'a self, write: &'a RolloutWrite) -> StoreFuture<'a, ()>;

    /// Reads the recorded daemons; they may have ended.
    fn list_daemons(&self, age: ListAge) -> StoreFuture<'_, DaemonList>;
}

/// Names of headers with which callers, daemons and targets of a fleet talk. All are in lower case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireProfile {
    /// Names one try of a caller; a target echoes it.
    pub attempt_id: &'static str,
    /// Milliseconds for which the sender waits.
    pub time_left: &'static str,
    /// The account that is passed to a target.
    pub account: &'static str,
    /// The start of a process that a request is meant for.
    pub instance: &'static str,
    /// On an answer: the request did not run.
    pub not_run: &'static str,
    /// Status of a target that is not the one meant.
    pub misdirected_status: u16,
    /// Tokens in and at most out, by a comma.
    pub tokens: &'static str,
    /// Tokens that the caller expects out.
    pub length_hint: &'static str,
    /// Shared parts of a prompt in order, as `ID:TOKENS` by commas.
    pub prompt_parts: &'static str,
    /// Last event that the reader of a stream has.
    pub last_event: &'static str,
    /// Load of a target: running, waiting and slots by commas.
    pub load: &'static str,
    /// On an answer: the target leaves.
    pub leaving: &'static str,
    /// On an answer: the requests a second that the target takes from all daemons together.
    pub limit: &'static str,
    /// Headers with which only a daemon orders a target about; a caller's end at the daemon.
    pub reserved: &'static [&'static str],
}
