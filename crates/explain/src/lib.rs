//! The story of one request, out of the logs of many daemons.
//!
//! Nothing in this crate performs input or output. [`MergedLog`] takes lines, [`MergedLog::story`]
//! joins those of a request with what its daemon had noted shortly before, and names the most likely
//! cause.

mod cause;
mod entries;
mod line;
mod merged;
mod story;

pub use cause::{likely_cause, LikelyCause};
pub use line::LogLine;
pub use merged::MergedLog;
pub use story::{RequestStory, StoryStep};
