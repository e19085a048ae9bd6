//! Sends status requests to targets whose answers have ended with their connections.
//!
//! The rules:
//! - One status request at a time for each target instance. Its answer counts for all answers that had ended before it
//!   was sent.
//! - A target is first asked [`SETTLE_TIME`] after an end: a process that shuts down may close some connections before
//!   others, and answer over these.
//! - A target that refuses [`MAX_REFUSALS`] connections counts as unreachable. One that closes a connection is asked again,
//!   since targets reset connections beyond their limit.
//!
//! Owns: the answers that wait, and a connection that is held meanwhile, by target instance. Relies on: [`CallerProtocol`](super::protocol::CallerProtocol) for the
//! request, the connection pool for connections of one instance.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{RequestId, TargetEntry, TargetInstance, TargetPool};
use curlewcleat_sched::GateStop;
use curlewcleat_targets::{collect, AnswerBody, Error, ExchangeOptions, PooledConnection};
use tokio::sync::oneshot;

use super::liveness::TargetLiveness;
use super::RequestService;

/// Time from the end of an answer to the first status request.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Time before a status request is repeated for the first time; it doubles with each one.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time before a status request is repeated.
const MAX_QUERY_INTERVAL: Duration = Duration::from_millis(160);
/// Refused connections after which a target counts as unreachable.
const MAX_REFUSALS: u32 = 3;
/// Longest time for one status request.
const QUERY_LIMIT: Duration = Duration::from_secs(5);
/// Longest status in bytes that is read so that its connection can be reused.
const MAX_STATUS_BYTES: usize = 64 << 10;
/// Longest time for reading it.
const STATUS_READ_LIMIT: Duration = Duration::from_secs(1);

/// The target of an answer.
#[derive(Clone)]
pub struct StatusTarget {
    pub pool: TargetPool,
    pub entry: TargetEntry,
    /// The request that the target answers.
    pub request: RequestId,
    /// Time to connect.
    pub connect_limit: Duration,
}

/// An answer that has ended and waits for the status of its target.
struct WaitingEnd {
    /// When the target may be asked.
    due: Moment,
    sender: oneshot::Sender<TargetLiveness>,
}

/// The status requests of one thread, and the connections that are held for them.
#[derive(Default)]
pub struct StatusQueries {
    waiting: RefCell<BTreeMap<TargetInstance, Vec<WaitingEnd>>>,
    held: RefCell<BTreeMap<TargetInstance, HeldConnection>>,
}

/// The connection that is held for the answers of an instance.
#[derive(Default)]
struct HeldConnection {
    /// Answers in progress.
    answers: usize,
    /// `None` before it is established, and once it was used.
    connection: Option<PooledConnection>,
}

/// Keeps the connection to the target of an answer until it is dropped.
pub struct StatusHold {
    service: Rc<RequestService>,
    instance: TargetInstance,
}

impl Drop for StatusHold {
    fn drop(&mut self) {
        self.service.status_queries.release(&self.instance);
    }
}

impl RequestService {
    /// Holds a connection to a target while an answer that ends with its connection is in progress: a target that leaves
    /// may accept no more after its last answer. Answers of one instance share it.
    pub fn hold_status_connection(self: &Rc<Self>, target: StatusTarget) -> StatusHold {
        let instance = target.entry.instance();
        let is_first = {
            let mut held = self.status_queries.held.borrow_mut();
            let held = held.entry(instance.clone()).or_default();
            held.answers += 1;
            held.answers == 1
        };
        if is_first && self.may_query(&target.entry) {
            actix_rt::spawn(Rc::clone(self).open_held_connection(target));
        }
        StatusHold { service: Rc::clone(self), instance }
    }

    /// Opens the connection that is held for a target. Without it, a status request opens one of its own.
    async fn open_held_connection(self: Rc<Self>, target: StatusTarget) {
        let Ok(connection) = self.connect(&target).await else { return };
        let mut held = self.status_queries.held.borrow_mut();
        match held.get_mut(&target.entry.instance()) {
            Some(held) => held.connection = Some(connection),
            None => connection.put_back(),
        }
    }

    async fn connect(&self, target: &StatusTarget) -> Result<PooledConnection, Error> {
        let StatusTarget { pool, entry, request, connect_limit } = target;
        let connections = self.protocol.connections(pool);
        connections.connect_to(entry, *connect_limit, Some(*request)).await
    }

