//! Writes logs as JSON lines to standard output. Each line has an event name and key-value fields.

use std::num::NonZeroUsize;
use std::sync::Arc;

use anyhow::Result;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Most lines waiting to be written. If the reader of the logs does not keep up, further lines are dropped, so that no
/// request waits for a log line.
const QUEUE_LENGTH: usize = 4_096;

fn queue_length() -> NonZeroUsize {
    NonZeroUsize::new(QUEUE_LENGTH).unwrap_or(NonZeroUsize::MIN)
}

/// Installs the JSON logger as the default logger.
///
/// # Errors
/// If the logger cannot be built.
pub fn start_logging(level: &str) -> Result<()> {
    let min_level = match level {
        "debug" => Level::Debug,
        "warn" => Level::Warn,
        "error" => Level::Error,
        _ => Level::Info,
    };
    let sink = StdStreamSink::builder().stdout().formatter(JsonFormatter::new()).build_arc()?;
    let pool = Arc::new(ThreadPool::builder().capacity(queue_length()).build()?);
    let queue = AsyncPoolSink::builder()
        .sink(sink)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(pool)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(min_level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
