//! Reconstructs what happened to one request from the logs of many daemons.
//!
//! Nothing in this crate performs input or output. [`MergedLog`] collects log lines. [`MergedLog::request_timeline`]
//! selects those of a request and the state changes of its daemons shortly before, and names the most likely cause.

mod cause;
mod entries;
mod line;
mod merged;
mod timeline;

pub use cause::{likely_cause, LikelyCause};
pub use line::LogLine;
pub use merged::MergedLog;
pub use timeline::{RequestTimeline, TimelineStep};
