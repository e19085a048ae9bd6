//! The users' platform is known in its folder alone.

use std::path::{Path, PathBuf};

/// Words of the platform that stand in its folder, in tests and in the files of the deployment only.
const WORDS: [&str; 25] = [
    "x-attempt-id",
    "x-server-seal",
    "x-expect-instance",
    "x-expect-version",
    "x-instance-id",
    "x-not-executed",
    "x-engine-load",
    "x-deadline-ms",
    "x-token-count",
    "x-prompt-prefix",
    "x-length-hint",
    "x-weight-versions",
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "kv-move",
    "curlewcleat/objects",
    "curlewcleat/report",
    "curlewcleat/readyz",
    "traffic_split",
    "sticky_sessions",
    "gap_aim_ms",
    "plain_tokens",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(folder).expect("a folder of the repository");
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() && !path.ends_with("tests") {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn product_crates_name_nothing_of_the_platform() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the folder of the crates");
    let mut files = Vec::new();
    sources(crates, &mut files);
    assert!(files.len() > 100, "{} files", files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a source").to_ascii_lowercase();
        let named: Vec<&&str> = WORDS.iter().filter(|word| text.contains(**word)).collect();
        assert!(named.is_empty(), "{} names {named:?}", file.display());
    }
}
