//! Reports observations of answers to the node while a rollout of the pool is in progress.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: the node, which forwards them to the daemon that
//! decides about the rollout.

use curlewcleat_core::{AnswerObservation, AnswerSample, PoolKind, TargetEntry};
use curlewcleat_node::NodeEvent;

use super::RequestRun;

impl RequestRun {
    /// Reports observations of a target's answer to the node, if the pool has a rollout in progress.
    pub(in crate::request) fn report_observations(
        &self,
        target: &TargetEntry,
        observations: impl IntoIterator<Item = AnswerObservation>,
    ) {
        let (context, request) = (&self.service.context, &self.request);
        let mut observations = observations.into_iter().peekable();
        if observations.peek().is_none() {
            return;
        }
        let config = context.config();
        let pool = config.pools.get(&request.pool.id).filter(|pool| pool.has_rollout);
        let Some(pool) = pool else { return };
        let work = match pool.kind {
            PoolKind::Engine => request.work.prompt,
            PoolKind::Service => request.work.output,
        };
        for observation in observations {
            let sample = AnswerSample {
                rule: request.rule.id.clone(),
                target: target.id.clone(),
                version: target.version.clone(),
                work,
                observation,
            };
            context.send_event(NodeEvent::AnswerObserved(pool.id.clone(), Box::new(sample)));
        }
    }
}
