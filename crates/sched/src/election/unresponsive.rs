//! Which scheduler is asked, where some do not answer?
//!
//! Inputs: the order of schedulers, those that did not answer lately and since when, those that did not
//! answer this very request. The rule: the first in the order that answered lately and was not asked
//! for this request; else the first that answered lately; else the first. One that did not answer is
//! passed over for `pass_over_for`, or, once a heartbeat of it arrives, for [`TIMEOUT_FACTOR`] times
//! the time that was waited for it: it may not have answered because nothing had reached it yet, but it
//! may be that nothing reaches it still. One whose answers come late is waited for longer, [`ANSWER_FACTOR`] times what
//! the slowest of them took, until none has taken more than half the limit for [`PATIENT_FOR`].
//!
//! Load pattern: a burst at which the scheduler of a large fleet answers each ask, some ten milliseconds too late. Passed
//! over by all, it was sent each ask, its withdrawal and the state of what is in flight, which kept it late
//! for good, while the next daemon refused nearly everything.
//!
//! Owns: when each scheduler timed out, and how long each is waited for. Relies on: its user for the clock.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{DaemonId, PermitId, Uptime, VmId};

/// A scheduler of which a heartbeat arrives is passed over for this many times the time that was waited for it.
const TIMEOUT_FACTOR: u32 = 4;
/// A scheduler is waited for this many times what its slowest answer took.
const ANSWER_FACTOR: u32 = 2;
/// It is waited for at most this many times as long as without late answers.
const PATIENCE_LIMIT: u32 = 10;
/// Time without late answers after which a scheduler is waited for as before.
const PATIENT_FOR: Duration = Duration::from_secs(5);

/// How long a scheduler is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AnswerPatience {
    limit: Duration,
    /// When its latest late answer came.
    latest: Uptime,
}

/// Schedulers that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UnresponsiveSchedulers {
    /// Time for which one is passed over.
    pass_over_for: Duration,
    /// The same at least, where heartbeats of it arrive.
    at_least: Duration,
    since: BTreeMap<VmId, Uptime>,
    /// Time for which one is waited for whose answers come in time.
    limit: Duration,
    /// The latest ask that each of them did not answer in time.
    unanswered: BTreeMap<VmId, (PermitId, Uptime)>,
    patience: BTreeMap<VmId, AnswerPatience>,
}

impl UnresponsiveSchedulers {
    /// No scheduler is unresponsive yet; each is asked `tries` times, and waited for `limit` each time, before it becomes so.
    pub fn new(pass_over_for: Duration, limit: Duration, tries: u32) -> UnresponsiveSchedulers {
        UnresponsiveSchedulers {
            pass_over_for,
            at_least: limit * tries * TIMEOUT_FACTOR,
            since: BTreeMap::new(),
            limit,
            unanswered: BTreeMap::new(),
            patience: BTreeMap::new(),
        }
    }

    /// A scheduler did not answer an ask in time that was sent then.
    pub fn timed_out(&mut self, now: Uptime, scheduler: VmId, permit: PermitId, sent: Uptime) {
        self.unanswered.entry(scheduler.clone()).or_insert((permit, sent));
        self.since.insert(scheduler, now);
    }

    /// A scheduler has answered an ask, sent then where it is known.
    pub fn answered(
        &mut self,
        now: Uptime,
        scheduler: &VmId,
        permit: &PermitId,
        sent: Option<Uptime>,
    ) {
        self.since.remove(scheduler);
        let unanswered = self.unanswered.get(scheduler).filter(|(asked, _)| asked == permit);
        let late = unanswered.map(|(_, sent)| *sent);
        if late.is_some() {
            self.unanswered.remove(scheduler);
        }
        let Some(sent) = late.or(sent) else { return };
        let took = now.saturating_sub(sent);
        if took <= self.limit / ANSWER_FACTOR {
            return;
        }
        let known = self.patience.get(scheduler).map_or(Duration::ZERO, |known| known.limit);
        let limit = (took * ANSWER_FACTOR).clamp(self.limit, self.limit * PATIENCE_LIMIT);
        let patience = AnswerPatience { limit: limit.max(known), latest: now };
        self.patience.insert(scheduler.clone(), patience);
    }

    /// Time for which a scheduler is waited for.
    pub fn answer_limit(&self, scheduler: &VmId) -> Duration {
        self.patience.get(scheduler).map_or(self.limit, |patience| patience.limit)
    }

    /// A heartbeat of a daemon has arrived.
    pub fn heartbeat_received(&mut self, now: Uptime, vm: &VmId) {
        if self.since.get(vm).is_some_and(|since| now >= *since + self.at_least) {
            self.since.remove(vm);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Uptime) {
        let pass_over_for = self.pass_over_for;
        self.since.retain(|_, since| now < *since + pass_over_for);
        self.unanswered.retain(|_, (_, sent)| now < *sent + pass_over_for);
        self.patience.retain(|_, patience| now < patience.latest + PATIENT_FOR);
    }

    /// The scheduler to ask, of candidates best first; `asked` did not answer for this request.
    pub fn choose(&self, now: Uptime, candidates: &[DaemonId], asked: &[VmId]) -> Option<VmId> {
        let responsive = |daemon: &&DaemonId| {
            let since = self.since.get(&daemon.vm);
            since.is_none_or(|since| now >= *since + self.pass_over_for)
        };
        let fresh = |daemon: &&DaemonId| responsive(daemon) && !asked.contains(&daemon.vm);
        let best = candidates.iter().find(fresh);
        let best = best.or(candidates.iter().find(responsive)).or(candidates.first());
        best.map(|daemon| daemon.vm.clone())
    }
}
