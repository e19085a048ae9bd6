//! Stand-in of a plain service that returns records, such as a session or payroll service.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use serde::Deserialize;

use crate::http::{handle_by_route, AfterAnswer, PlainConnection, PlainRequest};
use crate::ledger::expected_record;
use crate::target::TargetBase;

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
    base: TargetBase,
}

impl ServiceStandIn {
    /// Creates an idle service.
    pub fn new(options: ServiceOptions) -> Rc<ServiceStandIn> {
        Rc::new(ServiceStandIn { base: TargetBase::new(options.slots), options })
    }

    async fn route(
        &self,
        request: PlainRequest,
        connection: &mut PlainConnection,
    ) -> Result<AfterAnswer> {
        if self.base.handle_control_request(&request, connection).await? {
            return Ok(AfterAnswer::KeepOpen);
        }
        if request.method == "POST" {
            return self.run(request, connection).await;
        }
        connection.answer(404, &[], b"").await?;
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
        let faults = self.base.faults();
        if let Some(declined) = self.base.answer_declined(&request, connection).await? {
            return Ok(declined);
        }
        let _slot = self.base.slots.acquire().await?;
        let index = self.base.begin(&body.nonce, &request, 0);
        if self.base.use_fault(|faults| &mut faults.close_after_read) {
            return Ok(AfterAnswer::Close);
        }
        let work = self.options.work_us * faults.slow_factor.max(1) + faults.delay_ms * 1_000;
        tokio::time::sleep(Duration::from_micros(work)).await;
        if self.base.use_fault(|faults| &mut faults.stalls) {
            connection.closed().await;
            return Ok(AfterAnswer::Close);
        }
        let record = expected_record(&body.nonce);
        if self.base.use_fault(|faults| &mut faults.cuts) {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", record.len());
            connection.write_raw(head.as_bytes()).await?;
            let cut = (faults.cut_bytes as usize).min(record.len() - 1);
            connection.write_raw(&record.as_bytes()[..cut]).await?;
            return Ok(AfterAnswer::Close);
        }
        let headers = [("Content-Type", "application/json")];
        connection.answer(200, &headers, record.as_bytes()).await?;
        if self.base.use_fault(|faults| &mut faults.doubles) {
            connection.answer(200, &headers, record.as_bytes()).await?;
        }
        self.base.ledger.complete(index);
        Ok(AfterAnswer::KeepOpen)
    }
}

handle_by_route!(ServiceStandIn);
