//! Shared types of curlewcleat: ids, the configuration model, verdicts, peer messages and admission rules. Nothing in
//! this crate performs input or output.

mod account;
mod evacuation;
mod event_form;
mod ids;
mod message;
mod model;
mod request_digest;
mod request_feature;
mod rollout;
mod stated_load;
mod store_position;
mod stream;
mod target_instance;
mod target_notice;
mod verdict;
mod version_split;
mod warm_up;

pub use account::{hash_token, TokenHash};
pub use evacuation::EvacuationList;
pub use event_form::{EventForm, StreamCounter, StreamSource, StreamTally};
pub use ids::*;
pub use message::*;
pub use model::*;
pub use request_digest::{RequestDigest, RequestIdentity};
pub use request_feature::{FeatureKind, PoolHash, RequestFeature, SharedParts, PART_LIMIT};
pub use rollout::{
    AnswerObservation, AnswerSample, RolloutAnswers, RolloutOrder, RolloutRecord, RolloutReport,
    RolloutStage, RolloutWrite,
};
pub use stated_load::{LoadFault, LoadReading, StatedLoad};
pub use store_position::{StoreEra, StorePosition};
pub use stream::{StreamId, StreamKey, VersionDigest};
pub use target_instance::{InstanceOrder, TargetInstance, TargetStart};
pub use target_notice::{
    BrittleNotice, LimitNotice, LimitReport, NoticeReport, RequestRate, TargetNotice,
};
pub use verdict::{Refusal, RefusalReason, RetryReason, Verdict};
pub use version_split::{BegunStreams, VersionHistory, VersionSplit, SPLIT_SLOTS};
pub use warm_up::WarmUpLimit;
