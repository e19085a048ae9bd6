//! Books the returns of refused requests, so that callers are advised to return when there is room for them.
//!
//! Load pattern: demand that exceeds the slots of a pool for seconds and then falls. Refused callers that return without
//! a plan form a second crest, and most of them are refused again, although the pool has room when the crest is over.
//!
//! The rule: time is divided into slices of [`SLICE`]. A refused request is booked with its work in one slice, and its
//! caller is advised to return within it. What is booked in a slice never exceeds the work that the pool grants in that
//! time, in all and for each urgency. A return in its slice, or at most [`REDEEMED_SLICES`] later, redeems the booked
//! work of its tier, urgency and account, through whichever entry daemon it comes. The book holds sums, not requests:
//! a caller that returns early finds nothing to redeem, one that returns several times uses up what is booked for its
//! own account, and what is not redeemed is forgotten.
//!
//! Inputs: the work of a request in microseconds, its tier, urgency and account, the work for which each slice has room.
//!
//! Owns: the sums of one pool, bounded by [`HORIZON_SLICES`] and [`ENTRY_LIMIT`]. They are lost with the scheduler;
//! callers that it has refused then return as they would without a book. Relies on: [`advice`] for the room of a slice.

mod advice;

use std::collections::BTreeMap;
use std::time::Duration;

use curlewcleat_core::{AccountId, Uptime, WorkMicros};

use crate::order::rank::UrgencyKey;

/// Length of a slice: about the time that short requests wait, so that a return within its slice is not late by it.
pub const SLICE: Duration = Duration::from_millis(250);
/// Number of slices ahead in which returns are booked: callers that wait longer have other plans by then.
pub const HORIZON_SLICES: u64 = 32;
/// Number of slices after its own in which a return is redeemed, for clocks and connections that are late.
const REDEEMED_SLICES: u64 = 4;
/// One account may book the room of a slice divided by this, so that an account that floods leaves room to the others.
const ACCOUNT_DIVISOR: u64 = 2;
/// Maximum number of sums of accounts. Above it nothing is booked.
const ENTRY_LIMIT: usize = 16_384;

/// Number of a slice since the start of the clock.
pub type SliceNumber = u64;

/// Who returns, and with how much work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReturnClaim {
    /// Tier and urgency.
    pub urgency: UrgencyKey,
    /// Client account.
    pub account: AccountId,
    /// Estimated work.
    pub work: WorkMicros,
}

/// Work for which a slice has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceRoom {
    /// Room for one urgency of a tier.
    pub urgency: WorkMicros,
    /// Room for all tiers together.
    pub all: WorkMicros,
}

/// What is booked in one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SliceSums {
    booked: WorkMicros,
    by_urgency: BTreeMap<UrgencyKey, WorkMicros>,
    by_account: BTreeMap<(UrgencyKey, AccountId), AccountSum>,
}

/// Work booked for an account, and how much of it was not redeemed yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct AccountSum {
    booked: WorkMicros,
    remaining: WorkMicros,
}

/// Returns since the start of the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReturnCounts {
    /// Refused requests whose return was booked.
    pub booked: u64,
    /// Refused requests whose return could not be booked, since no slice had room.
    pub not_booked: u64,
    /// Requests that redeemed a booked return.
    pub redeemed: u64,
}

/// The booked returns of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReturnBook {
    slices: BTreeMap<SliceNumber, SliceSums>,
    /// Number of sums of accounts in all slices.
    entries: usize,
    /// What was booked and redeemed so far.
    pub(crate) counts: ReturnCounts,
}

impl ReturnBook {
    /// Returns the number of the slice at a time.
    pub fn slice_at(at: Uptime) -> SliceNumber {
        u64::try_from(at.as_millis() / SLICE.as_millis()).unwrap_or(SliceNumber::MAX)
    }

    /// Books a return in a slice. Returns whether there was room.
    pub fn book(&mut self, slice: SliceNumber, claim: &ReturnClaim, room: SliceRoom) -> bool {
        if self.entries >= ENTRY_LIMIT || !self.has_room(slice, claim, room) {
            return false;
        }
        let sums = self.slices.entry(slice).or_default();
        sums.booked += claim.work;
        *sums.by_urgency.entry(claim.urgency).or_default() += claim.work;
        let key = (claim.urgency, claim.account.clone());
        let entries_before = sums.by_account.len();
        let account = sums.by_account.entry(key).or_default();
        account.booked += claim.work;
        account.remaining += claim.work;
        self.entries += sums.by_account.len() - entries_before;
        true
    }

    fn has_room(&self, slice: SliceNumber, claim: &ReturnClaim, room: SliceRoom) -> bool {
        let Some(sums) = self.slices.get(&slice) else {
            return claim.work <= room.urgency.min(room.all);
        };
        // Nothing is booked yet for an urgency without a sum.
        let of_urgency = sums.by_urgency.get(&claim.urgency).copied().unwrap_or(0);
        let account = sums.by_account.get(&(claim.urgency, claim.account.clone()));
        let of_account = account.map_or(0, |account| account.booked);
        let is_first = of_account == 0;
        // Callers may state any length.
        let with_claim = |booked: WorkMicros| booked.saturating_add(claim.work);
        with_claim(sums.booked) <= room.all
            && with_claim(of_urgency) <= room.urgency
            && (is_first || with_claim(of_account) <= room.urgency / ACCOUNT_DIVISOR)
    }

    /// Redeems the work booked for a return, in the current slice or an earlier one. Returns whether all of it was
    /// booked.
    pub fn redeem(&mut self, now: Uptime, claim: &ReturnClaim) -> bool {
        let current = ReturnBook::slice_at(now);
        self.forget_past(now);
        let key = (claim.urgency, claim.account.clone());
        let mut sums: Vec<&mut AccountSum> = self
            .slices
            .range_mut(..=current)
            .filter_map(|(_, sums)| sums.by_account.get_mut(&key))
            .collect();
        let remaining: WorkMicros = sums.iter().map(|sum| sum.remaining).sum();
        if remaining < claim.work || claim.work == 0 {
            return false;
        }
        self.counts.redeemed += 1;
        let mut work = claim.work;
        for sum in &mut sums {
            let redeemed = work.min(sum.remaining);
            sum.remaining -= redeemed;
            work -= redeemed;
        }
        true
    }

    /// Returns the booked work that was not redeemed yet, up to the horizon.
    pub fn remaining(&self, now: Uptime) -> WorkMicros {
        let first = ReturnBook::slice_at(now).saturating_sub(REDEEMED_SLICES);
        let slices = self.slices.range(first..).map(|(_, sums)| sums);
        slices.flat_map(|sums| sums.by_account.values()).map(|sum| sum.remaining).sum()
    }

    /// Counts a refused request, whose return was booked or not.
    pub(crate) fn count_booking(&mut self, is_booked: bool) {
        match is_booked {
            true => self.counts.booked += 1,
            false => self.counts.not_booked += 1,
        }
    }

    /// Forgets the slices that can no longer be redeemed. At most [`HORIZON_SLICES`] and those that can remain.
    pub fn forget_past(&mut self, now: Uptime) {
        let slice = ReturnBook::slice_at(now).saturating_sub(REDEEMED_SLICES);
        while let Some(first) = self.slices.first_entry().filter(|first| *first.key() < slice) {
            self.entries -= first.remove().by_account.len();
        }
    }
}
