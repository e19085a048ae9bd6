//! May a request go to its target, by what the target has said to this daemon?
//!
//! Inputs: the heads of the answers that came here. The rule: asked after the last wait and before the first byte, whoever
//! granted the target and however long ago, the gate stops what the target's own word excludes. A target that limits its
//! rate gets no more than the whole limit from this daemon alone; that all daemons together send no more is the
//! scheduler's part ([`pacing`](crate::placement::pacing)).
//!
//! Owns: the word of each life of a target that has answered here. Relies on: [`TargetWord`] for what counts.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{NoticeReport, TargetLife, Uptime};

use crate::placement::notice::{HeardNotice, TargetWord};
use crate::placement::pacing::SendPace;

/// Requests beyond the scheduler's burst that may arrive at once: grants bunch on their way.
const SPARE: u64 = 1;
/// Least time between two reports of the same word.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// Time for which the word of a life is kept of which nothing is heard.
const KEEP: Duration = Duration::from_secs(3_600);

/// What is kept of one life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct GateRecord {
    word: TargetWord,
    /// When it was heard of last.
    heard: Uptime,
    /// Whether the operators know that it says what cannot be read.
    noted_unreadable: bool,
    /// What has gone there since it named a limit.
    pace: Option<SendPace>,
    /// When others were told of it last.
    told: Option<Uptime>,
}

/// Why the gate stops a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateStop {
    /// The target leaves.
    Leaving,
    /// It wants nothing from this daemon now.
    Resting,
    /// As many have gone there as the target takes.
    Limited,
}

/// What a head has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticeNews {
    /// What the life says now.
    pub report: NoticeReport,
    /// Whether that differs from before.
    pub changed: bool,
    /// Whether others are to be told.
    pub tell: bool,
    /// Whether it said something that cannot be read, for the first time.
    pub unreadable: bool,
}

/// What the targets have said to this daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TargetGate {
    lives: BTreeMap<TargetLife, GateRecord>,
}

impl TargetGate {
    /// Takes the head of an answer in that came now.
    pub fn heard(&mut self, now: Uptime, life: &TargetLife, heard: &HeardNotice) -> NoticeNews {
        if !self.lives.contains_key(life) {
            self.lives.retain(|_, record| now < record.heard + KEEP);
        }
        let record = self.lives.entry(life.clone()).or_default();
        record.heard = now;
        let changed = record.word.heard(now, heard);
        record.pace = record
            .word
            .rate()
            .map(|_| record.pace.take().unwrap_or_else(|| SendPace::begin(now, SPARE)));
        let due = record.told.is_none_or(|told| now >= told + TELL_EVERY);
        let tell = changed || due && record.word.is_worth_telling(now);
        if tell {
            record.told = Some(now);
        }
        let unreadable =
            heard.notice.unreadable && !std::mem::replace(&mut record.noted_unreadable, true);
        NoticeNews { report: record.word.report(now, life), changed, tell, unreadable }
    }

    /// What would stop a request now.
    pub fn stop(&mut self, now: Uptime, life: &TargetLife) -> Option<GateStop> {
        let record = self.lives.get_mut(life)?;
        if record.word.is_leaving() {
            return Some(GateStop::Leaving);
        }
        if record.word.rest_until().is_some_and(|until| now < until) {
            return Some(GateStop::Resting);
        }
        let limit = record.word.rate().zip(record.pace.as_ref());
        match limit {
            Some((rate, pace)) if !pace.admits(now, rate) => {
                // Whoever grants so much does not know the limit, and hears of it with the next answer.
                record.told = None;
                Some(GateStop::Limited)
            }
            _ => None,
        }
    }

    /// Lets a request pass that is sent now, or says what stops it.
    pub fn pass(&mut self, now: Uptime, life: &TargetLife) -> Option<GateStop> {
        if let Some(stop) = self.stop(now, life) {
            return Some(stop);
        }
        let record = self.lives.get_mut(life)?;
        if let Some((rate, pace)) = record.word.rate().zip(record.pace.as_mut()) {
            pace.sent(now, rate);
        }
        None
    }
}