    /// Asks a target after the end of an answer. Waits until it answers or refuses.
    pub async fn query_status(self: &Rc<Self>, target: StatusTarget) -> TargetLiveness {
        let (sender, receiver) = oneshot::channel();
        let (instance, due) = (target.entry.instance(), Moment::now() + SETTLE_TIME);
        let is_first = {
            let mut waiting = self.status_queries.waiting.borrow_mut();
            let ends = waiting.entry(instance).or_default();
            ends.push(WaitingEnd { due, sender });
            ends.len() == 1
        };
        if is_first {
            actix_rt::spawn(Rc::clone(self).run_queries(target));
        }
        // The task ends without an answer only with the process.
        receiver.await.unwrap_or(TargetLiveness::Unresponsive)
    }

    /// Asks a target until no answer waits for its status.
    async fn run_queries(self: Rc<Self>, target: StatusTarget) {
        let instance = target.entry.instance();
        let (mut refusals, mut interval) = (0, QUERY_INTERVAL);
        while let Some(due) = self.status_queries.next_due(&instance) {
            tokio::time::sleep(due.time_left()).await;
            let sent = Moment::now();
            let status = tokio::time::timeout(QUERY_LIMIT, self.query_once(&target)).await;
            let liveness = match status {
                Ok(Ok(liveness)) => liveness,
                Ok(Err(Error::Connect(_))) => {
                    refusals += 1;
                    (refusals >= MAX_REFUSALS).then_some(TargetLiveness::Unreachable)
                }
                Ok(Err(_)) | Err(_) => None,
            };
            match liveness {
                Some(liveness) => {
                    (refusals, interval) = (0, QUERY_INTERVAL);
                    self.status_queries.resolve(&instance, sent, liveness);
                }
                None => {
                    tokio::time::sleep(interval).await;
                    interval = (interval * 2).min(MAX_QUERY_INTERVAL);
                }
            }
        }
    }

    /// Sends one status request; `None` where something else was answered.
    async fn query_once(&self, target: &StatusTarget) -> Result<Option<TargetLiveness>, Error> {
        let head = self.protocol.status_request(&target.entry);
        let (true, Some(head)) = (self.may_query(&target.entry), head) else {
            return Ok(Some(TargetLiveness::NotAsked));
        };
        let connection = match self.status_queries.take_held(&target.entry.instance()) {
            Some(connection) => connection,
            None => self.connect(target).await?,
        };
        // An evacuation may have arrived while the connection was established.
        if !self.may_query(&target.entry) {
            connection.put_back();
            return Ok(Some(TargetLiveness::NotAsked));
        }
        let options = ExchangeOptions { echo: None, allow_close_delimited: true };
        let answer = connection.exchange_with(head, (), &options).await?;
        let liveness = self.protocol.evaluate_status(&answer.head);
        if liveness.is_some() {
            release_connection(answer.body);
        }
        Ok(liveness)
    }

    /// Returns whether a target may be sent a request that it does not run.
    fn may_query(&self, target: &TargetEntry) -> bool {
        let stop = self.context.gate.stop(self.context.uptime(), target);
        !matches!(stop, Some(GateStop::Evacuated | GateStop::Brittle))
    }
}

impl StatusQueries {
    fn take_held(&self, instance: &TargetInstance) -> Option<PooledConnection> {
        self.held.borrow_mut().get_mut(instance)?.connection.take()
    }

    /// Returns the connection to the pool behind the last answer of an instance.
    fn release(&self, instance: &TargetInstance) {
        let mut held = self.held.borrow_mut();
        let Some(connection) = held.get_mut(instance) else { return };
        connection.answers -= 1;
        if connection.answers > 0 {
            return;
        }
        if let Some(connection) = held.remove(instance).and_then(|held| held.connection) {
            connection.put_back();
        }
    }

    /// Returns when a target may next be asked; `None` once no answer waits for it any more.
    fn next_due(&self, instance: &TargetInstance) -> Option<Moment> {
        let mut waiting = self.waiting.borrow_mut();
        let ends = waiting.get_mut(instance)?;
        ends.retain(|end| !end.sender.is_closed());
        let due = ends.iter().map(|end| end.due).min();
        if due.is_none() {
            waiting.remove(instance);
        }
        due
    }

    /// Passes a status on to the answers that waited for it when it was requested.
    fn resolve(&self, instance: &TargetInstance, sent: Moment, liveness: TargetLiveness) {
        let mut waiting = self.waiting.borrow_mut();
        let Some(ends) = waiting.get_mut(instance) else { return };
        for end in ends.extract_if(.., |end| end.due <= sent) {
            // The request may have ended meanwhile.
            let _ = end.sender.send(liveness);
        }
    }
}

/// Reads the rest of a status, after which its connection returns to the pool.
fn release_connection(body: AnswerBody) {
    actix_rt::spawn(async move {
        // A connection whose status cannot be read is closed.
        let _ = tokio::time::timeout(STATUS_READ_LIMIT, collect(body, MAX_STATUS_BYTES)).await;
    });
}
