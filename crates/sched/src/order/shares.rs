//! Which part of the places does each urgency of a tier have?
//!
//! Inputs: the work that each urgency asks for in a second, and the work that the pool takes in of the tier in a second.
//! The rule: each urgency has [`LEAST_PERCENT`] of what it asks for; what is left goes to the most urgent first, up to
//! [`MOST_PERCENT`] of what it asks for, and to the most urgent where all have that. Where there is too little for the least parts, all have the
//! same part of what they ask for. Where the pool's capacity is not known yet, it is taken to be what all ask for.
//!
//! Load pattern: more requests than places for seconds, of which the most urgent alone fill nearly all. With fixed shares
//! the next urgency had a fifth of the places, however much it asked for (tests/urgencies.rs).
//!
//! Owns: nothing; a pure function. Relies on: [`UrgencyFlows`](super::flows::UrgencyFlows) and `throughput` for its inputs.

use std::collections::BTreeMap;

use curlewcleat_core::{TierRank, WorkMicros};

/// The part of what an urgency asks for that it has before the more urgent ones have the rest, in percent.
const LEAST_PERCENT: u64 = 40;
/// The part that it has at most, in percent: room for the times at which more comes than on the mean.
const MOST_PERCENT: u64 = 125;
/// All places of a tier.
pub const ALL_PLACES: u64 = 1_000;
/// The least share of an urgency that asks for anything; keeps its virtual time finite.
const LEAST_SHARE: u64 = 10;

/// Shares of the urgencies of one tier, in thousandths of its places.
pub type UrgencyShares = BTreeMap<TierRank, u64>;

/// Divides the capacity of a tier, in work a second like `asked`, among its urgencies.
pub fn divide(
    asked: &BTreeMap<TierRank, WorkMicros>,
    capacity: Option<WorkMicros>,
) -> UrgencyShares {
    let all: WorkMicros = asked.values().sum();
    let least = |work: WorkMicros| work * LEAST_PERCENT / 100;
    let mut left = capacity.unwrap_or(all).saturating_sub(least(all));
    let mut parts: BTreeMap<TierRank, WorkMicros> = asked
        .iter()
        .map(|(urgency, work)| {
            let more = left.min(work * MOST_PERCENT / 100 - least(*work));
            left -= more;
            (*urgency, least(*work) + more)
        })
        .collect();
    if let Some(mut first) = parts.first_entry() {
        *first.get_mut() += left;
    }
    let sum = parts.values().sum::<WorkMicros>().max(1);
    let share = |part: WorkMicros| (part * ALL_PLACES / sum).max(LEAST_SHARE);
    parts.into_iter().map(|(urgency, part)| (urgency, share(part))).collect()
}
