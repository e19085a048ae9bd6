//! Tells the story of a request out of logs.

use std::io::Read;

use anyhow::{Context, Result};
use curlewcleat_explain::MergedLog;

use crate::arguments::{Arguments, ExplainArguments};
use crate::ToolExit;

/// Name of standard input among the files.
const STANDARD_INPUT: &str = "-";

/// Prints the story of a request; none is reported as invalid.
pub fn explain(arguments: &Arguments, options: &ExplainArguments) -> Result<ToolExit> {
    let mut log = MergedLog::default();
    for file in &options.logs {
        let name = file.display().to_string();
        let bytes = match name.as_str() {
            STANDARD_INPUT => {
                let mut bytes = Vec::new();
                std::io::stdin().read_to_end(&mut bytes).context("standard input")?;
                bytes
            }
            _ => std::fs::read(file).with_context(|| format!("logs: cannot read {name}"))?,
        };
        let source = if name == STANDARD_INPUT { "" } else { name.as_str() };
        log.read(source, &String::from_utf8_lossy(&bytes));
    }
    if log.unreadable() > 0 {
        eprintln!("{} line(s) are no log lines, or were cut", log.unreadable());
    }
    let Some(story) = log.story(&options.request) else {
        eprintln!("no line tells of {}", options.request);
        return Ok(ToolExit::Invalid);
    };
    match arguments.json {
        true => println!("{}", serde_json::to_string_pretty(&story)?),
        false => print!("{}", story.to_text()),
    }
    Ok(ToolExit::Done)
}
