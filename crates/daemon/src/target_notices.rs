//! The gate to the targets, shared by all threads of the daemon: their notices, and the evacuated data centres.
//!
//! Owns: the [`TargetGate`] of the daemon. Relies on: the tasks of requests, which pass in the notices of each
//! answer's head, and the node for the evacuations.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use curlewcleat_core::{
    BrittleNotice, DataCentreId, LoadFault, NoticeReport, PoolId, RequestId, TargetEntry,
    TargetInstance, TargetNotice, Uptime,
};
use curlewcleat_sched::{GateStop, ReceivedNotice, TargetGate};
use spdlog::prelude::*;

/// The daemon's [`TargetGate`], shared by its threads.
#[derive(Clone, Default)]
pub struct SharedGate {
    gate: Arc<Mutex<TargetGate>>,
    /// The refusals a second that the targets of a pool bear, for the pools whose targets are brittle.
    pools: Arc<Mutex<BTreeMap<PoolId, u32>>>,
}

impl SharedGate {
    /// Returns how many refusals a second the targets of a pool bear, if the notice of one of them has changed that.
    pub fn brittle_change(&self, pool: &PoolId, notice: &TargetNotice) -> Option<Option<u32>> {
        let brittle = match notice.brittle {
            BrittleNotice::Stated(borne) => Some(borne),
            BrittleNotice::Absent => None,
            BrittleNotice::Unreadable => return None,
        };
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let known = pools.get(pool).copied();
        if known == brittle {
            return None;
        }
        match brittle {
            Some(borne) => drop(pools.insert(pool.clone(), borne)),
            None => drop(pools.remove(pool)),
        }
        Some(brittle)
    }

    /// Applies the notice in the head of an answer. Returns the report for the daemons that may schedule, if one is
    /// due.
    pub fn apply_notice(
        &self,
        now: Uptime,
        instance: &TargetInstance,
        received: &ReceivedNotice,
        request: RequestId,
    ) -> Option<NoticeReport> {
        let change = self.lock().apply_notice(now, instance, received);
        if change.unreadable {
            warn!("target_notice_unreadable", kv: {
                target = instance.id.as_str(), request = request.to_string()
            });
        }
        if change.changed {
            log_notice(&change.report, request);
        }
        change.send_report.then_some(change.report)
    }

    /// Records that a target has turned away a request of this daemon. Returns the report for the daemons that may
    /// schedule, if one is due.
    pub fn refused(&self, now: Uptime, instance: &TargetInstance) -> Option<NoticeReport> {
        self.lock().refused(now, instance)
    }

    /// Logs a figure of a target's stated load that cannot be used, once for each target instance.
    pub fn report_load_fault(
        &self,
        now: Uptime,
        instance: &TargetInstance,
        fault: LoadFault,
        request: RequestId,
    ) {
        if self.lock().is_first_load_fault(now, instance) {
            warn!("target_load_unreadable", kv: {
                target = instance.id.as_str(), request = request.to_string(),
                start = instance.start.map_or(-1, |start| start.0 as i64), cause = fault.code()
            });
        }
    }

    /// Sets the data centres that are evacuated.
    pub fn set_evacuated(&self, data_centres: BTreeSet<DataCentreId>) {
        self.lock().set_evacuated(data_centres);
    }

    /// Returns why a request may not be sent to a target now, or `None` if it may.
    pub fn stop(&self, now: Uptime, target: &TargetEntry) -> Option<GateStop> {
        self.lock().stop(now, target)
    }

    /// Admits a request whose first byte is sent now, or returns why it may not be sent.
    pub fn pass(&self, now: Uptime, target: &TargetEntry) -> Option<GateStop> {
        self.lock().pass(now, target)
    }

    fn lock(&self) -> MutexGuard<'_, TargetGate> {
        // No panic can leave a change half done, so the value of a poisoned lock is valid.
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_notice(report: &NoticeReport, request: RequestId) {
    let limit = report.limit.and_then(|limit| limit.rate);
    info!("target_said", kv: {
        target = report.instance.id.as_str(), request = request.to_string(),
        start = report.instance.start.map_or(-1, |start| start.0 as i64),
        leaving = report.leaving,
        rest_ms = report.rest.map_or(-1, |rest| rest.as_millis() as i64),
        limit_per_s = limit.map_or(-1.0, |rate| rate.as_per_second())
    });
}
