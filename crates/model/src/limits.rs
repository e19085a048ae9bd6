//! Model of a target that reports a limit of requests per second to daemons that may be partitioned, may restart and
//! may take over from each other. Whatever their views of each other, the daemons that know the limit send no more
//! requests together than the users allow.
//!
//! Each daemon has the product's scheduler state of the target, and the product's gate. Every daemon has more callers
//! than the target accepts, and requests permits from the daemon that it believes to be first. Permits may be used one
//! step after they were granted.

use std::time::Duration;

use curlewcleat_core::{
    LimitNotice, NoticeReport, RequestRate, TargetEntry, TargetInstance, TargetNotice, Uptime,
};
use curlewcleat_sched::{RateRole, RateShare, ReceivedNotice, TargetGate, TargetState};

use crate::explore::SpecModel;

/// Number of daemons.
const DAEMONS: usize = 3;
/// Duration of one step of the clock.
const STEP: Duration = Duration::from_secs(1);
/// Number of steps in the window for which the users state their bound.
const WINDOW: usize = 4;
/// Requests per second that the target accepts.
const LIMIT: u64 = 4;
/// Requests that the users allow in the window: one and a half times the limit, plus five.
const ALLOWED: usize = LIMIT as usize * WINDOW * 3 / 2 + 5;
/// Rounds in a step, and permits that each daemon requests in a round.
const ROUNDS: u32 = 10;
const PERMITS_PER_ROUND: usize = 2;
const TARGET: &str = "t";
/// Share of a daemon that isn't the leader.
const NO_SHARE: RateShare = RateShare { reached: 0, all: 1, role: RateRole::Other };

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitFault {
    /// No fault.
    None,
    /// Each daemon grants the whole limit.
    WholeLimitEach,
    /// A daemon that isn't the leader grants as much as the leader.
    NonLeaderGrants,
    /// The daemon that receives the limit doesn't report it to the other daemons.
    LimitNotReported,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct LimitModel {
    /// Injected fault.
    pub fault: LimitFault,
    /// Number of times that a partition begins or ends.
    pub partition_changes: u8,
    /// Number of daemon restarts.
    pub restarts: u8,
    /// Number of clock steps.
    pub steps: u8,
    /// Number of times that a daemon uses its permits of one step in the next step.
    pub late_uses: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LimitDaemon {
    /// State of the target, by which it grants permits as a scheduler.
    target: TargetState,
    /// Share of the limit that it grants.
    rate_share: RateShare,
    /// Daemon that it believes to be partitioned from the others, possibly itself.
    believed_partitioned: Option<usize>,
    /// Start numbers of the daemons in its view, `None` for a daemon that it doesn't know.
    known: [Option<u8>; DAEMONS],
    /// Gate that its requests pass before they are sent to the target.
    gate: TargetGate,
    /// Notice that it has received from the target.
    report: Option<NoticeReport>,
    /// Number of permits that it uses in the next step.
    late_permits: usize,
    /// Number of steps after a restart in which its requests aren't counted.
    uncounted_steps: u8,
}

/// State of the daemons and their views, the actual partition, and the requests that reached the target recently.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LimitState {
    now: Uptime,
    steps: u8,
    partition_changes: u8,
    restarts: u8,
    late_uses: u8,
    daemons: [LimitDaemon; DAEMONS],
    /// Current start number of each daemon.
    starts: [u8; DAEMONS],
    /// Daemon that is partitioned from the others.
    partitioned: Option<usize>,
    /// Counted requests of daemons that know the limit, per step of the window, the newest last.
    sent: [usize; WINDOW],
}

impl LimitDaemon {
    fn new(index: usize, start: u8) -> LimitDaemon {
        let mut known = [None; DAEMONS];
        known[index] = Some(start);
        LimitDaemon {
            target: TargetState::new(TARGET.to_string(), 100),
            rate_share: NO_SHARE,
            believed_partitioned: None,
            known,
            gate: TargetGate::default(),
            report: None,
            late_permits: 0,
            uncounted_steps: 0,
        }
    }

    /// Returns the daemons that it believes it reaches, in the order of preference: those that run longer come first.
    fn preference_order(&self, index: usize) -> Vec<usize> {
        let is_believed_reachable = |other: &usize| {
            *other == index || ![Some(*other), Some(index)].contains(&self.believed_partitioned)
        };
        let mut order: Vec<usize> = (0..DAEMONS)
            .filter(|other| self.known[*other].is_some())
            .filter(is_believed_reachable)
            .collect();
        order.sort_by_key(|other| (self.known[*other], *other));
        order
    }
}

impl LimitModel {
    fn reaches(state: &LimitState, from: usize, to: usize) -> bool {
        from == to || (state.partitioned != Some(from) && state.partitioned != Some(to))
    }

    /// Updates a daemon's view to the actual state. The daemon reports its notice to the daemons that were not among
    /// the schedulers in its previous view, and updates its share.
    fn update_view(&self, state: &mut LimitState, index: usize) {
        let known_before = state.daemons[index].known;
        let partitioned_before = state.daemons[index].believed_partitioned;
        state.daemons[index].believed_partitioned = state.partitioned;
        state.daemons[index].known = state.starts.map(Some);
        for (other, start) in known_before.into_iter().enumerate() {
            let is_new = start != Some(state.starts[other]) || partitioned_before.is_some();
            if is_new {
                self.deliver_report(state, index, other);
            }
        }
        self.update_share(state, index);
    }

    /// Delivers the notice that a daemon has received to another daemon, if that one is reachable.
    fn deliver_report(&self, state: &mut LimitState, from: usize, to: usize) {
        let withheld = self.fault == LimitFault::LimitNotReported && from != to;
        let report = state.daemons[from].report.clone();
        let Some(report) = report.filter(|_| LimitModel::reaches(state, from, to) && !withheld)
        else {
            return;
        };
        let (now, rate_share) = (state.now, state.daemons[to].rate_share);
        state.daemons[to].target.apply_notice_report(now, &from.to_string(), &report, rate_share);
    }

    /// Sets the share that follows from a daemon's view.
    fn update_share(&self, state: &mut LimitState, index: usize) {
        let order = state.daemons[index].preference_order(index);
        let is_leader = order.first() == Some(&index);
        let rate_share = if self.fault == LimitFault::WholeLimitEach {
            RateShare { reached: 1, all: 1, role: RateRole::Leader }
        } else if is_leader || self.fault == LimitFault::NonLeaderGrants {
            RateShare { reached: order.len(), all: DAEMONS, role: RateRole::Leader }
        } else {
            NO_SHARE
        };
        let now = state.now;
        let daemon = &mut state.daemons[index];
        if daemon.rate_share != rate_share {
            daemon.rate_share = rate_share;
            daemon.target.update_rate_share(now, rate_share);
        }
    }

    /// Advances the clock by a second, in which all daemons have callers. The daemon `late` uses its permits in the
    /// next second.
    fn pass_second(&self, state: &mut LimitState, late: Option<usize>) {
        state.steps += 1;
        state.sent.rotate_left(1);
        state.sent[WINDOW - 1] = 0;
        for index in 0..DAEMONS {
            let held = std::mem::take(&mut state.daemons[index].late_permits);
            self.send_requests(state, index, held);
        }
        for _ in 0..ROUNDS {
            state.now += STEP / ROUNDS;
            for index in 0..DAEMONS {
                let granted = self.request_permits(state, index);
                match late == Some(index) {
                    true => state.daemons[index].late_permits += granted,
                    false => self.send_requests(state, index, granted),
                }
            }
        }
        for daemon in &mut state.daemons {
            daemon.uncounted_steps = daemon.uncounted_steps.saturating_sub(1);
        }
    }

    /// Sends a daemon's requests through its gate to the target. The target's answers report the limit to the daemon,
    /// which reports it to the other daemons.
    fn send_requests(&self, state: &mut LimitState, sender: usize, granted: usize) {
        let now = state.now;
        for _ in 0..granted {
            let daemon = &mut state.daemons[sender];
            if daemon.gate.pass(now, &target()).is_some() {
                return;
            }
            if daemon.report.is_some() && daemon.uncounted_steps == 0 {
                state.sent[WINDOW - 1] += 1;
            }
            let change = daemon.gate.apply_notice(
                now,
                &instance(),
                &ReceivedNotice { sent: now, notice: notice() },
            );
            daemon.report = Some(change.report);
            if change.send_report {
                (0..DAEMONS).for_each(|other| self.deliver_report(state, sender, other));
            }
        }
    }

    /// Returns the number of permits that a daemon gets in one round. It skips daemons that don't answer.
    fn request_permits(&self, state: &mut LimitState, requester: usize) -> usize {
        let order = state.daemons[requester].preference_order(requester);
        let reached = order.iter().find(|other| LimitModel::reaches(state, requester, **other));
        let scheduler = reached.copied().unwrap_or(requester);
        let now = state.now;
        let target = &mut state.daemons[scheduler].target;
        let mut granted = 0;
        while granted < PERMITS_PER_ROUND && target.has_capacity(true, 0, now) {
            target.request_sent(now);
            granted += 1;
        }
        granted
    }
}

impl SpecModel for LimitModel {
    type State = LimitState;

    fn initial(&self) -> LimitState {
        let mut state = LimitState {
            now: STEP,
            steps: 0,
            partition_changes: 0,
            restarts: 0,
            late_uses: 0,
            daemons: [0, 1, 2].map(|index| LimitDaemon::new(index, 0)),
            starts: [0; DAEMONS],
            partitioned: None,
            sent: [0; WINDOW],
        };
        // Every daemon has received the limit and knows the others.
        for daemon in &mut state.daemons {
            let received = ReceivedNotice { sent: STEP, notice: notice() };
            daemon.report = Some(daemon.gate.apply_notice(STEP, &instance(), &received).report);
        }
        (0..DAEMONS).for_each(|index| self.update_view(&mut state, index));
        (0..DAEMONS).for_each(|index| self.deliver_report(&mut state, index, index));
        state
    }

    fn successors(&self, state: &LimitState) -> Vec<(String, LimitState)> {
        let mut next = Vec::new();
        let mut add = |name: String, change: &dyn Fn(&mut LimitState)| {
            let mut after = state.clone();
            change(&mut after);
            next.push((name, after));
        };
        if state.steps < self.steps {
            add("a second passes".to_string(), &|after| self.pass_second(after, None));
            for late in (0..DAEMONS).filter(|_| state.late_uses < self.late_uses) {
                add(format!("a second passes, permits of daemon {late} are used late"), &|after| {
                    after.late_uses += 1;
                    self.pass_second(after, Some(late));
                });
            }
        }
        for index in 0..DAEMONS {
            let daemon = &state.daemons[index];
            if daemon.believed_partitioned != state.partitioned
                || daemon.known != state.starts.map(Some)
            {
                add(format!("daemon {index} updates its view"), &|after| {
                    self.update_view(after, index)
                });
            }
            if state.partition_changes < self.partition_changes && state.partitioned.is_none() {
                add(format!("daemon {index} is partitioned"), &|after| {
                    after.partition_changes += 1;
                    after.partitioned = Some(index);
                });
            }
            if state.restarts < self.restarts {
                add(format!("daemon {index} restarts"), &|after| {
                    after.restarts += 1;
                    after.starts[index] = after.restarts;
                    after.daemons[index] = LimitDaemon::new(index, after.restarts);
                    after.daemons[index].uncounted_steps = WINDOW as u8;
                });
            }
        }
        if state.partition_changes < self.partition_changes && state.partitioned.is_some() {
            add("the partition ends".to_string(), &|after| {
                after.partition_changes += 1;
                after.partitioned = None;
            });
        }
        next
    }

    fn violation(&self, state: &LimitState) -> Option<String> {
        let sent_in_window: usize = state.sent.iter().sum();
        (sent_in_window > ALLOWED)
            .then(|| "more requests reached the target than the users allow".to_string())
    }
}

fn notice() -> TargetNotice {
    let rate = RequestRate(LIMIT * RequestRate::ONE_PER_SECOND);
    TargetNotice { limit: LimitNotice::Stated(rate), ..TargetNotice::default() }
}

/// Returns the list entry of the only target.
fn target() -> TargetEntry {
    let TargetInstance { id, start } = instance();
    TargetEntry { id, start, ..TargetEntry::default() }
}

fn instance() -> TargetInstance {
    TargetInstance { id: TARGET.to_string(), start: None }
}
