//! One attempt at one target.

use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::RequestHead;
use curlewcleat_core::{TargetEntry, TargetPool};
use curlewcleat_targets::{Error, ExchangeOptions, TargetAnswer};

use super::admission::AdmittedCall;
use super::{CallerRequest, Gateway};
use crate::headers;

/// Time that a target needs at most to take a connection, as part of the objective, one in so many.
const CONNECT_PART: u32 = 4;
/// Bounds of that time.
const CONNECT_LEAST: Duration = Duration::from_millis(100);
/// A target closes a resting connection about then; it is not used in the last part of its time.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);

/// How an attempt began.
pub(super) enum AttemptStart {
    /// The target answers.
    Answer(Box<TargetAnswer>),
    /// No connection; nothing was written.
    NotConnected,
    /// The target says that it did not run the request.
    Declined,
    /// It may have run and there is no answer.
    Broken(Error),
    /// No answer came within the limit.
    Silent,
}

impl Gateway {
    /// Sends a request to a target and waits for the head of the answer, for `limit` at most.
    pub(super) async fn send(
        &self,
        call: &AdmittedCall,
        caller: &CallerRequest,
        target: &TargetEntry,
        last_event: Option<u64>,
        limit: Duration,
    ) -> AttemptStart {
        let config = self.context.config();
        let pool = config.pools.get(&call.pool);
        let connect_limit = connect_limit(call, pool).min(call.time_left());
        let connected = self.connections.connect(&target.address, connect_limit).await;
        let Ok(connection) = connected else { return AttemptStart::NotConnected };
        let head = self.request_head(call, caller, target, last_event);
        let body = match &caller.body {
            Some(bytes) => bytes.clone().boxed(),
            None => BoxBody::new(()),
        };
        let echo = HeaderName::from_static(self.profile.attempt_id);
        let options =
            ExchangeOptions { echo: Some((echo, call.attempt_id.clone())), unframed: true };
        let exchange = connection.exchange_with(head, body, &options);
        match tokio::time::timeout(limit, exchange).await {
            Ok(Ok(mut answer)) => {
                self.note_idle_limit(&mut answer);
                if self.is_declined(&answer) {
                    return AttemptStart::Declined;
                }
                AttemptStart::Answer(Box::new(answer))
            }
            Ok(Err(error)) => AttemptStart::Broken(error),
            Err(_) => AttemptStart::Silent,
        }
    }

    fn is_declined(&self, answer: &TargetAnswer) -> bool {
        answer.head.status.as_u16() == self.profile.misdirected_status
            || answer.head.headers.contains_key(self.profile.not_run)
    }

    /// A resting connection is used only for as long as its target says that it keeps it.
    fn note_idle_limit(&self, answer: &mut TargetAnswer) {
        let text = headers::text(&answer.head.headers, "keep-alive").unwrap_or_default();
        let seconds = text.split([',', ';']).find_map(|part| {
            let part = part.trim();
            part.strip_prefix("timeout=").unwrap_or(part).parse::<u64>().ok()
        });
        if let Some(seconds) = seconds {
            answer.body.set_idle_limit(Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN));
        }
    }

    fn request_head(
        &self,
        call: &AdmittedCall,
        caller: &CallerRequest,
        target: &TargetEntry,
        last_event: Option<u64>,
    ) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = caller.method.clone();
        head.uri = caller.uri.clone();
        let profile = &self.profile;
        let own = [profile.time_left, profile.account, profile.instance];
        for (name, value) in caller.headers.iter() {
            let passes = headers::passes_on(name)
                && !headers::ends_here(name)
                && !own.contains(&name.as_str());
            if passes {
                head.headers.append(name.clone(), value.clone());
            }
        }
        for name in headers::connection_options(&caller.headers) {
            head.headers.remove(name);
        }
        let millis = call.time_left().as_millis().max(1).to_string();
        set(&mut head, profile.time_left, &millis);
        set(&mut head, profile.instance, &target.id);
        if let Some(account) = &call.account {
            set(&mut head, profile.account, account);
        }
        if let Some(last) = last_event {
            set(&mut head, profile.last_event, &last.to_string());
        }
        head
    }
}

fn connect_limit(call: &AdmittedCall, pool: Option<&TargetPool>) -> Duration {
    let most = pool.map_or(Duration::from_secs(1), |pool| pool.limits.connect);
    let objective = call.rule.service.objective.unwrap_or(most * CONNECT_PART);
    (objective / CONNECT_PART).clamp(CONNECT_LEAST, most.max(CONNECT_LEAST))
}

fn set(head: &mut RequestHead, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        head.headers.insert(HeaderName::from_static(name), value);
    }
}
