//! Asks a target whether it outlives an answer that has ended with its connection.
//!
//! The system closes the connections of a process that terminates in the same way as a target that has sent its whole
//! answer. What distinguishes both is an answer that the target makes afterwards. A new connection alone does not: the
//! system may accept it while it still closes the others.
//!
//! Owns: how often a target is asked. Relies on: [`CallerProtocol`] for a request that runs nothing, the connection pool
//! for connections of one target instance.

use std::time::Duration;

use curlewcleat_core::TargetEntry;
use curlewcleat_sched::GateStop;
use curlewcleat_targets::{collect, AnswerBody, ConnectionPool, ExchangeOptions};

use super::admitted::AdmittedRequest;
use super::protocol::CallerProtocol;
use crate::context::DaemonContext;

/// Time before the first status request: a process that shuts down may close some connections before others, and answer
/// over these.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Maximum number of status requests after one answer: a target at its limit of connections resets some.
const MAX_QUESTIONS: u32 = 3;
/// Time before a status request is repeated.
const QUESTION_INTERVAL: Duration = Duration::from_millis(10);
/// Longest status in bytes that is read so that its connection can be reused.
const MAX_STATUS_BYTES: usize = 64 << 10;
/// Longest time for reading it.
const STATUS_READ_LIMIT: Duration = Duration::from_secs(1);

/// What a target did after the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetLiveness {
    /// It answered a request that was sent after the end.
    Alive,
    /// Another instance answered at its address.
    Replaced,
    /// It accepted no connection, or closed it without an answer.
    Unreachable,
    /// It sent nothing within the limit.
    Unresponsive,
    /// It may not be asked: its data centre is evacuated, or a request that it turns away may terminate it.
    NotAsked,
}

impl TargetLiveness {
    /// All values.
    pub const ALL: [TargetLiveness; 5] = [
        TargetLiveness::Alive,
        TargetLiveness::Replaced,
        TargetLiveness::Unreachable,
        TargetLiveness::Unresponsive,
        TargetLiveness::NotAsked,
    ];

    /// Returns whether the target has terminated, or as much as that.
    pub fn is_ended(self) -> bool {
        matches!(self, TargetLiveness::Replaced | TargetLiveness::Unreachable)
    }

    /// Returns the code for log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            TargetLiveness::Alive => "alive",
            TargetLiveness::Replaced => "replaced",
            TargetLiveness::Unreachable => "unreachable",
            TargetLiveness::Unresponsive => "unresponsive",
            TargetLiveness::NotAsked => "not_asked",
        }
    }
}

/// A question to the target of a request.
pub struct LivenessQuery<'a> {
    pub context: &'a DaemonContext,
    pub protocol: &'a dyn CallerProtocol,
    pub request: &'a AdmittedRequest,
    pub target: &'a TargetEntry,
}

impl LivenessQuery<'_> {
    /// Opens a connection to the target while its answer is in progress, if none is idle: a target that leaves may accept
    /// no more after its last answer.
    pub fn prepare(&self) {
        let connections = self.connections();
        if !self.is_allowed() || connections.has_idle(self.target) {
            return;
        }
        let (target, request) = (self.target.clone(), Some(self.request.id));
        let limit = self.protocol.limits(self.request).connect;
        actix_rt::spawn(async move {
            // Without the connection, the question opens one of its own.
            if let Ok(connection) = connections.connect_to(&target, limit, request).await {
                connection.put_back();
            }
        });
    }

    /// Asks the target until it answers, at most [`MAX_QUESTIONS`] times. Waits for the answer without a limit.
    pub async fn ask(&self) -> TargetLiveness {
        if !self.is_allowed() {
            return TargetLiveness::NotAsked;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        for number in 0..MAX_QUESTIONS {
            if number > 0 {
                tokio::time::sleep(QUESTION_INTERVAL).await;
            }
            if let Some(liveness) = self.ask_once().await {
                return liveness;
            }
        }
        TargetLiveness::Unreachable
    }

    /// Sends one status request; `None` without an answer to it.
    async fn ask_once(&self) -> Option<TargetLiveness> {
        let head = self.protocol.status_request(self.target)?;
        let limit = self.protocol.limits(self.request).connect;
        let request = Some(self.request.id);
        let connecting = self.connections().connect_to(self.target, limit, request).await;
        let options = ExchangeOptions { echo: None, allow_close_delimited: true };
        let answer = connecting.ok()?.exchange_with(head, (), &options).await.ok()?;
        let liveness = self.protocol.evaluate_status(&answer.head);
        if liveness.is_some() {
            release_connection(answer.body);
        }
        liveness
    }

    fn connections(&self) -> ConnectionPool {
        self.protocol.connections(&self.request.pool)
    }

    /// Returns whether the target may be sent a request that it does not run.
    fn is_allowed(&self) -> bool {
        let stop = self.context.gate.stop(self.context.uptime(), self.target);
        !matches!(stop, Some(GateStop::Evacuated | GateStop::Brittle))
    }
}

/// Reads the rest of a status, after which its connection returns to the pool.
fn release_connection(body: AnswerBody) {
    actix_rt::spawn(async move {
        // A connection whose status cannot be read is closed.
        let _ = tokio::time::timeout(STATUS_READ_LIMIT, collect(body, MAX_STATUS_BYTES)).await;
    });
}
