//! What the targets have said to this daemon.
//!
//! Owns: the word of each life of a target that has answered here. Relies on: [`TargetWord`] for the rule.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{NoticeReport, TargetLife, Uptime};

use crate::placement::notice::{HeardNotice, TargetWord};

/// Time for which the word of a life is kept of which nothing is heard.
const KEEP: Duration = Duration::from_secs(3_600);

/// What is kept of one life.
#[derive(Clone, Debug, Default)]
struct GateRecord {
    word: TargetWord,
    /// When it was heard of last.
    heard: Uptime,
    /// Whether the operators know that it says what cannot be read.
    noted_unreadable: bool,
}

/// What a head has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticeNews {
    /// What the life says now.
    pub report: NoticeReport,
    /// Whether that differs from before.
    pub changed: bool,
    /// Whether it said something that cannot be read, for the first time.
    pub unreadable: bool,
}

/// What the targets have said to this daemon.
#[derive(Clone, Debug, Default)]
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
        let unreadable =
            heard.notice.unreadable && !std::mem::replace(&mut record.noted_unreadable, true);
        NoticeNews { report: record.word.report(now, life), changed, unreadable }
    }
}
