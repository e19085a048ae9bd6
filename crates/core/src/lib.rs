//! Shared types of curlewcleat: ids, the configuration model, verdicts, peer messages and admission rules. Nothing in
//! this crate performs input or output.

mod account;
mod ids;
mod message;
mod model;
mod request_digest;
mod rollout;
mod store_place;
mod target_life;
mod target_notice;
mod verdict;

pub use account::{hash_token, TokenHash};
pub use ids::*;
pub use message::*;
pub use model::*;
pub use request_digest::{RequestDigest, RequestIdentity};
pub use rollout::{
    AnswerSample, AnswerSight, RolloutAnswers, RolloutNews, RolloutOrder, RolloutRecord,
    RolloutStage, RolloutWrite,
};
pub use store_place::{StoreEra, StorePlace};
pub use target_life::{LifeOrder, TargetLife, TargetStart};
pub use target_notice::{LimitNotice, LimitReport, NoticeReport, RequestRate, TargetNotice};
pub use verdict::{Refusal, RefusalReason, RetryReason, Verdict};
