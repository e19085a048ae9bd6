//! What the store holds: objects, their revisions, and the latest changes.

use std::collections::{BTreeMap, VecDeque};

use serde_json::{json, Value};

/// Changes that the store remembers.
const HISTORY_LENGTH: usize = 256;

/// A change that watches hear of.
#[derive(Clone, Debug)]
struct StoredChange {
    revision: u64,
    kind: String,
    object: Value,
    gone: bool,
}

/// Objects by kind and name, with one counter of revisions.
#[derive(Clone, Default)]
pub struct StoreState {
    /// Revision of the latest change.
    pub revision: u64,
    /// The objects.
    pub kinds: BTreeMap<String, BTreeMap<String, Value>>,
    history: VecDeque<StoredChange>,
}

impl StoreState {
    /// Writes an object; the same content again is no change.
    pub fn put(&mut self, kind: &str, name: &str, spec: Value) {
        let objects = self.kinds.entry(kind.to_string()).or_default();
        if objects.get(name).is_some_and(|object| object["spec"] == spec) {
            return;
        }
        let status = objects.get(name).map_or(Value::Null, |object| object["status"].clone());
        self.write(kind, name, spec, status);
    }

    /// Writes the status of an object that there is; the same status again is no change.
    pub fn put_status(&mut self, kind: &str, name: &str, status: Value) {
        let known = self.kinds.get(kind).and_then(|objects| objects.get(name));
        let Some(object) = known.filter(|object| object["status"] != status) else { return };
        let spec = object["spec"].clone();
        self.write(kind, name, spec, status);
    }

    fn write(&mut self, kind: &str, name: &str, spec: Value, status: Value) {
        self.revision += 1;
        let metadata = json!({ "name": name, "revision": self.revision });
        let object = json!({ "metadata": metadata, "spec": spec, "status": status });
        let objects = self.kinds.entry(kind.to_string()).or_default();
        objects.insert(name.to_string(), object.clone());
        self.note(kind, object, false);
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: &str, name: &str) {
        let removed = self.kinds.get_mut(kind).and_then(|objects| objects.remove(name));
        if let Some(object) = removed {
            self.revision += 1;
            self.note(kind, object, true);
        }
    }

    /// Forgets the history; a watch from before begins anew.
    pub fn forget_history(&mut self) {
        self.revision += 1;
        self.history.clear();
    }

    fn note(&mut self, kind: &str, object: Value, gone: bool) {
        let revision = self.revision;
        self.history.push_back(StoredChange { revision, kind: kind.to_string(), object, gone });
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// The answer of a watch that need not wait.
    pub fn since(&self, kind: &str, after: u64) -> Option<(u16, Value)> {
        let forgotten = self.revision - self.history.len() as u64;
        if after < forgotten || after > self.revision {
            return Some((410, Value::Null));
        }
        let changes = self.history.iter().filter(|change| change.revision > after);
        let events: Vec<Value> = changes
            .filter(|change| change.kind == kind)
            .map(|change| json!({ "gone": change.gone, "object": change.object }))
            .collect();
        if events.is_empty() {
            return None;
        }
        Some((200, json!({ "events": events, "at": self.revision })))
    }
}
