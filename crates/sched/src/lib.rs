//! The decisions of curlewcleat as state machines without input or output: the queue and permits
//! of a pool, the requests of an entry, the members, the drain.
//!
//! Time is passed in. The daemon, the tests, the benchmarks and the model checker run this code.

mod account;
mod budget;
mod drain;
mod entry;
mod flow;
mod level;
mod members;
mod pace;
mod pool;
mod prefix;
mod queue;
mod rate;
mod shed;
mod target;

pub use account::{AccountLimit, RateBucket};
pub use budget::{RetryBudget, RetryLimits};
pub use drain::{DrainInput, DrainPhase, DrainState};
pub use entry::{EntryAction, EntryOptions, EntryRequests, RequestSpec};
pub use level::{GuardStep, LevelGuard};
pub use members::{BeatReceiver, MemberOptions, MemberView, PeerState};
pub use pace::StreamPace;
pub use pool::{spread_advice, PermitRecord, PoolOptions, PoolScheduler, SchedulerAction};
pub use prefix::PrefixCache;
pub use queue::{TierQueues, WaitingAsk};
pub use rate::{AccountRates, RateMargin, RatePart, RateTurn};
pub use shed::OverloadLevel;
pub use target::TargetState;
