//! Records times and sizes of a request's attempts, for its log line and for the scheduler's view of the target.
//!
//! Timings of targets are taken on the loop's clock; what the caller sees, on the process's.
//!
//! Owns: times of the attempts and parts of one request. Relies on: [`LoopMoment`], which leaves out the time for which
//! this daemon did not run.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{
    AnswerObservation, AttemptEnd, StreamTiming, TargetEntry, TargetId, TargetVersion,
    VersionDigest,
};
use curlewcleat_targets::{BodyFrame, ConnectionOrigin};

use crate::loop_clock::{has_stood_still_since, LoopMoment};

#[cfg(test)]
mod tests;

/// Number of parts after which the mean time between two parts is reported.
const MEAN_INTERVAL_PARTS: u32 = 8;

/// Time from the first part of an answer after which its target has not terminated as it began the answer: several
/// times what the end of a process takes to close its connections.
const ESTABLISHED_AFTER: Duration = Duration::from_millis(100);

/// Progress of a request over all its attempts.
#[derive(Default)]
pub struct RequestProgress {
    /// Attempts sent.
    pub attempts: u32,
    /// Target of the latest attempt.
    pub target: Option<TargetId>,
    /// Address of that target.
    pub address: Option<String>,
    /// When the latest attempt was sent.
    pub sent: Option<Moment>,
    /// When the first part of the answer arrived.
    pub first: Option<Moment>,
    /// Longest time between two parts.
    pub longest_pause: Duration,
    /// Parts relayed to the caller.
    pub parts: u64,
    /// Bytes relayed to the caller.
    pub bytes: u64,
    /// When the latest part of the answer arrived.
    latest: Option<Moment>,
    /// Version of the target that brought the first part.
    begun_version: Option<TargetVersion>,
    /// Digest of that version, `None` before the first part.
    required_version: Option<VersionDigest>,
    attempt: AttemptProgress,
}

/// Progress of the latest attempt.
#[derive(Default)]
struct AttemptProgress {
    /// Where the connection to the target comes from, `None` before it is established.
    connection: Option<ConnectionOrigin>,
    /// Whether the target answered with a server error.
    server_error: bool,
    /// How the end of the answer is determined, once its head has arrived.
    frame: Option<BodyFrame>,
    /// Whether the answer waited for its caller so long that its target may have cut it off.
    left_unread: bool,
    sent: Option<LoopMoment>,
    first: Option<LoopMoment>,
    latest: Option<LoopMoment>,
    /// Whether the node knows that the answer began and went on.
    established_reported: bool,
    parts: u32,
    longest_pause: Duration,
}

impl AttemptProgress {
    /// Records that a part arrived at this time.
    fn record_part(&mut self, now: LoopMoment) {
        if let Some(latest) = self.latest.replace(now) {
            let pause = now.saturating_duration_since(latest);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.first.get_or_insert(now);
        self.parts += 1;
    }

    /// Returns the time since the attempt was sent.
    fn time(&self) -> Duration {
        self.sent.map_or(Duration::ZERO, LoopMoment::elapsed)
    }
}

impl RequestProgress {
    /// Records that an attempt is sent.
    pub fn record_sent(&mut self, target: &TargetEntry) {
        self.attempts += 1;
        self.target = Some(target.id.clone());
        self.address = Some(target.address.clone());
        self.sent = Some(Moment::now());
        self.attempt =
            AttemptProgress { sent: Some(LoopMoment::now()), ..AttemptProgress::default() };
    }

    /// Records that the latest attempt has a connection, and where that comes from.
    pub fn record_connection(&mut self, origin: ConnectionOrigin) {
        self.attempt.connection = Some(origin);
    }

    /// Returns where the connection of the latest attempt comes from, `None` before it is established.
    pub fn connection(&self) -> Option<ConnectionOrigin> {
        self.attempt.connection
    }

    /// Returns whether the connection of the latest attempt goes through a peer.
    pub fn is_relayed(&self) -> bool {
        self.attempt.connection == Some(ConnectionOrigin::Relayed)
    }

