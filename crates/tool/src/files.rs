//! Files of the operator.
//!
//! Owns: which files an operator names. Relies on: nothing.

use std::path::{Path, PathBuf};

use anyhow::{bail, Context, Result};
use curlewcleat_config::{check_files, CheckReport, FileTexts};

use crate::arguments::{Arguments, FileArguments};
use crate::ToolExit;

/// Reads files and the INI files of folders. A file is known by its name without its folder.
pub fn read(paths: &[PathBuf]) -> Result<FileTexts> {
    let mut texts = FileTexts::new();
    for path in paths {
        if path.is_dir() {
            for entry in std::fs::read_dir(path)
                .with_context(|| format!("files: cannot read {}", path.display()))?
            {
                let path = entry?.path();
                if path.extension().is_some_and(|extension| extension == "ini") {
                    read_one(&path, &mut texts)?;
                }
            }
        } else {
            read_one(path, &mut texts)?;
        }
    }
    if texts.is_empty() {
        bail!("files: no .ini file found");
    }
    Ok(texts)
}

fn read_one(path: &Path, texts: &mut FileTexts) -> Result<()> {
    let name = path.file_name().and_then(|name| name.to_str()).map(str::to_string);
    let name =
        name.with_context(|| format!("files: the name of {} is not UTF-8", path.display()))?;
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("files: cannot read {}", path.display()))?;
    if texts.insert(name.clone(), text).is_some() {
        bail!("files: {name} is given twice");
    }
    Ok(())
}

/// `check`: reports every fault at once.
pub fn check(arguments: &Arguments, options: &FileArguments) -> Result<ToolExit> {
    let texts = read(&options.files)?;
    match check_files(0, &texts) {
        Ok(config) => {
            if arguments.json {
                println!("{}", serde_json::json!({ "problems": [] }));
            } else {
                println!(
                    "{} file(s) right: {} tiers, {} accounts, {} pools, {} rules",
                    texts.len(),
                    config.tiers.len(),
                    config.accounts.len(),
                    config.pools.len(),
                    config.rules.len()
                );
            }
            Ok(ToolExit::Done)
        }
        Err(report) => {
            print_report(arguments, &report);
            Ok(ToolExit::Invalid)
        }
    }
}

fn print_report(arguments: &Arguments, report: &CheckReport) {
    if arguments.json {
        println!("{}", serde_json::json!(report));
        return;
    }
    for problem in &report.problems {
        eprintln!("{problem}");
    }
}
