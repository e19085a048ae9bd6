//! Stand-in of a platform whose store holds the configuration and the list entries of targets, with its engines and
//! the daemons in front of them. Formats and names are those of the crate in `platform/`.

mod answer_framing;
mod deployment;
pub mod endless_engine;
mod engine;
mod entry;
mod link_faults;
mod store;
mod stream_answers;
pub mod stream_damage;
pub mod stream_engine;
pub mod stream_fault;
pub mod stream_record;
pub mod stream_runs;
pub mod stream_script;
pub mod stream_trouble;
pub mod stream_unread;

pub use deployment::{DaemonEndpoint, FleetDaemon, FleetDeployment};
pub use engine::{
    has_part, stated_events, AnswerFrame, AttemptSteps, EngineRun, EngineStep, FleetEngine,
    LethalRequests, LethalTrigger, SecondAnswer, EVENTS_MARK, UNNUMBERED_EVENT,
};
pub use entry::{EngineEntry, ForeignEntry};
pub use link_faults::{EngineLinkFault, EngineLinks};
pub use store::{FleetStore, StoreOutage};
