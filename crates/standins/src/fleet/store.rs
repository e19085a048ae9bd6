//! Stand-in of the store: objects by kind and name with a common revision counter, paged lists, resumable watches,
//! and faults.

mod raw;
mod state;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use curlewcleat_platform::names::{OBJECTS, SERVERS};
use serde_json::{json, Value};
use tokio::sync::Notify;

use self::raw::RawValues;
use self::state::StoreState;
use super::entry::EngineEntry;
use crate::http::{handle_by_route, AfterAnswer, PlainConnection, PlainRequest};

/// Number of objects on a page, unless another one is set.
const PAGE_SIZE: usize = 3;

/// Failure of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutage {
    /// Every call is answered with this status and has no effect.
    Status(u16),
    /// No call is answered.
    Unresponsive,
    /// Every connection is closed without an answer.
    Closed,
}

/// A running store.
#[derive(Default)]
pub struct FleetStore {
    state: RefCell<StoreState>,
    changed: Notify,
    outage: Cell<Option<StoreOutage>>,
    calls: Cell<u64>,
    /// Number of calls by method, kind, and whether they were watches or allowed stale answers.
    call_counts: RefCell<BTreeMap<String, u64>>,
    /// Number of next writes that take effect without an answer.
    unanswered_writes: Cell<u64>,
    /// Whether watches without changes are answered at once.
    immediate_watches: Cell<bool>,
    /// Copy of the objects that [`FleetStore::restore_backup`] restores.
    backup: RefCell<StoreState>,
    /// Number of restores.
    era: Cell<u64>,
    /// Bytes that other writers have stored.
    raw_values: RawValues,
    /// Number of objects on a page, `None` for the usual one.
    page_size: Cell<Option<usize>>,
}

impl FleetStore {
    /// Creates an empty store.
    pub fn new() -> Rc<FleetStore> {
        Rc::default()
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: Option<StoreOutage>) {
        self.outage.set(outage);
        self.changed.notify_waiters();
    }

    /// Applies the next `count` writes without answering them.
    pub fn drop_write_answers(&self, count: u64) {
        self.unanswered_writes.set(count);
    }

    /// Sets whether watches without changes are answered at once.
    pub fn set_immediate_watches(&self, immediate: bool) {
        self.immediate_watches.set(immediate);
        self.changed.notify_waiters();
    }

    /// Sets the number of objects on a page.
    pub fn set_page_size(&self, objects: usize) {
        self.page_size.set(Some(objects));
    }

    /// Returns the number of calls.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Returns the number of calls by method, kind and, if it applies, `old` (stale answers allowed) or `watch`.
    pub fn call_counts(&self) -> BTreeMap<String, u64> {
        self.call_counts.borrow().clone()
    }

    fn count_call(&self, request: &PlainRequest) {
        let path = request.path.strip_prefix(OBJECTS).unwrap_or_default();
        let kind = path.trim_matches('/').split('/').next().unwrap_or_default();
        let stale = request.query.get("stale").is_some_and(|stale| stale == "1");
        let suffix = match request.query.contains_key("watch") {
            true => " watch",
            false if stale => " old",
            false => "",
        };
        let call = format!("{} {kind}{suffix}", request.method);
        *self.call_counts.borrow_mut().entry(call).or_default() += 1;
    }

    /// Discards the history, so that watches have to restart.
    pub fn forget_history(&self) {
        self.state.borrow_mut().forget_history();
        self.changed.notify_waiters();
    }

    /// Takes a copy of all objects.
    pub fn take_backup(&self) {
        *self.backup.borrow_mut() = self.state.borrow().clone();
    }

    /// Restores the latest copy. Running watches are closed without an answer.
    pub fn restore_backup(&self) {
        *self.state.borrow_mut() = self.backup.borrow().clone();
        self.era.set(self.era.get() + 1);
        self.changed.notify_waiters();
    }

    /// Writes the list entry of an engine without the time of its start, as earlier engines do.
    ///
    /// # Errors
    /// Fails if the list entry cannot be serialized.
    pub fn announce(
        &self,
        id: &str,
        backend: &str,
        address: &str,
        slots: u32,
        state: &str,
    ) -> Result<()> {
        self.write_entry(
            id,
            EngineEntry { backend, address, zone: "here", slots, state, version: None, born: None },
        )
    }

    /// Writes the list entry of an engine, as the engine does.
    ///
    /// # Errors
    /// Fails if the list entry cannot be serialized.
    pub fn write_entry(&self, id: &str, entry: EngineEntry<'_>) -> Result<()> {
        self.put(SERVERS, id, serde_json::to_value(entry)?);
        Ok(())
    }

