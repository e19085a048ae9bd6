//! A target that names how many requests a second it takes, before daemons that are cut off, die and take over: whatever they
//! believe of each other, those that have heard it send no more together than the users allow.
//!
//! Each daemon has what the product's scheduler knows of the target, and the product's gate. Every one has more callers than the target takes, and asks whom it believes
//! to be first; permits may be used a step after they were granted.

use std::time::Duration;

use curlewcleat_core::{
    LimitNotice, NoticeReport, RequestRate, TargetInstance, TargetNotice, Uptime,
};
use curlewcleat_sched::{RateRole, RateShare, ReceivedNotice, TargetGate, TargetState};

use crate::explore::SpecModel;

/// Daemons of the model.
const DAEMONS: usize = 3;
/// One step of the clock.
const STEP: Duration = Duration::from_secs(1);
/// Steps of the span in which the users count.
const SPAN: usize = 4;
/// Requests a second that the target takes.
const LIMIT: u64 = 4;
/// Requests that the users allow in the span: half as much again, and five.
const ALLOWED: usize = LIMIT as usize * SPAN * 3 / 2 + 5;
/// Turns of the daemons in a step, and requests that the callers of each send in one.
const TURNS: u32 = 10;
const DEMAND: usize = 2;
const TARGET: &str = "t";
/// The part of a daemon that is asked out of turn.
const NO_PART: RateShare = RateShare { reached: 0, all: 1, role: RateRole::Other };

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitFault {
    /// The protocol as it is.
    None,
    /// Each daemon keeps the whole limit for itself.
    WholeLimitEach,
    /// A daemon that is asked out of turn grants as much as the one that is asked first.
    OutOfTurnGrants,
    /// The limit is kept by the daemon that heard it, and told to nobody.
    HeardAndKept,
}

/// The specification with its bounds.
#[derive(Clone, Debug)]
pub struct LimitModel {
    /// Fault put in.
    pub fault: LimitFault,
    /// Cuts and heals.
    pub cuts: u8,
    /// Daemons that die and start again at once.
    pub deaths: u8,
    /// Steps of the clock.
    pub steps: u8,
    /// Daemons whose permits of one step are used in the next.
    pub lates: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LimitDaemon {
    /// What it grants as a scheduler.
    target: TargetState,
    /// The part that it grants.
    part: RateShare,
    /// Daemon that it believes to be cut off from the others, itself perhaps.
    believed_cut: Option<usize>,
    /// Starts of the daemons that it knows, `None` for one that it has not heard of.
    known: [Option<u8>; DAEMONS],
    /// What its requests pass.
    gate: TargetGate,
    /// What the target has told it.
    heard: Option<NoticeReport>,
    /// Permits that it uses in the next step.
    late: usize,
    /// Steps for which it is excused, since it has begun anew.
    excused: u8,
}

/// A state: daemons with what they believe, the true cut, and what reached the target lately.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LimitState {
    now: Uptime,
    steps: u8,
    cuts: u8,
    deaths: u8,
    lates: u8,
    daemons: [LimitDaemon; DAEMONS],
    /// Starts of the daemons.
    starts: [u8; DAEMONS],
    /// Daemon that is cut off.
    cut: Option<usize>,
    /// Requests of daemons that had been told in the latest steps, the newest last.
    arrived: [usize; SPAN],
}

impl LimitDaemon {
    fn new(index: usize, start: u8) -> LimitDaemon {
        let mut known = [None; DAEMONS];
        known[index] = Some(start);
        LimitDaemon {
            target: TargetState::new(TARGET.to_string(), 100),
            part: NO_PART,
            believed_cut: None,
            known,
            gate: TargetGate::default(),
            heard: None,
            late: 0,
            excused: 0,
        }
    }

    /// The daemons that it believes to reach, in the order in which they are asked: those that run longer go first.
    fn order(&self, index: usize) -> Vec<usize> {
        let believed = |other: &usize| {
            *other == index || ![Some(*other), Some(index)].contains(&self.believed_cut)
        };
        let mut order: Vec<usize> =
            (0..DAEMONS).filter(|other| self.known[*other].is_some()).filter(believed).collect();
        order.sort_by_key(|other| (self.known[*other], *other));
        order
    }
}

impl LimitModel {
    fn reaches(state: &LimitState, from: usize, to: usize) -> bool {
        from == to || (state.cut != Some(from) && state.cut != Some(to))
    }

    /// A daemon sees the world as it is: it tells those that it did not count among the schedulers before, and grants its part.
    fn notice(&self, state: &mut LimitState, index: usize) {
        let before = state.daemons[index].known;
        let before_cut = state.daemons[index].believed_cut;
        state.daemons[index].believed_cut = state.cut;
        state.daemons[index].known = state.starts.map(Some);
        for (other, known) in before.into_iter().enumerate() {
            let new = known != Some(state.starts[other]) || before_cut.is_some();
            if new {
                self.tell(state, index, other);
            }
        }
        self.renew_part(state, index);
    }

    /// What a daemon has heard reaches another one.
    fn tell(&self, state: &mut LimitState, from: usize, to: usize) {
        let kept = self.fault == LimitFault::HeardAndKept && from != to;
        let heard = state.daemons[from].heard.clone();
        let Some(report) = heard.filter(|_| LimitModel::reaches(state, from, to) && !kept) else {
            return;
        };
        let (now, part) = (state.now, state.daemons[to].part);
        state.daemons[to].target.apply_notice_report(now, &from.to_string(), &report, part);
    }

