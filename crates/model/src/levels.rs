//! Model of shedding across daemons: two daemons act as scheduler of one pool at the same time, and messages between
//! them may be lost. No request is refused for lack of capacity while a request of a lower tier waits at either daemon.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, PermitDecision, PermitId, PermitRequest, RequestId, TierRank, Uptime,
};
use curlewcleat_sched::{LevelGuard, PoolOptions, PoolScheduler, SchedulerAction};

use crate::explore::SpecModel;
use crate::request::pool;

const POOL: &str = "pool";
/// One step of the clock: the interval at which an unconfirmed shed level is sent again.
const STEP: Duration = Duration::from_millis(100);

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelFault {
    /// No fault.
    None,
    /// Refusals are sent before the other daemon has shed its lower tiers.
    Unguarded,
    /// A level is sent once, and is treated as confirmed after a timeout.
    ConfirmedByTimeOut,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct LevelModel {
    /// Injected fault.
    pub fault: LevelFault,
    /// Tiers of the permit requests, in the order of their arrival; each may arrive at either daemon.
    pub tiers: Vec<TierRank>,
    /// Number of messages that may be lost.
    pub losses: u8,
    /// Number of clock steps.
    pub steps: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Raise { to: usize, tier: TierRank, round: u64 },
    Confirm { to: usize, round: u64 },
}

/// State of two schedulers and their guards, the messages between them and the permit requests that have arrived.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LevelState {
    now: Uptime,
    steps: u8,
    losses: u8,
    schedulers: [PoolScheduler; 2],
    guards: [LevelGuard; 2],
    network: BTreeSet<Message>,
    arrived: usize,
    /// Tier of a request that was refused while a request of a lower tier waited.
    wrongly_refused: Option<TierRank>,
}

impl LevelModel {
    fn route_actions(&self, state: &mut LevelState, index: usize, actions: Vec<SchedulerAction>) {
        for action in actions {
            if self.fault == LevelFault::Unguarded {
                self.deliver_answer(state, &action);
                continue;
            }
            let step = state.guards[index].pass(state.now, action, 2, &[daemon(1 - index)]);
            self.send_level(state, index, step.raise.map(|(tier, round, _)| (tier, round)));
            step.answers.iter().for_each(|action| self.deliver_answer(state, action));
        }
    }

    fn send_level(&self, state: &mut LevelState, index: usize, raise: Option<(TierRank, u64)>) {
        if let Some((tier, round)) = raise {
            state.network.insert(Message::Raise { to: 1 - index, tier, round });
        }
    }

    /// Delivers an answer to its caller. At a refusal for lack of capacity, no request of a lower tier may wait.
    fn deliver_answer(&self, state: &mut LevelState, action: &SchedulerAction) {
        let Some(tier) = action.shed else { return };
        if !matches!(action.answer.decision, PermitDecision::Refused(_)) {
            return;
        }
        let lower_waits =
            state.schedulers.iter().any(|scheduler| scheduler.has_waiting_below(tier));
        if lower_waits {
            state.wrongly_refused = Some(tier);
        }
    }

    fn request_arrives(&self, state: &LevelState, index: usize) -> LevelState {
        let mut next = state.clone();
        let number = next.arrived;
        next.arrived += 1;
        let request = permit_request(number, self.tiers[number]);
        let actions = next.schedulers[index].request_permit(next.now, daemon(9), request);
        self.route_actions(&mut next, index, actions);
        next
    }

    fn deliver(&self, state: &LevelState, message: &Message) -> LevelState {
        let mut next = state.clone();
        next.network.remove(message);
        match *message {
            Message::Raise { to, tier, round } => {
                let now = next.now;
                let actions = next.schedulers[to].shed_for_peer(now, tier);
                actions.iter().for_each(|action| self.deliver_answer(&mut next, action));
                next.network.insert(Message::Confirm { to: 1 - to, round });
            }
            Message::Confirm { to, round } => {
                let released = next.guards[to].confirmed(&daemon(1 - to), round);
                released.iter().for_each(|action| self.deliver_answer(&mut next, action));
            }
        }
        next
    }

    fn step_clock(&self, state: &LevelState) -> LevelState {
        let mut next = state.clone();
        next.now += STEP;
        next.steps += 1;
        for index in 0..2 {
            let now = next.now;
            let actions = next.schedulers[index].tick(now);
            self.route_actions(&mut next, index, actions);
            let peers = if self.fault == LevelFault::ConfirmedByTimeOut {
                vec![]
            } else {
                vec![daemon(1 - index)]
            };
            let step = next.guards[index].tick(now, &peers);
            self.send_level(&mut next, index, step.raise.map(|(tier, round, _)| (tier, round)));
            step.answers.iter().for_each(|action| self.deliver_answer(&mut next, action));
        }
        next
    }
}

impl SpecModel for LevelModel {
    type State = LevelState;

    fn initial(&self) -> LevelState {
        LevelState {
            now: Duration::ZERO,
            steps: 0,
            losses: 0,
            schedulers: [scheduler(), scheduler()],
            guards: Default::default(),
            network: BTreeSet::new(),
            arrived: 0,
            wrongly_refused: None,
        }
    }

    fn successors(&self, state: &LevelState) -> Vec<(String, LevelState)> {
        let mut steps = Vec::new();
        if state.arrived < self.tiers.len() {
            for index in 0..2 {
                let tier = self.tiers[state.arrived];
                steps.push((
                    format!("a request of tier {tier} arrives at daemon {index}"),
                    self.request_arrives(state, index),
                ));
            }
        }
        for message in &state.network {
            steps.push((format!("{message:?} arrives"), self.deliver(state, message)));
            if state.losses < self.losses {
                let mut lost = state.clone();
                lost.network.remove(message);
                lost.losses += 1;
                steps.push((format!("{message:?} is lost"), lost));
            }
        }
        if state.steps < self.steps {
            steps.push(("100 ms pass".to_string(), self.step_clock(state)));
        }
        steps
    }

    fn violation(&self, state: &LevelState) -> Option<String> {
        state.wrongly_refused.map(|tier| {
            format!("tier {tier} was refused for lack of capacity while a lower one waited")
        })
    }
}

fn daemon(index: usize) -> DaemonId {
    DaemonId { vm: format!("d{index}"), incarnation: 1 }
}

/// Creates a scheduler with one slot and a queue of one request: a second waiting request exceeds the queue limit.
fn scheduler() -> PoolScheduler {
    let options = PoolOptions { queue_limit: 1, lowest: 2, ..PoolOptions::default() };
    let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
    scheduler.configure(options, &pool(&["t0"], 1));
    scheduler
}

fn permit_request(number: usize, tier: TierRank) -> PermitRequest {
    PermitRequest {
        permit: PermitId { request: RequestId::from_u128(number as u128 + 1), attempt: 0 },
        pool: POOL.to_string(),
        tier,
        account: "a".to_string(),
        cost: 1,
        objectives: curlewcleat_core::LatencyObjectives::default(),
        time_left: Duration::from_secs(60),
        prompt_work: 0,
        output_work: 1_000,
        prefix: None,
        avoid: Vec::new(),
        version: None,
    }
}