    /// Writes an object, as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.state.borrow_mut().put(kind, name, spec);
        self.changed.notify_waiters();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.borrow_mut().remove(kind, name);
        self.changed.notify_waiters();
    }

    /// Returns the content of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.borrow();
        Some(state.kinds.get(kind)?.get(name)?["spec"].clone())
    }

    /// Returns the status of an object.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.borrow();
        Some(state.kinds.get(kind)?.get(name)?["status"].clone())
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.borrow();
        state.kinds.get(kind).map(|kind| kind.keys().cloned().collect()).unwrap_or_default()
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        self.calls.set(self.calls.get() + 1);
        self.count_call(&request);
        if let Some(outage) = self.outage.get() {
            return answer_outage(outage, connection).await;
        }
        let era = self.era.get();
        let (status, body) = self.call(&request).await;
        if era != self.era.get() {
            return Ok(AfterAnswer::Close);
        }
        if request.method != "GET" {
            self.changed.notify_waiters();
            if self.unanswered_writes.get() > 0 {
                self.unanswered_writes.set(self.unanswered_writes.get() - 1);
                return Ok(AfterAnswer::Close);
            }
        }
        let body = self.raw_values.answer(&body);
        let era = era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        connection.answer(status, &headers, &body).await?;
        Ok(AfterAnswer::KeepOpen)
    }

    /// Performs a call and returns status and body of the answer.
    async fn call(&self, request: &PlainRequest) -> (u16, Value) {
        let path = request.path.strip_prefix(OBJECTS).unwrap_or_default();
        let mut parts = path.trim_matches('/').split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next().unwrap_or_default();
        let part = parts.next().unwrap_or_default();
        match request.method.as_str() {
            "GET" if request.query.contains_key("watch") => self.watch(kind, request).await,
            "GET" if name.is_empty() => (200, self.list(kind, request.query.get("since_revision"))),
            "GET" => self.read(kind, name),
            "POST" => self.create(kind, request),
            "PUT" if part == "status" => self.replace(kind, name, request, ObjectPart::Status),
            "PUT" => self.replace(kind, name, request, ObjectPart::Spec),
            "DELETE" => {
                let status = self.read(kind, name).0;
                self.state.borrow_mut().remove(kind, name);
                (status, Value::Null)
            }
            _ => (405, Value::Null),
        }
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Value) {
        let state = self.state.borrow();
        match state.kinds.get(kind).and_then(|kind| kind.get(name)) {
            Some(object) => (200, object.clone()),
            None => (404, Value::Null),
        }
    }

    fn list(&self, kind: &str, after: Option<&String>) -> Value {
        let state = self.state.borrow();
        let Some(objects) = state.kinds.get(kind) else {
            return json!({ "items": [], "more": false, "at": state.revision });
        };
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut remaining =
            objects.range::<String, _>((from, Bound::Unbounded)).map(|(_, object)| object);
        let size = self.page_size.get().unwrap_or(PAGE_SIZE);
        let page: Vec<Value> = remaining.by_ref().take(size).cloned().collect();
        let more = remaining.next().is_some();
        json!({ "items": Value::Array(page), "more": more, "at": state.revision })
    }

    async fn watch(&self, kind: &str, request: &PlainRequest) -> (u16, Value) {
        let number = |name: &str| {
            request.query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
        };
        let after = number("watch");
        let era = self.era.get();
        let end = tokio::time::Instant::now() + Duration::from_millis(number("wait_ms"));
        loop {
            let changed = self.changed.notified();
            if self.outage.get().is_some() || era != self.era.get() {
                return (503, Value::Null);
            }
            if let Some(answer) = self.state.borrow().changes_after(kind, after) {
                return answer;
            }
            let none = json!({ "events": [], "at": self.state.borrow().revision });
            if self.immediate_watches.get() || tokio::time::timeout_at(end, changed).await.is_err()
            {
                return (200, none);
            }
        }
    }

    fn create(&self, kind: &str, request: &PlainRequest) -> (u16, Value) {
        let object: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let name = object["metadata"]["name"].as_str().unwrap_or_default().to_string();
        if self.read(kind, &name).0 == 200 {
            return (409, self.read(kind, &name).1);
        }
        self.state.borrow_mut().put(kind, &name, object["spec"].clone());
        self.read(kind, &name)
    }

    fn replace(
        &self,
        kind: &str,
        name: &str,
        request: &PlainRequest,
        part: ObjectPart,
    ) -> (u16, Value) {
        let object: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (status, present) = self.read(kind, name);
        if status != 200 {
            return (404, Value::Null);
        }
        let expected = object["metadata"]["revision"].as_u64();
        if expected
            .is_some_and(|expected| present["metadata"]["revision"].as_u64() != Some(expected))
        {
            return (409, present);
        }
        match part {
            ObjectPart::Spec => self.state.borrow_mut().put(kind, name, object["spec"].clone()),
            ObjectPart::Status => {
                self.state.borrow_mut().put_status(kind, name, object["status"].clone());
            }
        }
        self.read(kind, name)
    }
}

/// The part of an object that a write replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ObjectPart {
    Spec,
    Status,
}

/// Answers a call during an outage.
async fn answer_outage(
    outage: StoreOutage,
    connection: &mut PlainConnection,
) -> Result<AfterAnswer> {
    match outage {
        StoreOutage::Closed => Ok(AfterAnswer::Close),
        StoreOutage::Unresponsive => {
            connection.closed().await;
            Ok(AfterAnswer::Close)
        }
        StoreOutage::Status(status) => {
            connection.answer(status, &[], b"").await?;
            Ok(AfterAnswer::KeepOpen)
        }
    }
}

handle_by_route!(FleetStore);
