//! Discovers peers: a new daemon records itself in the platform's store and reads the records of the other daemons.
//!
//! Owns: nothing; these are methods of [`FleetFollower`]. Relies on: the node, which contacts the daemons that may
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

/// Longest time between two reads of the list. Long compared with the lifetime of a change, and short compared
/// with the time in which a fleet doubles in size: the shares of a retry budget hold up to twice the size.
const LIST_INTERVAL: Duration = Duration::from_secs(300);
/// Range of the random factor of this interval, which spreads the reads of daemons that started together.
const LIST_JITTER: RangeInclusive<f64> = 0.5..=1.0;
/// Waits before each list that may be seconds old, after this daemon has recorded itself. The seeds name the first peers
/// meanwhile.
const OLD_LIST_WAITS: [Duration; 3] =
    [Duration::ZERO, Duration::from_secs(1), Duration::from_secs(2)];
/// Kind of these entries in logs and metrics.
const ENTRY_KIND: &str = "daemon";

impl FleetFollower {
    /// Records this daemon and reads the records of the others, then reads these again at intervals: the number of
    /// daemons may have changed.
    pub(super) async fn find_peers(self: Rc<Self>, record: DaemonRecord) {
        self.join(&record).await;
        loop {
            let jitter = rand::rng().random_range(LIST_JITTER);
            tokio::time::sleep(LIST_INTERVAL.mul_f64(jitter)).await;
            // A failed read is skipped; the next one gives the same information.
            let listed = self.list_daemons(ListAge::SecondsOld).await;
            listed.unwrap_or_else(|error| {
                BackOff::new(BACK_OFF).record_failure("list_daemons", &error, &self.context);
            });
        }
    }

    /// Records this daemon, then reads the records of the others. A daemon that restarts on the same VM with the same
    /// address and capacity finds its earlier record and does not write a new one.
    async fn join(&self, record: &DaemonRecord) {
        let mut back_off = BackOff::new(BACK_OFF);
        match self.read_daemon_records(ListAge::SecondsOld).await {
            Ok(records)
                if records.iter().any(|earlier| earlier.is_equal_except_incarnation(record)) =>
            {
                return self.context.send_event(NodeEvent::DaemonsListed(records));
            }
            // The other daemons are known already; at the very first start of a fleet there are none.
            Ok(records) if !records.is_empty() => {
                self.context.send_event(NodeEvent::DaemonsListed(records));
            }
            Ok(_) => {}
            Err(error) => back_off.record_failure("list_daemons", &error, &self.context),
        }
        while let Err(error) = self.write_record(record).await {
            back_off.record_failure("record_daemon", &error, &self.context);
            back_off.wait_at_most(FALLBACK_PAUSE, pending()).await;
        }
        if self.list_with_own_record(record).await {
            return;
        }
        let mut back_off = BackOff::new(BACK_OFF);
        while let Err(error) = self.list_daemons(ListAge::Newest).await {
            back_off.record_failure("list_daemons", &error, &self.context);
            back_off.wait_at_most(FALLBACK_PAUSE, pending()).await;
        }
    }

    /// Reads lists that may be seconds old until one contains this daemon's own record, so that it is about as new as a
    /// current list when the record was written. Returns whether one did. Where many daemons start together, current
    /// lists of all are most of the calls, and each is out of date when the next daemon has recorded itself.
    async fn list_with_own_record(&self, record: &DaemonRecord) -> bool {
        for wait in OLD_LIST_WAITS {
            let jitter = rand::rng().random_range(LIST_JITTER);
            tokio::time::sleep(wait.mul_f64(jitter)).await;
            match self.read_daemon_records(ListAge::SecondsOld).await {
                Ok(records) if records.iter().any(|it| it.is_equal_except_incarnation(record)) => {
                    self.context.send_event(NodeEvent::DaemonsListed(records));
                    return true;
                }
                Ok(_) => {}
                Err(error) => {
                    BackOff::new(BACK_OFF).record_failure("list_daemons", &error, &self.context);
                }
            }
        }
        false
    }

    async fn list_daemons(&self, age: ListAge) -> Result<()> {
        let records = self.read_daemon_records(age).await?;
        self.context.send_event(NodeEvent::DaemonsListed(records));
        Ok(())
    }

    async fn read_daemon_records(&self, age: ListAge) -> Result<Vec<DaemonRecord>> {
        self.context.metrics.count_platform_call("list_daemons");
        let list = self.platform.list_daemons(age).await?;
        let change = self.daemon_faults.borrow_mut().apply_list(list.faults);
        change.report(ENTRY_KIND, &self.context.metrics);
        Ok(list.daemons)
    }

    async fn write_record(&self, record: &DaemonRecord) -> Result<()> {
        self.context.metrics.count_platform_call("record_daemon");
        self.platform.record_daemon(record).await
    }
}
