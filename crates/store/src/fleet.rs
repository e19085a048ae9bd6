//! Defines the interface to a platform that stores the configuration itself and at which targets register themselves.
//!
//! Owns: the interface, no state. Relies on: an implementation in `platform/`.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{
    ActiveConfig, DaemonRecord, DiscoveredTarget, EvacuationList, ObjectVersion, PoolId,
    RequestDigest, RequestFeature, RolloutRecord, RolloutWrite, SourceForm, StoreEra, TargetChange,
    TargetInstance, VersionHistory, WallTime, WarmUpLimit,
};

use crate::entry_fault::EntryFault;
use crate::store::StoreFuture;

/// A configuration, and what it states that only the daemons that read the platform know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The configuration.
    pub config: ActiveConfig,
    /// Limits of targets that warm up, for each pool that states one.
    pub warm_up_limits: BTreeMap<PoolId, WarmUpLimit>,
}

/// Result of reading the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigRead {
    /// No configuration exists.
    Absent,
    /// The configuration still has the version that the reader knows.
    Unchanged,
    /// The configuration has another version than the reader knows.
    Changed(ObjectVersion, Box<FleetConfig>),
    /// The object has this version and is no configuration, for this reason.
    Unusable(ObjectVersion, String),
}

/// Answer to a read of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigAnswer {
    /// The configuration.
    pub config: ConfigRead,
    /// Version of the store at the time of the read, to which changes of objects of all kinds contribute; `None` where
    /// the answer states none.
    pub store_version: Option<ObjectVersion>,
}

/// How old a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAge {
    /// The current list.
    Newest,
    /// A list that may be some seconds old. It costs the platform a small fraction of a call for the current list.
    SecondsOld,
}

/// All targets at one revision of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetList {
    /// The targets. An unusable entry with a name is included as [`DiscoveredTarget::unusable`].
    pub targets: Vec<DiscoveredTarget>,
    /// Revision of the list, from which a watch can continue.
    pub version: ObjectVersion,
    /// The unusable entries.
    pub faults: Vec<EntryFault>,
}

/// The recorded daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DaemonList {
    /// The records.
    pub daemons: Vec<DaemonRecord>,
    /// The unusable entries.
    pub faults: Vec<EntryFault>,
}

/// A feature whose requests are refused permanently, as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRefusal {
    /// The feature of the refused requests.
    pub feature: RequestFeature,
    /// The target instances that terminated while running such requests.
    pub instances: Vec<TargetInstance>,
    /// When it was stored, by the clock of the daemon that stored it.
    pub at: WallTime,
}

/// The permanently refused requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalList {
    /// The requests.
    pub refusals: Vec<StoredRefusal>,
    /// The unusable entries.
    pub faults: Vec<EntryFault>,
}

/// Result of watching the targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetWatch {
    /// Changes in order, the revision after them, and the unusable entries among them. An unusable entry with a name is
    /// also included in the changes, as [`DiscoveredTarget::unusable`].
    Changes(Vec<TargetChange>, ObjectVersion, Vec<EntryFault>),
    /// The platform no longer has the changes after the given revision; the list has to be read again.
    HistoryUnavailable,
}

/// All rollout orders, which move a pool to targets of another version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutList {
    /// The orders.
    pub rollouts: Vec<RolloutRecord>,
    /// Revision of the list, from which a watch can continue.
    pub version: ObjectVersion,
    /// The unusable entries.
    pub faults: Vec<EntryFault>,
}

/// The versions at which the streams of the pools begin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistoryList {
    /// The histories of the pools that have one.
    pub histories: Vec<VersionHistory>,
    /// The unusable entries.
    pub faults: Vec<EntryFault>,
}

/// What the streams of the pools look like.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamFormList {
    /// The forms of all sources.
    pub forms: Vec<SourceForm>,
    /// The unusable entries.
    pub faults: Vec<EntryFault>,
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationEntries {
    /// The data centres at one revision, from which a watch can continue.
    pub list: EvacuationList,
    /// The unusable entries. An entry whose name is readable evacuates the data centre of that name all the same.
    pub faults: Vec<EntryFault>,
}

/// Result of watching a list that is read again after each change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListWatch {
    /// No entry has changed up to this revision.
    Unchanged(ObjectVersion),
    /// Entries have changed or may have changed; the list has to be read again.
    Changed,
}

/// The calls that the daemons of a fleet make. A call without an answer may have taken effect.
pub trait FleetPlatform {
    /// Returns the header names used between callers, daemons and targets.
    fn profile(&self) -> &WireProfile;

    /// Returns the latest era of the platform's store that its answers stated: how often it was restored from an older
    /// copy.
    fn era(&self) -> StoreEra;

    /// Reads the current configuration, never an older one, and the version of the store.
    fn read_config(&self, known: ObjectVersion) -> StoreFuture<'_, ConfigAnswer>;

