//! `explain`.
//!
//! Owns: the reading of log files. Relies on: `curlewcleat-explain` for what happened to the request.

use std::io::Read;

use anyhow::{Context, Result};
use curlewcleat_explain::MergedLog;

use crate::arguments::{Arguments, ExplainArguments};
use crate::ToolExit;

/// File name that means standard input.
const STANDARD_INPUT: &str = "-";

/// `explain`: prints what happened to a request; exits with 1 if no log line has its id.
pub fn explain(arguments: &Arguments, options: &ExplainArguments) -> Result<ToolExit> {
    let mut log = MergedLog::default();
    for file in &options.logs {
        let name = file.display().to_string();
        let bytes = match name.as_str() {
            STANDARD_INPUT => {
                let mut bytes = Vec::new();
                std::io::stdin()
                    .read_to_end(&mut bytes)
                    .context("logs: cannot read standard input")?;
                bytes
            }
            _ => std::fs::read(file).with_context(|| format!("logs: cannot read {name}"))?,
        };
        let source = if name == STANDARD_INPUT { "" } else { name.as_str() };
        log.add_log(source, &String::from_utf8_lossy(&bytes));
    }
    if log.unreadable() > 0 {
        eprintln!("{} line(s) could not be parsed: not a log line, or cut off", log.unreadable());
    }
    let Some(timeline) = log.request_timeline(&options.request) else {
        eprintln!("no log line belongs to the request {}", options.request);
        return Ok(ToolExit::Invalid);
    };
    match arguments.json {
        true => println!("{}", serde_json::to_string_pretty(&timeline)?),
        false => print!("{}", timeline.to_text()),
    }
    Ok(ToolExit::Done)
}
