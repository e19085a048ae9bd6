//! Divides the slots of a tier among its urgencies.
//!
//! Inputs: the work per second that each urgency requests, and the work per second that the pool can grant to the
//! tier.
//!
//! The rule: each urgency gets [`GUARANTEED_PERCENT`] of the work that it requests. The remaining capacity goes to
//! the most urgent first, for each up to [`MAX_PERCENT`] of its requested work; anything beyond that also goes to the
//! most urgent. If the capacity does not suffice for the guaranteed shares, all urgencies get the same fraction of
//! their requested work. While the capacity is not known yet, it is taken to be all requested work.
//!
//! Load pattern: more requests than slots for seconds, of which the most urgent alone fill nearly all slots. With
//! fixed shares the next urgency had a fifth of the slots, however much it requested (tests/urgencies.rs).
//!
//! Owns: nothing; a pure function. Relies on: [`UrgencyFlows`](super::flows::UrgencyFlows) and `throughput` for its
//! inputs.

use std::collections::BTreeMap;

use curlewcleat_core::{TierRank, WorkMicros};

/// Guaranteed share of an urgency, in percent of its requested work. It comes before the additional shares of more
/// urgent requests.
const GUARANTEED_PERCENT: u64 = 40;
/// Maximum share of an urgency, in percent of its requested work: above 100, for times of more than the mean load.
const MAX_PERCENT: u64 = 125;
/// Share of an urgency that has all slots of a tier, in thousandths.
pub const FULL_SHARE: u64 = 1_000;
/// Minimum share of an urgency that requests anything, in thousandths; keeps its virtual time finite.
const MIN_SHARE: u64 = 10;

/// Shares of the urgencies of one tier, in thousandths of its slots.
pub type UrgencyShares = BTreeMap<TierRank, u64>;

/// Divides the capacity of a tier among its urgencies. `requested` is the requested work of each; both are in work
/// per second.
pub fn divide_capacity(
    requested: &BTreeMap<TierRank, WorkMicros>,
    capacity: Option<WorkMicros>,
) -> UrgencyShares {
    let all: WorkMicros = requested.values().sum();
    let guaranteed = |work: WorkMicros| work * GUARANTEED_PERCENT / 100;
    let mut remaining = capacity.unwrap_or(all).saturating_sub(guaranteed(all));
    let mut granted: BTreeMap<TierRank, WorkMicros> = requested
        .iter()
        .map(|(urgency, work)| {
            let more = remaining.min(work * MAX_PERCENT / 100 - guaranteed(*work));
            remaining -= more;
            (*urgency, guaranteed(*work) + more)
        })
        .collect();
    if let Some(mut first) = granted.first_entry() {
        *first.get_mut() += remaining;
    }
    let sum = granted.values().sum::<WorkMicros>().max(1);
    let share = |work: WorkMicros| (work * FULL_SHARE / sum).max(MIN_SHARE);
    granted.into_iter().map(|(urgency, work)| (urgency, share(work))).collect()
}
