//! Follows the platform: configuration, key table, VM list. Outages only delay these.
//!
//! Owns: what was read so far. Relies on: the object API, which may be down for long.

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

/// Longest wait of a watch.
const WATCH_LIMIT: Duration = Duration::from_secs(30);
/// Pauses after failed calls: an outage of the store delays changes only, so that its calls need not be frequent.
const BACK_OFF: BackOffOptions = BackOffOptions {
    first: Duration::from_millis(200),
    limit: Duration::from_secs(5),
    jitter: 1.0..=1.0,
};
/// Time between reads of the VM list.
const VM_LIST_EVERY: Duration = Duration::from_secs(1);

/// Starts the tasks that follow the platform on this arbiter.
pub fn follow_platform(store: Rc<dyn ObjectStore>, context: DaemonContext) {
    actix_rt::spawn(follow_config(Rc::clone(&store), context.clone()));
    actix_rt::spawn(follow_table(Rc::clone(&store), context.clone()));
    actix_rt::spawn(follow_vms(store, context));
}

/// Reads the key table once and tells the node, again and again until an answer comes.
pub async fn read_table(store: &dyn ObjectStore, context: &DaemonContext) {
    let mut pause = BackOff::new(BACK_OFF);
    loop {
        match store.get(TABLE_KEY).await.and_then(|read| tell_table(read, context)) {
            Ok(()) => return,
            Err(error) => {
                pause.failed("get_table", &error, context);
                pause.wait().await;
            }
        }
    }
}

async fn follow_config(store: Rc<dyn ObjectStore>, context: DaemonContext) {
    let mut known = 0;
    let mut contents = BTreeMap::new();
    let mut pause = BackOff::new(BACK_OFF);
    loop {
        match next_config(store.as_ref(), known, &mut contents).await {
            Ok(Some((version, bundle))) => {
                known = version;
                context.tell(NodeEvent::ConfigRead(bundle));
                pause.reset();
            }
            Ok(None) => pause.reset(),
            Err(error) => {
                pause.failed("watch_config", &error, &context);
                pause.wait().await;
            }
        }
    }
}

/// Waits for a manifest above a version and reads the contents that are not known yet.
async fn next_config(
    store: &dyn ObjectStore,
    known: u64,
    contents: &mut BTreeMap<String, String>,
) -> Result<Option<(u64, ConfigBundle)>> {
    let Some(object) = store.watch(MANIFEST_KEY, known, WATCH_LIMIT).await? else {
        return Ok(None);
    };
    let manifest = parse_manifest(&object.bytes).map_err(unreadable)?;
    read_contents(store, &manifest, contents).await?;
    contents.retain(|hash, _| manifest.files.values().any(|wanted| wanted == hash));
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
        let object = object
            .ok_or(curlewcleat_store::Error::Unclear(format!("content {hash} is not there yet")))?;
        let text = String::from_utf8(object.bytes).ok().filter(|text| content_hash(text) == *hash);
        let text = text.ok_or_else(|| unreadable(format!("content {hash} has another hash")))?;
        contents.insert(hash.clone(), text);
    }
    Ok(())
}

async fn follow_table(store: Rc<dyn ObjectStore>, context: DaemonContext) {
    read_table(store.as_ref(), &context).await;
    let mut known = 0;
    let mut pause = BackOff::new(BACK_OFF);
    loop {
        match store.watch(TABLE_KEY, known, WATCH_LIMIT).await {
            Ok(Some(object)) => {
                let version = object.version;
                match tell_table(Some(object), &context) {
                    Ok(()) => {
                        known = version;
                        pause.reset();
                    }
                    Err(error) => {
                        pause.failed("watch_table", &error, &context);
                        pause.wait().await;
                    }
                }
            }
            Ok(None) => pause.reset(),
            Err(error) => {
                pause.failed("watch_table", &error, &context);
                pause.wait().await;
            }
        }
    }
}

/// Tells the node of a table; one that cannot be read is an error and is read again.
fn tell_table(read: Option<StoredObject>, context: &DaemonContext) -> Result<()> {
    let table = match read {
        None => None,
        Some(object) => {
            let table = serde_json::from_slice::<KeyTable>(&object.bytes).map_err(unreadable)?;
            Some((object.version, table))
        }
    };
    context.tell(NodeEvent::TableRead(table));
    Ok(())
}

fn unreadable(error: impl std::fmt::Display) -> curlewcleat_store::Error {
    curlewcleat_store::Error::Protocol(error.to_string())
}

async fn follow_vms(store: Rc<dyn ObjectStore>, context: DaemonContext) {
    let mut pause = BackOff::new(BACK_OFF);
    loop {
        match store.vms().await {
            Ok(records) => {
                let lines = records.into_iter();
                let list = lines
                    .map(|line| ListedVm { vm: line.vm, leaving: line.state == VmState::Leaving });
                context.tell(NodeEvent::VmsRead(list.collect()));
                pause.reset();
                tokio::time::sleep(VM_LIST_EVERY).await;
            }
            Err(error) => {
                pause.failed("vms", &error, &context);
                pause.wait().await;
            }
        }
    }
}
