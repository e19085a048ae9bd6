//! Decides on claims of keys in the slots that this daemon holds, and hands slots over between daemons.
//!
//! Owns: the keys of the slots that this daemon holds. Relies on: the stored key table; the node for the clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, KeyClaim, KeyDecision, KeyHandOver, KeyOutcome, KeySlot, ObjectVersion, Refusal,
    RefusalReason, VmId, WallTime,
};

use crate::slot::{hand_over_refusal, refused, SlotRecords};
use crate::table::{created_at, slot_of, KeyTable};

/// Limits of a [`KeyHolder`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyHolderOptions {
    /// Time for which a key is kept after its last use. Callers may retry for half of it at most.
    pub retention: Duration,
    /// Highest number of keys held. Further new keys are refused; no key is removed before its retention has passed.
    pub key_limit: usize,
    /// Largest difference between the clocks of callers and VMs.
    pub clock_skew: Duration,
}

impl Default for KeyHolderOptions {
    fn default() -> KeyHolderOptions {
        KeyHolderOptions {
            retention: Duration::from_secs(3_600),
            key_limit: 1_000_000,
            clock_skew: Duration::from_secs(5),
        }
    }
}

/// The key table as a daemon knows it, with the records of the slots that the daemon holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyHolder {
    /// This daemon.
    me: DaemonId,
    options: KeyHolderOptions,
    /// Version of the table, 0 for none.
    version: ObjectVersion,
    table: KeyTable,
    slots: BTreeMap<KeySlot, SlotRecords>,
    /// Records received for slots that the table does not assign to this daemon yet.
    incoming: BTreeMap<KeySlot, KeyHandOver>,
    /// Number of keys in all held slots.
    keys: usize,
}

impl KeyHolder {
    /// Creates a key holder without a table.
    pub fn new(me: DaemonId, options: KeyHolderOptions) -> KeyHolder {
        KeyHolder {
            me,
            options,
            version: 0,
            table: KeyTable::default(),
            slots: BTreeMap::new(),
            incoming: BTreeMap::new(),
            keys: 0,
        }
    }

    /// Returns the version of the latest known table, 0 for none.
    pub fn version(&self) -> ObjectVersion {
        self.version
    }

    /// Returns the latest known table.
    pub fn table(&self) -> &KeyTable {
        &self.table
    }

    /// Returns the number of keys held.
    pub fn keys(&self) -> usize {
        self.keys
    }

    /// Returns the number of slots held.
    pub fn slots_held(&self) -> usize {
        self.slots.len()
    }

    /// Returns the daemon that holds the key of a claim according to the latest known table.
    pub fn holder_of(&self, claim: &KeyClaim) -> Option<&DaemonId> {
        let slot = slot_of(&claim.account, &claim.key, self.table.slots.len());
        self.table.holder(slot).map(|assigned| &assigned.holder)
    }

