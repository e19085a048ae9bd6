//! Account rates over daemons that are cut off, die and take over: whatever they believe of each other,
//! together they give out no more in a window than the rate, one burst, the margin of the leader, the
//! reserve of its deputy, and what the daemons that do not yet know of a cut may give out meanwhile.

use std::time::Duration;

use curlewcleat_core::{RateUnit, SharedRate, Uptime};
use curlewcleat_sched::{AccountRates, RateMargin, RateRole, RateShare};

use crate::explore::SpecModel;

/// Daemons of the model.
const DAEMONS: usize = 3;
/// One step of the clock.
const STEP: Duration = Duration::from_secs(1);
/// Steps of a window.
const WINDOW: usize = 4;
/// Steps after a change in which every daemon has noticed it.
const NOTICE_STEPS: u8 = 1;
const RATE: SharedRate = SharedRate { per_s: 6, burst: 30, unit: RateUnit::Request };

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateFault {
    /// The protocol as it is.
    None,
    /// A daemon that takes over has its own burst saved.
    SavedBurst,
    /// A daemon that is cut off gives out the whole rate.
    WholeRateAlone,
    /// A daemon that is asked out of turn has its part of the burst saved.
    BurstOutOfTurn,
    /// A deputy has its reserve at once, whoever had one before.
    ReserveAtOnce,
}

/// The specification with its bounds.
#[derive(Clone, Debug)]
pub struct RateModel {
    /// Fault put in.
    pub fault: RateFault,
    /// Cuts and heals.
    pub cuts: u8,
    /// Daemons that die and start again at once.
    pub deaths: u8,
    /// Steps of the clock.
    pub steps: u8,
    /// Units by which the leader goes beyond the rate, and its deputy as well.
    pub margin: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RateDaemon {
    rates: AccountRates,
    /// Daemon that it believes to be cut off from the others, itself perhaps.
    believed_cut: Option<usize>,
    /// Whether it has heard of the others since it began.
    knows: bool,
    role: RateRole,
}

/// A state: daemons with what they believe, the true cut, and what was given out lately.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RateState {
    now: Uptime,
    steps: u8,
    cuts: u8,
    deaths: u8,
    daemons: [RateDaemon; DAEMONS],
    /// Daemon that is cut off.
    cut: Option<usize>,
    /// Steps since the latest change that somebody may not have noticed.
    unnoticed: u8,
    /// Units given out in the latest steps, the newest last.
    given: [u64; WINDOW],
    /// Changes within the window, for the bound.
    changes: [u8; WINDOW],
}

impl RateModel {
    /// Whether a daemon reaches another one.
    fn reaches(state: &RateState, from: usize, to: usize) -> bool {
        from == to || (state.cut != Some(from) && state.cut != Some(to))
    }

    /// Daemons that one believes to reach, itself among them.
    fn believed(daemon: &RateDaemon, index: usize) -> Vec<usize> {
        if !daemon.knows || daemon.believed_cut == Some(index) {
            return vec![index];
        }
        (0..DAEMONS).filter(|other| daemon.believed_cut != Some(*other)).collect()
    }

    /// A daemon sees the world as it is; one that begins to lead begins with nothing saved.
    fn notice(&self, state: &mut RateState, index: usize) {
        let cut = state.cut;
        let now = state.now;
        let daemon = &mut state.daemons[index];
        daemon.believed_cut = cut;
        daemon.knows = true;
        let role = RateModel::role(daemon, index);
        if role != daemon.role {
            let forgets = match role {
                RateRole::Leader => self.fault != RateFault::SavedBurst,
                RateRole::Deputy => self.fault != RateFault::ReserveAtOnce,
                RateRole::Other => false,
            };
            if forgets {
                daemon.rates.restart(now);
            }
        }
        daemon.role = role;
    }

    fn no_rates(&self) -> AccountRates {
        let window = STEP * WINDOW as u32;
        AccountRates::new(RateMargin { percent: 0, units: self.margin, window })
    }

    /// Whose turn it is, as a daemon believes.
    fn role(daemon: &RateDaemon, index: usize) -> RateRole {
        let order = RateModel::believed(daemon, index);
        match order.iter().position(|other| *other == index) {
            Some(0) => RateRole::Leader,
            Some(1) => RateRole::Deputy,
            _ => RateRole::Other,
        }
    }