    /// Reads all targets.
    fn list_targets(&self, age: ListAge) -> StoreFuture<'_, TargetList>;

    /// Waits at most `limit` for changes to the targets after a revision.
    fn watch_targets(&self, after: ObjectVersion, limit: Duration) -> StoreFuture<'_, TargetWatch>;

    /// Records this daemon and replaces the record of an earlier daemon on its VM.
    fn record_daemon<'a>(&'a self, record: &'a DaemonRecord) -> StoreFuture<'a, ()>;

    /// Stores the refusal of a request. The number of stored refusals is bounded; a later one may replace an earlier
    /// one.
    fn store_refusal<'a>(&'a self, refusal: &'a StoredRefusal) -> StoreFuture<'a, ()>;

    /// Removes a stored refusal.
    fn drop_refusal<'a>(&'a self, digest: &'a RequestDigest) -> StoreFuture<'a, ()>;

    /// Reads the refused requests.
    fn list_refusals(&self, age: ListAge) -> StoreFuture<'_, RefusalList>;

    /// Reads the current rollout orders, never an older list.
    fn list_rollouts(&self) -> StoreFuture<'_, RolloutList>;

    /// Waits at most `limit` for a change to the rollout orders after a revision.
    fn watch_rollouts(&self, after: ObjectVersion, limit: Duration) -> StoreFuture<'_, ListWatch>;

    /// Reads the data centres that are evacuated, never an older list.
    fn list_evacuations(&self) -> StoreFuture<'_, EvacuationEntries>;

    /// Waits at most `limit` for a change to the evacuations after a revision.
    fn watch_evacuations(
        &self,
        after: ObjectVersion,
        limit: Duration,
    ) -> StoreFuture<'_, ListWatch>;

    /// Stores the state of a rollout if its order has not changed. The next list shows whether the state was stored.
    fn write_rollout<'a>(&'a self, write: &'a RolloutWrite) -> StoreFuture<'a, ()>;

    /// Reads at which versions the streams of all pools begin, never an older list.
    fn list_version_histories(&self) -> StoreFuture<'_, VersionHistoryList>;

    /// Stores at which versions the streams of a pool begin, if the stored object still has the revision. The next list
    /// shows whether the history was stored.
    fn write_version_history<'a>(&'a self, history: &'a VersionHistory) -> StoreFuture<'a, ()>;

    /// Reads what the streams of all pools look like; the list may be some seconds old.
    fn list_stream_forms(&self) -> StoreFuture<'_, StreamFormList>;

    /// Stores what the streams of a pool look like, in place of what was stored.
    fn write_stream_forms<'a>(
        &'a self,
        pool: &'a PoolId,
        forms: &'a [SourceForm],
    ) -> StoreFuture<'a, ()>;

    /// Reads the recorded daemons, including ones that no longer run.
    fn list_daemons(&self, age: ListAge) -> StoreFuture<'_, DaemonList>;
}

/// Names used between callers, daemons and targets of a fleet. Headers are in lower case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireProfile {
    /// Identifies one attempt of a caller; a target repeats it in its answer.
    pub attempt_id: &'static str,
    /// Milliseconds for which the sender waits.
    pub time_left: &'static str,
    /// The client account, passed on to a target.
    pub account: &'static str,
    /// Start of the target instance to which a request is addressed.
    pub instance: &'static str,
    /// On an answer: the request did not run.
    pub not_run: &'static str,
    /// Status with which a target answers a request addressed to another target or instance.
    pub misdirected_status: u16,
    /// Number of prompt tokens and maximum number of generated tokens, separated by a comma.
    pub tokens: &'static str,
    /// Number of generated tokens that the caller expects.
    pub length_hint: &'static str,
    /// Shared parts of a prompt in order, as `ID:TOKENS`, separated by commas.
    pub prompt_parts: &'static str,
    /// Last event that the reader of a stream has received.
    pub last_event: &'static str,
    /// On a request that takes up a stream: the attempt of the caller that brought the first event of the stream.
    pub resumes: &'static str,
    /// On an answer: the load of the target as running requests, waiting requests and slots, separated by commas, at some
    /// deployments followed by the time that work takes on its VM at this moment, in percent of the usual.
    pub load: &'static str,
    /// On an answer: the target is leaving.
    pub leaving: &'static str,
    /// On an answer: the requests a second that the target accepts from all daemons together.
    pub limit: &'static str,
    /// On an answer: the requests a second that the target can turn away without terminating.
    pub brittle: &'static str,
    /// Path at which a target states its load at once, without a slot. A target that has no such path runs nothing either,
    /// since the request has no attempt id.
    pub status_path: &'static str,
    /// Headers with which only a daemon may control a target; daemons remove them from callers' requests.
    pub reserved: &'static [&'static str],
}
