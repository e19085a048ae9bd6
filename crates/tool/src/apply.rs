//! `apply` and `diff`.
//!
//! Owns: the output and exit codes of `apply` and `diff`. Relies on: `curlewcleat-store` for the calls.

use std::time::Duration;

use anyhow::{anyhow, ensure, Result};
use curlewcleat_config::{
    check_files, content_hash, content_key, parse_manifest, ApplyOptions, ApplyResult,
    ConfigManifest, FileTexts, MANIFEST_KEY,
};
use curlewcleat_store::{run_apply, HttpStore, ObjectStore};

use crate::arguments::{ApplyArguments, Arguments, FileArguments};
use crate::{daemons, files, ToolExit};

/// Time without any bytes of the answer after which a call to the platform fails.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Returns a client for the platform named in the arguments.
pub fn http_store(arguments: &Arguments) -> HttpStore {
    HttpStore::new(&arguments.platform, CALL_LIMIT)
}

/// Reads the manifest in force; `None` before the first apply.
pub async fn read_manifest(store: &dyn ObjectStore) -> Result<Option<ConfigManifest>> {
    match store.get(MANIFEST_KEY).await? {
        Some(object) => Ok(Some(parse_manifest(&object.bytes)?)),
        None => Ok(None),
    }
}

/// Reads the contents of the files in force and checks their hashes.
pub async fn read_texts(store: &dyn ObjectStore, manifest: &ConfigManifest) -> Result<FileTexts> {
    let mut texts = FileTexts::new();
    for (name, hash) in &manifest.files {
        let object = store.get(&content_key(hash)).await?;
        let object = object.ok_or_else(|| {
            anyhow!("platform: the content of {name} is missing under the hash in the manifest")
        })?;
        let text = String::from_utf8(object.bytes)?;
        ensure!(
            content_hash(&text) == *hash,
            "platform: the content of {name} does not have the hash in the manifest"
        );
        texts.insert(name.clone(), text);
    }
    Ok(texts)
}

/// `apply`: puts files in force and, with `--wait`, waits until the daemons have them.
pub async fn apply(arguments: &Arguments, options: &ApplyArguments) -> Result<ToolExit> {
    let texts = files::read_files(&options.files)?;
    // Report missing addresses before anything is applied.
    let can_wait = !options.wait || !arguments.daemons.is_empty();
    ensure!(can_wait, "--wait needs --daemons: operators' addresses of daemons as ip:port,ip:port");
    let store = http_store(arguments);
    let applied_at = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_secs();
    let apply = ApplyOptions {
        apply: uuid::Uuid::new_v4(),
        operator: options.operator.clone(),
        applied_at,
        expected_generation: options.expect_generation,
    };
    let result = run_apply(&store, apply, texts).await;
    let exit = print_result(&result);
    match result {
        ApplyResult::Applied(generation) | ApplyResult::Unchanged(generation) if options.wait => {
            let limit = Duration::from_secs(options.wait_seconds);
            daemons::wait_for(arguments, generation, limit).await
        }
        _ => Ok(exit),
    }
}

fn print_result(result: &ApplyResult) -> ToolExit {
    match result {
        ApplyResult::Applied(generation) => {
            println!("applied as generation {generation}");
            ToolExit::Done
        }
        ApplyResult::Unchanged(generation) => {
            println!("unchanged, in force since generation {generation} or before");
            ToolExit::Done
        }
        ApplyResult::Conflict { file, by } => {
            let by = by.as_ref().map_or(String::new(), |by| {
                let at = daemons::utc(by.applied_at);
                format!(" by {} at {at} (generation {})", by.operator, by.generation)
            });
            eprintln!("conflict: {file} was changed{by}; nothing was applied");
            ToolExit::Conflict
        }
        ApplyResult::Invalid(report) => {
            eprintln!("{report}");
            ToolExit::Invalid
        }
        ApplyResult::OutcomeUnknown => {
            eprintln!(
                "the platform does not answer; it is unknown whether the apply took effect: \
                 see `curlewcleat history`"
            );
            ToolExit::Unreachable
        }
    }
}

/// `diff`: compares files with those in force.
pub async fn diff(arguments: &Arguments, options: &FileArguments) -> Result<ToolExit> {
    let edited = files::read_files(&options.files)?;
    let store = http_store(arguments);
    // Before the first apply nothing is in force.
    let manifest = read_manifest(&store).await?.unwrap_or_default();
    let in_force = read_texts(&store, &manifest).await?;
    let mut is_same = true;
    for (name, text) in &edited {
        if manifest.files.get(name) == Some(&content_hash(text)) {
            continue;
        }
        is_same = false;
        match in_force.get(name) {
            None => println!("{name}: not in force yet"),
            Some(in_force) => print_difference(name, in_force, text),
        }
    }
    let mut merged = in_force;
    merged.extend(edited);
    if let Err(report) = check_files(0, &merged) {
        eprintln!("{report}");
        return Ok(ToolExit::Invalid);
    }
    Ok(if is_same { ToolExit::Done } else { ToolExit::Invalid })
}

/// Prints the lines that only one of two texts contains, each with its section; the order of lines is ignored.
fn print_difference(name: &str, in_force: &str, edited: &str) {
    println!("{name}: in force (-) and given (+)");
    let in_force = lines_by_section(in_force);
    let edited = lines_by_section(edited);
    for line in in_force.iter().filter(|line| !edited.contains(line)) {
        println!("- [{}] {}", line.0, line.1);
    }
    for line in edited.iter().filter(|line| !in_force.contains(line)) {
        println!("+ [{}] {}", line.0, line.1);
    }
}

fn lines_by_section(text: &str) -> Vec<(String, String)> {
    let mut title = String::new();
    let mut lines = Vec::new();
    for line in
        text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with([';', '#']))
    {
        match line.strip_prefix('[').and_then(|line| line.strip_suffix(']')) {
            Some(name) => title = name.to_string(),
            None => lines.push((title.clone(), line.to_string())),
        }
    }
    lines
}
