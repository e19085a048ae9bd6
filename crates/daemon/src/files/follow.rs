//! Follows the configuration, the key table and the VM list in the object API. An outage only delays their updates.
//!
//! Owns: the versions and contents read so far. Relies on: the object API, which may be unavailable for a long time.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_config::{content_hash, content_key, parse_manifest, ConfigManifest, MANIFEST_KEY};
use curlewcleat_core::ConfigBundle;
use curlewcleat_keys::{KeyTable, TABLE_KEY};
use curlewcleat_node::{ListedVm, NodeEvent};
use curlewcleat_store::{ObjectStore, Result, StoredObject, VmState};

use crate::back_off::{BackOff, BackOffOptions};
use crate::context::DaemonContext;
use crate::fleet::EntryFaults;

/// Longest wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(30);
/// Pauses after failed calls. An outage of the store only delays changes, so retries need not be frequent.
const BACK_OFF: BackOffOptions = BackOffOptions {
    first: Duration::from_millis(200),
    limit: Duration::from_secs(5),
    jitter: 1.0..=1.0,
};
/// Kind of the VM list's records in logs and metrics.
const ENTRY_KIND: &str = "vm";
/// Time between reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the tasks that follow the platform on this arbiter.
pub fn follow_platform(store: Rc<dyn ObjectStore>, context: DaemonContext) {
    actix_rt::spawn(follow_config(Rc::clone(&store), context.clone()));
    actix_rt::spawn(follow_table(Rc::clone(&store), context.clone()));
    actix_rt::spawn(follow_vms(store, context));
}

/// Reads the key table and sends it to the node; retries until a read succeeds.
pub async fn read_table(store: &dyn ObjectStore, context: &DaemonContext) {
    let mut back_off = BackOff::new(BACK_OFF);
    loop {
        match store.get(TABLE_KEY).await.and_then(|read| send_table(read, context)) {
            Ok(()) => return,
            Err(error) => {
                back_off.record_failure("get_table", &error, context);
                back_off.wait().await;
            }
        }
    }
}

async fn follow_config(store: Rc<dyn ObjectStore>, context: DaemonContext) {
    let mut known_version = 0;
    let mut contents = BTreeMap::new();
    let mut back_off = BackOff::new(BACK_OFF);
    loop {
        match next_config(store.as_ref(), known_version, &mut contents).await {
            Ok(Some((version, bundle))) => {
                known_version = version;
                context.send_event(NodeEvent::ConfigRead(bundle));
                back_off.reset();
            }
            Ok(None) => back_off.reset(),
            Err(error) => {
                back_off.record_failure("watch_config", &error, &context);
                back_off.wait().await;
            }
        }
    }
}

/// Waits for a manifest newer than a version and reads the contents that are not in `contents` yet.
async fn next_config(
    store: &dyn ObjectStore,
    known_version: u64,
    contents: &mut BTreeMap<String, String>,
) -> Result<Option<(u64, ConfigBundle)>> {
    let Some(object) = store.watch(MANIFEST_KEY, known_version, WATCH_LIMIT).await? else {
        return Ok(None);
    };
    let manifest = parse_manifest(&object.bytes).map_err(unreadable)?;
    read_contents(store, &manifest, contents).await?;
    contents.retain(|hash, _| manifest.files.values().any(|needed| needed == hash));
    let files = manifest
        .files
        .iter()
        .filter_map(|(name, hash)| Some((name.clone(), contents.get(hash)?.clone())));
    let bundle = ConfigBundle { generation: manifest.generation, files: files.collect() };
    Ok(Some((object.version, bundle)))
}

async fn read_contents(
    store: &dyn ObjectStore,
    manifest: &ConfigManifest,
    contents: &mut BTreeMap<String, String>,
) -> Result<()> {
    for hash in manifest.files.values() {
        if contents.contains_key(hash) {
            continue;
        }
        let object = store.get(&content_key(hash)).await?;
        let object = object.ok_or(curlewcleat_store::Error::OutcomeUnknown(format!(
            "content {hash} is not in the store yet"
        )))?;
        let text = String::from_utf8(object.bytes).ok().filter(|text| content_hash(text) == *hash);
        let text =
            text.ok_or_else(|| unreadable(format!("content {hash} does not match its hash")))?;
        contents.insert(hash.clone(), text);
    }
    Ok(())
}

async fn follow_table(store: Rc<dyn ObjectStore>, context: DaemonContext) {
    read_table(store.as_ref(), &context).await;
    let mut known_version = 0;
    let mut back_off = BackOff::new(BACK_OFF);
    loop {
        match store.watch(TABLE_KEY, known_version, WATCH_LIMIT).await {
            Ok(Some(object)) => {
                let version = object.version;
                match send_table(Some(object), &context) {
                    Ok(()) => {
                        known_version = version;
                        back_off.reset();
                    }
                    Err(error) => {
                        back_off.record_failure("watch_table", &error, &context);
                        back_off.wait().await;
                    }
                }
            }
            Ok(None) => back_off.reset(),
            Err(error) => {
                back_off.record_failure("watch_table", &error, &context);
                back_off.wait().await;
            }
        }
    }
}

/// Sends a key table to the node. A table that cannot be parsed is an error, so that the caller reads it again.
fn send_table(read: Option<StoredObject>, context: &DaemonContext) -> Result<()> {
    let table = match read {
        None => None,
        Some(object) => {
            let table = serde_json::from_slice::<KeyTable>(&object.bytes).map_err(unreadable)?;
            Some((object.version, table))
        }
    };
    context.send_event(NodeEvent::TableRead(table));
    Ok(())
}

fn unreadable(error: impl std::fmt::Display) -> curlewcleat_store::Error {
    curlewcleat_store::Error::Protocol(error.to_string())
}

async fn follow_vms(store: Rc<dyn ObjectStore>, context: DaemonContext) {
    let mut back_off = BackOff::new(BACK_OFF);
    let mut faults = EntryFaults::default();
    loop {
        match store.vms().await {
            Ok(list) => {
                faults.apply_list(list.faults).report(ENTRY_KIND, &context.metrics);
                let records = list.vms.into_iter();
                let list = records.map(|record| ListedVm {
                    vm: record.vm,
                    leaving: record.state == VmState::Leaving,
                });
                context.send_event(NodeEvent::VmsRead(list.collect()));
                back_off.reset();
                tokio::time::sleep(VM_LIST_INTERVAL).await;
            }
            Err(error) => {
                back_off.record_failure("vms", &error, &context);
                back_off.wait().await;
            }
        }
    }
}
