//! The slots that one daemon holds, and the moves of slots between daemons.
//!
//! Owns: the keys of the slots that this daemon holds. Relies on: the key table as stored; the node for
//! the clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, KeyClaim, KeyDecision, KeyHandOver, KeyOutcome, KeySlot, ObjectVersion, Refusal,
    RefusalReason, VmId, WallTime,
};

use crate::slot::{known, passing_refusal, SlotRecords};
use crate::table::{minted_at, slot_of, KeyTable};

/// Bounds of a key home.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyHomeOptions {
    /// Time for which a key is kept after its last use. Callers retry for half of it at most.
    pub retention: Duration,
    /// Keys held at most; further ones are refused, none is forgotten early.
    pub key_limit: usize,
    /// Largest difference between the clocks of callers and VMs.
    pub clock_skew: Duration,
}

impl Default for KeyHomeOptions {
    fn default() -> KeyHomeOptions {
        KeyHomeOptions {
            retention: Duration::from_secs(3_600),
            key_limit: 1_000_000,
            clock_skew: Duration::from_secs(5),
        }
    }
}

/// What a daemon knows of the key table and of the slots that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyHome {
    me: DaemonId,
    options: KeyHomeOptions,
    version: ObjectVersion,
    table: KeyTable,
    slots: BTreeMap<KeySlot, SlotRecords>,
    /// Records received for slots that the table does not give to this daemon yet.
    incoming: BTreeMap<KeySlot, KeyHandOver>,
    keys: usize,
}

impl KeyHome {
    /// A home without a table.
    pub fn new(me: DaemonId, options: KeyHomeOptions) -> KeyHome {
        KeyHome {
            me,
            options,
            version: 0,
            table: KeyTable::default(),
            slots: BTreeMap::new(),
            incoming: BTreeMap::new(),
            keys: 0,
        }
    }

    /// Version of the known table, 0 for none.
    pub fn version(&self) -> ObjectVersion {
        self.version
    }

    /// The known table.
    pub fn table(&self) -> &KeyTable {
        &self.table
    }

    /// Keys held.
    pub fn keys(&self) -> usize {
        self.keys
    }

    /// Slots held.
    pub fn slots_held(&self) -> usize {
        self.slots.len()
    }

    /// The daemon that holds a key by the known table.
    pub fn holder_of(&self, claim: &KeyClaim) -> Option<&DaemonId> {
        let slot = slot_of(&claim.account, &claim.key, self.table.slots.len());
        self.table.holder(slot).map(|entry| &entry.holder)
    }

