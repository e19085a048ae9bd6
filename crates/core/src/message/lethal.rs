//! Messages between daemons about requests, and features of requests, under which targets terminated.
//!
//! Reports are merged as sets: each may be lost, repeated, or arrive in any order and through any daemon.
//!
//! Owns: the format of these messages. Relies on: nothing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{FeatureKind, RequestDigest, RequestFeature, TargetInstance};

/// How a request was interrupted at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InterruptionKind {
    /// The target closed the connection.
    Closed,
    /// The target sent nothing for longer than the limit.
    Stalled,
}

/// The interruption of a request at a target instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestInterruption {
    /// The target instance.
    #[serde(rename = "life")]
    pub instance: TargetInstance,
    /// How the request was interrupted.
    pub kind: InterruptionKind,
    /// Whether a part of the answer had arrived from this instance.
    pub begun: bool,
}

/// State of one interruption.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InterruptionReport {
    /// The instance, and how the request was interrupted there.
    #[serde(rename = "broke")]
    pub interruption: RequestInterruption,
    /// Whether the instance is known to have terminated.
    pub ended: bool,
    /// Time since the interruption.
    pub age: Duration,
}

/// What is known of one suspect request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// The interruptions of the request, each at a target instance.
    #[serde(rename = "breaks")]
    pub interruptions: Vec<InterruptionReport>,
    /// Instances whose interruptions are ignored, because the request was served completely afterwards or an operator
    /// cleared it.
    pub cleared: Vec<TargetInstance>,
    /// Whether the platform stores that the request is refused.
    pub stored: bool,
}

/// What is known of one suspect feature.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FeatureReport {
    /// The feature.
    pub feature: RequestFeature,
    /// The interruptions of requests with the feature, each at another target instance.
    pub interruptions: Vec<InterruptionReport>,
    /// Instances whose interruptions are ignored, see [`SuspectReport::cleared`].
    pub cleared: Vec<TargetInstance>,
    /// Whether the platform stores that requests with the feature are refused.
    pub stored: bool,
    /// Time since the answer to a request with the feature last began, `None` where none is known to have begun, and for
    /// whole requests.
    pub begun: Option<Duration>,
    /// Time since the answer to a request without the feature first began in the same pool after the first interruption,
    /// `None` where none is known to have begun, and for whole requests.
    pub others_begun: Option<Duration>,
}

impl From<SuspectReport> for FeatureReport {
    fn from(report: SuspectReport) -> FeatureReport {
        FeatureReport {
            feature: report.digest.into(),
            interruptions: report.interruptions,
            cleared: report.cleared,
            stored: report.stored,
            begun: None,
            others_begun: None,
        }
    }
}

impl FeatureReport {
    /// Returns the report on a whole request, `None` for other features.
    pub fn request_report(self) -> Option<SuspectReport> {
        (self.feature.kind == FeatureKind::Request).then_some(SuspectReport {
            digest: self.feature.digest,
            interruptions: self.interruptions,
            cleared: self.cleared,
            stored: self.stored,
        })
    }
}

/// Requests the reports that changed at the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspectsPull {
    /// Number of the receiver's changes that the sender has already, 0 for none.
    pub known: u64,
}

/// The answer to a [`SuspectsPull`], or an update with the sender's latest changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspectsPush {
    /// Number of the sender's changes that the receiver has with this answer, which holds all changes after the
    /// requested number; 0 in an update that was not requested.
    pub at: u64,
    /// The reports, one per request.
    pub requests: Vec<SuspectReport>,
}

/// The answer to a pull of reports on all kinds of features, or an update with the sender's latest changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FeaturesPush {
    /// Number of the sender's changes that the receiver has with this answer, see [`SuspectsPush::at`].
    pub at: u64,
    /// The reports, one per feature.
    pub features: Vec<FeatureReport>,
}
