//! Applies a configuration by making the calls that `ConfigApply` requests.
//!
//! Owns: making the calls and repeating them. Relies on: `ConfigApply` for all decisions.

use std::time::Duration;

use curlewcleat_config::{
    content_hash, content_key, manifest_bytes, parse_manifest, ApplyAction, ApplyEvent,
    ApplyOptions, ApplyResult, ConfigApply, FileTexts, MANIFEST_KEY,
};

use crate::store::{ObjectStore, PutOutcome};

/// Delay before the next action after a call whose outcome is unknown.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Applies configuration files; see [`ConfigApply`] for the protocol.
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
        let event = perform_action(store, action).await;
        if event == ApplyEvent::OutcomeUnknown {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        action = apply.handle(event);
    }
}

async fn perform_action(store: &dyn ObjectStore, action: ApplyAction) -> ApplyEvent {
    match action {
        ApplyAction::ReadManifest => match store.get(MANIFEST_KEY).await {
            Ok(None) => ApplyEvent::Manifest(None),
            Ok(Some(object)) => match parse_manifest(&object.bytes) {
                Ok(manifest) => ApplyEvent::Manifest(Some((object.version, manifest))),
                Err(_) => ApplyEvent::OutcomeUnknown,
            },
            Err(_) => ApplyEvent::OutcomeUnknown,
        },
        ApplyAction::ReadContent(hash) => match store.get(&content_key(&hash)).await {
            Ok(Some(object)) => match String::from_utf8(object.bytes) {
                Ok(text) if content_hash(&text) == hash => ApplyEvent::Content(hash, text),
                _ => ApplyEvent::OutcomeUnknown,
            },
            _ => ApplyEvent::OutcomeUnknown,
        },
        // The key is the hash of the content, so an existing object already has the same bytes.
        ApplyAction::PutContent(hash, text) => {
            match store.put(&content_key(&hash), 0, text.into_bytes()).await {
                Ok(_) => ApplyEvent::ContentStored,
                Err(_) => ApplyEvent::OutcomeUnknown,
            }
        }
        ApplyAction::PutManifest(version, manifest) => {
            // A manifest that cannot be serialized is not stored.
            let Ok(bytes) = manifest_bytes(&manifest) else { return ApplyEvent::OutcomeUnknown };
            match store.put(MANIFEST_KEY, version, bytes).await {
                Ok(PutOutcome::Stored(_)) => ApplyEvent::ManifestStored,
                Ok(PutOutcome::Conflict) => ApplyEvent::ManifestConflict,
                Err(_) => ApplyEvent::OutcomeUnknown,
            }
        }
        ApplyAction::Finish(_) => ApplyEvent::OutcomeUnknown,
    }
}
