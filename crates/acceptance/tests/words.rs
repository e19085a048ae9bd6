//! Names of the users' platform occur in no product crate, only in the folder `platform`.

use std::path::{Path, PathBuf};

/// Names of the platform that may occur only in its folder, in tests and in the files of the deployment.
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

/// Collects the Rust files below a folder; folders of tests are left out.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(folder).expect("a folder of the repository");
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() && !path.ends_with("tests") {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn product_crates_contain_no_name_of_the_platform() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the folder of the crates");
    let mut files = Vec::new();
    collect_sources(crates, &mut files);
    assert!(files.len() > 100, "{} files", files.len());
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a source").to_ascii_lowercase();
        let found: Vec<&&str> = WORDS.iter().filter(|word| text.contains(**word)).collect();
        assert!(found.is_empty(), "{} contains {found:?}", file.display());
    }
}
