//! What the stand-ins of targets share: fault switches, a ledger of what ran, slots.

use std::cell::RefCell;
use std::time::Instant;

use anyhow::Result;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::http::{AfterAnswer, PlainConnection, PlainRequest};
use crate::ledger::{LedgerEntry, RunLedger};

/// Fault switches of a target; all off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetFaults {
    /// Times are multiplied by this, 0 counts as 1.
    pub slow_factor: u64,
    /// Answers this many requests with "not started" status 503.
    pub not_started: u64,
    /// Reads this many requests, runs them and closes without an answer.
    pub close_after_read: u64,
    /// Closes this many pooled connections under a written request without running it.
    pub close_pooled: u64,
    /// Cuts this many answers after `cut_bytes`.
    pub cuts: u64,
    /// Bytes after which an answer is cut.
    pub cut_bytes: u64,
    /// Stalls this many answers before their first byte for as long as the connection lives.
    pub stalls: u64,
    /// Writes this many answers twice.
    pub doubles: u64,
    /// Answers this many requests with a redirect to the same path.
    pub redirects: u64,
    /// Reports of load come this many milliseconds late.
    pub report_lag_ms: u64,
    /// Delays each answer by this many milliseconds.
    pub delay_ms: u64,
}

impl TargetFaults {
    /// Uses one occasion of a counted fault up.
    pub fn use_up(counter: &mut u64) -> bool {
        let left = *counter > 0;
        *counter = counter.saturating_sub(1);
        left
    }
}

/// The common part of an engine and a service.
pub struct TargetBase {
    /// Requests that run at the same time.
    pub slots: Semaphore,
    /// What ran.
    pub ledger: RunLedger,
    faults: RefCell<TargetFaults>,
    started: Instant,
}

impl TargetBase {
    /// A target without faults.
    pub fn new(slots: usize) -> TargetBase {
        TargetBase {
            slots: Semaphore::new(slots),
            ledger: RunLedger::default(),
            faults: RefCell::default(),
            started: Instant::now(),
        }
    }

    /// The switches as they are now.
    pub fn faults(&self) -> TargetFaults {
        self.faults.borrow().clone()
    }

    /// Uses one occasion of a counted fault up, if there is one.
    pub fn strikes(&self, counter: impl Fn(&mut TargetFaults) -> &mut u64) -> bool {
        TargetFaults::use_up(counter(&mut self.faults.borrow_mut()))
    }

    /// Answers the calls of tests; `false` where the request is another one.
    pub async fn administer(
        &self,
        request: &PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<bool> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/_ledger") => connection.answer_json(200, &self.ledger.entries()).await?,
            ("POST", "/_fault") => {
                *self.faults.borrow_mut() = serde_json::from_slice(&request.body)?;
                connection.answer(200, &[], b"").await?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Answers a request that a fault keeps from running, `None` where none does.
    pub async fn decline(
        &self,
        request: &PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<Option<AfterAnswer>> {
        if self.strikes(|faults| &mut faults.not_started) {
            connection.answer(503, &[], b"not started").await?;
            return Ok(Some(AfterAnswer::KeepOpen));
        }
        if self.strikes(|faults| &mut faults.redirects) {
            connection.answer(307, &[("Location", request.path.as_str())], b"").await?;
            return Ok(Some(AfterAnswer::KeepOpen));
        }
        let closes = self.strikes(|faults| &mut faults.close_pooled);
        Ok(closes.then_some(AfterAnswer::Close))
    }

    /// Notes in the ledger that a request begins to run.
    pub fn begin(&self, nonce: &str, request: &PlainRequest, prefill: u64) -> usize {
        self.ledger.begin(LedgerEntry {
            nonce: nonce.to_string(),
            request: request.header("x-request-id").to_string(),
            started_ms: self.started.elapsed().as_millis() as u64,
            prefill,
            whole: false,
        })
    }
}
