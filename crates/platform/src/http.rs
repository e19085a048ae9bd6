//! The object API over HTTP.

use std::time::Duration;

use awc::http::{header, StatusCode};
use awc::{Client, ClientRequest, ClientResponse};
use curlewcleat_core::ObjectVersion;

use crate::store::{Error, ObjectStore, PutOutcome, Result, StoreFuture, StoredObject, VmRecord};

/// Largest object that is read, in bytes. The platform holds values up to a megabyte.
const OBJECT_LIMIT: usize = 2 << 20;
/// Extra time for the answer of a watch beyond its own limit.
const WATCH_SLACK: Duration = Duration::from_secs(2);

/// Client of the object API.
pub struct HttpStore {
    client: Client,
    base: String,
    limit: Duration,
}

impl HttpStore {
    /// A client for `ip:port`; each call is given up after `limit`.
    pub fn new(address: &str, limit: Duration) -> HttpStore {
        let client = Client::builder().disable_redirects().disable_timeout().finish();
        HttpStore { client, base: format!("http://{address}"), limit }
    }

    async fn call(&self, request: ClientRequest, limit: Duration, body: Vec<u8>) -> Result<Reply> {
        let exchange = async {
            let mut response =
                request.send_body(body).await.map_err(|error| Error::Unclear(error.to_string()))?;
            let bytes = response.body().limit(OBJECT_LIMIT).await;
            let bytes = bytes.map_err(|error| Error::Unclear(error.to_string()))?;
            check_length(&response, bytes.len())?;
            let version =
                response.headers().get(header::ETAG).and_then(|value| value.to_str().ok());
            let version = version.and_then(|text| text.trim_matches('"').parse().ok());
            Ok(Reply { status: response.status(), version, bytes: bytes.to_vec() })
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Unclear(format!("no answer within {limit:?}"))),
        }
    }

    async fn read(&self, url: String, limit: Duration) -> Result<Option<StoredObject>> {
        let reply = self.call(self.client.get(url), limit, Vec::new()).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.into_object()?)),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(refusal(status)),
        }
    }

    async fn read_json<T: serde::de::DeserializeOwned>(&self, url: String) -> Result<T> {
        let reply = self.call(self.client.get(url), self.limit, Vec::new()).await?;
        if reply.status != StatusCode::OK {
            return Err(refusal(reply.status));
        }
        serde_json::from_slice(&reply.bytes).map_err(|error| Error::Protocol(error.to_string()))
    }

    async fn write(
        &self,
        key: &str,
        expected: ObjectVersion,
        bytes: Vec<u8>,
    ) -> Result<PutOutcome> {
        let request = self.client.put(format!("{}/objects/{key}", self.base));
        let request = match expected {
            0 => request.insert_header((header::IF_NONE_MATCH, "*")),
            version => request.insert_header((header::IF_MATCH, format!("\"{version}\""))),
        };
        let reply = self.call(request, self.limit, bytes).await?;
        match (reply.status, reply.version) {
            (StatusCode::OK | StatusCode::CREATED, Some(version)) => {
                Ok(PutOutcome::Stored(version))
            }
            (StatusCode::PRECONDITION_FAILED, _) => Ok(PutOutcome::Conflict),
            (status, _) if status.is_success() => {
                Err(Error::Protocol("a write without ETag".to_string()))
            }
            (status, _) => Err(refusal(status)),
        }
    }
}

impl ObjectStore for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoredObject>> {
        Box::pin(self.read(format!("{}/objects/{key}", self.base), self.limit))
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
        let url =
            format!("{}/objects/{key}?after={known}&wait_ms={}", self.base, limit.as_millis());
        Box::pin(self.read(url, limit + WATCH_SLACK))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<String>> {
        Box::pin(self.read_json(format!("{}/objects?prefix={prefix}", self.base)))
    }

    fn vms(&self) -> StoreFuture<'_, Vec<VmRecord>> {
        Box::pin(self.read_json(format!("{}/vms", self.base)))
    }
}

/// awc ends a cut body as if it were whole, so its length is compared with the announced one.
fn check_length<S>(response: &ClientResponse<S>, received: usize) -> Result<()> {
    let announced =
        response.headers().get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    match announced.and_then(|text| text.parse::<usize>().ok()) {
        Some(announced) if announced != received => {
            Err(Error::Unclear(format!("answer cut after {received} of {announced} bytes")))
        }
        _ => Ok(()),
    }
}

struct Reply {
    status: StatusCode,
    version: Option<ObjectVersion>,
    bytes: Vec<u8>,
}

impl Reply {
    fn into_object(self) -> Result<StoredObject> {
        let version =
            self.version.ok_or_else(|| Error::Protocol("an object without ETag".to_string()))?;
        Ok(StoredObject { version, bytes: self.bytes })
    }
}

fn refusal(status: StatusCode) -> Error {
    match status {
        StatusCode::TOO_MANY_REQUESTS => Error::RateLimited,
        // A failing platform may have carried a write out before it failed.
        status if status.is_server_error() => Error::Unclear(format!("status {status}")),
        status => Error::Refused(status.as_u16()),
    }
}
