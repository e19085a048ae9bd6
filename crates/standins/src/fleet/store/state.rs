//! State of the store: objects, their revisions, and the latest changes.

use std::collections::{BTreeMap, VecDeque};

use serde_json::{json, Value};

/// Maximum number of changes in the history.
const HISTORY_LENGTH: usize = 256;

/// A change that watches report.
#[derive(Clone, Debug)]
struct StoredChange {
    revision: u64,
    kind: String,
    object: Value,
    removed: bool,
}

/// Objects by kind and name, with a common revision counter.
#[derive(Clone, Default)]
pub struct StoreState {
    /// Revision of the latest change.
    pub revision: u64,
    /// Objects by kind and name.
    pub kinds: BTreeMap<String, BTreeMap<String, Value>>,
    history: VecDeque<StoredChange>,
}

impl StoreState {
    /// Writes an object; does nothing if the content is unchanged.
    pub fn put(&mut self, kind: &str, name: &str, spec: Value) {
        let objects = self.kinds.entry(kind.to_string()).or_default();
        if objects.get(name).is_some_and(|object| object["spec"] == spec) {
            return;
        }
        let status = objects.get(name).map_or(Value::Null, |object| object["status"].clone());
        self.write(kind, name, spec, status);
    }

    /// Writes the status of an existing object; does nothing if the status is unchanged.
    pub fn put_status(&mut self, kind: &str, name: &str, status: Value) {
        let existing = self.kinds.get(kind).and_then(|objects| objects.get(name));
        let Some(object) = existing.filter(|object| object["status"] != status) else { return };
        let spec = object["spec"].clone();
        self.write(kind, name, spec, status);
    }

    fn write(&mut self, kind: &str, name: &str, spec: Value, status: Value) {
        self.revision += 1;
        let metadata = json!({ "name": name, "revision": self.revision });
        let object = json!({ "metadata": metadata, "spec": spec, "status": status });
        self.insert(kind, name, object);
    }

    /// Writes a whole object.
    pub fn put_object(&mut self, kind: &str, name: &str, object: Value) {
        self.revision += 1;
        self.insert(kind, name, object);
    }

    fn insert(&mut self, kind: &str, name: &str, object: Value) {
        let objects = self.kinds.entry(kind.to_string()).or_default();
        objects.insert(name.to_string(), object.clone());
        self.record(kind, object, false);
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: &str, name: &str) {
        let removed = self.kinds.get_mut(kind).and_then(|objects| objects.remove(name));
        if let Some(object) = removed {
            self.revision += 1;
            self.record(kind, object, true);
        }
    }

    /// Discards the history, so that earlier watches have to restart.
    pub fn forget_history(&mut self) {
        self.revision += 1;
        self.history.clear();
    }

    fn record(&mut self, kind: &str, object: Value, removed: bool) {
        let revision = self.revision;
        self.history.push_back(StoredChange { revision, kind: kind.to_string(), object, removed });
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// Returns the answer to a watch, or `None` if there are no changes yet.
    pub fn changes_after(&self, kind: &str, after: u64) -> Option<(u16, Value)> {
        let oldest = self.revision - self.history.len() as u64;
        if after < oldest || after > self.revision {
            return Some((410, Value::Null));
        }
        let changes = self.history.iter().filter(|change| change.revision > after);
        let events: Vec<Value> = changes
            .filter(|change| change.kind == kind)
            .map(|change| json!({ "gone": change.removed, "object": change.object }))
            .collect();
        if events.is_empty() {
            return None;
        }
        Some((200, json!({ "events": events, "at": self.revision })))
    }
}
