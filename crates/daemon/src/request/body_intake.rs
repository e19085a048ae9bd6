//! Asks the byte budget before a caller's body is read.
//!
//! Inputs: the size that the caller states, the tier, the budget. The rule is [`ByteLedger::decide_body`]; a body that has
//! to wait is refused after [`WAIT_LIMIT`], or half of the request's remaining time, since the other half is needed to
//! serve it.
//!
//! Load pattern: bodies of the size limit from many callers at once. A stated size is held before the first byte is read,
//! so that bodies that arrive together do not outgrow the budget together.
//!
//! Owns: the wait of one body. Relies on: [`SharedBudget`] for the decision.
//!
//! [`ByteLedger::decide_body`]: crate::byte_budget::ByteLedger::decide_body

#[cfg(test)]
mod tests;

use std::time::Duration;

use actix_http::body::SizedStream;
use actix_http::Payload;
use bytes::Bytes;
use curlewcleat_clock::Moment;
use curlewcleat_core::{Refusal, RequestId};
use futures_util::{future, stream, Stream, StreamExt};
use spdlog::prelude::*;

use super::admitted::AdmittedRequest;
use super::body::BodyError;
use crate::byte_budget::{BodyDecision, BodyOffer, ByteHold, SharedBudget};
use crate::context::DaemonContext;

/// Longest time for which a body waits: callers that retry elsewhere after it still meet their deadlines.
const WAIT_LIMIT: Duration = Duration::from_millis(500);
/// Longest time for which the body of a refused request is read and discarded, so that its caller receives the refusal: a
/// connection that is closed with unread bytes is reset, and the caller may lose what it has not read yet.
const DISCARD_LIMIT: Duration = Duration::from_secs(2);

/// The admission of one body to the budget.
pub struct BodyIntake {
    budget: SharedBudget,
    request: RequestId,
    lowest_tier: bool,
    wait_limit: Duration,
}

impl BodyIntake {
    /// Creates the intake of a request's body; `None` without a memory limit.
    pub fn new(context: &DaemonContext, request: &AdmittedRequest) -> Option<BodyIntake> {
        let budget = context.budget.clone()?;
        let config = context.config();
        let lowest_rank = config.tiers.values().map(|tier| tier.rank).max();
        let rank = config.tiers.get(&request.tier).map(|tier| tier.rank);
        Some(BodyIntake {
            budget,
            request: request.id,
            lowest_tier: rank.is_some() && rank == lowest_rank,
            wait_limit: WAIT_LIMIT.min(request.time_left() / 2),
        })
    }

    /// Waits until a body of this size may be read, and holds its bytes.
    pub async fn admit(&self, size: u64) -> Result<ByteHold, BodyError> {
        let begun = Moment::now();
        let mut level = self.budget.level_changes();
        let mut paused = false;
        loop {
            match self.budget.offer_body(self.offer(size, size)) {
                Ok(held) => return Ok(held),
                Err(BodyDecision::Wait) => {}
                Err(_) => return Err(self.refuse(size, begun)),
            }
            if !std::mem::replace(&mut paused, true) {
                self.budget.count_paused_body();
            }
            let remaining = (begun + self.wait_limit).time_left();
            if tokio::time::timeout(remaining, level.changed()).await.is_err() {
                self.budget.count_refused_body();
                return Err(self.refuse(size, begun));
            }
        }
    }

    /// Holds the bytes of a body that has turned out to have `size` bytes so far.
    pub fn grow(&self, held: &mut ByteHold, size: u64) -> Result<(), BodyError> {
        let Some(uncounted) = size.checked_sub(held.bytes()).filter(|more| *more > 0) else {
            return Ok(());
        };
        match self.budget.grow_body(held, self.offer(size, uncounted)) {
            // A body that is being read is not stopped: the memory of its beginning would be held for longer.
            BodyDecision::Read | BodyDecision::Wait => Ok(()),
            BodyDecision::Refuse => Err(self.refuse(size, Moment::now())),
        }
    }

    /// Returns the refusal of a request whose body cannot be read.
    pub fn refusal(&self, error: BodyError, size: u64) -> Refusal {
        let retry_after = (error == BodyError::NoRoom).then(|| self.budget.retry_after(size));
        Refusal::not_run(error.reason(), retry_after)
    }

    fn offer(&self, size: u64, uncounted: u64) -> BodyOffer {
        BodyOffer { lowest_tier: self.lowest_tier, size, uncounted }
    }

    fn refuse(&self, size: u64, begun: Moment) -> BodyError {
        let status = self.budget.status();
        info!("body_refused", kv: {
            request = self.request.to_string(), size_bytes = size, lowest_tier = self.lowest_tier,
            waited_ms = begun.elapsed().as_millis() as i64, level = status.level.code(),
            held_bytes = status.total, budget_bytes = status.budget
        });
        BodyError::NoRoom
    }
}

/// Returns an answer's body that, once it is written, reads and discards what the caller still sends.
pub fn discarding_body(
    answer: Bytes,
    payload: Payload,
) -> SizedStream<impl Stream<Item = Result<Bytes, BodyError>>> {
    let size = answer.len() as u64;
    let discarded = async move {
        // What is left after the limit is discarded with the connection.
        let _ = tokio::time::timeout(DISCARD_LIMIT, payload.for_each(|_| future::ready(()))).await;
    };
    let end = stream::once(discarded).filter_map(|()| future::ready(None));
    SizedStream::new(size, Box::pin(stream::iter([Ok(answer)]).chain(end)))
}
