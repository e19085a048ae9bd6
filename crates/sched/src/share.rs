//! A daemon's share of the rates that hold over all daemons together.
//!
//! Each daemon admits on its own; the shares of all add up to the whole rate. A share follows the
//! demand that the daemons tell each other. A daemon that is silent keeps an equal part, since it may
//! be cut off and admit by itself, so the sum holds however the daemons are split.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{AccountId, SharedRate, Uptime};

/// Part of an equal share, in thousandths, that every live daemon has whatever its demand.
const FLOOR_PERMILLE: u64 = 250;
/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Shortest advice when to come back.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);
/// Scale of the units in a bucket, so that small rates do not round to nothing.
const SCALE: i128 = 1_000_000;

/// What a daemon knows of the others for its share of one account's rate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetDemand {
    /// Units a second asked at each reachable other daemon.
    pub live: Vec<u64>,
    /// Other daemons that are known and silent.
    pub silent: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AccountUse {
    /// Scaled units that may be admitted now; below zero after a large request.
    level: i128,
    filled: Uptime,
    /// Units asked for in the present and the finished interval.
    asked: u64,
    asked_before: u64,
    interval: Uptime,
    /// The demand that the others were told last; they count on it, so this daemon does too.
    told: u64,
}

/// Shares of all accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AccountShares {
    uses: BTreeMap<AccountId, AccountUse>,
    born: Uptime,
}

impl AccountShares {
    /// Shares of a daemon that begins then.
    pub fn born(now: Uptime) -> AccountShares {
        AccountShares { uses: BTreeMap::new(), born: now }
    }

    /// Takes `cost` units out of this daemon's share, or says how long to wait. A daemon begins with
    /// nothing saved, so that restarts multiply no burst.
    ///
    /// # Errors
    /// The time until the share has room again.
    pub fn take(
        &mut self,
        now: Uptime,
        account: &AccountId,
        rate: &SharedRate,
        cost: u64,
        fleet: &FleetDemand,
    ) -> Result<(), Duration> {
        let born = self.born;
        let used = self.uses.entry(account.clone()).or_insert_with(|| AccountUse::new(born));
        used.count(now, cost);
        let share = share_permille(used.told, fleet);
        let per_s = i128::from(rate.per_s) * i128::from(share) / 1_000;
        let limit = i128::from(rate.burst) * i128::from(share) / 1_000 * SCALE;
        let elapsed = now.saturating_sub(used.filled).as_micros() as i128;
        used.filled = now;
        used.level = (used.level + elapsed * per_s * SCALE / 1_000_000).min(limit);
        if used.level > 0 {
            used.level -= i128::from(cost) * SCALE;
            return Ok(());
        }
        let missing = (1 - used.level) / SCALE + 1;
        let millis = missing * 1_000 / per_s.max(1) + 1;
        Err(Duration::from_millis(millis.min(60_000) as u64).max(SHORTEST_WAIT))
    }

    /// Units a second asked here, by account, to be told to the others now.
    pub fn tell(&mut self, now: Uptime) -> Vec<(AccountId, u64)> {
        for used in self.uses.values_mut() {
            used.told = used.demand(now);
        }
        let told = self.uses.iter().map(|(account, used)| (account.clone(), used.told));
        told.filter(|(_, demand)| *demand > 0).collect()
    }
}

impl AccountUse {
    fn new(born: Uptime) -> AccountUse {
        AccountUse { level: 0, filled: born, asked: 0, asked_before: 0, interval: born, told: 0 }
    }

    fn count(&mut self, now: Uptime, cost: u64) {
        let passed = now.saturating_sub(self.interval);
        if passed >= DEMAND_TIME {
            self.asked_before = if passed < DEMAND_TIME * 2 { self.asked } else { 0 };
            self.asked = 0;
            self.interval = now;
        }
        self.asked += cost;
    }

    /// Units a second over the present and the finished interval.
    fn demand(&self, now: Uptime) -> u64 {
        let passed = now.saturating_sub(self.interval).min(DEMAND_TIME * 4);
        let time = (DEMAND_TIME + passed).as_millis() as u64;
        (self.asked + self.asked_before) * 1_000 / time.max(1)
    }
}

/// This daemon's share of a rate in thousandths, rounded down.
fn share_permille(own: u64, fleet: &FleetDemand) -> u64 {
    let live = fleet.live.len() as u64 + 1;
    let all = live + fleet.silent as u64;
    let total = own + fleet.live.iter().sum::<u64>();
    let equal = 1_000 / all;
    if total == 0 {
        return equal;
    }
    let for_live = 1_000 * live / all;
    let floor = equal * FLOOR_PERMILLE / 1_000;
    floor + (for_live - floor * live) * own / total
}
