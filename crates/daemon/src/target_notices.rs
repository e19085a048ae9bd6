//! What targets say of themselves, as all threads of the daemon know it.
//!
//! Owns: the [`TargetGate`] of the daemon. Relies on: the heads of answers, as they are read.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use curlewcleat_core::{NoticeReport, RequestId, TargetInstance, Uptime};
use curlewcleat_sched::{GateStop, ReceivedNotice, TargetGate};
use spdlog::prelude::*;

/// The gate of the daemon, for all its threads.
#[derive(Clone, Default)]
pub struct SharedGate(Arc<Mutex<TargetGate>>);

impl SharedGate {
    /// Takes the head of the answer to a request in. Returns what the daemons that may schedule have to know.
    pub fn heard(
        &self,
        now: Uptime,
        instance: &TargetInstance,
        heard: &ReceivedNotice,
        request: RequestId,
    ) -> Option<NoticeReport> {
        let news = self.lock().apply_notice(now, instance, heard);
        if news.unreadable {
            warn!("target_notice_unreadable", kv: {
                target = instance.id.as_str(), request = request.to_string()
            });
        }
        if news.changed {
            log_said(&news.report, request);
        }
        news.send_report.then_some(news.report)
    }

    /// What would stop a request to a target now.
    pub fn stop(&self, now: Uptime, instance: &TargetInstance) -> Option<GateStop> {
        self.lock().stop(now, instance)
    }

    /// Lets a request pass whose first byte goes now, or says what stops it.
    pub fn pass(&self, now: Uptime, instance: &TargetInstance) -> Option<GateStop> {
        self.lock().pass(now, instance)
    }

    fn lock(&self) -> MutexGuard<'_, TargetGate> {
        // Each change is whole before anything can panic.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_said(report: &NoticeReport, request: RequestId) {
    let limit = report.limit.and_then(|limit| limit.rate);
    info!("target_said", kv: {
        target = report.instance.id.as_str(), request = request.to_string(),
        start = report.instance.start.map_or(-1, |start| start.0 as i64),
        leaving = report.leaving,
        rest_ms = report.rest.map_or(-1, |rest| rest.as_millis() as i64),
        limit_per_s = limit.map_or(-1.0, |rate| rate.as_per_second())
    });
}
