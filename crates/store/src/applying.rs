//! Carries an apply out against the platform.
//!
//! Owns: the order of calls of an apply. Relies on: `ConfigApply` for the decisions.

use std::time::Duration;

use curlewcleat_config::{
    content_hash, content_key, manifest_bytes, parse_manifest, ApplyAction, ApplyEvent,
    ApplyOptions, ApplyResult, ConfigApply, FileTexts, MANIFEST_KEY,
};

use crate::store::{ObjectStore, PutOutcome};

/// Time between tries while the platform does not answer.
const PAUSE: Duration = Duration::from_millis(250);

/// Applies files; see [`ConfigApply`] for the protocol.
pub async fn run_apply(
    store: &dyn ObjectStore,
    options: ApplyOptions,
    files: FileTexts,
) -> ApplyResult {
    let (mut apply, mut action) = ConfigApply::start(options, files);
    loop {
        if let ApplyAction::Finish(result) = action {
            return result;
        }
        let event = perform(store, action).await;
        if event == ApplyEvent::Unclear {
            tokio::time::sleep(PAUSE).await;
        }
        action = apply.handle(event);
    }
}

async fn perform(store: &dyn ObjectStore, action: ApplyAction) -> ApplyEvent {
    match action {
        ApplyAction::ReadManifest => match store.get(MANIFEST_KEY).await {
            Ok(None) => ApplyEvent::Manifest(None),
            Ok(Some(object)) => match parse_manifest(&object.bytes) {
                Ok(manifest) => ApplyEvent::Manifest(Some((object.version, manifest))),
                Err(_) => ApplyEvent::Unclear,
            },
            Err(_) => ApplyEvent::Unclear,
        },
        ApplyAction::ReadContent(hash) => match store.get(&content_key(&hash)).await {
            Ok(Some(object)) => match String::from_utf8(object.bytes) {
                Ok(text) if content_hash(&text) == hash => ApplyEvent::Content(hash, text),
                _ => ApplyEvent::Unclear,
            },
            _ => ApplyEvent::Unclear,
        },
        // A content that is there already has the same bytes, since its key is their hash.
        ApplyAction::PutContent(hash, text) => {
            match store.put(&content_key(&hash), 0, text.into_bytes()).await {
                Ok(_) => ApplyEvent::ContentStored,
                Err(_) => ApplyEvent::Unclear,
            }
        }
        ApplyAction::PutManifest(version, manifest) => {
            // Nothing is stored in place of a manifest that cannot be written.
            let Ok(bytes) = manifest_bytes(&manifest) else { return ApplyEvent::Unclear };
            match store.put(MANIFEST_KEY, version, bytes).await {
                Ok(PutOutcome::Stored(_)) => ApplyEvent::ManifestStored,
                Ok(PutOutcome::Conflict) => ApplyEvent::ManifestConflict,
                Err(_) => ApplyEvent::Unclear,
            }
        }
        ApplyAction::Finish(_) => ApplyEvent::Unclear,
    }
}
