//! Logs as JSON lines on standard output; each line has an event name and key-values.

use std::sync::Arc;

use anyhow::Result;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStreamSink;
use spdlog::{Level, LevelFilter, Logger};

/// Makes JSON lines the default logger.
///
/// # Errors
/// Where the logger cannot be built.
pub fn start_logging(level: &str) -> Result<()> {
    let least = match level {
        "debug" => Level::Debug,
        "warn" => Level::Warn,
        "error" => Level::Error,
        _ => Level::Info,
    };
    let sink = StdStreamSink::builder().stdout().formatter(JsonFormatter::new()).build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(least))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
