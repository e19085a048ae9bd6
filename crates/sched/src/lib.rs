//! The decisions of curlewcleat as state machines without input or output.
//!
//! | question | module | state |
//! |---|---|---|
//! | Is it admitted? | [`admission`] | level, rates and queue of a pool |
//! | What goes first? | [`order`] | the queue of a pool |
//! | Which target? | [`placement`] | what is believed of each target, and what it says |
//! | Is it tried again? | [`retry`] | the retry budget of an entry |
//! | When is it given up, and when may it retry? | [`entry`], [`advice`] | the requests of an entry |
//! | Is it the reason for which targets end? | [`lethal`] | the suspect requests |
//! | Is a version taken or sent back? | [`rollout`] | the versions of a pool, an order and the answers of its targets |
//! | Who decides? | [`election`] | the members |
//!
//! [`scheduler`] is what happens at the scheduler of a pool ([`pool`] is its state, [`targets`] what it is
//! known of its targets), [`entry`] what
//! happens at the daemon that holds a caller's connection, [`drain`] the planned stop.
//!
//! Time is passed in. The daemon, the tests, the slopes and the model checker run this code.

mod admission;
mod advice;
mod decaying_ratio;
mod drain;
mod election;
mod entry;
mod lethal;
mod order;
mod placement;
mod pool;
mod retry;
mod rollout;
mod scheduler;
mod target_gate;
mod targets;

pub use admission::account::{AccountLimit, RateBucket};
pub use admission::level_guard::{GuardStep, LevelGuard};
pub use admission::overload::OverloadLevel;
pub use admission::shared_rate::{AccountRates, RateMargin, RatePart, RateTurn};
pub use advice::{rate_advice, spread_advice};
pub use drain::{DrainInput, DrainPhase, DrainState};
pub use election::candidates::ALL_POOLS;
pub use election::heartbeats::HeartbeatReceiver;
pub use election::membership::{HeartbeatNews, MemberOptions, MemberView, PeerState};
pub use entry::{EntryAction, EntryOptions, EntryRequests, ReplacementStep, RequestSpec};
pub use lethal::news::{SuspectNews, ORDINARY_LIMIT};
pub use lethal::{LethalOptions, LethalRequests, LethalVerdict, LifeSight};
pub use order::flows::{UrgencyFlow, UrgencyFlows};
pub use order::queue::TierQueues;
pub use order::waiting::WaitingRequest;
pub use placement::ejection::{may_eject_one_more, TargetEjection};
pub use placement::notice::{HeardNotice, TargetWord};
pub use placement::pace::StreamPace;
pub use placement::pacing::SendPace;
pub use placement::prefix::PrefixCache;
pub use placement::target::TargetState;
pub use pool::{PermitRecord, PoolOptions, PoolScheduler, SchedulerAction};
pub use retry::budget::{RetryBudget, RetryLimits};
pub use retry::{decide_retry, RetryBound, RetryDecision, RetryInput};
pub use rollout::evidence::{AnswerLog, VersionFault, VersionVerdict};
pub use rollout::exposure::{RolloutLimits, TrialShare};
pub use rollout::versions::{PoolVersions, ToldVersion, VersionAccess};
pub use rollout::{PoolRollout, RolloutReason, RolloutSight, RolloutStep};
pub use target_gate::{GateStop, NoticeNews, TargetGate};
