//! Answers that end with their connection: whether anything proves that they are whole.
//!
//! Owns: nothing; these are methods of [`RequestRun`]. Relies on: [`LivenessQuery`] for the question to the target.

use std::time::{Duration, Instant};

use curlewcleat_core::TargetEntry;
use curlewcleat_targets::BodyFrame;

use crate::request::cause::AttemptCause;
use crate::request::liveness::{LivenessQuery, TargetLiveness};
use crate::request::run::RequestRun;
use crate::request::target_wait::{GrantedTarget, WaitEnd};

/// What is known of an answer once its body has ended.
pub(super) enum EndProof {
    /// Its length or last chunk has arrived, or its target outlived it.
    Whole,
    /// Its target may have terminated while sending. The cause is [`AttemptCause::Closed`] if it has.
    Missing(AttemptCause),
    /// Its target does not answer, and is replaced by this one.
    Replaced(Box<GrantedTarget>),
}

impl RequestRun {
    /// Opens a connection for the question to the target of an answer that ends with its connection.
    pub(super) fn prepare_end_proof(&self, frame: BodyFrame, target: &TargetEntry) {
        if frame == BodyFrame::UntilClose {
            let (context, protocol) = (&self.service.context, self.protocol());
            LivenessQuery { context, protocol, request: &self.request, target }.prepare();
        }
    }

    /// Returns whether an answer is whole whose body has ended as `frame` states. A target that does not answer is waited
    /// for as long as for a part of its answer.
    pub(super) async fn end_proof(
        &mut self,
        frame: BodyFrame,
        target: &TargetEntry,
        limit: Duration,
    ) -> EndProof {
        if frame != BodyFrame::UntilClose {
            return EndProof::Whole;
        }
        let asked = Instant::now();
        let wait = self.target_wait(target);
        let (context, protocol, request) = (wait.context, wait.protocol, wait.request);
        let query = LivenessQuery { context, protocol, request, target };
        let (liveness, replacement) = match wait.wait(limit, query.ask()).await {
            WaitEnd::Arrived(liveness) => (liveness, None),
            WaitEnd::Replaced(other) => (TargetLiveness::Unresponsive, Some(other)),
            WaitEnd::TimedOut => (TargetLiveness::Unresponsive, None),
        };
        self.log_end_check(target, liveness, asked.elapsed());
        match (liveness, replacement) {
            (TargetLiveness::Alive, _) => EndProof::Whole,
            (_, Some(other)) => EndProof::Replaced(other),
            (ended, None) if ended.is_ended() => EndProof::Missing(AttemptCause::Closed),
            (_, None) => EndProof::Missing(AttemptCause::EndUnproven),
        }
    }

    /// Returns whether another target has to confirm the end of a stream: targets of the pool break off answers, and this
    /// one may have done so at the end of an event.
    pub(super) fn doubts_end(&mut self, frame: BodyFrame) -> bool {
        let context = &self.service.context;
        let is_doubtful = frame == BodyFrame::UntilClose
            && self.protocol().may_repeat(&self.request)
            && self.framing.is_resumable()
            && context.breaks.are_recent(context.uptime(), &self.request.pool.id);
        is_doubtful && !self.framing.confirms_end()
    }
}