    /// Records that a part of the answer is relayed.
    pub fn record_part(&mut self, bytes: usize) {
        let now = Moment::now();
        if let Some(latest) = self.latest {
            let pause = now.saturating_duration_since(latest);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.attempt.record_part(LoopMoment::now());
        self.first.get_or_insert(now);
        self.latest = Some(now);
        self.parts += 1;
        self.bytes += bytes as u64;
    }

    /// Records the target that brings the first part.
    pub fn record_begin(&mut self, target: &TargetEntry) {
        self.begun_version.clone_from(&target.version);
        self.required_version = Some(VersionDigest::of(target.version.as_ref()));
    }

    /// Returns the version of the target that brought the first part, `None` if there is none or it stated none.
    pub fn begun_version(&self) -> Option<&TargetVersion> {
        self.begun_version.as_ref()
    }

    /// Returns the version that a target must have to continue the answer, `None` before the first part.
    pub fn required_version(&self) -> Option<VersionDigest> {
        self.required_version
    }

    /// Records that the target answered with a server error.
    pub fn record_server_error(&mut self) {
        self.attempt.server_error = true;
    }

    /// Records how the end of the answer of the latest attempt, or of its resumption, is determined.
    pub fn record_frame(&mut self, frame: BodyFrame) {
        self.attempt.frame = Some(frame);
    }

    /// Records that the answer of the latest attempt waited for its caller so long that its target may have cut it off.
    pub fn record_left_unread(&mut self) {
        self.attempt.left_unread = true;
    }

    /// Returns whether the target of the latest attempt may have cut off its answer because this daemon did not read it: it
    /// waited for its caller, or the daemon stood still.
    pub fn is_left_unread(&self) -> bool {
        self.attempt.left_unread || self.sent.is_some_and(has_stood_still_since)
    }

    /// Returns whether the end of the latest attempt's answer proves that the answer is complete.
    pub fn is_end_proved(&self) -> bool {
        self.attempt.frame.is_some_and(|frame| frame != BodyFrame::UntilClose)
    }

    /// Returns how the end of the latest attempt's answer is determined.
    pub fn frame(&self) -> Option<BodyFrame> {
        self.attempt.frame
    }

    /// Returns the observation that the newest part allows: the time to the first part, or the mean interval once
    /// [`MEAN_INTERVAL_PARTS`] have arrived.
    pub fn part_observation(&self) -> Option<AnswerObservation> {
        let (first, latest) = self.attempt.first.zip(self.attempt.latest)?;
        match self.attempt.parts {
            1 => {
                Some(AnswerObservation::Begun(first.saturating_duration_since(self.attempt.sent?)))
            }
            MEAN_INTERVAL_PARTS => {
                let mean_interval =
                    latest.saturating_duration_since(first) / (MEAN_INTERVAL_PARTS - 1);
                Some(AnswerObservation::Paced(mean_interval))
            }
            _ => None,
        }
    }

    /// Returns the observations of the latest attempt once its answer is complete.
    pub fn end_observations(&self) -> Vec<AnswerObservation> {
        if self.attempt.server_error {
            return vec![AnswerObservation::Failed];
        }
        let took = self.attempt.time();
        let begun = (self.attempt.parts == 0).then_some(AnswerObservation::Begun(took));
        let whole = self.is_end_proved().then_some(AnswerObservation::Whole(took));
        begun.into_iter().chain(whole).collect()
    }

    /// Returns whether the target of the latest attempt has begun an answer and gone on with it.
    pub fn is_established(&self) -> bool {
        self.attempt.first.is_some_and(|first| first.elapsed() >= ESTABLISHED_AFTER)
    }

    /// Returns, once for each attempt, whether its answer has begun and gone on.
    pub fn take_established(&mut self) -> bool {
        self.is_established() && !std::mem::replace(&mut self.attempt.established_reported, true)
    }

    /// Returns whether the answer of the latest attempt is complete before it was reported that it began and went on.
    pub fn take_completed(&mut self) -> bool {
        self.is_end_proved() && !std::mem::replace(&mut self.attempt.established_reported, true)
    }

    /// Returns the number of parts that arrived in the latest attempt.
    pub fn attempt_parts(&self) -> u32 {
        self.attempt.parts
    }

    /// Returns the time since the latest attempt was sent or received a part.
    pub fn idle_time(&self) -> Duration {
        let part = self.latest.filter(|_| self.attempt.parts > 0);
        part.or(self.sent).map_or(Duration::ZERO, |active| active.elapsed())
    }

    /// Returns the time since a part of the answer arrived, or since the latest attempt was sent if none has.
    pub fn caller_idle_time(&self) -> Duration {
        self.latest.or(self.sent).map_or(Duration::ZERO, |active| active.elapsed())
    }

    /// Returns the time of the latest attempt's complete answer, which the target's scheduler gets.
    pub fn whole_end(&self) -> AttemptEnd {
        AttemptEnd::Whole(self.attempt.time())
    }

    /// Returns the timing of the latest attempt's complete stream, which the target's scheduler gets.
    pub fn stream_end(&self) -> AttemptEnd {
        let attempt = &self.attempt;
        let (Some(sent), Some(first), Some(latest)) = (attempt.sent, attempt.first, attempt.latest)
        else {
            return self.whole_end();
        };
        AttemptEnd::Streamed(StreamTiming {
            first: first.saturating_duration_since(sent),
            rest: latest.saturating_duration_since(first),
            parts: attempt.parts,
            pause: attempt.longest_pause,
        })
    }
}
