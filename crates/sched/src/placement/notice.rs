//! What does a target say of itself now?
//!
//! Inputs: what the heads of its answers say ([`TargetNotice`]), each with when its request was sent and when it came, and
//! what other daemons report of theirs.
//!
//! The rule, for one life of a target (a new start has said nothing):
//! - *Leaving* counts for good.
//! - *A rest* counts until its end, for the daemon that was asked for it; a later one never shortens it.
//! - *A limit* counts from the head that names it until a head names none whose request was sent after that, so that an
//!   answer that was overtaken ends nothing. It does not lapse by itself: a target whose limit is nearly zero is tried
//!   out by what [`pacing`](super::pacing) lets pass. One that cannot be read neither begins nor ends a limit.
//!
//! Owns: the word of one life. Relies on: clocks that count a suspension.

use std::time::Duration;

use curlewcleat_core::{
    LimitNotice, LimitReport, NoticeReport, RequestRate, TargetLife, TargetNotice, Uptime,
};

/// Time for which others are told again that a limit has ended.
const ENDED_TOLD: Duration = Duration::from_secs(30);

/// A limit, or that there is none any more, and since when that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LimitWord {
    rate: Option<RequestRate>,
    at: Uptime,
}

/// What one life of a target says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TargetWord {
    leaving: bool,
    rest_until: Option<Uptime>,
    limit: Option<LimitWord>,
}

/// A head of an answer that came now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardNotice {
    /// When its request was sent.
    pub sent: Uptime,
    /// What it says.
    pub notice: TargetNotice,
}

impl TargetWord {
    /// Takes a head in; whether something else is believed now.
    pub fn heard(&mut self, now: Uptime, heard: &HeardNotice) -> bool {
        let before = self.clone();
        self.leaving |= heard.notice.leaving;
        let rest_until = heard.notice.rest.map(|rest| now + rest);
        self.rest_until = self.rest_until.max(rest_until);
        match heard.notice.limit {
            LimitNotice::Named(rate) => self.limit = Some(LimitWord { rate: Some(rate), at: now }),
            LimitNotice::Absent => self.end_limit(heard.sent),
            LimitNotice::Unreadable => {}
        }
        self.differs(&before)
    }

    /// Takes in what a daemon reports; its rest is that of the daemon alone and is left out.
    pub fn merge(&mut self, now: Uptime, report: &NoticeReport) {
        self.leaving |= report.leaving;
        if let Some(LimitReport { rate, age }) = report.limit {
            let at = now.saturating_sub(age);
            match rate {
                Some(_) if self.limit.is_none_or(|known| known.at <= at) => {
                    self.limit = Some(LimitWord { rate, at });
                }
                Some(_) => {}
                None => self.end_limit(at),
            }
        }
    }

    /// The limit is named no longer by an answer to a request of then.
    fn end_limit(&mut self, sent: Uptime) {
        if let Some(limit) = self.limit.as_mut().filter(|limit| limit.at < sent) {
            *limit = LimitWord { rate: None, at: sent };
        }
    }

    /// Whether what is believed differs, not only since when.
    fn differs(&self, before: &TargetWord) -> bool {
        let told = |word: &TargetWord| (word.leaving, word.rest_until, word.rate());
        told(self) != told(before)
    }

    /// Whether the target leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Until when it wants nothing, `None` where it has not said so.
    pub fn rest_until(&self) -> Option<Uptime> {
        self.rest_until
    }

    /// The requests a second that it takes, `None` for any number.
    pub fn rate(&self) -> Option<RequestRate> {
        self.limit.and_then(|limit| limit.rate)
    }

    /// Whether others may still believe something else, where a report was lost.
    pub fn is_worth_telling(&self, now: Uptime) -> bool {
        let limited = |limit: LimitWord| limit.rate.is_some() || now < limit.at + ENDED_TOLD;
        self.leaving || self.limit.is_some_and(limited)
    }

    /// What there is to tell others.
    pub fn report(&self, now: Uptime, life: &TargetLife) -> NoticeReport {
        NoticeReport {
            life: life.clone(),
            leaving: self.leaving,
            rest: self
                .rest_until
                .map(|until| until.saturating_sub(now))
                .filter(|rest| !rest.is_zero()),
            limit: self
                .limit
                .map(|limit| LimitReport { rate: limit.rate, age: now.saturating_sub(limit.at) }),
        }
    }
}
