//! Reads and checks the files that an operator names.
//!
//! Owns: the selection of files from the paths on the command line. Relies on: nothing.

use std::path::{Path, PathBuf};

use anyhow::{bail, Context, Result};
use curlewcleat_config::{check_files, CheckReport, FileTexts};

use crate::arguments::{Arguments, FileArguments};
use crate::ToolExit;

/// Reads files and the INI files in folders. A file is identified by its name without the folder.
pub fn read_files(paths: &[PathBuf]) -> Result<FileTexts> {
    let mut texts = FileTexts::new();
    for path in paths {
        if path.is_dir() {
            for entry in std::fs::read_dir(path)
                .with_context(|| format!("files: cannot read {}", path.display()))?
            {
                let path = entry?.path();
                if path.extension().is_some_and(|extension| extension == "ini") {
                    read_file(&path, &mut texts)?;
                }
            }
        } else {
            read_file(path, &mut texts)?;
        }
    }
    if texts.is_empty() {
        bail!("files: the given folders contain no .ini file");
    }
    Ok(texts)
}

fn read_file(path: &Path, texts: &mut FileTexts) -> Result<()> {
    let name = path.file_name().and_then(|name| name.to_str()).map(str::to_string);
    let name =
        name.with_context(|| format!("files: the name of {} is not UTF-8", path.display()))?;
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("files: cannot read {}", path.display()))?;
    if texts.insert(name.clone(), text).is_some() {
        bail!("files: {name} is given twice; file names must differ, also in different folders");
    }
    Ok(())
}

/// `check`: checks files without the platform and prints all problems.
pub fn check(arguments: &Arguments, options: &FileArguments) -> Result<ToolExit> {
    let texts = read_files(&options.files)?;
    match check_files(0, &texts) {
        Ok(config) => {
            if arguments.json {
                println!("{}", serde_json::json!({ "problems": [] }));
            } else {
                println!(
                    "{} file(s) valid: {} tiers, {} accounts, {} pools, {} rules",
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
