//! Holds refusals for lack of capacity until every other scheduler of the pool sheds the lower tiers.
//!
//! Two daemons may briefly act as schedulers of one pool. So that none of them admits a lower
//! tier while another refuses a higher one, a scheduler has its overload level confirmed by all
//! daemons that could act as scheduler before it sends such a refusal. That takes one round trip.
//! The level is sent again until each daemon has confirmed it or is no longer reachable. There is no guarantee
//! for a daemon that is cut off and continues to serve.
//!
//! Owns: the held refusals. Relies on: the node for sending and for the reachable daemons.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{DaemonId, TierRank, Uptime};

use super::overload::LEVEL_HOLD;
use crate::pool::SchedulerAction;

/// Time after which a level is sent again to daemons that have not confirmed it: many round trips.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Messages that the guard requests to be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GuardStep {
    /// Answers that may be sent.
    pub answers: Vec<SchedulerAction>,
    /// A level to send: its tier, the number of the round and the daemons that receive it.
    pub raise: Option<(TierRank, u64, Vec<DaemonId>)>,
}

/// A level that is being confirmed by the other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConfirmRound {
    tier: TierRank,
    number: u64,
    first_sent: Uptime,
    last_sent: Uptime,
    unconfirmed: BTreeSet<DaemonId>,
    confirmed: BTreeSet<DaemonId>,
}

/// A level that other daemons have confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConfirmedLevel {
    tier: TierRank,
    /// The daemons that shed all tiers below it; one that was out of reach may admit them.
    daemons: BTreeSet<DaemonId>,
    until: Uptime,
}

impl ConfirmedLevel {
    fn covers(&self, now: Uptime, tier: TierRank, peers: &[DaemonId]) -> bool {
        self.tier <= tier
            && now < self.until
            && peers.iter().all(|peer| self.daemons.contains(peer))
    }
}

/// Holds the refusals of one pool until its level is confirmed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LevelGuard {
    rounds: u64,
    round: Option<ConfirmRound>,
    confirmed_level: Option<ConfirmedLevel>,
    /// Refusals that wait for the round.
    held: Vec<SchedulerAction>,
}

impl LevelGuard {
    /// Accepts an answer of the scheduler. A refusal for lack of capacity is held until `peers`
    /// shed all tiers below its own; any other answer may be sent at once.
    pub fn pass(
        &mut self,
        now: Uptime,
        action: SchedulerAction,
        lowest: TierRank,
        peers: &[DaemonId],
    ) -> GuardStep {
        let tier = match action.shed {
            Some(tier) if tier < lowest && !peers.is_empty() => tier,
            _ => return GuardStep { answers: vec![action], raise: None },
        };
        if self.confirmed_level.as_ref().is_some_and(|level| level.covers(now, tier, peers)) {
            return GuardStep { answers: vec![action], raise: None };
        }
        self.held.push(action);
        if self.round.as_ref().is_some_and(|round| round.tier <= tier) {
            return GuardStep::default();
        }
        self.rounds += 1;
        let unconfirmed = peers.iter().cloned().collect();
        self.round = Some(ConfirmRound {
            tier,
            number: self.rounds,
            first_sent: now,
            last_sent: now,
            unconfirmed,
            confirmed: BTreeSet::new(),
        });
        GuardStep { answers: Vec::new(), raise: Some((tier, self.rounds, peers.to_vec())) }
    }

    /// Records that a daemon sheds all tiers below the tier of a round. Returns the answers that may be sent.
    pub fn confirmed(&mut self, from: &DaemonId, number: u64) -> Vec<SchedulerAction> {
        let Some(round) = self.round.as_mut().filter(|round| round.number == number) else {
            return Vec::new();
        };
        if let Some(daemon) = round.unconfirmed.take(from) {
            round.confirmed.insert(daemon);
        }
        self.release()
    }

    /// Sends the level again where it is due. `peers` are the daemons that are reachable now.
    pub fn tick(&mut self, now: Uptime, peers: &[DaemonId]) -> GuardStep {
        let mut raise = None;
        if let Some(round) = self.round.as_mut() {
            round.unconfirmed.retain(|peer| peers.contains(peer));
            if !round.unconfirmed.is_empty() && now >= round.last_sent + RESEND_INTERVAL {
                round.last_sent = now;
                raise =
                    Some((round.tier, round.number, round.unconfirmed.iter().cloned().collect()));
            }
        }
        GuardStep { answers: self.release(), raise }
    }

    /// Releases the held refusals once every daemon has confirmed.
    fn release(&mut self) -> Vec<SchedulerAction> {
        let Some(round) = self.round.take_if(|round| round.unconfirmed.is_empty()) else {
            return Vec::new();
        };
        // The other daemons hold the level for as long, but from a later time: when they received it.
        self.confirmed_level = Some(ConfirmedLevel {
            tier: round.tier,
            daemons: round.confirmed,
            until: round.first_sent + LEVEL_HOLD,
        });
        let (released, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|action| action.shed.is_none_or(|tier| round.tier <= tier));
        self.held = held;
        released
    }
}