    fn renew_part(&self, state: &mut LimitState, index: usize) {
        let order = state.daemons[index].order(index);
        let leads = order.first() == Some(&index);
        let part = if self.fault == LimitFault::WholeLimitEach {
            RateShare { reached: 1, all: 1, role: RateRole::Leader }
        } else if leads || self.fault == LimitFault::OutOfTurnGrants {
            RateShare { reached: order.len(), all: DAEMONS, role: RateRole::Leader }
        } else {
            NO_PART
        };
        let now = state.now;
        let daemon = &mut state.daemons[index];
        if daemon.part != part {
            daemon.part = part;
            daemon.target.update_rate_share(now, part);
        }
    }

    /// A second of callers at all daemons; `late` uses its permits in the next.
    fn pass_second(&self, state: &mut LimitState, late: Option<usize>) {
        state.steps += 1;
        state.arrived.rotate_left(1);
        state.arrived[SPAN - 1] = 0;
        for entry in 0..DAEMONS {
            let held = std::mem::take(&mut state.daemons[entry].late);
            self.arrive(state, entry, held);
        }
        for _ in 0..TURNS {
            state.now += STEP / TURNS;
            for entry in 0..DAEMONS {
                let granted = self.ask(state, entry);
                match late == Some(entry) {
                    true => state.daemons[entry].late += granted,
                    false => self.arrive(state, entry, granted),
                }
            }
        }
        for daemon in &mut state.daemons {
            daemon.excused = daemon.excused.saturating_sub(1);
        }
    }

    /// Requests of a daemon pass its gate and reach the target, whose answers tell it of the limit, and it the others.
    fn arrive(&self, state: &mut LimitState, entry: usize, granted: usize) {
        let now = state.now;
        for _ in 0..granted {
            let daemon = &mut state.daemons[entry];
            if daemon.gate.pass(now, &instance()).is_some() {
                return;
            }
            if daemon.heard.is_some() && daemon.excused == 0 {
                state.arrived[SPAN - 1] += 1;
            }
            let news = daemon.gate.apply_notice(
                now,
                &instance(),
                &ReceivedNotice { sent: now, notice: notice() },
            );
            daemon.heard = Some(news.report);
            if news.send_report {
                (0..DAEMONS).for_each(|other| self.tell(state, entry, other));
            }
        }
    }

    /// Permits that the callers of a daemon get in this turn. One that does not answer is passed over.
    fn ask(&self, state: &mut LimitState, entry: usize) -> usize {
        let order = state.daemons[entry].order(entry);
        let reached = order.iter().find(|other| LimitModel::reaches(state, entry, **other));
        let asked = reached.copied().unwrap_or(entry);
        let now = state.now;
        let target = &mut state.daemons[asked].target;
        let mut granted = 0;
        while granted < DEMAND && target.has_capacity(true, 0, now) {
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
            cuts: 0,
            deaths: 0,
            lates: 0,
            daemons: [0, 1, 2].map(|index| LimitDaemon::new(index, 0)),
            starts: [0; DAEMONS],
            cut: None,
            arrived: [0; SPAN],
        };
        // Every daemon has heard the limit, and knows the others.
        for daemon in &mut state.daemons {
            let heard = ReceivedNotice { sent: STEP, notice: notice() };
            daemon.heard = Some(daemon.gate.apply_notice(STEP, &instance(), &heard).report);
        }
        (0..DAEMONS).for_each(|index| self.notice(&mut state, index));
        (0..DAEMONS).for_each(|index| self.tell(&mut state, index, index));
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
            for late in (0..DAEMONS).filter(|_| state.lates < self.lates) {
                add(format!("a second passes, permits of {late} are used late"), &|after| {
                    after.lates += 1;
                    self.pass_second(after, Some(late));
                });
            }
        }
        for index in 0..DAEMONS {
            let daemon = &state.daemons[index];
            if daemon.believed_cut != state.cut || daemon.known != state.starts.map(Some) {
                add(format!("{index} notices"), &|after| self.notice(after, index));
            }
            if state.cuts < self.cuts && state.cut.is_none() {
                add(format!("{index} is cut off"), &|after| {
                    after.cuts += 1;
                    after.cut = Some(index);
                });
            }
            if state.deaths < self.deaths {
                add(format!("{index} starts again"), &|after| {
                    after.deaths += 1;
                    after.starts[index] = after.deaths;
                    after.daemons[index] = LimitDaemon::new(index, after.deaths);
                    after.daemons[index].excused = SPAN as u8;
                });
            }
        }
        if state.cuts < self.cuts && state.cut.is_some() {
            add("the cut heals".to_string(), &|after| {
                after.cuts += 1;
                after.cut = None;
            });
        }
        next
    }

    fn violation(&self, state: &LimitState) -> Option<String> {
        let arrived: usize = state.arrived.iter().sum();
        (arrived > ALLOWED).then(|| "more requests reached the target than it takes".to_string())
    }
}

fn notice() -> TargetNotice {
    let rate = RequestRate(LIMIT * RequestRate::ONE_PER_SECOND);
    TargetNotice { limit: LimitNotice::Stated(rate), ..TargetNotice::default() }
}

fn instance() -> TargetInstance {
    TargetInstance { id: TARGET.to_string(), start: None }
}
