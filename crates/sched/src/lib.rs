//! The decisions of curlewcleat, as state machines without input or output.
//!
//! | decision | module | state |
//! |---|---|---|
//! | whether a request is admitted | [`admission`] | overload level, rates and queue of a pool |
//! | which request is served next | [`order`] | the queue of a pool |
//! | which target serves it | [`placement`] | the learned state and the notices of each target |
//! | whether it is attempted again | [`retry`] | the retry budget of an entry daemon |
//! | when the permits of an unheard daemon count | [`lost_permits`] | the permits of lost daemons |
//! | when it is abandoned | [`entry`] | the requests of an entry daemon |
//! | when a refused caller may retry | [`retry_after`], [`returns`] | the booked returns of a pool |
//! | whether it terminates its targets | [`lethal`] | the suspect requests |
//! | whether a version is accepted or rolled back | [`rollout`] | the versions of a pool, a rollout and its answers |
//! | at which version of the targets a stream is continued | [`stream_versions`] | the streams and versions of a daemon |
//! | at which version a stream begins, and what proves it | [`version_history`] | the stored splits of a pool |
//! | what the streams of a source look like | [`fleet_forms`] | the counts of all daemons |
//! | which daemon decides | [`election`] | the members |
//! | whether the end of an answer is doubted | [`broken_answers`] | the pools whose targets break off answers |
//! | whether a target is reached directly or through a peer | [`target_reach`], [`relay_choice`] | the lost links of a daemon, its peers |
//!
//! [`scheduler`] handles the events at the scheduler of a pool ([`pool`] is its state, [`targets`] its view of the
//! targets), [`entry`] the events at the daemon that holds a caller's connection, [`drain`] the planned stop.
//!
//! Owns: the rules of these decisions and the state they need. Relies on: the caller for the time, for input and
//! output, and for carrying out the returned actions. The daemon, the tests, the benchmarks and the model checker run it.

mod admission;
mod begun_lists;
mod broken_answers;
mod decaying_ratio;
mod drain;
mod election;
mod entry;
mod fleet_forms;
mod lethal;
mod lost_permits;
mod order;
mod permit_record;
mod placement;
mod pool;
mod relay_choice;
mod retry;
mod retry_after;
mod returns;
mod rollout;
mod scheduler;
mod stream_versions;
mod target_gate;
mod target_reach;
mod targets;
mod version_history;
mod version_proof;
mod work_estimate;

pub use admission::account::{AccountLimit, RateBucket};
pub use admission::level_guard::{GuardStep, LevelGuard};
pub use admission::overload::OverloadLevel;
pub use admission::shared_rate::{AccountRates, RateMargin, RateRole, RateShare};
pub use begun_lists::{list_begun, list_interval, listed_version, LISTED_LIMIT};
pub use broken_answers::BrokenAnswers;
pub use drain::{DrainInput, DrainPhase, DrainState};
pub use election::candidates::ALL_POOLS;
pub use election::heartbeats::HeartbeatReceiver;
pub use election::membership::{HeartbeatChange, MemberOptions, MemberView, PeerState};
pub use election::reach::FleetReach;
pub use entry::{
    AnswerEnd, EntryAction, EntryOptions, EntryRequests, ReplacementStep, RequestSpec,
    TakenUpStream,
};
pub use fleet_forms::FleetForms;
pub use lethal::updates::{SuspectUpdates, UpdateScope, ORDINARY_LIMIT};
pub use lethal::{InstancePresence, LethalOptions, LethalRequests, LethalVerdict};
pub use order::flows::{UrgencyFlow, UrgencyFlows};
pub use order::queue::TierQueues;
pub use order::waiting::WaitingRequest;
pub use permit_record::PermitRecord;
pub use placement::ejection::{may_eject_one_more, TargetEjection};
pub use placement::idle_connections::{
    limit_per_target, EntryNumber, EntryNumbers, IdleConnections,
};
pub use placement::notice::{NoticeState, ReceivedNotice};
pub use placement::pace::StreamPace;
pub use placement::pacing::SendPace;
pub use placement::prefix::PrefixCache;
pub use placement::room::TargetRoom;
pub use placement::stated_load::LoadBelief;
pub use placement::target::TargetState;
pub use pool::{PoolOptions, PoolScheduler, SchedulerAction};
pub use relay_choice::{RelayChoice, RelayPeer};
pub use retry::budget::{RetryBudget, RetryLimits};
pub use retry::{decide_retry, RetryBound, RetryDecision, RetryInput};
pub use retry_after::{rate_retry_after, spread_retry_after};
pub use returns::{ReturnBook, ReturnClaim, ReturnCounts, SliceRoom, HORIZON_SLICES, SLICE};
pub use rollout::evidence::{AnswerLog, VersionFault, VersionVerdict};
pub use rollout::exposure::{RolloutLimits, TrialShare};
pub use rollout::versions::{PoolVersions, ReportedVersion, VersionAccess};
pub use rollout::{PoolRollout, RolloutReason, RolloutStep, RolloutView};
pub use stream_versions::StreamVersions;
pub use target_gate::{GateStop, NoticeChange, TargetGate};
pub use target_reach::{ReachChange, TargetReach, TargetRoute};
pub use version_history::{
    choose_version, confirm_last_split, is_timeout_stored, revise_history, SplitChoice,
    VersionWeights, SPLIT_TERM,
};
pub use version_proof::{prove_version, UnprovedReason, VersionProof};
