//! A plain service that returns records, such as the session service or the payroll service.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Result;
use serde::Deserialize;
use tokio::sync::Semaphore;

use crate::engine::TargetFaults;
use crate::http::{AfterAnswer, HandlerFuture, PlainConnection, PlainHandler, PlainRequest};
use crate::ledger::{expected_record, LedgerEntry, RunLedger};

/// Speed of a service.
#[derive(Clone, Debug, clap::Args)]
pub struct ServiceOptions {
    /// Address to listen on.
    #[arg(long)]
    pub address: String,
    /// Requests that run at the same time.
    #[arg(long, default_value_t = 16)]
    pub slots: usize,
    /// Microseconds per request.
    #[arg(long, default_value_t = 5_000)]
    pub work_us: u64,
}

#[derive(Deserialize)]
struct RecordBody {
    nonce: String,
}

/// A running service.
pub struct ServiceStandIn {
    options: ServiceOptions,
    faults: RefCell<TargetFaults>,
    ledger: RunLedger,
    slots: Semaphore,
    born: Instant,
}

impl ServiceStandIn {
    /// An idle service.
    pub fn new(options: ServiceOptions) -> Rc<ServiceStandIn> {
        Rc::new(ServiceStandIn {
            slots: Semaphore::new(options.slots),
            options,
            faults: RefCell::default(),
            ledger: RunLedger::default(),
            born: Instant::now(),
        })
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/_ledger") => connection.answer_json(200, &self.ledger.entries()).await?,
            ("POST", "/_fault") => {
                *self.faults.borrow_mut() = serde_json::from_slice(&request.body)?;
                connection.answer(200, &[], b"").await?;
            }
            ("POST", _) => return self.run(request, connection).await,
            _ => connection.answer(404, &[], b"").await?,
        }
        Ok(AfterAnswer::KeepOpen)
    }

    async fn run(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        let Ok(body) = serde_json::from_slice::<RecordBody>(&request.body) else {
            connection.answer(400, &[], b"bad body").await?;
            return Ok(AfterAnswer::KeepOpen);
        };
        let faults = self.faults.borrow().clone();
        if TargetFaults::use_up(&mut self.faults.borrow_mut().not_started) {
            connection.answer(503, &[], b"not started").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        if TargetFaults::use_up(&mut self.faults.borrow_mut().redirects) {
            connection.answer(307, &[("Location", request.path.as_str())], b"").await?;
            return Ok(AfterAnswer::KeepOpen);
        }
        if TargetFaults::use_up(&mut self.faults.borrow_mut().close_pooled) {
            return Ok(AfterAnswer::Close);
        }
        let _slot = self.slots.acquire().await?;
        let entry = LedgerEntry {
            nonce: body.nonce.clone(),
            request: request.header("x-request-id").to_string(),
            started_ms: self.born.elapsed().as_millis() as u64,
            prefill: 0,
            whole: false,
        };
        let place = self.ledger.begin(entry);
        if TargetFaults::use_up(&mut self.faults.borrow_mut().close_after_read) {
            return Ok(AfterAnswer::Close);
        }
        let work = self.options.work_us * faults.slow_factor.max(1) + faults.delay_ms * 1_000;
        tokio::time::sleep(Duration::from_micros(work)).await;
        if TargetFaults::use_up(&mut self.faults.borrow_mut().stalls) {
            connection.closed().await;
            return Ok(AfterAnswer::Close);
        }
        let record = expected_record(&body.nonce);
        if TargetFaults::use_up(&mut self.faults.borrow_mut().cuts) {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", record.len());
            connection.write_raw(head.as_bytes()).await?;
            let cut = (faults.cut_bytes as usize).min(record.len() - 1);
            connection.write_raw(&record.as_bytes()[..cut]).await?;
            return Ok(AfterAnswer::Close);
        }
        let headers = [("Content-Type", "application/json")];
        connection.answer(200, &headers, record.as_bytes()).await?;
        if TargetFaults::use_up(&mut self.faults.borrow_mut().doubles) {
            connection.answer(200, &headers, record.as_bytes()).await?;
        }
        self.ledger.complete(place);
        Ok(AfterAnswer::KeepOpen)
    }
}

impl PlainHandler for ServiceStandIn {
    fn handle<'a>(
        &'a self,
        request: PlainRequest,
        connection: &'a mut PlainConnection,
    ) -> HandlerFuture<'a> {
        Box::pin(self.route(request, connection))
    }
}