    /// Every daemon has more callers than it may serve, and asks whom it believes to lead. One that does
    /// not answer is passed over, in the end for the daemon itself.
    fn demand(&self, state: &mut RateState) -> u64 {
        let mut given = 0;
        for entry in 0..DAEMONS {
            let order = RateModel::believed(&state.daemons[entry], entry);
            let reached = order.iter().find(|other| RateModel::reaches(state, entry, **other));
            let scheduler = reached.copied().unwrap_or(entry);
            given += self.drain(state, scheduler);
        }
        given
    }

    fn drain(&self, state: &mut RateState, index: usize) -> u64 {
        let now = state.now;
        let daemon = &mut state.daemons[index];
        let mut reached = match daemon.role {
            RateRole::Leader => RateModel::believed(daemon, index).len(),
            RateRole::Deputy | RateRole::Other => 1,
        };
        if self.fault == RateFault::WholeRateAlone {
            reached = DAEMONS;
        }
        let role = match self.fault {
            RateFault::BurstOutOfTurn => RateRole::Leader,
            _ => daemon.role,
        };
        let part = RateShare { reached, all: DAEMONS, role };
        let mut given = 0;
        while daemon.rates.take(now, &"a".to_string(), &RATE, 1, part).is_ok() {
            given += 1;
        }
        given
    }

    fn step_clock(&self, state: &RateState) -> RateState {
        let mut next = state.clone();
        next.now += STEP;
        next.steps += 1;
        next.given.rotate_left(1);
        next.changes.rotate_left(1);
        next.changes[WINDOW - 1] = 0;
        if next.unnoticed >= NOTICE_STEPS {
            next.unnoticed = 0;
            (0..DAEMONS).for_each(|index| self.notice(&mut next, index));
        } else {
            next.unnoticed += 1;
        }
        next.given[WINDOW - 1] = self.demand(&mut next);
        next
    }

    fn changed(&self, state: &RateState) -> RateState {
        let mut next = state.clone();
        next.unnoticed = 0;
        next.changes[WINDOW - 1] += 1;
        next
    }
}

impl SpecModel for RateModel {
    type State = RateState;

    fn initial(&self) -> RateState {
        let daemon = |index: usize| RateDaemon {
            rates: self.no_rates(),
            believed_cut: None,
            knows: true,
            role: [RateRole::Leader, RateRole::Deputy, RateRole::Other][index],
        };
        RateState {
            now: Duration::from_secs(100),
            steps: 0,
            cuts: 0,
            deaths: 0,
            daemons: [daemon(0), daemon(1), daemon(2)],
            cut: None,
            unnoticed: 0,
            given: [0; WINDOW],
            changes: [0; WINDOW],
        }
    }

    fn successors(&self, state: &RateState) -> Vec<(String, RateState)> {
        let mut steps = Vec::new();
        if state.steps < self.steps {
            steps.push(("a second passes".to_string(), self.step_clock(state)));
        }
        if state.cuts < self.cuts {
            for index in 0..DAEMONS {
                let mut next = self.changed(state);
                next.cuts += 1;
                next.cut = if state.cut == Some(index) { None } else { Some(index) };
                steps.push((format!("daemon {index} is cut off, or back"), next));
            }
        }
        if state.deaths < self.deaths {
            for index in 0..DAEMONS {
                let mut next = self.changed(state);
                next.deaths += 1;
                let now = next.now;
                let mut rates = self.no_rates();
                rates.restart(now);
                next.daemons[index] =
                    RateDaemon { rates, believed_cut: None, knows: false, role: RateRole::Other };
                steps.push((format!("daemon {index} dies and starts again"), next));
            }
        }
        for index in 0..DAEMONS {
            let mut next = state.clone();
            self.notice(&mut next, index);
            if next != *state {
                steps.push((format!("daemon {index} notices"), next));
            }
        }
        steps
    }

    fn violation(&self, state: &RateState) -> Option<String> {
        let given: u64 = state.given.iter().sum();
        let changes: u64 = state.changes.iter().map(|count| u64::from(*count)).sum();
        // Until a change is noticed, one daemon may give out the whole rate beside the one that leads.
        let unnoticed = RATE.per_s * u64::from(NOTICE_STEPS + 1) * changes;
        let margins = 2 * self.margin;
        let allowed =
            RATE.per_s * WINDOW as u64 + RATE.burst + margins + unnoticed + DAEMONS as u64;
        (given > allowed).then(|| "more was given out in a window than rate and burst".to_string())
    }
}