    /// Applies a table read from the platform or received from a peer; one that is not newer is ignored.
    pub fn apply_table(&mut self, version: ObjectVersion, table: KeyTable) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.table = table;
        let held: BTreeSet<KeySlot> = self.table.held_by(&self.me).into_iter().collect();
        self.slots.retain(|slot, _| held.contains(slot));
        for slot in held {
            if !self.slots.contains_key(&slot) {
                self.hold_slot(slot);
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
        if let Some(decision) = records.claim_recorded(now, claim) {
            return decision;
        }
        if records.hand_over.is_some() {
            return hand_over_refusal();
        }
        if let Some(refusal) =
            unknown_key_refusal(&self.options, records.complete_since, now, claim)
        {
            return refused(refusal);
        }
        if full {
            let refusal =
                Refusal::not_run(RefusalReason::KeyStoreFull, Some(self.options.retention / 4));
            return refused(refusal);
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

    /// Removes keys whose retention has passed.
    pub fn expire(&mut self, now: WallTime) {
        let retention = self.options.retention;
        for records in self.slots.values_mut() {
            records.records.retain(|_, record| now.saturating_sub(record.touched) < retention);
        }
        self.count_keys();
    }

    /// Returns the table to propose where holders have ended, `None` where none has.
    pub fn reassign(
        &self,
        removed_vms: &BTreeSet<VmId>,
        eligible: &[DaemonId],
        now: WallTime,
    ) -> Option<KeyTable> {
        self.table.reassign(removed_vms, &self.me, eligible, now)
    }

    /// Starts or continues the hand-over of all slots. From the first call on, no unclaimed key of these slots may run
    /// here. Returns the hand-overs to send, each with its receiver; call it again until every slot is acknowledged.
    pub fn hand_over(&mut self, eligible: &[DaemonId]) -> Vec<(DaemonId, KeyHandOver)> {
        let eligible: Vec<DaemonId> =
            eligible.iter().filter(|receiver| **receiver != self.me).cloned().collect();
        let mut sends = Vec::new();
        for (index, (slot, records)) in self.slots.iter_mut().enumerate() {
            let usable =
                records.hand_over.as_ref().is_some_and(|(receiver, _)| eligible.contains(receiver));
            if !usable {
                if eligible.is_empty() {
                    continue;
                }
                records.hand_over = Some((eligible[index % eligible.len()].clone(), false));
            }
            if let Some((receiver, false)) = &records.hand_over {
                sends.push((receiver.clone(), hand_over_of(*slot, self.version, records)));
            }
        }
        sends
    }

    /// Records that the receiver of a slot has acknowledged its records.
    pub fn hand_over_acknowledged(&mut self, from: &DaemonId, slot: KeySlot) {
        if let Some((receiver, acknowledged)) =
            self.slots.get_mut(&slot).and_then(|records| records.hand_over.as_mut())
        {
            *acknowledged |= receiver == from;
        }
    }

    /// Stores the records of a slot that is being handed over to this daemon. They are used once the table assigns the
    /// slot to this daemon. Returns whether to acknowledge them.
    pub fn hand_over_received(&mut self, hand_over: KeyHandOver) -> bool {
        if self.slots.contains_key(&hand_over.slot) {
            return false;
        }
        // Where another daemon held the slot in the meantime, it may have added records that an older hand-over lacks.
        let newest = self.incoming.get(&hand_over.slot).map_or(0, |known| known.table);
        if hand_over.table < newest {
            return false;
        }
        self.incoming.insert(hand_over.slot, hand_over);
        true
    }

    /// Returns the table to propose once every slot is acknowledged, `None` before that or where no slot is held.
    pub fn table_after_hand_over(&self) -> Option<KeyTable> {
        let mut moved = Vec::new();
        for (slot, records) in &self.slots {
            match &records.hand_over {
                Some((receiver, true)) => {
                    moved.push((*slot, receiver.clone(), records.complete_since))
                }
                _ => return None,
            }
        }
        (!moved.is_empty()).then(|| self.table.with_moved_slots(&moved))
    }

    /// Starts to hold a slot, with the records of a completed hand-over where there is one.
    fn hold_slot(&mut self, slot: KeySlot) {
        let since = self.table.holder(slot).map_or(0, |assigned| assigned.complete_since_ms);
        let since = Duration::from_millis(since);
        let mut records = SlotRecords::new(since);
        // Records of a hand-over are valid only where the table states the same start of their history. A reassignment
        // after the end of the holder starts a new history.
        if let Some(incoming) =
            self.incoming.remove(&slot).filter(|incoming| incoming.complete_since == since)
        {
            records.records =
                incoming.records.into_iter().map(|record| (record.key.clone(), record)).collect();
        }
        self.slots.insert(slot, records);
    }

    /// Recomputes the number of keys.
    fn count_keys(&mut self) {
        self.keys = self.slots.values().map(|records| records.records.len()).sum();
    }
}

/// Returns why a request whose key has no record may not run, `None` where it may.
fn unknown_key_refusal(
    options: &KeyHolderOptions,
    complete_since: WallTime,
    now: WallTime,
    claim: &KeyClaim,
) -> Option<Refusal> {
    let retry_window = options.retention / 2;
    let created = created_at(&claim.key);
    if created.is_some_and(|created| now > created + retry_window + options.clock_skew) {
        return Some(Refusal::may_have_run(RefusalReason::KeyExpired, None));
    }
    match claim.attempt {
        Some(1) => return None,
        // An earlier attempt must have left a record, so the history was lost.
        Some(_) => return Some(Refusal::may_have_run(RefusalReason::KeyHistoryLost, None)),
        None => {}
    }
    let complete = complete_since.is_zero()
        || now >= complete_since + retry_window
        || created.is_some_and(|created| created >= complete_since + options.clock_skew);
    (!complete).then(|| Refusal::may_have_run(RefusalReason::KeyHistoryLost, None))
}

/// Builds the hand-over of a slot.
fn hand_over_of(slot: KeySlot, table: ObjectVersion, records: &SlotRecords) -> KeyHandOver {
    KeyHandOver {
        slot,
        table,
        complete_since: records.complete_since,
        records: records.records.values().cloned().collect(),
    }
}
