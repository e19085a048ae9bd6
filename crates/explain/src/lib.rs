//! The story of one request, out of the logs of many daemons.
//!
//! Nothing in this crate performs input or output. [`LogBook`] takes lines, [`LogBook::story`] joins those
//! of a request with what its daemon had noted shortly before, and names the most likely cause.

mod book;
mod cause;
mod line;
mod story;

pub use book::LogBook;
pub use cause::{likely_cause, LikelyCause};
pub use line::LogLine;
pub use story::{RequestStory, StoryStep};
