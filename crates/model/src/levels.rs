//! Shedding across daemons: two daemons act as scheduler of one pool at the same time, messages
//! between them are lost; no higher tier is refused for want of capacity while the other one still
//! holds a lower tier.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, PermitDecision, PermitId, PermitRequest, RequestId, TierRank, Uptime,
};
use curlewcleat_sched::{LevelGuard, PoolOptions, PoolScheduler, SchedulerAction};

use crate::explore::SpecModel;
use crate::request::pool;

const POOL: &str = "pool";
/// One step of the clock: the time after which a level is sent again.
const STEP: Duration = Duration::from_millis(100);

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelFault {
    /// The protocol as it is.
    None,
    /// Refusals go out before the other daemon has shed.
    Unguarded,
    /// A level is sent once, and after a while counts as confirmed.
    ConfirmedByTimeOut,
}

/// The specification with its bounds.
#[derive(Clone, Debug)]
pub struct LevelModel {
    /// Fault put in.
    pub fault: LevelFault,
    /// Asks by their tiers; each may arrive at either daemon.
    pub asks: Vec<TierRank>,
    /// Messages that may be lost.
    pub losses: u8,
    /// Steps of the clock.
    pub steps: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Raise { to: usize, tier: TierRank, round: u64 },
    Confirm { to: usize, round: u64 },
}

/// A state: two schedulers with their guards, the messages between them, the asks that are left.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LevelState {
    now: Uptime,
    steps: u8,
    losses: u8,
    schedulers: [PoolScheduler; 2],
    guards: [LevelGuard; 2],
    network: BTreeSet<Message>,
    arrived: usize,
    broken: Option<TierRank>,
}

impl LevelModel {
    fn pass(&self, state: &mut LevelState, at: usize, actions: Vec<SchedulerAction>) {
        for action in actions {
            if self.fault == LevelFault::Unguarded {
                self.tell(state, &action);
                continue;
            }
            let step = state.guards[at].pass(state.now, action, 2, &[daemon(1 - at)]);
            self.send(state, at, step.raise.map(|(tier, round, _)| (tier, round)));
            step.answers.iter().for_each(|action| self.tell(state, action));
        }
    }

    fn send(&self, state: &mut LevelState, at: usize, raise: Option<(TierRank, u64)>) {
        if let Some((tier, round)) = raise {
            state.network.insert(Message::Raise { to: 1 - at, tier, round });
        }
    }

    /// An answer reaches its caller; a refusal for want of capacity must find no lower tier waiting.
    fn tell(&self, state: &mut LevelState, action: &SchedulerAction) {
        let Some(tier) = action.shed else { return };
        if !matches!(action.answer.decision, PermitDecision::Refused(_)) {
            return;
        }
        let lower_waits =
            state.schedulers.iter().any(|scheduler| scheduler.has_waiting_below(tier));
        if lower_waits {
            state.broken = Some(tier);
        }
    }

    fn arrive(&self, state: &LevelState, at: usize) -> LevelState {
        let mut next = state.clone();
        let number = next.arrived;
        next.arrived += 1;
        let ask = ask(number, self.asks[number]);
        let actions = next.schedulers[at].request_permit(next.now, daemon(9), ask);
        self.pass(&mut next, at, actions);
        next
    }

    fn deliver(&self, state: &LevelState, message: &Message) -> LevelState {
        let mut next = state.clone();
        next.network.remove(message);
        match *message {
            Message::Raise { to, tier, round } => {
                let now = next.now;
                let actions = next.schedulers[to].shed_for_peer(now, tier);
                actions.iter().for_each(|action| self.tell(&mut next, action));
                next.network.insert(Message::Confirm { to: 1 - to, round });
            }
            Message::Confirm { to, round } => {
                let released = next.guards[to].confirmed(&daemon(1 - to), round);
                released.iter().for_each(|action| self.tell(&mut next, action));
            }
        }
        next
    }

    fn step_clock(&self, state: &LevelState) -> LevelState {
        let mut next = state.clone();
        next.now += STEP;
        next.steps += 1;
        for at in 0..2 {
            let now = next.now;
            let actions = next.schedulers[at].tick(now);
            self.pass(&mut next, at, actions);
            let peers = if self.fault == LevelFault::ConfirmedByTimeOut {
                vec![]
            } else {
                vec![daemon(1 - at)]
            };
            let step = next.guards[at].tick(now, &peers);
            self.send(&mut next, at, step.raise.map(|(tier, round, _)| (tier, round)));
            step.answers.iter().for_each(|action| self.tell(&mut next, action));
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
            broken: None,
        }
    }

    fn successors(&self, state: &LevelState) -> Vec<(String, LevelState)> {
        let mut steps = Vec::new();
        if state.arrived < self.asks.len() {
            for at in 0..2 {
                let tier = self.asks[state.arrived];
                steps.push((
                    format!("an ask of tier {tier} arrives at daemon {at}"),
                    self.arrive(state, at),
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
        state.broken.map(|tier| {
            format!("tier {tier} was refused for want of capacity while a lower one waited")
        })
    }
}

fn daemon(index: usize) -> DaemonId {
    DaemonId { vm: format!("d{index}"), incarnation: 1 }
}

/// One slot and room for one ask, so that the second one that waits is too many.
fn scheduler() -> PoolScheduler {
    let options = PoolOptions { queue_limit: 1, lowest: 2, ..PoolOptions::default() };
    let mut scheduler = PoolScheduler::new(POOL.to_string(), options.clone());
    scheduler.configure(options, &pool(&["t0"], 1));
    scheduler
}

fn ask(number: usize, tier: TierRank) -> PermitRequest {
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
    }
}
