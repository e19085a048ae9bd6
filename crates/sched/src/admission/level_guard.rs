//! Refusals for want of capacity wait until every other scheduler sheds the tiers below.
//!
//! Two daemons may act as scheduler of one pool for a moment. So that none of them takes a lower
//! tier in while another refuses a higher one, a scheduler has its overload level confirmed by all
//! daemons that could act as scheduler before it lets such a refusal out. That takes one round trip.
//! The level is sent again until each has confirmed it or is no longer reachable; nothing can be
//! promised for a daemon that is cut off and serves on.
//!
//! Owns: refusals that are held back. Relies on: the node for sending and for the reachable daemons.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{DaemonId, TierRank, Uptime};

use super::overload::LEVEL_HOLD;
use crate::pool::SchedulerAction;

/// Time after which a level is sent again to those that have not confirmed it: many round trips.
const RAISE_AGAIN: Duration = Duration::from_millis(100);

/// What a guard wants done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GuardStep {
    /// Answers that may go out.
    pub answers: Vec<SchedulerAction>,
    /// A level to send to these daemons: tier and number of the round.
    pub raise: Option<(TierRank, u64, Vec<DaemonId>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConfirmRound {
    tier: TierRank,
    number: u64,
    /// When the level was first sent, and last.
    begun: Uptime,
    sent: Uptime,
    missing: BTreeSet<DaemonId>,
}

/// Holds refusals of one pool back until its level is confirmed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LevelGuard {
    rounds: u64,
    round: Option<ConfirmRound>,
    /// Tiers below this one are shed everywhere until then.
    confirmed: Option<(TierRank, Uptime)>,
    held: Vec<SchedulerAction>,
}

impl LevelGuard {
    /// Takes an answer of the scheduler. One that refuses for want of capacity waits until `peers`
    /// shed everything below its tier; all others go out at once.
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
        if self.confirmed.is_some_and(|(open, until)| open <= tier && now < until) {
            return GuardStep { answers: vec![action], raise: None };
        }
        self.held.push(action);
        if self.round.as_ref().is_some_and(|round| round.tier <= tier) {
            return GuardStep::default();
        }
        self.rounds += 1;
        let missing = peers.iter().cloned().collect();
        self.round =
            Some(ConfirmRound { tier, number: self.rounds, begun: now, sent: now, missing });
        GuardStep { answers: Vec::new(), raise: Some((tier, self.rounds, peers.to_vec())) }
    }

    /// A daemon sheds everything below the tier of a round.
    pub fn confirmed(&mut self, from: &DaemonId, number: u64) -> Vec<SchedulerAction> {
        let Some(round) = self.round.as_mut().filter(|round| round.number == number) else {
            return Vec::new();
        };
        round.missing.remove(from);
        self.release()
    }

    /// Lets time pass. `peers` are the daemons that are reachable now.
    pub fn tick(&mut self, now: Uptime, peers: &[DaemonId]) -> GuardStep {
        let mut raise = None;
        if let Some(round) = self.round.as_mut() {
            round.missing.retain(|peer| peers.contains(peer));
            if !round.missing.is_empty() && now >= round.sent + RAISE_AGAIN {
                round.sent = now;
                raise = Some((round.tier, round.number, round.missing.iter().cloned().collect()));
            }
        }
        GuardStep { answers: self.release(), raise }
    }

    /// Releases the held refusals once every daemon has confirmed.
    fn release(&mut self) -> Vec<SchedulerAction> {
        let Some(round) = self.round.take_if(|round| round.missing.is_empty()) else {
            return Vec::new();
        };
        // The others hold the level for a while from when they heard of it, which was later.
        self.confirmed = Some((round.tier, round.begun + LEVEL_HOLD));
        let (out, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|action| action.shed.is_none_or(|tier| round.tier <= tier));
        self.held = held;
        out
    }
}
