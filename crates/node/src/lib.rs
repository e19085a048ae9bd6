//! All state machines of one daemon put together, still without input or output.
//!
//! [`Node::handle`] takes an event with the time and gives the actions to perform.

mod event;
mod node;
mod status;
mod vms;
mod wiring;

pub use event::{CallerDecision, ListedVm, NodeAction, NodeEvent, NodeNote, TableWrite};
pub use node::{Node, NodeOptions};
pub use status::{NodeStatus, PoolStatus, TargetStatus};
pub use vms::VmView;