    /// Takes a table as the platform or a peer shows it; an older one changes nothing.
    pub fn table_read(&mut self, version: ObjectVersion, table: KeyTable) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.table = table;
        let held: BTreeSet<KeySlot> = self.table.held_by(&self.me).into_iter().collect();
        self.slots.retain(|slot, _| held.contains(slot));
        for slot in held {
            if !self.slots.contains_key(&slot) {
                self.begin_slot(slot);
            }
        }
        self.count_keys();
    }

    /// Decides whether a keyed request may run.
    pub fn claim(&mut self, now: WallTime, claim: &KeyClaim) -> KeyDecision {
        let slot = slot_of(&claim.account, &claim.key, self.table.slots.len());
        let full = self.keys >= self.options.key_limit;
        let Some(records) = self.slots.get_mut(&slot) else {
            return KeyDecision::NotHolder(self.version);
        };
        if let Some(decision) = records.claim_known(now, claim) {
            return decision;
        }
        if records.passing.is_some() {
            return passing_refusal();
        }
        if let Some(refusal) =
            unknown_key_refusal(&self.options, records.complete_since, now, claim)
        {
            return known(refusal);
        }
        if full {
            let refusal =
                Refusal::not_run(RefusalReason::KeyStoreFull, Some(self.options.retention / 4));
            return known(refusal);
        }
        records.insert(now, claim);
        self.keys += 1;
        KeyDecision::First
    }

    /// Records how a claimed request ended.
    pub fn outcome(&mut self, now: WallTime, outcome: KeyOutcome) {
        let slot = slot_of(&outcome.claim.account, &outcome.claim.key, self.table.slots.len());
        if let Some(records) = self.slots.get_mut(&slot) {
            let before = records.records.len();
            records.outcome(now, outcome);
            self.keys += records.records.len() - before;
        }
    }

    /// Forgets keys whose retention has ended.
    pub fn expire(&mut self, now: WallTime) {
        let retention = self.options.retention;
        for records in self.slots.values_mut() {
            records.records.retain(|_, record| now.saturating_sub(record.touched) < retention);
        }
        self.count_keys();
    }

    /// The table to propose because holders have ended, if any has.
    pub fn reassign(
        &self,
        gone: &BTreeSet<VmId>,
        eligible: &[DaemonId],
        now: WallTime,
    ) -> Option<KeyTable> {
        self.table.reassign(gone, &self.me, eligible, now)
    }

    /// Begins to hand all slots over, or goes on with it: from now on no unclaimed key is let run
    /// here. Returns what to send to whom; send it again until each slot is acknowledged.
    pub fn hand_over(&mut self, eligible: &[DaemonId]) -> Vec<(DaemonId, KeyHandOver)> {
        let eligible: Vec<DaemonId> =
            eligible.iter().filter(|receiver| **receiver != self.me).cloned().collect();
        let mut sends = Vec::new();
        for (index, (slot, records)) in self.slots.iter_mut().enumerate() {
            let usable =
                records.passing.as_ref().is_some_and(|(receiver, _)| eligible.contains(receiver));
            if !usable {
                if eligible.is_empty() {
                    continue;
                }
                records.passing = Some((eligible[index % eligible.len()].clone(), false));
            }
            if let Some((receiver, false)) = &records.passing {
                sends.push((receiver.clone(), hand_over_of(*slot, self.version, records)));
            }
        }
        sends
    }

    /// The next holder has the records of a slot.
    pub fn hand_over_acked(&mut self, from: &DaemonId, slot: KeySlot) {
        if let Some((receiver, acked)) =
            self.slots.get_mut(&slot).and_then(|records| records.passing.as_mut())
        {
            *acked |= receiver == from;
        }
    }

    /// Takes the records of a slot that is being handed to this daemon. They count once the table
    /// gives it the slot. Returns whether to acknowledge.
    pub fn hand_over_received(&mut self, hand_over: KeyHandOver) -> bool {
        if self.slots.contains_key(&hand_over.slot) {
            return false;
        }
        // A slot that was held in between may have new records; an older hand-over lacks them.
        let newest = self.incoming.get(&hand_over.slot).map_or(0, |known| known.table);
        if hand_over.table < newest {
            return false;
        }
        self.incoming.insert(hand_over.slot, hand_over);
        true
    }

    /// The table to propose once every slot is acknowledged; `None` before that.
    pub fn handed_over(&self) -> Option<KeyTable> {
        let mut passed = Vec::new();
        for (slot, records) in &self.slots {
            match &records.passing {
                Some((receiver, true)) => {
                    passed.push((*slot, receiver.clone(), records.complete_since))
                }
                _ => return None,
            }
        }
        (!passed.is_empty()).then(|| self.table.pass(&passed))
    }

    fn begin_slot(&mut self, slot: KeySlot) {
        let since = self.table.holder(slot).map_or(0, |entry| entry.complete_since_ms);
        let since = Duration::from_millis(since);
        let mut records = SlotRecords::new(since);
        // Records that were handed over belong to this table only if it carries their history; a
        // reassignment after the holder's end begins a later one.
        if let Some(incoming) =
            self.incoming.remove(&slot).filter(|incoming| incoming.complete_since == since)
        {
            records.records =
                incoming.records.into_iter().map(|record| (record.key.clone(), record)).collect();
        }
        self.slots.insert(slot, records);
    }

    fn count_keys(&mut self) {
        self.keys = self.slots.values().map(|records| records.records.len()).sum();
    }
}

/// Why a key without a record may not run, if so.
fn unknown_key_refusal(
    options: &KeyHomeOptions,
    complete_since: WallTime,
    now: WallTime,
    claim: &KeyClaim,
) -> Option<Refusal> {
    let retry_window = options.retention / 2;
    let minted = minted_at(&claim.key);
    if minted.is_some_and(|minted| now > minted + retry_window + options.clock_skew) {
        return Some(Refusal::may_have_run(RefusalReason::KeyExpired, None));
    }
    match claim.attempt {
        Some(1) => return None,
        // A later attempt needs the record of an earlier one.
        Some(_) => return Some(Refusal::may_have_run(RefusalReason::KeyHistoryLost, None)),
        None => {}
    }
    let complete = complete_since.is_zero()
        || now >= complete_since + retry_window
        || minted.is_some_and(|minted| minted >= complete_since + options.clock_skew);
    (!complete).then(|| Refusal::may_have_run(RefusalReason::KeyHistoryLost, None))
}

fn hand_over_of(slot: KeySlot, table: ObjectVersion, records: &SlotRecords) -> KeyHandOver {
    KeyHandOver {
        slot,
        table,
        complete_since: records.complete_since,
        records: records.records.values().cloned().collect(),
    }
}
