//! One exchange with a target: send once, and say truly what is known.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use curlewcleat_core::{
    AttemptEnd, PermitId, PoolId, RefusalReason, RequestId, RetryReason, TargetEntry, TargetPool,
};
use curlewcleat_targets::{ConnectionOptions, ConnectionPool, TargetAnswer};

use crate::answer::REQUEST_ID;
use crate::headers;
use crate::upload::CallerUpload;

/// Header with the urgency of a request (RFC 9218).
const PRIORITY: HeaderName = HeaderName::from_static("priority");

/// The right to send one request to one target, once. Sending consumes it.
#[derive(Debug)]
pub struct DispatchTicket {
    /// The attempt.
    pub permit: PermitId,
    /// Where to.
    pub target: TargetEntry,
}

/// What is sent to a target.
pub struct TargetRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Uri,
    /// Headers that pass on.
    pub headers: HeaderMap,
    /// Rank of the tier, sent as `Priority` (RFC 9218).
    pub urgency: u8,
    /// Body.
    pub upload: CallerUpload,
}

/// How an exchange began.
pub enum ExchangeStart {
    /// The target answers.
    Answer(Box<TargetAnswer>),
    /// Provably nothing ran.
    NotRun(AttemptEnd, RetryReason),
    /// It may have run and there is no answer.
    Failed(RefusalReason),
}

/// Connections of this thread to the targets of each pool.
#[derive(Clone, Default)]
pub struct TargetClients {
    pools: Rc<RefCell<BTreeMap<(PoolId, bool), ConnectionPool>>>,
}

impl TargetClients {
    /// The connections of a pool. Pools share none, so none waits behind another's.
    pub fn of(&self, pool: &TargetPool) -> ConnectionPool {
        let idle_count =
            if pool.reuse_connections { ConnectionOptions::default().idle_count } else { 0 };
        let options = ConnectionOptions { idle_count, ..ConnectionOptions::default() };
        let key = (pool.id.clone(), pool.reuse_connections);
        self.pools.borrow_mut().entry(key).or_insert_with(|| ConnectionPool::new(options)).clone()
    }
}

/// Sends a request to its target and waits for the head of the answer.
pub async fn send(
    clients: &TargetClients,
    pool: &TargetPool,
    ticket: DispatchTicket,
    request: &TargetRequest,
) -> ExchangeStart {
    let connection =
        match clients.of(pool).connect(&ticket.target.address, pool.limits.connect).await {
            Ok(connection) => connection,
            // Nothing is written before the connection stands.
            Err(_) => return ExchangeStart::NotRun(AttemptEnd::Failed, RetryReason::ConnectFailed),
        };
    let id = ticket.permit.request;
    let exchange = connection.exchange(request_head(&ticket, request), request.upload.body());
    match tokio::time::timeout(pool.limits.first_byte, exchange).await {
        // An answer that names another request is not ours, whatever it says.
        Ok(Ok(answer)) if names_another(&answer, id) => {
            ExchangeStart::Failed(RefusalReason::TargetProtocol)
        }
        Ok(Ok(answer)) if Some(answer.head.status.as_u16()) == pool.not_started_status => {
            ExchangeStart::NotRun(AttemptEnd::Failed, RetryReason::TargetNotStarted)
        }
        Ok(Ok(answer)) => ExchangeStart::Answer(Box::new(answer)),
        Ok(Err(curlewcleat_targets::Error::Protocol(_))) => {
            ExchangeStart::Failed(RefusalReason::TargetProtocol)
        }
        Ok(Err(_)) => ExchangeStart::Failed(RefusalReason::TargetClosed),
        Err(_) => ExchangeStart::Failed(RefusalReason::FirstByteTimeout),
    }
}

fn request_head(ticket: &DispatchTicket, request: &TargetRequest) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.path.clone();
    for (name, value) in request.headers.iter().filter(|(name, _)| headers::passes_to_target(name))
    {
        head.headers.append(name.clone(), value.clone());
    }
    insert(&mut head, REQUEST_ID, &ticket.permit.request.to_string());
    insert(&mut head, PRIORITY, &format!("u={}", request.urgency.min(7)));
    head
}

fn insert(head: &mut RequestHead, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        head.headers.insert(name, value);
    }
}

/// Whether an answer carries the id of another request.
fn names_another(answer: &TargetAnswer, id: RequestId) -> bool {
    let named = headers::text(&answer.head.headers, REQUEST_ID.as_str());
    named.is_some_and(|named| named != id.to_string())
}
