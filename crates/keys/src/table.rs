//! The key table: the object that assigns each slot of keys to the daemon that holds it.
//!
//! Owns: the stored format of the key table. Relies on: the object API for the table's versions.

use std::collections::BTreeSet;
use std::hash::Hasher;
use std::time::Duration;

use curlewcleat_core::{AccountId, DaemonId, KeySlot, SlotHolder, VmId, WallTime};
use serde::{Deserialize, Serialize};

/// Name of the table's object in the object API.
pub const TABLE_KEY: &str = "keys/table";

/// The holder of each slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyTable {
    /// Holders, indexed by slot.
    pub slots: Vec<SlotHolder>,
}

impl KeyTable {
    /// Creates the first table, with the slots assigned to the eligible daemons in turn. Every history is complete,
    /// because no key is used before the table exists.
    pub fn distribute(slots: KeySlot, eligible: &[DaemonId]) -> KeyTable {
        let holders =
            eligible.iter().cycle().take(if eligible.is_empty() { 0 } else { usize::from(slots) });
        KeyTable {
            slots: holders
                .map(|holder| SlotHolder { holder: holder.clone(), complete_since_ms: 0 })
                .collect(),
        }
    }

    /// Returns the holder of a slot.
    pub fn holder(&self, slot: KeySlot) -> Option<&SlotHolder> {
        self.slots.get(usize::from(slot))
    }

    /// Returns the slots that a daemon holds.
    pub fn held_by(&self, daemon: &DaemonId) -> Vec<KeySlot> {
        let held = self.slots.iter().enumerate().filter(|(_, slot)| slot.holder == *daemon);
        held.map(|(index, _)| index as KeySlot).collect()
    }

    /// Returns the table without the holders that have ended, `None` where nothing changes. Slots of holders on removed
    /// VMs go to the eligible daemons with the fewest slots; slots of earlier incarnations on this daemon's VM go to
    /// this daemon. The history of these slots begins now.
    pub fn reassign(
        &self,
        removed_vms: &BTreeSet<VmId>,
        me: &DaemonId,
        eligible: &[DaemonId],
        now: WallTime,
    ) -> Option<KeyTable> {
        let mut next = self.clone();
        let mut changed = false;
        for index in 0..next.slots.len() {
            let holder = &next.slots[index].holder;
            // This process has bound the VM's peer address, so the earlier one has ended.
            let is_earlier_incarnation = holder.vm == me.vm && holder.incarnation != me.incarnation;
            let holder = if is_earlier_incarnation {
                Some(me.clone())
            } else if removed_vms.contains(&holder.vm) && holder != me {
                next.least_loaded(eligible, removed_vms)
            } else {
                None
            };
            if let Some(holder) = holder {
                next.slots[index] =
                    SlotHolder { holder, complete_since_ms: now.as_millis() as u64 };
                changed = true;
            }
        }
        changed.then_some(next)
    }

    /// Returns the table after a hand-over of slots with their complete records.
    pub fn with_moved_slots(&self, moved: &[(KeySlot, DaemonId, WallTime)]) -> KeyTable {
        let mut next = self.clone();
        for (slot, holder, complete_since) in moved {
            if let Some(assigned) = next.slots.get_mut(usize::from(*slot)) {
                let complete_since_ms = complete_since.as_millis() as u64;
                *assigned = SlotHolder { holder: holder.clone(), complete_since_ms };
            }
        }
        next
    }

    /// Returns the eligible daemon that holds the fewest slots, without those on removed VMs.
    pub fn least_loaded(
        &self,
        eligible: &[DaemonId],
        removed_vms: &BTreeSet<VmId>,
    ) -> Option<DaemonId> {
        let usable = eligible.iter().filter(|holder| !removed_vms.contains(&holder.vm));
        usable.min_by_key(|holder| (self.held_by(holder).len(), (*holder).clone())).cloned()
    }
}

/// Returns the slot of a key, which is the same on every daemon.
pub fn slot_of(account: &AccountId, key: &str, slots: usize) -> KeySlot {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(account.as_bytes());
    hasher.write_u8(0);
    hasher.write(key.as_bytes());
    (hasher.finish() % slots.max(1) as u64) as KeySlot
}

/// Returns when a key was created, where the key is a UUID of version 7, which contains the time.
pub(crate) fn created_at(key: &str) -> Option<WallTime> {
    let uuid = uuid::Uuid::parse_str(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanos))
}
