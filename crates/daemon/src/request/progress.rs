//! What was seen of a request on its way, for its log line and for the scheduler's view of the target.
//!
//! Owns: times of the attempts and parts of one request.

use std::time::Duration;

use curlewcleat_clock::Moment;
use curlewcleat_core::{AnswerObservation, AttemptEnd, StreamTiming, TargetId};

/// Parts from which the mean time between two says something of the target.
const PACED_PARTS: u32 = 8;

/// What was seen of a request.
#[derive(Default)]
pub struct RequestProgress {
    /// Attempts sent.
    pub attempts: u32,
    /// Target of the latest attempt.
    pub target: Option<TargetId>,
    /// When the latest attempt was sent.
    pub sent: Option<Moment>,
    /// When the first part of the answer came.
    pub first: Option<Moment>,
    /// Longest time between two parts.
    pub longest_pause: Duration,
    /// Parts passed on.
    pub parts: u64,
    /// Bytes passed on.
    pub bytes: u64,
    latest: Option<Moment>,
    attempt: AttemptProgress,
}

/// What was seen of the latest attempt.
#[derive(Default)]
struct AttemptProgress {
    /// Whether the target has answered that it failed.
    failed: bool,
    first: Option<Moment>,
    parts: u32,
    pause: Duration,
}

impl RequestProgress {
    /// An attempt is sent.
    pub fn note_sent(&mut self, target: &TargetId) {
        self.attempts += 1;
        self.target = Some(target.clone());
        self.sent = Some(Moment::now());
        self.attempt = AttemptProgress::default();
    }

    /// A part of the answer is passed on.
    pub fn note_part(&mut self, bytes: usize) {
        let now = Moment::now();
        if let Some(latest) = self.latest {
            let pause = now.saturating_duration_since(latest);
            self.longest_pause = self.longest_pause.max(pause);
            if self.attempt.parts > 0 {
                self.attempt.pause = self.attempt.pause.max(pause);
            }
        }
        self.attempt.first.get_or_insert(now);
        self.attempt.parts += 1;
        self.first.get_or_insert(now);
        self.latest = Some(now);
        self.parts += 1;
        self.bytes += bytes as u64;
    }

    /// The target has answered with a status that says that it failed.
    pub fn note_failed(&mut self) {
        self.attempt.failed = true;
    }

    /// What is seen of the latest attempt now that a part of its answer came, where that tells anything new.
    pub fn part_sight(&self) -> Option<AnswerObservation> {
        let (first, latest) = self.attempt.first.zip(self.latest)?;
        match self.attempt.parts {
            1 => Some(AnswerObservation::Begun(first.saturating_duration_since(self.sent?))),
            PACED_PARTS => {
                let pauses = latest.saturating_duration_since(first) / (PACED_PARTS - 1);
                Some(AnswerObservation::Paced(pauses))
            }
            _ => None,
        }
    }

    /// What is seen of the latest attempt, which was answered whole.
    pub fn end_sights(&self) -> Vec<AnswerObservation> {
        if self.attempt.failed {
            return vec![AnswerObservation::Failed];
        }
        let took = self.sent.map_or(Duration::ZERO, |sent| sent.elapsed());
        let begun = (self.attempt.parts == 0).then_some(AnswerObservation::Begun(took));
        begun.into_iter().chain([AnswerObservation::Whole(took)]).collect()
    }

    /// Parts that came in the latest attempt.
    pub fn attempt_parts(&self) -> u32 {
        self.attempt.parts
    }

    /// Time since the latest attempt was sent or had a part.
    pub fn unheard_for(&self) -> Duration {
        let part = self.latest.filter(|_| self.attempt.parts > 0);
        part.or(self.sent).map_or(Duration::ZERO, |heard| heard.elapsed())
    }

    /// What the target's scheduler learns of the latest attempt, which was sent then and is whole.
    pub fn stream_end(&self, sent: Moment) -> AttemptEnd {
        let attempt = &self.attempt;
        let (Some(first), Some(latest)) = (attempt.first, self.latest) else {
            return AttemptEnd::Whole(sent.elapsed());
        };
        AttemptEnd::Streamed(StreamTiming {
            first: first.saturating_duration_since(sent),
            rest: latest.saturating_duration_since(first),
            parts: attempt.parts,
            pause: attempt.pause,
        })
    }
}
