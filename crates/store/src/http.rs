//! Client of the object API that this project defines (docs/PLATFORM.md).
//!
//! Owns: the paths and headers of the API; versions are sent as ETags. Relies on: [`StoreClient`] for the HTTP
//! exchange.

use std::time::Duration;

use actix_http::header::{self, HeaderMap};
use actix_http::{Method, StatusCode};
use curlewcleat_core::{ObjectVersion, VmId};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::client::{refusal, StoreClient, StoreReply, StoreRequest};
use crate::entry_fault::{EntryFault, FaultReason};
use crate::store::{
    Error, ObjectStore, PutOutcome, Result, StoreFuture, StoredObject, VmList, VmRecord, VmState,
};

/// Client of the object API.
pub struct HttpStore {
    client: StoreClient,
}

impl HttpStore {
    /// Creates a client for the store at `ip:port`. A call fails when no part of its answer arrives for `limit`.
    pub fn new(address: &str, limit: Duration) -> HttpStore {
        HttpStore { client: StoreClient::new(address, limit) }
    }

    async fn read(&self, key: &str) -> Result<Option<StoredObject>> {
        object(self.client.call(StoreRequest::get(format!("/objects/{key}"))).await?)
    }

    async fn wait(
        &self,
        key: &str,
        known: ObjectVersion,
        limit: Duration,
    ) -> Result<Option<StoredObject>> {
        let path = format!("/objects/{key}?after={known}&wait_ms={}", limit.as_millis());
        object(self.client.watch(StoreRequest::get(path), limit).await?)
    }

    /// Reads the list of VMs and decodes each record separately.
    async fn read_vms(&self) -> Result<VmList> {
        let reply = self.client.call(StoreRequest::get("/vms".to_string())).await?.success()?;
        let records: Vec<&RawValue> = reply.json()?;
        let mut list = VmList::default();
        for record in records {
            match serde_json::from_str::<VmRecord>(record.get()) {
                Ok(vm) if !vm.vm.is_empty() => list.vms.push(vm),
                Ok(_) => return Err(nameless_vm()),
                Err(error) => {
                    let vm = unusable_vm(record)?;
                    let (name, detail) = (vm.vm.clone(), error.to_string());
                    list.faults.push(EntryFault { name, reason: FaultReason::Fields, detail });
                    list.vms.push(vm);
                }
            }
        }
        Ok(list)
    }

    async fn read_json<T: DeserializeOwned>(&self, path: String) -> Result<T> {
        self.client.call(StoreRequest::get(path)).await?.success()?.json()
    }

    async fn write(
        &self,
        key: &str,
        expected: ObjectVersion,
        bytes: Vec<u8>,
    ) -> Result<PutOutcome> {
        let request = StoreRequest::write(Method::PUT, format!("/objects/{key}"), bytes);
        let request = match expected {
            0 => request.header(header::IF_NONE_MATCH, "*".to_string()),
            version => request.header(header::IF_MATCH, format!("\"{version}\"")),
        };
        let reply = self.client.call(request).await?;
        if reply.status == StatusCode::PRECONDITION_FAILED {
            return Ok(PutOutcome::Conflict);
        }
        let version = version(&reply.success()?.headers);
        let version = version
            .ok_or_else(|| Error::Protocol("the answer to a write has no ETag".to_string()))?;
        Ok(PutOutcome::Stored(version))
    }
}

impl ObjectStore for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoredObject>> {
        Box::pin(self.read(key))
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: ObjectVersion,
        bytes: Vec<u8>,
    ) -> StoreFuture<'a, PutOutcome> {
        Box::pin(self.write(key, expected, bytes))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: ObjectVersion,
        limit: Duration,
    ) -> StoreFuture<'a, Option<StoredObject>> {
        Box::pin(self.wait(key, known, limit))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<String>> {
        Box::pin(self.read_json(format!("/objects?prefix={prefix}")))
    }

    fn vms(&self) -> StoreFuture<'_, VmList> {
        Box::pin(self.read_vms())
    }
}

/// The part of a VM's record without which nothing is known of it.
#[derive(Deserialize)]
struct VmName {
    vm: VmId,
}

/// Returns the VM of an unusable record. It is listed, since it would be taken for ended otherwise, and gets no new work.
fn unusable_vm(record: &RawValue) -> Result<VmRecord> {
    // The error says no more than that the name is missing.
    let name = serde_json::from_str::<VmName>(record.get()).ok().map(|name| name.vm);
    let vm = name.filter(|vm| !vm.is_empty()).ok_or_else(nameless_vm)?;
    Ok(VmRecord { vm, data_centre: String::new(), state: VmState::Leaving })
}

fn nameless_vm() -> Error {
    Error::Protocol("a VM in the list has no readable name".to_string())
}

/// Returns the object in an answer, or `None` if it does not exist or has not changed.
fn object(reply: StoreReply) -> Result<Option<StoredObject>> {
    match reply.status {
        StatusCode::OK => {
            let version = version(&reply.headers);
            let version =
                version.ok_or_else(|| Error::Protocol("the object has no ETag".to_string()))?;
            Ok(Some(StoredObject { version, bytes: reply.body }))
        }
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
        status => Err(refusal(status)),
    }
}

fn version(headers: &HeaderMap) -> Option<ObjectVersion> {
    let tag = headers.get(header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}
