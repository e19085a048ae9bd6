//! Common part of the engine and service stand-ins: slots, fault switches, and a ledger of the requests that ran.

use std::cell::RefCell;
use std::time::Instant;

use anyhow::Result;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::http::{AfterAnswer, PlainConnection, PlainRequest};
use crate::ledger::{LedgerEntry, RunLedger};

/// Fault switches of a target, off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetFaults {
    /// Factor for all processing times; 0 counts as 1.
    pub slow_factor: u64,
    /// Answers this many requests with "not started" status 503.
    pub not_started: u64,
    /// Reads this many requests, runs them and closes without an answer.
    pub close_after_read: u64,
    /// Closes this many pooled connections under a written request without running it.
    pub close_pooled: u64,
    /// Interrupts this many answers after `cut_bytes`.
    pub cuts: u64,
    /// Number of bytes after which an answer is interrupted.
    pub cut_bytes: u64,
    /// Stalls this many answers before their first byte until the caller closes the connection.
    pub stalls: u64,
    /// Writes this many answers twice.
    pub doubles: u64,
    /// Answers this many requests with a redirect to the same path.
    pub redirects: u64,
    /// Delays each load report by this many milliseconds.
    pub report_lag_ms: u64,
    /// Delays each answer by this many milliseconds.
    pub delay_ms: u64,
}

impl TargetFaults {
    /// Decrements the counter of a fault and returns whether it was above zero.
    pub fn decrement(counter: &mut u64) -> bool {
        let is_positive = *counter > 0;
        *counter = counter.saturating_sub(1);
        is_positive
    }
}

/// State that engines and services have in common.
pub struct TargetBase {
    /// Limit of the requests that run at the same time.
    pub slots: Semaphore,
    /// Requests that ran.
    pub ledger: RunLedger,
    faults: RefCell<TargetFaults>,
    started: Instant,
}

impl TargetBase {
    /// Creates a target without faults.
    pub fn new(slots: usize) -> TargetBase {
        TargetBase {
            slots: Semaphore::new(slots),
            ledger: RunLedger::default(),
            faults: RefCell::default(),
            started: Instant::now(),
        }
    }

    /// Returns a copy of the fault switches.
    pub fn faults(&self) -> TargetFaults {
        self.faults.borrow().clone()
    }

    /// Decrements the counter of a fault and returns whether it was above zero.
    pub fn use_fault(&self, counter: impl Fn(&mut TargetFaults) -> &mut u64) -> bool {
        TargetFaults::decrement(counter(&mut self.faults.borrow_mut()))
    }

    /// Answers a control request of a test; returns `false` for all other requests.
    pub async fn handle_control_request(
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

    /// Answers a request that a fault prevents from running; returns `None` if the request can run.
    pub async fn answer_declined(
        &self,
        request: &PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<Option<AfterAnswer>> {
        if self.use_fault(|faults| &mut faults.not_started) {
            connection.answer(503, &[], b"not started").await?;
            return Ok(Some(AfterAnswer::KeepOpen));
        }
        if self.use_fault(|faults| &mut faults.redirects) {
            connection.answer(307, &[("Location", request.path.as_str())], b"").await?;
            return Ok(Some(AfterAnswer::KeepOpen));
        }
        let should_close = self.use_fault(|faults| &mut faults.close_pooled);
        Ok(should_close.then_some(AfterAnswer::Close))
    }

    /// Records in the ledger that a request begins to run and returns the index of its entry.
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
