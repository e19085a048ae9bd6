//! Combines all state machines of one daemon, without any input or output.
//!
//! [`Node::handle`] takes an event with the time and returns the actions to perform.

mod awaited_answer;
mod change_log;
mod config_exchange;
mod config_pull;
mod config_serving;
mod ended_instances;
mod evacuation_proof;
mod evacuation_view;
mod event;
mod freshness;
mod node;
mod pool_options;
mod status;
mod target_view;
mod vms;
mod warm_ups;

pub use evacuation_view::EvacuationChange;
pub use event::{
    CallerDecision, ListedVm, NodeAction, NodeEvent, NodeNote, PlatformCall, RequestEnd,
    StartObstacle, TableWrite, VersionSource,
};
pub use freshness::{FreshnessLimits, PlatformFreshness, ReadRole};
pub use node::{Node, NodeOptions};
pub use status::{ConfigIntake, GrantedShare, NodeStatus, PoolStatus, RolloutStatus, TargetStatus};
pub use target_view::{InstanceChange, TargetView, ViewUpdate};
pub use vms::VmView;
