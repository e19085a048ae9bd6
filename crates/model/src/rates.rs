//! Model of account rates shared by daemons that may be partitioned, may restart and may take over from each other.
//! Whatever their views of each other, in one window they grant no more together than the rate, one burst, the margin
//! of the leader, the reserve of its deputy, and what daemons that have not yet detected a partition may grant until
//! they detect it.

use std::time::Duration;

use curlewcleat_core::{RateUnit, SharedRate, Uptime};
use curlewcleat_sched::{AccountRates, RateMargin, RateRole, RateShare};

use crate::explore::SpecModel;

/// Number of daemons.
const DAEMONS: usize = 3;
/// Duration of one step of the clock.
const STEP: Duration = Duration::from_secs(1);
/// Number of steps in a window.
const WINDOW: usize = 4;
/// Number of steps within which every daemon detects a change.
const DETECTION_STEPS: u8 = 1;
const RATE: SharedRate = SharedRate { per_s: 6, burst: 30, unit: RateUnit::Request, scale: 1 };

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateFault {
    /// No fault.
    None,
    /// A daemon that becomes leader keeps the burst that it has saved.
    SavedBurst,
    /// A partitioned daemon grants the whole rate.
    WholeRateAlone,
    /// A daemon that receives requests without being the leader has its share of the burst available.
    NonLeaderBurst,
    /// A new deputy has its reserve at once, although an earlier deputy may have spent one.
    ReserveAtOnce,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct RateModel {
    /// Injected fault.
    pub fault: RateFault,
    /// Number of times that a partition begins or ends.
    pub partition_changes: u8,
    /// Number of daemon restarts.
    pub restarts: u8,
    /// Number of clock steps.
    pub steps: u8,
    /// Units that the leader may grant beyond the rate, and its deputy as well.
    pub margin: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RateDaemon {
    rates: AccountRates,
    /// Daemon that it believes to be partitioned from the others, possibly itself.
    believed_partitioned: Option<usize>,
    /// Whether it knows the other daemons since its start.
    knows_peers: bool,
    role: RateRole,
}

/// State of the daemons and their views, the actual partition, and the units granted recently.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RateState {
    now: Uptime,
    steps: u8,
    partition_changes: u8,
    restarts: u8,
    daemons: [RateDaemon; DAEMONS],
    /// Daemon that is partitioned from the others.
    partitioned: Option<usize>,
    /// Number of steps since the latest change that some daemon may not have detected.
    undetected_steps: u8,
    /// Units granted in each step of the window, the newest last.
    granted: [u64; WINDOW],
    /// Number of changes in each step of the window; each one raises the bound.
    changes: [u8; WINDOW],
}

impl RateModel {
    /// Checks whether a daemon reaches another one.
    fn reaches(state: &RateState, from: usize, to: usize) -> bool {
        from == to || (state.partitioned != Some(from) && state.partitioned != Some(to))
    }

    /// Returns the daemons that a daemon believes it reaches, including itself.
    fn believed_reachable(daemon: &RateDaemon, index: usize) -> Vec<usize> {
        if !daemon.knows_peers || daemon.believed_partitioned == Some(index) {
            return vec![index];
        }
        (0..DAEMONS).filter(|other| daemon.believed_partitioned != Some(*other)).collect()
    }

    /// Updates a daemon's view to the actual partition. A daemon that becomes leader or deputy starts with nothing
    /// saved.
    fn update_view(&self, state: &mut RateState, index: usize) {
        let partitioned = state.partitioned;
        let now = state.now;
        let daemon = &mut state.daemons[index];
        daemon.believed_partitioned = partitioned;
        daemon.knows_peers = true;
        let role = RateModel::role(daemon, index);
        if role != daemon.role {
            let restarts = match role {
                RateRole::Leader => self.fault != RateFault::SavedBurst,
                RateRole::Deputy => self.fault != RateFault::ReserveAtOnce,
                RateRole::Other => false,
            };
            if restarts {
                daemon.rates.restart(now);
            }
        }
        daemon.role = role;
    }

    fn new_rates(&self) -> AccountRates {
        let window = STEP * WINDOW as u32;
        AccountRates::new(RateMargin { percent: 0, units: self.margin, window })
    }

    /// Returns the role that a daemon has in its own view.
    fn role(daemon: &RateDaemon, index: usize) -> RateRole {
        let order = RateModel::believed_reachable(daemon, index);
        match order.iter().position(|other| *other == index) {
            Some(0) => RateRole::Leader,
            Some(1) => RateRole::Deputy,
            _ => RateRole::Other,
        }
    }

    /// Returns the units that all daemons grant in one step. Every daemon has more callers than it may serve, and
    /// requests from the daemon that it believes to be leader. It skips daemons that don't answer, and uses itself as
    /// the last resort.
    fn grant_demand(&self, state: &mut RateState) -> u64 {
        let mut granted = 0;
        for requester in 0..DAEMONS {
            let order = RateModel::believed_reachable(&state.daemons[requester], requester);
            let reached = order.iter().find(|other| RateModel::reaches(state, requester, **other));
            let scheduler = reached.copied().unwrap_or(requester);
            granted += self.take_all(state, scheduler);
        }
        granted
    }

    /// Takes units from a daemon's rate until it refuses, and returns how many it granted.
    fn take_all(&self, state: &mut RateState, index: usize) -> u64 {
        let now = state.now;
        let daemon = &mut state.daemons[index];
        let mut reached = match daemon.role {
            RateRole::Leader => RateModel::believed_reachable(daemon, index).len(),
            RateRole::Deputy | RateRole::Other => 1,
        };
        if self.fault == RateFault::WholeRateAlone {
            reached = DAEMONS;
        }
        let role = match self.fault {
            RateFault::NonLeaderBurst => RateRole::Leader,
            _ => daemon.role,
        };
        let rate_share = RateShare { reached, all: DAEMONS, role };
        let mut granted = 0;
        while daemon.rates.take(now, &"a".to_string(), &RATE, 1, rate_share).is_ok() {
            granted += 1;
        }
        granted
    }

    fn step_clock(&self, state: &RateState) -> RateState {
        let mut next = state.clone();
        next.now += STEP;
        next.steps += 1;
        next.granted.rotate_left(1);
        next.changes.rotate_left(1);
        next.changes[WINDOW - 1] = 0;
        if next.undetected_steps >= DETECTION_STEPS {
            next.undetected_steps = 0;
            (0..DAEMONS).for_each(|index| self.update_view(&mut next, index));
        } else {
            next.undetected_steps += 1;
        }
        next.granted[WINDOW - 1] = self.grant_demand(&mut next);
        next
    }

    /// Returns a copy of the state in which one more change has begun.
    fn with_change(&self, state: &RateState) -> RateState {
        let mut next = state.clone();
        next.undetected_steps = 0;
        next.changes[WINDOW - 1] += 1;
        next
    }
}

impl SpecModel for RateModel {
    type State = RateState;

    fn initial(&self) -> RateState {
        let daemon = |index: usize| RateDaemon {
            rates: self.new_rates(),
            believed_partitioned: None,
            knows_peers: true,
            role: [RateRole::Leader, RateRole::Deputy, RateRole::Other][index],
        };
        RateState {
            now: Duration::from_secs(100),
            steps: 0,
            partition_changes: 0,
            restarts: 0,
            daemons: [daemon(0), daemon(1), daemon(2)],
            partitioned: None,
            undetected_steps: 0,
            granted: [0; WINDOW],
            changes: [0; WINDOW],
        }
    }

    fn successors(&self, state: &RateState) -> Vec<(String, RateState)> {
        let mut steps = Vec::new();
        if state.steps < self.steps {
            steps.push(("a second passes".to_string(), self.step_clock(state)));
        }
        if state.partition_changes < self.partition_changes {
            for index in 0..DAEMONS {
                let mut next = self.with_change(state);
                next.partition_changes += 1;
                next.partitioned =
                    if state.partitioned == Some(index) { None } else { Some(index) };
                steps.push((format!("a partition of daemon {index} begins or ends"), next));
            }
        }
        if state.restarts < self.restarts {
            for index in 0..DAEMONS {
                let mut next = self.with_change(state);
                next.restarts += 1;
                let now = next.now;
                let mut rates = self.new_rates();
                rates.restart(now);
                next.daemons[index] = RateDaemon {
                    rates,
                    believed_partitioned: None,
                    knows_peers: false,
                    role: RateRole::Other,
                };
                steps.push((format!("daemon {index} restarts"), next));
            }
        }
        for index in 0..DAEMONS {
            let mut next = state.clone();
            self.update_view(&mut next, index);
            if next != *state {
                steps.push((format!("daemon {index} updates its view"), next));
            }
        }
        steps
    }

    fn violation(&self, state: &RateState) -> Option<String> {
        let granted: u64 = state.granted.iter().sum();
        let changes: u64 = state.changes.iter().map(|count| u64::from(*count)).sum();
        // Until a change is detected, one daemon may grant the whole rate in addition to the leader.
        let undetected_units = RATE.per_s * u64::from(DETECTION_STEPS + 1) * changes;
        let margins = 2 * self.margin;
        let allowed =
            RATE.per_s * WINDOW as u64 + RATE.burst + margins + undetected_units + DAEMONS as u64;
        (granted > allowed).then(|| "more was granted in a window than rate and burst".to_string())
    }
}
