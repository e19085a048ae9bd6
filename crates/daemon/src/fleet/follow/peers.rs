//! How a new daemon is known to the others, and they to it: the records in the platform's store.
//!
//! Owns: nothing; these are methods of [`FleetFollower`]. Relies on: the node, which greets those that may
//! schedule.

use std::future::pending;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use curlewcleat_core::DaemonRecord;
use curlewcleat_node::NodeEvent;
use curlewcleat_store::{ListAge, Result};
use rand::Rng;

use super::{FleetFollower, BACK_OFF, FALLBACK_PAUSE};
use crate::back_off::BackOff;

/// Longest time between two lists: long beside the life of a change, short beside the time in which a fleet grows to
/// twice its size, up to which the shares of a retry budget hold.
const LIST_AGAIN: Duration = Duration::from_secs(300);
/// Part of that time that passes at least; daemons that begin together list apart from then on.
const LIST_JITTER: RangeInclusive<f64> = 0.5..=1.0;
/// What records of daemons are called in logs and metrics.
const ENTRY_KIND: &str = "daemon";

impl FleetFollower {
    /// Makes this daemon known, learns of the others, and now and then how many there are by now.
    pub(super) async fn find_peers(self: Rc<Self>, record: DaemonRecord) {
        self.join(&record).await;
        loop {
            let jitter = rand::rng().random_range(LIST_JITTER);
            tokio::time::sleep(LIST_AGAIN.mul_f64(jitter)).await;
            // One list that fails is left out; the next one tells as much.
            let listed = self.list_daemons(ListAge::Seconds).await;
            listed.unwrap_or_else(|error| {
                BackOff::new(BACK_OFF).failed("list_daemons", &error, &self.context);
            });
        }
    }

    /// Records this daemon, then learns of the others. One that begins again where it was finds its record
    /// among the others and need not write it.
    async fn join(&self, record: &DaemonRecord) {
        let mut pause = BackOff::new(BACK_OFF);
        match self.recorded_daemons(ListAge::Seconds).await {
            Ok(records)
                if records.iter().any(|earlier| earlier.is_equal_except_incarnation(record)) =>
            {
                return self.context.tell(NodeEvent::DaemonsListed(records));
            }
            Ok(_) => {}
            Err(error) => pause.failed("list_daemons", &error, &self.context),
        }
        while let Err(error) = self.record(record).await {
            pause.failed("record_daemon", &error, &self.context);
            pause.wait_until(FALLBACK_PAUSE, pending()).await;
        }
        let mut pause = BackOff::new(BACK_OFF);
        while let Err(error) = self.list_daemons(ListAge::Newest).await {
            pause.failed("list_daemons", &error, &self.context);
            pause.wait_until(FALLBACK_PAUSE, pending()).await;
        }
    }

    async fn list_daemons(&self, age: ListAge) -> Result<()> {
        let records = self.recorded_daemons(age).await?;
        self.context.tell(NodeEvent::DaemonsListed(records));
        Ok(())
    }

    async fn recorded_daemons(&self, age: ListAge) -> Result<Vec<DaemonRecord>> {
        self.context.metrics.platform_call("list_daemons");
        let list = self.platform.list_daemons(age).await?;
        let news = self.daemon_faults.borrow_mut().listed(list.faults);
        news.report(ENTRY_KIND, &self.context.metrics);
        Ok(list.daemons)
    }

    async fn record(&self, record: &DaemonRecord) -> Result<()> {
        self.context.metrics.platform_call("record_daemon");
        self.platform.record_daemon(record).await
    }
}
