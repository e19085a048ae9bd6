//! Messages about the versions of targets that began streams.
//!
//! Owns: the format of the messages. Relies on: nothing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::PermitRequest;
use crate::{PermitId, PoolId, RequestId, StreamId, VersionDigest};

/// The version of the target that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamVersion {
    /// The stream.
    pub stream: StreamId,
    /// The version.
    pub version: VersionDigest,
}

/// Requests the version that began a stream from a daemon that may know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamQuery {
    /// The request that takes up the stream.
    pub request: RequestId,
    /// The stream.
    pub stream: StreamId,
}

/// Answers a [`StreamQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// The request of the query.
    pub request: RequestId,
    /// The version that began the stream, `None` if the sender does not know it.
    pub version: Option<VersionDigest>,
}

/// States that a permit is requested for a new stream. It precedes the permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamStart {
    /// The permit.
    pub permit: PermitId,
    /// The stream.
    pub stream: StreamId,
    /// Time for which the caller waits, over all of its attempts; zero if it does not state it.
    pub timeout: Duration,
}

/// Requests the version that began a stream, from memory or by proof, from a daemon that may know it. It is answered
/// as a [`StreamQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamProofQuery {
    /// The request that takes up the stream.
    pub request: RequestId,
    /// Pool of the stream.
    pub pool: PoolId,
    /// The stream, `None` where its caller does not name it.
    pub stream: Option<StreamId>,
    /// Time for which the caller still waits, `None` if it does not state it.
    pub time_left: Option<Duration>,
}

/// A permit request that only a target of one version may get.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionPermitRequest {
    /// The request.
    pub request: PermitRequest,
    /// The version.
    pub version: VersionDigest,
}

impl VersionPermitRequest {
    /// Returns the permit request with the version that it is limited to.
    pub fn into_request(self) -> PermitRequest {
        PermitRequest { version: Some(self.version), ..self.request }
    }
}
