//! Decides from which scheduler a permit is requested if some do not answer, and how long each is waited for.
//!
//! Inputs: the order of schedulers, those that did not answer recently and since when, those that did not answer this
//! very request. The rule: the first in the order that is responsive and was not tried for this request; else the first
//! responsive one; else the first. A scheduler that did not answer is skipped for `skip_for`. Once a heartbeat of it
//! arrives it is skipped only for [`TIMEOUT_FACTOR`] times the time that was waited for it: frames to it may have been
//! lost until then, but they may still be. A scheduler whose answers are late is waited for longer: [`ANSWER_FACTOR`]
//! times its slowest answer, until no answer has taken more than half the limit for [`PATIENCE_DURATION`].
//!
//! Load pattern: a burst at which the scheduler of a large fleet answers every permit request, some ten milliseconds
//! too late. All daemons skipped it, but sent it every permit request, its withdrawal and the state of what is in
//! flight. That kept it late permanently, while the next daemon refused nearly everything.
//!
//! Owns: when each scheduler timed out, and how long each is waited for. Relies on: the caller for the clock.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{DaemonId, PermitId, Uptime, VmId};

/// A scheduler whose heartbeats arrive is skipped for this many times the time that was waited for it.
const TIMEOUT_FACTOR: u32 = 4;
/// A scheduler is waited for this many times as long as its slowest answer took.
const ANSWER_FACTOR: u32 = 2;
/// Limit of that wait, as a multiple of the wait without late answers.
const PATIENCE_LIMIT: u32 = 10;
/// Time without late answers after which the longer wait ends.
const PATIENCE_DURATION: Duration = Duration::from_secs(5);

/// The longer wait for a scheduler whose answers are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AnswerPatience {
    limit: Duration,
    /// When its latest late answer arrived.
    latest: Uptime,
}

/// The schedulers that did not answer in time, and how long each is waited for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UnresponsiveSchedulers {
    /// Time for which an unresponsive scheduler is skipped.
    skip_for: Duration,
    /// Minimum time for which it is skipped although its heartbeats arrive.
    skip_with_heartbeats_for: Duration,
    /// When each unresponsive scheduler last timed out.
    since: BTreeMap<VmId, Uptime>,
    /// Time for which a scheduler without late answers is waited for.
    limit: Duration,
    /// The first permit request, and when it was sent, that each scheduler has not answered in time.
    unanswered: BTreeMap<VmId, (PermitId, Uptime)>,
    patience: BTreeMap<VmId, AnswerPatience>,
}

impl UnresponsiveSchedulers {
    /// Returns a state without unresponsive schedulers; each gets `tries` permit requests, and is waited for `limit`
    /// each time, before it counts as unresponsive.
    pub fn new(skip_for: Duration, limit: Duration, tries: u32) -> UnresponsiveSchedulers {
        UnresponsiveSchedulers {
            skip_for,
            skip_with_heartbeats_for: limit * tries * TIMEOUT_FACTOR,
            since: BTreeMap::new(),
            limit,
            unanswered: BTreeMap::new(),
            patience: BTreeMap::new(),
        }
    }

    /// Records that a scheduler did not answer a permit request, sent at `sent`, in time.
    pub fn timed_out(&mut self, now: Uptime, scheduler: VmId, permit: PermitId, sent: Uptime) {
        self.unanswered.entry(scheduler.clone()).or_insert((permit, sent));
        self.since.insert(scheduler, now);
    }

    /// Records that a scheduler has answered a permit request, sent at `sent` if that is known.
    pub fn answered(
        &mut self,
        now: Uptime,
        scheduler: &VmId,
        permit: &PermitId,
        sent: Option<Uptime>,
    ) {
        self.since.remove(scheduler);
        let unanswered = self.unanswered.get(scheduler).filter(|(first, _)| first == permit);
        let late = unanswered.map(|(_, sent)| *sent);
        if late.is_some() {
            self.unanswered.remove(scheduler);
        }
        let Some(sent) = late.or(sent) else { return };
        let took = now.saturating_sub(sent);
        if took <= self.limit / ANSWER_FACTOR {
            return;
        }
        let previous =
            self.patience.get(scheduler).map_or(Duration::ZERO, |previous| previous.limit);
        let limit = (took * ANSWER_FACTOR).clamp(self.limit, self.limit * PATIENCE_LIMIT);
        let patience = AnswerPatience { limit: limit.max(previous), latest: now };
        self.patience.insert(scheduler.clone(), patience);
    }

    /// Returns the time for which a scheduler is waited for.
    pub fn answer_limit(&self, scheduler: &VmId) -> Duration {
        self.patience.get(scheduler).map_or(self.limit, |patience| patience.limit)
    }

    /// Records a heartbeat of a daemon.
    pub fn heartbeat_received(&mut self, now: Uptime, vm: &VmId) {
        if self.since.get(vm).is_some_and(|since| now >= *since + self.skip_with_heartbeats_for) {
            self.since.remove(vm);
        }
    }

    /// Advances the clock.
    pub fn tick(&mut self, now: Uptime) {
        let skip_for = self.skip_for;
        self.since.retain(|_, since| now < *since + skip_for);
        self.unanswered.retain(|_, (_, sent)| now < *sent + skip_for);
        self.patience.retain(|_, patience| now < patience.latest + PATIENCE_DURATION);
    }

    /// Returns the scheduler to request a permit from, of candidates best first; those in `tried` did not answer for
    /// this request.
    pub fn choose(&self, now: Uptime, candidates: &[DaemonId], tried: &[VmId]) -> Option<VmId> {
        let responsive = |daemon: &&DaemonId| {
            let since = self.since.get(&daemon.vm);
            since.is_none_or(|since| now >= *since + self.skip_for)
        };
        let responsive_and_untried =
            |daemon: &&DaemonId| responsive(daemon) && !tried.contains(&daemon.vm);
        let best = candidates.iter().find(responsive_and_untried);
        let best = best.or(candidates.iter().find(responsive)).or(candidates.first());
        best.map(|daemon| daemon.vm.clone())
    }
}
